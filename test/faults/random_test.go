package faults_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// action is one event of a random run.
type action struct {
	// AtMs is the start in milliseconds after the start of the run.
	AtMs int
	Kind string
	// VM is the index of the VM that gets the request.
	VM int
	// Arg is an index into randomFaults for a fault, the number of the key for a tag
	// call, and the length in tokens for a report. A release does not use it.
	Arg int
}

// Kinds of actions.
const (
	actionStreamedReport = "stream"
	actionBufferedReport = "buffer"
	actionTagCall        = "tag"
	actionRelease        = "release"
	actionFault          = "fault"
)

const (
	randomRunMs    = 40_000
	randomKeyCount = 4
)

// randomFaults returns the faults of random runs. Faults that remove an engine or
// a replica of the service for good are left out.
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
	faultCount := len(randomFaults())
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		act := action{
			AtMs: rapid.IntRange(0, randomRunMs).Draw(t, "atMs"),
			Kind: rapid.SampledFrom([]string{actionStreamedReport, actionBufferedReport, actionTagCall, actionTagCall, actionTagCall, actionRelease, actionFault, actionFault}).Draw(t, "kind"),
			VM:   rapid.IntRange(0, 3).Draw(t, "vm"),
		}
		switch act.Kind {
		case actionFault:
			act.Arg = rapid.IntRange(0, faultCount-1).Draw(t, "fault")
		case actionTagCall:
			act.Arg = rapid.IntRange(0, randomKeyCount-1).Draw(t, "key")
		default:
			act.Arg = rapid.IntRange(1, 150).Draw(t, "length")
		}
		return act
	}), 5, 40).Draw(t, "moves")
}

// history records operations for the linearizability checks.
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

// performAll performs the actions, heals all faults and checks that the fleet
// recovers and that every VM has the newest revision.
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
	// Heal the cuts that overlapping faults have left.
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
			env.errorf("%s has revision %d, the newest is %d", vm.Self().Name, vm.State().Number, highest)
		}
	}
}

// perform performs the action with index i and records it in h.
func (env *testEnv) perform(i int, act action, h *history) {
	start := time.Now().UnixNano()
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
	case actionStreamedReport:
		result := env.stream(act.Arg, act.VM, (act.VM+1)%4, (act.VM+2)%4)
		if result.Tokens > 0 && !fromOneGeneration(result.RequestID, result.text, result.Tokens) {
			env.errorf("action %d: the tokens are not from one generation", i)
		}
		if result.err == nil && result.Tokens != act.Arg {
			env.errorf("action %d: got %d tokens, want %d", i, result.Tokens, act.Arg)
		}
	case actionBufferedReport:
		if report, err := env.bufferedReport(act.Arg); err == nil && !fromOneGeneration(report.request, report.text, act.Arg) {
			env.errorf("action %d: the response is not one complete generation", i)
		}
	case actionTagCall:
		callResult := env.callTags(tagCall(fmt.Sprintf("key-%d", act.Arg), fmt.Sprintf(`{"tag":%d}`, act.Arg)), act.VM)
		h.add(&h.tagCalls, porcupine.Operation{ClientId: i, Input: act.Arg, Call: start, Output: callResult, Return: time.Now().UnixNano()})
	case actionRelease:
		releaseResult := env.VMs[act.VM].Release(env.ctx, wire.ReleaseNote{Id: fmt.Sprintf("move-%d", i), Changed: &wire.Objects{Workspaces: []wire.Workspace{{
			Name: fleet.OtherWorkspace, KeyHashes: []string{configchain.KeyHash(fleet.OtherKey)},
			Services: []string{fleet.ServiceReports}, Weight: i + 1,
		}}}})
		h.add(&h.releases, porcupine.Operation{ClientId: i, Input: i, Call: start, Output: releaseResult, Return: time.Now().UnixNano()})
	}
}

// activateFault marks a fault as active. It returns false if the fault is active
// already, so that it is not injected twice at a time; a VM can't be restarted
// twice.
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

// ranNumberUnknown is the state of a key whose call has run, but the number of the
// ledger entry is not known because no response has shown it.
const ranNumberUnknown = -1

// tagModel models one key. The state is 0 until the call has run, then the number
// of the ledger entry that it created, or ranNumberUnknown.
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
		number, result := state.(int), output.(tagResult)
		switch result.outcome() {
		case "finished":
			var entry struct{ Number int }
			if json.Unmarshal(result.response.Body, &entry) != nil {
				return nil
			}
			if number == 0 || number == ranNumberUnknown || number == entry.Number {
				return []any{entry.Number}
			}
			return nil
		case "notRun":
			if number == 0 || result.platformUnavailable() {
				return []any{number}
			}
			return nil
		}
		// With any other outcome, the call may have run.
		if number == 0 {
			return []any{0, ranNumberUnknown}
		}
		return []any{number}
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// releaseModel models the revision chain. The state is the number of the newest
// revision: an accepted note gets a higher number than every note that was
// accepted before it was submitted.
var releaseModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		result := output.(operator.ReleaseResult)
		if result.Status != operator.ReleaseAccepted {
			return true, state
		}
		return result.Revision > state.(int), result.Revision
	},
}

// TestLinearizableUnderRandomFaults performs random requests, release notes and
// faults. It checks that the call of each key runs at most once and that the
// histories of tag calls and release notes are linearizable.
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
			failures = append(failures, "the history of tag calls is not linearizable")
		}
		if !porcupine.CheckOperations(releaseModel, h.releases) {
			failures = append(failures, "the history of release notes is not linearizable")
		}
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

// executionsOf returns how many times the call with the key ran. The call is
// identified by its body.
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
