package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/problem"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// maxAttempts bounds the generations that one request may start.
	maxAttempts = 4
	// maxResumes bounds the resumes without a token in between.
	maxResumes = 5
	// initialResumeBackoff is the pause before the second resume; it doubles.
	initialResumeBackoff = 50 * time.Millisecond
	// ResumeGrace is how long a stream is kept for a caller that lost its connection.
	ResumeGrace   = 5 * time.Second
	cancelTimeout = 2 * time.Second
)

// generate runs a model request to its end.
type generate struct{ s *Server }

func (f generate) apply(req *request) (outcome.Outcome, bool) {
	j := &job{s: f.s, req: req, place: control.Place{
		ID: req.id, Workspace: req.workspace.Name, Service: req.service.Name, Class: req.model.class,
		PromptTokens: req.model.promptTokens, MaxTokens: req.model.maxTokens, Prefix: req.model.prefixHash(),
	}}
	if !req.model.stream {
		j.out = &bufferSink{req: req}
		return j.run(), false
	}
	j.out = newStreamSink(req, req.format == formatChat)
	r, stream, o := j.begin()
	if stream != nil {
		stream.Await()
		if f.s.relayDetached(req, stream, func() outcome.Outcome { return j.finish(r, stream) }) {
			return outcome.Outcome{}, false
		}
		o = j.finish(r, stream)
	}
	return failStream(req, j.out, o), false
}

// failStream tells a caller whose stream has begun why it ended early.
func failStream(req *request, out sink, o outcome.Outcome) outcome.Outcome {
	if s, streaming := out.(*streamSink); streaming && o.Cause != outcome.None {
		s.fail(req.id, o)
	}
	return o
}

// relayDetached relays the rest of a stream in a goroutine of its own, so that the HTTP
// server's memory for the connection is freed. It reports whether it could.
func (s *Server) relayDetached(req *request, stream *engine.Stream, relayRest func() outcome.Outcome) bool {
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
		s.account(req, o)
		req.detached.end()
		s.detachedConns.remove(req.detached.conn)
	}()
	return true
}

// job is a model request with the attempts that it takes.
type job struct {
	s          *Server
	req        *request
	out        sink
	place      control.Place
	attempt    int
	previous   outcome.Outcome // of the attempt before
	mayHaveRun bool            // an engine may have begun
}

// run makes attempts until the request ends.
func (j *job) run() outcome.Outcome {
	r, stream, o := j.begin()
	if stream == nil {
		return o
	}
	return j.finish(r, stream)
}

// begin places the request and starts a generation, on another engine when one
// refuses. Without a stream the outcome is final.
func (j *job) begin() (*relay, *engine.Stream, outcome.Outcome) {
	for {
		j.attempt++
		j.place.Deadline = time.Now().Add(time.Duration(j.s.opts.Limits.WaitMs) * time.Millisecond)
		placed, o, events := j.s.opts.Broker.Place(j.req.r.Context(), j.place)
		for _, e := range events {
			j.req.timeline.Add(e)
		}
		if o.Cause != outcome.None {
			return nil, nil, j.markInterruptedIfRan(mergeOutcomes(j.previous, o))
		}
		r := j.s.newRelay(j.req, j.out, placed, j.attempt)
		stream, o := r.start()
		if stream != nil {
			j.mayHaveRun = true
			return r, stream, outcome.Outcome{}
		}
		if !j.retry(r, o) {
			return nil, nil, j.markInterruptedIfRan(o)
		}
	}
}

// finish relays a generation and, while nothing was delivered, starts others in
// its place.
func (j *job) finish(r *relay, stream *engine.Stream) outcome.Outcome {
	for {
		o := r.run(stream)
		if !j.retry(r, o) {
			return j.markInterruptedIfRan(o)
		}
		if r, stream, o = j.begin(); stream == nil {
			return o
		}
	}
}

// markInterruptedIfRan keeps an outcome from saying that nothing ran when an earlier attempt
// did run on an engine, if in vain.
func (j *job) markInterruptedIfRan(o outcome.Outcome) outcome.Outcome {
	if j.mayHaveRun && o.Kind == outcome.NotRun && !mutation.Enabled(mutation.NotRunWithoutCheck) {
		o.Kind = outcome.Interrupted
	}
	return o
}

