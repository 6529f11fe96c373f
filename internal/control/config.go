package control

import (
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/invariant"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// applyRevisions applies a newer snapshot and the revisions that follow the
// configuration in force. It ignores all others, so that the configuration never
// reverts.
func (c *Core) applyRevisions(snapshot *wire.Snapshot, list []wire.Revision, source string) {
	before := c.state
	if snapshot != nil && (snapshot.Number > c.state.Number || mutation.Enabled(mutation.OldRevisionAccepted)) {
		c.state = configchain.FromSnapshot(*snapshot)
		c.history = nil
	}
	for _, revision := range list {
		c.highestRevision = max(c.highestRevision, revision.Number)
		next, ok := c.state.Apply(revision)
		if !ok {
			continue
		}
		c.state = next
		c.appendHistory(revision)
	}
	if c.state == before {
		return
	}
	invariant.Check(c.state.Number > before.Number, "configuration never reverts",
		"before", before.Number, "after", c.state.Number, "source", source)
	c.highestRevision = max(c.highestRevision, c.state.Number)
	c.members.SetRevision(c.state.Number)
	c.emit(ConfigChanged{State: c.state, History: append([]wire.Revision(nil), c.history...)})
	c.logDecision("configuration", "revision", c.state.Number, "before", before.Number, "source", source)
	c.announceRevision()
}

func (c *Core) appendHistory(revision wire.Revision) {
	if len(c.history) == historyLength {
		c.history = c.history[1:]
	}
	c.history = append(c.history, revision)
}

// announceRevision sends the new revision to a few random VMs of the data centre.
// They request revisions that they miss, and announce the new one to others in
// turn.
func (c *Core) announceRevision() {
	names := c.otherVMs()
	c.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, vm := range names[:min(announceFanout, len(names))] {
		c.sendTo(vm, wire.Frame{Revisions: c.revisionsAfter(c.state.Number - 1)})
	}
}

// otherVMs returns the names of the other usable VMs of this data centre.
func (c *Core) otherVMs() []string {
	var names []string
	for _, vm := range c.members.UsableIn(c.opts.Self.DataCentre) {
		if vm != c.opts.Self.Name {
			names = append(names, vm)
		}
	}
	return names
}

// revisionsAfter returns what a VM at a revision is missing: the later revisions
// when the history still has them all, otherwise a snapshot.
func (c *Core) revisionsAfter(revision int) *wire.Revisions {
	if revision >= c.state.Number {
		return &wire.Revisions{}
	}
	missing := c.state.Number - revision
	if missing <= len(c.history) {
		return &wire.Revisions{Revisions: append([]wire.Revision(nil), c.history[len(c.history)-missing:]...)}
	}
	snapshot := c.state.Snapshot()
	return &wire.Revisions{Snapshot: &snapshot}
}

// compareRevision requests the configuration or the list of backends when a probe
// shows that the sender has a newer one.
func (c *Core) compareRevision(from wire.VM, probe wire.Probe) {
	c.highestRevision = max(c.highestRevision, probe.Revision)
	if probe.Revision > c.state.Number || int64(probe.Listed) > c.listVersion {
		c.requestRevisions(from)
	}
}

func (c *Core) requestRevisions(to wire.VM) {
	c.send(to, wire.Frame{RevisionAsk: &wire.RevisionAsk{After: c.state.Number, Listed: int(c.listVersion)}})
}
