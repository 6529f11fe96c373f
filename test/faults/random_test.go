package faults_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// action is one thing that happens in a random run.
type action struct {
	AtMs int
	Kind string
	VM   int
	Arg  int
}

// Kinds of moves.
const (
	actionStream  = "stream"
	actionBuffer  = "buffer"
	actionTag     = "tag"
	actionRelease = "release"
	actionFault   = "fault"
)

const (
	randomRunMs    = 40_000 // ms
	randomKeyCount = 4
)

// randomFaults are the faults of random runs. Engines and services that are
// killed stay away, so these are left out.
func randomFaults() []fault {
	list := append([]fault{}, fleetFaults...)
	for _, f := range engineFaults {
		if f.name != "engineKilled" && f.name != "engineReclaimed" && f.name != "engineLeaving" {
			list = append(list, f)
		}
	}
	return append(append(list, ledgerFaults[1:]...), vmKilled, callerReset)
}

func drawActions(t *rapid.T) []action {
	faults := len(randomFaults())
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		act := action{
			AtMs: rapid.IntRange(0, randomRunMs).Draw(t, "atMs"),
			Kind: rapid.SampledFrom([]string{actionStream, actionBuffer, actionTag, actionTag, actionTag, actionRelease, actionFault, actionFault}).Draw(t, "kind"),
			VM:   rapid.IntRange(0, 3).Draw(t, "vm"),
		}
		switch act.Kind {
		case actionFault:
			act.Arg = rapid.IntRange(0, faults-1).Draw(t, "fault")
		case actionTag:
			act.Arg = rapid.IntRange(0, randomKeyCount-1).Draw(t, "key")
		default:
			act.Arg = rapid.IntRange(1, 150).Draw(t, "length")
		}
		return act
	}), 5, 40).Draw(t, "moves")
}

// history collects the operations for the linearizability checks.
type history struct {
	mu       sync.Mutex
	tagCalls []porcupine.Operation
	releases []porcupine.Operation
}

func (h *history) add(list *[]porcupine.Operation, o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, o)
}

// performAll carries out the moves and checks what came of them.
func (env *testEnv) performAll(actions []action, h *history) {
	setLedgerFaults(ledger.Faults{DelayMs: 50})(env)
	var wg sync.WaitGroup
	for i, act := range actions {
		wg.Go(func() {
			time.Sleep(time.Duration(act.AtMs) * time.Millisecond)
			env.perform(i, act, h)
		})
	}
	wg.Wait()
	// Heal whatever overlapping faults left behind.
	env.network.HealAll()
	time.Sleep(faultDuration + recoveryTime)
	if result := env.stream(10, 2, 3); result.err != nil {
		env.errorf("the fleet did not recover: %v", result.err)
	}
	highest := 0
	for _, vm := range env.VMs {
		highest = max(highest, vm.State().Number)
	}
	for _, vm := range env.VMs {
		if vm.State().Number != highest {
			env.errorf("%s has revision %d of %d", vm.Self().Name, vm.State().Number, highest)
		}
	}
}

func (env *testEnv) perform(i int, act action, h *history) {
	call := time.Now().UnixNano()
	switch act.Kind {
	case actionFault:
		f := randomFaults()[act.Arg]
		if env.activateFault(f.name) {
			f.apply(env)
			time.Sleep(faultDuration)
			if f.heal != nil {
				f.heal(env)
			}
			env.deactivateFault(f.name)
		}
	case actionStream:
		result := env.stream(act.Arg, act.VM, (act.VM+1)%4, (act.VM+2)%4)
		if result.Tokens > 0 && !fromOneGeneration(result.RequestID, result.text, result.Tokens) {
			env.errorf("move %d: the tokens are not of one generation", i)
		}
		if result.err == nil && result.Tokens != act.Arg {
			env.errorf("move %d: %d tokens of %d", i, result.Tokens, act.Arg)
		}
	case actionBuffer:
		if b, err := env.bufferedReport(act.Arg); err == nil && !fromOneGeneration(b.request, b.text, act.Arg) {
			env.errorf("move %d: the answer is not one whole generation", i)
		}
	case actionTag:
		r := env.callTags(tagCall(fmt.Sprintf("key-%d", act.Arg), fmt.Sprintf(`{"tag":%d}`, act.Arg)), act.VM)
		h.add(&h.tagCalls, porcupine.Operation{ClientId: i, Input: act.Arg, Call: call, Output: r, Return: time.Now().UnixNano()})
	case actionRelease:
		r := env.VMs[act.VM].Release(env.ctx, wire.ReleaseNote{Id: fmt.Sprintf("move-%d", i), Changed: &wire.Objects{Workspaces: []wire.Workspace{{
			Name: fleet.OtherWorkspace, KeyHashes: []string{chain.KeyHash(fleet.OtherKey)},
			Services: []string{fleet.ServiceReports}, Weight: i + 1,
		}}}})
		h.add(&h.releases, porcupine.Operation{ClientId: i, Input: i, Call: call, Output: r, Return: time.Now().UnixNano()})
	}
}

// activateFault keeps one kind of fault from being applied twice at a time, as a
// VM can't be restarted twice.
func (env *testEnv) activateFault(name string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.activeFaults == nil {
		env.activeFaults = map[string]bool{}
	}
	if env.activeFaults[name] {
		return false
	}
	env.activeFaults[name] = true
	return true
}

func (env *testEnv) deactivateFault(name string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.activeFaults, name)
}

// ranNumberUnknown is the state of a key whose call may have run.
const ranNumberUnknown = -1

// tagModel is one key: 0 before the call ran, then the entry's number.
var tagModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, o := range all {
			byKey[o.Input.(int)] = append(byKey[o.Input.(int)], o)
		}
		var out [][]porcupine.Operation
		for _, list := range byKey {
			out = append(out, list)
		}
		return out
	},
	Step: func(state, _, output any) []any {
		ran, r := state.(int), output.(tagResult)
		switch r.outcome() {
		case "finished":
			var entry struct{ Number int }
			if json.Unmarshal(r.response.Body, &entry) != nil {
				return nil
			}
			if ran == 0 || ran == ranNumberUnknown || ran == entry.Number {
				return []any{entry.Number}
			}
			return nil
		case "notRun":
			if ran == 0 || r.platformUnavailable() {
				return []any{ran}
			}
			return nil
		}
		if ran == 0 {
			return []any{0, ranNumberUnknown}
		}
		return []any{ran}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// releaseModel is the number of the newest revision: accepted notes get higher
// numbers than those accepted before they were submitted.
var releaseModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		r := output.(operator.ReleaseResult)
		if r.Status != operator.ReleaseAccepted {
			return true, state
		}
		return r.Revision > state.(int), r.Revision
	},
}

func TestLinearizableUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		h := &history{}
		failures := collectFailures(t, nil, func(env *testEnv) {
			env.performAll(actions, h)
			for i := range randomKeyCount {
				if n := env.executionsOf(i); n > 1 {
					env.errorf("key %d ran %d times", i, n)
				}
			}
		})
		if !porcupine.CheckOperations(tagModel, h.tagCalls) {
			failures = append(failures, "the history of tags is not linearizable")
		}
		if !porcupine.CheckOperations(releaseModel, h.releases) {
			failures = append(failures, "the history of release notes is not linearizable")
		}
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

// executionsOf counts how often the call with a key ran.
func (env *testEnv) executionsOf(key int) int {
	n := 0
	for _, l := range env.Ledgers {
		for _, r := range l.Runs() {
			if r.Body == fmt.Sprintf(`{"tag":%d}`, key) {
				n++
			}
		}
	}
	return n
}
