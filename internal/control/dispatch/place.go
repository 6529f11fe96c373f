package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

const (
	// failureMemory is the weight of the past in a server's share of failures.
	failureMemory = 0.9
	// ejectShare is the share of failures from which on a server is avoided.
	ejectShare = 0.5
	// ejectPause is how long a server that fails is left alone.
	ejectPause = 2 * time.Second
	// shedPause keeps requests from a server that was full a moment ago.
	shedPause = 150 * time.Millisecond
	// unreachedPause keeps requests from a server that could not be reached; it
	// doubles up to mostDoublings times while that stays so.
	unreachedPause = 1500 * time.Millisecond
	mostDoublings  = 3
	// heardFor is how long a server's word on its load is used.
	heardFor = 5 * time.Second
	// overrunShare: an answer longer than guessed grows by a fourth more.
	overrunShare = 4
	// plainWork is the guess for one request of a plain service.
	plainWork = 40 * time.Millisecond
	// prefillRate is the guess for how many prompt tokens are read in a ms.
	prefillRate = 14
	// stepCost is what one more running request adds to each token.
	stepCost = 2 * time.Millisecond
	// fullCost makes a server without room the last choice.
	fullCost = 20 * time.Second
	// coldCost is added while a server is slow after its start.
	coldCost = 50 * time.Millisecond
	// avoidCost is added while a server is avoided.
	avoidCost = 60 * time.Second
	// regionTrip is a round trip to another region, dataCentreTrip one to
	// another data centre of the region.
	regionTrip     = 60 * time.Millisecond
	dataCentreTrip = time.Millisecond
	// strayCost weighs a stream's server in another region, from which it
	// cannot move in time, or in another data centre.
	strayCost = 400 * time.Millisecond
)

// ask places a request or refuses it.
func (c *Core) ask(now time.Time, a Ask) {
	b := c.budget(a.Service)
	if a.Repeat && !b.allows(now, c.opts.RetrySlack/float64(max(leastFleet, c.fleet))) {
		c.act(Refused{ID: a.ID, Cause: outcome.RetryBudget, RetryAt: now.Add(time.Second)})
		return
	}
	r := &run{Ask: a, placedAt: now}
	s := c.choose(now, r, a.Tried)
	if s == nil {
		c.act(Refused{ID: a.ID, Cause: outcome.NoReplica, RetryAt: now.Add(time.Second)})
		return
	}
	if a.Repeat {
		b.repeats.add(now, 1)
	} else {
		b.requests.add(now, 1)
	}
	c.act(Placed{ID: a.ID, Server: s.Server, Load: c.view(now, s)})
	r.on = s
	s.runs[a.ID] = r
	c.runs[a.ID] = r
	c.changed = true
}

// ejected reports whether a server fails too many requests. After a pause it
// gets one again, and more once it serves them.
func (s *server) ejected(now time.Time) bool {
	return s.fails > ejectShare && now.Sub(s.failedAt) < ejectPause
}

// choose returns the server on which a request is expected to be served first,
// or nil when the service has none.
func (c *Core) choose(now time.Time, r *run, tried []string) *server {
	return c.cheapest(r.Service, tried, price{
		floor: func(s *server) time.Duration { return s.distance(r.Kind) },
		whole: func(s *server) time.Duration { return c.cost(now, s, r) },
	})
}

// price is what a server costs a request; floor is quick to find and never more
// than the whole.
type price struct {
	floor, whole func(*server) time.Duration
}

// cheapest returns the server of a service that costs least and neither leaves
// nor is excluded; nil when there is none.
func (c *Core) cheapest(service string, excluded []string, p price) *server {
	var best *server
	var least time.Duration
	for _, s := range c.servers {
		if s.Service != service || s.Leaving || slices.Contains(excluded, s.ID) {
			continue
		}
		if best != nil && p.floor(s) > least {
			continue
		}
		x := p.whole(s)
		if best == nil || x < least || x == least && s.before(best) {
			best, least = s, x
		}
	}
	return best
}

// before orders servers that cost the same, differently at each VM: those that
// have not heard of each other yet must not all choose the same ones.
func (s *server) before(o *server) bool {
	if s.rank != o.rank {
		return s.rank < o.rank
	}
	return s.ID < o.ID
}

func rank(vm, id string) uint64 {
	h := sha256.Sum256([]byte(vm + "\x00" + id))
	return binary.BigEndian.Uint64(h[:])
}

