package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// gapGoal is the longest pause that callers of reports accept.
const gapGoal = 180 * time.Millisecond

// reports runs several streams side by side and returns their answers.
func (w *world) reports(n, events int, between time.Duration) func() []answer {
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { answers[i] = w.report(w.t.Context(), fmt.Sprintf("s%d", i), events) })
		time.Sleep(between)
	}
	return func() []answer {
		wg.Wait()
		return answers
	}
}

// occupy runs a stream on an engine as another VM would.
func (w *world) occupy(id, attempt string, events int) {
	client := network.Client(w.net.Host("10.3.0.3"))
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, "http://"+w.up[id].Address()+"/x", nil)
	if err != nil {
		w.t.Error(err)
		return
	}
	req.Header.Set("X-Pimentohinge-Attempt-Id", attempt)
	req.Header.Set("X-Pimentohinge-Token-Usage", fmt.Sprintf("3000,%d", 4*events))
	resp, err := client.Do(req)
	if err != nil {
		w.t.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// once fails the test when a request was worked on by two replicas at a time.
func (w *world) once(attempt string) {
	w.t.Helper()
	const slack = 400 * time.Millisecond
	runs := w.grid.Runs(attempt)
	for i := 1; i < len(runs); i++ {
		if !runs[i].Resumed {
			w.t.Errorf("%s was started anew at %s", attempt, runs[i].Replica)
		}
		if ended := runs[i-1].Ended; ended.IsZero() || ended.After(runs[i].Started.Add(slack)) {
			w.t.Errorf("%s ran at %s and %s at once", attempt, runs[i-1].Replica, runs[i].Replica)
		}
	}
}

// smooth fails the test unless all streams are whole, ran at one replica at a
// time and had no pause that their callers saw.
func (w *world) smooth(answers []answer, events int) {
	w.t.Helper()
	for i, a := range answers {
		w.whole(a, events)
		w.once(fmt.Sprintf("s%d", i))
		if a.longest > gapGoal {
			w.t.Errorf("stream %d paused for %v", i, a.longest)
		}
	}
}

func TestStreamIsRelayedWhole(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.engine("e-1", "a")
		a := w.report(t.Context(), "s0", 50)
		w.whole(a, 50)
		if a.header.Get("X-Pimentohinge-Response-Stamp") == "" {
			t.Error("no stamp")
		}
	})
}

// TestReclaimAtShortNotice takes an engine with several reports away a second
// and a half after its notice: each goes on elsewhere with no pause that its
// caller would see, no gap and no repeat.
func TestReclaimAtShortNotice(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.engine("e-1", "a")
		done := w.reports(5, 200, 300*time.Millisecond)
		w.engine("e-2", "a")
		w.engine("e-3", "b")
		time.Sleep(time.Second)
		w.leave("e-1")
		time.Sleep(1540 * time.Millisecond)
		w.up["e-1"].Stop()
		w.smooth(done(), 200)
		if n := w.log.count("event=resumed"); n != 5 {
			t.Errorf("%d streams were resumed", n)
		}
	})
}

// TestReclaimWhileTheStoreIsAway gives the notice while the store does not
// answer, so that only the replica itself can tell it: inc-533b of
// klepsydra-serwis, where 18 reports were cut off so.
func TestReclaimWhileTheStoreIsAway(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		w.engine("e-1", "a")
		done := w.reports(3, 200, 100*time.Millisecond)
		w.engine("e-2", "a")
		w.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(time.Second)
		w.up["e-1"].AnnounceStop(time.Now().Add(1500 * time.Millisecond))
		time.Sleep(1500 * time.Millisecond)
		w.up["e-1"].Stop()
		for i, a := range done() {
			w.whole(a, 200)
			w.once(fmt.Sprintf("s%d", i))
		}
	})
}

// TestReclaimWhileTheOthersAreFull gives the notice while the only other engine
// of the data centre has no room: it has some before the server is gone.
func TestReclaimWhileTheOthersAreFull(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		w.engine("e-1", "a")
		done := w.reports(1, 200, 10*time.Millisecond)
		w.engine("e-2", "a")
		var fill sync.WaitGroup
		for i := range 11 {
			fill.Go(func() { w.occupy("e-2", fmt.Sprintf("f%d", i), 40) })
		}
		time.Sleep(300 * time.Millisecond)
		w.leave("e-1")
		time.Sleep(1600 * time.Millisecond)
		w.up["e-1"].Stop()
		w.whole(done()[0], 200)
		fill.Wait()
	})
}

