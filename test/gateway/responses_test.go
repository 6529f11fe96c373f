package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// TestRepeatedRefusalIsNotTheNextResponse guards against REFUSED and TWICE: a replica sends
// an earlier refusal once more on a connection in use again. A request that runs must not
// be answered with a promise that it does not, and must not run at a second replica.
func TestRepeatedRefusalIsNotTheNextResponse(t *testing.T) {
	const callers, calls = 8, 20
	for _, fault := range []upstream.Fault{upstream.RepeatsRefusal, upstream.RepeatsRefusalWithoutID} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("fault%d/seed%d", fault, seed), func(t *testing.T) {
				runTest(t, func(_ *testing.T, env *testEnv) {
					var mu sync.Mutex
					random := rand.New(rand.NewPCG(seed, uint64(fault)))
					refuseSome := func(string) upstream.Fault {
						mu.Lock()
						defer mu.Unlock()
						if random.IntN(3) == 0 {
							return fault
						}
						return upstream.None
					}
					env.startPlain("p-1", refuseSome)
					env.startPlain("p-2", refuseSome)
					var wg sync.WaitGroup
					for caller := range callers {
						wg.Go(func() {
							for i := range calls {
								env.checkOrder(fmt.Sprintf("c%d-%d", caller, i))
								time.Sleep(7 * time.Millisecond)
							}
						})
					}
					wg.Wait()
				})
			})
		}
	}
}

// checkOrder sends a request that must not be repeated and checks its response against what
// the replicas did.
func (env *testEnv) checkOrder(attempt string) {
	resp := env.call(env.t.Context(), http.MethodPost, "/unsafe/x", attempt, nil)
	time.Sleep(50 * time.Millisecond)
	runs := len(env.upstreams.Runs(attempt))
	switch {
	case runs > 1:
		env.t.Errorf("%s ran %d times", attempt, runs)
	case resp.err != nil:
		env.t.Errorf("%s got no response: %v", attempt, resp.err)
	case runs == 1 && (resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests):
		env.t.Errorf("%s ran and got status %d", attempt, resp.status)
	case resp.status == http.StatusOK && (runs != 1 || resp.body != upstream.ResponseBody(attempt)):
		env.t.Errorf("%s got %q after %d runs", attempt, resp.body, runs)
	}
}

// TestFailureWithStatusOfRefusal guards against REFUSED: a replica runs a request and answers 503
// without saying that it has not. The caller must not get that promise.
func TestFailureWithStatusOfRefusal(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", everyRequest(upstream.FailsAsBusy))
		env.startFaultyEngine("e-1", "a", everyRequest(upstream.FailsAsBusy))
		for attempt, resp := range map[string]response{
			"safe":   env.call(t.Context(), http.MethodGet, "/safe/x", "safe", nil),
			"unsafe": env.call(t.Context(), http.MethodPost, "/unsafe/x", "unsafe", nil),
			"stream": env.stream(t.Context(), "stream", 10),
		} {
			if resp.err != nil || resp.status != http.StatusBadGateway || resp.header.Get("X-Pimentohinge-Response-Stamp") != "" {
				t.Errorf("%s: status %d, stamp %q, %v; want 502 without a stamp", attempt, resp.status, resp.header.Get("X-Pimentohinge-Response-Stamp"), resp.err)
			}
		}
	})
}

// TestReplicaStopsInHeader guards against MIXED and ORDER: a replica closes the connection in
// the middle of the header of its response. No caller may get a success.
func TestReplicaStopsInHeader(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", everyRequest(upstream.StopsInHeader))
		env.startFaultyEngine("e-1", "a", everyRequest(upstream.StopsInHeader))
		for attempt, resp := range map[string]response{
			"safe":   env.call(t.Context(), http.MethodGet, "/safe/x", "safe", nil),
			"unsafe": env.call(t.Context(), http.MethodPost, "/unsafe/x", "unsafe", nil),
			"stream": env.stream(t.Context(), "stream", 10),
		} {
			if resp.err != nil || resp.status != http.StatusBadGateway {
				t.Errorf("%s: status %d, %v; want 502", attempt, resp.status, resp.err)
			}
			if runs := len(env.upstreams.Runs(attempt)); runs != 1 {
				t.Errorf("%s ran %d times", attempt, runs)
			}
		}
	})
}

// TestLongEventsOfManyStreamsAreBounded guards against a VM that runs out of memory: an engine
// holds each of many streams in an event just below the limit of one event. All events
// together must stay within the memory for bodies, and other requests must be served.
func TestLongEventsOfManyStreamsAreBounded(t *testing.T) {
	const streams = 200
	const bodyMemory = 64 << 20 / 6
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startFaultyEngine("e-1", "a", func(string) upstream.Fault { return upstream.HoldsLongEvent })
		env.startPlain("p-1", nil)
		var ended atomic.Int64
		for i := range streams {
			go func() {
				env.call(t.Context(), http.MethodPost, "/report/x", fmt.Sprintf("s%d", i), http.Header{"X-Pimentohinge-Token-Usage": {"10,40"}})
				ended.Add(1)
			}()
		}
		time.Sleep(5 * time.Second)
		if held := streams - ended.Load(); held > bodyMemory/upstream.LongEventBytes {
			t.Errorf("%d streams with %d bytes each are held, which exceeds %d bytes", held, upstream.LongEventBytes, bodyMemory)
		}
		if resp := env.call(t.Context(), http.MethodPost, "/unsafe/x", "order", nil); resp.status != http.StatusOK {
			t.Errorf("status %d for a request to another service", resp.status)
		}
	})
}
