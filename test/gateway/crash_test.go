package gateway_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

const (
	// contactTime is the time without disturbance after which the rules bind a VM.
	contactTime = 4 * time.Second
	// maxCrashes is the number of crashes after which, and contactTime later, at most
	// maxLateRequests with the segment may reach engines.
	maxCrashes      = 5
	maxLateRequests = 3
	// crashNetwork is the second byte of the addresses in the first data centre. Callers have
	// others, so that a cut between VMs does not concern them.
	crashNetwork = 20
	// maxRefusalTime is the longest time in which a caller learns that its request is not
	// run.
	maxRefusalTime = 150 * time.Millisecond
)

// checkCrashes fails the test if a segment reached engines too often, if sound requests
// were refused because of one, or if a refusal was late or false.
func (f *crashFleet) checkCrashes() {
	f.t.Helper()
	bySegment := map[string][]sentRequest{}
	requests := map[string]sentRequest{}
	for _, sent := range f.sent {
		bySegment[sent.segment] = append(bySegment[sent.segment], sent)
		requests[sent.attempt] = sent
	}
	arrivals := map[string][]upstream.Run{}
	for _, run := range f.upstreams.AllRuns() {
		if segment := f.crashingSegment(run.Segments); segment != "" {
			arrivals[segment] = append(arrivals[segment], run)
		}
	}
	for _, segment := range f.run.segments {
		f.checkSegment(segment, arrivals[segment.id], requests)
		f.checkRefusals(bySegment[segment.id])
	}
}

// checkSegment checks the requests with one segment that reached engines.
func (f *crashFleet) checkSegment(segment crashingSegment, runs []upstream.Run, requests map[string]sentRequest) {
	f.t.Helper()
	var crashes []time.Duration
	for _, run := range runs {
		if !run.Ended.IsZero() {
			crashes = append(crashes, run.Ended.Sub(f.start))
		}
	}
	slices.Sort(crashes)
	if len(crashes) == 0 {
		if !f.refused(segment.id) {
			f.t.Errorf("segment %s: no crash and no refusal, the run shows nothing", segment.id)
		}
		return
	}
	last := crashes[min(maxCrashes, len(crashes))-1]
	late := 0
	for _, run := range runs {
		at := run.Started.Sub(f.start)
		if len(crashes) >= maxCrashes && at > last+contactTime && f.inTouch(requests[run.Attempt].vm, at) {
			late++
		}
	}
	f.t.Logf("segment %s: %d requests reached engines, %d of them late; crashes at %v", segment.id, len(runs), late, crashes)
	if late > maxLateRequests {
		f.t.Errorf("segment %s: %d requests reached engines %v after the fifth crash, want at most %d", segment.id, late, contactTime, maxLateRequests)
	}
	f.checkSound(last+2*contactTime, segment)
}

// refused reports whether a request with a segment was refused for it: requests that wait at
// engines which crash for another reason count against it too.
func (f *crashFleet) refused(segment string) bool {
	return slices.ContainsFunc(f.sent, func(s sentRequest) bool {
		return s.segment == segment && strings.Contains(s.resp.body, "promptQuarantined")
	})
}

// checkSound checks that sound requests are served while requests with a segment still
// come: at least half as often as before the first crash.
func (f *crashFleet) checkSound(from time.Duration, segment crashingSegment) {
	f.t.Helper()
	var before, beforeServed, after, afterServed, refused int
	for _, sent := range f.sent {
		if sent.segment != "" || !f.inTouch(sent.vm, sent.at) {
			continue
		}
		served := 0
		if len(sent.resp.events) > 0 {
			served = 1
		}
		if strings.Contains(sent.resp.body, "promptQuarantined") && sent.at > from {
			refused++
		}
		switch {
		case sent.at < f.run.segments[0].from-time.Second:
			before, beforeServed = before+1, beforeServed+served
		case sent.at > from && sent.at < segment.until:
			after, afterServed = after+1, afterServed+served
		}
	}
	f.t.Logf("sound requests: %d of %d served before, %d of %d after the crashes", beforeServed, before, afterServed, after)
	if after >= 20 && afterServed*2*before < beforeServed*after {
		f.t.Errorf("sound requests: %d of %d served, before the crashes %d of %d", afterServed, after, beforeServed, before)
	}
	if refused > 0 {
		f.t.Errorf("%d sound requests were refused because of a segment that crashes no engine", refused)
	}
}

