// Package member maintains the list of entry VMs with a SWIM-style protocol: random
// probes, indirect probes, a suspect state before a VM counts as failed, and
// incarnation numbers with which a VM refutes a suspicion. Within a data centre
// every VM probes; between data centres only a few bridge VMs do, so that the
// traffic of one VM does not grow with the fleet.
package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/rendezvous"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// State is the liveness state of a VM.
type State string

// States in ascending order of precedence within one incarnation. Dead means that
// a suspicion was not refuted in time, Left that the VM announced its stop.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Left    State = "left"
)

var precedence = map[State]int{Alive: 1, Suspect: 2, Dead: 3, Left: 4}

const (
	// bridgeCount is the number of VMs of a data centre that probe other data centres.
	bridgeCount = 2
	// indirectProbers is the number of other VMs that probe a VM on request after it
	// did not acknowledge a direct probe.
	indirectProbers = 3
	// refuteFanout is the number of messages that carry a refutation at once.
	refuteFanout = 3
	// maxUpdates bounds the membership updates in one probe.
	maxUpdates = 6
	// randomMembers is the number of random members in a probe without updates.
	randomMembers = 1
	// sendsPerDoubling is how often an update is sent for each doubling of the list.
	sendsPerDoubling = 3
	// retentionFactor is how long dead and left VMs stay in the list, as a multiple
	// of Options.Suspicion.
	retentionFactor = 30
)

// Options describes the table of one VM.
type Options struct {
	// Self is this VM.
	Self wire.VM
	// Incarnation is higher than in any earlier run of this VM.
	Incarnation int
	// ProbeInterval is the pause between probes, and the timeout of each.
	ProbeInterval time.Duration
	// Suspicion is the minimum time that a VM stays suspect before it counts as dead.
	Suspicion time.Duration
	// Rand is the seeded source of all random choices.
	Rand *rand.Rand
}

// Outgoing is a probe to be sent.
type Outgoing struct {
	// To is the receiving VM.
	To wire.VM
	// Probe is the content.
	Probe wire.Probe
}

// Change is a change of a VM's state.
type Change struct {
	// VM is the VM whose state changed.
	VM wire.VM
	// From and To are the states before and after; From is empty for a new VM.
	From, To State
	// Why is the reason, for the log.
	Why string
}

// AffectsRoles reports whether the change adds a VM to the set that roles are
// computed from, or removes one. A suspect VM belongs to the set.
func (c Change) AffectsRoles() bool { return usable(c.From) != usable(c.To) }

// entry is another VM in the table.
type entry struct {
	wire.Member
	state     State
	deadline  time.Time // end of the suspicion, or removal from the table; unused when Alive
	sendsLeft int       // how often the entry is still to be sent as an update
}

// pendingProbe is a probe that has not been acknowledged.
type pendingProbe struct {
	target            string
	deadline          time.Time // for the acknowledgement
	escalated         bool      // indirect probes were requested
	requester         string    // VM that requested the probe; empty for probes of this VM
	requesterSequence int       // sequence number of the requester's probe
}

// Table is the member list of one VM. It is not safe for concurrent use.
type Table struct {
	opts         Options
	self         wire.Member
	entries      map[string]*entry
	pending      map[int]*pendingProbe
	sequence     int
	listVersion  int
	probeOrder   []string // remaining probe targets of this round
	nextProbe    time.Time
	changes      []Change
	outgoing     []Outgoing
	sortedNames  []string  // names of the entries; nil when it has to be rebuilt
	updates      []string  // names of the entries that are still to be sent as updates
	nextExpiry   time.Time // earliest deadline of an entry; zero when none has one
	usableCache  []string  // cache of UsableIn for the data centre of this VM
	usableCached bool
}

// New returns a table that contains only this VM.
func New(o Options) *Table {
	return &Table{
		opts:    o,
		self:    wire.Member{Vm: o.Self, Incarnation: o.Incarnation, State: string(Alive)},
		entries: map[string]*entry{},
		pending: map[int]*pendingProbe{},
	}
}

// Incarnation returns the current incarnation of this VM.
func (t *Table) Incarnation() int { return t.self.Incarnation }

// SetRevision sets the configuration revision that probes carry.
func (t *Table) SetRevision(revision int) { t.self.Revision = revision }

// SetListVersion sets the version of the list of backends that probes carry.
func (t *Table) SetListVersion(version int) { t.listVersion = version }

// Leave sets the state of this VM to Left and returns the announcements to the
// other VMs of its data centre.
func (t *Table) Leave() []Outgoing {
	t.self.State = string(Left)
	t.usableCached = false
	t.self.Incarnation++
	for _, name := range t.UsableIn(t.opts.Self.DataCentre) {
		if e := t.entries[name]; e != nil {
			t.send(e.Vm, wire.Probe{Ack: true})
		}
	}
	return t.takeOutgoing()
}

