package heartbeat_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/control/heartbeat"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestReadIsDatedByLastBeatReceivedBeforeIt replays a reader that stood still between its
// read and its answer: the read counts as of the last beat that the reader had
// when it began, not as of when its word came.
func TestReadIsDatedByLastBeatReceivedBeforeIt(t *testing.T) {
	own, other := heartbeat.New(100), heartbeat.New(7_000)
	first := own.Next(at(0))
	other.Receive("own", first)
	done := other.BeginRead("config/")
	// Beats that come during the read prove nothing.
	other.Receive("own", own.Next(at(500)))
	done(42)
	other.Receive("own", own.Next(at(5000)))
	got := other.Confirmed("own")
	if diff := cmp.Diff([]wire.Confirmed{{Prefix: "config/", Version: 42, Beat: int(first)}}, got); diff != "" {
		t.Fatal(diff)
	}
	when, ok := own.EarliestStart(got[0])
	if !ok || !when.Equal(at(0)) {
		t.Errorf("dated %v, %v", when, ok)
	}
}

// TestBeatsOfEarlierIncarnationAreRejected answers to a VM that started again.
func TestBeatsOfEarlierIncarnationAreRejected(t *testing.T) {
	earlier, other := heartbeat.New(100), heartbeat.New(7_000)
	other.Receive("own", earlier.Next(at(0)))
	other.BeginRead("config/")(42)
	again := heartbeat.New(900_000)
	for range 200 {
		again.Next(at(1000))
	}
	if _, ok := again.EarliestStart(other.Confirmed("own")[0]); ok {
		t.Error("a beat of an earlier life was dated")
	}
}

func TestOverwrittenBeatsAreRejected(t *testing.T) {
	own := heartbeat.New(0)
	first := own.Next(at(0))
	for i := range 2000 {
		own.Next(at(i))
	}
	if _, ok := own.EarliestStart(wire.Confirmed{Prefix: "config/", Version: 1, Beat: int(first)}); ok {
		t.Error("a forgotten beat was dated")
	}
	if _, ok := own.EarliestStart(wire.Confirmed{Prefix: "config/", Version: 1, Beat: -5}); ok {
		t.Error("a number that was never sent was dated")
	}
}

// TestNoConfirmationForVMNotReceivedBeforeRead asks for a VM that was not heard before the
// read began.
func TestNoConfirmationForVMNotReceivedBeforeRead(t *testing.T) {
	b := heartbeat.New(0)
	b.BeginRead("config/")(42)
	b.Receive("late", 5)
	if got := b.Confirmed("late"); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
