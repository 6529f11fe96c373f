package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// TestRefusedAsksRunOut queues many requests before engines that other VMs
// admit for and refuse, and counts the asks.
func TestRefusedAsksRunOut(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := wire.VM{Name: "a", Region: "r", DataCentre: "d"}
	b := wire.VM{Name: "b", Region: "r", DataCentre: "d"}
	c := control.New(control.Options{
		Self: a, Incarnation: 1, RetryPercent: 10, QueueLength: 1000, ProbeInterval: time.Second, Suspicion: time.Minute,
	})
	list := control.PlatformListed{Version: 1, VMs: []wire.VM{a, b}}
	for i := range 40 {
		list.Backends = append(list.Backends, wire.Backend{
			Name: fmt.Sprintf("engine-%d", i), Service: "s", Kind: "engine", Region: "r", DataCentre: "d", State: "live",
		})
	}
	note := wire.ReleaseNote{Id: "1", Added: &wire.Objects{
		Services:   []wire.Service{{Name: "s", Kind: chain.KindModel, Model: "m"}},
		Workspaces: []wire.Workspace{{Name: "w", Services: []string{"s"}}},
	}}
	c.Step(now, list)
	c.Step(now, control.RevisionsRead{Revisions: []wire.Revision{chain.Empty().Next(note, 0)}})
	asks := 0
	var answer func(actions []control.Action)
	answer = func(actions []control.Action) {
		for _, x := range append([]control.Action(nil), actions...) {
			s, ok := x.(control.Send)
			if !ok || s.Frame.ReserveAsk == nil {
				continue
			}
			asks++
			reply := wire.ReserveReply{Id: s.Frame.ReserveAsk.Id, Engine: s.Frame.ReserveAsk.Engine, Cause: string(outcome.MemoryFull)}
			answer(c.Step(now, control.Heard{From: b, Frame: wire.Frame{ReserveReply: &reply}}))
		}
	}
	for i := range 300 {
		answer(c.Step(now, control.Place{
			ID: fmt.Sprintf("request-%d", i), Workspace: "w", Service: "s", Class: control.ClassInteractive,
			PromptTokens: 100, MaxTokens: 1000, Deadline: now.Add(time.Hour),
		}))
	}
	const seconds = 10
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		answer(c.Step(now, control.Tick{}))
	}
	// The control budget is 7 KB/s; an ask and its answer take about 350 bytes.
	const budget = seconds * 7000 / 350
	if asks == 0 || asks > budget {
		t.Errorf("%d asks in %d seconds, at most %d fit the budget", asks, seconds, budget)
	}
}
