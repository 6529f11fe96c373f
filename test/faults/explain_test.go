package faults_test

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// injected is one cause that is brought about in the real code.
type injected struct {
	cause  outcome.Cause
	change func(*fleet.Options)
	// run returns the id of the request that suffers, and the backend that the
	// explanation has to name; empty when none is concerned.
	run func(w *world) (request, backend string)
}

// requestOf returns the request id of a refusal.
func requestOf(err error) string {
	var refused *client.Error
	if errors.As(err, &refused) {
		return refused.RequestID
	}
	return ""
}

func smallEngines(blocks, slots, waitMs, queue int) func(*fleet.Options) {
	return func(o *fleet.Options) {
		o.DataCentres = []fleet.DataCentre{{Name: "walsall-a-1", Region: "walsall-a", VMs: 2, Engines: 1, Ledgers: 1}}
		o.Engine = func(e *llm.Options) { e.Model.CapacityBlocks, e.Model.Slots = blocks, slots }
		o.Settings = func(s *settings.Settings) { s.Callers.WaitMs, s.Callers.QueueLength = waitMs, queue }
	}
}

// full keeps the only engine busy with long reports, then sends one more.
func full(w *world, streams, length int) (string, string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range streams {
		wg.Go(func() { w.stream(length, 0) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	a := w.stream(5, 0)
	return requestOf(a.err), ""
}

// limited gives the other workspace limits and sends two requests of it at once.
func limited(limits wire.Workspace) func(*world) (string, string) {
	return func(w *world) (string, string) {
		limits.Name, limits.KeyHashes = fleet.OtherWorkspace, []string{chain.KeyHash(fleet.OtherKey)}
		limits.Services = []string{fleet.ServiceReports}
		r := w.VMs[0].Release(w.ctx, wire.ReleaseNote{Id: "limits", Changed: &wire.Objects{Workspaces: []wire.Workspace{limits}}})
		if err := w.AwaitRevision(w.ctx, r.Revision); err != nil {
			w.fatalf("%v", err)
		}
		ids := make(chan string, 3)
		for range cap(ids) {
			go func() {
				c := w.Client(0)
				c.Key = fleet.OtherKey
				_, err := c.Stream(w.ctx, client.Completion{Model: fleet.ServiceReports, Prompt: "length=50"}, func(client.Token) error { return nil })
				ids <- requestOf(err)
			}()
		}
		refused := ""
		for range cap(ids) {
			if id := <-ids; id != "" {
				refused = id
			}
		}
		return refused, ""
	}
}

// during applies a fault in the middle of a report.
func during(f fault) func(*world) (string, string) {
	return func(w *world) (string, string) {
		name := ""
		time.AfterFunc(700*time.Millisecond, func() {
			name = w.Engines[w.busyEngine()].Backend.Name
			f.apply(w)
		})
		a := w.stream(reportTokens, 0)
		if a.err != nil {
			return requestOf(a.err), name
		}
		return a.RequestID, name
	}
}

func named(list []fault, name string) fault {
	for _, f := range list {
		if f.name == name {
			return f
		}
	}
	panic("no fault is called " + name)
}

func tagRefused(prepare func(*world) client.Call) func(*world) (string, string) {
	return func(w *world) (string, string) {
		call := prepare(w)
		return requestOf(w.tag(call, 0).err), ""
	}
}

func withTicket(w *world, vm int) client.Call {
	t, err := w.Client(vm).Ticket(w.ctx)
	if err != nil {
		w.fatalf("%v", err)
	}
	c := tagCall("", `{"tag":"HC-1"}`)
	c.Ticket = t
	return c
}

var injections = []injected{
	{outcome.MemoryFull, smallEngines(30, 48, 3000, 100), func(w *world) (string, string) {
		id, _ := full(w, 1, 400)
		return id, w.Engines[0].Backend.Name
	}},
	{outcome.SlotsFull, smallEngines(2048, 1, 3000, 100), func(w *world) (string, string) {
		id, _ := full(w, 1, 400)
		return id, w.Engines[0].Backend.Name
	}},
	{outcome.QueuedBehind, smallEngines(2048, 1, 20_000, 1), func(w *world) (string, string) { return full(w, 2, 300) }},
	{outcome.Preempted, smallEngines(128, 48, 20_000, 100), func(w *world) (string, string) {
		done := make(chan answer, 1)
		go func() { w.stream(1500, 0) }()
		go func() {
			time.Sleep(30 * time.Millisecond)
			done <- w.stream(1400, 0)
		}()
		a := <-done
		if a.err != nil {
			w.errorf("%v", a.err)
		}
		return a.RequestID, w.Engines[0].Backend.Name
	}},
	{outcome.RateLimit, nil, limited(wire.Workspace{RequestsPerSecond: 1})},
	{outcome.ConcurrencyLimit, nil, limited(wire.Workspace{ConcurrentRequests: 1})},
	{outcome.NoReplica, nil, func(w *world) (string, string) {
		for i := range w.Engines {
			w.KillEngine(i)
		}
		time.Sleep(5 * time.Second)
		return requestOf(w.stream(5, 0).err), ""
	}},
	{outcome.WeightStoreRate, slowLoads, func(w *world) (string, string) {
		time.Sleep(20 * time.Second)
		w.newModel("report-writer-9b")
		return requestOf(w.stream(5, 0).err), ""
	}},
	{outcome.EngineLost, nil, during(named(engineFaults, "engineKilled"))},
	{outcome.EngineReclaimed, nil, during(named(engineFaults, "engineReclaimed"))},
	{outcome.StalledLink, nil, during(named(engineFaults, "connectionsStuck"))},
	{outcome.EngineRefused, nil, func(w *world) (string, string) {
		setEngines(llm.Faults{Refuse: true})(w)
		id := requestOf(w.stream(5, 0).err)
		return id, ""
	}},
	{outcome.PlatformUnavailable, nil, tagRefused(func(w *world) client.Call {
		w.SetOutage(true)
		return tagCall("k", "{}")
	})},
	{outcome.ClaimTaken, nil, tagRefused(func(w *world) client.Call {
		setLedgers(ledger.Faults{DelayMs: 2000})(w)
		go w.tag(tagCall("k", "{}"), 1)
		time.Sleep(500 * time.Millisecond)
		return tagCall("k", "{}")
	})},
	{outcome.HolderLost, nil, tagRefused(func(w *world) client.Call {
		setLedgers(ledger.Faults{DelayMs: 2000})(w)
		time.AfterFunc(500*time.Millisecond, func() {
			w.VMs[1].Kill()
			w.net.Crash(w.VMs[1].Host)
		})
		w.tag(tagCall("k", "{}"), 1)
		time.Sleep(settled)
		return tagCall("k", "{}")
	})},
	{outcome.KeyReused, nil, tagRefused(func(w *world) client.Call {
		w.tag(tagCall("k", "{}"), 1)
		return tagCall("k", `{"other":1}`)
	})},
	{outcome.TicketSpent, nil, tagRefused(func(w *world) client.Call {
		c := withTicket(w, 0)
		setLedgers(ledger.Faults{DropResponses: 1})(w)
		w.tag(c, 0)
		return c
	})},
	{outcome.IssuerGone, nil, tagRefused(func(w *world) client.Call {
		c := withTicket(w, 1)
		w.VMs[1].Kill()
		w.net.Crash(w.VMs[1].Host)
		time.Sleep(settled)
		return c
	})},
	{outcome.ServiceLost, nil, func(w *world) (string, string) {
		setLedgers(ledger.Faults{DropResponses: 1})(w)
		return requestOf(w.tag(tagCall("", "{}"), 0).err), ""
	}},
	{outcome.VMStopping, nil, func(w *world) (string, string) {
		go w.stream(200, 0)
		time.Sleep(300 * time.Millisecond)
		go w.VMs[0].Stop(w.ctx)
		time.Sleep(500 * time.Millisecond)
		return requestOf(w.stream(5, 0).err), ""
	}},
	{outcome.NotFound, nil, func(w *world) (string, string) {
		_, err := w.Client(0).Complete(w.ctx, client.Completion{Model: "no-such-model", Prompt: "x"})
		return requestOf(err), ""
	}},
}

// TestExplanationsNameTheCause brings about each cause and asks another VM for
// the explanation.
func TestExplanationsNameTheCause(t *testing.T) {
	for _, c := range injections {
		t.Run(string(c.cause), func(t *testing.T) {
			t.Parallel()
			inWorld(t, c.change, func(w *world) {
				request, backend := c.run(w)
				if request == "" {
					w.fatalf("no request suffered")
				}
				x, found := w.asker(request).Explain(w.ctx, request)
				if !found || x.Cause != c.cause || !x.Certain {
					w.errorf("explained as %q, certain %v:\n%s", x.Cause, x.Certain, x.Text())
				}
				if backend != "" && x.Engine != backend {
					w.errorf("names backend %q in place of %q:\n%s", x.Engine, backend, x.Text())
				}
				if !strings.Contains(x.Text(), strings.TrimSuffix(c.cause.Description(), ".")) {
					w.errorf("does not say the cause:\n%s", x.Text())
				}
			})
		})
	}
}

// asker is a living VM that did not serve the request, if there is one.
func (w *world) asker(request string) *fleet.VM {
	for _, v := range w.VMs[2:] {
		return v
	}
	for _, v := range w.VMs {
		if !strings.Contains(request, v.Self().Name) {
			return v
		}
	}
	return w.VMs[0]
}

// TestExplainAfterTheVMDied asks for a request whose VM is dead, from what it
// wrote to the platform, and then without the platform.
func TestExplainAfterTheVMDied(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		request, backend := during(named(engineFaults, "engineKilled"))(w)
		time.Sleep(settled)
		w.VMs[0].Kill()
		w.net.Crash(w.VMs[0].Host)
		time.Sleep(settled)
		x, found := w.VMs[2].Explain(w.ctx, request)
		if !found || x.Cause != outcome.EngineLost || x.Engine != backend {
			w.errorf("explained as %+v", x)
		}
		w.SetOutage(true)
		x, found = w.VMs[2].Explain(w.ctx, request)
		if found || len(x.Missing) == 0 {
			w.errorf("without the platform: found %v, missing %v", found, x.Missing)
		}
	})
}
