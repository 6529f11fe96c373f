package control

import (
	"math"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

const (
	// shareSlack is how far a workspace may run ahead of another one that waits, in tokens by weight.
	shareSlack = 50_000
	// maxSkipped is the number of requests at the head of a queue that smaller ones may pass.
	maxSkipped = 6
)

// queue holds the requests of one service that wait for an engine. Interactive
// work goes first. Within a class the request with the smallest expected cost
// goes first, as that keeps the sum of the waits small, but a workspace that has
// been given much more than its share goes last.
type queue struct {
	service    string
	waiting    []*request         // in order of arrival
	spent      map[string]float64 // by workspace: tokens placed, divided by weight
	spentFloor float64            // what a workspace that was idle starts from
}

func (c *Core) queue(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = &queue{service: service, spent: map[string]float64{}}
		c.queues[service] = q
	}
	return q
}

func (q *queue) push(r *request) {
	q.spent[r.Workspace] = max(q.spent[r.Workspace], q.spentFloor)
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

// next returns the request to be placed next, or nil.
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

// lowestSpent returns the smallest spent cost among the workspaces that wait.
func (q *queue) lowestSpent() float64 {
	if len(q.waiting) == 0 {
		return q.spentFloor
	}
	low := math.Inf(1)
	for _, r := range q.waiting {
		low = min(low, q.spent[r.Workspace])
	}
	return low
}

// before compares a later arrival with an earlier one.
func (q *queue) before(later, earlier *request) bool {
	if later.Class != earlier.Class {
		return later.Class == ClassInteractive
	}
	laterOver, earlierOver := q.overShare(later), q.overShare(earlier)
	if laterOver != earlierOver {
		return earlierOver
	}
	return later.cost < earlier.cost
}

// overShare reports whether a workspace has been given much more than another
// one that waits.
func (q *queue) overShare(r *request) bool {
	return q.spent[r.Workspace] > q.spentFloor+shareSlack
}

// charge records the expected cost of a placed request.
func (q *queue) charge(r *request, tokens float64, weight int) {
	q.spent[r.Workspace] += tokens / float64(max(weight, 1))
}

// busiest returns the workspace with the most waiting requests.
func (q *queue) busiest() string {
	count := map[string]int{}
	best := ""
	for _, r := range q.waiting {
		count[r.Workspace]++
		if best == "" || count[r.Workspace] > count[best] {
			best = r.Workspace
		}
	}
	return best
}

// placeQueued places requests from the head of the queue until one has to wait.
func (c *Core) placeQueued(q *queue) {
	passed := 0
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
			passed++
			if passed > maxSkipped {
				return
			}
		}
	}
}

func (c *Core) noReplicaOutcome(r *request) outcome.Outcome {
	cause := outcome.NoReplica
	for _, b := range c.byService[r.Service] {
		if b.State == stateLive && !b.isLeaving && !b.unreachable && !b.loaded(r.service.Model) {
			cause = outcome.WeightStoreRate
		}
	}
	o := outcome.Refuse(cause, "model "+r.service.Model)
	o.RetryAt = c.now.Add(failureBackoff)
	return o
}

// servable reports whether any engine may serve the request at some time.
func (c *Core) servable(r *request) bool {
	for _, b := range c.byService[r.Service] {
		if b.ledger != nil && c.eligible(r, b) {
			return true
		}
	}
	return false
}

// expire refuses requests whose deadline passed and gives up on admitters that
// don't answer.
func (c *Core) expire() {
	for _, name := range sortedKeys(c.queues) {
		q := c.queues[name]
		for _, r := range append([]*request(nil), q.waiting...) {
			switch {
			case !c.now.Before(r.Deadline):
				c.expireRequest(q, r)
			case r.phase == reserving && !c.now.Before(r.replyBy):
				c.admitterTimedOut(r)
			}
		}
	}
}

func (c *Core) expireRequest(q *queue, r *request) {
	if r.phase == reserving {
		c.endRemote(r, 0, false)
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
