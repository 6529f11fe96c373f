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

// newTestCore returns the core of a VM in data centre a, with an engine service and a
// plain one. Region r1 has the data centres a and b, r2 has c.
func newTestCore() *dispatch.Core {
	core := dispatch.New(dispatch.Options{
		DataCentre: "a", Regions: map[string]string{"a": "r1", "b": "r1", "c": "r2"},
		RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
	})
	core.Step(start, dispatch.ServicesChanged{Services: map[string]routing.Service{
		"engine": {Name: "engine", Engine: &routing.Engine{
			Slots: 24, CapacityTokens: 34000, TokenBytes: 163840, LinkMbps: 24000, SupportsMoves: true, TokensPerEvent: 4,
		}},
		"plain": {Name: "plain"},
	}})
	return core
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

// placeStream places a streaming request and returns the ID of its server.
func placeStream(t *testing.T, core *dispatch.Core, now time.Time, id uint64) string {
	t.Helper()
	for _, a := range core.Step(now, streamRequest(id)) {
		if p, ok := a.(dispatch.Placed); ok {
			return p.Server.ID
		}
	}
	t.Fatalf("request %d was not placed", id)
	return ""
}

func streamRequest(id uint64) dispatch.PlaceRequest {
	return dispatch.PlaceRequest{
		ID: id, Service: "engine", Kind: routing.Streaming, PromptTokens: 3000, ExpectedOutputTokens: 1000,
	}
}

// TestStreamsSpreadEvenlyOverEngines places a burst of streams that arrive before any
// engine has reported its load.
func TestStreamsSpreadEvenlyOverEngines(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "a", "a")})
	count := map[string]int{}
	for id := range uint64(18) {
		count[placeStream(t, core, start, id+1)]++
	}
	if diff := cmp.Diff(map[string]int{"s0": 6, "s1": 6, "s2": 6}, count); diff != "" {
		t.Error(diff)
	}
}

// TestPeerLedgersCountTowardsLoad guards against several VMs overloading one server
// because each counts only its own requests.
func TestPeerLedgersCountTowardsLoad(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "a")})
	core.Step(start, dispatch.PeerLedger{Source: "other", Entries: map[string]dispatch.LedgerEntry{
		"s0": {Requests: 5, Tokens: 17500, PrefillTokens: 6000},
	}})
	for id := range uint64(4) {
		if got := placeStream(t, core, start, id+1); got != "s1" {
			t.Errorf("request %d went to %s", id+1, got)
		}
		core.Step(start, dispatch.ResponseStarted{ID: id + 1})
	}
	// The ledger of a VM that sends no more expires.
	if got := placeStream(t, core, start.Add(4*time.Second), 9); got != "s0" {
		t.Errorf("went to %s after the ledger of the other VM expired", got)
	}
}

// TestRemoteLedgersCountTowardsLoad places a stream in another region: the sum that one VM
// of that data centre sends for all of them must count.
func TestRemoteLedgersCountTowardsLoad(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "c", "c")})
	core.Step(start, dispatch.PeerLedger{Source: "other", Entries: map[string]dispatch.LedgerEntry{"s0": {Requests: 9, Tokens: 34000}}})
	core.Step(start, dispatch.PeerLedger{Source: "c", Remote: true, Entries: map[string]dispatch.LedgerEntry{
		"s1": {Requests: 9, Tokens: 34000},
	}})
	if got := placeStream(t, core, start, 1); got != "s2" {
		t.Errorf("placed on %s", got)
	}
}

// TestSumsCoverTheirScope checks over which ledgers each published sum is, and that the
// sum for a data centre names the ledgers that it includes.
func TestSumsCoverTheirScope(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "a")})
	own := placeStream(t, core, start, 1)
	core.Step(start, dispatch.PeerLedger{Source: "vm-2", Number: 7, Entries: map[string]dispatch.LedgerEntry{"s9": {Requests: 2, Tokens: 5000}}})
	core.Step(start, dispatch.PeerLedger{Source: "vm-2", Number: 8, Entries: map[string]dispatch.LedgerEntry{"s9": {Requests: 3, Tokens: 6000}}})
	core.Step(start, dispatch.PeerLedger{Source: "b", Remote: true, Entries: map[string]dispatch.LedgerEntry{"s5": {Requests: 1}}})
	ownEntry := dispatch.LedgerEntry{Requests: 1, Tokens: 3500, PrefillTokens: 3000}
	want := []dispatch.PublishLedger{
		{Scope: dispatch.ScopeVM, Entries: map[string]dispatch.LedgerEntry{own: ownEntry}},
		{
			Scope:    dispatch.ScopeDataCentre,
			Entries:  map[string]dispatch.LedgerEntry{own: ownEntry, "s9": {Requests: 3, Tokens: 6000}},
			Included: map[string]int64{"vm-2": 8},
		},
		{Scope: dispatch.ScopeRemote, Entries: map[string]dispatch.LedgerEntry{"s5": {Requests: 1}}},
	}
	var got []dispatch.PublishLedger
	for _, action := range core.Step(start.Add(500*time.Millisecond), dispatch.Tick{}) {
		if ledger, ok := action.(dispatch.PublishLedger); ok {
			got = append(got, ledger)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("published ledgers (-want +got):\n%s", diff)
	}
}

