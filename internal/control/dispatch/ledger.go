package dispatch

import "time"

const (
	// tellEvery bounds how often the ledger is told when it changes, and
	// tellAtLeast how long it is not told when it does not.
	tellEvery   = 20 * time.Millisecond
	tellAtLeast = time.Second
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

// tell hands out the ledger when it is due.
func (c *Core) tell(now time.Time) {
	age := now.Sub(c.toldAt)
	if age < tellEvery || !c.changed && age < tellAtLeast {
		return
	}
	c.toldAt, c.changed = now, false
	c.act(TellLedger{Entries: c.ledger()})
}

func (c *Core) heardPeer(now time.Time, m PeerLedger) {
	c.peers[m.VM] = peerLedger{entries: m.Entries, toldAt: now}
}

// peersOn sums up what other VMs told of a server. It reports false when no VM
// told anything lately.
func (c *Core) peersOn(now time.Time, id string) (Entry, bool) {
	var sum Entry
	any := false
	for vm, p := range c.peers {
		if now.Sub(p.toldAt) > peerFresh {
			delete(c.peers, vm)
			continue
		}
		any = true
		e := p.entries[id]
		sum.Requests += e.Requests
		sum.Tokens += e.Tokens
		sum.Reading += e.Reading
	}
	return sum, any
}
