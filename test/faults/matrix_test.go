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

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	reportTokens = 110
	// settled is when everything must work again after the last fault.
	settled = 15 * time.Second
)

func (w *world) restart(i int) {
	if err := w.Restart(i); err != nil {
		w.errorf("restart: %v", err)
	}
}

// strike applies the cell's faults at its step, counted from now, and heals
// them later.
func (w *world) strike(c cell) {
	hit := func() {
		for _, f := range c.faults {
			f.apply(w)
		}
		time.AfterFunc(faultTime, func() {
			for _, f := range c.faults {
				if f.heal != nil {
					f.heal(w)
				}
			}
		})
	}
	if c.step.at < 0 {
		hit()
		time.Sleep(-c.step.at)
		return
	}
	time.AfterFunc(c.step.at, hit)
}

func TestFaultMatrix(t *testing.T) {
	cells := matrix()
	if len(cells) < 200 {
		t.Fatalf("the matrix has %d cells", len(cells))
	}
	for _, c := range cells {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			inWorld(t, nil, func(w *world) { lives[c.life](w, c) })
		})
	}
}

var lives = map[string]func(*world, cell){
	lifeStream: liveStream, lifeBuffer: liveBuffer,
	lifeKey:     func(w *world, c cell) { w.liveTag(c, false) },
	lifeTicket:  func(w *world, c cell) { w.liveTag(c, true) },
	lifeRelease: liveRelease,
}

// mustFinish fails the test when the cell demands a whole answer.
func (c cell) mustFinish(w *world, err error) {
	if err != nil && c.expect == finishes {
		w.errorf("did not finish: %v", err)
	}
}

// started reports whether any engine was given a generation; in these tests
// there is one request only.
func (w *world) started() int {
	n := 0
	for _, e := range w.Engines {
		n += e.Started()
	}
	return n
}

// checkRefusal checks that a request that was said not to run did not run.
func (w *world) checkRefusal(err error) {
	var refused *client.Error
	if errors.As(err, &refused) && refused.Outcome == "notRun" && w.started() != 0 {
		w.errorf("said not to run but %d generations were started: %v", w.started(), err)
	}
}

func liveStream(w *world, c cell) {
	w.strike(c)
	a := w.stream(reportTokens, 0, 1, 2)
	c.mustFinish(w, a.err)
	w.checkRefusal(a.err)
	if a.err == nil && a.Tokens != reportTokens {
		w.errorf("finished with %d tokens", a.Tokens)
	}
	if a.Tokens > 0 && !oneGeneration(a.RequestID, a.text, a.Tokens) {
		w.errorf("the tokens are not of one generation")
	}
	w.recovers()
}

func liveBuffer(w *world, c cell) {
	w.strike(c)
	body, err := w.buffered(reportTokens)
	c.mustFinish(w, err)
	w.checkRefusal(err)
	if err == nil && !oneGeneration(body.request, body.text, reportTokens) {
		w.errorf("the answer is not one whole generation: %q", body.text)
	}
	w.recovers()
}

// recovers checks that the fleet serves again after the fault, at VM 2, which
// no fault touches alone.
func (w *world) recovers() {
	time.Sleep(faultTime + settled)
	a := w.stream(20, 2, 3)
	if a.err != nil || a.Tokens != 20 {
		w.errorf("the fleet did not recover: %d tokens, %v", a.Tokens, a.err)
	}
}

// tagResult is what a caller was told about one try.
type tagResult struct {
	answer client.Answer
	err    error
}

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

// platformOut reports whether the refusal only speaks of this attempt.
func (r tagResult) platformOut() bool {
	var refused *client.Error
	return errors.As(r.err, &refused) && refused.Cause == "platformOut"
}

func (w *world) runs() int {
	n := 0
	for _, l := range w.Ledgers {
		n += len(l.Runs())
	}
	return n
}

// liveTag issues one tag, then tries again with the same key or ticket until
// the answer is final. It must never run twice.
func (w *world) liveTag(c cell, ticket bool) {
	call := client.Call{
		Service: fleet.ServiceTags, Method: http.MethodPost, Path: "/tags",
		ContentType: "application/json", Body: []byte(`{"tag":"HC-1"}`),
	}
	if ticket {
		t, err := w.Client(0).Ticket(w.ctx)
		if err != nil {
			w.fatalf("%v", err)
		}
		call.Ticket = t
	} else {
		call.Key = "van-7-0001"
	}
	setLedgers(ledger.Faults{DelayMs: 300})(w)
	w.strike(c)
	first := w.tag(call, 0)
	w.checkTag(first, "first try")
	// The second try comes through another VM while the fault lasts.
	second := w.tag(call, 1)
	w.checkTag(second, "second try")
	time.Sleep(faultTime + settled)
	last := w.tag(call, 2)
	w.checkTag(last, "last try")
	for _, r := range []tagResult{first, second} {
		if r.err == nil && last.err == nil {
			if diff := cmp.Diff(string(r.answer.Body), string(last.answer.Body)); diff != "" {
				w.errorf("answers differ:\n%s", diff)
			}
		}
	}
	if last.outcome() == "notRun" && w.runs() == 0 && !ticket {
		w.errorf("the call neither ran nor can it run: %v", last.err)
	}
}