// Seed adds VMs from the platform's list or from new links. It never changes the
// state of a VM that is in the table already.
func (t *Table) Seed(now time.Time, vms []wire.VM) []Change {
	for _, vm := range vms {
		if _, known := t.entries[vm.Name]; !known && vm.Name != t.opts.Self.Name {
			t.apply(now, wire.Member{Vm: vm, State: string(Alive)}, "listed by the platform")
			// The other VMs have the list too: sending it would delay real updates.
			t.entries[vm.Name].sendsLeft = 0
		}
	}
	return t.takeChanges()
}

// Tick sends due probes and applies the timeouts of probes and states.
func (t *Table) Tick(now time.Time) ([]Outgoing, []Change) {
	t.expirePending(now)
	t.expireStates(now)
	if now.Before(t.nextProbe) {
		return t.takeOutgoing(), t.takeChanges()
	}
	t.nextProbe = now.Add(t.opts.ProbeInterval)
	if target := t.nextTarget(t.opts.Self.DataCentre); target != nil {
		t.probe(now, target.Vm)
	}
	if t.isBridge() {
		if target := t.remoteTarget(); target != nil {
			t.probe(now, target.Vm)
		}
	}
	return t.takeOutgoing(), t.takeChanges()
}

// isBridge reports whether this VM probes other data centres.
func (t *Table) isBridge() bool {
	dc := t.opts.Self.DataCentre
	return slices.Contains(rendezvous.Holders("bridge/"+dc, t.UsableIn(dc), bridgeCount), t.opts.Self.Name)
}

// nextTarget returns the next VM of the data centre to probe. The order is shuffled
// in each round, so that every VM is probed within two rounds.
func (t *Table) nextTarget(dc string) *entry {
	for range 2 {
		for len(t.probeOrder) > 0 {
			name := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if e := t.entries[name]; e != nil && e.Vm.DataCentre == dc && e.state != Left {
				return e
			}
		}
		t.probeOrder = t.selectNames(func(e *entry) bool { return e.Vm.DataCentre == dc && e.state != Left })
		t.opts.Rand.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	return nil
}

// remoteTarget returns a random VM of another data centre, or nil.
func (t *Table) remoteTarget() *entry {
	names := t.selectNames(func(e *entry) bool { return e.Vm.DataCentre != t.opts.Self.DataCentre && e.state != Left })
	if len(names) == 0 {
		return nil
	}
	return t.entries[names[t.opts.Rand.IntN(len(names))]]
}

// selectNames returns the sorted names of the entries that satisfy keep.
func (t *Table) selectNames(keep func(*entry) bool) []string {
	var names []string
	for _, name := range t.allNames() {
		if keep(t.entries[name]) {
			names = append(names, name)
		}
	}
	return names
}

// allNames returns the sorted names of all entries.
func (t *Table) allNames() []string {
	if t.sortedNames == nil {
		t.sortedNames = slices.Sorted(maps.Keys(t.entries))
	}
	return t.sortedNames
}

func (t *Table) probe(now time.Time, to wire.VM) {
	t.sequence++
	t.pending[t.sequence] = &pendingProbe{target: to.Name, deadline: now.Add(t.opts.ProbeInterval)}
	t.send(to, wire.Probe{Sequence: t.sequence})
}

// expirePending requests indirect probes for a direct probe that timed out, and
// marks the target suspect when these time out too.
func (t *Table) expirePending(now time.Time) {
	for _, sequence := range slices.Sorted(maps.Keys(t.pending)) {
		probe := t.pending[sequence]
		if now.Before(probe.deadline) {
			continue
		}
		if probe.requester != "" || probe.escalated {
			delete(t.pending, sequence)
			if probe.requester == "" {
				t.suspect(now, probe.target)
			}
			continue
		}
		probe.escalated = true
		probe.deadline = now.Add(t.opts.ProbeInterval)
		t.probeIndirectly(sequence, probe.target)
	}
}

// probeIndirectly requests probes of a target by other VMs of the data centre.
func (t *Table) probeIndirectly(sequence int, target string) {
	e := t.entries[target]
	if e == nil {
		return
	}
	probers := t.selectNames(func(prober *entry) bool {
		return prober.state == Alive && prober.Vm.Name != target && prober.Vm.DataCentre == t.opts.Self.DataCentre
	})
	t.opts.Rand.Shuffle(len(probers), func(i, j int) { probers[i], probers[j] = probers[j], probers[i] })
	for _, prober := range probers[:min(indirectProbers, len(probers))] {
		t.send(t.entries[prober].Vm, wire.Probe{Sequence: sequence, Target: target})
	}
}

func (t *Table) suspect(now time.Time, name string) {
	e := t.entries[name]
	if e == nil || e.state != Alive {
		return
	}
	update := e.Member
	update.State = string(Suspect)
	t.apply(now, update, "no answer to direct and indirect probes")
}

// expireStates turns suspect VMs whose time is up into dead ones, and removes dead
// and left ones from the table.
func (t *Table) expireStates(now time.Time) {
	if t.nextExpiry.IsZero() || now.Before(t.nextExpiry) {
		return
	}
	defer t.updateNextExpiry()
	for _, name := range t.selectNames(func(e *entry) bool { return e.state != Alive && !now.Before(e.deadline) }) {
		e := t.entries[name]
		if e.state != Suspect {
			delete(t.entries, name)
			t.sortedNames = nil
			continue
		}
		update := e.Member
		update.State = string(Dead)
		t.apply(now, update, "suspicion not refuted in time")
	}
}

// updateNextExpiry recomputes the earliest deadline of the entries.
func (t *Table) updateNextExpiry() {
	t.nextExpiry = time.Time{}
	for _, e := range t.entries {
		if e.state != Alive && (t.nextExpiry.IsZero() || e.deadline.Before(t.nextExpiry)) {
			t.nextExpiry = e.deadline
		}
	}
}

// Receive handles a probe or an acknowledgement from another VM.
func (t *Table) Receive(now time.Time, from wire.VM, probe wire.Probe) ([]Outgoing, []Change) {
	for _, update := range probe.Members {
		t.apply(now, update, "update from "+from.Name)
	}
	t.addSender(now, from)
	switch {
	case probe.Ack:
		t.handleAck(probe)
	case probe.Target == "" || probe.Target == t.opts.Self.Name:
		t.send(from, wire.Probe{Sequence: probe.Sequence, Ack: true})
	default:
		t.probeForRequester(now, from, probe)
	}
	return t.takeOutgoing(), t.takeChanges()
}

// addSender adds the sender of a message if it is not in the table.
func (t *Table) addSender(now time.Time, from wire.VM) {
	if _, known := t.entries[from.Name]; !known && from.Name != t.opts.Self.Name {
		t.apply(now, wire.Member{Vm: from, State: string(Alive)}, "received a message")
	}
}

// handleAck ends the pending probe. If another VM requested the probe, it forwards the
// acknowledgement.
func (t *Table) handleAck(ack wire.Probe) {
	probe := t.pending[ack.Sequence]
	if probe == nil {
		return
	}
	delete(t.pending, ack.Sequence)
	if probe.requester == "" {
		return
	}
	if peer := t.entries[probe.requester]; peer != nil {
		t.send(peer.Vm, wire.Probe{Sequence: probe.requesterSequence, Ack: true})
	}
}

// probeForRequester probes a VM on behalf of the sender of an indirect probe.
func (t *Table) probeForRequester(now time.Time, from wire.VM, request wire.Probe) {
	e := t.entries[request.Target]
	if e == nil {
		return
	}
	t.sequence++
	t.pending[t.sequence] = &pendingProbe{
		target: request.Target, deadline: now.Add(t.opts.ProbeInterval),
		requester: from.Name, requesterSequence: request.Sequence,
	}
	t.send(e.Vm, wire.Probe{Sequence: t.sequence})
}

func (t *Table) takeOutgoing() []Outgoing {
	outgoing := t.outgoing
	t.outgoing = nil
	return outgoing
}

func (t *Table) takeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}

