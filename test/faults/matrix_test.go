package faults_test

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	reportTokens = 110
	// recoveryTime is the time within which everything must work again after the
	// last fault.
	recoveryTime = 15 * time.Second
)

func (env *testEnv) restart(i int) {
	if err := env.Restart(i); err != nil {
		env.errorf("restart: %v", err)
	}
}

// injectFaults applies the cell's faults at its step and heals them after
// faultDuration. The operation must start when injectFaults returns: for a step
// before the start, injectFaults applies the faults at once and waits out the
// offset.
func (env *testEnv) injectFaults(c cell) {
	inject := func() {
		for _, f := range c.faults {
			f.apply(env)
		}
		time.AfterFunc(faultDuration, func() {
			for _, f := range c.faults {
				if f.heal != nil {
					f.heal(env)
				}
			}
		})
	}
	if c.step.offset < 0 {
		inject()
		time.Sleep(-c.step.offset)
		return
	}
	time.AfterFunc(c.step.offset, inject)
}

func TestFaultMatrix(t *testing.T) {
	cells := matrix()
	if len(cells) < 200 {
		t.Fatalf("the matrix has only %d cells", len(cells))
	}
	for _, c := range cells {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			runTest(t, nil, func(env *testEnv) { operations[c.operation](env, c) })
		})
	}
}

var operations = map[string]func(*testEnv, cell){
	opStreamedReport: runStreamedReport, opBufferedReport: runBufferedReport,
	opTagWithKey:    func(env *testEnv, c cell) { env.runTagCall(c, false) },
	opTagWithTicket: func(env *testEnv, c cell) { env.runTagCall(c, true) },
	opReleaseNote:   runRelease,
}

// requireComplete fails the test if the cell requires a complete response and the
// request failed with err.
func (c cell) requireComplete(env *testEnv, err error) {
	if err != nil && c.expect == expectComplete {
		env.errorf("request did not complete: %v", err)
	}
}

// startedGenerations returns the number of generations that engines have accepted.
// In the tests that use it they all belong to one request.
func (env *testEnv) startedGenerations() int {
	n := 0
	for _, e := range env.Engines {
		n += e.Started()
	}
	return n
}

// checkNotRun checks that no engine started a request that was reported as not
// run.
func (env *testEnv) checkNotRun(err error) {
	var refused *client.Error
	if errors.As(err, &refused) && refused.Outcome == "notRun" && env.startedGenerations() != 0 {
		env.errorf("reported as not run, but engines started %d generations: %v", env.startedGenerations(), err)
	}
}

func runStreamedReport(env *testEnv, c cell) {
	env.injectFaults(c)
	result := env.stream(reportTokens, 0, 1, 2)
	c.requireComplete(env, result.err)
	env.checkNotRun(result.err)
	if result.err == nil && result.Tokens != reportTokens {
		env.errorf("the stream finished with %d tokens", result.Tokens)
	}
	if result.Tokens > 0 && !fromOneGeneration(result.RequestID, result.text, result.Tokens) {
		env.errorf("the tokens are not from one generation")
	}
	env.checkRecovery()
}

func runBufferedReport(env *testEnv, c cell) {
	env.injectFaults(c)
	body, err := env.bufferedReport(reportTokens)
	c.requireComplete(env, err)
	env.checkNotRun(err)
	if err == nil && !fromOneGeneration(body.request, body.text, reportTokens) {
		env.errorf("the response is not one complete generation: %q", body.text)
	}
	env.checkRecovery()
}

// checkRecovery checks that the fleet serves requests again after the fault. It
// uses VMs 2 and 3, which no fault kills or stops.
func (env *testEnv) checkRecovery() {
	time.Sleep(faultDuration + recoveryTime)
	result := env.stream(20, 2, 3)
	if result.err != nil || result.Tokens != 20 {
		env.errorf("the fleet did not recover: %d tokens, %v", result.Tokens, result.err)
	}
}