// retry ends an attempt and reports whether another one is to follow.
func (j *job) retry(r *relay, o outcome.Outcome) bool {
	j.mayHaveRun = j.mayHaveRun || r.mayHaveRun
	retry := retriable(o) && (j.out.restartable() || mutation.Enabled(mutation.RestartMidStream)) &&
		j.attempt < maxAttempts && j.req.r.Context().Err() == nil
	j.s.opts.Broker.AttemptEnded(control.Ended{ID: j.req.id, Tokens: r.next, Outcome: o, Last: !retry})
	if !retry {
		return false
	}
	j.previous = o
	j.place.Retry = true
	j.place.Excluded = append(j.place.Excluded, r.backend.Name)
	j.req.timeline.Add(wire.Event{Kind: incident.EventRestarted, Engine: r.backend.Name, Cause: string(o.Cause)})
	return true
}

// mergeOutcomes tells the caller why the first attempt failed when no further
// one could be made, or that the engines are still loading.
func mergeOutcomes(first, second outcome.Outcome) outcome.Outcome {
	loading := first.Kind == outcome.NotRun && second.Cause == outcome.WeightStoreRate
	if first.Cause == outcome.None || loading || second.Cause == outcome.CallerGone {
		return second
	}
	first.Detail = "no other engine: " + second.Cause.Sentence()
	first.RetryAt = second.RetryAt
	return first
}

func retriable(o outcome.Outcome) bool {
	switch o.Cause {
	case outcome.EngineLost, outcome.EngineReclaimed, outcome.EngineRefused, outcome.StalledLink, outcome.NoReplica:
		return true
	}
	return false
}

// relay passes the tokens of one generation to a sink.
type relay struct {
	s             *Server
	req           *request
	out           sink
	backend       wire.Backend
	token         ResumeToken
	next          int  // index of the next token
	mayHaveRun    bool // the engine may have begun
	lastTokenAt   time.Time
	linkLossCause outcome.Cause // of the newest break since the last token
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
		stream.prepare(token, s.resumeTokens.Seal(token), index)
	} else {
		out.begin(token, index)
	}
	return r
}

// start begins the generation. Without a stream the outcome says why.
func (r *relay) start() (*engine.Stream, outcome.Outcome) {
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
	return stream, outcome.Outcome{}
}

func priority(class string) int {
	if class == control.ClassBatch {
		return 0
	}
	return 1
}

// run relays until the generation ends, resuming after broken links.
func (r *relay) run(stream *engine.Stream) outcome.Outcome {
	resumes := 0
	for {
		nextBefore := r.next
		end, err := r.copyTokens(stream)
		stream.Close()
		if r.next > nextBefore {
			resumes = 0
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

// copyTokens passes tokens on until the stream ends. The error is that of the caller.
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

// recordToken accounts for the time since the token before.
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

// takeStallCause is the cause of a gap between tokens: a broken link when there was
// one, otherwise the engine set the answer aside while the link was alive.
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

// resume opens the stream again at the missing token.
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
		if !pause.For(r.req.r.Context(), backoff) {
			return nil, resumes
		}
		backoff *= 2
	}
	return nil, resumes
}

// cancelUnreachable ends a generation that can't be reached any more.
func (r *relay) cancelUnreachable(cause outcome.Cause) outcome.Outcome {
	if r.req.r.Context().Err() != nil {
		return r.handleCallerGone()
	}
	go r.cancel()
	return r.failureOutcome(cause)
}

func (r *relay) failureOutcome(cause outcome.Cause) outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Interrupted, Cause: cause, Tokens: r.next, Detail: "engine " + r.backend.Name}
	if !r.mayHaveRun || mutation.Enabled(mutation.NotRunWithoutCheck) {
		o.Kind = outcome.NotRun
	}
	if r.out.restartable() {
		o.Tokens = 0
	}
	return o
}

// handleCallerGone keeps a stream for a while in case that the caller comes back
// through another VM, and then cancels the generation.
func (r *relay) handleCallerGone() outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Interrupted, Cause: outcome.CallerGone, Tokens: r.next}
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
