package control

import (
	"math"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

const (
	// shareSlackTokens is the lead that a workspace may have over another one with
	// queued requests, in placed tokens divided by weight.
	shareSlackTokens = 50_000
	// maxSkipped bounds the requests that do not fit and are overtaken by later ones
	// in one pass over a queue.
	maxSkipped = 6
)

// queue holds the requests of one service that wait for an engine. Interactive
// requests come first. Within a class, requests of workspaces that have used much
// more than their share come last; otherwise the request with the lowest expected
// cost comes first, which keeps the total waiting time low.
type queue struct {
	service     string
	waiting     []*request         // in arrival order
	spentTokens map[string]float64 // by workspace: placed tokens divided by weight
	spentFloor  float64            // least spentTokens of the queued workspaces; idle ones are raised to it on arrival
}

func (c *Core) queue(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = &queue{service: service, spentTokens: map[string]float64{}}
		c.queues[service] = q
	}
	return q
}

func (q *queue) push(r *request) {
	q.spentTokens[r.Workspace] = max(q.spentTokens[r.Workspace], q.spentFloor)
	q.waiting = append(q.waiting, r)
}

func (q *queue) remove(r *request) {
	for i, queued := range q.waiting {
		if queued == r {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// next returns the request to place next, or nil. It skips those that did not fit
// in this pass.
func (q *queue) next() *request {
	var best *request
	q.spentFloor = q.lowestSpent()
	for _, r := range q.waiting {
		if r.phase == waiting && !r.skipped && (best == nil || q.before(r, best)) {
			best = r
		}
	}
	return best
}

// lowestSpent returns the lowest spentTokens of the workspaces with queued requests.
func (q *queue) lowestSpent() float64 {
	if len(q.waiting) == 0 {
		return q.spentFloor
	}
	lowest := math.Inf(1)
	for _, r := range q.waiting {
		lowest = min(lowest, q.spentTokens[r.Workspace])
	}
	return lowest
}

// before reports whether a later arrival is placed before an earlier one.
func (q *queue) before(later, earlier *request) bool {
	if later.Class != earlier.Class {
		return later.Class == ClassInteractive
	}
	laterOver, earlierOver := q.exceedsShare(later), q.exceedsShare(earlier)
	if laterOver != earlierOver {
		return earlierOver
	}
	return later.expectedTokens < earlier.expectedTokens
}

// exceedsShare reports whether the workspace of a request has used much more than
// another one with queued requests.
func (q *queue) exceedsShare(r *request) bool {
	return q.spentTokens[r.Workspace] > q.spentFloor+shareSlackTokens
}

// charge adds the expected cost of a placed request to its workspace.
func (q *queue) charge(r *request, tokens float64, weight int) {
	q.spentTokens[r.Workspace] += tokens / float64(max(weight, 1))
}

// busiest returns the workspace with the most queued requests.
func (q *queue) busiest() string {
	count := map[string]int{}
	busiest := ""
	for _, r := range q.waiting {
		count[r.Workspace]++
		if busiest == "" || count[r.Workspace] > count[busiest] {
			busiest = r.Workspace
		}
	}
	return busiest
}

// placeQueued places queued requests in order until none is left or more than
// maxSkipped of them do not fit.
func (c *Core) placeQueued(q *queue) {
	skipped := 0
	defer func() {
		for _, r := range q.waiting {
			r.skipped = false
		}
	}()
	for {
		r := q.next()
		if r == nil {
			return
		}
		r.attempted = true
		r.candidates = c.opts.Policy.Order(c.now, c.rand, c.candidates(r))
		if len(r.candidates) == 0 && !c.servable(r) {
			q.remove(r)
			delete(c.requests, r.ID)
			c.refuse(r, c.noReplicaOutcome(r))
			continue
		}
		if !c.tryCandidates(r) {
			r.skipped = true
			skipped++
			if skipped > maxSkipped {
				return
			}
		}
	}
}

// noReplicaOutcome returns the refusal of a request that no engine can serve. The
// cause is WeightStoreRate when a usable engine has yet to load the model.
func (c *Core) noReplicaOutcome(r *request) outcome.Result {
	cause := outcome.NoReplica
	for _, b := range c.byService[r.Service] {
		if b.State == stateLive && !b.leaving && !b.unreachable && !b.loaded(r.service.Model) {
			cause = outcome.WeightStoreRate
		}
	}
	o := outcome.Refuse(cause, "model "+r.service.Model)
	o.RetryAt = c.now.Add(failureBackoff)
	return o
}

// servable reports whether any engine is eligible for the request, even if it is
// full now.
func (c *Core) servable(r *request) bool {
	for _, b := range c.byService[r.Service] {
		if b.ledger != nil && c.eligible(r, b) {
			return true
		}
	}
	return false
}

// expire refuses queued requests whose deadline has passed and ends reservation
// requests that have timed out.
func (c *Core) expire() {
	for _, name := range sortedKeys(c.queues) {
		q := c.queues[name]
		for _, r := range append([]*request(nil), q.waiting...) {
			switch {
			case !c.now.Before(r.Deadline):
				c.expireRequest(q, r)
			case r.phase == reserving && !c.now.Before(r.replyDeadline):
				c.handleMissingReply(r)
			}
		}
	}
}

func (c *Core) expireRequest(q *queue, r *request) {
	if r.phase == reserving {
		c.sendReserveEnd(r, 0, false)
	}
	cause := r.lastCause
	if !r.attempted || cause == outcome.None {
		cause = outcome.QueuedBehind
	}
	q.remove(r)
	delete(c.requests, r.ID)
	o := outcome.Refuse(cause, "waited "+c.now.Sub(r.queuedAt).String()+" behind "+q.busiest())
	o.RetryAt = c.now.Add(failureBackoff)
	c.refuse(r, o)
}

func (c *Core) retryQueues() {
	for _, name := range sortedKeys(c.queues) {
		c.placeQueued(c.queues[name])
	}
}
