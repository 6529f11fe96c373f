package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/logbook"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// finding is what an explanation must get right.
type finding struct {
	Reason  logbook.Reason
	Server  string
	Certain bool
}

// TestExplanations injects one trouble after the other and asks, of the lines
// that the VM wrote, why the request failed.
func TestExplanations(t *testing.T) {
	safe := func(w *world) { w.call(w.t.Context(), http.MethodGet, "/safe/x", "s0", nil) }
	unsafe := func(w *world) { w.call(w.t.Context(), http.MethodPost, "/unsafe/x", "s0", nil) }
	for name, c := range map[string]struct {
		play func(w *world)
		want finding
	}{
		"replica fails": {
			func(w *world) { w.plain("p-1", always(upstream.InternalError)); safe(w) },
			finding{logbook.ReplicaFailed, "p-1", true},
		},
		"replica hangs": {
			func(w *world) { w.plain("p-1", always(upstream.Hangs)); unsafe(w) },
			finding{logbook.ReplicaSlow, "p-1", true},
		},
		"replica sends garbage": {
			func(w *world) { w.plain("p-1", always(upstream.SendsMalformed)); unsafe(w) },
			finding{logbook.ReplicaBroke, "p-1", true},
		},
		"no replica": {safe, finding{logbook.NoServer, "", true}},
		"unknown route": {
			func(w *world) { w.call(w.t.Context(), http.MethodGet, "/nowhere/x", "s0", nil) },
			finding{logbook.Refused, "", true},
		},
		"caller leaves": {
			func(w *world) {
				w.engine("e-1", "a")
				ctx, cancel := context.WithTimeout(w.t.Context(), 2*time.Second)
				defer cancel()
				w.report(ctx, "s0", 200)
			},
			finding{logbook.CallerLeft, "e-1", true},
		},
		"VM stops": {
			func(w *world) {
				w.engine("e-1", "a")
				go w.vm.Stop(w.t.Context())
				time.Sleep(100 * time.Millisecond)
				w.report(w.t.Context(), "s0", 2000)
			},
			finding{logbook.Stopping, "", true},
		},
		"notice without another engine": {
			func(w *world) {
				w.engine("e-1", "a")
				done := w.reports(1, 200, time.Second)
				w.leave("e-1")
				time.Sleep(1540 * time.Millisecond)
				w.up["e-1"].Stop()
				done()
			},
			finding{logbook.NoRoom, "e-1", true},
		},
		"notice a moment before the end": {
			func(w *world) {
				w.engine("e-1", "a")
				done := w.reports(2, 200, time.Second)
				w.engine("e-2", "a")
				w.leave("e-1")
				time.Sleep(30 * time.Millisecond)
				w.up["e-1"].Stop()
				done()
			},
			finding{logbook.NoticeLate, "e-1", true},
		},
		"engine dies with several streams": {
			func(w *world) {
				w.engine("e-1", "a")
				done := w.reports(2, 200, time.Second)
				w.up["e-1"].Stop()
				done()
			},
			finding{logbook.ServerDied, "e-1", false},
		},
		"engine ends while the store is away": {
			func(w *world) {
				w.engine("e-1", "a")
				done := w.reports(1, 400, time.Second)
				w.store.SetFaults(store.Faults{Outage: true})
				time.Sleep(4 * time.Second)
				w.up["e-1"].Stop()
				done()
			},
			finding{logbook.NoticeMissed, "e-1", false},
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, w *world) {
				c.play(w)
				time.Sleep(time.Second)
				book := &logbook.Book{}
				if err := book.Read(strings.NewReader(w.log.text()), "vm-1"); err != nil {
					t.Fatal(err)
				}
				x := book.Explain("s0")
				if diff := cmp.Diff(c.want, finding{x.Reason, x.Server, x.Certain}); diff != "" {
					t.Errorf("explanation (-want +got):\n%s\n%s", diff, x.Text())
				}
				if len(x.Evidence) == 0 {
					t.Error("no evidence")
				}
			})
		})
	}
}
