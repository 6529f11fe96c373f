package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// scenario is a course of events with checks of its own.
type scenario struct {
	name   string
	change func(*fleet.Options)
	run    func(w *world)
}

func tagCall(key, body string) client.Call {
	return client.Call{
		Service: fleet.ServiceTags, Method: http.MethodPost, Path: "/tags",
		ContentType: "application/json", Body: []byte(body), Key: key,
	}
}

// atOnce sends the same call through several VMs at the same time.
func (w *world) atOnce(call client.Call, vms ...int) []tagResult {
	results := make([]tagResult, len(vms))
	var wg sync.WaitGroup
	for i, v := range vms {
		wg.Go(func() { results[i] = w.tag(call, v) })
	}
	wg.Wait()
	return results
}

func sameKeyAtOnce(f store.Faults) func(*world) {
	return func(w *world) {
		setLedgers(ledger.Faults{DelayMs: 300})(w)
		w.Store.SetFaults(f)
		for i, r := range w.atOnce(tagCall("key-1", `{"tag":"HC-1"}`), 0, 1, 2, 3) {
			w.checkTag(r, fmt.Sprintf("VM %d", i))
		}
	}
}

func emptyBodyAnswerLost(w *world) {
	// A first call leaves an idle connection, which the transport reuses.
	w.tag(tagCall("warm-up", `{}`), 0)
	before := w.runs()
	w.KillLedger(1)
	setLedgers(ledger.Faults{DropResponses: 1})(w)
	r := w.tag(tagCall("key-1", ""), 0)
	if n := w.runs() - before; n > 1 {
		w.errorf("ran %d times, the caller was told %s", n, r.outcome())
	}
}

func keyReusedForAnotherRequest(w *world) {
	first := w.tag(tagCall("key-1", `{"tag":"HC-1"}`), 0)
	second := w.tag(tagCall("key-1", `{"tag":"HC-2"}`), 1)
	if first.err != nil || second.outcome() != "notRun" || w.runs() != 1 {
		w.errorf("first %v, second %v, %d runs", first.err, second.err, w.runs())
	}
}

// holderPaused delays the platform so that the claim is granted long before the
// dispatch, while another VM tries the same key.
func holderPaused(w *world) {
	w.Store.SetFaults(store.Faults{DelayMs: 1500})
	results := make(chan tagResult, 2)
	go func() { results <- w.tag(tagCall("key-1", `{"tag":"HC-1"}`), 0) }()
	time.Sleep(100 * time.Millisecond)
	go func() { results <- w.tag(tagCall("key-1", `{"tag":"HC-1"}`), 2) }()
	w.checkTag(<-results, "first")
	w.checkTag(<-results, "second")
	w.Store.SetFaults(store.Faults{})
	last := w.tag(tagCall("key-1", `{"tag":"HC-1"}`), 1)
	w.checkTag(last, "last")
	if last.err != nil {
		w.errorf("the call cannot be finished: %v", last.err)
	}
}

// deadHolder kills the VM that dispatched; a backend that deduplicates lets the
// key be sent again, another one does not.
func deadHolder(w *world) {
	setLedgers(ledger.Faults{DelayMs: 300})(w)
	time.AfterFunc(100*time.Millisecond, func() {
		w.VMs[0].Kill()
		w.net.Crash(w.VMs[0].Host)
	})
	w.tag(tagCall("key-1", `{"tag":"HC-1"}`), 0)
	time.Sleep(settled)
	last := w.tag(tagCall("key-1", `{"tag":"HC-1"}`), 1)
	w.checkTag(last, "last")
	want := "unknown"
	if w.Ledgers[0].Deduplicates {
		want = "finished"
	}
	if last.outcome() != want {
		w.errorf("told %s in place of %s: %v", last.outcome(), want, last.err)
	}
}

func callerLeaves(w *world) {
	ctx, cancel := context.WithCancel(w.ctx)
	time.AfterFunc(time.Second, cancel)
	_, err := w.Client(0).Stream(ctx, client.Completion{Model: fleet.ServiceReports, Prompt: "length=5000"},
		func(client.Token) error { return nil })
	if err == nil {
		w.errorf("the stream ended by itself")
	}
	time.Sleep(10 * time.Second)
	for _, e := range w.Engines {
		if n := e.Open(); n != 0 {
			w.errorf("%s still runs %d generations", e.Backend.Name, n)
		}
	}
}

func everyEngineDies(w *world) {
	time.AfterFunc(500*time.Millisecond, func() {
		for i := range w.Engines {
			w.KillEngine(i)
		}
	})
	_, err := w.buffered(reportTokens)
	if err == nil {
		w.errorf("finished without an engine")
	}
	w.checkRefusal(err)
}

