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

// TestReadIsDatedByLastBeatReceivedBeforeIt guards against taking an old read for a new
// one when the reader pauses between the read and its confirmation: the read counts as
// of the last beat received before it began.
func TestReadIsDatedByLastBeatReceivedBeforeIt(t *testing.T) {
	sender, reader := heartbeat.New(100), heartbeat.New(7_000)
	first := sender.Next(at(0))
	reader.Receive("own", first)
	done := reader.BeginRead("config/")
	// Beats received during the read must not count.
	reader.Receive("own", sender.Next(at(500)))
	done(42)
	reader.Receive("own", sender.Next(at(5000)))
	got := reader.Confirmations("own")
	if diff := cmp.Diff([]wire.Confirmed{{Prefix: "config/", Version: 42, Beat: int(first)}}, got); diff != "" {
		t.Fatal(diff)
	}
	earliest, ok := sender.EarliestStart(got[0])
	if !ok || !earliest.Equal(at(0)) {
		t.Errorf("got earliest start %v, ok %v", earliest, ok)
	}
}

// TestBeatsOfEarlierRunAreRejected guards against dating a read by a beat that this VM
// sent before a restart.
func TestBeatsOfEarlierRunAreRejected(t *testing.T) {
	firstRun, reader := heartbeat.New(100), heartbeat.New(7_000)
	reader.Receive("own", firstRun.Next(at(0)))
	reader.BeginRead("config/")(42)
	secondRun := heartbeat.New(900_000)
	for range 200 {
		secondRun.Next(at(1000))
	}
	if _, ok := secondRun.EarliestStart(reader.Confirmations("own")[0]); ok {
		t.Error("beat of an earlier run accepted")
	}
}

func TestOverwrittenBeatsAreRejected(t *testing.T) {
	sender := heartbeat.New(0)
	first := sender.Next(at(0))
	for i := range 2000 {
		sender.Next(at(i))
	}
	if _, ok := sender.EarliestStart(wire.Confirmed{Prefix: "config/", Version: 1, Beat: int(first)}); ok {
		t.Error("overwritten beat accepted")
	}
	if _, ok := sender.EarliestStart(wire.Confirmed{Prefix: "config/", Version: 1, Beat: -5}); ok {
		t.Error("beat that was never sent accepted")
	}
}

// TestReadIsNotConfirmedToVMWithoutEarlierBeat checks the confirmations for a VM of which
// no beat was received before the read began.
func TestReadIsNotConfirmedToVMWithoutEarlierBeat(t *testing.T) {
	tracker := heartbeat.New(0)
	tracker.BeginRead("config/")(42)
	tracker.Receive("late", 5)
	if got := tracker.Confirmations("late"); len(got) != 0 {
		t.Errorf("unexpected confirmations %v", got)
	}
}
