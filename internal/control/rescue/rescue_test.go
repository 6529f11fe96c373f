package rescue_test

import (
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/rescue"
)

var (
	noticed = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	plan    = rescue.Plan{Noticed: noticed}
	link    = rescue.Link{Mbps: 24000, TokenBytes: 163840}
)

func at(ms int) time.Time { return noticed.Add(time.Duration(ms) * time.Millisecond) }

// TestFarCopiesComeLast replays an engine with many streams: a copy to another
// region, which holds the link for long, must not be asked for while those of
// other VMs are.
func TestFarCopiesComeLast(t *testing.T) {
	for _, c := range []struct {
		ms   int
		way  rescue.Way
		want bool
	}{
		{0, rescue.Local, true},
		{0, rescue.Near, true},
		{0, rescue.Far, false},
		{800, rescue.Far, true},
		{1800, rescue.Far, false},
		{1900, rescue.Local, true},
		{2350, rescue.Local, false},
		{2500, rescue.Far, true}, // the server stays after all
	} {
		if got := plan.MayCopy(at(c.ms), 3500, link, c.way); got != c.want {
			t.Errorf("%d ms, way %d: %v", c.ms, c.way, got)
		}
	}
}

func TestCopyTimeFollowsTheLink(t *testing.T) {
	got := link.CopyTime(3500, rescue.Local)
	if got < 190*time.Millisecond || got > 200*time.Millisecond {
		t.Errorf("a copy of 3,500 tokens takes %v", got)
	}
	if far := link.CopyTime(3500, rescue.Far); far < 5*got {
		t.Errorf("a copy to another region takes %v", far)
	}
}

// TestRefreshesEndBeforeTheHandover plays the refreshes of one copy.
func TestRefreshesEndBeforeTheHandover(t *testing.T) {
	now, n := at(200), 0
	for {
		next := plan.NextRefresh(now)
		if next.After(plan.Handover()) {
			break
		}
		if next.Sub(now) < rescue.RefreshEvery {
			t.Fatalf("refresh %d after %v", n, next.Sub(now))
		}
		now, n = next, n+1
	}
	if n < 3 || n > 6 {
		t.Errorf("%d refreshes", n)
	}
}

// TestNoReturnAfterTheNotice keeps requests from a server whose notice must be
// in force, 3 s at the least.
func TestNoReturnAfterTheNotice(t *testing.T) {
	if !plan.MayReturn(plan.Handover()) {
		t.Error("a stream that stops at the handover cannot go on at its server")
	}
	if plan.MayReturn(at(2900)) {
		t.Error("a stream may go on at its server 2.9 s after the notice")
	}
}
