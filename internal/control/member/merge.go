package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// apply merges one statement about a VM: the higher incarnation wins, and
// within one incarnation the state of higher precedence.
func (t *Table) apply(now time.Time, m wire.Member, why string) {
	state := State(m.State)
	if precedence[state] == 0 {
		return
	}
	if m.Vm.Name == t.opts.Self.Name {
		t.refute(m)
		return
	}
	e := t.entries[m.Vm.Name]
	if e == nil {
		if state != Alive && state != Suspect {
			return
		}
		e = &entry{}
		t.entries[m.Vm.Name] = e
		t.all = nil
	}
	newer := m.Incarnation > e.Incarnation ||
		(m.Incarnation == e.Incarnation && precedence[state] > precedence[e.state])
	if !newer {
		e.Revision = max(e.Revision, m.Revision)
		return
	}
	before := e.state
	if !slices.Contains(t.news, m.Vm.Name) {
		t.news = append(t.news, m.Vm.Name)
	}
	e.Member, e.state, e.news = m, state, t.newsRepeats()
	switch state {
	case Suspect:
		e.deadline = now.Add(t.suspicion())
	case Dead, Left:
		e.deadline = now.Add(forgetAfter * t.opts.Suspicion)
	}
	if state != Alive && (t.expiry.IsZero() || e.deadline.Before(t.expiry)) {
		t.expiry = e.deadline
	}
	if usable(before) != usable(state) {
		t.aliveOK = false
	}
	if before != state {
		t.changes = append(t.changes, Change{VM: m.Vm, From: before, To: state, Why: why})
	}
}

// suspicion is how long a VM stays suspect: a refutation needs about as many
// rounds to reach everyone as the list has doublings.
func (t *Table) suspicion() time.Duration {
	rounds := time.Duration(bits.Len(uint(len(t.entries))))
	return max(t.opts.Suspicion, rounds*t.opts.ProbeInterval)
}

// refute raises the own incarnation above a statement that this VM is not
// alive, and tells a few VMs at once.
func (t *Table) refute(m wire.Member) {
	if State(m.State) == Alive || m.Incarnation < t.self.Incarnation || t.self.State != string(Alive) {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	alive := t.AliveIn(t.opts.Self.DataCentre)
	for range refuteTo {
		if e := t.entries[alive[t.opts.Rand.IntN(len(alive))]]; e != nil {
			t.send(e.Vm, wire.Probe{Ack: true})
		}
	}
}

func (t *Table) newsRepeats() int {
	n := repeats
	for size := len(t.entries); size > 1; size /= 2 {
		n += repeats
	}
	return n
}

// send completes a probe with the own state and a bounded number of updates.
func (t *Table) send(to wire.VM, p wire.Probe) {
	p.Revision = t.self.Revision
	p.Listed = t.listed
	p.Members = append(p.Members, t.self)
	t.addNews(&p)
	t.tellOwnState(to, &p)
	t.addRandom(&p)
	t.out = append(t.out, Outgoing{To: to, Probe: p})
}

// addNews adds what was passed on least often.
func (t *Table) addNews(p *wire.Probe) {
	t.news = slices.DeleteFunc(t.news, func(n string) bool {
		e := t.entries[n]
		return e == nil || e.news == 0
	})
	slices.SortStableFunc(t.news, func(a, b string) int {
		return cmp.Or(t.entries[b].news-t.entries[a].news, cmp.Compare(a, b))
	})
	for _, n := range t.news[:min(len(t.news), maxUpdates-len(p.Members))] {
		t.entries[n].news--
		p.Members = append(p.Members, t.entries[n].Member)
	}
}

// tellOwnState tells a VM that is held for suspect or dead, so that it can
// refute.
func (t *Table) tellOwnState(to wire.VM, p *wire.Probe) {
	if e := t.entries[to.Name]; e != nil && e.state != Alive {
		p.Members = append(p.Members, e.Member)
	}
}

func (t *Table) addRandom(p *wire.Probe) {
	if len(p.Members) > fill || len(t.entries) == 0 {
		return
	}
	names := t.everyone()
	for range fill {
		p.Members = append(p.Members, t.entries[names[t.opts.Rand.IntN(len(names))]].Member)
	}
}
