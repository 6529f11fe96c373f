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
	// failureDecay is the weight of the previous average in a server's failure rate.
	failureDecay = 0.9
	// ejectFailureRate is the failure rate above which a server is ejected.
	ejectFailureRate = 0.5
	// ejectDuration is how long a server is ejected after its last failure.
	ejectDuration = 2 * time.Second
	// shedBackoff is how long a server is avoided after it shed a request.
	shedBackoff = 150 * time.Millisecond
	// connectBackoff is how long a server that could not be reached is avoided. It
	// doubles with each further failure, up to maxBackoffDoublings times.
	connectBackoff      = 1500 * time.Millisecond
	maxBackoffDoublings = 3
	// loadReportTTL is how long a load report of a server is used.
	loadReportTTL = 5 * time.Second
	// overrunDivisor: output longer than expected is assumed to grow by another
	// fourth.
	overrunDivisor = 4
	// plainServiceTime is the estimated time of one request of a plain service.
	plainServiceTime = 40 * time.Millisecond
	// prefillTokensPerMs is the estimated prefill rate of an engine.
	prefillTokensPerMs = 14
	// batchedRequestCost is the delay that each request in the batch adds to every
	// token.
	batchedRequestCost = 2 * time.Millisecond
	// fullCost is added for a server without free slots and, scaled by the missing
	// memory, for one without enough free memory. It makes full servers the last
	// choice among those that can be reached.
	fullCost = 20 * time.Second
	// coldCost is added while a server is still slow after its start.
	coldCost = 50 * time.Millisecond
	// avoidCost is added while a server is in backoff, and again while it is
	// ejected.
	avoidCost = 60 * time.Second
	// regionRTT is a round trip to another region, dataCentreRTT one to
	// another data centre of the region.
	regionRTT     = 60 * time.Millisecond
	dataCentreRTT = time.Millisecond
	// remoteStreamCost is added for a stream on a server in another region, from
	// which it cannot be migrated in time. Another data centre of the region adds
	// half of it.
	remoteStreamCost = 400 * time.Millisecond
)

// placeRequest emits Placed or Refused for a request.
func (c *Core) placeRequest(now time.Time, msg PlaceRequest) {
	if refused, ok := c.checkQuarantine(now, msg); ok {
		c.emit(refused)
		return
	}
	budget := c.retryBudget(msg.Service)
	if msg.Retry && !budget.allowsRetry(now, c.opts.RetrySlack/float64(max(minFleetSize, c.fleetSize))) {
		c.emit(Refused{ID: msg.ID, Cause: outcome.RetryBudget, RetryAt: now.Add(time.Second)})
		return
	}
	req := &request{PlaceRequest: msg, placedAt: now}
	if c.mayWait(req) {
		c.enqueue(now, req)
		return
	}
	srv := c.chooseServer(now, req, msg.Excluded)
	if srv == nil {
		c.emit(c.refuseWithoutServer(now, msg))
		return
	}
	c.assign(now, req, srv)
}

// assign places a request on a server.
func (c *Core) assign(now time.Time, req *request, srv *server) {
	queuedAt := req.placedAt
	req.placedAt = now
	c.sentTo(now, srv)
	if budget := c.retryBudget(req.Service); req.Retry {
		budget.retries.add(now)
	} else {
		budget.requests.add(now)
	}
	c.emit(Placed{ID: req.ID, Server: srv.Server, Load: c.estimateLoad(now, srv), QueuedAt: queuedAt})
	req.assigned = srv
	srv.requests[req.ID] = req
	c.requests[req.ID] = req
	c.markLedgerChanged()
}

// ejected reports whether a server fails too many requests. After ejectDuration
// without a failure it gets requests again, and a further failure ejects it again
// while its failure rate is still high.
func (s *server) ejected(now time.Time) bool {
	return s.failureRate > ejectFailureRate && now.Sub(s.lastFailureAt) < ejectDuration
}

// chooseServer returns the server with the least expected delay for a request, or
// nil when the service has none.
func (c *Core) chooseServer(now time.Time, req *request, excluded []string) *server {
	return c.cheapestServer(now, req.Service, req.Homes, excluded, costEstimate{
		lowerBound: func(s *server) time.Duration { return s.distanceCost(req.Kind) },
		total:      func(s *server) time.Duration { return c.cost(now, s, req) },
	})
}

// costEstimate computes the cost of a server for a request. lowerBound is cheap to
// compute and never exceeds total.
type costEstimate struct {
	lowerBound, total func(*server) time.Duration
}

