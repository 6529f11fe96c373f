// Package capacity measures what the control work of an entry VM costs at
// several sizes: the real decision cores of a fleet on a virtual clock, with
// frames encoded as on the wire. The slopes are those of docs/CAPACITY.md.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/bench/vclock"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	tickInterval  = 10 * time.Millisecond
	nearDelay     = 300 * time.Microsecond
	farDelay      = 20 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	suspicion     = 2 * time.Second
	reportLag     = 300 * time.Millisecond
	settleTime    = 10 * time.Second
	serviceName   = "report-writer"
	webSocketHead = 8 // bytes of framing and masking for each frame
)

// fleet is a number of cores that hear each other.
type fleet struct {
	clock  *vclock.Clock
	nodes  []*node
	byName map[string]*node
	rand   *rand.Rand
	loss   float64 // share of frames that are dropped
	busy   time.Duration
	state  *chain.State
}

type node struct {
	vm       wire.VM
	core     *control.Core
	sent     int // bytes
	revision int
	dead     bool
	watcher  bool
	view     *control.View
	placed   int
}

// shape is a fleet's size.
type shape struct {
	vms, centres, replicas int
}

func newFleet(s shape, seed uint64) *fleet {
	f := &fleet{
		clock: vclock.New(time.Unix(1_700_000_000, 0)), byName: map[string]*node{},
		rand: rand.New(rand.NewPCG(seed, 7)), state: chain.Empty(),
	}
	var vms []wire.VM
	for i := range s.vms {
		vms = append(vms, wire.VM{
			Name: fmt.Sprintf("entry-%03d", i), Region: fmt.Sprintf("region-%d", i%s.centres%3),
			DataCentre: fmt.Sprintf("centre-%02d", i%s.centres), PeerAddress: fmt.Sprintf("10.0.%d.%d:7002", i/256, i%256),
		})
	}
	for i, vm := range vms {
		n := &node{vm: vm, core: control.New(control.Options{
			Self: vm, Incarnation: 1, Confidence: control.ConfidenceFor(false), RetryPercent: 10,
			QueueLength: 10_000, ProbeInterval: probeInterval, Suspicion: suspicion, Seed: seed + uint64(i),
		})}
		f.nodes = append(f.nodes, n)
		f.byName[vm.Name] = n
	}
	list := control.PlatformListed{Version: 1, VMs: vms, Backends: backends(s)}
	for i, n := range f.nodes {
		f.step(n, list)
		offset := time.Duration(f.rand.IntN(int(tickInterval)))
		f.clock.After(offset+time.Duration(i)*time.Microsecond, func() { f.tick(n) })
	}
	return f
}

func backends(s shape) []wire.Backend {
	var list []wire.Backend
	for i := range s.replicas {
		list = append(list, wire.Backend{
			Name: fmt.Sprintf("engine-%04d", i), Service: serviceName, Kind: "engine",
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/256, i%256), Region: fmt.Sprintf("region-%d", i%s.centres%3),
			DataCentre: fmt.Sprintf("centre-%02d", i%s.centres), State: "live",
		})
	}
	return list
}

func (f *fleet) tick(n *node) {
	if n.dead {
		return
	}
	f.step(n, control.Tick{})
	f.clock.After(tickInterval, func() { f.tick(n) })
}

// step hands a message to a core, measures the time that it takes and carries
// out its actions.
func (f *fleet) step(n *node, m control.Message) {
	if n.dead {
		return
	}
	started := time.Now()
	actions := append([]control.Action(nil), n.core.Step(f.clock.Now(), m)...)
	f.busy += time.Since(started)
	for _, a := range actions {
		switch a := a.(type) {
		case control.Send:
			f.send(n, a)
		case control.PollEngine:
			f.poll(n, a.Engine.Name)
		case control.ConfigChanged:
			n.revision = a.State.Number
		case control.SetRoles:
			n.watcher = a.Watcher
		case control.PublishView:
			n.view = a.View
		case control.Placed:
			n.placed++
		}
	}
}

func (f *fleet) send(n *node, a control.Send) {
	started := time.Now()
	b, err := peer.Encode(a.Frame)
	f.busy += time.Since(started)
	if err != nil {
		panic("capacity: frame does not encode: " + err.Error())
	}
	n.sent += len(b) + webSocketHead
	to := f.byName[a.To.Name]
	if to == nil || f.rand.Float64() < f.loss {
		return
	}
	delay := nearDelay
	if to.vm.DataCentre != n.vm.DataCentre {
		delay = farDelay
	}
	f.clock.After(delay, func() {
		started := time.Now()
		frame, err := peer.Decode(b)
		f.busy += time.Since(started)
		if err != nil {
			panic("capacity: frame does not decode: " + err.Error())
		}
		f.step(to, control.FrameReceived{From: n.vm, Frame: frame})
	})
}

// poll answers with the report of a half-full engine.
func (f *fleet) poll(n *node, name string) {
	f.clock.After(nearDelay, func() {
		f.step(n, control.LoadReported{Engine: name, Answered: true, Report: wire.LoadReport{
			Engine: name, Sequence: int(f.clock.Now().UnixMilli()), MeasuredUnixMs: int(f.clock.Now().Add(-reportLag).UnixMilli()),
			Models: []string{serviceName}, CapacityBlocks: 1 << 20, UsedBlocks: 1 << 10, BlockTokens: 16, Slots: 1 << 16,
			Running: 20, StepMicros: 25_000,
		}})
	})
}

func (f *fleet) run(d time.Duration) { f.clock.RunUntil(f.clock.Now().Add(d)) }

// configure puts a note in force on every VM through its first watchers.
func (f *fleet) configure(note wire.ReleaseNote) {
	rev := f.state.Next(note, f.clock.Now().UnixMilli())
	f.state, _ = f.state.Apply(rev)
	for _, n := range f.nodes {
		if n.watcher {
			f.step(n, control.RevisionsRead{Revisions: []wire.Revision{rev}})
		}
	}
}

func (f *fleet) sentBytes() int {
	total := 0
	for _, n := range f.nodes {
		total += n.sent
	}
	return total
}