// cost is the time that a request loses at a server, as far as known.
func (c *Core) cost(now time.Time, s *server, r *run) time.Duration {
	cost := s.distance(r.Kind)
	if now.Before(s.ColdUntil) {
		cost += coldCost
	}
	if now.Before(s.avoidUntil) {
		cost += avoidCost
	}
	if s.ejected(now) {
		cost += avoidCost
	}
	if s.engine != nil {
		return cost + c.engineCost(now, s, r)
	}
	busy := len(s.runs) + s.othersNow(now)
	cost += time.Duration(s.fails * float64(regionTrip))
	if over := busy + 1 - s.Slots; over > 0 {
		cost += time.Duration(over) * plainWork / time.Duration(s.Slots)
	}
	return cost + time.Duration(busy)*time.Millisecond
}

// distance is what a request loses by going to a server, for its way and, if it
// is a stream, as it cannot move from there in time.
func (s *server) distance(k routing.Kind) time.Duration {
	switch {
	case s.place == sameDataCentre:
		return 0
	case s.place == sameRegion && k == routing.Streaming:
		return dataCentreTrip + strayCost/2
	case s.place == sameRegion:
		return dataCentreTrip
	case k == routing.Streaming:
		return regionTrip + strayCost
	}
	return regionTrip
}

func (c *Core) engineCost(now time.Time, s *server, r *run) time.Duration {
	v, e := c.view(now, s), s.engine
	cost := time.Duration(v.Own+v.Others)*stepCost + time.Duration(v.Reading)*time.Millisecond/prefillRate
	if over := v.Tokens + r.peak() - e.CapacityTokens; over > 0 {
		// The fuller, the later: where none has room the emptiest is best.
		cost += fullCost * time.Duration(over) / time.Duration(max(1, e.CapacityTokens))
		cost += strayCost
	}
	if v.Own+v.Others >= e.Slots {
		cost += fullCost
	}
	return cost
}

// othersNow is how many requests of other VMs a server has, as last heard.
func (s *server) othersNow(now time.Time) int {
	if now.Sub(s.heardAt) > heardFor {
		return 0
	}
	return s.others
}

// view sums up what is believed of a server. What other VMs tell is newer than
// what the server said with an answer.
func (c *Core) view(now time.Time, s *server) View {
	v := View{Own: len(s.runs), Others: s.othersNow(now), HeardAt: s.heardAt}
	if s.engine == nil {
		return v
	}
	own := s.entry()
	v.Capacity, v.Tokens, v.Reading = s.engine.CapacityTokens, own.Tokens, own.Reading
	if others, ok := c.othersOn(s.ID); ok {
		v.Tokens += others.Tokens
		v.Reading += others.Reading
		v.Others = others.Requests
		return v
	}
	v.Tokens += v.Others * c.meanTokens(s.Service)
	return v
}

// meanTokens is the mean memory of this VM's requests of a service, which
// stands in for those of other VMs.
func (c *Core) meanTokens(service string) int {
	sum, n := 0, 0
	for _, r := range c.runs {
		if r.Service == service {
			sum += r.tokens()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// wantTarget finds a server for the copy of a stream and holds room there.
func (c *Core) wantTarget(now time.Time, m WantTarget) {
	r, ok := c.runs[m.ID]
	if !ok {
		c.act(Target{ID: m.ID})
		return
	}
	r.dropTarget()
	excluded := append(slices.Clone(m.Refused), r.on.ID)
	best := c.cheapest(r.Service, excluded, price{
		floor: func(s *server) time.Duration { return c.targetDistance(s, r) },
		whole: func(s *server) time.Duration { return c.targetCost(now, s, r) },
	})
	if best == nil {
		c.act(Target{ID: m.ID})
		return
	}
	r.target = best
	best.copies[r.ID] = r
	c.changed = true
	c.act(Target{ID: m.ID, Found: true, Server: best.Server})
}

// targetCost is what a stream loses by moving to a server: transfers beyond
// the data centre of its memory come too late, so that a server there that may
// be full is tried first; transfers to one server queue.
func (c *Core) targetCost(now time.Time, s *server, r *run) time.Duration {
	cost := c.cost(now, s, r) - s.distance(r.Kind) + c.targetDistance(s, r)
	return cost + time.Duration(len(s.copies))*copyCost
}

func (c *Core) targetDistance(s *server, r *run) time.Duration {
	switch {
	case s.DataCentre == r.on.DataCentre:
		return 0
	case c.opts.Regions[s.DataCentre] == c.opts.Regions[r.on.DataCentre]:
		return farTarget
	}
	return 2 * farTarget
}

const (
	// copyCost is the time of one copy on the link of a server.
	copyCost = 150 * time.Millisecond
	// farTarget exceeds every cost of a server that can be reached.
	farTarget = time.Hour
)
