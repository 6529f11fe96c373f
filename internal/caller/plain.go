package caller

import (
	"context"
	"encoding/base64"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/pimentohinge/pimentohinge/internal/claim"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/invariant"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/planted"
	"github.com/pimentohinge/pimentohinge/internal/service"
	"github.com/pimentohinge/pimentohinge/internal/ticket"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	maxKeyBytes = 255
	// settleWait is how long an answer waits for its claim to be settled.
	settleWait = 250 * time.Millisecond
	// settleTimeout bounds the settling itself.
	settleTimeout = 10 * time.Second
)

// plainCall is a call of a plain service.
type plainCall struct {
	service      string
	workspace    string
	method       string
	path         string
	query        string
	contentType  string
	body         []byte
	key          string // idempotency key for the backend; empty for none
	hash         string // of method, path and body
	repeatable   bool   // may be sent again after it may have run
	deduplicates bool   // the backend runs each key once
	permitted    bool   // a claim or ticket permits the dispatch, or none is needed
	settle       func(service.Answer, outcome.Outcome)
}

// decodeService reads a call of a plain service.
type decodeService struct{ s *Server }

func (f decodeService) pass(c *call) (outcome.Outcome, bool) {
	name := chi.URLParam(c.r, "service")
	svc, found := c.state.Services[name]
	if !found || svc.Kind != chain.KindPlain {
		return outcome.Refuse(outcome.NotFound, "service "+name), false
	}
	if o, ok := allowed(c, svc); !ok {
		return o, false
	}
	body, o, ok := f.s.readBody(c)
	if !ok {
		return o, false
	}
	p := path.Clean("/" + chi.URLParam(c.r, "*"))
	once := nonRepeatable(svc, c.r.Method, p)
	c.plain = plainCall{
		service: name, workspace: c.workspace.Name, method: c.r.Method, path: p, query: c.r.URL.RawQuery,
		contentType: c.r.Header.Get("Content-Type"), body: body,
		hash:       claim.Hash(c.r.Method, p+"?"+c.r.URL.RawQuery, body),
		repeatable: !once && safe(c.r.Method), deduplicates: svc.Deduplicates, permitted: true,
	}
	c.timeline = f.s.opts.Incidents.Start(c.id, c.workspace.Name, name)
	c.timeline.SetRevision(c.state.Number)
	return outcome.Outcome{}, true
}

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// nonRepeatable reports whether the configuration forbids to repeat a call. A
// path that ends with an asterisk stands for all below it.
func nonRepeatable(svc wire.Service, method, p string) bool {
	for _, rule := range svc.NonRepeatable {
		m, pattern, _ := strings.Cut(rule, " ")
		if m != method {
			continue
		}
		if below, wild := strings.CutSuffix(pattern, "*"); p == pattern || (wild && strings.HasPrefix(p, below)) {
			return true
		}
	}
	return false
}

// once gets the permission for a call that must not repeat: a claim for the
// caller's own key, or a ticket.
type once struct{ s *Server }

func (f once) pass(c *call) (outcome.Outcome, bool) {
	key, token := c.r.Header.Get("Idempotency-Key"), c.r.Header.Get(headerTicket)
	switch {
	case key != "" && token != "":
		return outcome.Refuse(outcome.BadRequest, "send either Idempotency-Key or "+headerTicket), false
	case len(key) > maxKeyBytes:
		return outcome.Refuse(outcome.BadRequest, "Idempotency-Key must have at most 255 bytes"), false
	case token != "":
		return f.s.spend(c, token)
	case key != "" && !safe(c.r.Method):
		return f.s.claim(c, key)
	}
	return outcome.Outcome{}, true
}

func (s *Server) claim(c *call, key string) (outcome.Outcome, bool) {
	c.plain.key = c.workspace.Name + ":" + key
	c.plain.permitted = false
	started := time.Now()
	// The caller may leave: what the claim becomes must be known all the same.
	ctx := context.WithoutCancel(c.r.Context())
	h, r := s.opts.Claims.Take(ctx, claim.Attempt{
		Workspace: c.workspace.Name, Key: c.service.Name + "/" + key, BodyHash: c.plain.hash, ID: c.id,
		Deduplicates: c.service.Deduplicates,
	})
	c.timeline.Add(wire.Event{
		Kind: incident.EventClaimed, Detail: "result " + claimResults[r], Value: int(time.Since(started).Milliseconds()),
	})
	if r != claim.Granted && !planted.Is(planted.DispatchWithoutClaim) {
		return s.claimRefused(c, h, r)
	}
	c.plain.permitted = true
	c.plain.settle = func(a service.Answer, o outcome.Outcome) { s.settle(h, a, o) }
	return outcome.Outcome{}, true
}

var claimResults = map[claim.Result]string{
	claim.Granted: "granted", claim.Replayed: "replayed", claim.Taken: "taken",
	claim.HolderLost: "holder lost", claim.Reused: "key reused", claim.Out: "platform out",
}

