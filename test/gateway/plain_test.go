// Package gateway_test plays an entry VM against stand-ins of the users'
// platform, on virtual time.
package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// onReplica makes one replica fail the first request that reaches it.
func firstOnly(f upstream.Fault) func(string) upstream.Fault {
	used := false
	return func(string) upstream.Fault {
		if used {
			return upstream.None
		}
		used = true
		return f
	}
}

func always(f upstream.Fault) func(string) upstream.Fault {
	return func(string) upstream.Fault { return f }
}

// TestFaultsOfPlainReplicas plays each fault of a replica against each kind of
// request: what may be repeated is, and what may not is answered truthfully.
func TestFaultsOfPlainReplicas(t *testing.T) {
	for _, c := range []struct {
		name           string
		fault          upstream.Fault
		path           string
		status, runs   int
		servedByOthers bool
	}{
		{"safeFails", upstream.InternalError, "/safe/", 200, 2, true},
		{"safeSheds", upstream.Overloaded, "/safe/", 200, 1, true},
		{"safeLosesAnswer", upstream.DropsResponse, "/safe/", 200, 2, true},
		{"safeTruncates", upstream.TruncatesBody, "/safe/", 200, 2, true},
		{"safeGarbage", upstream.SendsMalformed, "/safe/", 200, 2, true},
		{"safeHangs", upstream.Hangs, "/safe/", 200, 2, true},
		{"safeExtra", upstream.SendsExtraResponse, "/safe/", 200, 1, false},
		{"safeUnframed", upstream.CloseDelimited, "/safe/", 200, 1, false},
		{"unsafeFails", upstream.InternalError, "/unsafe/", 500, 1, false},
		{"unsafeSheds", upstream.Overloaded, "/unsafe/", 200, 1, true},
		{"unsafeLosesAnswer", upstream.DropsResponse, "/unsafe/", 502, 1, false},
		{"unsafeTruncates", upstream.TruncatesBody, "/unsafe/", 502, 1, false},
		{"unsafeGarbage", upstream.SendsMalformed, "/unsafe/", 502, 1, false},
		{"unsafeHangs", upstream.Hangs, "/unsafe/", 504, 1, false},
		{"unsafeExtra", upstream.SendsExtraResponse, "/unsafe/", 200, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, w *world) {
				w.plain("p-1", firstOnly(c.fault))
				w.plain("p-2", nil)
				began := time.Now()
				a := w.call(t.Context(), http.MethodGet, c.path+"x", "a1", nil)
				if a.err != nil || a.status != c.status {
					t.Fatalf("status %d, %v", a.status, a.err)
				}
				if took := time.Since(began); took > 1600*time.Millisecond {
					t.Errorf("took %v, beyond the route's timeout", took)
				}
				runs := w.grid.Runs("a1")
				if len(runs) != c.runs {
					t.Fatalf("%d runs", len(runs))
				}
				if c.status == 200 {
					if diff := cmp.Diff(upstream.ResponseBody("a1"), a.body); diff != "" {
						t.Error(diff)
					}
					if last := runs[len(runs)-1].Replica; (last == "p-2") != c.servedByOthers {
						t.Errorf("served by %s", last)
					}
				}
			})
		})
	}
}

