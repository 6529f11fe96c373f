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

var recordedViolations violations

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
	invariant.SetHandler(recordedViolations.add)
	os.Exit(m.Run())
}

// testEnv is a fleet on virtual time with what a test needs to break it.
type testEnv struct {
	*fleet.Fleet
	ctx     context.Context
	network *pipenet.Fabric

	mu           sync.Mutex
	failures     []string
	activeFaults map[string]bool // faults of a random run that are in force
}

// errorf records that a check failed.
func (env *testEnv) errorf(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.failures = append(env.failures, fmt.Sprintf(format, args...))
}

// testAbort ends a test early after a failed check.
type testAbort struct{}

func (env *testEnv) fatalf(format string, args ...any) {
	env.errorf(format, args...)
	panic(testAbort{})
}

// twoDataCentres is the layout of most tests.
func twoDataCentres() []fleet.DataCentre {
	return []fleet.DataCentre{
		{Name: "walsall-a-1", Region: "walsall-a", VMs: 2, Engines: 2, Ledgers: 1},
		{Name: "walsall-a-2", Region: "walsall-a", VMs: 2, Engines: 1, Ledgers: 1},
	}
}

// runTest runs a test on a configured fleet. Broken invariants fail the test.
func runTest(t *testing.T, setOptions func(*fleet.Options), test func(env *testEnv)) {
	t.Helper()
	for _, f := range collectFailures(t, setOptions, test) {
		t.Error(f)
	}
}

// collectFailures runs a test on a configured fleet and returns the checks that failed.
func collectFailures(t *testing.T, setOptions func(*fleet.Options), test func(env *testEnv)) (failures []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := &testEnv{ctx: t.Context(), network: pipenet.New()}
		env.network.Delay = func(_, _ string) time.Duration { return 200 * time.Microsecond }
		o := fleet.Options{Hosts: env.network, DataCentres: twoDataCentres(), Log: logline.New(io.Discard, "error")}
		if setOptions != nil {
			setOptions(&o)
		}
		f, err := fleet.Start(o)
		if err != nil {
			t.Fatal(err)
		}
		env.Fleet = f
		defer func() {
			if r := recover(); r != nil && r != (testAbort{}) {
				panic(r)
			}
			env.shutDown()
			failures = env.failures
			for _, v := range recordedViolations.take() {
				failures = append(failures, v.Error())
			}
		}()
		env.configure()
		test(env)
	})
	return failures
}

func (env *testEnv) configure() {
	ctx, cancel := context.WithTimeout(env.ctx, time.Minute)
	defer cancel()
	if err := env.AwaitReady(ctx); err != nil {
		env.fatalf("%v", err)
	}
	if err := env.Configure(ctx); err != nil {
		env.fatalf("%v", err)
	}
}

// shutDown kills the fleet and lets every goroutine finish, as virtual time stands
// still once the test has returned.
func (env *testEnv) shutDown() {
	env.Kill()
	env.network.Close()
	time.Sleep(time.Minute)
}

// streamResult is what a caller got of one streamed report.
type streamResult struct {
	client.Result
	text string
	err  error
}

// stream asks for a report of a length through some VMs.
func (env *testEnv) stream(length int, vms ...int) streamResult {
	var result streamResult
	var text strings.Builder
	next := 0
	ctx, cancel := context.WithTimeout(env.ctx, time.Minute)
	defer cancel()
	result.Result, result.err = env.Client(vms...).Stream(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: fmt.Sprintf("Draft a report, length=%d", length),
	}, func(t client.Token) error {
		if t.Index != next {
			env.errorf("token %d came in place of %d", t.Index, next)
		}
		next++
		text.WriteString(t.Text)
		return nil
	})
	result.text = text.String()
	return result
}

// generationText is the text of one generation of the stand-in engines.
func generationText(generation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(llm.Text(generation, i))
	}
	return b.String()
}

// fromOneGeneration reports whether a text is the beginning of one of the
// request's generations.
func fromOneGeneration(request, text string, tokens int) bool {
	for attempt := 1; attempt <= 4; attempt++ {
		if generationText(fmt.Sprintf("%s-%d", request, attempt), tokens) == text {
			return true
		}
	}
	return false
}

func TestStreamIsRelayedCompletely(t *testing.T) {
	runTest(t, nil, func(env *testEnv) {
		result := env.stream(300, 0)
		if result.err != nil || result.Tokens != 300 || !fromOneGeneration(result.RequestID, result.text, 300) {
			env.errorf("got %d tokens, error %v", result.Tokens, result.err)
		}
	})
}

// bufferedResult is a buffered answer.
type bufferedResult struct{ request, text string }

// bufferedReport asks VM 0 for a report that is not streamed.
func (env *testEnv) bufferedReport(length int) (bufferedResult, error) {
	ctx, cancel := context.WithTimeout(env.ctx, time.Minute)
	defer cancel()
	r, err := env.Client(0).Complete(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: fmt.Sprintf("Draft a report, length=%d", length),
	})
	return bufferedResult{r.RequestID, r.Text}, err
}
