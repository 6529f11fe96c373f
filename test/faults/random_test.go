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

// move is one thing that happens in a random run.
type move struct {
	AtMs int
	Kind string
	VM   int
	Arg  int
}

// Kinds of moves.
const (
	moveStream  = "stream"
	moveBuffer  = "buffer"
	moveTag     = "tag"
	moveRelease = "release"
	moveFault   = "fault"
)

const (
	randomSpan = 40_000 // ms
	randomKeys = 4
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

func drawMoves(t *rapid.T) []move {
	faults := len(randomFaults())
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
		m := move{
			AtMs: rapid.IntRange(0, randomSpan).Draw(t, "atMs"),
			Kind: rapid.SampledFrom([]string{moveStream, moveBuffer, moveTag, moveTag, moveTag, moveRelease, moveFault, moveFault}).Draw(t, "kind"),
			VM:   rapid.IntRange(0, 3).Draw(t, "vm"),
		}
		switch m.Kind {
		case moveFault:
			m.Arg = rapid.IntRange(0, faults-1).Draw(t, "fault")
		case moveTag:
			m.Arg = rapid.IntRange(0, randomKeys-1).Draw(t, "key")
		default:
			m.Arg = rapid.IntRange(1, 150).Draw(t, "length")
		}
		return m
	}), 5, 40).Draw(t, "moves")
}

// history collects the operations for the linearizability checks.
type history struct {
	mu       sync.Mutex
	tags     []porcupine.Operation
	releases []porcupine.Operation
}

func (h *history) add(list *[]porcupine.Operation, o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, o)
}

// play carries out the moves and checks what came of them.
func (w *world) play(moves []move, h *history) {
	setLedgers(ledger.Faults{DelayMs: 50})(w)
	var wg sync.WaitGroup
	for i, m := range moves {
		wg.Go(func() {
			time.Sleep(time.Duration(m.AtMs) * time.Millisecond)
			w.move(i, m, h)
		})
	}
	wg.Wait()
	// Heal whatever overlapping faults left behind.
	w.net.HealAll()
	time.Sleep(faultTime + settled)
	if a := w.stream(10, 2, 3); a.err != nil {
		w.errorf("the fleet did not recover: %v", a.err)
	}
	highest := 0
	for _, v := range w.VMs {
		highest = max(highest, v.State().Number)
	}
	for _, v := range w.VMs {
		if v.State().Number != highest {
			w.errorf("%s has revision %d of %d", v.Self().Name, v.State().Number, highest)
		}
	}
}

func (w *world) move(i int, m move, h *history) {
	call := time.Now().UnixNano()
	switch m.Kind {
	case moveFault:
		f := randomFaults()[m.Arg]
		if w.claimFault(f.name) {
			f.apply(w)
			time.Sleep(faultTime)
			if f.heal != nil {
				f.heal(w)
			}
			w.releaseFault(f.name)
		}
	case moveStream:
		a := w.stream(m.Arg, m.VM, (m.VM+1)%4, (m.VM+2)%4)
		if a.Tokens > 0 && !oneGeneration(a.RequestID, a.text, a.Tokens) {
			w.errorf("move %d: the tokens are not of one generation", i)
		}
		if a.err == nil && a.Tokens != m.Arg {
			w.errorf("move %d: %d tokens of %d", i, a.Tokens, m.Arg)
		}
	case moveBuffer:
		if b, err := w.buffered(m.Arg); err == nil && !oneGeneration(b.request, b.text, m.Arg) {
			w.errorf("move %d: the answer is not one whole generation", i)
		}
	case moveTag:
		r := w.tag(tagCall(fmt.Sprintf("key-%d", m.Arg), fmt.Sprintf(`{"tag":%d}`, m.Arg)), m.VM)
		h.add(&h.tags, porcupine.Operation{ClientId: i, Input: m.Arg, Call: call, Output: r, Return: time.Now().UnixNano()})
	case moveRelease:
		r := w.VMs[m.VM].Release(w.ctx, wire.ReleaseNote{Id: fmt.Sprintf("move-%d", i), Changed: &wire.Objects{Workspaces: []wire.Workspace{{
			Name: fleet.OtherWorkspace, KeyHashes: []string{chain.KeyHash(fleet.OtherKey)},
			Services: []string{fleet.ServiceReports}, Weight: i + 1,
		}}}})
		h.add(&h.releases, porcupine.Operation{ClientId: i, Input: i, Call: call, Output: r, Return: time.Now().UnixNano()})
	}
}

// claimFault keeps one kind of fault from being applied twice at a time, as a
// VM can't be restarted twice.
func (w *world) claimFault(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.striking == nil {
		w.striking = map[string]bool{}
	}
	if w.striking[name] {
		return false
	}
	w.striking[name] = true
	return true
}

func (w *world) releaseFault(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.striking, name)
}

// ranUnnumbered is the state of a key whose call may have run.
const ranUnnumbered = -1

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
			if json.Unmarshal(r.answer.Body, &entry) != nil {
				return nil
			}
			if ran == 0 || ran == ranUnnumbered || ran == entry.Number {
				return []any{entry.Number}
			}
			return nil
		case "notRun":
			if ran == 0 || r.platformOut() {
				return []any{ran}
			}
			return nil
		}
		if ran == 0 {
			return []any{0, ranUnnumbered}
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

func TestRandomRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		moves := drawMoves(rt)
		h := &history{}
		failures := runWorld(t, nil, func(w *world) {
			w.play(moves, h)
			for i := range randomKeys {
				if n := w.runsOf(i); n > 1 {
					w.errorf("key %d ran %d times", i, n)
				}
			}
		})
		if !porcupine.CheckOperations(tagModel, h.tags) {
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

// runsOf counts how often the call with a key ran.
func (w *world) runsOf(key int) int {
	n := 0
	for _, l := range w.Ledgers {
		for _, r := range l.Runs() {
			if r.Body == fmt.Sprintf(`{"tag":%d}`, key) {
				n++
			}
		}
	}
	return n
}