// TestReclaimTwice takes the second engine away as well.
func TestReclaimTwice(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		w.engine("e-1", "a")
		done := w.reports(2, 300, 200*time.Millisecond)
		w.engine("e-2", "a")
		w.engine("e-3", "a")
		time.Sleep(500 * time.Millisecond)
		w.leave("e-1")
		time.Sleep(1600 * time.Millisecond)
		w.up["e-1"].Stop()
		time.Sleep(500 * time.Millisecond)
		w.leave("e-2")
		time.Sleep(1600 * time.Millisecond)
		w.up["e-2"].Stop()
		w.smooth(done(), 300)
	})
}

// TestStreamThatBeginsDuringTheNotice has its first event only after its engine
// announced that it leaves.
func TestStreamThatBeginsDuringTheNotice(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		w.engine("e-1", "a")
		done := w.reports(1, 150, 5*time.Millisecond)
		w.leave("e-1")
		w.engine("e-2", "a")
		time.Sleep(1500 * time.Millisecond)
		w.up["e-1"].Stop()
		w.whole(done()[0], 150)
	})
}

// TestDrainedEngineStays announces that an engine leaves, which then stays for
// many seconds: its streams are handed over all the same.
func TestDrainedEngineStays(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		w.engine("e-1", "a")
		done := w.reports(3, 200, 100*time.Millisecond)
		w.engine("e-2", "a")
		w.leave("e-1")
		time.Sleep(4 * time.Second)
		w.up["e-1"].Stop()
		w.smooth(done(), 200)
	})
}

// TestCopiesAreFreed ends streams while they have copies.
func TestCopiesAreFreed(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.engine("e-1", "a")
		ctx, cancel := context.WithCancel(t.Context())
		go func() { w.report(ctx, "s0", 200) }()
		time.Sleep(500 * time.Millisecond)
		w.engine("e-2", "a")
		w.leave("e-1")
		time.Sleep(700 * time.Millisecond)
		cancel()
		time.Sleep(time.Second)
		if used := w.up["e-2"].Used(); used != 0 {
			t.Errorf("%d tokens are held for a stream that ended", used)
		}
	})
}

// TestEngineDiesWithoutNotice breaks a stream that has no copy: it must not
// look complete, and nothing may run again.
func TestEngineDiesWithoutNotice(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.engine("e-1", "a")
		w.engine("e-2", "a")
		done := w.reports(1, 100, time.Second)
		runs := w.grid.Runs("s0")
		w.up[runs[0].Replica].Stop()
		a := done()[0]
		if a.err == nil {
			t.Errorf("a cut stream of %d events looks complete", len(a.events))
		}
		if n := len(w.grid.Runs("s0")); n != 1 {
			t.Errorf("%d runs", n)
		}
	})
}

// TestStopLetsStreamsEnd stops the VM: what runs ends, and what could not end in
// time is refused at once, with advice to come back.
func TestStopLetsStreamsEnd(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.engine("e-1", "a")
		done := w.reports(1, 200, 500*time.Millisecond)
		stopped := make(chan bool, 1)
		go func() { stopped <- w.vm.Stop(context.Background()) }()
		time.Sleep(time.Millisecond)
		if a := w.get(readyAddr, "/v1/ready"); a != http.StatusServiceUnavailable {
			t.Errorf("ready answers %d", a)
		}
		// The finding LOST, mix --seed 70328567962: a long report on a kept
		// connection, four seconds after the signal.
		time.Sleep(4 * time.Second)
		a := w.report(t.Context(), "late", 554)
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("a report that could not end in time got status %d", a.status)
		}
		if n := len(w.grid.Runs("late")); n != 0 {
			t.Errorf("a refused report ran %d times", n)
		}
		w.whole(done()[0], 200)
		if !<-stopped {
			t.Error("requests were cut")
		}
	})
}
