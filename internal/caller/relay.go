package caller

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/problem"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// maxAttempts limits the generations that one request may start.
	maxAttempts = 4
	// maxLostEngines limits the engines that may be lost while they ran one request: the
	// request may be what ends them.
	maxLostEngines = 2
	// maxResumes limits the consecutive resumes without a token in between.
	maxResumes = 5
	// initialResumeBackoff is the delay before the second resume; it doubles with
	// each further one.
	initialResumeBackoff = 50 * time.Millisecond
	// ResumeGrace is how long a generation is kept running after the caller's
	// connection was lost, so that the caller can resume it.
	ResumeGrace   = 5 * time.Second
	cancelTimeout = 2 * time.Second
)

// generate runs a model request until it ends.
type generate struct{ s *Server }

func (f generate) apply(req *request) (outcome.Result, bool) {
	call := &modelCall{s: f.s, req: req, place: control.Place{
		ID: req.id, Workspace: req.workspace.Name, Service: req.service.Name, Class: req.model.class,
		PromptTokens: req.model.promptTokens, MaxTokens: req.model.maxTokens, Prefix: req.model.prefixHash(),
		Segments: req.model.segments,
	}}
	if !req.model.stream {
		req.response = f.s.opts.Responses.Reserve()
		call.out = &bufferSink{req: req}
		return call.run(), false
	}
	call.out = newStreamSink(req, req.format == formatChat)
	r, stream, o := call.begin()
	if stream != nil {
		stream.Await()
		if f.s.relayDetached(req, stream, func() outcome.Result { return call.finish(r, stream) }) {
			return outcome.Result{}, false
		}
		o = call.finish(r, stream)
	}
	return failStream(req, call.out, o), false
}

// failStream sends an error event if the response is a stream that ended early.
func failStream(req *request, out sink, o outcome.Result) outcome.Result {
	if s, streaming := out.(*streamSink); streaming && o.Cause != outcome.None {
		s.fail(req.id, o)
	}
	return o
}

// relayDetached runs relayRest in a separate goroutine on the hijacked
// connection, so that the HTTP server's memory for the connection is freed. It
// reports whether the connection could be hijacked.
func (s *Server) relayDetached(req *request, stream *engine.Stream, relayRest func() outcome.Result) bool {
	if req.r.Context().Err() != nil {
		return false
	}
	req.detached = s.detach(req)
	if req.detached == nil {
		return false
	}
	stream.Bind(req.r.Context())
	go func() {
		defer s.openRequests.done()
		o := relayRest()
		if o.Cause != outcome.None && req.started {
			body := problem.New(req.id, o)
			writeStreamError(req, body)
		}
		s.finishRequest(req, o)
		req.detached.end()
		s.detachedConns.remove(req.detached.conn)
	}()
	return true
}

// modelCall is a model request and the state of its attempts.
type modelCall struct {
	s          *Server
	req        *request
	out        sink
	place      control.Place
	attempt    int
	previous   outcome.Result // outcome of the previous attempt
	mayHaveRun bool           // an engine may have started a generation
	lost       int            // engines that were lost while they may have run the request
}

// run starts generations until the request ends.
func (c *modelCall) run() outcome.Result {
	r, stream, o := c.begin()
	if stream == nil {
		return o
	}
	return c.finish(r, stream)
}

// begin places the request and starts a generation. If an engine refuses, begin
// tries another one. When no stream is returned, the result is final.
func (c *modelCall) begin() (*relay, *engine.Stream, outcome.Result) {
	for {
		c.attempt++
		c.place.Deadline = time.Now().Add(time.Duration(c.s.opts.Limits.WaitMs) * time.Millisecond)
		placed, o, events := c.s.opts.Broker.Place(c.req.r.Context(), c.place)
		for _, e := range events {
			c.req.timeline.Add(e)
		}
		if o.Cause != outcome.None {
			return nil, nil, c.markInterruptedIfRan(mergeOutcomes(c.previous, o))
		}
		r := c.s.newRelay(c.req, c.out, placed, c.attempt)
		stream, o := r.start()
		if stream != nil {
			c.mayHaveRun = true
			return r, stream, outcome.Result{}
		}
		if !c.retry(r, o) {
			return nil, nil, c.markInterruptedIfRan(o)
		}
	}
}

