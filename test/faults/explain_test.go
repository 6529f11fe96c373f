package faults_test

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// causeCase is a test case that produces one cause of a failure or delay.
type causeCase struct {
	cause      outcome.Cause
	setOptions func(*fleet.Options)
	// run returns the id of the affected request and the backend that the
	// explanation must name; the backend is empty if the cause concerns none.
	run func(env *testEnv) (request, backend string)
}

// requestIDOf returns the request id of a refused request, or an empty string if
// err is not a refusal.
func requestIDOf(err error) string {
	var refused *client.Error
	if errors.As(err, &refused) {
		return refused.RequestID
	}
	return ""
}

// singleEngine configures one data centre with a single engine of the given
// capacity, and the queue of callers' requests.
func singleEngine(blocks, slots, waitMs, queue int) func(*fleet.Options) {
	return func(o *fleet.Options) {
		o.DataCentres = []fleet.DataCentre{{Name: "walsall-a-1", Region: "walsall-a", VMs: 2, Engines: 1, Ledgers: 1}}
		o.Engine = func(e *llm.Options) { e.Model.CapacityBlocks, e.Model.Slots = blocks, slots }
		o.Settings = func(s *settings.Settings) { s.Callers.WaitMs, s.Callers.QueueLength = waitMs, queue }
	}
}

