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
func (t *Table) apply(now time.Time, update wire.Member, why string) {
	state := State(update.State)
	if precedence[state] == 0 {
		return
	}
	if update.Vm.Name == t.opts.Self.Name {
		t.refute(update)
		return
	}
	e := t.entries[update.Vm.Name]
	if e == nil {
		if state != Alive && state != Suspect {
			return
		}
		e = &entry{}
		t.entries[update.Vm.Name] = e
		t.sortedNames = nil
	}
	newer := update.Incarnation > e.Incarnation ||
		(update.Incarnation == e.Incarnation && precedence[state] > precedence[e.state])
	if !newer {
		e.Revision = max(e.Revision, update.Revision)
		return
	}
	before := e.state
	if !slices.Contains(t.updates, update.Vm.Name) {
		t.updates = append(t.updates, update.Vm.Name)
	}
	e.Member, e.state, e.sendsLeft = update, state, t.sendsPerUpdate()
	switch state {
	case Suspect:
		e.deadline = now.Add(t.suspicionTimeout())
	case Dead, Left:
		e.deadline = now.Add(retentionFactor * t.opts.Suspicion)
	}
	if state != Alive && (t.nextExpiry.IsZero() || e.deadline.Before(t.nextExpiry)) {
		t.nextExpiry = e.deadline
	}
	if usable(before) != usable(state) {
		t.usableCached = false
	}
	if before != state {
		t.changes = append(t.changes, Change{VM: update.Vm, From: before, To: state, Why: why})
	}
}

// suspicionTimeout is how long a VM stays suspect: a refutation needs about as many
// rounds to reach everyone as the list has doublings.
func (t *Table) suspicionTimeout() time.Duration {
	rounds := time.Duration(bits.Len(uint(len(t.entries))))
	return max(t.opts.Suspicion, rounds*t.opts.ProbeInterval)
}

// refute raises the own incarnation above a statement that this VM is not
// alive, and tells a few VMs at once.
func (t *Table) refute(update wire.Member) {
	if State(update.State) == Alive || update.Incarnation < t.self.Incarnation || t.self.State != string(Alive) {
		return
	}
	t.self.Incarnation = update.Incarnation + 1
	alive := t.UsableIn(t.opts.Self.DataCentre)
	for range refuteFanout {
		if e := t.entries[alive[t.opts.Rand.IntN(len(alive))]]; e != nil {
			t.send(e.Vm, wire.Probe{Ack: true})
		}
	}
}

func (t *Table) sendsPerUpdate() int {
	n := sendsPerDoubling
	for size := len(t.entries); size > 1; size /= 2 {
		n += sendsPerDoubling
	}
	return n
}

// send completes a probe with the own state and a bounded number of updates.
func (t *Table) send(to wire.VM, probe wire.Probe) {
	probe.Revision = t.self.Revision
	probe.Listed = t.listVersion
	probe.Members = append(probe.Members, t.self)
	t.addUpdates(&probe)
	t.addReceiverState(to, &probe)
	t.addRandomMembers(&probe)
	t.outgoing = append(t.outgoing, Outgoing{To: to, Probe: probe})
}

// addUpdates adds what was passed on least often.
func (t *Table) addUpdates(probe *wire.Probe) {
	t.updates = slices.DeleteFunc(t.updates, func(n string) bool {
		e := t.entries[n]
		return e == nil || e.sendsLeft == 0
	})
	slices.SortStableFunc(t.updates, func(a, b string) int {
		return cmp.Or(t.entries[b].sendsLeft-t.entries[a].sendsLeft, cmp.Compare(a, b))
	})
	for _, n := range t.updates[:min(len(t.updates), maxUpdates-len(probe.Members))] {
		t.entries[n].sendsLeft--
		probe.Members = append(probe.Members, t.entries[n].Member)
	}
}

// addReceiverState tells a VM that is held for suspect or dead, so that it can
// refute.
func (t *Table) addReceiverState(to wire.VM, probe *wire.Probe) {
	if e := t.entries[to.Name]; e != nil && e.state != Alive {
		probe.Members = append(probe.Members, e.Member)
	}
}

func (t *Table) addRandomMembers(probe *wire.Probe) {
	if len(probe.Members) > randomMembers || len(t.entries) == 0 {
		return
	}
	names := t.allNames()
	for range randomMembers {
		probe.Members = append(probe.Members, t.entries[names[t.opts.Rand.IntN(len(names))]].Member)
	}
}
