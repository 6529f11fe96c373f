package faults_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// scenario is a test that is not part of the fault matrix and has its own checks.
type scenario struct {
	name       string
	setOptions func(*fleet.Options)
	run        func(env *testEnv)
}

// tagCall returns a call to the tags service with an idempotency key, or without
// one if key is empty.
func tagCall(key, body string) client.Call {
	return client.Call{
		Service: fleet.ServiceTags, Method: http.MethodPost, Path: "/tags",
		ContentType: "application/json", Body: []byte(body), Key: key,
	}
}

// callConcurrently sends the same call through several VMs at the same time.
func (env *testEnv) callConcurrently(call client.Call, vms ...int) []tagResult {
	results := make([]tagResult, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { results[i] = env.callTags(call, vm) })
	}
	wg.Wait()
	return results
}

// concurrentSameKey sends the same call with one key through all VMs at once while
// the platform has the faults f. The call must run at most once.
func concurrentSameKey(f store.Faults) func(*testEnv) {
	return func(env *testEnv) {
		setLedgerFaults(ledger.Faults{DelayMs: 300})(env)
		env.Store.SetFaults(f)
		for i, result := range env.callConcurrently(tagCall("key-1", `{"tag":"HC-1"}`), 0, 1, 2, 3) {
			env.checkTagResult(result, fmt.Sprintf("VM %d", i))
		}
	}
}

// emptyBodyResponseLost loses the response to a call without a body. http.Transport
// retries such a call on its own when it has an idempotency key and the connection
// was reused; the call must still run at most once.
func emptyBodyResponseLost(env *testEnv) {
	// The first call leaves an idle connection for the transport to reuse.
	env.callTags(tagCall("warm-up", `{}`), 0)
	before := env.executions()
	env.KillLedger(1)
	setLedgerFaults(ledger.Faults{DropResponses: 1})(env)
	result := env.callTags(tagCall("key-1", ""), 0)
	if n := env.executions() - before; n > 1 {
		env.errorf("the call ran %d times, the caller got outcome %s", n, result.outcome())
	}
}

// keyReusedForAnotherRequest sends a different request with a key that was already
// used. It must be refused without running.
func keyReusedForAnotherRequest(env *testEnv) {
	first := env.callTags(tagCall("key-1", `{"tag":"HC-1"}`), 0)
	second := env.callTags(tagCall("key-1", `{"tag":"HC-2"}`), 1)
	if first.err != nil || second.outcome() != "notRun" || env.executions() != 1 {
		env.errorf("first %v, second %v, %d runs", first.err, second.err, env.executions())
	}
}

// claimHolderDelayed slows the platform down, so that the claim is granted long
// before the call is dispatched, while another VM tries the same key.
func claimHolderDelayed(env *testEnv) {
	env.Store.SetFaults(store.Faults{DelayMs: 1500})
	results := make(chan tagResult, 2)
	go func() { results <- env.callTags(tagCall("key-1", `{"tag":"HC-1"}`), 0) }()
	time.Sleep(100 * time.Millisecond)
	go func() { results <- env.callTags(tagCall("key-1", `{"tag":"HC-1"}`), 2) }()
	env.checkTagResult(<-results, "first")
	env.checkTagResult(<-results, "second")
	env.Store.SetFaults(store.Faults{})
	retry := env.callTags(tagCall("key-1", `{"tag":"HC-1"}`), 1)
	env.checkTagResult(retry, "last")
	if retry.err != nil {
		env.errorf("the call cannot be completed: %v", retry.err)
	}
}

// claimHolderFails kills the VM that dispatched the call. The call may be sent
// again only if the backend deduplicates by key; otherwise its outcome is unknown.
func claimHolderFails(env *testEnv) {
	setLedgerFaults(ledger.Faults{DelayMs: 300})(env)
	time.AfterFunc(100*time.Millisecond, func() {
		env.VMs[0].Kill()
		env.network.Crash(env.VMs[0].Host)
	})
	env.callTags(tagCall("key-1", `{"tag":"HC-1"}`), 0)
	time.Sleep(recoveryTime)
	retry := env.callTags(tagCall("key-1", `{"tag":"HC-1"}`), 1)
	env.checkTagResult(retry, "last")
	want := "unknown"
	if env.Ledgers[0].Deduplicates {
		want = "finished"
	}
	if retry.outcome() != want {
		env.errorf("got outcome %s, want %s: %v", retry.outcome(), want, retry.err)
	}
}

