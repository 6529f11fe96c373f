package dispatch

import "time"

const (
	// tellEvery bounds how often the ledger is told when it changes, and
	// tellAtLeast how long it is not told when it does not.
	tellEvery   = 20 * time.Millisecond
	tellAtLeast = 500 * time.Millisecond
	// tellRegionEvery is how often other regions are told.
	tellRegionEvery = 300 * time.Millisecond
	// peerFresh is how long another VM's ledger is used after it was told.
	peerFresh = 3 * time.Second
)

// peerLedger is what another VM told last.
type peerLedger struct {
	entries map[string]Entry
	toldAt  time.Time
}

// ledger sums up what this VM has placed, by server.
func (c *Core) ledger() map[string]Entry {
	out := map[string]Entry{}
	for id, s := range c.servers {
		if len(s.runs)+len(s.copies) > 0 && c.services[s.Service].Engine != nil {
			out[id] = s.entry()
		}
	}
	return out
}

// entry sums up what this VM has placed on a server.
func (s *server) entry() Entry {
	e := Entry{Requests: len(s.runs)}
	for _, r := range s.runs {
		e.Tokens += r.expectedTokens()
		if !r.started {
			e.Reading += r.Prompt
		}
	}
	for _, r := range s.copies {
		e.Tokens += r.expectedTokens()
	}
	return e
}

// expectedTokens is the mean memory of a run from now to its end.
func (r *run) expectedTokens() int { return (r.tokens() + r.peak()) / 2 }

// tell hands out the ledgers that are due.
func (c *Core) tell(now time.Time) {
	age := now.Sub(c.toldAt)
	if age >= tellAtLeast || c.changed && age >= tellEvery {
		c.toldAt, c.changed = now, false
		c.act(TellLedger{Entries: c.ledger()})
	}
	if now.Sub(c.toldRegionAt) >= tellRegionEvery && c.speaks(now) {
		c.toldRegionAt = now
		c.act(TellLedger{Region: true, Peers: len(c.peers), Entries: c.regionLedger(now)})
	}
}

// speaks reports whether this VM tells other regions for its own: the first by
// name of those that were heard lately. Two that speak at once do no harm.
func (c *Core) speaks(now time.Time) bool {
	for vm, p := range c.peers {
		if vm < c.opts.VM && now.Sub(p.toldAt) <= peerFresh {
			return false
		}
	}
	return true
}

// regionLedger sums up what the VMs of this region have placed.
func (c *Core) regionLedger(now time.Time) map[string]Entry {
	out := c.ledger()
	for _, p := range c.peers {
		if now.Sub(p.toldAt) > peerFresh {
			continue
		}
		for id, e := range p.entries {
			out[id] = out[id].plus(e)
		}
	}
	return out
}

func (e Entry) plus(o Entry) Entry {
	return Entry{Requests: e.Requests + o.Requests, Tokens: e.Tokens + o.Tokens, Reading: e.Reading + o.Reading}
}

func (c *Core) heardPeer(now time.Time, m PeerLedger) {
	p := peerLedger{entries: m.Entries, toldAt: now}
	if m.Region {
		c.regions[m.VM] = p
		return
	}
	c.peers[m.VM] = p
}

// peersOn sums up what other VMs told of a server. It reports false when none
// told anything lately.
func (c *Core) peersOn(now time.Time, id string) (Entry, bool) {
	var sum Entry
	heard := false
	for _, told := range []map[string]peerLedger{c.peers, c.regions} {
		for name, p := range told {
			if now.Sub(p.toldAt) > peerFresh {
				delete(told, name)
				continue
			}
			heard = true
			sum = sum.plus(p.entries[id])
		}
	}
	return sum, heard
}
