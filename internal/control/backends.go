package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/length"
	"github.com/pimentohinge/pimentohinge/internal/control/rendezvous"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Values of the fields of wire.Backend.
const (
	stateLive  = "live"
	kindEngine = "engine"
)

// failureBackoff is how long a backend that failed a request is ranked last.
const failureBackoff = 2 * time.Second

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// handlePlatformList applies the platform's list of VMs and backends, and
// forwards changes of the backends to the other VMs of the data centre.
func (c *Core) handlePlatformList(msg PlatformListed) {
	if len(msg.VMs) > 0 {
		changes := c.members.Seed(c.now, msg.VMs)
		c.applyMembership(nil, changes)
	}
	if msg.Version <= c.listVersion {
		return
	}
	since := c.listVersion
	changed, removed := c.diffBackends(msg.Backends)
	c.applyBackends(msg.Version, changed, removed, "platform")
	if since == 0 {
		// First list after the start: the other VMs have it already.
		return
	}
	frame := wire.Frame{Backends: &wire.Backends{
		Version: int(msg.Version), Since: int(since), Backends: changed, Removed: removed,
	}}
	for _, vm := range c.otherVMs() {
		c.sendTo(vm, frame)
	}
}

// diffBackends compares a complete list with the known backends.
func (c *Core) diffBackends(list []wire.Backend) (changed []wire.Backend, removed []string) {
	named := make(map[string]bool, len(list))
	for _, listed := range list {
		named[listed.Name] = true
		if known := c.backends[listed.Name]; known == nil || known.Backend != listed {
			changed = append(changed, listed)
		}
	}
	for _, name := range sortedKeys(c.backends) {
		if !named[name] {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// handleBackends applies a complete list or a delta from another VM. It requests
// the complete list when the delta does not follow the known version.
func (c *Core) handleBackends(from wire.VM, update *wire.Backends) {
	switch {
	case int64(update.Version) <= c.listVersion:
	case update.Since == 0:
		changed, removed := c.diffBackends(update.Backends)
		c.applyBackends(int64(update.Version), changed, removed, from.Name)
	case int64(update.Since) == c.listVersion:
		c.applyBackends(int64(update.Version), update.Backends, update.Removed, from.Name)
	default:
		c.requestRevisions(from)
	}
}

// applyBackends updates the list of backends to a newer version and rebuilds the
// indexes.
func (c *Core) applyBackends(version int64, changed []wire.Backend, removed []string, source string) {
	c.listVersion = version
	c.members.SetListVersion(int(version))
	if len(changed) == 0 && len(removed) == 0 {
		return
	}
	for _, listed := range changed {
		c.applyBackend(listed, source)
	}
	for _, name := range removed {
		delete(c.backends, name)
		c.logDecision("backend", "backend", name, "state", "gone", "source", source)
	}
	c.backendNames = sortedKeys(c.backends)
	c.epoch++
	c.byService = map[string][]*backend{}
	for _, b := range c.backends {
		c.byService[b.Service] = append(c.byService[b.Service], b)
	}
	for _, list := range c.byService {
		slices.SortFunc(list, func(a, b *backend) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (c *Core) applyBackend(listed wire.Backend, source string) {
	b := c.backends[listed.Name]
	if b == nil || b.Address != listed.Address {
		b = &backend{}
		if listed.Kind == kindEngine {
			b.ledger = admit.New(c.opts.Confidence)
		}
		c.backends[listed.Name] = b
		c.logDecision("backend", "backend", listed.Name, "service", listed.Service, "state", listed.State, "address", listed.Address, "source", source)
	}
	if b.State == stateLive && listed.State != stateLive {
		c.logDecision("backend", "backend", listed.Name, "state", listed.State, "source", source)
	}
	b.Backend = listed
}

// markLeaving stops new work for a backend for good and notifies the other VMs of
// the data centre.
func (c *Core) markLeaving(name, source string) {
	b := c.backends[name]
	if b == nil || b.leaving {
		return
	}
	b.leaving = true
	if b.lostAs != "" {
		c.poison.tracker.ServerLeaves(c.now, b.lostAs)
	}
	c.logDecision("backend", "backend", name, "state", "leaving", "source", source)
	for _, vm := range c.otherVMs() {
		c.sendTo(vm, wire.Frame{Loads: &wire.Loads{Leaving: []string{name}}})
	}
}

// drainDuration is how long an engine gets no new work after a drain request. The
// holder of the orders lease sends the request again while the drain must last.
const drainDuration = 3 * time.Second

// drain stops new work for engines temporarily and notifies the other VMs of the
// data centre.
func (c *Core) drain(names []string) {
	if len(names) == 0 {
		return
	}
	c.applyDraining(names)
	for _, vm := range c.otherVMs() {
		c.sendTo(vm, wire.Frame{Loads: &wire.Loads{Draining: names}})
	}
}

// applyDraining starts or extends the drain of engines on this VM.
func (c *Core) applyDraining(names []string) {
	for _, name := range names {
		b := c.backends[name]
		if b == nil {
			continue
		}
		if !c.draining(b) {
			c.logDecision("drain", "engine", name, "why", "models will change")
		}
		b.drainUntil = c.now.Add(drainDuration)
	}
}

func (c *Core) draining(b *backend) bool { return c.now.Before(b.drainUntil) }

// loaded reports whether a backend has a model loaded. It assumes so for backends
// that are not engines and for engines without a load report.
func (b *backend) loaded(model string) bool {
	return b.ledger == nil || b.report.CapacityBlocks == 0 || slices.Contains(b.report.Models, model)
}

// admitter returns the VM that grants reservations for an engine; empty when its
// data centre has no usable VM.
func (c *Core) admitter(b *backend) string {
	if b.admitterEpoch != c.epoch {
		b.admitter = c.usableVMs(b.DataCentre).Holder("admit/" + b.Name)
		b.admitterEpoch = c.epoch
	}
	return b.admitter
}

// usableVMs returns the usable VMs of a data centre as a rendezvous set, cached
// until the membership or the backends change.
func (c *Core) usableVMs(dc string) rendezvous.Set {
	if c.usableSetsEpoch != c.epoch {
		clear(c.usableSets)
		c.usableSetsEpoch = c.epoch
	}
	s, ok := c.usableSets[dc]
	if !ok {
		s = rendezvous.NewSet(c.members.UsableIn(dc))
		c.usableSets[dc] = s
	}
	return s
}

// admittedEngines returns the engines of which this VM is the admitter, sorted by
// name.
func (c *Core) admittedEngines() []*backend {
	if c.admittedEpoch == c.epoch {
		return c.admittedCache
	}
	c.admittedCache, c.admittedEpoch = c.admittedCache[:0], c.epoch
	for _, name := range c.backendNames {
		b := c.backends[name]
		if b.ledger != nil && b.DataCentre == c.opts.Self.DataCentre && c.isAdmitter(b) {
			c.admittedCache = append(c.admittedCache, b)
		}
	}
	return c.admittedCache
}

func (c *Core) isAdmitter(b *backend) bool { return c.admitter(b) == c.opts.Self.Name }

// pollEngines requests the due load reports of the engines of which this VM is
// the admitter.
func (c *Core) pollEngines() {
	for _, b := range c.admittedEngines() {
		if c.now.Before(b.nextPoll) {
			continue
		}
		b.nextPoll = c.now.Add(pollInterval)
		c.emit(PollEngine{Engine: b.Backend})
	}
}

func (c *Core) handleLoadReport(msg LoadReported) {
	b := c.backends[msg.Engine]
	if b == nil {
		return
	}
	if b.unreachable == msg.Reachable {
		c.logDecision("engine", "engine", b.Name, "reachable", msg.Reachable)
	}
	b.unreachable = !msg.Reachable
	if !msg.Reachable {
		return
	}
	c.applyReport(b, msg.Report)
}

// applyReport stores a load report unless a newer one is known.
func (c *Core) applyReport(b *backend, report wire.LoadReport) {
	if report.MeasuredUnixMs < b.report.MeasuredUnixMs {
		return
	}
	b.report, b.reportAt = report, c.now
	if b.ledger != nil {
		b.ledger.ApplyReport(c.now, report)
	}
	if report.Leaving {
		c.markLeaving(b.Name, "load report")
	}
}

// ownLoads returns the load digest of this VM, which probes carry: the load reports of
// the engines of which it is the admitter, and which of them are leaving.
func (c *Core) ownLoads() *wire.Loads {
	loads := &wire.Loads{}
	for _, b := range c.admittedEngines() {
		if b.report.CapacityBlocks > 0 {
			loads.Reports = append(loads.Reports, b.report)
		}
		if b.leaving {
			loads.Leaving = append(loads.Leaving, b.Name)
		}
	}
	return loads
}

// handleLoads applies a load digest or a drain or leaving notice from another VM.
func (c *Core) handleLoads(loads *wire.Loads) {
	for _, report := range loads.Reports {
		if b := c.backends[report.Engine]; b != nil && !c.isAdmitter(b) {
			c.applyReport(b, report)
		}
	}
	c.applyDraining(loads.Draining)
	for _, name := range loads.Leaving {
		if b := c.backends[name]; b != nil && !b.leaving {
			b.leaving = true
			c.logDecision("backend", "backend", name, "state", "leaving", "source", "peer")
		}
	}
}

// handleFrame handles a frame from another VM.
func (c *Core) handleFrame(msg FrameReceived) {
	frame := msg.Frame
	if frame.Loads != nil {
		c.handleLoads(frame.Loads)
	}
	if frame.Crashes != nil {
		c.mergeEvidence(msg.From, frame)
	}
	switch {
	case frame.Probe != nil:
		out, changes := c.members.Receive(c.now, msg.From, *frame.Probe)
		c.applyMembership(out, changes)
		c.compareRevision(msg.From, *frame.Probe)
	case frame.ReserveAsk != nil:
		c.handleReserveAsk(msg.From, *frame.ReserveAsk)
	case frame.ReserveReply != nil:
		c.handleReserveReply(*frame.ReserveReply)
	case frame.ReserveEnd != nil:
		c.handleReserveEnd(*frame.ReserveEnd)
	case frame.ReserveHeld != nil:
		c.handleReserveHeld(msg.From, *frame.ReserveHeld)
	case frame.Backends != nil:
		c.handleBackends(msg.From, frame.Backends)
	case frame.RevisionAsk != nil:
		c.send(msg.From, wire.Frame{Revisions: c.revisionsAfter(frame.RevisionAsk.After)})
		if c.listVersion > int64(frame.RevisionAsk.Listed) {
			c.send(msg.From, c.backendsFrame())
		}
	case frame.Revisions != nil:
		c.handleRevisions(msg.From, frame.Revisions)
	}
}

func (c *Core) handleRevisions(from wire.VM, revisions *wire.Revisions) {
	c.applyRevisions(revisions.Snapshot, revisions.Revisions, from.Name)
	if c.highestRevision > c.state.Number {
		c.requestRevisions(from)
	}
}

func (c *Core) backendsFrame() wire.Frame {
	list := &wire.Backends{Version: int(c.listVersion)}
	for _, name := range c.backendNames {
		list.Backends = append(list.Backends, c.backends[name].Backend)
	}
	return wire.Frame{Backends: list}
}

// dropVM releases the reservations of a VM that failed or left, and retries the
// requests that wait for its reply.
func (c *Core) dropVM(name string) {
	for _, b := range c.backends {
		if b.ledger != nil {
			b.ledger.DropVM(name)
		}
	}
	c.handleAdmitterFailure(name)
}

type lengthKey struct{ workspace, service, class string }

// estimator returns the length estimator of a kind of requests, created on first use.
func (c *Core) estimator(workspace, service, class string) *length.Estimator {
	key := lengthKey{workspace, service, class}
	estimator := c.lengths[key]
	if estimator == nil {
		estimator = length.New()
		c.lengths[key] = estimator
	}
	return estimator
}

// usableVMCount returns the number of VMs over which workspace limits are divided.
func (c *Core) usableVMCount() int { return c.members.UsableCount() }