// finish relays a generation. If it fails before a token was delivered, finish
// starts a new one on another engine.
func (c *modelCall) finish(r *relay, stream *engine.Stream) outcome.Result {
	for {
		o := r.run(stream)
		if !c.retry(r, o) {
			return c.markInterruptedIfRan(o)
		}
		if r, stream, o = c.begin(); stream == nil {
			return o
		}
	}
}

// markInterruptedIfRan changes the Kind of o from NotRun to Interrupted when an
// earlier attempt may have run on an engine.
func (c *modelCall) markInterruptedIfRan(o outcome.Result) outcome.Result {
	if c.mayHaveRun && o.Kind == outcome.NotRun && !mutation.Enabled(mutation.NotRunWithoutCheck) {
		o.Kind = outcome.Interrupted
	}
	return o
}

// retry reports the end of an attempt to the broker and returns whether to make
// another one.
func (c *modelCall) retry(r *relay, o outcome.Result) bool {
	c.mayHaveRun = c.mayHaveRun || r.mayHaveRun
	if r.mayHaveRun && o.Cause == outcome.EngineLost {
		c.lost++
	}
	retry := retriable(o) && (c.out.restartable() || mutation.Enabled(mutation.RestartMidStream)) &&
		c.attempt < maxAttempts && c.lost < maxLostEngines && c.req.r.Context().Err() == nil
	c.s.opts.Broker.AttemptEnded(control.AttemptEnded{ID: c.req.id, Tokens: r.next, Outcome: o, Last: !retry})
	if r.mayHaveRun && o.Cause == outcome.EngineLost {
		go c.s.checkEngine(r.backend)
	}
	if !retry {
		return false
	}
	c.previous = o
	c.place.Retry = true
	c.place.Excluded = append(c.place.Excluded, r.backend.Name)
	c.req.timeline.Add(wire.Event{Kind: incident.EventRestarted, Engine: r.backend.Name, Cause: string(o.Cause)})
	return true
}

// checkEngine reports an engine that was lost while it may have run a request, if it does
// not respond any more. An engine that takes no new connections may continue on open ones.
func (s *Server) checkEngine(engine wire.Backend) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, running := s.opts.Engines.LoadReport(ctx, engine.Address); !running && s.opts.Engines.OpenStreams(engine.Address) == 0 {
		s.opts.Broker.ReportEnded(engine.Name)
	}
}

// mergeOutcomes returns the outcome of a request that could not be placed because
// of refusal, after an attempt that ended with previous, if there was one. It is
// normally previous, with refusal in its detail, but refusal when nothing ran and
// the engines are still loading weights, or when the caller is gone.
func mergeOutcomes(previous, refusal outcome.Result) outcome.Result {
	loading := previous.Kind == outcome.NotRun && refusal.Cause == outcome.WeightStoreRate
	if previous.Cause == outcome.None || loading || refusal.Cause == outcome.CallerGone {
		return refusal
	}
	previous.Detail = "no other engine: " + refusal.Cause.Description()
	previous.RetryAt = refusal.RetryAt
	return previous
}

func retriable(o outcome.Result) bool {
	switch o.Cause {
	case outcome.EngineLost, outcome.EngineReclaimed, outcome.EngineRefused, outcome.StalledLink, outcome.NoReplica:
		return true
	}
	return false
}

// relay copies the tokens of one generation to a sink.
type relay struct {
	s             *Server
	req           *request
	out           sink
	backend       wire.Backend
	token         ResumeToken
	next          int  // index of the next token
	mayHaveRun    bool // the engine may have started the generation
	lastTokenAt   time.Time
	linkLossCause outcome.Cause // cause of the latest connection loss since the last token; None without one
	idleTimeout   time.Duration
}

