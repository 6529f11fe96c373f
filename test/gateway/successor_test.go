package gateway_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// startSuccessor starts an engine that keeps running and listens at the address of e-1. The
// successor has the same ID or one of its own.
func (env *testEnv) startSuccessor(sameID bool) *upstream.Replica {
	const of = "e-1"
	id := of + "-successor"
	if sameID {
		id = of
	}
	return env.startSuccessorAt(of, id, env.replicas[of].Address())
}

// startSuccessorAt is startSuccessor with the ID and the address of the successor.
func (env *testEnv) startSuccessorAt(of, id, address string) *upstream.Replica {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		env.t.Fatal(err)
	}
	startedAt := time.Now()
	successor, err := env.upstreams.Start(upstream.Options{
		ID: id, Address: address, Network: env.network.Host(host), Engine: testEngine(), KeepsRunning: true, StartedAt: startedAt,
	})
	if err != nil {
		env.t.Fatal(err)
	}
	env.replicas[of+"-successor"] = successor
	env.successorStarts[of] = startedAt
	env.announceSuccessor(of, id, "ready")
	return successor
}

// announceSuccessor writes the entry of the successor of an engine in the server list.
func (env *testEnv) announceSuccessor(of, id, state string) {
	env.store.Set("servers/"+id, object{
		"service": "engine", "addr": env.replicas[of+"-successor"].Address(), "zone": "a", "version": "v1", "slots": 24,
		"state": state, "coldLeftMs": 0, "seq": 1, "born": env.successorStarts[of].UnixMilli(),
	})
}

// leaveListener makes e-1 take no new connections and continue its runs.
func (env *testEnv) leaveListener(how string) {
	switch how {
	case "closed":
		env.replicas["e-1"].CloseListener()
	case "shutDown":
		env.replicas["e-1"].ShutDown()
	}
	// The listener of a server that shuts down is closed in the background.
	time.Sleep(time.Millisecond)
}

// TestSuccessorAtTheAddressOfARunningEngine guards against TWICE: a leaving engine closes its
// listener and continues its runs, and another one listens at its address. What that one answers
// says nothing of the runs of its predecessor.
func TestSuccessorAtTheAddressOfARunningEngine(t *testing.T) {
	const streams, lost = 5, 3
	for _, how := range []string{"closed", "shutDown"} {
		for _, sameID := range []bool{false, true} {
			for _, lostAfter := range []time.Duration{1300, 2200, 2450, 3200} {
				t.Run(fmt.Sprintf("%s/sameID=%v/after%d", how, sameID, lostAfter), func(t *testing.T) {
					runTest(t, func(_ *testing.T, env *testEnv) {
						env.startReplicaWith("e-1", "engine", "a", upstream.Options{Engine: testEngine(), KeepsRunning: true})
						wait := env.leaveWithStreams(streams)
						env.leaveListener(how)
						env.startSuccessor(sameID)
						time.Sleep(lostAfter*time.Millisecond - firstCopiesDone)
						env.checkLostStreams(wait, lost)
					})
				})
			}
		}
	}
}

// TestStreamsOfEngineWithSuccessorAreResumed checks that the streams of a leaving engine are
// resumed at once when it ends, although another one listens at its address at that time.
func TestStreamsOfEngineWithSuccessorAreResumed(t *testing.T) {
	const streams = 4
	const maxPause = 180 * time.Millisecond
	for _, how := range []string{"closed", "open"} {
		for _, sameID := range []bool{false, true} {
			for _, endsAfter := range []time.Duration{1500, 1700, 2100, 2300} {
				t.Run(fmt.Sprintf("%s/sameID=%v/after%d", how, sameID, endsAfter), func(t *testing.T) {
					runTest(t, func(t *testing.T, env *testEnv) {
						env.startEngine("e-1", "a")
						wait := env.leaveWithStreams(streams)
						if how == "closed" {
							env.leaveListener(how)
							env.startSuccessor(sameID)
						}
						time.Sleep(endsAfter*time.Millisecond - firstCopiesDone)
						env.replicas["e-1"].Stop()
						if how == "open" {
							env.startSuccessor(sameID)
						}
						for i, resp := range wait() {
							env.requireComplete(resp, leavingEvents)
							env.checkNoRestartOrOverlap(fmt.Sprintf("s%d", i))
							if resp.longestPause > maxPause {
								t.Errorf("stream %d paused for %v", i, resp.longestPause)
							}
						}
					})
				})
			}
		}
	}
}