// cheapestServer returns the server of a service with the least cost that may get a request and is
// not excluded, or nil when there is none.
func (c *Core) cheapestServer(now time.Time, service string, homes routing.Homes, excluded []string, estimate costEstimate) *server {
	var best *server
	var least time.Duration
	for _, s := range c.servers {
		if s.Service != service || c.obstacle(now, s, homes) != none || slices.Contains(excluded, s.ID) {
			continue
		}
		if best != nil && estimate.lowerBound(s) > least {
			continue
		}
		cost := estimate.total(s)
		if best == nil || cost < least || cost == least && s.precedes(best) {
			best, least = s, cost
		}
	}
	return best
}

// precedes reports whether s is chosen before another server of equal cost. The
// order differs between VMs, so that VMs without each other's ledgers do not all
// choose the same servers.
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

// cost is the expected delay of a request at a server.
func (c *Core) cost(now time.Time, srv *server, req *request) time.Duration {
	cost := srv.distanceCost(req.Kind)
	if srv.isCold(now) {
		cost += coldCost
	}
	if now.Before(srv.avoidUntil) || srv.rampedUp(now) {
		cost += avoidCost
	}
	if srv.ejected(now) || c.isFailing(now, srv) {
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

// distanceCost is the part of the cost that depends on the location of a server: the
// round trip and, for a stream, the risk that it cannot be migrated from there in
// time.
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
	cost := time.Duration(load.OwnRequests+load.OtherRequests)*batchedRequestCost +
		time.Duration(load.PrefillTokens)*time.Millisecond/prefillTokensPerMs
	if over := load.Tokens + req.peakTokens() - engine.CapacityTokens; over > 0 {
		// Grows with the overload, so that the least loaded server is chosen when
		// none has room.
		cost += fullCost * time.Duration(over) / time.Duration(max(1, engine.CapacityTokens))
		cost += remoteStreamCost
	}
	if load.OwnRequests+load.OtherRequests >= engine.Slots {
		cost += fullCost
	}
	return cost
}

// currentOtherRequests is the number of requests of other VMs on a server, from its
// last load report; 0 when that is older than loadReportTTL.
func (s *server) currentOtherRequests(now time.Time) int {
	if now.Sub(s.loadReportedAt) > loadReportTTL {
		return 0
	}
	return s.otherRequests
}

// estimateLoad estimates the load of a server. The ledgers of other VMs are used
// rather than the load report of the server, as they are newer.
func (c *Core) estimateLoad(now time.Time, srv *server) LoadEstimate {
	load := LoadEstimate{
		OwnRequests: len(srv.requests), OtherRequests: srv.currentOtherRequests(now), ReportedAt: srv.loadReportedAt,
	}
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

// meanRequestTokens is the mean KV cache size of this VM's requests of a service. It
// is the estimate for requests of other VMs whose ledgers are missing.
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

// findTarget chooses a server for a copy of a stream's KV cache and reserves room
// there.
func (c *Core) findTarget(now time.Time, msg FindTarget) {
	req, ok := c.requests[msg.ID]
	if !ok {
		c.emit(Target{ID: msg.ID})
		return
	}
	req.releaseTarget()
	excluded := append(slices.Clone(msg.Excluded), req.assigned.ID)
	best := c.cheapestServer(now, req.Service, msg.Homes, excluded, costEstimate{
		lowerBound: func(s *server) time.Duration { return c.targetDistanceCost(s, req) },
		total:      func(s *server) time.Duration { return c.targetCost(now, s, req) },
	})
	if best == nil {
		c.emit(Target{ID: msg.ID})
		return
	}
	req.target = best
	best.reservations[req.ID] = req
	c.markLedgerChanged()
	c.emit(Target{ID: msg.ID, Found: true, Server: best.Server})
}

// targetCost is the expected delay of a stream that migrates to a server. Transfers
// out of the stream's data centre finish too late, so servers in it are tried first
// even when they may be full. Transfers to one server are queued.
func (c *Core) targetCost(now time.Time, srv *server, req *request) time.Duration {
	cost := c.cost(now, srv, req) - srv.distanceCost(req.Kind) + c.targetDistanceCost(srv, req)
	return cost + time.Duration(len(srv.reservations))*copyCost
}

func (c *Core) targetDistanceCost(srv *server, req *request) time.Duration {
	switch {
	case srv.DataCentre == req.assigned.DataCentre:
		return 0
	case c.opts.Regions[srv.DataCentre] == c.opts.Regions[req.assigned.DataCentre]:
		return remoteTargetCost
	}
	return 2 * remoteTargetCost
}

const (
	// copyCost is the time that one copy takes on the link of a server.
	copyCost = 150 * time.Millisecond
	// remoteTargetCost exceeds every other cost of a server that can be reached.
	remoteTargetCost = time.Hour
)
