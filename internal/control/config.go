package control

import (
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/invariant"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// revisions applies what follows the state in force and ignores the rest, so
// that a configuration never reverts.
func (c *Core) revisions(snap *wire.Snapshot, list []wire.Revision, source string) {
	before := c.state
	if snap != nil && (snap.Number > c.state.Number || mutation.Enabled(mutation.OldRevisionAccepted)) {
		c.state = chain.FromSnapshot(*snap)
		c.history = nil
	}
	for _, r := range list {
		c.highest = max(c.highest, r.Number)
		next, ok := c.state.Apply(r)
		if !ok {
			continue
		}
		c.state = next
		c.remember(r)
	}
	if c.state == before {
		return
	}
	invariant.Check(c.state.Number > before.Number, "configuration never reverts",
		"before", before.Number, "after", c.state.Number, "source", source)
	c.highest = max(c.highest, c.state.Number)
	c.members.SetRevision(c.state.Number)
	c.do(ConfigChanged{State: c.state, History: append([]wire.Revision(nil), c.history...)})
	c.decided("configuration", "revision", c.state.Number, "before", before.Number, "source", source)
	c.announceRevision()
}

func (c *Core) remember(r wire.Revision) {
	if len(c.history) == historyLength {
		c.history = c.history[1:]
	}
	c.history = append(c.history, r)
}

// announceRevision tells a few VMs at once; they ask for what they lack and
// tell others in turn.
func (c *Core) announceRevision() {
	names := c.otherVMs()
	c.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, n := range names[:min(announceTo, len(names))] {
		c.sendTo(n, wire.Frame{Revisions: c.revisionsAfter(c.state.Number - 1)})
	}
}

func (c *Core) otherVMs() []string {
	var names []string
	for _, n := range c.members.AliveIn(c.opts.Self.DataCentre) {
		if n != c.opts.Self.Name {
			names = append(names, n)
		}
	}
	return names
}

// revisionsAfter returns what a VM at revision n lacks: revisions while they
// are remembered, otherwise a snapshot.
func (c *Core) revisionsAfter(n int) *wire.Revisions {
	if n >= c.state.Number {
		return &wire.Revisions{}
	}
	lacking := c.state.Number - n
	if lacking <= len(c.history) {
		return &wire.Revisions{Revisions: append([]wire.Revision(nil), c.history[len(c.history)-lacking:]...)}
	}
	snap := c.state.Snapshot()
	return &wire.Revisions{Snapshot: &snap}
}

// heardRevision compares revisions and lists at every contact: who is behind
// asks.
func (c *Core) heardRevision(from wire.VM, p wire.Probe) {
	c.highest = max(c.highest, p.Revision)
	if p.Revision > c.state.Number || int64(p.Listed) > c.listed {
		c.askRevisions(from)
	}
}

func (c *Core) askRevisions(to wire.VM) {
	c.send(to, wire.Frame{RevisionAsk: &wire.RevisionAsk{After: c.state.Number, Listed: int(c.listed)}})
}
