package control

import (
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// phase is where a request stands.
type phase int

const (
	waiting phase = iota // in the queue
	asking               // an admitter has been asked
	placed               // a backend works on it
)

// request is one request from its Place until its Ended.
type request struct {
	Place
	phase     phase
	service   wire.Service
	queuedAt  time.Time
	round     []Candidate // engines still to be tried in this round
	ask       wire.ReserveAsk
	replyBy   time.Time
	backend   *backend
	admitter  string // VM that granted the reservation; empty for none
	lastCause outcome.Cause
	attempted bool    // was at the head of the queue
	passed    bool    // did not fit in this round
	cost      float64 // expected tokens of prompt and output
	events    []wire.Event
}

// Kinds of events in a timeline that the core writes.
const (
	EventQueued   = "queued"
	EventDenied   = "denied"
	EventReserved = "reserved"
	EventPlaced   = "placed"
	EventRefused  = "refused"
)

func (c *Core) note(r *request, e wire.Event) {
	e.UnixMs = int(c.now.UnixMilli())
	e.Vm = c.opts.Self.Name
	r.events = append(r.events, e)
}

// place checks limits and queues the request, then tries to place it.
func (c *Core) place(m Place) {
	r := &request{Place: m, queuedAt: c.now}
	svc, found := c.state.Services[m.Service]
	r.service = svc
	if o := c.admissible(r, found); o.Cause != outcome.None {
		c.refuse(r, o)
		return
	}
	c.requests[m.ID] = r
	if svc.Kind == chain.KindPlain {
		c.placePlain(r)
		return
	}
	q := c.queue(m.Service)
	if len(q.waiting) >= c.opts.QueueLength && len(q.waiting) > 0 {
		delete(c.requests, m.ID)
		o := outcome.Refuse(outcome.QueuedBehind, fmt.Sprintf("%d requests wait on this VM", len(q.waiting)))
		o.RetryAt = c.now.Add(time.Second)
		c.refuse(r, o)
		return
	}
	r.cost = float64(r.PromptTokens) + float64(c.estimator(r.Workspace, r.Service, r.Class).Quantile(medianQuantile, 0))
	q.push(r)
	c.pump(q)
	if r.phase == waiting {
		c.noteQueued(r, q)
	}
}

// admissible applies what ends a request before it is queued.
func (c *Core) admissible(r *request, found bool) outcome.Outcome {
	if c.stopping && !r.Retry {
		return outcome.Refuse(outcome.VMStopping, "")
	}
	if !found {
		return outcome.Refuse(outcome.NotFound, "service "+r.Service)
	}
	if r.Retry {
		if !c.budget.Retry() {
			return outcome.Refuse(outcome.RetryBudget, fmt.Sprintf("retries may be %d%% of first attempts", c.opts.RetryPercent))
		}
		return outcome.Outcome{}
	}
	c.budget.First()
	w := c.state.Workspaces[r.Workspace]
	cause, retryAt := c.limits.Take(c.now, w, c.vmsAlive())
	if cause != outcome.None {
		detail := fmt.Sprintf("limit %d/s and %d at once over %d VMs", w.RequestsPerSecond, w.ConcurrentRequests, c.vmsAlive())
		return outcome.Outcome{Kind: outcome.NotRun, Cause: cause, Detail: detail, RetryAt: retryAt}
	}
	c.held[r.ID] = r.Workspace
	return outcome.Outcome{}
}

func (c *Core) noteQueued(r *request, q *queue) {
	c.note(r, wire.Event{
		Kind: EventQueued, Cause: string(r.lastCause), Value: len(q.waiting) - 1,
		Detail: "behind " + q.busiest(),
	})
	c.decided("queue", "request", r.ID, "workspace", r.Workspace, "service", r.Service,
		"ahead", len(q.waiting)-1, "busiest", q.busiest(), "cause", string(r.lastCause))
}

// refuse ends a request that has not been dispatched.
func (c *Core) refuse(r *request, o outcome.Outcome) {
	c.release(r.ID)
	c.note(r, wire.Event{Kind: EventRefused, Cause: string(o.Cause), Detail: o.Detail})
	c.decided("refuse", "request", r.ID, "workspace", r.Workspace, "service", r.Service,
		"cause", string(o.Cause), "detail", o.Detail)
	c.do(Refused{ID: r.ID, Outcome: o, Events: r.events})
}

func (c *Core) release(id string) {
	if w, held := c.held[id]; held {
		c.limits.Release(w)
		delete(c.held, id)
	}
}

// withdraw forgets a request whose caller is gone.
func (c *Core) withdraw(id string) {
	c.release(id)
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	switch r.phase {
	case waiting:
		c.queue(r.Service).drop(r)
	case asking:
		c.endRemote(r, 0, false)
	case placed:
		c.finish(r, 0, false)
	}
}

// placePlain chooses the backend of a plain service with the fewest open
// requests of this VM, near ones first.
func (c *Core) placePlain(r *request) {
	var best *backend
	for _, b := range c.byService[r.Service] {
		if !c.eligible(r, b) {
			continue
		}
		if best == nil || c.nearer(b, best) || (!c.nearer(best, b) && b.outstanding < best.outstanding) {
			best = b
		}
	}
	if best == nil {
		delete(c.requests, r.ID)
		c.refuse(r, outcome.Refuse(outcome.NoReplica, "service "+r.Service))
		return
	}
	c.placeOn(r, best, "fewest open requests among the nearest")
}

// eligible reports whether a backend may get this request at all.
func (c *Core) eligible(r *request, b *backend) bool {
	if (b.State != stateLive || b.leaving) && !mutation.Enabled(mutation.LeavingIgnored) {
		return false
	}
	if b.unreachable || c.now.Before(b.downUntil) || c.draining(b) || !b.loaded(r.service.Model) {
		return false
	}
	for _, x := range r.Excluded {
		if x == b.Name {
			return false
		}
	}
	return b.Region == c.opts.Self.Region || c.routed(r, b)
}

// routed reports whether a route lets the request go to the backend's region
// after the time that it has waited.
func (c *Core) routed(r *request, b *backend) bool {
	for _, route := range c.state.Routes {
		if route.Service != r.Service || route.From != c.opts.Self.Region || route.To != b.Region {
			continue
		}
		waited := c.now.Sub(r.queuedAt)
		if waited >= time.Duration(route.WaitPriceMs)*time.Millisecond || !c.servedNear(r) {
			return true
		}
	}
	return false
}

// servedNear reports whether any backend of the own region could serve.
func (c *Core) servedNear(r *request) bool {
	for _, b := range c.byService[r.Service] {
		if b.Region == c.opts.Self.Region && b.State == stateLive && !b.leaving && !b.unreachable {
			return true
		}
	}
	return false
}

// distance is 0 within the data centre, 1 within the region, 2 beyond.
func (c *Core) distance(b *backend) int {
	switch {
	case b.DataCentre == c.opts.Self.DataCentre:
		return 0
	case b.Region == c.opts.Self.Region:
		return 1
	}
	return 2
}

func (c *Core) nearer(a, b *backend) bool {
	if fa, fb := c.failed(a), c.failed(b); fa != fb {
		return fb
	}
	return c.distance(a) < c.distance(b)
}

func (c *Core) failed(b *backend) bool { return c.now.Sub(b.failedAt) < failureBackoff }

// placeOn gives the request to a backend.
func (c *Core) placeOn(r *request, b *backend, why string) {
	r.phase, r.backend = placed, b
	r.round = nil
	b.outstanding++
	kind := EventPlaced
	if r.admitter != "" {
		kind = EventReserved
	}
	waited := int(c.now.Sub(r.queuedAt).Milliseconds())
	c.note(r, wire.Event{Kind: kind, Engine: b.Name, Detail: why, Value: waited})
	c.decided("place", "request", r.ID, "workspace", r.Workspace, "service", r.Service, "class", r.Class,
		"backend", b.Name, "admitter", r.admitter, "waitedMs", waited, "revision", c.state.Number, "why", why)
	c.do(Placed{
		ID: r.ID, Backend: b.Backend, Revision: c.state.Number,
		DispatchBy: c.now.Add(dispatchWindow), Events: r.events,
	})
}

// ended takes in the end of an attempt.
func (c *Core) ended(m Ended) {
	r := c.requests[m.ID]
	if r == nil || r.phase != placed {
		return
	}
	delete(c.requests, m.ID)
	if m.Last {
		c.release(m.ID)
	}
	switch m.Outcome.Cause {
	case outcome.EngineLost, outcome.StalledLink, outcome.ServiceLost:
		r.backend.failedAt = c.now
	case outcome.EngineReclaimed:
		c.markLeaving(r.backend.Name, "ended a request")
	}
	c.finish(r, m.Tokens, m.Outcome.Kind == outcome.Finished)
	c.pump(c.queue(r.Service))
}

// finish gives back what a placed request held and learns from its length.
func (c *Core) finish(r *request, tokens int, whole bool) {
	r.backend.outstanding--
	r.backend.fullUntil = time.Time{}
	if r.service.Kind == chain.KindModel {
		c.learn(r.Workspace, r.Service, r.Class, tokens, whole)
	}
	if r.admitter == c.opts.Self.Name {
		r.backend.ledger.End(r.ID)
		return
	}
	c.endRemote(r, tokens, whole)
}

func (c *Core) learn(workspace, service, class string, tokens int, whole bool) {
	if tokens == 0 {
		return
	}
	e := c.estimator(workspace, service, class)
	if whole {
		e.Ended(tokens)
	} else {
		e.Cancelled(tokens)
	}
}

func (c *Core) endRemote(r *request, tokens int, whole bool) {
	if r.admitter == "" {
		return
	}
	c.sendTo(r.admitter, wire.Frame{ReserveEnd: &wire.ReserveEnd{
		Id: r.ID, Engine: r.ask.Engine, Tokens: tokens, Finished: whole,
	}})
}

func (c *Core) askOf(w wire.ReserveAsk, vm string) admit.Ask {
	if c.opts.Oracle != nil {
		return admit.Ask{Wire: w, VM: vm, Lengths: c.opts.Oracle(w.Id)}
	}
	return admit.Ask{Wire: w, VM: vm, Lengths: c.estimator(w.Workspace, w.Service, w.Class)}
}
