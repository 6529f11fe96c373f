package dispatch

import "time"

const (
	// tellEvery and tellShare bound how often the ledger is told when it changes,
	// the latter for each VM that hears it; tellAtLeast is how long it is not told
	// when it does not change.
	tellEvery   = 20 * time.Millisecond
	tellShare   = time.Millisecond
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

// told sums up what others told lately, so that a choice among thousands of
// servers does not look at each of their ledgers.
type told struct {
	by map[string]peerLedger
	// sum is the sum of all entries in by, by server; none is zero.
	sum       map[string]Entry
	expiredAt time.Time
}

func newTold() *told { return &told{by: map[string]peerLedger{}, sum: map[string]Entry{}} }

// replace takes what one of them told anew.
func (t *told) replace(now time.Time, name string, entries map[string]Entry) {
	t.forget(name)
	t.by[name] = peerLedger{entries: entries, toldAt: now}
	for id, e := range entries {
		t.add(id, e)
	}
}

func (t *told) forget(name string) {
	for id, e := range t.by[name].entries {
		t.add(id, Entry{Requests: -e.Requests, Tokens: -e.Tokens, Reading: -e.Reading})
	}
	delete(t.by, name)
}

func (t *told) add(id string, e Entry) {
	if e = t.sum[id].plus(e); e == (Entry{}) {
		delete(t.sum, id)
		return
	}
	t.sum[id] = e
}

// expire forgets those who have not told anything for long.
func (t *told) expire(now time.Time) {
	if now.Sub(t.expiredAt) < tellEvery {
		return
	}
	t.expiredAt = now
	for name, p := range t.by {
		if now.Sub(p.toldAt) > peerFresh {
			t.forget(name)
		}
	}
}

// ledger sums up what this VM has placed, by server.
func (c *Core) ledger() map[string]Entry {
	out := map[string]Entry{}
	add := func(s *server) {
		if s == nil || c.servers[s.ID] != s || s.engine == nil {
			return
		}
		if _, done := out[s.ID]; !done {
			out[s.ID] = s.entry()
		}
	}
	for _, r := range c.runs {
		add(r.on)
		add(r.target)
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
	if age >= tellAtLeast || c.changed && age >= max(tellEvery, time.Duration(len(c.peers.by))*tellShare) {
		c.toldAt, c.changed = now, false
		c.act(TellLedger{Entries: c.ledger()})
	}
	if now.Sub(c.toldRegionAt) >= tellRegionEvery && c.speaks() {
		c.toldRegionAt = now
		c.act(TellLedger{Region: true, Peers: len(c.peers.by), Entries: c.regionLedger()})
	}
}

// speaks reports whether this VM tells other regions for its own: the first by
// name of those that were heard lately. Two that speak at once do no harm.
func (c *Core) speaks() bool {
	for vm := range c.peers.by {
		if vm < c.opts.VM {
			return false
		}
	}
	return true
}

// regionLedger sums up what the VMs of this region have placed.
func (c *Core) regionLedger() map[string]Entry {
	out := c.ledger()
	for id, e := range c.peers.sum {
		out[id] = out[id].plus(e)
	}
	return out
}

func (e Entry) plus(o Entry) Entry {
	return Entry{Requests: e.Requests + o.Requests, Tokens: e.Tokens + o.Tokens, Reading: e.Reading + o.Reading}
}

func (c *Core) heardPeer(now time.Time, m PeerLedger) {
	if m.Region {
		c.regions.replace(now, m.VM, m.Entries)
		return
	}
	c.peers.replace(now, m.VM, m.Entries)
}

// othersOn sums up what other VMs told of a server. It reports false when none
// told anything lately.
func (c *Core) othersOn(id string) (Entry, bool) {
	return c.peers.sum[id].plus(c.regions.sum[id]), len(c.peers.by)+len(c.regions.by) > 0
}
