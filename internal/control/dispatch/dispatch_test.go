package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newCore returns a core of a VM in data centre a, with an engine service and a
// plain one.
func newCore() *dispatch.Core {
	c := dispatch.New(dispatch.Options{
		DataCentre: "a", Regions: map[string]string{"a": "r1", "b": "r1", "c": "r2"},
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
	})
	c.Step(start, dispatch.ServicesChanged{Services: map[string]routing.Service{
		"engine": {Name: "engine", Engine: &routing.Engine{
			Slots: 24, CapacityTokens: 34000, TokenBytes: 163840, LinkMbps: 24000, SupportsMoves: true, TokensPerEvent: 4,
		}},
		"plain": {Name: "plain"},
	}})
	return c
}

func servers(service string, dataCentres ...string) []backend.Server {
	var out []backend.Server
	for i, dc := range dataCentres {
		out = append(out, backend.Server{
			ID: fmt.Sprintf("s%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: dc, Slots: 24,
		})
	}
	return out
}

// place asks for a server for a report.
func place(t *testing.T, c *dispatch.Core, now time.Time, id uint64) string {
	t.Helper()
	for _, a := range c.Step(now, report(id)) {
		if p, ok := a.(dispatch.Placed); ok {
			return p.Server.ID
		}
	}
	t.Fatalf("request %d was not placed", id)
	return ""
}

func report(id uint64) dispatch.Ask {
	return dispatch.Ask{ID: id, Service: "engine", Kind: routing.Streaming, Prompt: 3000, Output: 1000}
}

// TestReportsSpreadOverEngines replays a burst of reports that come faster than
// any engine can tell its load.
func TestReportsSpreadOverEngines(t *testing.T) {
	c := newCore()
	c.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "a", "a")})
	count := map[string]int{}
	for id := range uint64(18) {
		count[place(t, c, start, id+1)]++
	}
	if diff := cmp.Diff(map[string]int{"s0": 6, "s1": 6, "s2": 6}, count); diff != "" {
		t.Error(diff)
	}
}

// TestReportsOfOtherVMsCount replays many VMs that place at once: what another
// VM told decides, not only the own ledger.
func TestReportsOfOtherVMsCount(t *testing.T) {
	c := newCore()
	c.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "a")})
	c.Step(start, dispatch.PeerLedger{VM: "other", Entries: map[string]dispatch.Entry{
		"s0": {Requests: 5, Tokens: 17500, Reading: 6000},
	}})
	for id := range uint64(4) {
		if got := place(t, c, start, id+1); got != "s1" {
			t.Errorf("request %d went to %s", id+1, got)
		}
		c.Step(start, dispatch.Started{ID: id + 1})
	}
	// A VM that fell silent does not count for ever.
	if got := place(t, c, start.Add(4*time.Second), 9); got != "s0" {
		t.Errorf("went to %s after the other VM fell silent", got)
	}
}

// TestReportsOfOtherRegionsCount replays a burst that spills into another
// region: what the VMs there told decides, of which one speaks for all.
func TestReportsOfOtherRegionsCount(t *testing.T) {
	c := newCore()
	c.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "c", "c")})
	c.Step(start, dispatch.PeerLedger{VM: "other", Entries: map[string]dispatch.Entry{"s0": {Requests: 9, Tokens: 34000}}})
	c.Step(start, dispatch.PeerLedger{VM: "r2", Region: true, Entries: map[string]dispatch.Entry{"s1": {Requests: 9, Tokens: 34000}}})
	if got := place(t, c, start, 1); got != "s2" {
		t.Errorf("placed on %s", got)
	}
}

// TestOneVMSpeaksForItsRegion checks who tells other regions, and what.
func TestOneVMSpeaksForItsRegion(t *testing.T) {
	for _, c := range []struct {
		peer   string
		speaks bool
	}{{"vm-1", false}, {"vm-3", true}} {
		core := dispatch.New(dispatch.Options{VM: "vm-2", DataCentre: "a", RetryWindow: time.Second})
		core.Step(start, dispatch.PeerLedger{VM: c.peer, Entries: map[string]dispatch.Entry{"s9": {Requests: 2, Tokens: 5000}}})
		spoke := false
		for _, a := range core.Step(start.Add(time.Second), dispatch.Tick{}) {
			if l, ok := a.(dispatch.TellLedger); ok && l.Region {
				spoke = true
				if diff := cmp.Diff(map[string]dispatch.Entry{"s9": {Requests: 2, Tokens: 5000}}, l.Entries); diff != "" {
					t.Error(diff)
				}
			}
		}
		if spoke != c.speaks {
			t.Errorf("beside %s: speaks %v", c.peer, spoke)
		}
	}
}

