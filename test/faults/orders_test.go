package faults_test

import (
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// ordered counts the orders that engines accepted.
func (w *world) ordered() int {
	n := 0
	for _, e := range w.Engines {
		n += len(e.Orders())
	}
	return n
}

// newModel gives the report service another model by a release note.
func (w *world) newModel(name string) {
	r := w.VMs[0].Release(w.ctx, wire.ReleaseNote{Id: "model-" + name, Changed: &wire.Objects{
		Services: []wire.Service{{Name: fleet.ServiceReports, Kind: chain.KindModel, Model: name}},
	}})
	if err := w.AwaitRevision(w.ctx, r.Revision); err != nil {
		w.fatalf("%v", err)
	}
}

func slowLoads(o *fleet.Options) {
	o.Engine = func(e *llm.Options) {
		e.LoadTime = 5 * time.Second
		e.ChecksFencing = true
	}
}

func TestOrders(t *testing.T) {
	for _, s := range []scenario{
		{"noneInSteadyState", slowLoads, func(w *world) {
			time.Sleep(10 * time.Minute)
			if n := w.ordered(); n != 0 {
				w.errorf("%d orders in ten quiet minutes", n)
			}
		}},
		{"newModelIsLoaded", slowLoads, func(w *world) {
			w.newModel("report-writer-9b")
			time.Sleep(45 * time.Second)
			if a := w.stream(10, 0); a.err != nil {
				w.errorf("%v", a.err)
			}
			if n := w.ordered(); n != len(w.Engines) {
				w.errorf("%d orders for %d engines", n, len(w.Engines))
			}
		}},
		{"orderGiverDies", slowLoads, func(w *world) {
			time.Sleep(20 * time.Second)
			w.VMs[0].Kill()
			w.net.Crash(w.VMs[0].Host)
			time.Sleep(time.Second)
			r := w.VMs[1].Release(w.ctx, wire.ReleaseNote{Id: "m", Changed: &wire.Objects{
				Services: []wire.Service{{Name: fleet.ServiceReports, Kind: chain.KindModel, Model: "report-writer-9b"}},
			}})
			if r.Status != "accepted" {
				w.fatalf("%v", r)
			}
			time.Sleep(90 * time.Second)
			for _, v := range []int{1, 2, 3} {
				if a := w.stream(10, v); a.err != nil {
					w.errorf("VM %d: %v", v, a.err)
				}
			}
		}},
		{"busyEngineIsDrained", slowLoads, func(w *world) {
			time.Sleep(20 * time.Second)
			done := make(chan answer)
			go func() { done <- w.stream(600, 0, 1) }()
			time.Sleep(time.Second)
			w.newModel("report-writer-9b")
			if a := <-done; a.err != nil || a.Tokens != 600 {
				w.errorf("the running report got %d tokens: %v", a.Tokens, a.err)
			}
			time.Sleep(time.Minute)
			if a := w.stream(10, 0); a.err != nil {
				w.errorf("%v", a.err)
			}
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, s.change, s.run)
		})
	}
}
