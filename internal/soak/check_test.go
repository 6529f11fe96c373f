package soak_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/soak"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// TestChecksFindBrokenPromises gives each check a request that breaks its rule, and one just
// within it.
func TestChecksFindBrokenPromises(t *testing.T) {
	t0 := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	run := func(replica string, from, to int) upstream.Run {
		return upstream.Run{Attempt: "a", Replica: replica, Started: at(from), Ended: at(to)}
	}
	receivedAt := func(ms int, run upstream.Run) upstream.Run {
		run.Received = at(ms)
		return run
	}
	resumed := func(run upstream.Run) upstream.Run {
		run.Resumed = true
		return run
	}
	endless := run("e-1", 0, 0)
	endless.Ended = time.Time{}
	cut := errors.New("cut")
	for _, c := range []struct {
		name, profile string
		received      soak.Received
		runs          []upstream.Run
		want          []string
	}{
		{"one run", "mixed", soak.Received{Kind: "unsafe", Status: 200}, []upstream.Run{run("p-1", 0, 15)}, nil},
		{"two runs", "mixed", soak.Received{Kind: "unsafe", Status: 200}, []upstream.Run{run("p-1", 0, 15), run("p-2", 20, 35)}, []string{"TWICE"}},
		{"two runs of a safe request", "mixed", soak.Received{Kind: "safe", Status: 200}, []upstream.Run{run("p-1", 0, 15), run("p-2", 20, 35)}, nil},
		{"resumed in time", "mixed", soak.Received{Kind: "stream", Status: 200}, []upstream.Run{run("e-1", 0, 1400), resumed(run("e-2", 1000, 2000))}, nil},
		{"resumed while running", "mixed", soak.Received{Kind: "stream", Status: 200}, []upstream.Run{run("e-1", 0, 1401), resumed(run("e-2", 1000, 2000))}, []string{"TWICE"}},
		{"resumed, never ends", "mixed", soak.Received{Kind: "stream", Status: 200}, []upstream.Run{endless, resumed(run("e-2", 1000, 2000))}, []string{"TWICE"}},
		{"resumed by a frozen VM", "mixed", soak.Received{Kind: "stream", Status: 200, Frozen: at(500)}, []upstream.Run{run("e-1", 0, 1401), resumed(run("e-2", 1000, 2000))}, nil},
		{"promise and run", "mixed", soak.Received{Kind: "unsafe", Status: 503}, []upstream.Run{run("p-1", 0, 15)}, []string{"REFUSED"}},
		{"promise and late run", "mixed", soak.Received{Kind: "stream", Status: 429, Ended: at(0)}, []upstream.Run{run("e-1", 5000, 6000)}, []string{"REFUSED"}},
		{"failure and run", "mixed", soak.Received{Kind: "unsafe", Status: 502}, []upstream.Run{run("p-1", 0, 15)}, nil},
		{"run 3 s after the notice", "mixed", soak.Received{Kind: "stream", Status: 200, LeavesAt: at(0)}, []upstream.Run{run("e-1", 3000, 4000)}, nil},
		{"run later than that", "mixed", soak.Received{Kind: "stream", Status: 200, LeavesAt: at(0)}, []upstream.Run{run("e-1", 3001, 4000)}, []string{"DRAIN"}},
		{"suspended since before the notice", "mixed", soak.Received{Kind: "stream", Status: 200, LeavesAt: at(1000)}, []upstream.Run{receivedAt(0, run("e-1", 5493, 6000))}, nil},
		{"reached a suspended server later than that", "mixed", soak.Received{Kind: "stream", Status: 200, LeavesAt: at(0)}, []upstream.Run{receivedAt(3001, run("e-1", 4000, 5000))}, []string{"DRAIN"}},
		{"cut late in a stop", "stops", soak.Received{Kind: "slow", Sent: at(4000), Ended: at(7600), Err: cut, StoppedAt: at(0)}, []upstream.Run{run("p-1", 4000, 7600)}, []string{"LOST"}},
		{"server slow until the end of a stop", "stops", soak.Received{Kind: "slow", Sent: at(2900), Ended: at(7600), Err: cut, StoppedAt: at(0)}, []upstream.Run{run("p-1", 2900, 7600)}, nil},
		{"cut before it was passed on", "stops", soak.Received{Kind: "unsafe", Sent: at(4000), Ended: at(4001), Err: cut, StoppedAt: at(0)}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, soak.CheckRequest(c.profile, c.received, c.runs...)); diff != "" {
				t.Errorf("broken rules (-want +got):\n%s", diff)
			}
		})
	}
}

func TestChecksFindBrokenStreams(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"whole", "id: 1\ndata: a/1\n\nid: 2\ndata: a/2\n\n", ""},
		{"missing event", "id: 1\ndata: a/1\n\nid: 3\ndata: a/3\n\n", "ORDER"},
		{"repeated event", "id: 1\ndata: a/1\n\nid: 1\ndata: a/1\n\n", "ORDER"},
		{"early end", "id: 1\ndata: a/1\n\n", "ORDER"},
		{"event of another stream", "id: 1\ndata: b/1\n\nid: 2\ndata: a/2\n\n", "MIXED"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := soak.CheckEvents("a", c.body, 2); got != c.want {
				t.Errorf("broken rule %q, want %q", got, c.want)
			}
		})
	}
}

func TestCheckFindsMissingRecovery(t *testing.T) {
	for _, c := range []struct{ sent, served, want int }{{8, 2, 0}, {8, 1, 1}, {0, 0, 1}} {
		if got := soak.CheckRecovery(c.sent, c.served); got != c.want {
			t.Errorf("%d of %d served: %d violations, want %d", c.served, c.sent, got, c.want)
		}
	}
}
