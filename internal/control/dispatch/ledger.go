package dispatch

import "time"

const (
	// minPublishInterval and publishIntervalPerPeer, the latter times the number of
	// peers, are lower bounds of the interval at which a ledger that changes is
	// published. maxPublishInterval applies when it does not change.
	minPublishInterval     = 20 * time.Millisecond
	publishIntervalPerPeer = time.Millisecond
	maxPublishInterval     = 500 * time.Millisecond
	// regionPublishInterval is how often the total of the region is sent to other
	// regions.
	regionPublishInterval = 300 * time.Millisecond
	// peerLedgerTTL is how long a ledger is used after it was received.
	peerLedgerTTL = 3 * time.Second
)

// receivedLedger is the last ledger of another VM or region.
type receivedLedger struct {
	entries    map[string]LedgerEntry
	receivedAt time.Time
}

// ledgerSet holds the recent ledgers of other VMs or regions and keeps their sum, so
// that a choice among thousands of servers need not read each ledger.
type ledgerSet struct {
	bySource map[string]receivedLedger
	// total is the sum of the entries in bySource, by server. It has no zero
	// entries.
	total      map[string]LedgerEntry
	lastExpiry time.Time
}

func newLedgerSet() *ledgerSet {
	return &ledgerSet{bySource: map[string]receivedLedger{}, total: map[string]LedgerEntry{}}
}

// replace stores the new ledger of a source in place of its previous one.
func (l *ledgerSet) replace(now time.Time, source string, entries map[string]LedgerEntry) {
	l.remove(source)
	l.bySource[source] = receivedLedger{entries: entries, receivedAt: now}
	for id, e := range entries {
		l.add(id, e)
	}
}

func (l *ledgerSet) remove(source string) {
	for id, e := range l.bySource[source].entries {
		l.add(id, LedgerEntry{
			Requests: -e.Requests, Tokens: -e.Tokens, PrefillTokens: -e.PrefillTokens, Failed: -e.Failed, Served: -e.Served,
		})
	}
	delete(l.bySource, source)
}

func (l *ledgerSet) add(id string, e LedgerEntry) {
	if e = l.total[id].plus(e); e == (LedgerEntry{}) {
		delete(l.total, id)
		return
	}
	l.total[id] = e
}

// expire removes ledgers older than peerLedgerTTL.
func (l *ledgerSet) expire(now time.Time) {
	if now.Sub(l.lastExpiry) < minPublishInterval {
		return
	}
	l.lastExpiry = now
	for source, ledger := range l.bySource {
		if now.Sub(ledger.receivedAt) > peerLedgerTTL {
			l.remove(source)
		}
	}
}

// ownLedger returns the requests, reservations and recent failures of this VM, by
// server.
func (c *Core) ownLedger(now time.Time) map[string]LedgerEntry {
	out := map[string]LedgerEntry{}
	add := func(s *server) {
		if s == nil || c.servers[s.ID] != s || s.engine == nil {
			return
		}
		if _, done := out[s.ID]; !done {
			e := s.ledgerEntry()
			_, e.Served = s.recent.counts(now)
			out[s.ID] = e
		}
	}
	for _, r := range c.requests {
		add(r.assigned)
		add(r.target)
	}
	for _, srv := range c.failing {
		failed, served := srv.recent.counts(now)
		if failed == 0 {
			delete(c.failing, srv.ID)
			continue
		}
		e := out[srv.ID]
		e.Failed, e.Served = failed, served
		out[srv.ID] = e
	}
	return out
}

// ledgerEntry sums the requests and reservations of this VM on a server.
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

// averageTokens is the mean KV cache size of a request from now to its end.
func (r *request) averageTokens() int { return (r.cachedTokens() + r.peakTokens()) / 2 }

// publishLedgers emits the ledgers that are due.
func (c *Core) publishLedgers(now time.Time) {
	age := now.Sub(c.publishedAt)
	if age >= maxPublishInterval || c.ledgerChanged &&
		age >= max(minPublishInterval, time.Duration(len(c.peerLedgers.bySource))*publishIntervalPerPeer) {
		c.publishedAt, c.ledgerChanged = now, false
		c.emit(PublishLedger{Entries: c.ownLedger(now)})
	}
	if now.Sub(c.regionPublishedAt) >= regionPublishInterval && c.publishesForRegion() {
		c.regionPublishedAt = now
		c.emit(PublishLedger{RegionTotal: true, PeerCount: len(c.peerLedgers.bySource), Entries: c.regionTotal(now)})
	}
}

// publishesForRegion reports whether this VM sends the total of its region to other
// regions. That is the first VM by name of those with a recent ledger. Two VMs that
// do so at once are harmless.
func (c *Core) publishesForRegion() bool {
	for vm := range c.peerLedgers.bySource {
		if vm < c.opts.VM {
			return false
		}
	}
	return true
}

// regionTotal sums the ledgers of all VMs of this region.
func (c *Core) regionTotal(now time.Time) map[string]LedgerEntry {
	out := c.ownLedger(now)
	for id, e := range c.peerLedgers.total {
		out[id] = out[id].plus(e)
	}
	return out
}

func (e LedgerEntry) plus(other LedgerEntry) LedgerEntry {
	return LedgerEntry{
		Requests: e.Requests + other.Requests, Tokens: e.Tokens + other.Tokens,
		PrefillTokens: e.PrefillTokens + other.PrefillTokens, Failed: e.Failed + other.Failed, Served: e.Served + other.Served,
	}
}

func (c *Core) receivePeerLedger(now time.Time, msg PeerLedger) {
	if msg.RegionTotal {
		c.regionLedgers.replace(now, msg.Source, msg.Entries)
		return
	}
	c.peerLedgers.replace(now, msg.Source, msg.Entries)
}

// otherLoad sums the load that other VMs have placed on a server. It reports false
// when no other VM or region has sent a ledger recently.
func (c *Core) otherLoad(id string) (LedgerEntry, bool) {
	return c.peerLedgers.total[id].plus(c.regionLedgers.total[id]), len(c.peerLedgers.bySource)+len(c.regionLedgers.bySource) > 0
}