// tagResult is the result of one attempt to call the tags service.
type tagResult struct {
	response client.Answer
	err      error
}

// outcome returns finished for a response, the outcome in a refusal, or
// connectionLost if the caller received neither.
func (r tagResult) outcome() string {
	var refused *client.Error
	switch {
	case r.err == nil:
		return "finished"
	case errors.As(r.err, &refused):
		return refused.Outcome
	}
	return "connectionLost"
}

// platformUnavailable reports whether the call was refused because the platform
// was unavailable. Such a refusal says only that this attempt did not run, not
// that no other attempt did.
func (r tagResult) platformUnavailable() bool {
	var refused *client.Error
	return errors.As(r.err, &refused) && refused.Cause == "platformOut"
}

// executions returns how many writes the ledgers have executed.
func (env *testEnv) executions() int {
	n := 0
	for _, l := range env.Ledgers {
		n += len(l.Runs())
	}
	return n
}

// runTagCall calls the tags service and retries twice through other VMs with the
// same key or ticket, once during the fault and once after the recovery. The call
// must never run twice.
func (env *testEnv) runTagCall(c cell, useTicket bool) {
	call := client.Call{
		Service: fleet.ServiceTags, Method: http.MethodPost, Path: "/tags",
		ContentType: "application/json", Body: []byte(`{"tag":"HC-1"}`),
	}
	if useTicket {
		issued, err := env.Client(0).Ticket(env.ctx)
		if err != nil {
			env.fatalf("%v", err)
		}
		call.Ticket = issued
	} else {
		call.Key = "van-7-0001"
	}
	setLedgerFaults(ledger.Faults{DelayMs: 300})(env)
	env.injectFaults(c)
	first := env.callTags(call, 0)
	env.checkTagResult(first, "first attempt")
	// The second attempt uses another VM while the fault lasts.
	second := env.callTags(call, 1)
	env.checkTagResult(second, "second attempt")
	time.Sleep(faultDuration + recoveryTime)
	final := env.callTags(call, 2)
	env.checkTagResult(final, "last attempt")
	for _, r := range []tagResult{first, second} {
		if r.err == nil && final.err == nil {
			if diff := cmp.Diff(string(r.response.Body), string(final.response.Body)); diff != "" {
				env.errorf("responses differ:\n%s", diff)
			}
		}
	}
	if final.outcome() == "notRun" && env.executions() == 0 && !useTicket {
		env.errorf("the call has not run and is refused after the recovery: %v", final.err)
	}
}

func (env *testEnv) callTags(call client.Call, vm int) tagResult {
	response, err := env.Client(vm).Do(env.ctx, call)
	return tagResult{response, err}
}

// checkTagResult checks that the result of an attempt agrees with the number of
// executions so far, which must not exceed one.
func (env *testEnv) checkTagResult(result tagResult, attempt string) {
	n := env.executions()
	switch {
	case n > 1:
		env.errorf("%s: the call ran %d times", attempt, n)
	case result.err == nil && result.response.Status != http.StatusCreated:
		env.errorf("%s: status %d", attempt, result.response.Status)
	case result.outcome() == "notRun" && n != 0 && !result.platformUnavailable():
		env.errorf("%s: reported as not run, but it ran: %v", attempt, result.err)
	case result.err == nil && n != 1:
		env.errorf("%s: got a response, but the call ran %d times", attempt, n)
	}
}