func (s *Server) newRelay(req *request, out sink, placed control.Placed, attempt int) *relay {
	token := ResumeToken{
		Request: req.id, Generation: req.id + "-" + strconv.Itoa(attempt), VM: s.opts.VM, Engine: placed.Backend.Name,
		Workspace: req.workspace.Name, Service: req.service.Name, Chat: req.format == formatChat,
		CreatedUnix: req.received.Unix(), PromptTokens: req.model.promptTokens, MaxTokens: req.model.maxTokens,
		Revision: placed.Revision, IncludeUsage: req.model.includeUsage,
	}
	return s.relayAt(req, out, placed.Backend, token, 0)
}

func (s *Server) relayAt(req *request, out sink, backend wire.Backend, token ResumeToken, index int) *relay {
	r := &relay{
		s: s, req: req, out: out, backend: backend, token: token, next: index, lastTokenAt: req.received,
		idleTimeout: time.Duration(s.opts.Limits.TokenDeadlineMs) * time.Millisecond,
	}
	if stream, streaming := out.(*streamSink); streaming {
		stream.prepare(token, s.resumeTokens.Sign(token), index)
	} else {
		out.begin(token, index)
	}
	return r
}

// start starts the generation. When no stream is returned, the result holds the
// cause.
func (r *relay) start() (*engine.Stream, outcome.Result) {
	stream, cause, mayHaveRun := r.s.opts.Engines.Start(r.req.r.Context(), r.backend.Address, wire.GenerateRequest{
		Generation: r.token.Generation, Model: r.req.service.Model, Prompt: r.req.model.prompt,
		PromptTokens: r.req.model.promptTokens, MaxTokens: r.req.model.maxTokens, Priority: priority(r.req.model.class),
	}, r.idleTimeout)
	r.mayHaveRun = mayHaveRun
	if stream == nil {
		if cause == outcome.EngineReclaimed {
			r.s.opts.Broker.ReportLeaving(r.backend.Name)
		}
		if mayHaveRun {
			go r.cancel()
		}
		return nil, r.failureOutcome(cause)
	}
	return stream, outcome.Result{}
}

func priority(class string) int {
	if class == control.ClassBatch {
		return 0
	}
	return 1
}

// run relays until the generation ends, and resumes the stream after the
// connection was lost or stalled.
func (r *relay) run(stream *engine.Stream) outcome.Result {
	resumes := 0
	for {
		nextBefore := r.next
		end, err := r.copyTokens(stream)
		stream.Close()
		if r.next > nextBefore {
			resumes = 0
		}
		if errors.Is(err, errResponseFull) {
			go r.cancel()
			return r.failureOutcome(outcome.ResponseFull)
		}
		if err != nil || r.req.r.Context().Err() != nil {
			return r.handleCallerGone()
		}
		if end.Cause == outcome.None {
			if r.out.end(r.token, end.Tokens) != nil {
				return r.handleCallerGone()
			}
			return outcome.Done(end.Tokens)
		}
		r.recordLinkLoss(end.Cause)
		if end.Cause != outcome.StalledLink && end.Cause != outcome.EngineLost {
			return r.failureOutcome(end.Cause)
		}
		stream, resumes = r.resume(resumes)
		if stream == nil {
			return r.cancelUnreachable(end.Cause)
		}
	}
}

// copyTokens copies tokens to the sink until the stream ends. An error is one of
// writing to the caller.
func (r *relay) copyTokens(stream *engine.Stream) (engine.End, error) {
	for {
		token, end, ok := stream.Next()
		if !ok {
			return end, nil
		}
		r.recordToken()
		if err := r.out.token(token.Index, token.Text); err != nil {
			return engine.End{}, err
		}
		r.next++
		if stream.Buffered() {
			continue
		}
		if err := r.out.flush(); err != nil {
			return engine.End{}, err
		}
	}
}

