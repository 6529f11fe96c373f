package dispatch

import "time"

const (
	// minPublishInterval and tellShare bound how often the ledger is told when it changes,
	// the latter for each VM that hears it; tellAtLeast is how long it is not told
	// when it does not change.
	minPublishInterval     = 20 * time.Millisecond
	publishIntervalPerPeer = time.Millisecond
	maxPublishInterval     = 500 * time.Millisecond
	// regionPublishInterval is how often other regions are told.
	regionPublishInterval = 300 * time.Millisecond
	// peerLedgerTTL is how long another VM's ledger is used after it was told.
	peerLedgerTTL = 3 * time.Second
)

// receivedLedger is what another VM told last.
type receivedLedger struct {
	entries    map[string]LedgerEntry
	receivedAt time.Time
}

// ledgerSet sums up what others told lately, so that a choice among thousands of
// servers does not look at each of their ledgers.
type ledgerSet struct {
	bySource map[string]receivedLedger
	// total is the sum of all entries in by, by server; none is zero.
	total      map[string]LedgerEntry
	lastExpiry time.Time
}

func newLedgerSet() *ledgerSet {
	return &ledgerSet{bySource: map[string]receivedLedger{}, total: map[string]LedgerEntry{}}
}

// replace takes what one of them told anew.
func (t *ledgerSet) replace(now time.Time, name string, entries map[string]LedgerEntry) {
	t.remove(name)
	t.bySource[name] = receivedLedger{entries: entries, receivedAt: now}
	for id, e := range entries {
		t.add(id, e)
	}
}

func (t *ledgerSet) remove(name string) {
	for id, e := range t.bySource[name].entries {
		t.add(id, LedgerEntry{Requests: -e.Requests, Tokens: -e.Tokens, PrefillTokens: -e.PrefillTokens})
	}
	delete(t.bySource, name)
}

func (t *ledgerSet) add(id string, e LedgerEntry) {
	if e = t.total[id].plus(e); e == (LedgerEntry{}) {
		delete(t.total, id)
		return
	}
	t.total[id] = e
}

// expire forgets those who have not told anything for long.
func (t *ledgerSet) expire(now time.Time) {
	if now.Sub(t.lastExpiry) < minPublishInterval {
		return
	}
	t.lastExpiry = now
	for name, p := range t.bySource {
		if now.Sub(p.receivedAt) > peerLedgerTTL {
			t.remove(name)
		}
	}
}

// ownLedger sums up what this VM has placed, by server.
func (c *Core) ownLedger() map[string]LedgerEntry {
	out := map[string]LedgerEntry{}
	add := func(s *server) {
		if s == nil || c.servers[s.ID] != s || s.engine == nil {
			return
		}
		if _, done := out[s.ID]; !done {
			out[s.ID] = s.ledgerEntry()
		}
	}
	for _, r := range c.requests {
		add(r.server)
		add(r.target)
	}
	return out
}

// ledgerEntry sums up what this VM has placed on a server.
func (s *server) ledgerEntry() LedgerEntry {
	e := LedgerEntry{Requests: len(s.requests)}
	for _, r := range s.requests {
		e.Tokens += r.averageTokens()
		if !r.responseStarted {
			e.PrefillTokens += r.PromptTokens
		}
	}
	for _, r := range s.reservations {
		e.Tokens += r.averageTokens()
	}
	return e
}

// averageTokens is the mean memory of a run from now to its end.
func (r *request) averageTokens() int { return (r.cachedTokens() + r.peakTokens()) / 2 }

// publishLedgers hands out the ledgers that are due.
func (c *Core) publishLedgers(now time.Time) {
	age := now.Sub(c.publishedAt)
	if age >= maxPublishInterval || c.ledgerChanged && age >= max(minPublishInterval, time.Duration(len(c.peerLedgers.bySource))*publishIntervalPerPeer) {
		c.publishedAt, c.ledgerChanged = now, false
		c.emit(PublishLedger{Entries: c.ownLedger()})
	}
	if now.Sub(c.regionPublishedAt) >= regionPublishInterval && c.publishesForRegion() {
		c.regionPublishedAt = now
		c.emit(PublishLedger{RegionTotal: true, PeerCount: len(c.peerLedgers.bySource), Entries: c.regionTotal()})
	}
}

// publishesForRegion reports whether this VM tells other regions for its own: the first by
// name of those that were heard lately. Two that speak at once do no harm.
func (c *Core) publishesForRegion() bool {
	for vm := range c.peerLedgers.bySource {
		if vm < c.opts.VM {
			return false
		}
	}
	return true
}

// regionTotal sums up what the VMs of this region have placed.
func (c *Core) regionTotal() map[string]LedgerEntry {
	out := c.ownLedger()
	for id, e := range c.peerLedgers.total {
		out[id] = out[id].plus(e)
	}
	return out
}

func (e LedgerEntry) plus(other LedgerEntry) LedgerEntry {
	return LedgerEntry{Requests: e.Requests + other.Requests, Tokens: e.Tokens + other.Tokens, PrefillTokens: e.PrefillTokens + other.PrefillTokens}
}

func (c *Core) receivePeerLedger(now time.Time, msg PeerLedger) {
	if msg.RegionTotal {
		c.regionLedgers.replace(now, msg.Source, msg.Entries)
		return
	}
	c.peerLedgers.replace(now, msg.Source, msg.Entries)
}

// otherLoad sums up what other VMs told of a server. It reports false when none
// told anything lately.
func (c *Core) otherLoad(id string) (LedgerEntry, bool) {
	return c.peerLedgers.total[id].plus(c.regionLedgers.total[id]), len(c.peerLedgers.bySource)+len(c.regionLedgers.bySource) > 0
}
