package control

import (
	"slices"

	"github.com/pimentohinge/pimentohinge/internal/control/waitlist"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// maxSkipped bounds the requests that do not fit and are overtaken by later ones in one pass over
// a queue.
const maxSkipped = 6

// queue holds the requests of one service that wait for an engine. Interactive requests come
// first; among those of a class the cheapest, which keeps the total waiting time low.
type queue = waitlist.List[*request]

func (c *Core) queue(service string) *queue {
	q := c.queues[service]
	if q == nil {
		q = waitlist.New(waitlist.Options{CheapFirst: true}, (*request).waitlistItem)
		c.queues[service] = q
	}
	return q
}

func (r *request) waitlistItem() waitlist.Item {
	item := waitlist.Item{Workspace: r.Workspace, Tokens: r.expectedTokens}
	if r.Class != ClassInteractive {
		item.Urgency = 1
	}
	return item
}

// placeQueued places queued requests in order until none is left or more than
// maxSkipped of them do not fit.
func (c *Core) placeQueued(q *queue) {
	skipped := 0
	defer func() {
		for _, r := range q.All() {
			r.skipped = false
		}
	}()
	for {
		r, ok := q.Next(c.now, func(r *request) bool { return r.phase == waiting && !r.skipped })
		if !ok {
			return
		}
		r.attempted = true
		r.candidates = c.opts.Policy.Order(c.now, c.rand, c.candidates(r))
		if len(r.candidates) == 0 && !c.servable(r) {
			q.Remove(r)
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
		for _, r := range slices.Clone(q.All()) {
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
	q.Remove(r)
	delete(c.requests, r.ID)
	o := outcome.Refuse(cause, "waited "+c.now.Sub(r.queuedAt).String()+" behind "+q.Busiest())
	o.RetryAt = c.now.Add(failureBackoff)
	c.refuse(r, o)
}

func (c *Core) retryQueues() {
	for _, name := range sortedKeys(c.queues) {
		c.placeQueued(c.queues[name])
	}
}
