package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// TestStatusThatIsNoneIsNoResponse guards against MIXED: a replica in trouble sends a status that
// does not exist, or an interim one with the stamp of a final response, and keeps the connection
// open. It is no response: callers get 502 at once, and a safe request goes to another replica.
func TestStatusThatIsNoneIsNoResponse(t *testing.T) {
	for _, line := range []string{"000 None", "099 None", "100 Continue", "103 Early Hints", "199 None", "600 None", "700 None", "999 None"} {
		t.Run(line, func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				broken := upstream.Options{
					Fault: everyRequest(upstream.SendsStatus), StatusLine: func(string) string { return line },
				}
				env.startReplicaWith("p-1", "plain", "a", broken)
				broken.Engine = testEngine()
				env.startReplicaWith("e-1", "engine", "a", broken)
				began := time.Now()
				for attempt, resp := range map[string]response{
					"unsafe": env.call(t.Context(), http.MethodPost, "/unsafe/x", "unsafe", nil),
					"stream": env.stream(t.Context(), "stream", 10),
				} {
					if resp.err != nil || resp.status != http.StatusBadGateway || resp.header.Get("X-Pimentohinge-Response-Stamp") != "" {
						t.Errorf("%s: status %d, stamp %q, %v; want 502 without a stamp", attempt, resp.status, resp.header.Get("X-Pimentohinge-Response-Stamp"), resp.err)
					}
					if runs := len(env.upstreams.Runs(attempt)); runs != 1 {
						t.Errorf("%s ran %d times", attempt, runs)
					}
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("the callers waited %v", took)
				}
				env.startPlain("p-2", nil)
				time.Sleep(time.Second)
				if resp := env.call(t.Context(), http.MethodGet, "/safe/x", "safe", nil); resp.status != http.StatusOK {
					t.Errorf("a safe request got status %d, %v", resp.status, resp.err)
				}
			})
		})
	}
}
