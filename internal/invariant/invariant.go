// Package invariant stops the process when a promise to the users is broken
// inside the program. A broken invariant is the only reason to stop that is
// not an outcome value.
package invariant

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
)

// ExitCode is the process exit code after a broken invariant.
const ExitCode = 70

// Violation is the evidence of a broken invariant.
type Violation struct {
	// Name is the invariant's name.
	Name string
	// Evidence holds key and value pairs in order.
	Evidence []any
}

// Error formats the evidence as key=value pairs.
func (v Violation) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "broken invariant name=%s", v.Name)
	for i := 0; i+1 < len(v.Evidence); i += 2 {
		fmt.Fprintf(&b, " %v=%q", v.Evidence[i], fmt.Sprint(v.Evidence[i+1]))
	}
	return b.String()
}

var handler atomic.Pointer[func(Violation)]

// SetHandler replaces the reaction to a broken invariant, which otherwise ends the
// process, and returns a function that restores the one before. Tests use it
// to observe violations.
func SetHandler(report func(Violation)) (restore func()) {
	previous := handler.Swap(&report)
	return func() { handler.Store(previous) }
}

// Check reports a violation unless ok. The evidence is key and value pairs.
// It returns ok, so that a caller under a test handler can stop what it does.
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
