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
	// bridges is the number of VMs of a data centre that probe other data centres.
	bridges = 2
	// indirect is the number of VMs that are asked to probe a silent one.
	indirect = 3
	// refuteTo is the number of VMs that a refutation is sent to at once.
	refuteTo = 3
	// maxUpdates bounds the membership updates in one probe.
	maxUpdates = 6
	// fill is the number of members that are added at random when there is no news.
	fill = 1
	// repeats is how often news is passed on for each doubling of the list.
	repeats = 3
	// forgetAfter is how long the dead are remembered, as multiples of the suspicion time.
	forgetAfter = 30
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

// MovesRoles reports whether the set of VMs that roles are computed from has
// changed. A suspect VM still counts.
func (c Change) MovesRoles() bool { return usable(c.From) != usable(c.To) }

type entry struct {
	wire.Member
	state    State
	deadline time.Time // of the suspicion, or of forgetting
	news     int       // how often the entry is still to be passed on
}

type pending struct {
	target    string
	askedAt   time.Time
	deadline  time.Time // of the answer
	indirect  bool      // helpers were asked
	onBehalf  string    // VM that asked for the probe; empty for our own
	behalfSeq int
}

// Table is the member list as one VM sees it. It is not safe for concurrent
// use.
type Table struct {
	opts      Options
	self      wire.Member
	entries   map[string]*entry
	pending   map[int]*pending
	sequence  int
	listed    int
	order     []string // remaining targets of this round
	nextProbe time.Time
	changes   []Change
	out       []Outgoing
	all       []string  // names of the entries, sorted; nil when it has to be made anew
	news      []string  // names of the entries that are still to be passed on
	expiry    time.Time // no entry's deadline comes before; zero when none has one
	alive     []string  // cache of AliveIn for the own data centre
	aliveOK   bool
}

// New returns a table that knows only this VM.
func New(o Options) *Table {
	return &Table{
		opts:    o,
		self:    wire.Member{Vm: o.Self, Incarnation: o.Incarnation, State: string(Alive)},
		entries: map[string]*entry{},
		pending: map[int]*pending{},
	}
}

// Incarnation returns the present incarnation of this VM.
func (t *Table) Incarnation() int { return t.self.Incarnation }

// SetRevision sets the configuration revision that probes announce.
func (t *Table) SetRevision(n int) { t.self.Revision = n }

// SetListed sets the version of the list of backends that probes announce.
func (t *Table) SetListed(n int) { t.listed = n }

// Leave makes this VM announce that it stops, and returns the announcements.
func (t *Table) Leave() []Outgoing {
	t.self.State = string(Left)
	t.aliveOK = false
	t.self.Incarnation++
	for _, name := range t.AliveIn(t.opts.Self.DataCentre) {
		if e := t.entries[name]; e != nil {
			t.send(e.Vm, wire.Probe{Ack: true})
		}
	}
	return t.takeOut()
}

// Learn adds VMs from the platform's list, which is only a seed: it never
// changes the state of a VM that is known already.
func (t *Table) Learn(now time.Time, vms []wire.VM) []Change {
	for _, v := range vms {
		if _, known := t.entries[v.Name]; !known && v.Name != t.opts.Self.Name {
			t.apply(now, wire.Member{Vm: v, State: string(Alive)}, "listed by the platform")
			// The others have the list too: passing it on would hold up real news.
			t.entries[v.Name].news = 0
		}
	}
	return t.takeChanges()
}

// Tick sends due probes and turns silence into suspicion and death.
func (t *Table) Tick(now time.Time) ([]Outgoing, []Change) {
	t.expirePending(now)
	t.expireStates(now)
	if now.Before(t.nextProbe) {
		return t.takeOut(), t.takeChanges()
	}
	t.nextProbe = now.Add(t.opts.ProbeInterval)
	if target := t.nextTarget(t.opts.Self.DataCentre); target != nil {
		t.probe(now, target.Vm)
	}
	if t.bridge() {
		if target := t.foreignTarget(); target != nil {
			t.probe(now, target.Vm)
		}
	}
	return t.takeOut(), t.takeChanges()
}

func (t *Table) bridge() bool {
	dc := t.opts.Self.DataCentre
	return slices.Contains(rendezvous.Holders("bridge/"+dc, t.AliveIn(dc), bridges), t.opts.Self.Name)
}

// nextTarget walks through the data centre in an order that is drawn anew for
// each round, so that every VM is probed within two rounds.
func (t *Table) nextTarget(dc string) *entry {
	for range 2 {
		for len(t.order) > 0 {
			name := t.order[0]
			t.order = t.order[1:]
			if e := t.entries[name]; e != nil && e.Vm.DataCentre == dc && e.state != Left {
				return e
			}
		}
		t.order = t.names(func(e *entry) bool { return e.Vm.DataCentre == dc && e.state != Left })
		t.opts.Rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	}
	return nil
}

func (t *Table) foreignTarget() *entry {
	names := t.names(func(e *entry) bool { return e.Vm.DataCentre != t.opts.Self.DataCentre && e.state != Left })
	if len(names) == 0 {
		return nil
	}
	return t.entries[names[t.opts.Rand.IntN(len(names))]]
}

// names returns the names of some entries, sorted.
func (t *Table) names(keep func(*entry) bool) []string {
	var names []string
	for _, n := range t.everyone() {
		if keep(t.entries[n]) {
			names = append(names, n)
		}
	}
	return names
}

