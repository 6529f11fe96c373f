package control

import (
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// phase is the state of a request in the core.
type phase int

const (
	waiting   phase = iota // in the queue
	reserving              // in the queue, with a reservation request sent to an admitter
	placed                 // on a backend
)

// request is one request from its Place until its AttemptEnded.
type request struct {
	Place
	phase          phase
	service        wire.Service
	queuedAt       time.Time
	candidates     []Candidate // engines that are still to be tried in this round
	reserveAsk     wire.ReserveAsk
	replyDeadline  time.Time // of the reservation request, in phase reserving
	backend        *backend
	admitter       string // VM that granted the reservation or was sent a request for it; empty for none
	lastCause      outcome.Cause
	attempted      bool    // was tried at least once
	skipped        bool    // did not fit in this pass over the queue
	expectedTokens float64 // of prompt and output
	events         []wire.Event
}

// Kinds of timeline events that the core records.
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

// place checks limits, queues the request and tries to place it.
func (c *Core) place(msg Place) {
	r := &request{Place: msg, queuedAt: c.now}
	service, found := c.state.Services[msg.Service]
	r.service = service
	if o := c.checkAdmission(r, found); o.Cause != outcome.None {
		c.refuse(r, o)
		return
	}
	c.requests[msg.ID] = r
	if service.Kind == configchain.KindPlain {
		c.placePlain(r)
		return
	}
	q := c.queue(msg.Service)
	if q.Len() >= c.opts.QueueLength && q.Len() > 0 {
		delete(c.requests, msg.ID)
		o := outcome.Refuse(outcome.QueuedBehind, fmt.Sprintf("%d requests wait on this VM", q.Len()))
		o.RetryAt = c.now.Add(time.Second)
		c.refuse(r, o)
		return
	}
	r.expectedTokens = float64(r.PromptTokens) + float64(c.estimator(r.Workspace, r.Service, r.Class).Quantile(medianQuantile, 0))
	q.Push(r)
	c.placeQueued(q)
	if r.phase == waiting {
		c.recordQueued(r, q)
	}
}

// checkAdmission applies the checks before queueing: VM stopping, unknown service,
// retry budget and workspace limits.
func (c *Core) checkAdmission(r *request, serviceFound bool) outcome.Result {
	if c.stopping && !r.Retry {
		return outcome.Refuse(outcome.VMStopping, "")
	}
	if !serviceFound {
		return outcome.Refuse(outcome.NotFound, "service "+r.Service)
	}
	if o := c.checkQuarantine(r); o.Cause != outcome.None {
		return o
	}
	if r.Retry {
		if !c.retryBudget.TakeRetry() {
			return outcome.Refuse(outcome.RetryBudget, fmt.Sprintf("retries may be %d%% of first attempts", c.opts.RetryPercent))
		}
		return outcome.Result{}
	}
	c.retryBudget.RecordFirst()
	workspace := c.state.Workspaces[r.Workspace]
	cause, retryAt := c.limits.Take(c.now, workspace, c.usableVMCount())
	if cause != outcome.None {
		detail := fmt.Sprintf("limit %d/s and %d at once over %d VMs", workspace.RequestsPerSecond, workspace.ConcurrentRequests, c.usableVMCount())
		return outcome.Result{Kind: outcome.NotRun, Cause: cause, Detail: detail, RetryAt: retryAt}
	}
	c.limitedRequests[r.ID] = r.Workspace
	return outcome.Result{}
}

func (c *Core) recordQueued(r *request, q *queue) {
	c.recordEvent(r, wire.Event{
		Kind: EventQueued, Cause: string(r.lastCause), Value: q.Len() - 1,
		Detail: "behind " + q.Busiest(),
	})
	c.logDecision("queue", "request", r.ID, "workspace", r.Workspace, "service", r.Service,
		"ahead", q.Len()-1, "busiest", q.Busiest(), "cause", string(r.lastCause))
}

// refuse ends a request that has not been dispatched.
func (c *Core) refuse(r *request, o outcome.Result) {
	c.releaseLimit(r.ID)
	c.recordEvent(r, wire.Event{Kind: EventRefused, Cause: string(o.Cause), Detail: o.Detail})
	c.logDecision("refuse", "request", r.ID, "workspace", r.Workspace, "service", r.Service,
		"cause", string(o.Cause), "detail", o.Detail)
	c.emit(Refused{ID: r.ID, Outcome: o, Events: r.events})
}

func (c *Core) releaseLimit(id string) {
	if workspace, held := c.limitedRequests[id]; held {
		c.limits.Release(workspace)
		delete(c.limitedRequests, id)
	}
}

// cancel removes a request whose caller has disconnected.
func (c *Core) cancel(id string) {
	c.releaseLimit(id)
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	switch r.phase {
	case waiting:
		c.queue(r.Service).Remove(r)
	case reserving:
		c.queue(r.Service).Remove(r)
		c.sendReserveEnd(r, 0, false)
	case placed:
		c.releaseBackend(r, 0, false)
	}
}

// placePlain places a request of a plain service on the preferred backend, and
// among equals on the one with the fewest open requests of this VM.
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

// eligible reports whether a backend may serve the request, regardless of free
// capacity.
func (c *Core) eligible(r *request, b *backend) bool {
	if (b.State != stateLive || b.leaving) && !mutation.Enabled(mutation.LeavingIgnored) {
		return false
	}
	if b.unreachable || c.now.Before(b.unreachableUntil) || c.draining(b) || !b.loaded(r.service.Model) {
		return false
	}
	for _, excluded := range r.Excluded {
		if excluded == b.Name {
			return false
		}
	}
	return b.Region == c.opts.Self.Region || c.routeAllows(r, b)
}

// routeAllows reports whether a route permits the request in the backend's region:
// after the wait that the route sets, or at once when no backend in the region of
// this VM can serve it.
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

// servedInRegion reports whether any backend in the region of this VM can serve
// the request.
func (c *Core) servedInRegion(r *request) bool {
	for _, b := range c.byService[r.Service] {
		if b.Region == c.opts.Self.Region && b.State == stateLive && !b.leaving && !b.unreachable {
			return true
		}
	}
	return false
}

// distance returns 0 in the data centre of this VM, 1 in its region and 2 elsewhere.
func (c *Core) distance(b *backend) int {
	switch {
	case b.DataCentre == c.opts.Self.DataCentre:
		return 0
	case b.Region == c.opts.Self.Region:
		return 1
	}
	return 2
}

// preferred reports whether a is better than b: no recent failure first, then the
// shorter distance.
func (c *Core) preferred(a, b *backend) bool {
	if failedA, failedB := c.failedRecently(a), c.failedRecently(b); failedA != failedB {
		return failedB
	}
	return c.distance(a) < c.distance(b)
}

func (c *Core) failedRecently(b *backend) bool { return c.now.Sub(b.failedAt) < failureBackoff }

// assign places the request on a backend.
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

// handleAttemptEnd releases what an attempt used and places queued requests.
func (c *Core) handleAttemptEnd(msg AttemptEnded) {
	r := c.requests[msg.ID]
	if r == nil || r.phase != placed {
		return
	}
	delete(c.requests, msg.ID)
	c.recordSoundness(r, msg)
	if msg.Last {
		c.releaseLimit(msg.ID)
	}
	switch msg.Outcome.Cause {
	case outcome.EngineLost, outcome.StalledLink, outcome.ServiceLost:
		r.backend.failedAt = c.now
	case outcome.EngineReclaimed:
		c.markLeaving(r.backend.Name, "ended a request")
	}
	c.releaseBackend(r, msg.Tokens, msg.Outcome.Kind == outcome.Finished)
	c.placeQueued(c.queue(r.Service))
}

// releaseBackend releases the slot and the reservation of a placed request, and
// records its length.
func (c *Core) releaseBackend(r *request, tokens int, finished bool) {
	r.backend.outstanding--
	r.backend.deniedUntil = time.Time{}
	if r.service.Kind == configchain.KindModel {
		c.recordLength(r.Workspace, r.Service, r.Class, tokens, finished)
	}
	if r.admitter == c.opts.Self.Name {
		r.backend.ledger.Release(r.ID)
		return
	}
	c.sendReserveEnd(r, tokens, finished)
}

func (c *Core) recordLength(workspace, service, class string, tokens int, finished bool) {
	if tokens == 0 {
		return
	}
	estimator := c.estimator(workspace, service, class)
	if finished {
		estimator.AddFinished(tokens)
	} else {
		estimator.AddCensored(tokens)
	}
}

// sendReserveEnd releases the reservation, or withdraws the request for one, at
// another admitter.
func (c *Core) sendReserveEnd(r *request, tokens int, finished bool) {
	if r.admitter == "" {
		return
	}
	c.sendTo(r.admitter, wire.Frame{ReserveEnd: &wire.ReserveEnd{
		Id: r.ID, Engine: r.reserveAsk.Engine, Tokens: tokens, Finished: finished,
	}})
}

// admitRequest returns the ledger's form of a reservation request from a VM.
func (c *Core) admitRequest(ask wire.ReserveAsk, vm string) admit.Request {
	if c.opts.Oracle != nil {
		return admit.Request{Wire: ask, VM: vm, Lengths: c.opts.Oracle(ask.Id)}
	}
	return admit.Request{Wire: ask, VM: vm, Lengths: c.estimator(ask.Workspace, ask.Service, ask.Class)}
}