// leavingBackend lists an engine as leaving, and later sends work that must not
// reach it. The engine itself would accept.
func leavingBackend(w *world) {
	w.SetListedState(0, "leaving")
	time.Sleep(3 * time.Second)
	before := w.Engines[0].Started()
	for i := range 8 {
		if a := w.stream(5, i%4); a.err != nil {
			w.errorf("report %d: %v", i, a.err)
		}
	}
	if n := w.Engines[0].Started() - before; n != 0 {
		w.errorf("the leaving engine got %d new generations", n)
	}
}

func leavingWhilePlatformOut(w *world) {
	w.SetOutage(true)
	w.Engines[0].SetFaults(leaving)
	time.Sleep(3 * time.Second)
	for i := range 8 {
		if a := w.stream(5, i%4); a.err != nil {
			w.errorf("report %d: %v", i, a.err)
		}
	}
	if n := w.Engines[0].Started(); n != 0 {
		w.errorf("the leaving engine got %d new generations", n)
	}
}

// racingOperators submits disjoint and clashing notes at several VMs at once.
func racingOperators(w *world) {
	base := w.VMs[0].State().Number
	note := func(id, workspace string, weight int) wire.ReleaseNote {
		return wire.ReleaseNote{Id: id, Base: base, Changed: &wire.Objects{Workspaces: []wire.Workspace{{
			Name: workspace, KeyHashes: []string{chain.KeyHash(keys[workspace])},
			Services: []string{fleet.ServiceReports, fleet.ServiceTags}, Weight: weight,
		}}}}
	}
	notes := []wire.ReleaseNote{
		note("a", fleet.Workspace, 2), note("b", fleet.OtherWorkspace, 3), note("c", fleet.Workspace, 4), note("d", fleet.OtherWorkspace, 5),
	}
	results := make([]operator.ReleaseResult, len(notes))
	var wg sync.WaitGroup
	for i, n := range notes {
		wg.Go(func() { results[i] = w.VMs[i].Release(w.ctx, n) })
	}
	wg.Wait()
	accepted := 0
	for i, r := range results {
		stored := 0
		for _, k := range w.Store.Keys("config/rev/") {
			value, _, _ := w.Store.Read(k)
			if wireNote(value) == notes[i].Id {
				stored++
			}
		}
		switch r.Status {
		case operator.ReleaseAccepted:
			accepted++
			if stored != 1 {
				w.errorf("note %s was accepted but is in the chain %d times", notes[i].Id, stored)
			}
		case operator.ReleaseConflict:
			if stored != 0 || len(r.Reasons) != 1 {
				w.errorf("note %s: conflict about %v, in the chain %d times", notes[i].Id, r.Reasons, stored)
			}
		default:
			w.errorf("note %s: %v", notes[i].Id, r)
		}
	}
	if accepted != 2 {
		w.errorf("%d notes were accepted; one for each workspace fits", accepted)
	}
}

// rolling replaces every VM, one after the other, under load. No request may
// fail that the balancer sends to a VM that is ready.
func rolling(w *world) {
	ctx, cancel := context.WithCancel(w.ctx)
	var wg sync.WaitGroup
	served := 0
	for n := range 6 {
		wg.Go(func() {
			for i := n; ctx.Err() == nil; i++ {
				v := w.readyVM(i)
				if a := w.stream(40, v); a.err != nil || a.Tokens != 40 {
					w.errorf("a report through VM %d failed: %v", v, a.err)
				}
				w.mu.Lock()
				served++
				w.mu.Unlock()
			}
		})
	}
	for i := range w.VMs {
		time.Sleep(3 * time.Second)
		if !w.VMs[i].Stop(w.ctx) {
			w.errorf("VM %d cut off a request", i)
		}
		w.restart(i)
		if err := w.AwaitReady(w.ctx); err != nil {
			w.errorf("%v", err)
		}
	}
	cancel()
	wg.Wait()
	if served < 100 {
		w.errorf("only %d reports were served", served)
	}
}

// readyVM is the balancer's choice.
func (w *world) readyVM(n int) int {
	for i := range w.VMs {
		v := (n + i) % len(w.VMs)
		if ok, _ := w.VMs[v].Ready(); ok {
			return v
		}
	}
	return 0
}

