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
	// failureDecay is the weight of the past in a server's share of failures.
	failureDecay = 0.9
	// ejectFailureRate is the share of failures from which on a server is avoided.
	ejectFailureRate = 0.5
	// ejectDuration is how long a server that fails is left alone.
	ejectDuration = 2 * time.Second
	// shedBackoff keeps requests from a server that was full a moment ago.
	shedBackoff = 150 * time.Millisecond
	// connectBackoff keeps requests from a server that could not be reached; it
	// doubles up to mostDoublings times while that stays so.
	connectBackoff      = 1500 * time.Millisecond
	maxBackoffDoublings = 3
	// loadReportTTL is how long a server's word on its load is used.
	loadReportTTL = 5 * time.Second
	// overrunDivisor: an answer longer than guessed grows by a fourth more.
	overrunDivisor = 4
	// plainServiceTime is the guess for one request of a plain service.
	plainServiceTime = 40 * time.Millisecond
	// prefillTokensPerMs is the guess for how many prompt tokens are read in a ms.
	prefillTokensPerMs = 14
	// batchedRequestCost is what one more running request adds to each token.
	batchedRequestCost = 2 * time.Millisecond
	// fullCost makes a server without room the last choice.
	fullCost = 20 * time.Second
	// coldCost is added while a server is slow after its start.
	coldCost = 50 * time.Millisecond
	// avoidCost is added while a server is avoided.
	avoidCost = 60 * time.Second
	// regionRTT is a round trip to another region, dataCentreTrip one to
	// another data centre of the region.
	regionRTT     = 60 * time.Millisecond
	dataCentreRTT = time.Millisecond
	// remoteStreamCost weighs a stream's server in another region, from which it
	// cannot move in time, or in another data centre.
	remoteStreamCost = 400 * time.Millisecond
)

// placeRequest places a request or refuses it.
func (c *Core) placeRequest(now time.Time, msg PlaceRequest) {
	budget := c.retryBudget(msg.Service)
	if msg.Retry && !budget.allowsRetry(now, c.opts.RetrySlack/float64(max(minFleetSize, c.fleetSize))) {
		c.emit(Refused{ID: msg.ID, Cause: outcome.RetryBudget, RetryAt: now.Add(time.Second)})
		return
	}
	req := &request{PlaceRequest: msg, placedAt: now}
	srv := c.chooseServer(now, req, msg.Excluded)
	if srv == nil {
		c.emit(Refused{ID: msg.ID, Cause: outcome.NoReplica, RetryAt: now.Add(time.Second)})
		return
	}
	if msg.Retry {
		budget.retries.add(now, 1)
	} else {
		budget.requests.add(now, 1)
	}
	c.emit(Placed{ID: msg.ID, Server: srv.Server, Load: c.estimateLoad(now, srv)})
	req.server = srv
	srv.requests[msg.ID] = req
	c.requests[msg.ID] = req
	c.ledgerChanged = true
}

// ejected reports whether a server fails too many requests. After a pause it
// gets one again, and more once it serves them.
func (s *server) ejected(now time.Time) bool {
	return s.failureRate > ejectFailureRate && now.Sub(s.lastFailureAt) < ejectDuration
}

// chooseServer returns the server on which a request is expected to be served first,
// or nil when the service has none.
func (c *Core) chooseServer(now time.Time, req *request, excluded []string) *server {
	return c.cheapestServer(req.Service, excluded, costEstimate{
		lowerBound: func(s *server) time.Duration { return s.distanceCost(req.Kind) },
		total:      func(s *server) time.Duration { return c.cost(now, s, req) },
	})
}

// costEstimate is what a server costs a request; floor is quick to find and never more
// than the whole.
type costEstimate struct {
	lowerBound, total func(*server) time.Duration
}

// cheapestServer returns the server of a service that costs least and neither leaves
// nor is excluded; nil when there is none.
func (c *Core) cheapestServer(service string, excluded []string, estimate costEstimate) *server {
	var best *server
	var least time.Duration
	for _, s := range c.servers {
		if s.Service != service || s.Leaving || slices.Contains(excluded, s.ID) {
			continue
		}
		if best != nil && estimate.lowerBound(s) > least {
			continue
		}
		x := estimate.total(s)
		if best == nil || x < least || x == least && s.precedes(best) {
			best, least = s, x
		}
	}
	return best
}

// precedes orders servers that cost the same, differently at each VM: those that
// have not heard of each other yet must not all choose the same ones.
func (s *server) precedes(other *server) bool {
	if s.tieBreak != other.tieBreak {
		return s.tieBreak < other.tieBreak
	}
	return s.ID < other.ID
}

func tieBreakHash(vm, id string) uint64 {
	h := sha256.Sum256([]byte(vm + "\x00" + id))
	return binary.BigEndian.Uint64(h[:])
}

