package dispatch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentohinge/pimentohinge/internal/control/waitlist"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Load pattern of this file: a burst of long prompts over short urgent ones, while engines leave.
// An engine reads prompts one after the other, preempts streams when its memory is full and reads
// their prompts again, and what waits in its queue is lost when it leaves. Requests therefore wait
// in their VM until an engine has room.
//
// All VMs see the same room, some tens or hundreds of milliseconds late. Each takes a part of it
// that is in proportion to its part of all waiting requests, which the ledgers contain.

const (
	// placeInterval is the interval at which waiting requests are tried.
	placeInterval = 50 * time.Millisecond
	// maxSkipped bounds the requests without room that are overtaken by later ones in one pass.
	maxSkipped = 6
	// urgentInRow is how many requests go before a less urgent one that waits.
	urgentInRow = 8
	// minStartTime is the least time from the placement of a request to its first event.
	minStartTime = 300 * time.Millisecond
	// claimPeriod is the time for which a VM takes its part of the room of an engine once: about as
	// long as it takes until the ledgers of all VMs show it.
	claimPeriod = 400 * time.Millisecond
	// prefillShare is the part of its latency target for which a request may wait for an engine to
	// read other prompts.
	prefillShare = 1.0 / 3
	// urgentMemoryDivisor is the part of an engine's memory that is left to urgent requests: one
	// tenth.
	urgentMemoryDivisor = 10
	// waitingPrefix begins the names of the ledger entries for waiting requests, and maxRanks bounds
	// their ranks.
	waitingPrefix = "waiting/"
	maxRanks      = 32
)

// waiting holds the requests of one service that wait for an engine.
type waiting struct {
	list *waitlist.List[*request]
	// skipped holds the requests without room in the current pass.
	skipped map[*request]bool
	triedAt time.Time
}

func (c *Core) waitingFor(service string) *waiting {
	w, ok := c.waiting[service]
	if !ok {
		w = &waiting{skipped: map[*request]bool{}, list: waitlist.New(waitlist.Options{UrgentInRow: urgentInRow}, (*request).waitlistItem)}
		c.waiting[service] = w
	}
	return w
}

func (r *request) waitlistItem() waitlist.Item {
	return waitlist.Item{Urgency: r.Urgency, Workspace: r.Workspace, LateAt: r.LateAt, Tokens: float64(r.peakTokens())}
}

// rank orders waiting requests of all VMs as waitlist does those of one: lower ranks go first.
func (r *request) rank(now time.Time) int {
	rank := min(r.Urgency, maxRanks/2-1)
	if r.waitlistItem().IsLate(now) {
		rank += maxRanks / 2
	}
	return rank
}

// mayWait reports whether a request waits until an engine has room.
func (c *Core) mayWait(req *request) bool {
	return c.services[req.Service].Engine != nil && !req.AbandonAt.IsZero()
}

// enqueue lets a request wait and tries to place those that wait.
func (c *Core) enqueue(now time.Time, req *request) {
	w := c.waitingFor(req.Service)
	w.list.Push(req)
	c.waitingByID[req.ID] = req
	c.tryWaiting(now, w)
}

// dropWaiting removes a request that waits.
func (c *Core) dropWaiting(id uint64) {
	req, ok := c.waitingByID[id]
	if !ok {
		return
	}
	delete(c.waitingByID, id)
	c.waitingFor(req.Service).list.Remove(req)
	c.markLedgerChanged()
}

// homesChanged replaces the homes of waiting requests and tries to place those that wait.
func (c *Core) homesChanged(now time.Time, homes map[uint64]routing.Homes) {
	for id, regions := range homes {
		if req, ok := c.waitingByID[id]; ok {
			req.Homes = regions
		}
	}
	for _, service := range slices.Sorted(maps.Keys(c.waiting)) {
		c.tryWaiting(now, c.waiting[service])
	}
}

// placeWaiting tries to place waiting requests, if it is time, and refuses those that cannot start
// before their callers give up or whose prompts were quarantined meanwhile.
func (c *Core) placeWaiting(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(c.waiting)) {
		w := c.waiting[service]
		if w.list.Len() == 0 || now.Sub(w.triedAt) < placeInterval {
			continue
		}
		for _, req := range slices.Clone(w.list.All()) {
			if refused, ok := c.quarantineRefusal(now, req.PlaceRequest); ok {
				c.dropWaiting(req.ID)
				c.emit(refused)
				continue
			}
			if !now.Before(req.AbandonAt.Add(-minStartTime)) {
				c.dropWaiting(req.ID)
				c.emit(Refused{
					ID: req.ID, Cause: outcome.QueuedBehind, RetryAt: now.Add(noServerRetryDelay + spread(req.ID)),
					Detail: fmt.Sprintf("waited %v, %d others wait", now.Sub(req.placedAt).Round(time.Millisecond), w.list.Len()),
				})
			}
		}
		c.tryWaiting(now, w)
	}
}

// tryWaiting places waiting requests in order until none is left or too many have no room.
func (c *Core) tryWaiting(now time.Time, w *waiting) {
	w.triedAt = now
	defer clear(w.skipped)
	for len(w.skipped) <= maxSkipped {
		req, ok := w.list.Next(now, func(r *request) bool { return !w.skipped[r] })
		if !ok {
			return
		}
		srv, usable := c.engineWithRoom(now, req, c.competition(now, req, w))
		switch {
		case srv != nil:
			delete(c.waitingByID, req.ID)
			w.list.Placed(req, 1)
			srv.claim(now)
			c.assign(now, req, srv)
		case usable:
			w.skipped[req] = true
			c.markLedgerChanged()
		default:
			c.dropWaiting(req.ID)
			c.emit(c.refuseWithoutServer(now, req.PlaceRequest))
		}
	}
}

