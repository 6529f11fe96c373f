// Package capacity measures the cost of an entry VM's control plane at several fleet
// sizes. It runs the real decision cores of a fleet on a virtual clock and encodes
// frames as on the wire. docs/CAPACITY.md lists the results.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/bench/simclock"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	tickInterval           = 10 * time.Millisecond
	sameDataCentreDelay    = 300 * time.Microsecond
	crossDataCentreDelay   = 20 * time.Millisecond
	probeInterval          = 500 * time.Millisecond
	suspicionTime          = 2 * time.Second
	reportLag              = 300 * time.Millisecond
	settleTime             = 10 * time.Second
	serviceName            = "report-writer"
	webSocketOverheadBytes = 8 // bytes of framing and masking for each frame
)

// fleet is a set of cores that exchange frames over a simulated network.
type fleet struct {
	clock     *simclock.Clock
	vms       []*simVM
	byName    map[string]*simVM
	rand      *rand.Rand
	lossShare float64       // share of frames that are dropped
	busy      time.Duration // time spent in all cores and in encoding and decoding frames
	state     *configchain.State
}

// simVM is an entry VM: its decision core, and what the core's actions have reported.
type simVM struct {
	self       wire.VM
	core       *control.Core
	sentBytes  int
	revision   int
	failed     bool
	watcher    bool
	view       *control.View
	placements int
}

// fleetSize holds the numbers of VMs, data centres and replicas of a fleet.
type fleetSize struct {
	vms, dataCentres, replicas int
}

func newFleet(size fleetSize, seed uint64) *fleet {
	f := &fleet{
		clock: simclock.New(time.Unix(1_700_000_000, 0)), byName: map[string]*simVM{},
		rand: rand.New(rand.NewPCG(seed, 7)), state: configchain.Empty(),
	}
	var vms []wire.VM
	for i := range size.vms {
		vms = append(vms, wire.VM{
			Name: fmt.Sprintf("entry-%03d", i), Region: fmt.Sprintf("region-%d", i%size.dataCentres%3),
			DataCentre: fmt.Sprintf("centre-%02d", i%size.dataCentres), PeerAddress: fmt.Sprintf("10.0.%d.%d:7002", i/256, i%256),
		})
	}
	for i, self := range vms {
		vm := &simVM{self: self, core: control.New(control.Options{
			Self: self, Incarnation: 1, Confidence: control.ConfidenceFor(false), RetryPercent: 10,
			QueueLength: 10_000, ProbeInterval: probeInterval, Suspicion: suspicionTime, Seed: seed + uint64(i),
		})}
		f.vms = append(f.vms, vm)
		f.byName[self.Name] = vm
	}
	list := control.PlatformListed{Version: 1, VMs: vms, Backends: backends(size)}
	for i, vm := range f.vms {
		f.step(vm, list)
		offset := time.Duration(f.rand.IntN(int(tickInterval)))
		f.clock.After(offset+time.Duration(i)*time.Microsecond, func() { f.tick(vm) })
	}
	return f
}

func backends(size fleetSize) []wire.Backend {
	var list []wire.Backend
	for i := range size.replicas {
		list = append(list, wire.Backend{
			Name: fmt.Sprintf("engine-%04d", i), Service: serviceName, Kind: "engine",
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/256, i%256), Region: fmt.Sprintf("region-%d", i%size.dataCentres%3),
			DataCentre: fmt.Sprintf("centre-%02d", i%size.dataCentres), State: "live",
		})
	}
	return list
}

func (f *fleet) tick(vm *simVM) {
	if vm.failed {
		return
	}
	f.step(vm, control.Tick{})
	f.clock.After(tickInterval, func() { f.tick(vm) })
}

// step passes a message to a core, measures how long that takes, and executes the
// actions that the core returns.
func (f *fleet) step(vm *simVM, message control.Message) {
	if vm.failed {
		return
	}
	started := time.Now()
	actions := append([]control.Action(nil), vm.core.Step(f.clock.Now(), message)...)
	f.busy += time.Since(started)
	for _, action := range actions {
		switch action := action.(type) {
		case control.Send:
			f.send(vm, action)
		case control.PollEngine:
			f.poll(vm, action.Engine.Name)
		case control.ConfigChanged:
			vm.revision = action.State.Number
		case control.SetRoles:
			vm.watcher = action.Watcher
		case control.PublishView:
			vm.view = action.View
		case control.Placed:
			vm.placements++
		}
	}
}

func (f *fleet) send(vm *simVM, action control.Send) {
	started := time.Now()
	encoded, err := peer.Encode(action.Frame)
	f.busy += time.Since(started)
	if err != nil {
		panic("capacity: encode frame: " + err.Error())
	}
	vm.sentBytes += len(encoded) + webSocketOverheadBytes
	to := f.byName[action.To.Name]
	if to == nil || f.rand.Float64() < f.lossShare {
		return
	}
	delay := sameDataCentreDelay
	if to.self.DataCentre != vm.self.DataCentre {
		delay = crossDataCentreDelay
	}
	f.clock.After(delay, func() {
		started := time.Now()
		frame, err := peer.Decode(encoded)
		f.busy += time.Since(started)
		if err != nil {
			panic("capacity: decode frame: " + err.Error())
		}
		f.step(to, control.FrameReceived{From: vm.self, Frame: frame})
	})
}

// poll responds with the load report of an engine that is far from full.
func (f *fleet) poll(vm *simVM, name string) {
	f.clock.After(sameDataCentreDelay, func() {
		f.step(vm, control.LoadReported{Engine: name, Reachable: true, Report: wire.LoadReport{
			Engine: name, Sequence: int(f.clock.Now().UnixMilli()), MeasuredUnixMs: int(f.clock.Now().Add(-reportLag).UnixMilli()),
			Models: []string{serviceName}, CapacityBlocks: 1 << 20, UsedBlocks: 1 << 10, BlockTokens: 16, Slots: 1 << 16,
			Running: 20, StepMicros: 25_000,
		}})
	})
}

func (f *fleet) run(d time.Duration) { f.clock.RunUntil(f.clock.Now().Add(d)) }

// configure applies a release note and passes the new revision to the watchers, which
// send it to the other VMs.
func (f *fleet) configure(note wire.ReleaseNote) {
	rev := f.state.Next(note, f.clock.Now().UnixMilli())
	f.state, _ = f.state.Apply(rev)
	for _, vm := range f.vms {
		if vm.watcher {
			f.step(vm, control.RevisionsRead{Revisions: []wire.Revision{rev}})
		}
	}
}

func (f *fleet) sentBytes() int {
	total := 0
	for _, vm := range f.vms {
		total += vm.sentBytes
	}
	return total
}