func (s *Server) claimRefused(c *call, h claim.Held, r claim.Result) (outcome.Outcome, bool) {
	holder := "attempt " + h.Claim.Attempt + " by " + h.Claim.Vm
	switch r {
	case claim.Replayed:
		status, contentType, body := claim.Answer(h.Claim)
		c.w.Header().Set("Idempotent-Replayed", "true")
		return writeAnswer(c, service.Answer{Status: status, ContentType: contentType, Body: body})
	case claim.Reused:
		return outcome.Refuse(outcome.KeyReused, ""), false
	case claim.Taken:
		return outcome.Outcome{
			Kind: outcome.Unknown, Cause: outcome.ClaimTaken, Detail: holder, RetryAt: time.Now().Add(time.Second),
		}, false
	case claim.HolderLost:
		return outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.HolderLost, Detail: holder}, false
	}
	o := outcome.Refuse(outcome.PlatformOut, "this attempt was not sent; a ticket works without the platform")
	o.RetryAt = time.Now().Add(time.Second)
	return o, false
}

// settle records what became of a claimed call. It waits a moment, so that a
// repeated request finds the answer, but not longer.
func (s *Server) settle(h claim.Held, a service.Answer, o outcome.Outcome) {
	done := make(chan struct{})
	s.open.add()
	go func() {
		defer s.open.done()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		switch o.Kind {
		case outcome.Finished:
			s.opts.Claims.Finish(ctx, h, a.Status, a.ContentType, a.Body)
		case outcome.NotRun:
			s.opts.Claims.Release(ctx, h)
		default:
			s.opts.Claims.Lose(ctx, h)
		}
	}()
	t := time.NewTimer(settleWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// spend uses a ticket here, or at the VM that issued it.
func (s *Server) spend(c *call, token string) (outcome.Outcome, bool) {
	t, known := s.opts.Tickets.Open(token)
	if known && t.VM != s.opts.VM && !planted.Is(planted.TicketSpentAnywhere) {
		a, o := s.forward(c, t, token)
		if o.Kind == outcome.Finished {
			return writeAnswer(c, a)
		}
		return o, false
	}
	if a, o, on := s.spendHere(&c.plain, token); !on {
		if o.Kind == outcome.Finished {
			c.w.Header().Set("Idempotent-Replayed", "true")
			return writeAnswer(c, a)
		}
		return o, false
	}
	c.timeline.Add(wire.Event{Kind: incident.EventClaimed, Detail: "ticket of this VM"})
	return outcome.Outcome{}, true
}

// spendHere spends a ticket of this process for a call. It reports false with
// the outcome when the call may not be dispatched.
func (s *Server) spendHere(p *plainCall, token string) (service.Answer, outcome.Outcome, bool) {
	t, before, r := s.opts.Tickets.Spend(time.Now(), token, p.workspace, p.hash)
	switch r {
	case ticket.Granted:
		p.key = t.Nonce
		p.settle = func(a service.Answer, o outcome.Outcome) { s.settleTicket(t, p.hash, a, o) }
		return service.Answer{}, outcome.Outcome{}, true
	case ticket.Spent:
		if before.BodyHash != p.hash {
			return service.Answer{}, outcome.Refuse(outcome.KeyReused, "the ticket was spent on another request"), false
		}
		if before.Done {
			return service.Answer{Status: before.Status, ContentType: before.ContentType, Body: before.Body}, outcome.Done(0), false
		}
		return service.Answer{}, outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.TicketSpent}, false
	case ticket.IssuerGone, ticket.Foreign:
		return service.Answer{}, outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: t.VM}, false
	case ticket.Expired:
		return service.Answer{}, outcome.Refuse(outcome.BadRequest, "the ticket has expired and was not spent"), false
	}
	return service.Answer{}, outcome.Refuse(outcome.BadRequest, "the ticket is not one of this workspace"), false
}

func (s *Server) settleTicket(t ticket.Ticket, hash string, a service.Answer, o outcome.Outcome) {
	switch o.Kind {
	case outcome.Finished:
		s.opts.Tickets.Keep(t, ticket.Answer{Done: true, BodyHash: hash, Status: a.Status, ContentType: a.ContentType, Body: a.Body})
	case outcome.NotRun:
		s.opts.Tickets.Unspend(t)
	}
}

func (s *Server) forward(c *call, t ticket.Ticket, token string) (service.Answer, outcome.Outcome) {
	c.timeline.Add(wire.Event{Kind: incident.EventClaimed, Detail: "ticket of " + t.VM + ", forwarded"})
	w, o := s.opts.Broker.Forward(context.WithoutCancel(c.r.Context()), t.VM, wire.ServiceCall{
		Id: c.id, Ticket: token, Workspace: c.plain.workspace, Service: c.plain.service, Method: c.plain.method,
		Path: c.plain.path + "?" + c.plain.query, ContentType: c.plain.contentType,
		Body: base64.StdEncoding.EncodeToString(c.plain.body), RequestId: c.id,
	})
	if o.Cause != outcome.None {
		return service.Answer{}, o
	}
	body, err := base64.StdEncoding.DecodeString(w.Body)
	if err != nil {
		return service.Answer{}, outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: "the forwarded answer was damaged"}
	}
	return service.Answer{Status: w.Status, ContentType: w.ContentType, Body: body},
		outcome.Outcome{Kind: outcome.Kind(w.Outcome), Cause: outcome.Cause(w.Cause)}
}