func (w *world) tag(call client.Call, vm int) tagResult {
	a, err := w.Client(vm).Do(w.ctx, call)
	return tagResult{a, err}
}

func (w *world) checkTag(r tagResult, when string) {
	n := w.runs()
	switch {
	case n > 1:
		w.errorf("%s: ran %d times", when, n)
	case r.err == nil && r.answer.Status != http.StatusCreated:
		w.errorf("%s: status %d", when, r.answer.Status)
	case r.outcome() == "notRun" && n != 0 && !r.platformOut():
		w.errorf("%s: said not to run but ran: %v", when, r.err)
	case r.err == nil && n != 1:
		w.errorf("%s: answered but ran %d times", when, n)
	}
}

// liveRelease submits a note at VM 0, again until the answer is final, and
// checks that it comes into force everywhere, also on a VM that starts later.
func liveRelease(w *world, c cell) {
	base := w.VMs[2].State().Number
	note := wire.ReleaseNote{Id: "change-1", Author: "operator-1", Base: base, Changed: &wire.Objects{
		Workspaces: []wire.Workspace{{
			Name: fleet.OtherWorkspace, KeyHashes: []string{chain.KeyHash(fleet.OtherKey)},
			Services: []string{fleet.ServiceReports}, Weight: 7,
		}},
	}}
	w.strike(c)
	r := w.VMs[0].Release(w.ctx, note)
	w.checkRelease(r)
	for r.Status != operator.ReleaseAccepted {
		time.Sleep(time.Second)
		r = w.VMs[2].Release(w.ctx, note)
		w.checkRelease(r)
	}
	time.Sleep(18 * time.Second)
	fresh, err := w.AddVM(twoCentres()[0])
	if err != nil {
		w.fatalf("%v", err)
	}
	time.Sleep(settled)
	for _, v := range append(append([]*fleet.VM{}, w.VMs...), fresh) {
		if got := v.State(); got.Number != base+1 || got.Workspaces[fleet.OtherWorkspace].Weight != 7 {
			w.errorf("%s has revision %d, weight %d", v.Self().Name, got.Number, got.Workspaces[fleet.OtherWorkspace].Weight)
		}
	}
}

func (w *world) checkRelease(r operator.ReleaseResult) {
	stored := 0
	for _, k := range w.Store.Keys("config/rev/") {
		value, _, _ := w.Store.Read(k)
		if strings.Contains(string(value), `"change-1"`) {
			stored++
		}
	}
	switch {
	case stored > 1:
		w.errorf("the note is in the chain %d times", stored)
	case r.Status == operator.ReleaseAccepted && stored != 1:
		w.errorf("accepted but %d times in the chain", stored)
	case r.Status == operator.ReleasePlatformUnavailable && stored != 0:
		w.errorf("said not to be accepted but is in the chain")
	case r.Status == operator.ReleaseConflict || r.Status == operator.ReleaseInvalid:
		w.errorf("refused: %v", r)
	}
}

var update = flag.Bool("update", false, "write docs/FAULTS.md")

const faultsPage = "../../docs/FAULTS.md"

// TestFaultsPageIsCurrent compares docs/FAULTS.md with the matrix.
func TestFaultsPageIsCurrent(t *testing.T) {
	want := renderPage()
	if *update {
		if err := os.WriteFile(faultsPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(faultsPage)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/FAULTS.md is not current, run go test ./test/faults -run FaultsPage -update:\n%s", diff)
	}
}

func renderPage() string {
	var b strings.Builder
	cells := matrix()
	fmt.Fprintf(&b, "# Faults\n\nGenerated from test/faults/table_test.go. Every one of the %d cells is a test:\n\n", len(cells))
	b.WriteString("    go test ./test/faults -run TestFaultMatrix -v\n\n")
	b.WriteString("In every cell the promises are checked from the callers', the backends' and the\nplatform's side. `finishes` means that the caller also gets the whole answer in\nspite of the fault; `truthful` that the caller gets it or a true statement.\n\n## Faults\n\n| fault | what happens |\n|---|---|\n")
	seen := map[string]bool{}
	for _, c := range cells {
		for _, f := range c.faults {
			if !seen[f.name] {
				seen[f.name] = true
				fmt.Fprintf(&b, "| %s | %s |\n", f.name, f.what)
			}
		}
	}
	b.WriteString("\n## Cells\n\n| life | step | faults | expected |\n|---|---|---|---|\n")
	for _, c := range cells {
		names := make([]string, 0, len(c.faults))
		for _, f := range c.faults {
			names = append(names, f.name)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", c.life, c.step.name, strings.Join(names, " + "), c.expect)
	}
	return b.String()
}
