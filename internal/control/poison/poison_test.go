package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/control/poison"
)

var start = time.Date(2026, 3, 4, 13, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// crash records that a server ended under a request with the segments.
func crash(t *poison.Tracker, now time.Time, server string, segments ...string) {
	t.RequestArrived(now, segments)
	t.RequestLost(now, server, segments)
	t.ServerEnded(now.Add(20*time.Millisecond), server)
}

// traffic lets a tracker see sound requests, each with the common segment c0.
func traffic(t *poison.Tracker, now time.Time, requests int) {
	for i := range requests {
		t.RequestArrived(now, []string{"c0", fmt.Sprint("t", i)})
	}
}

// newTracker returns the tracker of a VM that has seen sound requests for ten seconds.
func newTracker(vm string) *poison.Tracker {
	tracker := poison.New(vm)
	traffic(tracker, at(-10), 20)
	traffic(tracker, start, 20)
	return tracker
}

func quarantined(t *poison.Tracker, now time.Time) []string {
	names := []string{}
	for _, q := range t.Quarantines(now) {
		names = append(names, q.Segment)
	}
	return names
}

func checkQuarantined(t *testing.T, tracker *poison.Tracker, now time.Time, want ...string) {
	t.Helper()
	if diff := cmp.Diff(append([]string{}, want...), quarantined(tracker, now)); diff != "" {
		t.Errorf("quarantined segments at %v (-want +got):\n%s", now.Sub(start), diff)
	}
}

// TestSegmentsThatExplainCrashesAreQuarantined replays patterns of lost requests.
func TestSegmentsThatExplainCrashesAreQuarantined(t *testing.T) {
	for name, c := range map[string]struct {
		play func(t *poison.Tracker)
		want []string
	}{
		"one segment, others differ": {func(t *poison.Tracker) {
			crash(t, at(1), "e1", "d1", "bad")
			crash(t, at(2), "e2", "d2", "bad")
			crash(t, at(3), "e3", "d3", "bad")
		}, []string{"bad"}},
		"two crashes": {func(t *poison.Tracker) {
			crash(t, at(1), "e1", "bad")
			crash(t, at(2), "e2", "bad")
		}, nil},
		"the first segment of all prompts has proven sound": {func(t *poison.Tracker) {
			t.RequestSound(at(0), []string{"c0", "d1"})
			for i := range 3 {
				crash(t, at(float64(i+1)), fmt.Sprint("e", i), "c0", "bad")
			}
		}, []string{"bad"}},
		"the first segment proves sound afterwards": {func(t *poison.Tracker) {
			for i := range 4 {
				crash(t, at(float64(i)), fmt.Sprint("e", i), "c0")
			}
			t.RequestSound(at(9), []string{"c0"})
		}, nil},
		"requests that waited with it": {func(t *poison.Tracker) {
			for i := range 4 {
				server := fmt.Sprint("e", i)
				t.RequestLost(at(float64(i)), server, []string{fmt.Sprint("d", i)})
				crash(t, at(float64(i)), server, "bad")
				t.RequestLost(at(float64(i)+0.1), server, []string{"c0", fmt.Sprint("f", i)})
			}
			t.RequestSound(at(4), []string{"c0"})
		}, []string{"bad"}},
		"two segments that always come together": {func(t *poison.Tracker) {
			for i := range 3 {
				crash(t, at(float64(i)), fmt.Sprint("e", i), "c0", "bad")
			}
		}, []string{"bad"}},
		"two segments of which the first crashes servers": {func(t *poison.Tracker) {
			for i := range 3 {
				crash(t, at(float64(i)), fmt.Sprint("e", i), "bad", "d0")
			}
			crash(t, at(4), "e4", "bad", "d1")
		}, []string{"bad"}},
		"two independent segments": {func(t *poison.Tracker) {
			for i := range 6 {
				crash(t, at(float64(i)), fmt.Sprint("e", i), []string{"bad", "worse"}[i%2])
			}
		}, []string{"bad", "worse"}},
		"a segment of most requests that never proves sound": {func(t *poison.Tracker) {
			for i := range 5 {
				crash(t, at(float64(i)), fmt.Sprint("e", i), "c0", fmt.Sprint("d", i))
			}
		}, []string{"c0"}},
		"a segment of most requests, beside three that crash servers": {func(t *poison.Tracker) {
			for i := range 12 {
				crash(t, at(float64(i)/4), fmt.Sprint("e", i), "c0", []string{"bad", "worse", "worst"}[i%3])
			}
		}, []string{"bad", "worse", "worst"}},
		"a segment of most requests, four crashes": {func(t *poison.Tracker) {
			for i := range 4 {
				crash(t, at(float64(i)), fmt.Sprint("e", i), "c0")
			}
		}, nil},
		"one server that ends three requests": {func(t *poison.Tracker) {
			for i := range 3 {
				crash(t, at(float64(i)), "e1", "d0")
			}
		}, nil},
		"servers that leave as planned": {func(t *poison.Tracker) {
			for i := range 5 {
				server := fmt.Sprint("e", i)
				if i%2 == 0 {
					t.ServerLeaves(at(float64(i)), server)
				}
				crash(t, at(float64(i)), server, "d0")
				if i%2 == 1 {
					t.ServerLeaves(at(float64(i+1)), server)
				}
			}
		}, nil},
		"servers that go on running": {func(t *poison.Tracker) {
			for i := range 5 {
				server := fmt.Sprint("e", i)
				t.RequestLost(at(float64(i)), server, []string{"d0"})
				t.ServerRuns(server)
				t.ServerEnded(at(float64(i)+1), server)
			}
		}, nil},
		"servers that end long after": {func(t *poison.Tracker) {
			for i := range 5 {
				server := fmt.Sprint("e", i)
				t.RequestLost(at(float64(i)), server, []string{"d0"})
				t.ServerEnded(at(float64(i)+30), server)
			}
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker("vm-1")
			c.play(tracker)
			checkQuarantined(t, tracker, at(10), c.want...)
		})
	}
}

// TestQuarantineEnds lets a quarantine end. One request may then probe the segment. If
// it crashes a server, the segment is quarantined for twice as long; if it proves sound, the
// quarantine is over.
func TestQuarantineEnds(t *testing.T) {
	tracker := newTracker("vm-1")
	for i := range 3 {
		crash(tracker, at(float64(i)), fmt.Sprint("e", i), "bad")
	}
	refused := func(seconds float64) bool {
		_, refused := tracker.Check(at(seconds), []string{"c0", "bad"})
		return refused
	}
	const minute = 60
	for _, seconds := range []float64{3, 2 * minute, 5*minute - 5} {
		if !refused(seconds) {
			t.Errorf("not refused at %v s", seconds)
		}
	}
	if refused(5*minute + 40) {
		t.Error("refused after the quarantine")
	}
	if !refused(5*minute + 41) {
		t.Error("second probe while the first one runs")
	}
	crash(tracker, at(5*minute+42), "e9", "bad")
	for _, seconds := range []float64{6 * minute, 15 * minute} {
		if !refused(seconds) {
			t.Errorf("not refused at %v s, after the probe crashed a server", seconds)
		}
	}
	if refused(17 * minute) {
		t.Error("refused after the second quarantine")
	}
	tracker.RequestSound(at(17*minute+3), []string{"c0", "bad"})
	for i := range 5 {
		if refused(17*minute + 4 + float64(i)/10) {
			t.Error("refused although the probe proved sound")
		}
	}
}

// TestSettlingVMNeedsMoreCrashes replays the start of a VM under requests with three segments
// that crash servers: the one that all requests share has not proven sound yet, and must not
// be taken for the cause.
func TestSettlingVMNeedsMoreCrashes(t *testing.T) {
	tracker := poison.New("vm-1")
	bad := []string{"bad", "worse", "worst"}
	now := 0.0
	for i := range 15 {
		now += 0.15
		tracker.RequestArrived(at(now), []string{"c0", fmt.Sprint("d", i)})
		crash(tracker, at(now), fmt.Sprint("e", i), "c0", bad[i%3])
		if _, refused := tracker.Check(at(now), []string{"c0", "d9"}); refused {
			t.Fatalf("the common segment is refused after %d crashes", i+1)
		}
	}
	checkQuarantined(t, tracker, at(now+1), bad...)
}

// TestFrequentSegmentDoesNotHideRareOne lets a frequent segment explain more crashes than a
// rare one, while the VM settles, but not enough of them. The rare one is quarantined.
func TestFrequentSegmentDoesNotHideRareOne(t *testing.T) {
	tracker := poison.New("vm-1")
	traffic(tracker, at(0), 20)
	for i := range 3 {
		crash(tracker, at(float64(i)/10), fmt.Sprint("e", i), "bad")
	}
	for i := range 4 {
		crash(tracker, at(float64(i)/10), fmt.Sprint("f", i), "f0", fmt.Sprint("d", i))
		tracker.RequestArrived(at(float64(i)/10), []string{"f0"})
	}
	checkQuarantined(t, tracker, at(1), "bad")
}

// TestSettledVMReportsQuarantine checks that a quarantine which begins because the VM has
// settled, without new evidence, counts as a change.
func TestSettledVMReportsQuarantine(t *testing.T) {
	tracker := poison.New("vm-1")
	for i := range 4 {
		crash(tracker, at(float64(i)/10), fmt.Sprint("e", i), "bad")
	}
	checkQuarantined(t, tracker, at(1))
	before := tracker.Changes()
	checkQuarantined(t, tracker, at(7), "bad")
	if tracker.Changes() == before {
		t.Error("the quarantine is no change")
	}
}

// TestCommonSegmentIsTriedAgainSoon quarantines a segment that nearly all requests hold. It is
// released much sooner than others, as most requests are refused meanwhile.
func TestCommonSegmentIsTriedAgainSoon(t *testing.T) {
	tracker := newTracker("vm-1")
	for i := range 5 {
		crash(tracker, at(float64(i)/10), fmt.Sprint("e", i), "c0", fmt.Sprint("d", i))
	}
	if _, refused := tracker.Check(at(15), []string{"c0", "d9"}); !refused {
		t.Error("not refused after 15 s")
	}
	if _, refused := tracker.Check(at(62), []string{"c0", "d9"}); refused {
		t.Error("refused after 62 s")
	}
}

// TestVMsReleaseSegmentsOneByOne checks that few VMs have released a segment in the first
// second after its quarantine.
func TestVMsReleaseSegmentsOneByOne(t *testing.T) {
	const vms = 100
	released := 0
	for i := range vms {
		tracker := newTracker(fmt.Sprintf("vm-%03d", i))
		for i := range 3 {
			crash(tracker, at(float64(i)), fmt.Sprint("e", i), "bad")
		}
		if _, refused := tracker.Check(at(2+300+1), []string{"bad"}); !refused {
			released++
		}
	}
	if released > vms/10 {
		t.Errorf("%d of %d VMs released the segment within a second", released, vms)
	}
}

// exchange passes evidence between all trackers in random order, and repeats some of it.
func exchange(rnd *rand.Rand, now time.Time, trackers []*poison.Tracker) {
	for range 2 {
		for _, from := range rnd.Perm(len(trackers)) {
			for _, to := range rnd.Perm(len(trackers)) {
				for range 1 + rnd.IntN(2) {
					trackers[to].Merge(now, trackers[from].Evidence(now, 0))
				}
			}
		}
	}
}

// TestVMsAgree plays lost and sound requests at several VMs, of which each sees a part of
// each crash and of the sound requests before. All must quarantine the segments that crash
// servers, and no others.
func TestVMsAgree(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		trackers := make([]*poison.Tracker, 2+rnd.IntN(6))
		for i := range trackers {
			trackers[i] = newTracker(fmt.Sprint("vm-", i))
		}
		random := func() *poison.Tracker { return trackers[rnd.IntN(len(trackers))] }
		bad := []string{"bad", "worse"}[:1+rnd.IntN(2)]
		prompt := func() []string { return []string{"c0", fmt.Sprint("d", rnd.IntN(8))} }
		now := 0.0
		for i := range 8 {
			random().RequestSound(at(now), []string{"c0", fmt.Sprint("d", i)})
		}
		for i := range 6 * len(bad) {
			for range 2 + rnd.IntN(4) {
				now += 0.2
				random().RequestSound(at(now), prompt())
			}
			server := fmt.Sprint("e", i)
			for range rnd.IntN(4) {
				random().RequestLost(at(now), server, prompt())
			}
			crash(random(), at(now), server, append(prompt(), bad[i%len(bad)])...)
			for _, tracker := range trackers {
				tracker.ServerEnded(at(now+0.05), server)
			}
			exchange(rnd, at(now+0.1), trackers)
		}
		for i, tracker := range trackers {
			if diff := cmp.Diff(bad, quarantined(tracker, at(now+1))); diff != "" {
				t.Errorf("seed %d, VM %d: quarantined segments (-want +got):\n%s", seed, i, diff)
			}
		}
	}
}