// runRelease submits a release note through VM 0, retries through VM 2 until it is
// accepted, and checks that it takes effect on every VM, including one that is
// added afterwards.
func runRelease(env *testEnv, c cell) {
	base := env.VMs[2].State().Number
	note := wire.ReleaseNote{Id: "change-1", Author: "operator-1", Base: base, Changed: &wire.Objects{
		Workspaces: []wire.Workspace{{
			Name: fleet.OtherWorkspace, KeyHashes: []string{configchain.KeyHash(fleet.OtherKey)},
			Services: []string{fleet.ServiceReports}, Weight: 7,
		}},
	}}
	env.injectFaults(c)
	result := env.VMs[0].Release(env.ctx, note)
	env.checkReleaseResult(result)
	for result.Status != operator.ReleaseAccepted {
		time.Sleep(time.Second)
		result = env.VMs[2].Release(env.ctx, note)
		env.checkReleaseResult(result)
	}
	time.Sleep(18 * time.Second)
	lateVM, err := env.AddVM(twoDataCentres()[0])
	if err != nil {
		env.fatalf("%v", err)
	}
	time.Sleep(recoveryTime)
	for _, vm := range append(append([]*fleet.VM{}, env.VMs...), lateVM) {
		if state := vm.State(); state.Number != base+1 || state.Workspaces[fleet.OtherWorkspace].Weight != 7 {
			env.errorf("%s has revision %d, weight %d", vm.Self().Name, state.Number, state.Workspaces[fleet.OtherWorkspace].Weight)
		}
	}
}

// checkReleaseResult checks that the result agrees with the stored revision chain,
// which must not contain the note twice.
func (env *testEnv) checkReleaseResult(result operator.ReleaseResult) {
	stored := 0
	for _, k := range env.Store.Keys("config/rev/") {
		value, _, _ := env.Store.Read(k)
		if strings.Contains(string(value), `"change-1"`) {
			stored++
		}
	}
	switch {
	case stored > 1:
		env.errorf("the note is in the revision chain %d times", stored)
	case result.Status == operator.ReleaseAccepted && stored != 1:
		env.errorf("the note was accepted but is in the revision chain %d times", stored)
	case result.Status == operator.ReleasePlatformUnavailable && stored != 0:
		env.errorf("the note was reported as not accepted but is in the revision chain")
	case result.Status == operator.ReleaseConflict || result.Status == operator.ReleaseInvalid:
		env.errorf("the note was refused: %v", result)
	}
}

var update = flag.Bool("update", false, "write docs/FAULTS.md")

const faultsPagePath = "../../docs/FAULTS.md"

// TestFaultsPageIsCurrent checks that docs/FAULTS.md, which is generated from the
// matrix, is up to date.
func TestFaultsPageIsCurrent(t *testing.T) {
	want := renderPage()
	if *update {
		if err := os.WriteFile(faultsPagePath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(faultsPagePath)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/FAULTS.md is out of date, run go test ./test/faults -run FaultsPage -update:\n%s", diff)
	}
}

// renderPage returns the content of docs/FAULTS.md.
func renderPage() string {
	var b strings.Builder
	cells := matrix()
	fmt.Fprintf(&b, "# Faults\n\nGenerated from test/faults/table_test.go. Each of the %d cells is a test:\n\n", len(cells))
	b.WriteString("    go test ./test/faults -run TestFaultMatrix -v\n\n")
	b.WriteString("Every cell checks the guarantees as seen by the callers, the backends and the\nplatform. In a cell marked `finishes`, the caller must also get the complete\nresponse despite the fault. In a cell marked `accurate`, the request may fail, but\nany outcome that the caller receives must be correct: for example, an attempt that\nran must not be reported as `notRun`.\n\n## Faults\n\n| fault | what happens |\n|---|---|\n")
	seen := map[string]bool{}
	for _, c := range cells {
		for _, f := range c.faults {
			if !seen[f.name] {
				seen[f.name] = true
				fmt.Fprintf(&b, "| %s | %s |\n", f.name, f.description)
			}
		}
	}
	b.WriteString("\n" + reportedFailures)
	b.WriteString("\n## Cells\n\n| operation | step | faults | expected |\n|---|---|---|---|\n")
	for _, c := range cells {
		names := make([]string, 0, len(c.faults))
		for _, f := range c.faults {
			names = append(names, f.name)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", c.operation, c.step.name, strings.Join(names, " + "), c.expect)
	}
	return b.String()
}