// checkRefusals checks that each request with a crashing segment was answered truthfully
// and at once.
func (f *crashFleet) checkRefusals(sent []sentRequest) {
	f.t.Helper()
	for _, s := range sent {
		ran := len(f.upstreams.Runs(s.attempt)) > 0
		switch {
		case s.resp.status == http.StatusServiceUnavailable && ran:
			f.t.Errorf("%s was answered 503 and ran", s.attempt)
		case s.resp.status == http.StatusServiceUnavailable && s.took > maxRefusalTime:
			f.t.Errorf("%s was refused after %v", s.attempt, s.took)
		case s.resp.status == http.StatusOK:
			f.t.Errorf("%s was answered 200", s.attempt)
		}
	}
}

// incidentRun is the load of the incident inc1 in small.
func incidentRun() crashRun {
	return crashRun{
		seed: 1, dataCentres: []string{"a", "b", "c"}, vms: 2, engines: 4, length: 40 * time.Second,
		soundInterval: 150 * time.Millisecond, documents: 6, restartAfter: 3500 * time.Millisecond,
		segments: []crashingSegment{{id: "bad1", from: 5 * time.Second, until: 40 * time.Second, interval: 500 * time.Millisecond, position: 1}},
	}
}

// TestEnginesCrashOnPromptSegment guards against BUDGET in inc1: requests with one segment
// crashed engine after engine.
func TestEnginesCrashOnPromptSegment(t *testing.T) {
	runTest(t, func(_ *testing.T, env *testEnv) {
		env.playCrashes(incidentRun()).checkCrashes()
	})
}

// crashSeeds is the number of random runs; more are played by hand with -crash.seeds.
var crashSeeds = flag.Int("crash.seeds", 8, "number of random runs with crashing prompt segments")

// randomCrashRun draws a run: VMs, data centres, segments with their places and rates, and
// VMs that start, are killed or are cut off meanwhile.
func randomCrashRun(seed uint64) crashRun {
	rnd := rand.New(rand.NewPCG(seed, 1))
	seconds := func(low, high float64) time.Duration {
		return time.Duration((low + rnd.Float64()*(high-low)) * float64(time.Second))
	}
	run := crashRun{
		seed: seed, dataCentres: [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "d", "b", "c"}}[rnd.IntN(4)],
		vms: 1 + rnd.IntN(6), engines: 3 + rnd.IntN(4), length: seconds(40, 60), soundInterval: seconds(0.08, 0.4),
		documents: 2 + rnd.IntN(60), restartAfter: seconds(2, 6), keepsID: rnd.IntN(2) == 0, silent: rnd.IntN(3) == 0,
	}
	for i := range 1 + rnd.IntN(3) {
		from := seconds(4, 12)
		run.segments = append(run.segments, crashingSegment{
			id: fmt.Sprintf("bad%d", i), from: from, until: run.length, interval: seconds(0.15, 2), position: rnd.IntN(3),
		})
	}
	slices.SortFunc(run.segments, func(a, b crashingSegment) int { return int(a.from - b.from) })
	switch rnd.IntN(5) {
	case 0:
		run.lateVM = seconds(6, 25)
	case 1:
		run.cutVM, run.cutFor, run.cut = seconds(2, 15), seconds(3, 30), cutKind(rnd.IntN(3))
	case 2:
		run.killAll = seconds(20, 28)
	case 3:
		run.crashWithoutCause = seconds(2, 6)
	}
	return run
}

// TestCrashingSegmentsAtRandom plays random runs with crashing prompt segments.
func TestCrashingSegmentsAtRandom(t *testing.T) {
	for seed := range uint64(*crashSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				run := randomCrashRun(seed)
				t.Logf("%+v", run)
				env.playCrashes(run).checkCrashes()
			})
		})
	}
}

// TestWaitingRequestIsCancelledOnQuarantine sends a request that waits at an engine while its
// segment is quarantined. It must end without having crashed the engine.
func TestWaitingRequestIsCancelledOnQuarantine(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		f := env.newCrashEngines()
		var waiting response
		var took time.Duration
		var wg sync.WaitGroup
		wg.Go(func() {
			began := time.Now()
			// Two seconds of prefill.
			waiting = env.requestBad1("waiting", 28_000)
			took = time.Since(began)
		})
		time.Sleep(50 * time.Millisecond)
		for i := range 3 {
			env.requestBad1(fmt.Sprintf("s%d", i), 100)
		}
		wg.Wait()
		if waiting.status != http.StatusBadGateway || !strings.Contains(waiting.body, "promptQuarantined") || took > time.Second {
			t.Errorf("status %d after %v, %s; want 502 promptQuarantined at once", waiting.status, took, waiting.body)
		}
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		running := len(f.engines)
		f.mu.Unlock()
		if running != 1 {
			t.Errorf("%d engines run, want 1", running)
		}
		f.stop()
	})
}