// callerDisconnects checks that the generation of a caller that disconnects is
// cancelled.
func callerDisconnects(env *testEnv) {
	ctx, cancel := context.WithCancel(env.ctx)
	time.AfterFunc(time.Second, cancel)
	_, err := env.Client(0).Stream(ctx, client.Completion{Model: fleet.ServiceReports, Prompt: "length=5000"},
		func(client.Token) error { return nil })
	if err == nil {
		env.errorf("the stream ended before it was cancelled")
	}
	time.Sleep(10 * time.Second)
	for _, e := range env.Engines {
		if n := e.OpenGenerations(); n != 0 {
			env.errorf("%s still runs %d generations", e.Backend.Name, n)
		}
	}
}

// allEnginesFail kills every engine during a request, which must not be reported
// as not run.
func allEnginesFail(env *testEnv) {
	time.AfterFunc(500*time.Millisecond, func() {
		for i := range env.Engines {
			env.KillEngine(i)
		}
	})
	_, err := env.bufferedReport(reportTokens)
	if err == nil {
		env.errorf("the report finished although every engine was killed")
	}
	env.checkNotRun(err)
}

// leavingBackend lists an engine as leaving on the platform and checks that VMs
// send it no more work. The engine itself would accept it.
func leavingBackend(env *testEnv) {
	env.SetListedState(0, "leaving")
	time.Sleep(3 * time.Second)
	before := env.Engines[0].Started()
	for i := range 8 {
		if result := env.stream(5, i%4); result.err != nil {
			env.errorf("report %d: %v", i, result.err)
		}
	}
	if n := env.Engines[0].Started() - before; n != 0 {
		env.errorf("the leaving engine got %d new generations", n)
	}
}

// leavingDuringPlatformOutage checks that reports succeed while the platform is
// unavailable and an engine reports itself as leaving. The engine must get no request
// for a generation once its report is known: it would refuse one, so that the
// generations it started would not show the request.
func leavingDuringPlatformOutage(env *testEnv) {
	env.SetOutage(true)
	env.Engines[0].SetFaults(leavingFault)
	time.Sleep(3 * time.Second)
	before := env.Engines[0].Requested()
	for i := range 8 {
		if result := env.stream(5, i%4); result.err != nil {
			env.errorf("report %d: %v", i, result.err)
		}
	}
	if n := env.Engines[0].Requested() - before; n != 0 {
		env.errorf("the leaving engine got %d requests for generations", n)
	}
}

// concurrentReleases submits release notes through several VMs at once, some of
// which change the same workspace. One note for each workspace must be accepted.
func concurrentReleases(env *testEnv) {
	base := env.VMs[0].State().Number
	note := func(id, workspace string, weight int) wire.ReleaseNote {
		return wire.ReleaseNote{Id: id, Base: base, Changed: &wire.Objects{Workspaces: []wire.Workspace{{
			Name: workspace, KeyHashes: []string{configchain.KeyHash(workspaceKeys[workspace])},
			Services: []string{fleet.ServiceReports, fleet.ServiceTags}, Weight: weight,
		}}}}
	}
	notes := []wire.ReleaseNote{
		note("a", fleet.Workspace, 2), note("b", fleet.OtherWorkspace, 3), note("c", fleet.Workspace, 4), note("d", fleet.OtherWorkspace, 5),
	}
	results := make([]operator.ReleaseResult, len(notes))
	var wg sync.WaitGroup
	for i, n := range notes {
		wg.Go(func() { results[i] = env.VMs[i].Release(env.ctx, n) })
	}
	wg.Wait()
	accepted := 0
	for i, result := range results {
		stored := 0
		for _, k := range env.Store.Keys("config/rev/") {
			value, _, _ := env.Store.Read(k)
			if noteID(value) == notes[i].Id {
				stored++
			}
		}
		switch result.Status {
		case operator.ReleaseAccepted:
			accepted++
			if stored != 1 {
				env.errorf("note %s was accepted but is in the chain %d times", notes[i].Id, stored)
			}
		case operator.ReleaseConflict:
			if stored != 0 || len(result.Reasons) != 1 {
				env.errorf("note %s: conflict about %v, in the chain %d times", notes[i].Id, result.Reasons, stored)
			}
		default:
			env.errorf("note %s: %v", notes[i].Id, result)
		}
	}
	if accepted != 2 {
		env.errorf("%d notes were accepted, want one for each of the two workspaces", accepted)
	}
}