// everyone returns the names of all entries, sorted.
func (t *Table) everyone() []string {
	if t.all == nil {
		t.all = slices.Sorted(maps.Keys(t.entries))
	}
	return t.all
}

func (t *Table) probe(now time.Time, to wire.VM) {
	t.sequence++
	t.pending[t.sequence] = &pending{target: to.Name, askedAt: now, deadline: now.Add(t.opts.ProbeInterval)}
	t.send(to, wire.Probe{Sequence: t.sequence})
}

// expirePending asks others to probe a silent VM and then suspects it.
func (t *Table) expirePending(now time.Time) {
	for _, seq := range slices.Sorted(maps.Keys(t.pending)) {
		p := t.pending[seq]
		if now.Before(p.deadline) {
			continue
		}
		if p.onBehalf != "" || p.indirect {
			delete(t.pending, seq)
			if p.onBehalf == "" {
				t.suspect(now, p.target)
			}
			continue
		}
		p.indirect = true
		p.deadline = now.Add(t.opts.ProbeInterval)
		t.askHelpers(seq, p.target)
	}
}

func (t *Table) askHelpers(seq int, target string) {
	e := t.entries[target]
	if e == nil {
		return
	}
	helpers := t.names(func(h *entry) bool {
		return h.state == Alive && h.Vm.Name != target && h.Vm.DataCentre == t.opts.Self.DataCentre
	})
	t.opts.Rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	for _, h := range helpers[:min(indirect, len(helpers))] {
		t.send(t.entries[h].Vm, wire.Probe{Sequence: seq, Target: target})
	}
}

func (t *Table) suspect(now time.Time, name string) {
	e := t.entries[name]
	if e == nil || e.state != Alive {
		return
	}
	m := e.Member
	m.State = string(Suspect)
	t.apply(now, m, "no answer to a direct and to indirect probes")
}

func (t *Table) expireStates(now time.Time) {
	if t.expiry.IsZero() || now.Before(t.expiry) {
		return
	}
	defer t.findExpiry()
	for _, name := range t.names(func(e *entry) bool { return e.state != Alive && !now.Before(e.deadline) }) {
		e := t.entries[name]
		if e.state != Suspect {
			delete(t.entries, name)
			t.all = nil
			continue
		}
		m := e.Member
		m.State = string(Dead)
		t.apply(now, m, "suspicion was not refuted in time")
	}
}

// findExpiry finds the earliest deadline of an entry.
func (t *Table) findExpiry() {
	t.expiry = time.Time{}
	for _, e := range t.entries {
		if e.state != Alive && (t.expiry.IsZero() || e.deadline.Before(t.expiry)) {
			t.expiry = e.deadline
		}
	}
}

// Hear takes in a probe or an acknowledgement.
func (t *Table) Hear(now time.Time, from wire.VM, p wire.Probe) ([]Outgoing, []Change) {
	for _, m := range p.Members {
		t.apply(now, m, "told by "+from.Name)
	}
	t.revive(now, from)
	switch {
	case p.Ack:
		t.acknowledged(p)
	case p.Target == "" || p.Target == t.opts.Self.Name:
		t.send(from, wire.Probe{Sequence: p.Sequence, Ack: true})
	default:
		t.probeOnBehalf(now, from, p)
	}
	return t.takeOut(), t.takeChanges()
}

// revive makes a VM known that speaks without being in the list.
func (t *Table) revive(now time.Time, from wire.VM) {
	if _, known := t.entries[from.Name]; !known && from.Name != t.opts.Self.Name {
		t.apply(now, wire.Member{Vm: from, State: string(Alive)}, "heard from")
	}
}

func (t *Table) acknowledged(p wire.Probe) {
	q := t.pending[p.Sequence]
	if q == nil {
		return
	}
	delete(t.pending, p.Sequence)
	if q.onBehalf == "" {
		return
	}
	if asker := t.entries[q.onBehalf]; asker != nil {
		t.send(asker.Vm, wire.Probe{Sequence: q.behalfSeq, Ack: true})
	}
}

func (t *Table) probeOnBehalf(now time.Time, from wire.VM, p wire.Probe) {
	e := t.entries[p.Target]
	if e == nil {
		return
	}
	t.sequence++
	t.pending[t.sequence] = &pending{
		target: p.Target, askedAt: now, deadline: now.Add(t.opts.ProbeInterval),
		onBehalf: from.Name, behalfSeq: p.Sequence,
	}
	t.send(e.Vm, wire.Probe{Sequence: t.sequence})
}

func (t *Table) takeOut() []Outgoing {
	out := t.out
	t.out = nil
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

// AliveIn returns the names of the usable VMs of a data centre, this one
// included unless it leaves, sorted. The result must not be changed.
func (t *Table) AliveIn(dc string) []string {
	own := dc == t.opts.Self.DataCentre
	if own && t.aliveOK {
		return t.alive
	}
	names := t.names(func(e *entry) bool { return e.Vm.DataCentre == dc && usable(e.state) })
	if own && t.self.State == string(Alive) {
		names = append(names, t.opts.Self.Name)
		sort.Strings(names)
	}
	if own {
		t.alive, t.aliveOK = names, true
	}
	return names
}

// AliveCount returns the number of usable VMs of the fleet.
func (t *Table) AliveCount() int {
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
