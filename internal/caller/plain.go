package caller

import (
	"context"
	"encoding/base64"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/pimentohinge/pimentohinge/internal/claim"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/invariant"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/service"
	"github.com/pimentohinge/pimentohinge/internal/ticket"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	maxIdempotencyKeyBytes = 255
	// settleWait is how long a response is held back for its claim to be settled.
	settleWait = 250 * time.Millisecond
	// settleTimeout limits the update of the claim itself.
	settleTimeout = 10 * time.Second
)

// plainCall is a call to a plain service.
type plainCall struct {
	service      string
	workspace    string
	method       string
	path         string
	query        string
	contentType  string
	body         []byte
	key          string // idempotency key for the backend; empty for none
	hash         string // hash of method, path and body
	idempotent   bool   // may run more than once
	deduplicates bool   // the backend runs each idempotency key at most once
	permitted    bool   // a claim or ticket was granted, or none is needed
	// settle records the outcome in the claim or ticket; nil if there is none.
	settle func(service.Response, outcome.Result)
}

// decodeService decodes a call to a plain service.
type decodeService struct{ s *Server }

func (f decodeService) apply(req *request) (outcome.Result, bool) {
	name := chi.URLParam(req.r, "service")
	svc, found := req.state.Services[name]
	if !found || svc.Kind != configchain.KindPlain {
		return outcome.Refuse(outcome.NotFound, "service "+name), false
	}
	if o, ok := authorizeService(req, svc); !ok {
		return o, false
	}
	body, o, ok := f.s.readBody(req)
	if !ok {
		return o, false
	}
	callPath := path.Clean("/" + chi.URLParam(req.r, "*"))
	retryForbidden := nonRepeatable(svc, req.r.Method, callPath)
	req.plain = plainCall{
		service: name, workspace: req.workspace.Name, method: req.r.Method, path: callPath, query: req.r.URL.RawQuery,
		contentType: req.r.Header.Get("Content-Type"), body: body,
		hash:       claim.Hash(req.r.Method, callPath+"?"+req.r.URL.RawQuery, body),
		idempotent: !retryForbidden && isSafeMethod(req.r.Method), deduplicates: svc.Deduplicates, permitted: true,
	}
	req.timeline = f.s.opts.Incidents.Start(req.id, req.workspace.Name, name)
	req.timeline.SetRevision(req.state.Number)
	return outcome.Result{}, true
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// nonRepeatable reports whether the configuration forbids retrying a call. A
// trailing asterisk in a path pattern matches every path with that prefix.
func nonRepeatable(svc wire.Service, method, callPath string) bool {
	for _, rule := range svc.NonRepeatable {
		ruleMethod, pattern, _ := strings.Cut(rule, " ")
		if ruleMethod != method {
			continue
		}
		if prefix, isPrefix := strings.CutSuffix(pattern, "*"); callPath == pattern || (isPrefix && strings.HasPrefix(callPath, prefix)) {
			return true
		}
	}
	return false
}

// checkIdempotency obtains the permission for a call that must run at most once:
// a claim for the caller's idempotency key, or a ticket.
type checkIdempotency struct{ s *Server }

func (f checkIdempotency) apply(req *request) (outcome.Result, bool) {
	key, token := req.r.Header.Get("Idempotency-Key"), req.r.Header.Get(headerIdempotencyTicket)
	switch {
	case key != "" && token != "":
		return outcome.Refuse(outcome.BadRequest, "send either Idempotency-Key or "+headerIdempotencyTicket), false
	case len(key) > maxIdempotencyKeyBytes:
		return outcome.Refuse(outcome.BadRequest, "Idempotency-Key must have at most 255 bytes"), false
	case token != "":
		return f.s.spendTicket(req, token)
	case key != "" && !isSafeMethod(req.r.Method):
		return f.s.acquireClaim(req, key)
	}
	return outcome.Result{}, true
}

func (s *Server) acquireClaim(req *request, key string) (outcome.Result, bool) {
	req.plain.key = req.workspace.Name + ":" + key
	req.plain.permitted = false
	started := time.Now()
	// The result of the claim must be known even if the caller disconnects.
	ctx := context.WithoutCancel(req.r.Context())
	record, result := s.opts.Claims.Acquire(ctx, claim.Attempt{
		Workspace: req.workspace.Name, Key: req.service.Name + "/" + key, BodyHash: req.plain.hash, ID: req.id,
		Deduplicates: req.service.Deduplicates,
	})
	req.timeline.Add(wire.Event{
		Kind: incident.EventClaimed, Detail: "result " + claimResults[result], Value: int(time.Since(started).Milliseconds()),
	})
	if result != claim.Granted && !mutation.Enabled(mutation.DispatchWithoutClaim) {
		return s.claimRefused(req, record, result)
	}
	req.plain.permitted = true
	req.plain.settle = func(response service.Response, o outcome.Result) { s.settleClaim(record, response, o) }
	return outcome.Result{}, true
}

var claimResults = map[claim.Result]string{
	claim.Granted: "granted", claim.Replayed: "replayed", claim.Taken: "taken",
	claim.HolderLost: "holder lost", claim.KeyReused: "key reused", claim.PlatformUnavailable: "platform out",
}

// claimRefused handles a call whose claim was not granted: it sends the stored
// response of an earlier attempt, or else returns why the call must not be dispatched.
func (s *Server) claimRefused(req *request, record claim.Record, result claim.Result) (outcome.Result, bool) {
	holder := "attempt " + record.Claim.Attempt + " by " + record.Claim.Vm
	switch result {
	case claim.Replayed:
		status, contentType, body, ok := claim.DecodeResponse(record.Claim)
		if !ok {
			return outcome.Result{Kind: outcome.Interrupted, Cause: outcome.ResponseNotStored, Detail: holder}, false
		}
		req.w.Header().Set("Idempotent-Replayed", "true")
		return writeResponse(req, service.Response{Status: status, ContentType: contentType, Body: body})
	case claim.KeyReused:
		return outcome.Refuse(outcome.KeyReused, ""), false
	case claim.Taken:
		return outcome.Result{
			Kind: outcome.Unknown, Cause: outcome.ClaimTaken, Detail: holder, RetryAt: time.Now().Add(time.Second),
		}, false
	case claim.HolderLost:
		return outcome.Result{Kind: outcome.Unknown, Cause: outcome.HolderLost, Detail: holder}, false
	}
	o := outcome.Refuse(outcome.PlatformUnavailable, "this attempt was not sent; a ticket works without the platform")
	o.RetryAt = time.Now().Add(time.Second)
	return o, false
}

// settleClaim records the outcome of a claimed call in the background. It waits
// at most settleWait, so that a repeated request usually finds the response.
func (s *Server) settleClaim(record claim.Record, response service.Response, o outcome.Result) {
	// The memory of the response may be released while the claim is being settled.
	body := slices.Clone(response.Body[:min(len(response.Body), claim.MaxResponseBytes+1)])
	done := make(chan struct{})
	s.openRequests.add()
	go func() {
		defer s.openRequests.done()
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		switch o.Kind {
		case outcome.Finished:
			s.opts.Claims.Finish(ctx, record, response.Status, response.ContentType, body)
		case outcome.NotRun:
			s.opts.Claims.Release(ctx, record)
		default:
			s.opts.Claims.MarkUnknown(ctx, record)
		}
	}()
	t := time.NewTimer(settleWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// spendTicket spends a ticket of this VM, or forwards the call to the VM that
// issued it.
func (s *Server) spendTicket(req *request, token string) (outcome.Result, bool) {
	opened, known := s.opts.Tickets.Verify(token)
	if known && opened.VM != s.opts.VM && !mutation.Enabled(mutation.TicketSpentAnywhere) {
		response, o := s.forwardCall(req, opened, token)
		if o.Kind == outcome.Finished {
			return writeResponse(req, response)
		}
		return o, false
	}
	if response, o, permitted := s.spendOwnTicket(&req.plain, token); !permitted {
		if o.Kind == outcome.Finished {
			req.w.Header().Set("Idempotent-Replayed", "true")
			return writeResponse(req, response)
		}
		return o, false
	}
	req.timeline.Add(wire.Event{Kind: incident.EventClaimed, Detail: "ticket of this VM"})
	return outcome.Result{}, true
}

// spendOwnTicket spends a ticket that this process issued. It returns false and
// the result when the call must not be dispatched. If the ticket was spent on the
// same call before, the Kind may be Finished, together with the stored response.
func (s *Server) spendOwnTicket(call *plainCall, token string) (service.Response, outcome.Result, bool) {
	opened, previous, result := s.opts.Tickets.Spend(time.Now(), token, call.workspace, call.hash)
	switch result {
	case ticket.Granted:
		call.key = opened.Nonce
		call.settle = func(response service.Response, o outcome.Result) { s.settleTicket(opened, call.hash, response, o) }
		return service.Response{}, outcome.Result{}, true
	case ticket.Spent:
		if previous.BodyHash != call.hash {
			return service.Response{}, outcome.Refuse(outcome.KeyReused, "the ticket was spent on another request"), false
		}
		if previous.Omitted {
			return service.Response{}, outcome.Result{Kind: outcome.Interrupted, Cause: outcome.ResponseNotStored}, false
		}
		if previous.Done {
			return service.Response{Status: previous.Status, ContentType: previous.ContentType, Body: previous.Body}, outcome.Done(0), false
		}
		return service.Response{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.TicketSpent}, false
	case ticket.IssuerRestarted, ticket.OtherIssuer:
		return service.Response{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: opened.VM}, false
	case ticket.Forgotten:
		return service.Response{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.TicketExpired}, false
	case ticket.Full:
		o := outcome.Refuse(outcome.VMFull, "the ticket was not spent")
		o.RetryAt = time.Now().Add(fullRetryDelay)
		return service.Response{}, o, false
	case ticket.Expired:
		return service.Response{}, outcome.Refuse(outcome.BadRequest, "the ticket has expired and was not spent"), false
	}
	return service.Response{}, outcome.Refuse(outcome.BadRequest, "the ticket is not one of this workspace"), false
}

func (s *Server) settleTicket(opened ticket.Ticket, hash string, response service.Response, o outcome.Result) {
	switch o.Kind {
	case outcome.Finished:
		s.opts.Tickets.StoreResponse(opened, ticket.Response{Done: true, BodyHash: hash, Status: response.Status, ContentType: response.ContentType, Body: response.Body})
	case outcome.NotRun:
		s.opts.Tickets.Release(opened)
	}
}

func (s *Server) forwardCall(req *request, opened ticket.Ticket, token string) (service.Response, outcome.Result) {
	req.timeline.Add(wire.Event{Kind: incident.EventClaimed, Detail: "ticket of " + opened.VM + ", forwarded"})
	answer, o := s.opts.Broker.Forward(context.WithoutCancel(req.r.Context()), opened.VM, wire.ServiceCall{
		Id: req.id, Ticket: token, Workspace: req.plain.workspace, Service: req.plain.service, Method: req.plain.method,
		Path: req.plain.path + "?" + req.plain.query, ContentType: req.plain.contentType,
		Body: base64.StdEncoding.EncodeToString(req.plain.body), RequestId: req.id,
	})
	if o.Cause != outcome.None {
		return service.Response{}, o
	}
	body, err := base64.StdEncoding.DecodeString(answer.Body)
	if err != nil {
		return service.Response{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: "the forwarded answer was damaged"}
	}
	return service.Response{Status: answer.Status, ContentType: answer.ContentType, Body: body},
		outcome.Result{Kind: outcome.Kind(answer.Outcome), Cause: outcome.Cause(answer.Cause)}
}

// ServeForwarded runs a call that another VM forwarded because this VM issued its
// ticket.
func (s *Server) ServeForwarded(ctx context.Context, forwarded wire.ServiceCall) wire.ServiceAnswer {
	s.openRequests.add()
	defer s.openRequests.done()
	answer := wire.ServiceAnswer{Id: forwarded.Id}
	body, err := base64.StdEncoding.DecodeString(forwarded.Body)
	svc, found := s.opts.Broker.State().Services[forwarded.Service]
	if err != nil || !found {
		answer.Outcome, answer.Cause = string(outcome.NotRun), string(outcome.NotFound)
		return answer
	}
	callPath, query, _ := strings.Cut(forwarded.Path, "?")
	call := plainCall{
		service: forwarded.Service, workspace: forwarded.Workspace, method: forwarded.Method, path: callPath, query: query,
		contentType: forwarded.ContentType, body: body, hash: claim.Hash(forwarded.Method, forwarded.Path, body),
		deduplicates: svc.Deduplicates, permitted: true,
	}
	response, o, permitted := s.spendOwnTicket(&call, forwarded.Ticket)
	if permitted {
		timeline := s.opts.Incidents.Start(forwarded.Id, forwarded.Workspace, forwarded.Service)
		response, o = s.runPlain(ctx, forwarded.Id, call, timeline)
		defer response.Release()
		s.opts.Incidents.Finish(timeline, o)
	}
	answer.Status, answer.ContentType, answer.Body = response.Status, response.ContentType, base64.StdEncoding.EncodeToString(response.Body)
	answer.Outcome, answer.Cause = string(o.Kind), string(o.Cause)
	return answer
}

// dispatch sends the call to a backend and writes the response.
type dispatch struct{ s *Server }

func (f dispatch) apply(req *request) (outcome.Result, bool) {
	ctx := req.r.Context()
	if !req.plain.idempotent {
		// If the caller disconnects, cancelling the call would leave its outcome unknown.
		ctx = context.WithoutCancel(ctx)
	}
	response, o := f.s.runPlain(ctx, req.id, req.plain, req.timeline)
	defer response.Release()
	if o.Kind != outcome.Finished {
		return o, false
	}
	return writeResponse(req, response)
}

func writeResponse(req *request, response service.Response) (outcome.Result, bool) {
	if response.ContentType != "" {
		req.w.Header().Set("Content-Type", response.ContentType)
	}
	req.started = true
	req.w.WriteHeader(response.Status)
	req.write(response.Body)
	return outcome.Done(0), false
}

// runPlain sends a call to a backend and settles its claim or ticket. It retries the
// call when it certainly did not run, is idempotent, or has a key by which the
// backend deduplicates it.
func (s *Server) runPlain(ctx context.Context, id string, call plainCall, timeline *incident.Timeline) (service.Response, outcome.Result) {
	response, o := s.runPlainAttempts(ctx, id, call, timeline)
	if call.settle != nil {
		call.settle(response, o)
	}
	return response, o
}

func (s *Server) runPlainAttempts(ctx context.Context, id string, call plainCall, timeline *incident.Timeline) (service.Response, outcome.Result) {
	place := control.Place{ID: id, Workspace: call.workspace, Service: call.service, Class: control.ClassInteractive}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		place.Deadline = time.Now().Add(time.Duration(s.opts.Limits.WaitMs) * time.Millisecond)
		placed, o, events := s.opts.Broker.Place(ctx, place)
		for _, e := range events {
			timeline.Add(e)
		}
		if o.Cause != outcome.None {
			return service.Response{}, markUnknownIfRan(mayHaveRun, o)
		}
		invariant.Check(call.permitted, "dispatch only with permission", "request", id, "service", call.service)
		response, o := s.opts.Services.Do(ctx, service.Call{
			Address: placed.Backend.Address, Method: call.method, Path: call.path, Query: call.query,
			ContentType: call.contentType, Key: call.key, RequestID: id, Body: call.body,
		})
		mayHaveRun = mayHaveRun || o.Kind == outcome.Unknown
		retry := o.Kind != outcome.Finished && attempt < maxAttempts && ctx.Err() == nil &&
			(o.Kind == outcome.NotRun || call.idempotent || (call.deduplicates && call.key != ""))
		s.opts.Broker.AttemptEnded(control.AttemptEnded{ID: id, Outcome: o, Last: !retry})
		if !retry {
			return response, markUnknownIfRan(mayHaveRun && o.Kind != outcome.Finished, o)
		}
		response.Release()
		timeline.Add(wire.Event{Kind: incident.EventRestarted, Engine: placed.Backend.Name, Cause: string(o.Cause)})
		place.Retry = true
		place.Excluded = append(place.Excluded, placed.Backend.Name)
	}
}

// markUnknownIfRan sets the Kind of o to Unknown when an earlier attempt may have
// run, so that a later refusal is not reported as notRun.
func markUnknownIfRan(mayHaveRun bool, o outcome.Result) outcome.Result {
	if mayHaveRun {
		o.Kind = outcome.Unknown
	}
	if o.Kind == outcome.Unknown && mutation.Enabled(mutation.UnknownReportedNotRun) {
		o.Kind = outcome.NotRun
	}
	return o
}