// rollingRestart restarts every VM, one after the other, under load. No request may
// fail that a load balancer sends to a VM that is ready.
func rollingRestart(env *testEnv) {
	ctx, cancel := context.WithCancel(env.ctx)
	var wg sync.WaitGroup
	served := 0
	for n := range 6 {
		wg.Go(func() {
			for i := n; ctx.Err() == nil; i++ {
				vm := env.readyVM(i)
				if result := env.stream(40, vm); result.err != nil || result.Tokens != 40 {
					env.errorf("a report through VM %d failed: %v", vm, result.err)
				}
				env.mu.Lock()
				served++
				env.mu.Unlock()
			}
		})
	}
	for i := range env.VMs {
		time.Sleep(3 * time.Second)
		if !env.VMs[i].Stop(env.ctx) {
			env.errorf("VM %d stopped before its requests had ended", i)
		}
		env.restart(i)
		if err := env.AwaitReady(env.ctx); err != nil {
			env.errorf("%v", err)
		}
	}
	cancel()
	wg.Wait()
	if served < 100 {
		env.errorf("only %d reports were served", served)
	}
}

// readyVM returns the VM that a load balancer would choose: the first one that is
// ready, starting with VM n modulo the number of VMs, or 0 if none is ready.
func (env *testEnv) readyVM(n int) int {
	for i := range env.VMs {
		vm := (n + i) % len(env.VMs)
		if ok, _ := env.VMs[vm].Ready(); ok {
			return vm
		}
	}
	return 0
}

