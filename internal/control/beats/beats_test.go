package beats_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/control/beats"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestReadIsDatedByTheBeatBeforeIt replays a reader that stood still between its
// read and its answer: the read counts as of the last beat that the reader had
// when it began, not as of when its word came.
func TestReadIsDatedByTheBeatBeforeIt(t *testing.T) {
	own, other := beats.New(100), beats.New(7_000)
	first := own.Next(at(0))
	other.Hear("own", first)
	done := other.BeginRead("config/")
	// Beats that come during the read prove nothing.
	other.Hear("own", own.Next(at(500)))
	done(42)
	other.Hear("own", own.Next(at(5000)))
	got := other.Confirmed("own")
	if diff := cmp.Diff([]wire.Confirmed{{Prefix: "config/", Version: 42, Beat: int(first)}}, got); diff != "" {
		t.Fatal(diff)
	}
	when, ok := own.Date(got[0])
	if !ok || !when.Equal(at(0)) {
		t.Errorf("dated %v, %v", when, ok)
	}
}

// TestBeatsOfAnEarlierLifeProveNothing answers to a VM that started again.
func TestBeatsOfAnEarlierLifeProveNothing(t *testing.T) {
	earlier, other := beats.New(100), beats.New(7_000)
	other.Hear("own", earlier.Next(at(0)))
	other.BeginRead("config/")(42)
	again := beats.New(900_000)
	for range 200 {
		again.Next(at(1000))
	}
	if _, ok := again.Date(other.Confirmed("own")[0]); ok {
		t.Error("a beat of an earlier life was dated")
	}
}

func TestOldBeatsAreForgotten(t *testing.T) {
	own := beats.New(0)
	first := own.Next(at(0))
	for i := range 2000 {
		own.Next(at(i))
	}
	if _, ok := own.Date(wire.Confirmed{Prefix: "config/", Version: 1, Beat: int(first)}); ok {
		t.Error("a forgotten beat was dated")
	}
	if _, ok := own.Date(wire.Confirmed{Prefix: "config/", Version: 1, Beat: -5}); ok {
		t.Error("a number that was never sent was dated")
	}
}

// TestNothingIsConfirmedToStrangers asks for a VM that was not heard before the
// read began.
func TestNothingIsConfirmedToStrangers(t *testing.T) {
	b := beats.New(0)
	b.BeginRead("config/")(42)
	b.Hear("late", 5)
	if got := b.Confirmed("late"); len(got) != 0 {
		t.Errorf("%v", got)
	}
}