// TestCompleteLedgerReplacesSingleOnes checks that work is not counted twice when a VM
// stops or starts to gather: the sum of the gatherer replaces the ledgers of single VMs,
// and they replace it.
func TestCompleteLedgerReplacesSingleOnes(t *testing.T) {
	entries := map[string]dispatch.LedgerEntry{"s0": {Requests: 2, Tokens: 5000}}
	single := dispatch.PeerLedger{Source: "vm-2", Entries: entries}
	complete := dispatch.PeerLedger{Source: "vm-1", Complete: true, Entries: entries}
	for name, order := range map[string][]dispatch.PeerLedger{
		"beginsToFollow": {single, complete}, "beginsToGather": {complete, single}, "followsOn": {complete, complete},
	} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/remote=%v", name, remote), func(t *testing.T) {
				core := newTestCore()
				core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a")})
				for _, msg := range order {
					msg.Remote = remote
					core.Step(start, msg)
				}
				for _, action := range core.Step(start, streamRequest(1)) {
					if placed, ok := action.(dispatch.Placed); ok && placed.Load.OtherRequests != 2 {
						t.Errorf("%d requests of other VMs count, want 2", placed.Load.OtherRequests)
					}
				}
			})
		}
	}
}

// TestFullDataCentreSpillsToOtherRegion checks that a stream goes to another region,
// from which it cannot be migrated in time, only when the engines of the data centre
// are full.
func TestFullDataCentreSpillsToOtherRegion(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "c")})
	first := 0
	for id := range uint64(12) {
		if placeStream(t, core, start, id+1) == "s1" {
			first = int(id) + 1
			break
		}
		core.Step(start, dispatch.ResponseStarted{ID: id + 1})
	}
	if first < 7 || first > 10 {
		t.Errorf("stream %d was the first to leave the region", first)
	}
}

// TestLeavingServerMigratesStreamsOnce checks that the streams of a leaving server are
// listed once, those with the most remaining output first, and that the server gets no
// more requests.
func TestLeavingServerMigratesStreamsOnce(t *testing.T) {
	core := newTestCore()
	list := servers("engine", "a", "a")
	core.Step(start, dispatch.ServersChanged{Changed: list[:1]})
	for id := range uint64(3) {
		placeStream(t, core, start, id+1)
	}
	core.Step(start, dispatch.ResponseStarted{ID: 2})
	core.Step(start, dispatch.Progress{ID: 2, Tokens: 900})
	list[0].Leaving = true
	var streams []dispatch.StreamToMigrate
	for range 2 {
		for _, action := range core.Step(start, dispatch.ServersChanged{Changed: list}) {
			if r, ok := action.(dispatch.MigrateStreams); ok {
				streams = append(streams, r.Streams...)
			}
		}
	}
	want := []dispatch.StreamToMigrate{
		{ID: 1, CachedTokens: 3000, RemainingTokens: 1000},
		{ID: 3, CachedTokens: 3000, RemainingTokens: 1000},
		{ID: 2, CachedTokens: 3900, RemainingTokens: 100},
	}
	if diff := cmp.Diff(want, streams); diff != "" {
		t.Error(diff)
	}
	if got := placeStream(t, core, start, 9); got != "s1" {
		t.Errorf("a request went to %s", got)
	}
	// A stream whose response starts only now is listed as well.
	listed := false
	for _, action := range core.Step(start, dispatch.ResponseStarted{ID: 3}) {
		if r, ok := action.(dispatch.MigrateStreams); ok && len(r.Streams) == 1 && r.Streams[0].ID == 3 {
			listed = true
		}
	}
	if !listed {
		t.Error("a stream that started after the notice was not listed")
	}
}

