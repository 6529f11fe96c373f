package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// simFleet simulates the VMs of one region that place streams on the engines of one data
// centre and exchange their ledgers.
type simFleet struct {
	vms    []*dispatch.Core
	lastID uint64
	// open holds the streams by the time at which they end.
	open []simStream
}

type simStream struct {
	vm      int
	id      uint64
	endsAt  time.Time
	verdict dispatch.Verdict
}

func newSimFleet(vms int, engines []backend.Server) *simFleet {
	f := &simFleet{}
	for i := range vms {
		core := dispatch.New(dispatch.Options{
			VM: fmt.Sprintf("vm-%03d", i), DataCentre: "a", Regions: map[string]string{"a": "r1"},
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
		})
		core.Step(start, dispatch.ServicesChanged{Services: map[string]routing.Service{
			"engine": {Name: "engine", Engine: &routing.Engine{
				Slots: 24, CapacityTokens: 34000, TokenBytes: 163840, LinkMbps: 24000, SupportsMoves: true, TokensPerEvent: 4,
			}},
		}})
		core.Step(start, dispatch.ServersChanged{Changed: engines})
		f.vms = append(f.vms, core)
	}
	return f
}

// place places a stream at a VM. fails reports whether the server fails it at once, and
// with which verdict; other streams run for 4 s.
func (f *simFleet) place(now time.Time, vm int, fails func(server string) (dispatch.Verdict, bool)) (failed bool) {
	f.lastID++
	for _, action := range f.vms[vm].Step(now, streamRequest(f.lastID)) {
		placed, ok := action.(dispatch.Placed)
		if !ok {
			continue
		}
		if verdict, bad := fails(placed.Server.ID); bad {
			f.open = append(f.open, simStream{vm, f.lastID, now.Add(4 * time.Millisecond), verdict})
			return true
		}
		f.vms[vm].Step(now, dispatch.ResponseStarted{ID: f.lastID})
		f.open = append(f.open, simStream{vm, f.lastID, now.Add(4 * time.Second), dispatch.Served})
	}
	return false
}

// endDue ends the streams whose time has come.
func (f *simFleet) endDue(now time.Time) {
	kept := f.open[:0]
	for _, s := range f.open {
		if now.Before(s.endsAt) {
			kept = append(kept, s)
			continue
		}
		f.vms[s.vm].Step(now, dispatch.RequestEnded{ID: s.id, Verdict: s.verdict})
	}
	f.open = kept
}

// exchange ticks all VMs and delivers their ledgers to all others.
func (f *simFleet) exchange(now time.Time) {
	for i, core := range f.vms {
		for _, action := range core.Step(now, dispatch.Tick{}) {
			ledger, ok := action.(dispatch.PublishLedger)
			if !ok || ledger.Scope != dispatch.ScopeVM {
				continue
			}
			for j, other := range f.vms {
				if j != i {
					other.Step(now, dispatch.PeerLedger{Source: fmt.Sprintf("vm-%03d", i), Entries: ledger.Entries})
				}
			}
		}
	}
}

// TestFastFailingEngineDoesNotAttractTheFleet replays trouble of the large fleet: an
// engine resets each request a few milliseconds after it got it. It then looks idle to all
// VMs, and each VM alone sees too few of its requests to learn from them. The share of
// streams that it gets must not exceed its share of the engines.
func TestFastFailingEngineDoesNotAttractTheFleet(t *testing.T) {
	for _, verdict := range []dispatch.Verdict{dispatch.Failed, dispatch.Unreachable} {
		t.Run(verdict.String(), func(t *testing.T) {
			const vms, engines, streamsPerSecond, seconds = 60, 20, 40, 6
			var list []backend.Server
			for i := range engines {
				list = append(list, backend.Server{
					ID: fmt.Sprintf("s%02d", i), Service: "engine", Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: "a", Slots: 24,
				})
			}
			fleet := newSimFleet(vms, list)
			streams, failed := 0, 0
			for ms := range (seconds + 4) * 1000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				fleet.endDue(now)
				if ms%20 == 0 {
					fleet.exchange(now)
				}
				if ms%(1000/streamsPerSecond) != 0 {
					continue
				}
				// The engine fails after the others have become busy.
				broken := ms >= 4000
				hit := fleet.place(now, streams%vms, func(server string) (dispatch.Verdict, bool) { return verdict, broken && server == "s07" })
				streams++
				if hit {
					failed++
				}
			}
			if limit := streamsPerSecond * seconds / engines; failed > limit {
				t.Errorf("%d of %d streams went to the failing engine, want at most %d", failed, streamsPerSecond*seconds, limit)
			}
		})
	}
}

// TestFailingServerGetsRequestsAgain checks that the failures that another VM has reported
// lose their effect, and that single failures among successes have none.
func TestFailingServerGetsRequestsAgain(t *testing.T) {
	for _, c := range []struct {
		name   string
		entry  dispatch.LedgerEntry
		after  time.Duration
		server string
	}{
		{"fails", dispatch.LedgerEntry{Failed: 3}, 0, "s1"},
		{"ledgerExpired", dispatch.LedgerEntry{Failed: 3}, 4 * time.Second, "s0"},
		{"oneFailure", dispatch.LedgerEntry{Failed: 1}, 0, "s0"},
		{"mostlyServes", dispatch.LedgerEntry{Failed: 3, Served: 3}, 0, "s0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := newTestCore()
			core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "c")})
			core.Step(start, dispatch.PeerLedger{Source: "other", Entries: map[string]dispatch.LedgerEntry{"s0": c.entry}})
			if got := placeStream(t, core, start.Add(c.after), 1); got != c.server {
				t.Errorf("placed on %s, want %s", got, c.server)
			}
		})
	}
}

// TestTroubledVMDoesNotEjectSoundServers lets all streams of half of the VMs break at once, as when
// their connections are reset, while others are served by the same servers.
func TestTroubledVMDoesNotEjectSoundServers(t *testing.T) {
	const vms = 20
	list := servers("engine", "a", "a", "a", "a", "remote")
	fleet := newSimFleet(vms, list)
	now := start
	for ms := range 6000 {
		now = start.Add(time.Duration(ms) * time.Millisecond)
		fleet.endDue(now)
		if ms%20 == 0 {
			fleet.exchange(now)
		}
		if ms%200 == 0 {
			fleet.place(now, (ms/200)%vms, func(string) (dispatch.Verdict, bool) { return 0, false })
		}
	}
	for i := range fleet.open {
		if fleet.open[i].vm%2 == 1 {
			fleet.open[i].endsAt, fleet.open[i].verdict = now, dispatch.Failed
		}
	}
	fleet.endDue(now)
	now = now.Add(500 * time.Millisecond)
	fleet.exchange(now)
	for i := range 4 {
		request := streamRequest(1_000_000)
		for j := range 4 {
			if j != i {
				request.Excluded = append(request.Excluded, list[j].ID)
			}
		}
		for _, action := range fleet.vms[0].Step(now, request) {
			if placed, ok := action.(dispatch.Placed); ok && placed.Server.ID != list[i].ID {
				t.Errorf("%s is avoided after half of the VMs lost their streams", list[i].ID)
			}
		}
		fleet.vms[0].Step(now, dispatch.RequestEnded{ID: 1_000_000, Verdict: dispatch.Cancelled})
	}
}
