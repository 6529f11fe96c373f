package control

import (
	"math"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

const (
	// shareSlack is how far a workspace may run ahead of another one that waits, in tokens by weight.
	shareSlack = 50_000
	// bypass is the number of requests at the head of a queue that smaller ones may pass.
	bypass = 6
)

// queue holds the requests of one service that wait for an engine. Interactive
// work goes first. Within a class the request with the smallest expected cost
// goes first, as that keeps the sum of the waits small, but a workspace that has
// been given much more than its share goes last.
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
	q.floor = q.lowest()
	for _, r := range q.waiting {
		if r.phase == waiting && !r.passed && (best == nil || q.before(r, best)) {
			best = r
		}
	}
	return best
}

// lowest returns the smallest spent cost among the workspaces that wait.
func (q *queue) lowest() float64 {
	if len(q.waiting) == 0 {
		return q.floor
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
	a, b := q.overShare(later), q.overShare(earlier)
	if a != b {
		return b
	}
	return later.cost < earlier.cost
}

// overShare reports whether a workspace has been given much more than another
// one that waits.
func (q *queue) overShare(r *request) bool {
	return q.spent[r.Workspace] > q.floor+shareSlack
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

// pump places requests from the head of the queue until one has to wait.
func (c *Core) pump(q *queue) {
	passed := 0
	defer func() {
		for _, r := range q.waiting {
			r.passed = false
		}
	}()
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
			r.passed = true
			passed++
			if passed > bypass {
				return
			}
		}
	}
}

func (c *Core) noReplica(r *request) outcome.Outcome {
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