// Forwarded runs a call whose ticket this VM issued for another VM.
func (s *Server) Forwarded(ctx context.Context, w wire.ServiceCall) wire.ServiceAnswer {
	s.open.add()
	defer s.open.done()
	answer := wire.ServiceAnswer{Id: w.Id}
	body, err := base64.StdEncoding.DecodeString(w.Body)
	svc, found := s.opts.Broker.State().Services[w.Service]
	if err != nil || !found {
		answer.Outcome, answer.Cause = string(outcome.NotRun), string(outcome.NotFound)
		return answer
	}
	p, query, _ := strings.Cut(w.Path, "?")
	call := plainCall{
		service: w.Service, workspace: w.Workspace, method: w.Method, path: p, query: query,
		contentType: w.ContentType, body: body, hash: claim.Hash(w.Method, w.Path, body),
		deduplicates: svc.Deduplicates, permitted: true,
	}
	a, o, on := s.spendHere(&call, w.Ticket)
	if on {
		t := s.opts.Incidents.Start(w.Id, w.Workspace, w.Service)
		a, o = s.run(ctx, w.Id, call, t)
		s.opts.Incidents.Finish(t, o)
	}
	answer.Status, answer.ContentType, answer.Body = a.Status, a.ContentType, base64.StdEncoding.EncodeToString(a.Body)
	answer.Outcome, answer.Cause = string(o.Kind), string(o.Cause)
	return answer
}

// dispatch sends the call to a backend and answers the caller.
type dispatch struct{ s *Server }

func (f dispatch) pass(c *call) (outcome.Outcome, bool) {
	ctx := c.r.Context()
	if !c.plain.repeatable {
		// Leaving must not turn a call that is under way into one of unknown outcome.
		ctx = context.WithoutCancel(ctx)
	}
	a, o := f.s.run(ctx, c.id, c.plain, c.timeline)
	if o.Kind != outcome.Finished {
		return o, false
	}
	return writeAnswer(c, a)
}

func writeAnswer(c *call, a service.Answer) (outcome.Outcome, bool) {
	if a.ContentType != "" {
		c.w.Header().Set("Content-Type", a.ContentType)
	}
	c.started = true
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body)
	return outcome.Done(0), false
}

// run places and sends a call, again when it certainly did not run or may be
// repeated, and settles its claim.
func (s *Server) run(ctx context.Context, id string, p plainCall, t *incident.Timeline) (service.Answer, outcome.Outcome) {
	a, o := s.attempts(ctx, id, p, t)
	if p.settle != nil {
		p.settle(a, o)
	}
	return a, o
}

func (s *Server) attempts(ctx context.Context, id string, p plainCall, t *incident.Timeline) (service.Answer, outcome.Outcome) {
	place := control.Place{ID: id, Workspace: p.workspace, Service: p.service, Class: control.ClassInteractive}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		place.Deadline = time.Now().Add(time.Duration(s.opts.Limits.WaitMs) * time.Millisecond)
		placed, o, events := s.opts.Broker.Place(ctx, place)
		for _, e := range events {
			t.Add(e)
		}
		if o.Cause != outcome.None {
			return service.Answer{}, worst(mayHaveRun, o)
		}
		invariant.Check(p.permitted, "no dispatch without a permission", "request", id, "service", p.service)
		a, o := s.opts.Services.Do(ctx, service.Call{
			Address: placed.Backend.Address, Method: p.method, Path: p.path, Query: p.query,
			ContentType: p.contentType, Key: p.key, RequestID: id, Body: p.body,
		})
		mayHaveRun = mayHaveRun || o.Kind == outcome.Unknown
		again := o.Kind != outcome.Finished && attempt < maxAttempts && ctx.Err() == nil &&
			(o.Kind == outcome.NotRun || p.repeatable || (p.deduplicates && p.key != ""))
		s.opts.Broker.Ended(control.AttemptEnded{ID: id, Outcome: o, Last: !again})
		if !again {
			return a, worst(mayHaveRun && o.Kind != outcome.Finished, o)
		}
		t.Add(wire.Event{Kind: incident.EventRestarted, Engine: placed.Backend.Name, Cause: string(o.Cause)})
		place.Retry = true
		place.Excluded = append(place.Excluded, placed.Backend.Name)
	}
}

// worst keeps a later refusal from hiding that an earlier attempt may have run.
func worst(mayHaveRun bool, o outcome.Outcome) outcome.Outcome {
	if mayHaveRun {
		o.Kind = outcome.Unknown
	}
	if o.Kind == outcome.Unknown && planted.Is(planted.UnknownCalledNotRun) {
		o.Kind = outcome.NotRun
	}
	return o
}
