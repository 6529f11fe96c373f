package capacity

import (
	"fmt"
	"runtime"
	"sort"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Row is one measurement.
type Row struct {
	// Role is the role of a VM, or the function, that the cost belongs to.
	Role string `json:"role"`
	// Figure is the name of the measured quantity, with its unit.
	Figure string `json:"what"`
	// Size describes the measured fleet.
	Size string `json:"size"`
	// Value is the measured value.
	Value float64 `json:"value"`
}

func initialNote() wire.ReleaseNote {
	return wire.ReleaseNote{Id: "first", Added: &wire.Objects{
		Services:   []wire.Service{{Name: serviceName, Kind: configchain.KindModel, Model: serviceName}},
		Workspaces: []wire.Workspace{{Name: "w", Services: []string{serviceName}}},
	}}
}

func changeNote(i int) wire.ReleaseNote {
	return wire.ReleaseNote{Id: fmt.Sprintf("change-%d", i), Author: "operator-1", Changed: &wire.Objects{
		Workspaces: []wire.Workspace{{Name: "w", Services: []string{serviceName}, Weight: i + 1, KeyHashes: []string{fmt.Sprintf("%064d", i)}}},
	}}
}

// sizes are the measured fleets: one data centre of three sizes, and the planned
// fleet of 12 data centres.
var sizes = []fleetSize{
	{vms: 6, dataCentres: 1, replicas: 15},
	{vms: 53, dataCentres: 1, replicas: 467},
	// All cores run in one process, so the large fleets are measured with fewer
	// replicas than they serve; MeasurePlacement measures the state of a replica.
	{vms: 200, dataCentres: 1, replicas: 467},
	{vms: 640, dataCentres: 12, replicas: 560},
}

func (s fleetSize) String() string {
	return fmt.Sprintf("%d VMs, %d data centres, %d replicas", s.vms, s.dataCentres, s.replicas)
}

// Measure runs all measurements at fleets of up to maxVMs VMs and calls emit with
// the rows of each.
func Measure(seed uint64, maxVMs int, emit func([]Row)) {
	emit(measureEstimators())
	for _, replicas := range []int{15, 467, 5600} {
		emit(MeasurePlacement(replicas, seed))
	}
	for _, size := range sizes {
		if size.vms <= maxVMs {
			emit(measureIdle(size, seed))
			emit(measurePropagation(size, seed))
			emit(measureDetection(size, seed))
		}
	}
}

// RunIdleFleet starts an idle fleet and runs it for one virtual second.
func RunIdleFleet(vms, dataCentres, replicas int, seed uint64) {
	f := newFleet(fleetSize{vms: vms, dataCentres: dataCentres, replicas: replicas}, seed)
	f.run(time.Second)
}

// measureIdle measures the traffic, CPU time and memory of one VM of an idle fleet.
func measureIdle(size fleetSize, seed uint64) []Row {
	before := heapBytes()
	f := newFleet(size, seed)
	f.run(time.Second)
	f.configure(initialNote())
	f.run(settleTime)
	memory := heapBytes() - before
	sent, busy := f.sentBytes(), f.busy
	const length = 10 * time.Second
	f.run(length)
	perVM := float64(size.vms) * length.Seconds()
	runtime.KeepAlive(f)
	return []Row{
		{"membership and loads", "bytes/s sent by a VM", size.String(), float64(f.sentBytes()-sent) / perVM},
		{"membership and loads", "share of a core, %", size.String(), 100 * (f.busy - busy).Seconds() / perVM},
		{"membership and loads", "state of a VM, KB", size.String(), float64(memory) / float64(size.vms) / 1024},
	}
}

// measurePropagation measures the time from when the watchers read a configuration
// change until every VM applies it.
func measurePropagation(size fleetSize, seed uint64) []Row {
	f := newFleet(size, seed)
	f.run(time.Second)
	f.configure(initialNote())
	f.run(settleTime)
	sent := f.sentBytes()
	var times []float64
	const changes = 5
	for i := range changes {
		f.configure(changeNote(i))
		begin := f.clock.Now()
		for !f.configured() && f.clock.Now().Sub(begin) < time.Minute {
			f.run(time.Millisecond)
		}
		times = append(times, f.clock.Now().Sub(begin).Seconds())
		f.run(time.Second)
	}
	sort.Float64s(times)
	watchers := 0
	for _, vm := range f.vms {
		if vm.watcher {
			watchers++
		}
	}
	return []Row{
		{"configuration", "s from the watchers to every VM, median", size.String(), times[len(times)/2]},
		{"configuration", "s from the watchers to every VM, longest", size.String(), times[len(times)-1]},
		{"configuration", "bytes sent by a VM for a change, with 1 s of idle traffic", size.String(), float64(f.sentBytes()-sent) / changes / float64(size.vms)},
		{"watcher", "VMs that watch the platform", size.String(), float64(watchers)},
	}
}

// configured reports whether every running VM applies the latest configuration.
func (f *fleet) configured() bool {
	for _, vm := range f.vms {
		if !vm.failed && vm.revision != f.state.Number {
			return false
		}
	}
	return true
}

// maxVMsWithLoss limits the size of the fleets that are measured with packet loss, as
// the work grows with the square of the size: every VM's view of every VM is checked.
const maxVMsWithLoss = 200

// measureDetection measures the time until the failure of a VM is detected, and the
// share of running VMs that are wrongly suspected or declared dead while a fifth of
// the frames is lost.
func measureDetection(size fleetSize, seed uint64) []Row {
	f := newFleet(size, seed)
	f.run(settleTime)
	victim := f.vms[0]
	victim.failed = true
	begin := f.clock.Now()
	for !f.failureDetected(victim) && f.clock.Now().Sub(begin) < time.Minute {
		f.run(50 * time.Millisecond)
	}
	detected := f.clock.Now().Sub(begin).Seconds()
	if size.vms > maxVMsWithLoss {
		return []Row{{"membership and loads", "s until a VM failure is detected in the data centre", size.String(), detected}}
	}
	f.lossShare = 0.2
	suspected, dead := 0, 0
	const length = 30
	for range length {
		f.run(time.Second)
		newSuspected, newDead := f.falsePositives()
		suspected, dead = suspected+newSuspected, dead+newDead
	}
	return []Row{
		{"membership and loads", "s until a VM failure is detected in the data centre", size.String(), detected},
		{"membership and loads", "views that list a running VM as suspect at 20% loss, % of all over 30 s", size.String(), 100 * float64(suspected) / f.viewCount(length)},
		{"membership and loads", "views that list a running VM as dead at 20% loss, % of all over 30 s", size.String(), 100 * float64(dead) / f.viewCount(length)},
	}
}

// viewCount returns how many times one VM's view of another is checked in a number of
// samples.
func (f *fleet) viewCount(samples int) float64 {
	return float64(len(f.vms)) * float64(len(f.vms)) * float64(samples)
}

// failureDetected reports whether all running VMs of the victim's data centre list it
// as dead.
func (f *fleet) failureDetected(victim *simVM) bool {
	for _, vm := range f.vms {
		if vm.failed || vm.self.DataCentre != victim.self.DataCentre || vm.view == nil {
			continue
		}
		for _, member := range vm.view.Members {
			if member.Vm.Name == victim.self.Name && member.State != "dead" {
				return false
			}
		}
	}
	return true
}

// falsePositives counts the views that list a running VM as suspect or dead.
func (f *fleet) falsePositives() (suspected, dead int) {
	for _, vm := range f.vms {
		if vm.failed || vm.view == nil {
			continue
		}
		for _, member := range vm.view.Members {
			switch {
			case f.byName[member.Vm.Name].failed:
			case member.State == "suspect":
				suspected++
			case member.State == "dead":
				dead++
			}
		}
	}
	return suspected, dead
}

// MeasurePlacement measures the time of a placement, and the memory that the core uses
// for each replica and stream. The fleet has one VM, which is the admitter of all
// replicas.
func MeasurePlacement(replicas int, seed uint64) []Row {
	size := fmt.Sprintf("%d replicas", replicas)
	before := heapBytes()
	f := newFleet(fleetSize{vms: 1, dataCentres: 1, replicas: replicas}, seed)
	f.run(100 * time.Millisecond)
	f.configure(initialNote())
	f.run(2 * time.Second)
	perReplica := float64(heapBytes()-before) / float64(replicas)
	vm := f.vms[0]
	const streams = 5_000
	before = heapBytes()
	id := func(i int) string { return fmt.Sprintf("req-entry-000-%020d", i) }
	started := time.Now()
	for i := range streams {
		f.step(vm, control.Place{
			ID: id(i), Workspace: "w", Service: serviceName, Class: control.ClassInteractive,
			PromptTokens: 300, MaxTokens: 4096, Deadline: f.clock.Now().Add(time.Hour),
		})
	}
	perPlace := time.Since(started) / streams
	perStream := float64(heapBytes()-before) / float64(max(vm.placements, 1))
	return []Row{
		{"admitter", "us for a placement that reserves", size, float64(perPlace.Nanoseconds()) / 1000},
		{"admitter", "placed of 5000", size, float64(vm.placements)},
		{"admitter", "state of a replica, bytes", size, perReplica},
		{"admitter", "state of a stream, bytes", size, perStream},
	}
}

// measureEstimators measures the memory of the output-length estimators.
func measureEstimators() []Row {
	const workspaces, models = 750, 3
	before := heapBytes()
	kept := estimators(workspaces * models)
	bytes := float64(heapBytes()-before) / workspaces / models
	runtime.KeepAlive(kept)
	return []Row{
		{"length estimate", "bytes for a workspace and service", "750 workspaces, 3 models", bytes},
		{"length estimate", "KB in all", "750 workspaces, 3 models", bytes * workspaces * models / 1024},
	}
}

// heapBytes returns the size of the heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