// cost is the time that a request loses at a server, as far as known.
func (c *Core) cost(now time.Time, srv *server, req *request) time.Duration {
	cost := srv.distanceCost(req.Kind)
	if now.Before(srv.ColdUntil) {
		cost += coldCost
	}
	if now.Before(srv.avoidUntil) {
		cost += avoidCost
	}
	if srv.ejected(now) {
		cost += avoidCost
	}
	if srv.engine != nil {
		return cost + c.engineCost(now, srv, req)
	}
	busy := len(srv.requests) + srv.currentOtherRequests(now)
	cost += time.Duration(srv.failureRate * float64(regionRTT))
	if over := busy + 1 - srv.Slots; over > 0 {
		cost += time.Duration(over) * plainServiceTime / time.Duration(srv.Slots)
	}
	return cost + time.Duration(busy)*time.Millisecond
}

// distanceCost is what a request loses by going to a server, for its way and, if it
// is a stream, as it cannot move from there in time.
func (s *server) distanceCost(kind routing.Kind) time.Duration {
	switch {
	case s.proximity == sameDataCentre:
		return 0
	case s.proximity == sameRegion && kind == routing.Streaming:
		return dataCentreRTT + remoteStreamCost/2
	case s.proximity == sameRegion:
		return dataCentreRTT
	case kind == routing.Streaming:
		return regionRTT + remoteStreamCost
	}
	return regionRTT
}

func (c *Core) engineCost(now time.Time, srv *server, req *request) time.Duration {
	load, engine := c.estimateLoad(now, srv), srv.engine
	cost := time.Duration(load.OwnRequests+load.OtherRequests)*batchedRequestCost + time.Duration(load.PrefillTokens)*time.Millisecond/prefillTokensPerMs
	if over := load.Tokens + req.peakTokens() - engine.CapacityTokens; over > 0 {
		// The fuller, the later: where none has room the emptiest is best.
		cost += fullCost * time.Duration(over) / time.Duration(max(1, engine.CapacityTokens))
		cost += remoteStreamCost
	}
	if load.OwnRequests+load.OtherRequests >= engine.Slots {
		cost += fullCost
	}
	return cost
}

// currentOtherRequests is how many requests of other VMs a server has, as last heard.
func (s *server) currentOtherRequests(now time.Time) int {
	if now.Sub(s.loadReportedAt) > loadReportTTL {
		return 0
	}
	return s.otherRequests
}

// estimateLoad sums up what is believed of a server. What other VMs tell is newer than
// what the server said with an answer.
func (c *Core) estimateLoad(now time.Time, srv *server) LoadEstimate {
	load := LoadEstimate{OwnRequests: len(srv.requests), OtherRequests: srv.currentOtherRequests(now), ReportedAt: srv.loadReportedAt}
	if srv.engine == nil {
		return load
	}
	own := srv.ledgerEntry()
	load.CapacityTokens, load.Tokens, load.PrefillTokens = srv.engine.CapacityTokens, own.Tokens, own.PrefillTokens
	if others, ok := c.otherLoad(srv.ID); ok {
		load.Tokens += others.Tokens
		load.PrefillTokens += others.PrefillTokens
		load.OtherRequests = others.Requests
		return load
	}
	load.Tokens += load.OtherRequests * c.meanRequestTokens(srv.Service)
	return load
}

// meanRequestTokens is the mean memory of this VM's requests of a service, which
// stands in for those of other VMs.
func (c *Core) meanRequestTokens(service string) int {
	sum, n := 0, 0
	for _, r := range c.requests {
		if r.Service == service {
			sum += r.cachedTokens()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// findTarget finds a server for the copy of a stream and holds room there.
func (c *Core) findTarget(now time.Time, msg FindTarget) {
	req, ok := c.requests[msg.ID]
	if !ok {
		c.emit(Target{ID: msg.ID})
		return
	}
	req.releaseTarget()
	excluded := append(slices.Clone(msg.Excluded), req.server.ID)
	best := c.cheapestServer(req.Service, excluded, costEstimate{
		lowerBound: func(s *server) time.Duration { return c.targetDistanceCost(s, req) },
		total:      func(s *server) time.Duration { return c.targetCost(now, s, req) },
	})
	if best == nil {
		c.emit(Target{ID: msg.ID})
		return
	}
	req.target = best
	best.reservations[req.ID] = req
	c.ledgerChanged = true
	c.emit(Target{ID: msg.ID, Found: true, Server: best.Server})
}

// targetCost is what a stream loses by moving to a server: transfers beyond
// the data centre of its memory come too late, so that a server there that may
// be full is tried first; transfers to one server queue.
func (c *Core) targetCost(now time.Time, srv *server, req *request) time.Duration {
	cost := c.cost(now, srv, req) - srv.distanceCost(req.Kind) + c.targetDistanceCost(srv, req)
	return cost + time.Duration(len(srv.reservations))*copyCost
}

func (c *Core) targetDistanceCost(srv *server, req *request) time.Duration {
	switch {
	case srv.DataCentre == req.server.DataCentre:
		return 0
	case c.opts.Regions[srv.DataCentre] == c.opts.Regions[req.server.DataCentre]:
		return remoteTargetCost
	}
	return 2 * remoteTargetCost
}

const (
	// copyCost is the time of one copy on the link of a server.
	copyCost = 150 * time.Millisecond
	// remoteTargetCost exceeds every cost of a server that can be reached.
	remoteTargetCost = time.Hour
)