// TestFullDataCentreSpills fills the engines of the data centre: only then does
// a report go to another region, from which it cannot move in time.
func TestFullDataCentreSpills(t *testing.T) {
	c := newCore()
	c.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "c")})
	first := 0
	for id := range uint64(12) {
		if place(t, c, start, id+1) == "s1" {
			first = int(id) + 1
			break
		}
		c.Step(start, dispatch.Started{ID: id + 1})
	}
	if first < 7 || first > 10 {
		t.Errorf("report %d was the first to leave the region", first)
	}
}

// TestNoticeNamesTheStreams replays the notice of a server that leaves: its
// streams are named once, those that need it longest first, and no request is
// placed on it any more.
func TestNoticeNamesTheStreams(t *testing.T) {
	c := newCore()
	list := servers("engine", "a", "a")
	c.Step(start, dispatch.ServersChanged{Changed: list[:1]})
	for id := range uint64(3) {
		place(t, c, start, id+1)
	}
	c.Step(start, dispatch.Started{ID: 2})
	c.Step(start, dispatch.Progress{ID: 2, Tokens: 900})
	list[0].Leaving = true
	var runs []dispatch.RunAtRisk
	for range 2 {
		for _, a := range c.Step(start, dispatch.ServersChanged{Changed: list}) {
			if r, ok := a.(dispatch.Rescue); ok {
				runs = append(runs, r.Runs...)
			}
		}
	}
	want := []dispatch.RunAtRisk{
		{ID: 1, Tokens: 3000, Remaining: 1000}, {ID: 3, Tokens: 3000, Remaining: 1000}, {ID: 2, Tokens: 3900, Remaining: 100},
	}
	if diff := cmp.Diff(want, runs); diff != "" {
		t.Error(diff)
	}
	if got := place(t, c, start, 9); got != "s1" {
		t.Errorf("a request went to %s", got)
	}
	// A stream whose answer begins only now is named as well.
	named := false
	for _, a := range c.Step(start, dispatch.Started{ID: 3}) {
		if r, ok := a.(dispatch.Rescue); ok && len(r.Runs) == 1 && r.Runs[0].ID == 3 {
			named = true
		}
	}
	if !named {
		t.Error("a stream that began during the notice was not named")
	}
}

// TestTargetsAreNear asks for a target while the data centre looks full: it is
// tried first all the same, as a copy to another region comes too late.
func TestTargetsAreNear(t *testing.T) {
	c := newCore()
	list := servers("engine", "a", "a", "b", "c")
	c.Step(start, dispatch.ServersChanged{Changed: list})
	c.Step(start, dispatch.PeerLedger{VM: "other", Entries: map[string]dispatch.Entry{"s1": {Requests: 9, Tokens: 33000}}})
	if got := place(t, c, start, 1); got != "s0" {
		t.Fatalf("placed on %s", got)
	}
	list[0].Leaving = true
	c.Step(start, dispatch.ServersChanged{Changed: list})
	var refused, order []string
	for range 4 {
		for _, a := range c.Step(start, dispatch.WantTarget{ID: 1, Refused: refused}) {
			if x, ok := a.(dispatch.Target); ok && x.Found {
				order = append(order, x.Server.ID)
				refused = append(refused, x.Server.ID)
			}
		}
	}
	if diff := cmp.Diff([]string{"s1", "s2", "s3"}, order); diff != "" {
		t.Error(diff)
	}
}

// TestRepeatsKeepWithinTheBudget replays a service of which every request fails
// and could be repeated.
func TestRepeatsKeepWithinTheBudget(t *testing.T) {
	c := newCore()
	c.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "b", "c")})
	repeats := 0
	for i := range 300 {
		now := start.Add(time.Duration(i) * 30 * time.Millisecond)
		id := uint64(2*i + 1)
		c.Step(now, dispatch.Ask{ID: id, Service: "plain", Kind: routing.Safe})
		c.Step(now, dispatch.Ended{ID: id, Verdict: dispatch.Failed})
		for _, a := range c.Step(now, dispatch.Ask{ID: id + 1, Service: "plain", Kind: routing.Safe, Repeat: true}) {
			switch a := a.(type) {
			case dispatch.Placed:
				repeats++
			case dispatch.Refused:
				if a.Cause != outcome.RetryBudget {
					t.Fatalf("refused as %s", a.Cause)
				}
			}
		}
	}
	if most := 300/5 + 5; repeats > most || repeats < most-20 {
		t.Errorf("%d repeats of 300 requests, at most %d are allowed", repeats, most)
	}
}