// usable reports whether a VM may hold roles. A suspect one may, so that a lost
// packet does not move roles.
func usable(s State) bool { return s == Alive || s == Suspect }

// UsableIn returns the sorted names of the usable VMs of a data centre, including
// this VM unless it has left. The result must not be modified.
func (t *Table) UsableIn(dc string) []string {
	own := dc == t.opts.Self.DataCentre
	if own && t.usableCached {
		return t.usableCache
	}
	names := t.selectNames(func(e *entry) bool { return e.Vm.DataCentre == dc && usable(e.state) })
	if own && t.self.State == string(Alive) {
		names = append(names, t.opts.Self.Name)
		sort.Strings(names)
	}
	if own {
		t.usableCache, t.usableCached = names, true
	}
	return names
}

// DataCentres returns the sorted data centres of the VMs in the table and of this VM.
func (t *Table) DataCentres() []string {
	names := []string{t.opts.Self.DataCentre}
	for _, e := range t.entries {
		if !slices.Contains(names, e.Vm.DataCentre) {
			names = append(names, e.Vm.DataCentre)
		}
	}
	sort.Strings(names)
	return names
}

// UsableCount returns the number of usable VMs in the fleet, including this one
// unless it has left.
func (t *Table) UsableCount() int {
	count := 0
	for _, e := range t.entries {
		if usable(e.state) {
			count++
		}
	}
	if t.self.State == string(Alive) {
		count++
	}
	return count
}

// Lookup returns a VM by name with its state, and whether it is in the table.
func (t *Table) Lookup(name string) (wire.VM, State, bool) {
	if name == t.opts.Self.Name {
		return t.opts.Self, State(t.self.State), true
	}
	e := t.entries[name]
	if e == nil {
		return wire.VM{}, "", false
	}
	return e.Vm, e.state, true
}

// Members returns all VMs in the table and this one, sorted by name.
func (t *Table) Members() []wire.Member {
	members := []wire.Member{t.self}
	for _, e := range t.entries {
		members = append(members, e.Member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Vm.Name < members[j].Vm.Name })
	return members
}
