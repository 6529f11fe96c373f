package gateway_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// ignoringNetwork is the network of a VM on which connections to some addresses get no answer,
// as when the queue of new connections is full.
type ignoringNetwork struct {
	network.Network

	mu      sync.Mutex
	ignored map[string]bool
}

func (n *ignoringNetwork) ignore(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ignored[address] = true
}

// Dial opens a connection, or waits until the context ends.
func (n *ignoringNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	ignored := n.ignored[address]
	n.mu.Unlock()
	if ignored {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.Network.Dial(ctx, address)
}

// leavingEvents is the number of events of the streams of leaveWithStreams.
const leavingEvents = 300

// leaveWithStreams starts streams on e-1, the only engine, and then e-2 and e-3, and returns when
// e-1 has said that it leaves and the streams have been copied. The returned function waits for the
// streams.
func (env *testEnv) leaveWithStreams(streams int) func() []response {
	wait := env.startStreams(streams, leavingEvents, 20*time.Millisecond)
	env.startEngine("e-2", "a")
	env.startEngine("e-3", "a")
	time.Sleep(time.Second)
	env.announceLeaving("e-1")
	time.Sleep(firstCopiesDone)
	return wait
}

// checkLostStreams closes the connections of the first streams of e-1, which continues with them,
// and checks that none runs at two engines and that the others complete.
func (env *testEnv) checkLostStreams(wait func() []response, lost int) {
	env.t.Helper()
	for i := range lost {
		env.replicas["e-1"].LoseResponse(fmt.Sprintf("s%d", i))
	}
	for i, resp := range wait() {
		env.checkNoRestartOrOverlap(fmt.Sprintf("s%d", i))
		if i >= lost {
			env.requireComplete(resp, leavingEvents)
		}
	}
}

// TestFailedDialIsNotTheEndOfARun guards against TWICE: a leaving engine takes no new
// connections any more, but continues the runs on those that are open. Streams whose
// connections are lost meanwhile must not run at two engines, and those that are not lost, or
// whose engine ends, must complete.
func TestFailedDialIsNotTheEndOfARun(t *testing.T) {
	const streams, lost = 5, 3
	for _, how := range []string{"refused", "ignored", "shutDown"} {
		for _, lostAfter := range []time.Duration{1300, 2200, 2450, 3200} {
			t.Run(fmt.Sprintf("%s/after%d", how, lostAfter), func(t *testing.T) {
				runTest(t, func(_ *testing.T, env *testEnv) {
					var vmNetwork *ignoringNetwork
					env.vm.Kill()
					env.wrapNetwork = func(n network.Network) network.Network {
						vmNetwork = &ignoringNetwork{Network: n, ignored: map[string]bool{}}
						return vmNetwork
					}
					env.startVM()
					env.startReplicaWith("e-1", "engine", "a", upstream.Options{Engine: testEngine(), KeepsRunning: true})
					wait := env.leaveWithStreams(streams)
					switch how {
					case "refused":
						env.replicas["e-1"].CloseListener()
					case "ignored":
						vmNetwork.ignore(env.replicas["e-1"].Address())
					case "shutDown":
						env.replicas["e-1"].ShutDown()
					}
					time.Sleep(lostAfter*time.Millisecond - firstCopiesDone)
					env.checkLostStreams(wait, lost)
				})
			})
		}
	}
}

// TestStreamsOfEndedEngineAreResumed checks that the streams of a leaving engine are resumed
// at once when it ends, also if it had closed its listener before.
func TestStreamsOfEndedEngineAreResumed(t *testing.T) {
	const streams = 4
	const maxPause = 180 * time.Millisecond
	for _, closesListener := range []bool{false, true} {
		for _, endsAfter := range []time.Duration{1500, 1700, 2100, 2300} {
			t.Run(fmt.Sprintf("closesListener=%v/after%d", closesListener, endsAfter), func(t *testing.T) {
				runTest(t, func(t *testing.T, env *testEnv) {
					env.startEngine("e-1", "a")
					wait := env.leaveWithStreams(streams)
					if closesListener {
						env.replicas["e-1"].CloseListener()
					}
					time.Sleep(endsAfter*time.Millisecond - firstCopiesDone)
					env.replicas["e-1"].Stop()
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

// TestClosedListenerIsNoCrash guards against sound requests that are refused: engines close
// their listeners, lose a stream with the same prompt segment each and go on with others.
func TestClosedListenerIsNoCrash(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		const segment = "5ea1"
		for i := range 4 {
			id := fmt.Sprintf("e-%d", i)
			env.startEngine(id, "a")
			go env.request(fmt.Sprintf("open-%d", i), 500, fmt.Sprintf("0%d", i))
			lost := fmt.Sprintf("lost-%d", i)
			go env.request(lost, 500, segment)
			time.Sleep(100 * time.Millisecond)
			env.replicas[id].CloseListener()
			if !env.replicas[id].LoseResponse(lost) {
				t.Errorf("%s was not sent to %s", lost, id)
			}
			time.Sleep(2 * time.Second)
			env.replicas[id].Stop()
			env.store.Delete("servers/" + id)
			time.Sleep(100 * time.Millisecond)
		}
		env.startEngine("e-last", "a")
		if resp := env.request("after", 500, segment); resp.status != 200 {
			t.Errorf("status %d for a request whose segment crashes no engine", resp.status)
		}
		if n := env.logs.count("event=serverCheck"); n == 0 || env.logs.count("state=down") > 0 {
			t.Errorf("of %d checks %d took an engine for ended", n, env.logs.count("state=down"))
		}
	})
}

// TestOtherStreamsShowThatAServerRuns guards against TWICE: an engine closes its listener and its
// idle connections as it loses a stream, and continues that one and others. When the others end
// later, it has not ended with the first one.
func TestOtherStreamsShowThatAServerRuns(t *testing.T) {
	const streams = 3
	for _, othersLostAfter := range []time.Duration{45, 150, 1000} {
		t.Run(fmt.Sprintf("othersLostAfter%d", othersLostAfter), func(t *testing.T) {
			runTest(t, func(_ *testing.T, env *testEnv) {
				env.startReplicaWith("e-1", "engine", "a", upstream.Options{Engine: testEngine(), KeepsRunning: true})
				wait := env.leaveWithStreams(streams)
				env.replicas["e-1"].LoseResponse("s0")
				env.leaveListener("shutDown")
				time.Sleep(othersLostAfter * time.Millisecond)
				for i := 1; i < streams; i++ {
					env.replicas["e-1"].LoseResponse(fmt.Sprintf("s%d", i))
				}
				wait()
				env.checkNoRestartOrOverlap("s0")
			})
		})
	}
}