// competition is what else waits for the engines of a request.
type competition struct {
	// ahead is the number of requests at other VMs that go first, for each engine.
	ahead float64
	// own and others are the numbers of requests of the same rank of this VM and of other VMs.
	own, others int
}

func (c *Core) competition(now time.Time, req *request, w *waiting) competition {
	rank, engines := req.rank(now), 0
	for _, s := range c.servers {
		if s.Service == req.Service && !s.Leaving {
			engines++
		}
	}
	ahead := 0
	for lower := range rank {
		others, _ := c.otherLoad(waitingKey(req.Service, lower))
		ahead += max(0, others.Requests)
	}
	same, _ := c.otherLoad(waitingKey(req.Service, rank))
	out := competition{ahead: float64(ahead) / float64(max(1, engines)), others: max(0, same.Requests)}
	for _, r := range w.list.All() {
		if r.rank(now) == rank {
			out.own++
		}
	}
	return out
}

// waitingKey returns the name of the ledger entry for the waiting requests of a rank.
func waitingKey(service string, rank int) string {
	return waitingPrefix + service + "/" + strconv.Itoa(rank)
}

// addWaiting adds the waiting requests of this VM to its ledger.
func (c *Core) addWaiting(now time.Time, ledger map[string]LedgerEntry) {
	for service, w := range c.waiting {
		for _, r := range w.list.All() {
			key := waitingKey(service, r.rank(now))
			ledger[key] = ledger[key].plus(LedgerEntry{Requests: 1})
		}
	}
}

// engineWithRoom returns the cheapest engine that has room for a request. Engines that fail or
// cannot be reached are used only if there are no others, and then without regard to their room.
// It reports whether the service has an engine that may get the request at all.
func (c *Core) engineWithRoom(now time.Time, req *request, others competition) (best *server, usable bool) {
	var fallback *server
	var least, fallbackLeast time.Duration
	sound := false
	for _, s := range c.servers {
		if s.Service != req.Service || c.obstacle(now, s, req.Homes) != none || slices.Contains(req.Excluded, s.ID) {
			continue
		}
		usable = true
		if c.isAvoided(now, s) {
			if cost := c.cost(now, s, req); fallback == nil || cost < fallbackLeast || cost == fallbackLeast && s.precedes(fallback) {
				fallback, fallbackLeast = s, cost
			}
			continue
		}
		sound = true
		if best != nil && s.distanceCost(req.Kind) > least || !c.takesPart(now, s, c.roomFor(now, s, req), others) {
			continue
		}
		if cost := c.cost(now, s, req); best == nil || cost < least || cost == least && s.precedes(best) {
			best, least = s, cost
		}
	}
	if !sound {
		return fallback, usable
	}
	return best, usable
}

// isAvoided reports whether a server fails or could not be reached lately.
func (c *Core) isAvoided(now time.Time, s *server) bool {
	return now.Before(s.avoidUntil) || s.rampedUp(now) || s.ejected(now) || c.isFailing(now, s)
}

// roomFor returns how many requests like the given one an engine has room for: in its memory, in
// its batch, and among the prompts that it has to read. A server that has become one of a plain service
// has room for all that still wait.
func (c *Core) roomFor(now time.Time, s *server, req *request) int {
	if s.engine == nil {
		return math.MaxInt32
	}
	load := c.estimateLoad(now, s)
	requests := load.OwnRequests + load.OtherRequests
	capacity := s.engine.CapacityTokens
	if req.Yields {
		capacity -= capacity / urgentMemoryDivisor
	}
	memory := (capacity - load.Tokens) / max(1, req.averageTokens())
	if requests == 0 {
		// One that is larger than the memory is refused by the engine.
		memory = max(memory, 1)
	}
	unread := int(float64(req.LatencyTarget.Milliseconds())*prefillTokensPerMs*prefillShare) - load.PrefillTokens
	if req.Yields {
		unread = req.PromptTokens/2 - load.PrefillTokens
	}
	prompts := (unread + req.PromptTokens - 1) / max(1, req.PromptTokens)
	return min(memory, prompts, s.engine.Slots-requests)
}

// takesPart reports whether this VM takes some of the room of an engine.
func (c *Core) takesPart(now time.Time, s *server, room int, others competition) bool {
	left := float64(room) - others.ahead
	if room < 1 || left <= 0 {
		return false
	}
	if others.others == 0 {
		return true
	}
	part := left * float64(others.own) / float64(others.own+others.others)
	period := claimPeriodOf(now)
	claimed := 0
	if s.claimedIn == period {
		claimed = s.claimed
	}
	draw := float64(xxhash.Sum64String(fmt.Sprint(c.opts.VM, s.ID, period))>>11) / (1 << 53)
	return float64(claimed)+draw < part
}

func claimPeriodOf(now time.Time) int64 { return now.UnixNano() / int64(claimPeriod) }

// claim counts a waiting request that is placed on the server.
func (s *server) claim(now time.Time) {
	if period := claimPeriodOf(now); s.claimedIn != period {
		s.claimedIn, s.claimed = period, 0
	}
	s.claimed++
}
