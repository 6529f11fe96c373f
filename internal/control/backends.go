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

// failureBackoff is how long a backend that failed a request is tried last.
const failureBackoff = 2 * time.Second

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// platformListed takes in the platform's list and passes it on.
func (c *Core) platformListed(m PlatformListed) {
	if len(m.VMs) > 0 {
		changes := c.members.Learn(c.now, m.VMs)
		c.spread(nil, changes)
	}
	if m.Version <= c.listed {
		return
	}
	since := c.listed
	changed, removed := c.difference(m.Backends)
	c.listBackends(m.Version, changed, removed, "platform")
	if since == 0 {
		// The first list after the start: the others have theirs.
		return
	}
	frame := wire.Frame{Backends: &wire.Backends{
		Version: int(m.Version), Since: int(since), Backends: changed, Removed: removed,
	}}
	for _, n := range c.otherVMs() {
		c.sendTo(n, frame)
	}
}

// difference compares a whole list with what is known.
func (c *Core) difference(list []wire.Backend) (changed []wire.Backend, removed []string) {
	named := make(map[string]bool, len(list))
	for _, w := range list {
		named[w.Name] = true
		if b := c.backends[w.Name]; b == nil || b.Backend != w {
			changed = append(changed, w)
		}
	}
	for _, name := range sortedKeys(c.backends) {
		if !named[name] {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// heardBackends applies a list or a change of it from another VM, and asks for
// the whole list when changes in between are missing.
func (c *Core) heardBackends(from wire.VM, w *wire.Backends) {
	switch {
	case int64(w.Version) <= c.listed:
	case w.Since == 0:
		changed, removed := c.difference(w.Backends)
		c.listBackends(int64(w.Version), changed, removed, from.Name)
	case int64(w.Since) == c.listed:
		c.listBackends(int64(w.Version), w.Backends, w.Removed, from.Name)
	default:
		c.askRevisions(from)
	}
}

// listBackends brings the list to a newer version.
func (c *Core) listBackends(version int64, changed []wire.Backend, removed []string, source string) {
	c.listed = version
	c.members.SetListed(int(version))
	if len(changed) == 0 && len(removed) == 0 {
		return
	}
	for _, w := range changed {
		c.listBackend(w, source)
	}
	for _, name := range removed {
		delete(c.backends, name)
		c.decided("backend", "backend", name, "state", "gone", "source", source)
	}
	c.names = sortedKeys(c.backends)
	c.epoch++
	c.byService = map[string][]*backend{}
	for _, b := range c.backends {
		c.byService[b.Service] = append(c.byService[b.Service], b)
	}
	for _, list := range c.byService {
		slices.SortFunc(list, func(a, b *backend) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (c *Core) listBackend(w wire.Backend, source string) {
	b := c.backends[w.Name]
	if b == nil || b.Address != w.Address {
		b = &backend{}
		if w.Kind == kindEngine {
			b.ledger = admit.New(c.opts.Confidence)
		}
		c.backends[w.Name] = b
		c.decided("backend", "backend", w.Name, "service", w.Service, "state", w.State, "address", w.Address, "source", source)
	}
	if b.State == stateLive && w.State != stateLive {
		c.decided("backend", "backend", w.Name, "state", w.State, "source", source)
	}
	b.Backend = w
}

// markLeaving keeps new work away from a backend and tells the data centre.
func (c *Core) markLeaving(name, source string) {
	b := c.backends[name]
	if b == nil || b.leaving {
		return
	}
	b.leaving = true
	c.decided("backend", "backend", name, "state", "leaving", "source", source)
	for _, n := range c.otherVMs() {
		c.sendTo(n, wire.Frame{Loads: &wire.Loads{Leaving: []string{name}}})
	}
}

// drainTime is how long an engine gets no new work after the order giver named
// it; it names the engine again while it must stay so.
const drainTime = 3 * time.Second

// drain keeps new work from engines and tells the data centre.
func (c *Core) drain(names []string) {
	if len(names) == 0 {
		return
	}
	c.heardDraining(names)
	for _, n := range c.otherVMs() {
		c.sendTo(n, wire.Frame{Loads: &wire.Loads{Draining: names}})
	}
}

func (c *Core) heardDraining(names []string) {
	for _, name := range names {
		b := c.backends[name]
		if b == nil {
			continue
		}
		if !c.draining(b) {
			c.decided("drain", "engine", name, "why", "its models are to change")
		}
		b.drainUntil = c.now.Add(drainTime)
	}
}

func (c *Core) draining(b *backend) bool { return c.now.Before(b.drainUntil) }

// loaded reports whether a backend can serve a model, as far as is known.
func (b *backend) loaded(model string) bool {
	return b.ledger == nil || b.report.CapacityBlocks == 0 || slices.Contains(b.report.Models, model)
}

// admitter returns the VM that grants reservations for an engine.
func (c *Core) admitter(b *backend) string {
	if b.holderEpoch != c.epoch {
		b.holder = c.aliveSet(b.DataCentre).Holder("admit/" + b.Name)
		b.holderEpoch = c.epoch
	}
	return b.holder
}

// aliveSet returns the usable VMs of a data centre with their hashes.
func (c *Core) aliveSet(dc string) rendezvous.Set {
	if c.setsEpoch != c.epoch {
		clear(c.sets)
		c.setsEpoch = c.epoch
	}
	s, ok := c.sets[dc]
	if !ok {
		s = rendezvous.NewSet(c.members.AliveIn(dc))
		c.sets[dc] = s
	}
	return s
}

// ownEngines returns the engines that this VM admits for, sorted by name.
func (c *Core) ownEngines() []*backend {
	if c.ownEpoch == c.epoch {
		return c.own
	}
	c.own, c.ownEpoch = c.own[:0], c.epoch
	for _, name := range c.names {
		b := c.backends[name]
		if b.ledger != nil && b.DataCentre == c.opts.Self.DataCentre && c.isAdmitter(b) {
			c.own = append(c.own, b)
		}
	}
	return c.own
}

func (c *Core) isAdmitter(b *backend) bool { return c.admitter(b) == c.opts.Self.Name }

// poll asks for the load reports of the engines that this VM admits for.
func (c *Core) poll() {
	for _, b := range c.ownEngines() {
		if c.now.Before(b.nextPoll) {
			continue
		}
		b.nextPoll = c.now.Add(pollInterval)
		c.do(PollEngine{Engine: b.Backend})
	}
}

func (c *Core) loadReported(m LoadReported) {
	b := c.backends[m.Engine]
	if b == nil {
		return
	}
	if b.unreachable == m.Answered {
		c.decided("engine", "engine", b.Name, "reachable", m.Answered)
	}
	b.unreachable = !m.Answered
	if !m.Answered {
		return
	}
	c.takeReport(b, m.Report)
}

func (c *Core) takeReport(b *backend, r wire.LoadReport) {
	if r.MeasuredUnixMs < b.report.MeasuredUnixMs {
		return
	}
	b.report, b.reportAt = r, c.now
	if b.ledger != nil {
		b.ledger.Report(c.now, r)
	}
	if r.Leaving {
		c.markLeaving(b.Name, "load report")
	}
}

// ownLoads returns the reports of the engines that this VM admits for.
func (c *Core) ownLoads() *wire.Loads {
	l := &wire.Loads{}
	for _, b := range c.ownEngines() {
		if b.report.CapacityBlocks > 0 {
			l.Reports = append(l.Reports, b.report)
		}
		if b.leaving {
			l.Leaving = append(l.Leaving, b.Name)
		}
	}
	return l
}

func (c *Core) heardLoads(l *wire.Loads) {
	for _, r := range l.Reports {
		if b := c.backends[r.Engine]; b != nil && !c.isAdmitter(b) {
			c.takeReport(b, r)
		}
	}
	c.heardDraining(l.Draining)
	for _, name := range l.Leaving {
		if b := c.backends[name]; b != nil && !b.leaving {
			b.leaving = true
			c.decided("backend", "backend", name, "state", "leaving", "source", "peer")
		}
	}
}

// heard handles a frame of another VM.
func (c *Core) heard(m Heard) {
	f := m.Frame
	if f.Loads != nil {
		c.heardLoads(f.Loads)
	}
	switch {
	case f.Probe != nil:
		out, changes := c.members.Hear(c.now, m.From, *f.Probe)
		c.spread(out, changes)
		c.heardRevision(m.From, *f.Probe)
	case f.ReserveAsk != nil:
		c.reserveAsked(m.From, *f.ReserveAsk)
	case f.ReserveReply != nil:
		c.reserveReplied(*f.ReserveReply)
	case f.ReserveEnd != nil:
		c.reserveEnded(*f.ReserveEnd)
	case f.ReserveHeld != nil:
		c.reservationsHeld(m.From, *f.ReserveHeld)
	case f.Backends != nil:
		c.heardBackends(m.From, f.Backends)
	case f.RevisionAsk != nil:
		c.send(m.From, wire.Frame{Revisions: c.revisionsAfter(f.RevisionAsk.After)})
		if c.listed > int64(f.RevisionAsk.Listed) {
			c.send(m.From, c.backendsFrame())
		}
	case f.Revisions != nil:
		c.heardRevisions(m.From, f.Revisions)
	}
}

func (c *Core) heardRevisions(from wire.VM, r *wire.Revisions) {
	c.revisions(r.Snapshot, r.Revisions, from.Name)
	if c.highest > c.state.Number {
		c.askRevisions(from)
	}
}

func (c *Core) backendsFrame() wire.Frame {
	l := &wire.Backends{Version: int(c.listed)}
	for _, name := range c.names {
		l.Backends = append(l.Backends, c.backends[name].Backend)
	}
	return wire.Frame{Backends: l}
}

// lostVM drops what a dead VM held.
func (c *Core) lostVM(name string) {
	for _, b := range c.backends {
		if b.ledger != nil {
			b.ledger.DropVM(name)
		}
	}
	c.admitterLost(name)
}

type lengthKey struct{ workspace, service, class string }

func (c *Core) estimator(workspace, service, class string) *length.Estimator {
	k := lengthKey{workspace, service, class}
	e := c.lengths[k]
	if e == nil {
		e = length.New()
		c.lengths[k] = e
	}
	return e
}

// vmsAlive is the number of VMs that share a limit.
func (c *Core) vmsAlive() int { return c.members.AliveCount() }
