package dispatch

import (
	"maps"
	"time"
)

const (
	// minPublishInterval and publishIntervalPerVM, the latter times the number of VMs
	// concerned, are lower bounds of the interval at which a ledger that changes is
	// published: a gatherer receives as many ledgers of VMs as there are in its data centre,
	// and sends as many sums.
	minPublishInterval   = 20 * time.Millisecond
	publishIntervalPerVM = time.Millisecond
	// maxPublishInterval applies when a ledger does not change, and to the sum of the other
	// data centres.
	maxPublishInterval = 500 * time.Millisecond
	// peerLedgerTTL is how long a ledger is used after it was received.
	peerLedgerTTL = 3 * time.Second
	// completeSource is the source of a complete ledger.
	completeSource = ""
)

// receivedLedger is the last ledger of another VM or region.
type receivedLedger struct {
	entries    map[string]LedgerEntry
	receivedAt time.Time
	number     int64
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

// replace stores a new ledger in place of the previous one of its source. A complete
// ledger replaces those of all sources, and is replaced by that of any.
func (l *ledgerSet) replace(now time.Time, msg PeerLedger) {
	source := msg.Source
	if msg.Complete {
		source = completeSource
		clear(l.bySource)
		clear(l.total)
	} else {
		l.remove(completeSource)
	}
	l.remove(source)
	l.bySource[source] = receivedLedger{entries: msg.Entries, receivedAt: now, number: msg.Number}
	for id, e := range msg.Entries {
		l.add(id, e)
	}
}

func (l *ledgerSet) remove(source string) {
	for id, e := range l.bySource[source].entries {
		l.add(id, LedgerEntry{}.Minus(e))
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
	c.addWaiting(now, out)
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

// markLedgerChanged records that the ledger of this VM has changed.
func (c *Core) markLedgerChanged() {
	c.changed[ScopeVM], c.changed[ScopeDataCentre] = true, true
}

// publishLedgers emits the ledgers that are due. Which VMs get them, if any, is decided
// where they are sent.
func (c *Core) publishLedgers(now time.Time) {
	if c.publishDue(now, ScopeVM) {
		c.emit(PublishLedger{Scope: ScopeVM, Entries: c.ownLedger(now)})
	}
	if c.publishDue(now, ScopeDataCentre) {
		c.emit(PublishLedger{Scope: ScopeDataCentre, Entries: c.dataCentreTotal(now), Included: c.peerLedgers.numbers()})
	}
	if c.publishDue(now, ScopeRemote) {
		c.emit(PublishLedger{Scope: ScopeRemote, Entries: maps.Clone(c.remoteLedgers.total)})
	}
}

// publishDue reports whether a ledger must be published now, and records that it is.
func (c *Core) publishDue(now time.Time, scope LedgerScope) bool {
	if now.Before(c.nextPublish(scope)) {
		return false
	}
	c.publishedAt[scope], c.changed[scope] = now, false
	return true
}

// nextPublish returns when a ledger must be published next.
func (c *Core) nextPublish(scope LedgerScope) time.Time {
	at := c.publishedAt[scope]
	if !c.changed[scope] {
		return at.Add(maxPublishInterval)
	}
	vms := c.localSize
	if scope == ScopeDataCentre {
		vms = len(c.peerLedgers.bySource)
	}
	return at.Add(max(minPublishInterval, min(maxPublishInterval, time.Duration(vms)*publishIntervalPerVM)))
}

// NextTick returns when the next Tick is due. It may become earlier with each message.
func (c *Core) NextTick() time.Time {
	next := c.nextPublish(ScopeVM)
	for _, w := range c.waiting {
		if at := w.triedAt.Add(placeInterval); w.list.Len() > 0 && at.Before(next) {
			next = at
		}
	}
	if at, ok := c.nextEvidence(); ok && at.Before(next) {
		next = at
	}
	for _, scope := range []LedgerScope{ScopeDataCentre, ScopeRemote} {
		if at := c.nextPublish(scope); at.Before(next) {
			next = at
		}
	}
	return next
}

// numbers returns the number of the ledger of each source.
func (l *ledgerSet) numbers() map[string]int64 {
	out := make(map[string]int64, len(l.bySource))
	for source, ledger := range l.bySource {
		out[source] = ledger.number
	}
	return out
}

// dataCentreTotal sums the ledgers of all VMs of this data centre.
func (c *Core) dataCentreTotal(now time.Time) map[string]LedgerEntry {
	out := c.ownLedger(now)
	for id, e := range c.peerLedgers.total {
		out[id] = out[id].plus(e)
	}
	return out
}

// Minus returns e without the load in other.
func (e LedgerEntry) Minus(other LedgerEntry) LedgerEntry {
	return e.plus(LedgerEntry{
		Requests: -other.Requests, Tokens: -other.Tokens, PrefillTokens: -other.PrefillTokens,
		Failed: -other.Failed, Served: -other.Served,
	})
}

func (e LedgerEntry) plus(other LedgerEntry) LedgerEntry {
	return LedgerEntry{
		Requests: e.Requests + other.Requests, Tokens: e.Tokens + other.Tokens,
		PrefillTokens: e.PrefillTokens + other.PrefillTokens, Failed: e.Failed + other.Failed, Served: e.Served + other.Served,
	}
}

func (c *Core) receivePeerLedger(now time.Time, msg PeerLedger) {
	if msg.Remote {
		c.remoteLedgers.replace(now, msg)
		return
	}
	c.peerLedgers.replace(now, msg)
	c.changed[ScopeDataCentre] = true
}

// otherLoad sums the load that other VMs have placed on a server. It reports false
// when no other VM has sent a ledger recently.
func (c *Core) otherLoad(id string) (LedgerEntry, bool) {
	return c.peerLedgers.total[id].plus(c.remoteLedgers.total[id]), len(c.peerLedgers.bySource)+len(c.remoteLedgers.bySource) > 0
}
