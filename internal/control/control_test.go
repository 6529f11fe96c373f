package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// TestDeniedReserveAsksAreRateLimited guards against flooding the peer links when
// all engines are full: another VM denies every reservation while 300 requests are
// queued.
func TestDeniedReserveAsksAreRateLimited(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := wire.VM{Name: "a", Region: "r", DataCentre: "d"}
	peer := wire.VM{Name: "b", Region: "r", DataCentre: "d"}
	core := control.New(control.Options{
		Self: self, Incarnation: 1, RetryPercent: 10, QueueLength: 1000, ProbeInterval: time.Second, Suspicion: time.Minute,
	})
	list := control.PlatformListed{Version: 1, VMs: []wire.VM{self, peer}}
	for i := range 40 {
		list.Backends = append(list.Backends, wire.Backend{
			Name: fmt.Sprintf("engine-%d", i), Service: "s", Kind: "engine", Region: "r", DataCentre: "d", State: "live",
		})
	}
	note := wire.ReleaseNote{Id: "1", Added: &wire.Objects{
		Services:   []wire.Service{{Name: "s", Kind: configchain.KindModel, Model: "m"}},
		Workspaces: []wire.Workspace{{Name: "w", Services: []string{"s"}}},
	}}
	core.Step(now, list)
	core.Step(now, control.RevisionsRead{Revisions: []wire.Revision{configchain.Empty().Next(note, 0)}})
	requests := 0
	var denyAll func(actions []control.Action)
	denyAll = func(actions []control.Action) {
		for _, action := range append([]control.Action(nil), actions...) {
			send, ok := action.(control.Send)
			if !ok || send.Frame.ReserveAsk == nil {
				continue
			}
			requests++
			reply := wire.ReserveReply{Id: send.Frame.ReserveAsk.Id, Engine: send.Frame.ReserveAsk.Engine, Cause: string(outcome.MemoryFull)}
			denyAll(core.Step(now, control.FrameReceived{From: peer, Frame: wire.Frame{ReserveReply: &reply}}))
		}
	}
	for i := range 300 {
		denyAll(core.Step(now, control.Place{
			ID: fmt.Sprintf("request-%d", i), Workspace: "w", Service: "s", Class: control.ClassInteractive,
			PromptTokens: 100, MaxTokens: 1000, Deadline: now.Add(time.Hour),
		}))
	}
	const seconds = 10
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		denyAll(core.Step(now, control.Tick{}))
	}
	// Control traffic may use 7 KB/s; a reservation request and its reply take about
	// 350 bytes.
	const budget = seconds * 7000 / 350
	if requests == 0 || requests > budget {
		t.Errorf("%d reservation requests in %d seconds, want 1 to %d", requests, seconds, budget)
	}
}

// newEngineCore returns a core of VM "a" that knows one model service "s" with the
// engine "engine-0" and, besides itself, the given other VMs.
func newEngineCore(t *testing.T, now time.Time, others ...wire.VM) *control.Core {
	t.Helper()
	self := wire.VM{Name: "a", Region: "r", DataCentre: "d"}
	core := control.New(control.Options{
		Self: self, Incarnation: 1, RetryPercent: 10, QueueLength: 1000, ProbeInterval: time.Second, Suspicion: time.Minute,
	})
	core.Step(now, control.PlatformListed{Version: 1, VMs: append([]wire.VM{self}, others...), Backends: []wire.Backend{
		{Name: "engine-0", Service: "s", Kind: "engine", Region: "r", DataCentre: "d", State: "live"},
	}})
	note := wire.ReleaseNote{Id: "1", Added: &wire.Objects{
		Services:   []wire.Service{{Name: "s", Kind: configchain.KindModel, Model: "m"}},
		Workspaces: []wire.Workspace{{Name: "w", Services: []string{"s"}}},
	}}
	core.Step(now, control.RevisionsRead{Revisions: []wire.Revision{configchain.Empty().Next(note, 0)}})
	return core
}

func placeRequest(id string, deadline time.Time) control.Place {
	return control.Place{
		ID: id, Workspace: "w", Service: "s", Class: control.ClassInteractive, PromptTokens: 100, MaxTokens: 1000, Deadline: deadline,
	}
}

// engineReport is a load report that shows an idle engine.
func engineReport(now time.Time) control.LoadReported {
	return control.LoadReported{Engine: "engine-0", Reachable: true, Report: wire.LoadReport{
		Engine: "engine-0", MeasuredUnixMs: int(now.UnixMilli()), Models: []string{"m"},
		CapacityBlocks: 10_000, BlockTokens: 16, Slots: 16, StepMicros: 10_000,
	}}
}

// TestCancelledRequestIsNotPlaced cancels a request while the reply of a remote admitter
// is outstanding. It must not be placed later, when the reply is overdue and the core
// falls back to the engine's load report.
func TestCancelledRequestIsNotPlaced(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	// Rendezvous hashing makes one of these VMs the admitter of engine-0.
	core := newEngineCore(t, now, wire.VM{Name: "b", Region: "r", DataCentre: "d"}, wire.VM{Name: "c", Region: "r", DataCentre: "d"})
	core.Step(now, engineReport(now))
	asked := false
	for _, action := range core.Step(now, placeRequest("request-1", now.Add(time.Hour))) {
		if send, ok := action.(control.Send); ok && send.Frame.ReserveAsk != nil {
			asked = true
		}
	}
	if !asked {
		t.Fatal("no reservation was requested from another VM")
	}
	core.Step(now, control.Cancel{ID: "request-1"})
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		for _, action := range core.Step(now, control.Tick{}) {
			switch action := action.(type) {
			case control.Placed:
				t.Fatalf("cancelled request was placed on %s", action.Backend.Name)
			case control.PublishView:
				if action.View.Queued != 0 || action.View.Open != 0 {
					t.Fatalf("%d requests queued, %d open after the only one was cancelled", action.View.Queued, action.View.Open)
				}
			}
		}
	}
}

// TestHandOverWithoutListedEngine removes an engine with an open request from the
// platform's list. When its admitter changes afterwards, nothing is handed over, as no
// ledger of the engine is left.
func TestHandOverWithoutListedEngine(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	core := newEngineCore(t, now)
	core.Step(now, engineReport(now))
	placed := false
	for _, action := range core.Step(now, placeRequest("request-1", now.Add(time.Hour))) {
		if _, ok := action.(control.Placed); ok {
			placed = true
		}
	}
	if !placed {
		t.Fatal("the request was not placed")
	}
	core.Step(now, control.PlatformListed{Version: 2, VMs: []wire.VM{{Name: "a", Region: "r", DataCentre: "d"}}})
	for i := range 8 {
		joined := wire.VM{Name: fmt.Sprintf("vm-%d", i), Region: "r", DataCentre: "d"}
		for _, action := range core.Step(now, control.PeerConnected{VM: joined}) {
			if send, ok := action.(control.Send); ok && send.Frame.ReserveHeld != nil {
				t.Errorf("reservations of an engine that is not listed were handed over to %s", send.To.Name)
			}
		}
	}
	core.Step(now, control.AttemptEnded{ID: "request-1", Outcome: outcome.Done(10), Last: true})
}