// stopWithStreams stops a VM that serves 200 streams.
func stopWithStreams(w *world) {
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if a := w.stream(60, 0); a.err != nil || a.Tokens != 60 || a.Resumes != 0 {
				w.errorf("%d tokens after %d resumes: %v", a.Tokens, a.Resumes, a.err)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if !w.VMs[0].Stop(w.ctx) {
		w.errorf("requests were cut off")
	}
	wg.Wait()
}

// replaceCentre kills and restarts all VMs of a data centre at once.
func replaceCentre(w *world) {
	for _, i := range []int{0, 1} {
		w.VMs[i].Kill()
		w.net.Crash(w.VMs[i].Host)
	}
	time.Sleep(time.Second)
	w.restart(0)
	w.restart(1)
	time.Sleep(settled)
	for i := range w.VMs {
		if a := w.stream(10, i); a.err != nil {
			w.errorf("VM %d: %v", i, a.err)
		}
	}
}

// startWhilePlatformOut restarts a VM that must learn the configuration and the
// backends from the others before it is ready.
func startWhilePlatformOut(w *world) {
	w.VMs[0].Kill()
	w.net.Crash(w.VMs[0].Host)
	w.SetOutage(true)
	time.Sleep(time.Second)
	w.restart(0)
	err := fleet.Await(w.ctx, "the VM is ready", func() bool {
		ok, _ := w.VMs[0].Ready()
		return ok
	})
	if err != nil {
		w.errorf("%v", err)
	}
	if n := w.VMs[0].State().Number; n != 1 {
		w.errorf("ready with revision %d", n)
	}
	if a := w.stream(10, 0); a.err != nil {
		w.errorf("%v", a.err)
	}
}

// staleStore shows VMs an older state of the platform after a restart of a
// watcher; nothing may revert.
func staleStore(w *world) {
	_, old, _ := w.Store.Read("config/rev/000000000001")
	r := w.VMs[0].Release(w.ctx, wire.ReleaseNote{Id: "x", Withdrawn: &wire.Names{Workspaces: []string{fleet.OtherWorkspace}}})
	if err := w.AwaitRevision(w.ctx, r.Revision); err != nil {
		w.errorf("%v", err)
	}
	w.Store.SetFaults(store.Faults{StaleVersion: old})
	w.VMs[0].Kill()
	w.net.Crash(w.VMs[0].Host)
	w.restart(0)
	time.Sleep(settled)
	for _, v := range w.VMs {
		if v.State().Number != r.Revision {
			w.errorf("%s has revision %d", v.Self().Name, v.State().Number)
		}
	}
}

// oldSnapshot hands a core an older snapshot than the one in force.
func oldSnapshot(*world) {
	c := control.New(control.Options{Self: wire.VM{Name: "a"}, ProbeInterval: time.Second, Suspicion: time.Second})
	now := time.Unix(1000, 0)
	old := chain.Empty()
	c.Step(now, control.RevisionsRead{Revisions: []wire.Revision{old.Next(wire.ReleaseNote{Id: "1"}, 0)}})
	c.Step(now, control.RevisionsRead{Snapshot: &wire.Snapshot{}})
}

var leaving = llm.Faults{Draining: true}

// wireNote returns the id of a stored revision's note.
func wireNote(value []byte) string {
	var r wire.Revision
	if json.Unmarshal(value, &r) != nil {
		return ""
	}
	return r.Note.Id
}

var keys = map[string]string{fleet.Workspace: fleet.WorkspaceKey, fleet.OtherWorkspace: fleet.OtherKey}

var scenarios = []scenario{
	{"sameKeyAtOnce", nil, sameKeyAtOnce(store.Faults{})},
	{"sameKeyAtOnceAnswersLost", nil, sameKeyAtOnce(store.Faults{DropResponses: 4})},
	{"sameKeyAtOncePlatformSilent", nil, sameKeyAtOnce(store.Faults{DelayMs: 3000})},
	{"emptyBodyAnswerLost", nil, emptyBodyAnswerLost},
	{"keyReused", nil, keyReusedForAnotherRequest},
	{"holderPaused", nil, holderPaused},
	{"deadHolder", nil, deadHolder},
	{"deadHolderDeduplicated", func(o *fleet.Options) { o.Deduplicates = true; o.DataCentres = oneLedger() }, deadHolder},
	{"callerLeaves", nil, callerLeaves},
	{"everyEngineDies", nil, everyEngineDies},
	{"leavingBackend", nil, leavingBackend},
	{"leavingWhilePlatformOut", nil, leavingWhilePlatformOut},
	{"racingOperators", nil, racingOperators},
	{"rolling", nil, rolling},
	{"stopWithStreams", nil, stopWithStreams},
	{"replaceCentre", nil, replaceCentre},
	{"startWhilePlatformOut", nil, startWhilePlatformOut},
	{"staleStore", nil, staleStore},
	{"oldSnapshot", nil, oldSnapshot},
}

// oneLedger is the layout with a single replica of the service, which is what
// deduplication by one backend needs.
func oneLedger() []fleet.DataCentre {
	l := twoCentres()
	l[1].Ledgers = 0
	return l
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			inWorld(t, s.change, s.run)
		})
	}
}