// TestChangesAreExchanged checks that the changes after a number of changes are enough for
// a VM that has the evidence until then.
func TestChangesAreExchanged(t *testing.T) {
	from, to := newTracker("vm-1"), newTracker("vm-2")
	seen := 0
	for i := range 6 {
		now := at(float64(i))
		crash(from, now, fmt.Sprint("e", i), "c0", "bad")
		if i == 3 {
			from.RequestSound(now, []string{"c0"})
		}
		evidence := from.Evidence(now, seen)
		if len(evidence.Crashes) != 1 {
			t.Errorf("%d crashes have changed, want 1", len(evidence.Crashes))
		}
		seen = from.Changes()
		to.Merge(now, evidence)
	}
	if diff := cmp.Diff(from.Quarantines(at(7)), to.Quarantines(at(7))); diff != "" {
		t.Errorf("quarantines (-sender +receiver):\n%s", diff)
	}
	if evidence := from.Evidence(at(7), seen); len(evidence.Crashes)+len(evidence.Sound) != 0 {
		t.Errorf("evidence without a change: %v", evidence)
	}
}

// TestEvidenceIsBounded floods a tracker. Its evidence must stay small and keep the
// segment that is quarantined, and old evidence must be dropped.
func TestEvidenceIsBounded(t *testing.T) {
	tracker := newTracker("vm-1")
	for i := range 3 {
		crash(tracker, at(float64(i)), fmt.Sprint("e", i), "bad")
	}
	for i := range 2000 {
		var segments []string
		for j := range 40 {
			segments = append(segments, fmt.Sprintf("x%d-%d", i, j))
		}
		crash(tracker, at(5+float64(i)/100), fmt.Sprint("f", i), segments...)
		tracker.RequestSound(at(5+float64(i)/100), []string{fmt.Sprint("y", i)})
	}
	evidence := tracker.Evidence(at(30), 0)
	if len(evidence.Crashes) > 64 {
		t.Errorf("%d crashes", len(evidence.Crashes))
	}
	for _, c := range evidence.Crashes {
		if len(c.Segments) > 32 {
			t.Errorf("%d segments of a crash", len(c.Segments))
		}
	}
	checkQuarantined(t, tracker, at(30), "bad")
	if n := len(tracker.Evidence(at(3*3600), 0).Crashes); n != 0 {
		t.Errorf("%d crashes after three hours", n)
	}
	checkQuarantined(t, tracker, at(3*3600))
}
