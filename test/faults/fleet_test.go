package faults_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/invariant"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/pipenet"
	"github.com/pimentohinge/pimentohinge/pkg/client"
)

// violations collects broken invariants. Tests run side by side, so one may be
// reported by another test than the one that broke it.
type violations struct {
	mu   sync.Mutex
	list []invariant.Violation
}

func (v *violations) add(x invariant.Violation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, x)
}

func (v *violations) take() []invariant.Violation {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := v.list
	v.list = nil
	return list
}

var broken violations

// TestMain pins the seed and the number of random runs unless flags say
// otherwise, so that each run of the tests gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, pinned := range map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "40"}} {
		if f := flag.Lookup(name); f.Value.String() == pinned[0] {
			if err := f.Value.Set(pinned[1]); err != nil {
				panic(err)
			}
		}
	}
	invariant.SetHandler(broken.add)
	os.Exit(m.Run())
}

// world is a fleet on virtual time with what a test needs to break it.
type world struct {
	*fleet.Fleet
	ctx context.Context
	net *pipenet.Fabric

	mu       sync.Mutex
	failures []string
	striking map[string]bool // faults of a random run that are in force
}

// errorf records that a check failed.
func (w *world) errorf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// stop ends a test early after a failed check.
type stop struct{}

func (w *world) fatalf(format string, args ...any) {
	w.errorf(format, args...)
	panic(stop{})
}

// twoCentres is the layout of most tests.
func twoCentres() []fleet.DataCentre {
	return []fleet.DataCentre{
		{Name: "walsall-a-1", Region: "walsall-a", VMs: 2, Engines: 2, Ledgers: 1},
		{Name: "walsall-a-2", Region: "walsall-a", VMs: 2, Engines: 1, Ledgers: 1},
	}
}

// inWorld runs a test on a configured fleet. Broken invariants fail the test.
func inWorld(t *testing.T, change func(*fleet.Options), test func(w *world)) {
	t.Helper()
	for _, f := range runWorld(t, change, test) {
		t.Error(f)
	}
}

// runWorld runs a test on a configured fleet and returns the checks that failed.
func runWorld(t *testing.T, change func(*fleet.Options), test func(w *world)) (failures []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{ctx: t.Context(), net: pipenet.New()}
		w.net.Delay = func(_, _ string) time.Duration { return 200 * time.Microsecond }
		o := fleet.Options{Hosts: w.net, DataCentres: twoCentres(), Log: logline.New(io.Discard, "error")}
		if change != nil {
			change(&o)
		}
		f, err := fleet.Start(o)
		if err != nil {
			t.Fatal(err)
		}
		w.Fleet = f
		defer func() {
			if r := recover(); r != nil && r != (stop{}) {
				panic(r)
			}
			w.end()
			failures = w.failures
			for _, v := range broken.take() {
				failures = append(failures, v.Error())
			}
		}()
		w.configure()
		test(w)
	})
	return failures
}

func (w *world) configure() {
	ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
	defer cancel()
	if err := w.AwaitReady(ctx); err != nil {
		w.fatalf("%v", err)
	}
	if err := w.Configure(ctx); err != nil {
		w.fatalf("%v", err)
	}
}

// end kills the fleet and lets every goroutine finish, as virtual time stands
// still once the test has returned.
func (w *world) end() {
	w.Kill()
	w.net.Close()
	time.Sleep(time.Minute)
}

// answer is what a caller got of one streamed report.
type answer struct {
	client.Result
	text string
	err  error
}

// stream asks for a report of a length through some VMs.
func (w *world) stream(length int, vms ...int) answer {
	var a answer
	var text strings.Builder
	next := 0
	ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
	defer cancel()
	a.Result, a.err = w.Client(vms...).Stream(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: fmt.Sprintf("Draft a report, length=%d", length),
	}, func(t client.Token) error {
		if t.Index != next {
			w.errorf("token %d came in place of %d", t.Index, next)
		}
		next++
		text.WriteString(t.Text)
		return nil
	})
	a.text = text.String()
	return a
}

// generationText is the text of one generation of the stand-in engines.
func generationText(generation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(llm.Text(generation, i))
	}
	return b.String()
}

// oneGeneration reports whether a text is the beginning of one of the
// request's generations.
func oneGeneration(request, text string, tokens int) bool {
	for attempt := 1; attempt <= 4; attempt++ {
		if generationText(fmt.Sprintf("%s-%d", request, attempt), tokens) == text {
			return true
		}
	}
	return false
}

func TestStreamArrivesWhole(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		a := w.stream(300, 0)
		if a.err != nil || a.Tokens != 300 || !oneGeneration(a.RequestID, a.text, 300) {
			w.errorf("got %d tokens, error %v", a.Tokens, a.err)
		}
	})
}

// wholeAnswer is a buffered answer.
type wholeAnswer struct{ request, text string }

// buffered asks VM 0 for a report that is not streamed.
func (w *world) buffered(length int) (wholeAnswer, error) {
	ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
	defer cancel()
	r, err := w.Client(0).Complete(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: fmt.Sprintf("Draft a report, length=%d", length),
	})
	return wholeAnswer{r.RequestID, r.Text}, err
}