// TestTargetsInSameDataCentreAreTriedFirst requests targets while the data centre
// appears full. Its servers are still tried first, as a copy to another region finishes
// too late.
func TestTargetsInSameDataCentreAreTriedFirst(t *testing.T) {
	core := newTestCore()
	list := servers("engine", "a", "a", "b", "c")
	core.Step(start, dispatch.ServersChanged{Changed: list})
	core.Step(start, dispatch.PeerLedger{Source: "other", Entries: map[string]dispatch.LedgerEntry{"s1": {Requests: 9, Tokens: 33000}}})
	if got := placeStream(t, core, start, 1); got != "s0" {
		t.Fatalf("placed on %s", got)
	}
	list[0].Leaving = true
	core.Step(start, dispatch.ServersChanged{Changed: list})
	var refused, order []string
	for range 4 {
		for _, a := range core.Step(start, dispatch.FindTarget{ID: 1, Excluded: refused}) {
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

// TestRetriesStayWithinBudget retries every request of a service that always fails.
func TestRetriesStayWithinBudget(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "b", "c")})
	retries := 0
	for i := range 300 {
		now := start.Add(time.Duration(i) * 30 * time.Millisecond)
		id := uint64(2*i + 1)
		core.Step(now, dispatch.PlaceRequest{ID: id, Service: "plain", Kind: routing.Safe})
		core.Step(now, dispatch.RequestEnded{ID: id, Verdict: dispatch.Failed})
		for _, a := range core.Step(now, dispatch.PlaceRequest{ID: id + 1, Service: "plain", Kind: routing.Safe, Retry: true}) {
			switch a := a.(type) {
			case dispatch.Placed:
				retries++
			case dispatch.Refused:
				if a.Cause != outcome.RetryBudget {
					t.Fatalf("refused as %s", a.Cause)
				}
			}
		}
	}
	if limit := 300/5 + 5; retries > limit || retries < limit-20 {
		t.Errorf("%d retries of 300 requests, at most %d are allowed", retries, limit)
	}
}

// TestRetryBudgetIsSharedByFleet retries requests at every VM of a fleet: the retries
// of all VMs together stay within the fixed part of the budget.
func TestRetryBudgetIsSharedByFleet(t *testing.T) {
	const vms = 79
	total := 0
	for range vms {
		core := newTestCore()
		core.Step(start, dispatch.FleetSize{VMs: vms})
		core.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "b", "c")})
		for id := range uint64(10) {
			for _, a := range core.Step(start, dispatch.PlaceRequest{ID: id + 1, Service: "plain", Kind: routing.Safe, Retry: true}) {
				if _, ok := a.(dispatch.Placed); ok {
					total++
				}
			}
		}
	}
	if total > 50 {
		t.Errorf("%d retries by %d VMs, 50 are allowed", total, vms)
	}
}

// TestRecoveredReplicaReceivesRequests checks that a replica that failed all requests
// for some seconds receives requests again once it serves them.
func TestRecoveredReplicaReceivesRequests(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "c")})
	afterRecovery := 0
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		failing := i < 300
		id := uint64(i + 1)
		for _, a := range core.Step(now, dispatch.PlaceRequest{ID: id, Service: "plain", Kind: routing.Unsafe}) {
			p, ok := a.(dispatch.Placed)
			if !ok {
				continue
			}
			v := dispatch.Served
			if p.Server.ID == "s0" && failing {
				v = dispatch.Failed
			}
			if p.Server.ID == "s0" && i >= 600 {
				afterRecovery++
			}
			core.Step(now, dispatch.RequestEnded{ID: id, Verdict: v})
		}
	}
	if afterRecovery < 300 {
		t.Errorf("%d of 400 requests went to the near replica after it had recovered", afterRecovery)
	}
}

// TestRestartedReplicaStartsWithFreshState checks that the leaving state of a replica
// does not carry over to its restart under the same ID.
func TestRestartedReplicaStartsWithFreshState(t *testing.T) {
	core := newTestCore()
	list := servers("engine", "a")
	list[0].StartedAt, list[0].Leaving = start, true
	core.Step(start, dispatch.ServersChanged{Changed: list})
	again := servers("engine", "a")
	again[0].StartedAt = start.Add(time.Minute)
	core.Step(start, dispatch.ServersChanged{Changed: again})
	if got := placeStream(t, core, start, 1); got != "s0" {
		t.Errorf("placed on %s", got)
	}
}

// TestStreamsOfReplacedServerMigrate replays a rolling restart under the same ID: the entry of a
// server is that of a new process while the earlier one finishes its streams.
func TestStreamsOfReplacedServerMigrate(t *testing.T) {
	core := newTestCore()
	list := servers("engine", "a")
	list[0].StartedAt = start
	core.Step(start, dispatch.ServersChanged{Changed: list})
	placeStream(t, core, start, 7)
	again := servers("engine", "a")
	again[0].StartedAt = start.Add(time.Minute)
	var migrated []backend.Instance
	for _, action := range core.Step(start.Add(time.Minute), dispatch.ServersChanged{Changed: again}) {
		if r, ok := action.(dispatch.MigrateStreams); ok && len(r.Streams) == 1 && r.Streams[0].ID == 7 {
			migrated = append(migrated, r.Server.Instance())
		}
	}
	if diff := cmp.Diff([]backend.Instance{list[0].Instance()}, migrated); diff != "" {
		t.Errorf("servers whose stream migrates (-want +got):\n%s", diff)
	}
}

