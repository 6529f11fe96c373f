package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// promptRequest returns a request for a stream with the segments.
func promptRequest(id uint64, segments ...string) dispatch.PlaceRequest {
	r := streamRequest(id)
	r.Segments = segments
	return r
}

// crashUnder places a request and lets the server that gets it crash before its first event.
func crashUnder(t *testing.T, core *dispatch.Core, now time.Time, id uint64, segments ...string) {
	t.Helper()
	for _, action := range core.Step(now, promptRequest(id, segments...)) {
		placed, ok := action.(dispatch.Placed)
		if !ok {
			continue
		}
		core.Step(now.Add(300*time.Millisecond), dispatch.RequestEnded{ID: id, Verdict: dispatch.Failed, ClosedByServer: true})
		core.Step(now.Add(320*time.Millisecond), dispatch.ServerChecked{Server: placed.Server})
		return
	}
	t.Fatalf("request %d was not placed", id)
}

// newCrashCore returns a core with six engines that has placed requests with other segments.
func newCrashCore() *dispatch.Core {
	core := newTestCore()
	core.Step(start, dispatch.ServersChanged{Changed: servers("engine", "a", "a", "a", "a", "a", "a")})
	for id := range uint64(20) {
		now := start.Add(time.Duration(id)*time.Second - 20*time.Second)
		core.Step(now, promptRequest(2000+id, "c0", fmt.Sprint("t", id)))
		core.Step(now, dispatch.RequestEnded{ID: 2000 + id, Verdict: dispatch.Cancelled})
	}
	return core
}

// refusal returns why a request is refused, and None if it is placed.
func refusal(core *dispatch.Core, now time.Time, id uint64, segments ...string) outcome.Cause {
	for _, action := range core.Step(now, promptRequest(id, segments...)) {
		if refused, ok := action.(dispatch.Refused); ok {
			return refused.Cause
		}
	}
	return outcome.None
}

// TestCrashesOfOneSegmentAreLearntByAllVMs replays requests with one segment that come to
// three VMs, each of which sees one server crash.
func TestCrashesOfOneSegmentAreLearntByAllVMs(t *testing.T) {
	var vms []*dispatch.Core
	for range 3 {
		vms = append(vms, newCrashCore())
	}
	// The VMs see different servers crash: each one's other servers are ruled out by streams.
	for i, core := range vms {
		for id := range uint64(2 * i) {
			core.Step(start, streamRequest(1000+id))
		}
		crashUnder(t, core, start.Add(time.Duration(i)*time.Second), uint64(i+1), "c0", "bad")
	}
	now := start.Add(4 * time.Second)
	for range 2 {
		for i, from := range vms {
			for _, action := range from.Step(now, dispatch.Tick{}) {
				publish, ok := action.(dispatch.PublishEvidence)
				if !ok {
					continue
				}
				for j, to := range vms {
					if i != j {
						to.Step(now, dispatch.PeerEvidence{Evidence: publish.Evidence})
					}
				}
			}
		}
		now = now.Add(4 * time.Second)
	}
	for i, core := range vms {
		got := []outcome.Cause{refusal(core, now, 51, "c0", "bad"), refusal(core, now, 52, "c0", "d1"), refusal(core, now, 53)}
		if diff := cmp.Diff([]outcome.Cause{outcome.PromptQuarantined, outcome.None, outcome.None}, got); diff != "" {
			t.Errorf("VM %d: refusals of the segment, of another one, of none (-want +got):\n%s", i, diff)
		}
	}
}

// TestQuarantineCancelsOpenRequests quarantines a segment while requests with it are open.
// Those whose output has proven them sound, and those with other segments, go on.
func TestQuarantineCancelsOpenRequests(t *testing.T) {
	core := newCrashCore()
	core.Step(start, promptRequest(10, "c0", "bad"))
	core.Step(start, promptRequest(11, "c0", "d1"))
	var cancelled []uint64
	var crashed []string
	for i := range uint64(3) {
		now := start.Add(time.Duration(i) * time.Second)
		request := promptRequest(i, "bad", fmt.Sprint("d", i))
		request.Excluded = crashed
		for _, action := range core.Step(now, request) {
			placed, ok := action.(dispatch.Placed)
			if !ok {
				continue
			}
			crashed = append(crashed, placed.Server.ID)
			core.Step(now, dispatch.RequestEnded{ID: i, Verdict: dispatch.Failed, ClosedByServer: true})
			for _, action := range core.Step(now, dispatch.ServerChecked{Server: placed.Server}) {
				if c, ok := action.(dispatch.CancelRequest); ok {
					cancelled = append(cancelled, c.ID)
				}
			}
		}
	}
	if diff := cmp.Diff([]uint64{10}, cancelled); diff != "" {
		t.Errorf("cancelled requests (-want +got):\n%s", diff)
	}
}

// TestEvidenceMessagesAreBounded lets servers crash all the time. Evidence must be sent at
// most ten times a second.
func TestEvidenceMessagesAreBounded(t *testing.T) {
	core := newTestCore()
	sent := 0
	count := func(actions []dispatch.Action) {
		for _, action := range actions {
			if _, ok := action.(dispatch.PublishEvidence); ok {
				sent++
			}
		}
	}
	now := start
	for i := range uint64(500) {
		now = now.Add(10 * time.Millisecond)
		changed := servers("engine", "a")
		changed[0].ID = fmt.Sprint("i-", i)
		count(core.Step(now, dispatch.ServersChanged{Changed: changed}))
		count(core.Step(now, promptRequest(i, fmt.Sprint("d", i))))
		count(core.Step(now, dispatch.RequestEnded{ID: i, Verdict: dispatch.Failed, ClosedByServer: true}))
		count(core.Step(now, dispatch.ServerChecked{Server: changed[0]}))
		if !core.NextTick().After(now) {
			count(core.Step(now, dispatch.Tick{}))
		}
	}
	if sent > 51 || sent == 0 {
		t.Errorf("evidence was sent %d times in 5 s", sent)
	}
}
