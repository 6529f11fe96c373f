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

// violations records violations of invariants. As tests run in parallel, a
// violation may be reported by a test other than the one that caused it.
type violations struct {
	mu   sync.Mutex
	list []invariant.Violation
}

func (v *violations) add(violation invariant.Violation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, violation)
}

// take returns the recorded violations and clears the record.
func (v *violations) take() []invariant.Violation {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := v.list
	v.list = nil
	return list
}

var recordedViolations violations

// TestMain sets a fixed seed and number of random runs unless flags set them, so
// that the tests are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	// Each flag is set to the second value if it has the first one, its default.
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

// testEnv is a fleet on virtual time with the means to inject faults.
type testEnv struct {
	*fleet.Fleet
	ctx     context.Context
	network *pipenet.Fabric

	mu           sync.Mutex
	failures     []string
	activeFaults map[string]bool // by name; used by random runs only
}

// errorf records a failed check.
func (env *testEnv) errorf(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.failures = append(env.failures, fmt.Sprintf(format, args...))
}

// testAbort is the panic value with which fatalf ends a test.
type testAbort struct{}

// fatalf records a failed check and ends the test.
func (env *testEnv) fatalf(format string, args ...any) {
	env.errorf(format, args...)
	panic(testAbort{})
}

// twoDataCentres returns the layout of most tests.
func twoDataCentres() []fleet.DataCentre {
	return []fleet.DataCentre{
		{Name: "walsall-a-1", Region: "walsall-a", VMs: 2, Engines: 2, Ledgers: 1},
		{Name: "walsall-a-2", Region: "walsall-a", VMs: 2, Engines: 1, Ledgers: 1},
	}
}

// runTest runs a test on a configured fleet. Violated invariants fail the test.
func runTest(t *testing.T, setOptions func(*fleet.Options), test func(env *testEnv)) {
	t.Helper()
	for _, f := range collectFailures(t, setOptions, test) {
		t.Error(f)
	}
}

// collectFailures runs a test on a configured fleet and returns the failed checks
// and violated invariants.
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

// configure waits until the VMs are ready and submits the fleet's configuration.
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

// shutDown kills the fleet and waits until every goroutine has ended, because
// virtual time stops when the test returns.
func (env *testEnv) shutDown() {
	env.Kill()
	env.network.Close()
	time.Sleep(time.Minute)
}

// streamResult is what a caller received of one streamed report.
type streamResult struct {
	client.Result
	text string
	err  error
}

// stream requests a streamed report of length tokens. The client tries the VMs in
// order.
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
			env.errorf("got token %d, want token %d", t.Index, next)
		}
		next++
		text.WriteString(t.Text)
		return nil
	})
	result.text = text.String()
	return result
}

// generationText returns the first tokens of a generation as the simulated engines
// produce them.
func generationText(generation string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(llm.Text(generation, i))
	}
	return b.String()
}

// fromOneGeneration reports whether the text consists of the first tokens of a
// single generation of the request. A request has one generation per attempt.
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
			env.errorf("the stream ended after %d tokens, error %v", result.Tokens, result.err)
		}
	})
}

// bufferedResult is the response to a report that was not streamed.
type bufferedResult struct{ request, text string }

// bufferedReport requests a report of length tokens from VM 0 without streaming.
func (env *testEnv) bufferedReport(length int) (bufferedResult, error) {
	ctx, cancel := context.WithTimeout(env.ctx, time.Minute)
	defer cancel()
	response, err := env.Client(0).Complete(ctx, client.Completion{
		Model: fleet.ServiceReports, Prompt: fmt.Sprintf("Draft a report, length=%d", length),
	})
	return bufferedResult{response.RequestID, response.Text}, err
}
