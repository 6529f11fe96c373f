package control

import (
	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// queue holds the requests of one service that wait for an engine. Interactive
// work goes first; within a class, workspaces share by weight and each
// workspace's requests go by age.
type queue struct {
	service string
	waiting []*request         // in order of arrival
	spent   map[string]float64 // by workspace: tokens placed, divided by weight
	floor   float64            // what a workspace that was idle starts from
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
	q.spent[r.Workspace] = max(q.spent[r.Workspace], q.floor)
	q.waiting = append(q.waiting, r)
}

func (q *queue) drop(r *request) {
	for i, x := range q.waiting {
		if x == r {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// head returns the request to be placed next, or nil.
func (q *queue) head() *request {
	var best *request
	for _, r := range q.waiting {
		if r.phase == waiting && (best == nil || q.before(r, best)) {
			best = r
		}
	}
	return best
}

// before compares a later arrival with an earlier one.
func (q *queue) before(later, earlier *request) bool {
	if later.Class != earlier.Class {
		return later.Class == ClassInteractive
	}
	return q.spent[later.Workspace] < q.spent[earlier.Workspace]
}

// charge records the expected cost of a placed request.
func (q *queue) charge(r *request, tokens float64, weight int) {
	q.floor = q.spent[r.Workspace]
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

// pump places requests from the head of the queue until one has to wait.
func (c *Core) pump(q *queue) {
	for {
		r := q.head()
		if r == nil {
			return
		}
		r.attempted = true
		r.round = c.opts.Policy.Order(c.now, c.rand, c.candidates(r))
		if len(r.round) == 0 && !c.servable(r) {
			q.drop(r)
			delete(c.requests, r.ID)
			c.refuse(r, c.noReplica(r))
			continue
		}
		if !c.proceed(r) {
			return
		}
	}
}

func (c *Core) noReplica(r *request) outcome.Outcome {
	o := outcome.Refuse(outcome.NoReplica, "model "+r.service.Model)
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
			case r.phase == asking && !c.now.Before(r.replyBy):
				c.admitterSilent(r)
			}
		}
	}
}

func (c *Core) expireRequest(q *queue, r *request) {
	if r.phase == asking {
		c.endRemote(r, 0, false)
	}
	cause := r.lastCause
	if !r.attempted || cause == outcome.None {
		cause = outcome.QueuedBehind
	}
	q.drop(r)
	delete(c.requests, r.ID)
	o := outcome.Refuse(cause, "waited "+c.now.Sub(r.queuedAt).String()+" behind "+q.busiest())
	o.RetryAt = c.now.Add(failureBackoff)
	c.refuse(r, o)
}

func (c *Core) retryQueues() {
	for _, name := range sortedKeys(c.queues) {
		c.pump(c.queues[name])
	}
}