// TestReleaseOfCopyReachesTheProcessThatMadeIt guards against streams that are lost: the copy of a
// stream of a leaving engine is released at the address of the engine, where its successor has
// given the same handle to a copy of its own.
func TestReleaseOfCopyReachesTheProcessThatMadeIt(t *testing.T) {
	const events, ownEvents, streams = 105, 200, 6
	for _, sameID := range []bool{false, true} {
		t.Run(fmt.Sprintf("sameID=%v", sameID), func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				env.startReplicaWith("e-1", "engine", "a", upstream.Options{Engine: testEngine(), KeepsRunning: true})
				waitFirst := env.startStreams(1, events, 20*time.Millisecond)
				env.startEngine("e-2", "a")
				env.startEngine("e-3", "a")
				time.Sleep(time.Second)
				env.announceLeaving("e-1")
				time.Sleep(300 * time.Millisecond)
				env.leaveListener("closed")
				successor := env.startSuccessor(sameID)
				time.Sleep(50 * time.Millisecond)
				own := make([]response, streams)
				var wg sync.WaitGroup
				for i := range streams {
					wg.Go(func() { own[i] = env.stream(t.Context(), fmt.Sprintf("own-%d", i), ownEvents) })
				}
				time.Sleep(300 * time.Millisecond)
				id := "e-1-successor"
				if sameID {
					id = "e-1"
				}
				env.announceSuccessor("e-1", id, "draining")
				env.requireComplete(waitFirst()[0], events)
				time.Sleep(50 * time.Millisecond)
				if len(successor.Running()) == 0 {
					t.Fatal("the successor has no stream")
				}
				successor.Stop()
				wg.Wait()
				for _, resp := range own {
					env.requireComplete(resp, ownEvents)
				}
				if mixed := env.upstreams.Mixed(); len(mixed) > 0 {
					t.Errorf("resumed from the copy of another stream: %v", mixed)
				}
			})
		})
	}
}

// TestStreamStoppedInPlaceResumesAtItsProcess guards against streams that are lost: a stream whose
// run was stopped, and whose copy stayed at its engine, is resumed at the address of the engine, where
// another one listens.
func TestStreamStoppedInPlaceResumesAtItsProcess(t *testing.T) {
	const events, streams = 150, 3
	for _, sameID := range []bool{false, true} {
		t.Run(fmt.Sprintf("sameID=%v", sameID), func(t *testing.T) {
			runTest(t, func(_ *testing.T, env *testEnv) {
				env.startReplicaWith("e-1", "engine", "a", upstream.Options{Engine: testEngine(), KeepsRunning: true})
				wait := env.startStreams(streams, events, 20*time.Millisecond)
				env.startEngine("e-2", "a")
				time.Sleep(time.Second)
				env.announceLeaving("e-1")
				time.Sleep(firstCopiesDone)
				env.leaveListener("closed")
				env.startSuccessor(sameID)
				env.replicas["e-2"].Stop()
				for i := range streams {
					env.replicas["e-1"].LoseResponse(fmt.Sprintf("s%d", i))
				}
				env.checkUninterrupted(wait(), events)
			})
		})
	}
}

// TestStreamsOfReplacedEngineMigrate guards against streams that are lost: the entry of an engine
// is replaced by that of a later start under its ID, while the earlier process finishes its streams
// and then ends.
func TestStreamsOfReplacedEngineMigrate(t *testing.T) {
	const events, streams = 150, 3
	runTest(t, func(_ *testing.T, env *testEnv) {
		env.startReplicaWith("e-1", "engine", "a", upstream.Options{Engine: testEngine(), KeepsRunning: true})
		wait := env.startStreams(streams, events, 20*time.Millisecond)
		env.startEngine("e-2", "a")
		time.Sleep(time.Second)
		env.startSuccessorAt("e-1", "e-1", "10.1.65.1:80")
		time.Sleep(2 * time.Second)
		env.replicas["e-1"].Stop()
		env.checkUninterrupted(wait(), events)
	})
}