// overloadEngine occupies the only engine with long reports, then requests one
// more. It returns the id of that request if it is refused, and no backend.
func overloadEngine(env *testEnv, streams, length int) (string, string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for range streams {
		wg.Go(func() { env.stream(length, 0) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	result := env.stream(5, 0)
	return requestIDOf(result.err), ""
}

// exceedLimits returns a function that sets limits for the other workspace, sends
// three concurrent requests of it and returns the id of a refused one.
func exceedLimits(limits wire.Workspace) func(*testEnv) (string, string) {
	return func(env *testEnv) (string, string) {
		limits.Name, limits.KeyHashes = fleet.OtherWorkspace, []string{configchain.KeyHash(fleet.OtherKey)}
		limits.Services = []string{fleet.ServiceReports}
		result := env.VMs[0].Release(env.ctx, wire.ReleaseNote{Id: "limits", Changed: &wire.Objects{Workspaces: []wire.Workspace{limits}}})
		if err := env.AwaitRevision(env.ctx, result.Revision); err != nil {
			env.fatalf("%v", err)
		}
		ids := make(chan string, 3)
		for range cap(ids) {
			go func() {
				caller := env.Client(0)
				caller.Key = fleet.OtherKey
				_, err := caller.Stream(env.ctx, client.Completion{Model: fleet.ServiceReports, Prompt: "length=50"}, func(client.Token) error { return nil })
				ids <- requestIDOf(err)
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

// faultMidStream returns a function that injects a fault in the middle of a
// streamed report and returns the id of the request and the name of the engine
// that ran it.
func faultMidStream(f fault) func(*testEnv) (string, string) {
	return func(env *testEnv) (string, string) {
		name := ""
		time.AfterFunc(700*time.Millisecond, func() {
			name = env.Engines[env.busyEngine()].Backend.Name
			f.apply(env)
		})
		result := env.stream(reportTokens, 0)
		if result.err != nil {
			return requestIDOf(result.err), name
		}
		return result.RequestID, name
	}
}

func faultNamed(list []fault, name string) fault {
	for _, f := range list {
		if f.name == name {
			return f
		}
	}
	panic("no fault is named " + name)
}

// refusedTagCall returns a function that sends the call that prepare returns,
// which must be refused, and returns its request id.
func refusedTagCall(prepare func(*testEnv) client.Call) func(*testEnv) (string, string) {
	return func(env *testEnv) (string, string) {
		call := prepare(env)
		return requestIDOf(env.callTags(call, 0).err), ""
	}
}

// tagCallWithTicket returns a tag call with a ticket issued by a VM.
func tagCallWithTicket(env *testEnv, vm int) client.Call {
	ticket, err := env.Client(vm).Ticket(env.ctx)
	if err != nil {
		env.fatalf("%v", err)
	}
	call := tagCall("", `{"tag":"HC-1"}`)
	call.Ticket = ticket
	return call
}

var causeCases = []causeCase{
	{outcome.MemoryFull, singleEngine(30, 48, 3000, 100), func(env *testEnv) (string, string) {
		id, _ := overloadEngine(env, 1, 400)
		return id, env.Engines[0].Backend.Name
	}},
	{outcome.SlotsFull, singleEngine(2048, 1, 3000, 100), func(env *testEnv) (string, string) {
		id, _ := overloadEngine(env, 1, 400)
		return id, env.Engines[0].Backend.Name
	}},
	{outcome.QueuedBehind, singleEngine(2048, 1, 20_000, 1), func(env *testEnv) (string, string) { return overloadEngine(env, 2, 300) }},
	{outcome.Preempted, singleEngine(128, 48, 20_000, 100), func(env *testEnv) (string, string) {
		done := make(chan streamResult, 1)
		go func() { env.stream(1500, 0) }()
		go func() {
			time.Sleep(30 * time.Millisecond)
			done <- env.stream(1400, 0)
		}()
		result := <-done
		if result.err != nil {
			env.errorf("%v", result.err)
		}
		return result.RequestID, env.Engines[0].Backend.Name
	}},
	{outcome.RateLimit, nil, exceedLimits(wire.Workspace{RequestsPerSecond: 1})},
	{outcome.ConcurrencyLimit, nil, exceedLimits(wire.Workspace{ConcurrentRequests: 1})},
	{outcome.NoReplica, nil, func(env *testEnv) (string, string) {
		for i := range env.Engines {
			env.KillEngine(i)
		}
		time.Sleep(5 * time.Second)
		return requestIDOf(env.stream(5, 0).err), ""
	}},
	{outcome.WeightStoreRate, slowModelLoads, func(env *testEnv) (string, string) {
		time.Sleep(20 * time.Second)
		env.changeModel("report-writer-9b")
		return requestIDOf(env.stream(5, 0).err), ""
	}},
	{outcome.EngineLost, nil, faultMidStream(faultNamed(engineFaults, "engineKilled"))},
	{outcome.EngineReclaimed, nil, faultMidStream(faultNamed(engineFaults, "engineReclaimed"))},
	{outcome.StalledLink, nil, faultMidStream(faultNamed(engineFaults, "connectionsStuck"))},
	{outcome.EngineRefused, nil, func(env *testEnv) (string, string) {
		setEngineFaults(llm.Faults{Refuse: true})(env)
		id := requestIDOf(env.stream(5, 0).err)
		return id, ""
	}},
	{outcome.PlatformUnavailable, nil, refusedTagCall(func(env *testEnv) client.Call {
		env.SetOutage(true)
		return tagCall("k", "{}")
	})},
	{outcome.ClaimTaken, nil, refusedTagCall(func(env *testEnv) client.Call {
		setLedgerFaults(ledger.Faults{DelayMs: 2000})(env)
		go env.callTags(tagCall("k", "{}"), 1)
		time.Sleep(500 * time.Millisecond)
		return tagCall("k", "{}")
	})},
	{outcome.HolderLost, nil, refusedTagCall(func(env *testEnv) client.Call {
		setLedgerFaults(ledger.Faults{DelayMs: 2000})(env)
		time.AfterFunc(500*time.Millisecond, func() {
			env.VMs[1].Kill()
			env.network.Crash(env.VMs[1].Host)
		})
		env.callTags(tagCall("k", "{}"), 1)
		time.Sleep(recoveryTime)
		return tagCall("k", "{}")
	})},
	{outcome.KeyReused, nil, refusedTagCall(func(env *testEnv) client.Call {
		env.callTags(tagCall("k", "{}"), 1)
		return tagCall("k", `{"other":1}`)
	})},
	{outcome.TicketSpent, nil, refusedTagCall(func(env *testEnv) client.Call {
		call := tagCallWithTicket(env, 0)
		setLedgerFaults(ledger.Faults{DropResponses: 1})(env)
		env.callTags(call, 0)
		return call
	})},
	{outcome.IssuerGone, nil, refusedTagCall(func(env *testEnv) client.Call {
		call := tagCallWithTicket(env, 1)
		env.VMs[1].Kill()
		env.network.Crash(env.VMs[1].Host)
		time.Sleep(recoveryTime)
		return call
	})},
	{outcome.ServiceLost, nil, func(env *testEnv) (string, string) {
		setLedgerFaults(ledger.Faults{DropResponses: 1})(env)
		return requestIDOf(env.callTags(tagCall("", "{}"), 0).err), ""
	}},
	{outcome.VMStopping, nil, func(env *testEnv) (string, string) {
		go env.stream(200, 0)
		time.Sleep(300 * time.Millisecond)
		go env.VMs[0].Stop(env.ctx)
		time.Sleep(500 * time.Millisecond)
		return requestIDOf(env.stream(5, 0).err), ""
	}},
	{outcome.NotFound, nil, func(env *testEnv) (string, string) {
		_, err := env.Client(0).Complete(env.ctx, client.Completion{Model: "no-such-model", Prompt: "x"})
		return requestIDOf(err), ""
	}},
}

// TestExplanationNamesCause produces each cause and checks that the explanation
// from another VM names it and the backend concerned.
func TestExplanationNamesCause(t *testing.T) {
	for _, c := range causeCases {
		t.Run(string(c.cause), func(t *testing.T) {
			t.Parallel()
			runTest(t, c.setOptions, func(env *testEnv) {
				request, backend := c.run(env)
				if request == "" {
					env.fatalf("no request was affected")
				}
				explanation, found := env.otherVM(request).Explain(env.ctx, request)
				if !found || explanation.Cause != c.cause || !explanation.Certain {
					env.errorf("explained as %q, certain %v:\n%s", explanation.Cause, explanation.Certain, explanation.Text())
				}
				if backend != "" && explanation.Engine != backend {
					env.errorf("explanation names backend %q, want %q:\n%s", explanation.Engine, backend, explanation.Text())
				}
				if !strings.Contains(explanation.Text(), strings.TrimSuffix(c.cause.Description(), ".")) {
					env.errorf("explanation does not state the cause:\n%s", explanation.Text())
				}
			})
		})
	}
}

// otherVM returns a running VM that did not serve the request, or VM 0 if there is
// none.
func (env *testEnv) otherVM(request string) *fleet.VM {
	for _, vm := range env.VMs[2:] {
		return vm
	}
	// A request id contains the name of the VM that served the request.
	for _, vm := range env.VMs {
		if !strings.Contains(request, vm.Self().Name) {
			return vm
		}
	}
	return env.VMs[0]
}

// TestExplainAfterVMFailure checks that a request is explained after its VM has
// failed, from the records that the VM stored on the platform, and that evidence
// is reported as missing while the platform is unavailable.
func TestExplainAfterVMFailure(t *testing.T) {
	runTest(t, nil, func(env *testEnv) {
		request, backend := faultMidStream(faultNamed(engineFaults, "engineKilled"))(env)
		time.Sleep(recoveryTime)
		env.VMs[0].Kill()
		env.network.Crash(env.VMs[0].Host)
		time.Sleep(recoveryTime)
		explanation, found := env.VMs[2].Explain(env.ctx, request)
		if !found || explanation.Cause != outcome.EngineLost || explanation.Engine != backend {
			env.errorf("explained as %+v", explanation)
		}
		env.SetOutage(true)
		explanation, found = env.VMs[2].Explain(env.ctx, request)
		if found || len(explanation.Missing) == 0 {
			env.errorf("without the platform: found %v, missing %v", found, explanation.Missing)
		}
	})
}
