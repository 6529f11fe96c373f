package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// apply merges an update about a VM: the higher incarnation wins, and within one
// incarnation the state of higher precedence.
func (t *Table) apply(now time.Time, update wire.Member, why string) {
	state := State(update.State)
	if precedence[state] == 0 {
		return
	}
	if update.Vm.Name == t.opts.Self.Name {
		t.refute(update)
		return
	}
	current := t.entries[update.Vm.Name]
	if current == nil {
		if state != Alive && state != Suspect {
			return
		}
		current = &entry{}
		t.entries[update.Vm.Name] = current
		t.sortedNames = nil
	}
	newer := update.Incarnation > current.Incarnation ||
		(update.Incarnation == current.Incarnation && precedence[state] > precedence[current.state])
	if !newer {
		current.Revision = max(current.Revision, update.Revision)
		return
	}
	before := current.state
	if !slices.Contains(t.updates, update.Vm.Name) {
		t.updates = append(t.updates, update.Vm.Name)
	}
	current.Member, current.state, current.sendsLeft = update, state, t.sendsPerUpdate()
	switch state {
	case Suspect:
		current.deadline = now.Add(t.suspicionTimeout())
	case Dead, Left:
		current.deadline = now.Add(retentionFactor * t.opts.Suspicion)
	}
	if state != Alive && (t.nextExpiry.IsZero() || current.deadline.Before(t.nextExpiry)) {
		t.nextExpiry = current.deadline
	}
	if usable(before) != usable(state) {
		t.usableCached = false
	}
	if before != state {
		t.changes = append(t.changes, Change{VM: update.Vm, From: before, To: state, Why: why})
	}
}

// suspicionTimeout returns how long a VM stays suspect. A refutation reaches all VMs
// after a number of probe rounds that is about the binary logarithm of their number.
func (t *Table) suspicionTimeout() time.Duration {
	rounds := time.Duration(bits.Len(uint(len(t.entries))))
	return max(t.opts.Suspicion, rounds*t.opts.ProbeInterval)
}

// refute handles an update that this VM is suspect, dead or left: it raises the
// incarnation of this VM above that of the update and notifies a few VMs at once.
func (t *Table) refute(update wire.Member) {
	if State(update.State) == Alive || update.Incarnation < t.self.Incarnation || t.self.State != string(Alive) {
		return
	}
	t.self.Incarnation = update.Incarnation + 1
	usableVMs := t.UsableIn(t.opts.Self.DataCentre)
	for range refuteFanout {
		if e := t.entries[usableVMs[t.opts.Rand.IntN(len(usableVMs))]]; e != nil {
			t.send(e.Vm, wire.Probe{Ack: true})
		}
	}
}

// sendsPerUpdate returns how often an update is sent. It grows with the logarithm of
// the number of VMs.
func (t *Table) sendsPerUpdate() int {
	sends := sendsPerDoubling
	for size := len(t.entries); size > 1; size /= 2 {
		sends += sendsPerDoubling
	}
	return sends
}

// send adds the state of this VM and a bounded number of updates to a probe, and
// queues it for sending.
func (t *Table) send(to wire.VM, probe wire.Probe) {
	probe.Revision = t.self.Revision
	probe.Listed = t.listVersion
	probe.Members = append(probe.Members, t.self)
	t.addUpdates(&probe)
	t.addReceiverState(to, &probe)
	t.addRandomMembers(&probe)
	t.outgoing = append(t.outgoing, Outgoing{To: to, Probe: probe})
}

// addUpdates adds the updates with the most sends left, up to maxUpdates members.
func (t *Table) addUpdates(probe *wire.Probe) {
	t.updates = slices.DeleteFunc(t.updates, func(name string) bool {
		e := t.entries[name]
		return e == nil || e.sendsLeft == 0
	})
	slices.SortStableFunc(t.updates, func(a, b string) int {
		return cmp.Or(t.entries[b].sendsLeft-t.entries[a].sendsLeft, cmp.Compare(a, b))
	})
	for _, name := range t.updates[:min(len(t.updates), maxUpdates-len(probe.Members))] {
		t.entries[name].sendsLeft--
		probe.Members = append(probe.Members, t.entries[name].Member)
	}
}

// addReceiverState adds the receiver's own state if it is not Alive, so that it can
// refute it.
func (t *Table) addReceiverState(to wire.VM, probe *wire.Probe) {
	if e := t.entries[to.Name]; e != nil && e.state != Alive {
		probe.Members = append(probe.Members, e.Member)
	}
}

// addRandomMembers fills a probe that carries no updates with random members, so that
// lists that differ converge.
func (t *Table) addRandomMembers(probe *wire.Probe) {
	if len(probe.Members) > randomMembers || len(t.entries) == 0 {
		return
	}
	names := t.allNames()
	for range randomMembers {
		probe.Members = append(probe.Members, t.entries[names[t.opts.Rand.IntN(len(names))]].Member)
	}
}
