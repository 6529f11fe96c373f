// Package member keeps the list of entry VMs: random probing, indirect probes,
// suspicion before death, and incarnation numbers by which a VM refutes a
// suspicion. Within a data centre every VM probes; between data centres only a
// few bridges do, so that the traffic of one VM does not grow with the fleet.
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

// State is what is known of a VM's life.
type State string

// States in ascending order of precedence within one incarnation.
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
	// indirectProbers is the number of VMs that are asked to probe a silent one.
	indirectProbers = 3
	// refuteFanout is the number of VMs that a refutation is sent to at once.
	refuteFanout = 3
	// maxUpdates bounds the membership updates in one probe.
	maxUpdates = 6
	// randomMembers is the number of members that are added at random when there is no news.
	randomMembers = 1
	// sendsPerDoubling is how often news is passed on for each doubling of the list.
	sendsPerDoubling = 3
	// retentionFactor is how long the dead are remembered, as multiples of the suspicion time.
	retentionFactor = 30
)

// Options describes the table of one VM.
type Options struct {
	// Self is this VM.
	Self wire.VM
	// Incarnation is higher than in any earlier life of this VM.
	Incarnation int
	// ProbeInterval is the pause between probes.
	ProbeInterval time.Duration
	// Suspicion is how long a VM stays suspect before it is taken for dead.
	Suspicion time.Duration
	// Rand is the seeded source of all choices.
	Rand *rand.Rand
}

// Outgoing is a probe to be sent.
type Outgoing struct {
	// To is the receiving VM.
	To wire.VM
	// Probe is the frame's content.
	Probe wire.Probe
}

// Change is a change of a VM's state.
type Change struct {
	// VM is the VM concerned.
	VM wire.VM
	// From and To are the states before and after; From is empty for a new VM.
	From, To State
	// Why says what the change is based on.
	Why string
}

// AffectsRoles reports whether the set of VMs that roles are computed from has
// changed. A suspect VM still counts.
func (c Change) AffectsRoles() bool { return usable(c.From) != usable(c.To) }

type entry struct {
	wire.Member
	state     State
	deadline  time.Time // of the suspicion, or of forgetting
	sendsLeft int       // how often the entry is still to be passed on
}

type pendingProbe struct {
	target            string
	sentAt            time.Time
	deadline          time.Time // of the answer
	escalated         bool      // helpers were asked
	requester         string    // VM that asked for the probe; empty for our own
	requesterSequence int
}

// Table is the member list as one VM sees it. It is not safe for concurrent
// use.
type Table struct {
	opts         Options
	self         wire.Member
	entries      map[string]*entry
	pending      map[int]*pendingProbe
	sequence     int
	listVersion  int
	probeOrder   []string // remaining targets of this round
	nextProbe    time.Time
	changes      []Change
	outgoing     []Outgoing
	sortedNames  []string  // names of the entries, sorted; nil when it has to be made anew
	updates      []string  // names of the entries that are still to be passed on
	nextExpiry   time.Time // no entry's deadline comes before; zero when none has one
	usableCache  []string  // cache of AliveIn for the own data centre
	usableCached bool
}

// New returns a table that knows only this VM.
func New(o Options) *Table {
	return &Table{
		opts:    o,
		self:    wire.Member{Vm: o.Self, Incarnation: o.Incarnation, State: string(Alive)},
		entries: map[string]*entry{},
		pending: map[int]*pendingProbe{},
	}
}

// Incarnation returns the present incarnation of this VM.
func (t *Table) Incarnation() int { return t.self.Incarnation }

// SetRevision sets the configuration revision that probes announce.
func (t *Table) SetRevision(n int) { t.self.Revision = n }

// SetListVersion sets the version of the list of backends that probes announce.
func (t *Table) SetListVersion(n int) { t.listVersion = n }

// Leave makes this VM announce that it stops, and returns the announcements.
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

// Seed adds VMs from the platform's list, which is only a seed: it never
// changes the state of a VM that is known already.
func (t *Table) Seed(now time.Time, vms []wire.VM) []Change {
	for _, vm := range vms {
		if _, known := t.entries[vm.Name]; !known && vm.Name != t.opts.Self.Name {
			t.apply(now, wire.Member{Vm: vm, State: string(Alive)}, "listed by the platform")
			// The others have the list too: passing it on would hold up real news.
			t.entries[vm.Name].sendsLeft = 0
		}
	}
	return t.takeChanges()
}

// Tick sends due probes and turns silence into suspicion and death.
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

func (t *Table) isBridge() bool {
	dc := t.opts.Self.DataCentre
	return slices.Contains(rendezvous.Holders("bridge/"+dc, t.UsableIn(dc), bridgeCount), t.opts.Self.Name)
}