// TestExtraAnswersReachNobody sends many requests over connections on which a
// replica lets answers of nobody follow.
func TestExtraAnswersReachNobody(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		n := 0
		w.plain("p-1", func(string) upstream.Fault {
			n++
			if n%3 == 1 {
				return upstream.SendsExtraResponse
			}
			return upstream.None
		})
		for i := range 12 {
			id := "a" + string(rune('a'+i))
			a := w.call(t.Context(), http.MethodGet, "/safe/x", id, nil)
			if a.status == 200 && a.body != upstream.ResponseBody(id) {
				t.Errorf("request %s got %q", id, a.body)
			}
			if a.status != 200 {
				t.Errorf("request %s got status %d", id, a.status)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// TestWhatAReplicaIsShown checks the headers that only the system may set.
func TestWhatAReplicaIsShown(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		a := w.call(t.Context(), http.MethodGet, "/safe/x", "a1", http.Header{
			"X-Pimentohinge-Tenant": {"intruder"}, "X-Pimentohinge-Expect-Instance": {"other"},
			"X-Pimentohinge-Deadline-Ms": {"700"},
		})
		if a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
		got := w.grid.Runs("a1")[0]
		if got.Workspace != "acme" || got.Key != "" || got.TimeoutMs > 700 || got.TimeoutMs < 600 {
			t.Errorf("shown workspace %q, key %q, %d ms left", got.Workspace, got.Key, got.TimeoutMs)
		}
	})
}

func TestRefusalsOfOurOwn(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		for _, c := range []struct {
			path, key string
			status    int
		}{
			{"/nowhere/x", key, 404},
			{"/safe/x", "unknown", 401},
			{"/safe/x", key, 200},
			{"/report/x", key, 503}, // no engine is there
		} {
			a := w.call(t.Context(), http.MethodGet, c.path, "a1", http.Header{"Authorization": {"Token " + c.key}})
			if a.status != c.status {
				t.Errorf("%s with %s: status %d, want %d", c.path, c.key, a.status, c.status)
			}
			if c.status == 503 && a.header.Get("Retry-After") == "" {
				t.Error("refused without advice when to come back")
			}
		}
	})
}

// TestCallerLeaves closes a request whose replica hangs: the work must end
// within half a second.
func TestCallerLeaves(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", always(upstream.Hangs))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		left := time.Now().Add(300 * time.Millisecond)
		w.call(ctx, http.MethodGet, "/unsafe/x", "a1", nil)
		time.Sleep(500 * time.Millisecond)
		runs := w.grid.Runs("a1")
		if len(runs) != 1 || runs[0].Ended.IsZero() || runs[0].Ended.After(left.Add(500*time.Millisecond)) {
			t.Errorf("runs %+v", runs)
		}
	})
}

// TestManyLargeBodies sends more than the VM has memory for at once: what finds
// none is refused, and the rest is served.
func TestManyLargeBodies(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		var mu sync.Mutex
		statuses := map[int]int{}
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Go(func() {
				a := w.callWith(w.t.Context(), http.MethodPost, "/unsafe/x", fmt.Sprintf("b%d", i), nil, strings.Repeat("x", 1<<20))
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
			})
		}
		wg.Wait()
		if statuses[200] < 8 || statuses[503] == 0 || statuses[200]+statuses[503] != 24 {
			t.Errorf("statuses %v", statuses)
		}
		if a := w.callWith(w.t.Context(), http.MethodPost, "/unsafe/x", "after", nil, strings.Repeat("x", 1<<20)); a.status != 200 {
			t.Errorf("status %d when the others had ended", a.status)
		}
	})
}

// TestAnswersAreNotChanged checks that nothing is added to a replica's answer and
// that no success comes from elsewhere.
func TestAnswersAreNotChanged(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", always(upstream.CloseDelimited))
		a := w.call(w.t.Context(), http.MethodGet, "/safe/x", "a1", nil)
		if a.status != 200 || a.header.Get("Content-Type") != "" || a.header.Get("X-Pimentohinge-Response-Stamp") != "s" {
			t.Errorf("status %d, header %v", a.status, a.header)
		}
		conn, err := w.net.Host("10.3.0.4").Dial(w.t.Context(), callers)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: acme.example\r\nConnection: close\r\n\r\n")
		text, _ := io.ReadAll(conn)
		if strings.HasPrefix(string(text), "HTTP/1.1 2") {
			t.Errorf("%s", text)
		}
	})
}

// TestDeadServersInTheList replays what inc-0972 of klepsydra-serwis-grown shows:
// several servers died and their entries are still there. Requests pass them
// over until one that lives is found.
func TestDeadServersInTheList(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.engine("e-9", "b")
		w.plain("p-9", nil)
		for i := range 8 {
			w.announce(fmt.Sprintf("e-%d", i), "engine", fmt.Sprintf("10.2.0.%d:80", i), "a", "ready")
			w.announce(fmt.Sprintf("p-%d", i), "plain", fmt.Sprintf("10.2.1.%d:80", i), "a", "ready")
		}
		time.Sleep(500 * time.Millisecond)
		w.whole(w.report(w.t.Context(), "s0", 20), 20)
		if got := w.serves("/safe/x"); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	})
}
