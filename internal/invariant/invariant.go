// Package invariant checks guarantees to users at run time and stops the process
// when one is violated. All other failures are reported as an outcome.Result and do
// not stop the process.
package invariant

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
)

// ExitCode is the exit code of the process after a violated invariant.
const ExitCode = 70

// Violation describes a violated invariant.
type Violation struct {
	// Name is the name of the invariant.
	Name string
	// Evidence holds alternating keys and values.
	Evidence []any
}

// Error formats the name and the evidence as key=value pairs.
func (v Violation) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "broken invariant name=%s", v.Name)
	for i := 0; i+1 < len(v.Evidence); i += 2 {
		fmt.Fprintf(&b, " %v=%q", v.Evidence[i], fmt.Sprint(v.Evidence[i+1]))
	}
	return b.String()
}

var handler atomic.Pointer[func(Violation)]

// SetHandler sets a function that is called on a violation instead of ending the
// process, and returns a function that restores the previous handler. Tests use it
// to observe violations.
func SetHandler(report func(Violation)) (restore func()) {
	previous := handler.Swap(&report)
	return func() { handler.Store(previous) }
}

// Check reports a violation unless ok is true. evidence holds alternating keys and
// values. It returns ok, so that with a handler set the caller can abort.
func Check(ok bool, name string, evidence ...any) bool {
	if ok {
		return true
	}
	v := Violation{Name: name, Evidence: evidence}
	if f := handler.Load(); f != nil {
		(*f)(v)
		return false
	}
	fmt.Fprintln(os.Stderr, v.Error())
	os.Exit(ExitCode)
	return false
}
