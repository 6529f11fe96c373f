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