// TestFailingReplicaIsEjected checks that a replica that fails its requests gets few
// of them, although its entry in the server list says that it is ready.
func TestFailingReplicaIsEjected(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("plain", "a", "c")})
	sent := map[string]int{}
	for i := range 100 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		id := uint64(i + 1)
		for _, a := range core.Step(now, dispatch.PlaceRequest{ID: id, Service: "plain", Kind: routing.Unsafe}) {
			if p, ok := a.(dispatch.Placed); ok {
				sent[p.Server.ID]++
				v := dispatch.Served
				if p.Server.ID == "s0" {
					v = dispatch.Failed
				}
				core.Step(now, dispatch.RequestEnded{ID: id, Verdict: v})
			}
		}
	}
	if sent["s0"] > 20 {
		t.Errorf("%d of 100 requests went to a replica that fails all", sent["s0"])
	}
}

// TestVMsWithoutPeerLedgersSpreadRequests covers the moment after all VMs restarted:
// none has a ledger of another yet, and all servers have equal cost. No server may get
// more requests than it has slots.
func TestVMsWithoutPeerLedgersSpreadRequests(t *testing.T) {
	const vms, each, slots = 17, 3, 6
	list := servers("plain", slices.Repeat([]string{"a"}, 30)...)
	count := map[string]int{}
	for vm := range vms {
		core := dispatch.New(dispatch.Options{VM: fmt.Sprintf("vm-%d", vm), DataCentre: "a", RetryWindow: time.Second})
		core.Step(start, dispatch.ServicesChanged{Services: map[string]routing.Service{"plain": {Name: "plain"}}})
		core.Step(start, dispatch.ServersChanged{Changed: list})
		for id := range uint64(each) {
			for _, a := range core.Step(start, dispatch.PlaceRequest{ID: id, Service: "plain", Kind: routing.Safe}) {
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

// TestAnyResponseEndsConnectBackoff lets a server be unreachable four times, which
// lengthens its backoff, and then respond in some way. A later failure to connect must
// start with the shortest backoff again.
func TestAnyResponseEndsConnectBackoff(t *testing.T) {
	for _, verdict := range []dispatch.Verdict{dispatch.Served, dispatch.Shed, dispatch.Failed} {
		t.Run(verdict.String(), func(t *testing.T) {
			core := newTestCore()
			core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "c")})
			now := start
			id := uint64(0)
			end := func(verdict dispatch.Verdict) {
				id++
				// The other server is excluded, so that this one gets the request in its backoff.
				request := streamRequest(id)
				request.Excluded = []string{"s1"}
				core.Step(now, request)
				core.Step(now, dispatch.RequestEnded{ID: id, Verdict: verdict})
				now = now.Add(time.Minute)
			}
			for range 4 {
				end(dispatch.Unreachable)
			}
			end(verdict)
			end(dispatch.Unreachable)
			now = now.Add(2*time.Second - time.Minute)
			if got := placeStream(t, core, now, 100); got != "s0" {
				t.Errorf("2 s after a failure to connect, the server is still avoided for %s", got)
			}
		})
	}
}

// TestStreamsStayWhereMovesAreNotSupported checks that no migration starts on replicas
// that cannot copy a KV cache.
func TestStreamsStayWhereMovesAreNotSupported(t *testing.T) {
	core := newTestCore()
	core.Step(start, dispatch.ServicesChanged{Services: map[string]routing.Service{
		"engine": {Name: "engine", Engine: &routing.Engine{Slots: 24, CapacityTokens: 34000, TokensPerEvent: 4}},
	}})
	list := servers("engine", "a", "a")
	core.Step(start, dispatch.ServersChanged{Changed: list[:1]})
	placeStream(t, core, start, 1)
	placeStream(t, core, start, 2)
	core.Step(start, dispatch.ResponseStarted{ID: 1})
	list[0].Leaving = true
	actions := core.Step(start, dispatch.ServersChanged{Changed: list})
	actions = append(slices.Clone(actions), core.Step(start, dispatch.ResponseStarted{ID: 2})...)
	for _, action := range actions {
		if _, ok := action.(dispatch.MigrateStreams); ok {
			t.Errorf("migration was started: %+v", action)
		}
	}
}