// nextTarget walks through the data centre in an order that is drawn anew for
// each round, so that every VM is probed within two rounds.
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

func (t *Table) remoteTarget() *entry {
	names := t.selectNames(func(e *entry) bool { return e.Vm.DataCentre != t.opts.Self.DataCentre && e.state != Left })
	if len(names) == 0 {
		return nil
	}
	return t.entries[names[t.opts.Rand.IntN(len(names))]]
}

// selectNames returns the names of some entries, sorted.
func (t *Table) selectNames(keep func(*entry) bool) []string {
	var names []string
	for _, n := range t.allNames() {
		if keep(t.entries[n]) {
			names = append(names, n)
		}
	}
	return names
}

// allNames returns the names of all entries, sorted.
func (t *Table) allNames() []string {
	if t.sortedNames == nil {
		t.sortedNames = slices.Sorted(maps.Keys(t.entries))
	}
	return t.sortedNames
}

func (t *Table) probe(now time.Time, to wire.VM) {
	t.sequence++
	t.pending[t.sequence] = &pendingProbe{target: to.Name, sentAt: now, deadline: now.Add(t.opts.ProbeInterval)}
	t.send(to, wire.Probe{Sequence: t.sequence})
}

// expirePending asks others to probe a silent VM and then suspects it.
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

func (t *Table) probeIndirectly(sequence int, target string) {
	e := t.entries[target]
	if e == nil {
		return
	}
	helpers := t.selectNames(func(helper *entry) bool {
		return helper.state == Alive && helper.Vm.Name != target && helper.Vm.DataCentre == t.opts.Self.DataCentre
	})
	t.opts.Rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, helper := range helpers[:min(indirectProbers, len(helpers))] {
		t.send(t.entries[helper].Vm, wire.Probe{Sequence: sequence, Target: target})
	}
}

func (t *Table) suspect(now time.Time, name string) {
	e := t.entries[name]
	if e == nil || e.state != Alive {
		return
	}
	update := e.Member
	update.State = string(Suspect)
	t.apply(now, update, "no answer to a direct and to indirect probes")
}

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
		t.apply(now, update, "suspicion was not refuted in time")
	}
}

// updateNextExpiry finds the earliest deadline of an entry.
func (t *Table) updateNextExpiry() {
	t.nextExpiry = time.Time{}
	for _, e := range t.entries {
		if e.state != Alive && (t.nextExpiry.IsZero() || e.deadline.Before(t.nextExpiry)) {
			t.nextExpiry = e.deadline
		}
	}
}

// Receive takes in a probe or an acknowledgement.
func (t *Table) Receive(now time.Time, from wire.VM, probe wire.Probe) ([]Outgoing, []Change) {
	for _, update := range probe.Members {
		t.apply(now, update, "told by "+from.Name)
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

// addSender makes a VM known that speaks without being in the list.
func (t *Table) addSender(now time.Time, from wire.VM) {
	if _, known := t.entries[from.Name]; !known && from.Name != t.opts.Self.Name {
		t.apply(now, wire.Member{Vm: from, State: string(Alive)}, "heard from")
	}
}

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

func (t *Table) probeForRequester(now time.Time, from wire.VM, request wire.Probe) {
	e := t.entries[request.Target]
	if e == nil {
		return
	}
	t.sequence++
	t.pending[t.sequence] = &pendingProbe{
		target: request.Target, sentAt: now, deadline: now.Add(t.opts.ProbeInterval),
		requester: from.Name, requesterSequence: request.Sequence,
	}
	t.send(e.Vm, wire.Probe{Sequence: t.sequence})
}

func (t *Table) takeOutgoing() []Outgoing {
	out := t.outgoing
	t.outgoing = nil
	return out
}

func (t *Table) takeChanges() []Change {
	c := t.changes
	t.changes = nil
	return c
}

// usable reports whether a VM counts for roles: a suspect one still does, so
// that roles don't move for a lost packet.
func usable(s State) bool { return s == Alive || s == Suspect }

// UsableIn returns the names of the usable VMs of a data centre, this one
// included unless it leaves, sorted. The result must not be changed.
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

// UsableCount returns the number of usable VMs of the fleet.
func (t *Table) UsableCount() int {
	n := 0
	for _, e := range t.entries {
		if usable(e.state) {
			n++
		}
	}
	if t.self.State == string(Alive) {
		n++
	}
	return n
}

// Lookup returns what is known of a VM.
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

// Members returns every known VM, this one included, sorted by name.
func (t *Table) Members() []wire.Member {
	out := []wire.Member{t.self}
	for _, e := range t.entries {
		out = append(out, e.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Vm.Name < out[j].Vm.Name })
	return out
}