// TestLargeFleetSharesTheBudget replays a service that fails everywhere: the
// repeats of all VMs together keep within the fixed part of the budget.
func TestLargeFleetSharesTheBudget(t *testing.T) {
	const vms = 79
	total := 0
	for range vms {
		c := newCore()
		c.Step(start, dispatch.FleetSize{VMs: vms})
		c.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "b", "c")})
		for id := range uint64(10) {
			for _, a := range c.Step(start, dispatch.Ask{ID: id + 1, Service: "plain", Kind: routing.Safe, Repeat: true}) {
				if _, ok := a.(dispatch.Placed); ok {
					total++
				}
			}
		}
	}
	if total > 50 {
		t.Errorf("%d repeats by %d VMs, 50 are allowed", total, vms)
	}
}

// TestRecoveredReplicaIsUsedAgain replays a replica that fails all its requests
// for some seconds and then serves again.
func TestRecoveredReplicaIsUsedAgain(t *testing.T) {
	c := newCore()
	c.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "c")})
	late := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		failing := i < 300
		id := uint64(i + 1)
		for _, a := range c.Step(now, dispatch.Ask{ID: id, Service: "plain", Kind: routing.Unsafe}) {
			p, ok := a.(dispatch.Placed)
			if !ok {
				continue
			}
			v := dispatch.Served
			if p.Server.ID == "s0" && failing {
				v = dispatch.Failed
			}
			if p.Server.ID == "s0" && i >= 600 {
				late++
			}
			c.Step(now, dispatch.Ended{ID: id, Verdict: v})
		}
	}
	if late < 300 {
		t.Errorf("%d of 400 requests went to the near replica after it had recovered", late)
	}
}

// TestReplicaThatStartsAgainIsNew forgets what was believed of a replica that
// started again under its name.
func TestReplicaThatStartsAgainIsNew(t *testing.T) {
	c := newCore()
	list := servers("engine", "a")
	list[0].Born, list[0].Leaving = start, true
	c.Step(start, dispatch.ServersChanged{Changed: list})
	again := servers("engine", "a")
	again[0].Born = start.Add(time.Minute)
	c.Step(start, dispatch.ServersChanged{Changed: again})
	if got := place(t, c, start, 1); got != "s0" {
		t.Errorf("placed on %s", got)
	}
}

// TestFailingReplicaIsAvoided replays a replica that fails half and more of its
// requests while its entry says that it is ready.
func TestFailingReplicaIsAvoided(t *testing.T) {
	c := newCore()
	c.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "c")})
	sent := map[string]int{}
	for i := range 100 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		id := uint64(i + 1)
		for _, a := range c.Step(now, dispatch.Ask{ID: id, Service: "plain", Kind: routing.Unsafe}) {
			if p, ok := a.(dispatch.Placed); ok {
				sent[p.Server.ID]++
				v := dispatch.Served
				if p.Server.ID == "s0" {
					v = dispatch.Failed
				}
				c.Step(now, dispatch.Ended{ID: id, Verdict: v})
			}
		}
	}
	if sent["s0"] > 20 {
		t.Errorf("%d of 100 requests went to a replica that fails all", sent["s0"])
	}
}

// TestVMsThatStartTogetherSpread replays the moment after all VMs were killed:
// none has heard of another yet, and all servers look the same to them. No
// server gets more requests than it has slots.
func TestVMsThatStartTogetherSpread(t *testing.T) {
	const vms, each, slots = 17, 3, 6
	list := servers("plain", slices.Repeat([]string{"a"}, 30)...)
	count := map[string]int{}
	for vm := range vms {
		c := dispatch.New(dispatch.Options{VM: fmt.Sprintf("vm-%d", vm), DataCentre: "a", RetryWindow: time.Second})
		c.Step(start, dispatch.ServicesChanged{Services: map[string]routing.Service{"plain": {Name: "plain"}}})
		c.Step(start, dispatch.ServersChanged{Changed: list})
		for id := range uint64(each) {
			for _, a := range c.Step(start, dispatch.Ask{ID: id, Service: "plain", Kind: routing.Safe}) {
				if p, ok := a.(dispatch.Placed); ok {
					count[p.Server.ID]++
				}
			}
		}
	}
	for id, n := range count {
		if n > slots {
			t.Errorf("%s got %d requests", id, n)
		}
	}
}