// recordToken records the time since the previous token, or since the request
// was received, in the metrics and the timeline.
func (r *relay) recordToken() {
	now := time.Now()
	gap := now.Sub(r.lastTokenAt)
	r.lastTokenAt = now
	m := r.s.metrics
	m.Tokens.Inc()
	if r.next == 0 {
		m.FirstToken.Observe(gap.Seconds())
		r.req.timeline.Add(wire.Event{Kind: incident.EventFirstToken, Engine: r.backend.Name, Value: int(gap.Milliseconds())})
	} else {
		m.InterToken.Observe(gap.Seconds())
	}
	cause, index := r.takeStallCause(), r.next
	if gap <= incident.StallAfter {
		return
	}
	m.Stall.Add((gap - incident.StallAfter).Seconds())
	r.req.timeline.AddStall(gap - incident.StallAfter)
	if index > 0 {
		r.req.timeline.Add(wire.Event{
			Kind: incident.EventStalled, Engine: r.backend.Name, Cause: string(cause), Value: int(gap.Milliseconds()),
		})
	}
}

// takeStallCause returns and resets the cause of a gap between tokens: the loss of
// the connection if there was one, otherwise preemption by the engine, since the
// connection itself was working.
func (r *relay) takeStallCause() outcome.Cause {
	cause := r.linkLossCause
	r.linkLossCause = outcome.None
	if cause == outcome.None {
		return outcome.Preempted
	}
	return cause
}

func (r *relay) recordLinkLoss(cause outcome.Cause) {
	r.linkLossCause = cause
	r.req.timeline.Add(wire.Event{
		Kind: incident.EventLinkLost, Engine: r.backend.Name, Cause: string(cause), Value: r.next,
	})
}

// resume reopens the stream at the next missing token. It returns the stream, or
// nil, and the number of consecutive resumes.
func (r *relay) resume(resumes int) (*engine.Stream, int) {
	backoff := initialResumeBackoff
	for resumes < maxResumes {
		resumes++
		stream, _ := r.s.opts.Engines.Resume(r.req.r.Context(), r.backend.Address, r.token.Generation, r.next, r.idleTimeout)
		if stream != nil {
			r.s.metrics.Resumes.Inc()
			r.req.timeline.Add(wire.Event{Kind: incident.EventResumed, Engine: r.backend.Name, Value: r.next})
			return stream, resumes
		}
		if !sleep.For(r.req.r.Context(), backoff) {
			return nil, resumes
		}
		backoff *= 2
	}
	return nil, resumes
}

// cancelUnreachable cancels a generation whose stream could not be resumed and
// returns the outcome.
func (r *relay) cancelUnreachable(cause outcome.Cause) outcome.Result {
	if r.req.r.Context().Err() != nil {
		return r.handleCallerGone()
	}
	go r.cancel()
	return r.failureOutcome(cause)
}

func (r *relay) failureOutcome(cause outcome.Cause) outcome.Result {
	o := outcome.Result{Kind: outcome.Interrupted, Cause: cause, Tokens: r.next, Detail: "engine " + r.backend.Name}
	if !r.mayHaveRun || mutation.Enabled(mutation.NotRunWithoutCheck) {
		o.Kind = outcome.NotRun
	}
	if r.out.restartable() {
		o.Tokens = 0
	}
	return o
}

// handleCallerGone cancels the generation. If tokens were delivered, it first
// waits up to ResumeGrace. If the caller resumes the stream on another connection
// or VM in that time, the generation keeps running.
func (r *relay) handleCallerGone() outcome.Result {
	o := outcome.Result{Kind: outcome.Interrupted, Cause: outcome.CallerGone, Tokens: r.next}
	if !r.out.restartable() {
		taken := r.s.disconnected.add(r.token.Generation)
		defer r.s.disconnected.remove(r.token.Generation)
		t := time.NewTimer(ResumeGrace)
		defer t.Stop()
		select {
		case <-taken:
			o.Detail = "the caller went on through another connection"
			return o
		case <-t.C:
		}
	}
	r.cancel()
	return o
}

func (r *relay) cancel() {
	if mutation.Enabled(mutation.DisconnectIgnored) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	r.s.opts.Engines.Cancel(ctx, r.backend.Address, r.token.Generation)
}