// stopDrainsStreams stops a VM that serves 200 streams. All of them must complete
// without a resume.
func stopDrainsStreams(env *testEnv) {
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if result := env.stream(60, 0); result.err != nil || result.Tokens != 60 || result.Resumes != 0 {
				env.errorf("%d tokens after %d resumes: %v", result.Tokens, result.Resumes, result.err)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	if !env.VMs[0].Stop(env.ctx) {
		env.errorf("VM 0 stopped before its requests had ended")
	}
	wg.Wait()
}

// lineCounter counts the log lines that contain a text.
type lineCounter struct {
	text  string
	lines atomic.Int64
}

func (c *lineCounter) Write(b []byte) (int, error) {
	c.lines.Add(int64(bytes.Count(b, []byte(c.text))))
	return len(b), nil
}

// TestPlannedStopUnderLoadCutsNoRequestOff stops a VM while callers keep sending calls to it, on open connections
// and on new ones, until it refuses connections. Each request that the VM has read, which
// its log shows, must get an answer.
func TestPlannedStopUnderLoadCutsNoRequestOff(t *testing.T) {
	const callers = 100
	handled := &lineCounter{text: "event=request request=req-entry-1-"}
	runTest(t, func(o *fleet.Options) { o.Log = logline.New(handled, "info") }, func(env *testEnv) {
		ctx, cancel := context.WithCancel(env.ctx)
		var wg sync.WaitGroup
		var answers atomic.Int64
		for i := range callers {
			wg.Go(func() {
				caller := env.Client(0)
				for n := 0; ctx.Err() == nil; n++ {
					_, err := caller.Do(ctx, tagCall("", fmt.Sprintf(`{"tag":"HC-%d-%d"}`, i, n)))
					var problem *client.Error
					if err == nil || errors.As(err, &problem) {
						answers.Add(1)
					}
					time.Sleep(time.Duration(1+(7*n+3*i)%23) * time.Millisecond)
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		if !env.VMs[0].Stop(env.ctx) {
			env.errorf("VM 0 stopped before its requests had ended")
		}
		time.Sleep(100 * time.Millisecond)
		cancel()
		wg.Wait()
		if read := handled.lines.Load(); read < callers || answers.Load() < read {
			env.errorf("VM 0 read %d requests, callers got %d answers", read, answers.Load())
		}
	})
}

// replaceDataCentre kills and restarts all VMs of a data centre at once. Every VM
// must serve requests afterwards.
func replaceDataCentre(env *testEnv) {
	for _, i := range []int{0, 1} {
		env.VMs[i].Kill()
		env.network.Crash(env.VMs[i].Host)
	}
	time.Sleep(time.Second)
	env.restart(0)
	env.restart(1)
	time.Sleep(recoveryTime)
	for i := range env.VMs {
		if result := env.stream(10, i); result.err != nil {
			env.errorf("VM %d: %v", i, result.err)
		}
	}
}

// startDuringPlatformOutage restarts a VM while the platform is unavailable. It
// must get the configuration and the backends from other VMs before it is ready.
func startDuringPlatformOutage(env *testEnv) {
	env.VMs[0].Kill()
	env.network.Crash(env.VMs[0].Host)
	env.SetOutage(true)
	time.Sleep(time.Second)
	env.restart(0)
	err := fleet.Await(env.ctx, "the VM is ready", func() bool {
		ok, _ := env.VMs[0].Ready()
		return ok
	})
	if err != nil {
		env.errorf("%v", err)
	}
	if n := env.VMs[0].State().Number; n != 1 {
		env.errorf("ready with revision %d", n)
	}
	if result := env.stream(10, 0); result.err != nil {
		env.errorf("%v", result.err)
	}
}

// stalePlatformReads restarts a VM that watches the platform while reads return an
// older state of the platform. No VM may go back to an older revision.
func stalePlatformReads(env *testEnv) {
	_, old, _ := env.Store.Read("config/rev/000000000001")
	result := env.VMs[0].Release(env.ctx, wire.ReleaseNote{Id: "x", Withdrawn: &wire.Names{Workspaces: []string{fleet.OtherWorkspace}}})
	if err := env.AwaitRevision(env.ctx, result.Revision); err != nil {
		env.errorf("%v", err)
	}
	env.Store.SetFaults(store.Faults{StaleVersion: old})
	env.VMs[0].Kill()
	env.network.Crash(env.VMs[0].Host)
	env.restart(0)
	time.Sleep(recoveryTime)
	for _, vm := range env.VMs {
		if vm.State().Number != result.Revision {
			env.errorf("%s has revision %d", vm.Self().Name, vm.State().Number)
		}
	}
}

// olderSnapshotIgnored gives a core a snapshot that is older than the
// configuration in force. The invariant check reports a violation if the core
// applies it.
func olderSnapshotIgnored(*testEnv) {
	core := control.New(control.Options{Self: wire.VM{Name: "a"}, ProbeInterval: time.Second, Suspicion: time.Second})
	now := time.Unix(1000, 0)
	old := configchain.Empty()
	core.Step(now, control.RevisionsRead{Revisions: []wire.Revision{old.Next(wire.ReleaseNote{Id: "1"}, 0)}})
	core.Step(now, control.RevisionsRead{Snapshot: &wire.Snapshot{}})
}

var leavingFault = llm.Faults{Leaving: true}

// noteID returns the id of the release note in a stored revision, or an empty
// string if value does not decode.
func noteID(value []byte) string {
	var revision wire.Revision
	if json.Unmarshal(value, &revision) != nil {
		return ""
	}
	return revision.Note.Id
}

// workspaceKeys maps workspaces to their API keys.
var workspaceKeys = map[string]string{fleet.Workspace: fleet.WorkspaceKey, fleet.OtherWorkspace: fleet.OtherKey}

var scenarios = []scenario{
	{"sameKeyAtOnce", nil, concurrentSameKey(store.Faults{})},
	{"sameKeyAtOnceAnswersLost", nil, concurrentSameKey(store.Faults{DropResponses: 4})},
	{"sameKeyAtOncePlatformSilent", nil, concurrentSameKey(store.Faults{DelayMs: 3000})},
	{"emptyBodyAnswerLost", nil, emptyBodyResponseLost},
	{"keyReused", nil, keyReusedForAnotherRequest},
	{"holderPaused", nil, claimHolderDelayed},
	{"deadHolder", nil, claimHolderFails},
	{"deadHolderDeduplicated", func(o *fleet.Options) { o.Deduplicates = true; o.DataCentres = singleLedger() }, claimHolderFails},
	{"callerLeaves", nil, callerDisconnects},
	{"everyEngineDies", nil, allEnginesFail},
	{"leavingBackend", nil, leavingBackend},
	{"leavingWhilePlatformOut", nil, leavingDuringPlatformOutage},
	{"racingOperators", nil, concurrentReleases},
	{"rolling", nil, rollingRestart},
	{"stopWithStreams", nil, stopDrainsStreams},
	{"replaceCentre", nil, replaceDataCentre},
	{"startWhilePlatformOut", nil, startDuringPlatformOutage},
	{"staleStore", nil, stalePlatformReads},
	{"oldSnapshot", nil, olderSnapshotIgnored},
}

// singleLedger returns a layout with a single ledger, because each ledger
// deduplicates only its own calls.
func singleLedger() []fleet.DataCentre {
	layout := twoDataCentres()
	layout[1].Ledgers = 0
	return layout
}

func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			runTest(t, s.setOptions, s.run)
		})
	}
}
