package control

import (
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/planted"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// phase is where a request stands.
type phase int

const (
	waiting   phase = iota // in the queue
	reserving              // an admitter has been asked
	placed                 // a backend works on it
)

// request is one request from its Place until its Ended.
type request struct {
	Place
	phase      phase
	service    wire.Service
	queuedAt   time.Time
	candidates []Candidate // engines still to be tried in this round
	reserveAsk wire.ReserveAsk
	replyBy    time.Time
	backend    *backend
	admitter   string // VM that granted the reservation; empty for none
	lastCause  outcome.Cause
	attempted  bool    // was at the head of the queue
	skipped    bool    // did not fit in this round
	cost       float64 // expected tokens of prompt and output
	events     []wire.Event
}

// Kinds of events in a timeline that the core writes.
const (
	EventQueued   = "queued"
	EventDenied   = "denied"
	EventReserved = "reserved"
	EventPlaced   = "placed"
	EventRefused  = "refused"
)

func (c *Core) recordEvent(r *request, event wire.Event) {
	event.UnixMs = int(c.now.UnixMilli())
	event.Vm = c.opts.Self.Name
	r.events = append(r.events, event)
}

// place checks limits and queues the request, then tries to place it.
func (c *Core) place(m Place) {
	r := &request{Place: m, queuedAt: c.now}
	service, found := c.state.Services[m.Service]
	r.service = service
	if o := c.checkAdmission(r, found); o.Cause != outcome.None {
		c.refuse(r, o)
		return
	}
	c.requests[m.ID] = r
	if service.Kind == chain.KindPlain {
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
	c.placeQueued(q)
	if r.phase == waiting {
		c.recordQueued(r, q)
	}
}

// checkAdmission applies what ends a request before it is queued.
func (c *Core) checkAdmission(r *request, serviceFound bool) outcome.Outcome {
	if c.stopping && !r.Retry {
		return outcome.Refuse(outcome.VMStopping, "")
	}
	if !serviceFound {
		return outcome.Refuse(outcome.NotFound, "service "+r.Service)
	}
	if r.Retry {
		if !c.retryBudget.TakeRetry() {
			return outcome.Refuse(outcome.RetryBudget, fmt.Sprintf("retries may be %d%% of first attempts", c.opts.RetryPercent))
		}
		return outcome.Outcome{}
	}
	c.retryBudget.RecordFirst()
	workspace := c.state.Workspaces[r.Workspace]
	cause, retryAt := c.limits.Take(c.now, workspace, c.usableVMCount())
	if cause != outcome.None {
		detail := fmt.Sprintf("limit %d/s and %d at once over %d VMs", workspace.RequestsPerSecond, workspace.ConcurrentRequests, c.usableVMCount())
		return outcome.Outcome{Kind: outcome.NotRun, Cause: cause, Detail: detail, RetryAt: retryAt}
	}
	c.limitHolders[r.ID] = r.Workspace
	return outcome.Outcome{}
}

func (c *Core) recordQueued(r *request, q *queue) {
	c.recordEvent(r, wire.Event{
		Kind: EventQueued, Cause: string(r.lastCause), Value: len(q.waiting) - 1,
		Detail: "behind " + q.busiest(),
	})
	c.logDecision("queue", "request", r.ID, "workspace", r.Workspace, "service", r.Service,
		"ahead", len(q.waiting)-1, "busiest", q.busiest(), "cause", string(r.lastCause))
}

// refuse ends a request that has not been dispatched.
func (c *Core) refuse(r *request, o outcome.Outcome) {
	c.releaseLimit(r.ID)
	c.recordEvent(r, wire.Event{Kind: EventRefused, Cause: string(o.Cause), Detail: o.Detail})
	c.logDecision("refuse", "request", r.ID, "workspace", r.Workspace, "service", r.Service,
		"cause", string(o.Cause), "detail", o.Detail)
	c.emit(Refused{ID: r.ID, Outcome: o, Events: r.events})
}

func (c *Core) releaseLimit(id string) {
	if workspace, held := c.limitHolders[id]; held {
		c.limits.Release(workspace)
		delete(c.limitHolders, id)
	}
}

// cancel forgets a request whose caller is gone.
func (c *Core) cancel(id string) {
	c.releaseLimit(id)
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	switch r.phase {
	case waiting:
		c.queue(r.Service).remove(r)
	case reserving:
		c.endRemote(r, 0, false)
	case placed:
		c.releaseBackend(r, 0, false)
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
		if best == nil || c.preferred(b, best) || (!c.preferred(best, b) && b.outstanding < best.outstanding) {
			best = b
		}
	}
	if best == nil {
		delete(c.requests, r.ID)
		c.refuse(r, outcome.Refuse(outcome.NoReplica, "service "+r.Service))
		return
	}
	c.assign(r, best, "fewest open requests among the nearest")
}

// eligible reports whether a backend may get this request at all.
func (c *Core) eligible(r *request, b *backend) bool {
	if (b.State != stateLive || b.isLeaving) && !planted.Is(planted.LeavingIgnored) {
		return false
	}
	if b.unreachable || c.now.Before(b.downUntil) || c.draining(b) || !b.loaded(r.service.Model) {
		return false
	}
	for _, excluded := range r.Excluded {
		if excluded == b.Name {
			return false
		}
	}
	return b.Region == c.opts.Self.Region || c.routeAllows(r, b)
}

// routeAllows reports whether a route lets the request go to the backend's region
// after the time that it has waited.
func (c *Core) routeAllows(r *request, b *backend) bool {
	for _, route := range c.state.Routes {
		if route.Service != r.Service || route.From != c.opts.Self.Region || route.To != b.Region {
			continue
		}
		waited := c.now.Sub(r.queuedAt)
		if waited >= time.Duration(route.WaitPriceMs)*time.Millisecond || !c.servedInRegion(r) {
			return true
		}
	}
	return false
}

// servedInRegion reports whether any backend of the own region could serve.
func (c *Core) servedInRegion(r *request) bool {
	for _, b := range c.byService[r.Service] {
		if b.Region == c.opts.Self.Region && b.State == stateLive && !b.isLeaving && !b.unreachable {
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

func (c *Core) preferred(a, b *backend) bool {
	if fa, fb := c.failedRecently(a), c.failedRecently(b); fa != fb {
		return fb
	}
	return c.distance(a) < c.distance(b)
}

func (c *Core) failedRecently(b *backend) bool { return c.now.Sub(b.failedAt) < failureBackoff }

// assign gives the request to a backend.
func (c *Core) assign(r *request, b *backend, why string) {
	r.phase, r.backend = placed, b
	r.candidates = nil
	b.outstanding++
	kind := EventPlaced
	if r.admitter != "" {
		kind = EventReserved
	}
	waited := int(c.now.Sub(r.queuedAt).Milliseconds())
	c.recordEvent(r, wire.Event{Kind: kind, Engine: b.Name, Detail: why, Value: waited})
	c.logDecision("place", "request", r.ID, "workspace", r.Workspace, "service", r.Service, "class", r.Class,
		"backend", b.Name, "admitter", r.admitter, "waitedMs", waited, "revision", c.state.Number, "why", why)
	c.emit(Placed{
		ID: r.ID, Backend: b.Backend, Revision: c.state.Number,
		DispatchBy: c.now.Add(dispatchTimeout), Events: r.events,
	})
}

// handleAttemptEnd takes in the end of an attempt.
func (c *Core) handleAttemptEnd(m AttemptEnded) {
	r := c.requests[m.ID]
	if r == nil || r.phase != placed {
		return
	}
	delete(c.requests, m.ID)
	if m.Last {
		c.releaseLimit(m.ID)
	}
	switch m.Outcome.Cause {
	case outcome.EngineLost, outcome.StalledLink, outcome.ServiceLost:
		r.backend.failedAt = c.now
	case outcome.EngineReclaimed:
		c.markLeaving(r.backend.Name, "ended a request")
	}
	c.releaseBackend(r, m.Tokens, m.Outcome.Kind == outcome.Finished)
	c.placeQueued(c.queue(r.Service))
}

// releaseBackend gives back what a placed request held and learns from its length.
func (c *Core) releaseBackend(r *request, tokens int, finished bool) {
	r.backend.outstanding--
	r.backend.fullUntil = time.Time{}
	if r.service.Kind == chain.KindModel {
		c.recordLength(r.Workspace, r.Service, r.Class, tokens, finished)
	}
	if r.admitter == c.opts.Self.Name {
		r.backend.ledger.Release(r.ID)
		return
	}
	c.endRemote(r, tokens, finished)
}

func (c *Core) recordLength(workspace, service, class string, tokens int, finished bool) {
	if tokens == 0 {
		return
	}
	estimator := c.estimator(workspace, service, class)
	if finished {
		estimator.AddFinished(tokens)
	} else {
		estimator.AddCancelled(tokens)
	}
}

func (c *Core) endRemote(r *request, tokens int, finished bool) {
	if r.admitter == "" {
		return
	}
	c.sendTo(r.admitter, wire.Frame{ReserveEnd: &wire.ReserveEnd{
		Id: r.ID, Engine: r.reserveAsk.Engine, Tokens: tokens, Finished: finished,
	}})
}

func (c *Core) admitRequest(ask wire.ReserveAsk, vm string) admit.Request {
	if c.opts.Oracle != nil {
		return admit.Request{Wire: ask, VM: vm, Lengths: c.opts.Oracle(ask.Id)}
	}
	return admit.Request{Wire: ask, VM: vm, Lengths: c.estimator(ask.Workspace, ask.Service, ask.Class)}
}
