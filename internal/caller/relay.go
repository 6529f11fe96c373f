package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/planted"
	"github.com/pimentohinge/pimentohinge/internal/problem"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// maxAttempts bounds the generations that one request may start.
	maxAttempts = 4
	// maxResumes bounds the resumes without a token in between.
	maxResumes = 5
	// resumePause is the pause before the second resume; it doubles.
	resumePause = 50 * time.Millisecond
	// ResumeGrace is how long a stream is kept for a caller that lost its connection.
	ResumeGrace   = 5 * time.Second
	cancelTimeout = 2 * time.Second
)

// generate runs a model request to its end.
type generate struct{ s *Server }

func (f generate) pass(c *call) (outcome.Outcome, bool) {
	j := &job{s: f.s, c: c, place: control.Place{
		ID: c.id, Workspace: c.workspace.Name, Service: c.service.Name, Class: c.model.class,
		PromptTokens: c.model.promptTokens, MaxTokens: c.model.maxTokens, Prefix: c.model.prefixHash(),
	}}
	if !c.model.stream {
		j.out = &bufferSink{c: c}
		return j.run(), false
	}
	j.out = newStreamSink(c, c.format == formatChat)
	r, stream, o := j.begin()
	if stream != nil {
		stream.Await()
		if f.s.goOn(c, stream, func() outcome.Outcome { return j.finish(r, stream) }) {
			return outcome.Outcome{}, false
		}
		o = j.finish(r, stream)
	}
	return failStream(c, j.out, o), false
}

// failStream tells a caller whose stream has begun why it ended early.
func failStream(c *call, out sink, o outcome.Outcome) outcome.Outcome {
	if s, streaming := out.(*streamSink); streaming && o.Cause != outcome.None {
		s.fail(c.id, o)
	}
	return o
}

// goOn relays the rest of a stream in a goroutine of its own, so that the HTTP
// server's memory for the connection is freed. It reports whether it could.
func (s *Server) goOn(c *call, stream *engine.Stream, rest func() outcome.Outcome) bool {
	if c.r.Context().Err() != nil {
		return false
	}
	c.detached = s.detach(c)
	if c.detached == nil {
		return false
	}
	stream.Bind(c.r.Context())
	go func() {
		defer s.open.done()
		o := rest()
		if o.Cause != outcome.None && c.started {
			body := problem.New(c.id, o)
			writeStreamError(c, body)
		}
		s.account(c, o)
		c.detached.end()
		s.detached.remove(c.detached.conn)
	}()
	return true
}

// job is a model request with the attempts that it takes.
type job struct {
	s       *Server
	c       *call
	out     sink
	place   control.Place
	attempt int
	first   outcome.Outcome // of the attempt before
	ran     bool            // an engine may have begun
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
		placed, o, events := j.s.opts.Broker.Place(j.c.r.Context(), j.place)
		for _, e := range events {
			j.c.timeline.Add(e)
		}
		if o.Cause != outcome.None {
			return nil, nil, j.truthful(afterFailure(j.first, o))
		}
		r := j.s.newRelay(j.c, j.out, placed, j.attempt)
		stream, o := r.start()
		if stream != nil {
			j.ran = true
			return r, stream, outcome.Outcome{}
		}
		if !j.again(r, o) {
			return nil, nil, j.truthful(o)
		}
	}
}

// finish relays a generation and, while nothing was delivered, starts others in
// its place.
func (j *job) finish(r *relay, stream *engine.Stream) outcome.Outcome {
	for {
		o := r.run(stream)
		if !j.again(r, o) {
			return j.truthful(o)
		}
		if r, stream, o = j.begin(); stream == nil {
			return o
		}
	}
}

// truthful keeps an outcome from saying that nothing ran when an earlier attempt
// did run on an engine, if in vain.
func (j *job) truthful(o outcome.Outcome) outcome.Outcome {
	if j.ran && o.Kind == outcome.NotRun && !planted.Is(planted.RefusalWithoutCheck) {
		o.Kind = outcome.Interrupted
	}
	return o
}

// again ends an attempt and reports whether another one is to follow.
func (j *job) again(r *relay, o outcome.Outcome) bool {
	j.ran = j.ran || r.ran
	again := retriable(o) && (j.out.restartable() || planted.Is(planted.RestartMidStream)) &&
		j.attempt < maxAttempts && j.c.r.Context().Err() == nil
	j.s.opts.Broker.Ended(control.AttemptEnded{ID: j.c.id, Tokens: r.next, Outcome: o, Last: !again})
	if !again {
		return false
	}
	j.first = o
	j.place.Retry = true
	j.place.Excluded = append(j.place.Excluded, r.backend.Name)
	j.c.timeline.Add(wire.Event{Kind: incident.EventRestarted, Engine: r.backend.Name, Cause: string(o.Cause)})
	return true
}

// afterFailure tells the caller why the first attempt failed when no further
// one could be made, or that the engines are still loading.
func afterFailure(first, second outcome.Outcome) outcome.Outcome {
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
	s       *Server
	c       *call
	out     sink
	backend wire.Backend
	token   ResumeToken
	next    int  // index of the next token
	ran     bool // the engine may have begun
	last    time.Time
	broken  outcome.Cause // of the newest break since the last token
	silence time.Duration
}

func (s *Server) newRelay(c *call, out sink, p control.Placed, attempt int) *relay {
	t := ResumeToken{
		Request: c.id, Generation: c.id + "-" + strconv.Itoa(attempt), VM: s.opts.VM, Engine: p.Backend.Name,
		Workspace: c.workspace.Name, Service: c.service.Name, Chat: c.format == formatChat,
		CreatedUnix: c.received.Unix(), PromptTokens: c.model.promptTokens, MaxTokens: c.model.maxTokens,
		Revision: p.Revision, IncludeUsage: c.model.includeUsage,
	}
	return s.relayAt(c, out, p.Backend, t, 0)
}

func (s *Server) relayAt(c *call, out sink, b wire.Backend, t ResumeToken, index int) *relay {
	r := &relay{
		s: s, c: c, out: out, backend: b, token: t, next: index, last: c.received,
		silence: time.Duration(s.opts.Limits.TokenDeadlineMs) * time.Millisecond,
	}
	if st, streaming := out.(*streamSink); streaming {
		st.prepare(t, s.tokens.Seal(t), index)
	} else {
		out.begin(t, index)
	}
	return r
}

// start begins the generation. Without a stream the outcome says why.
func (r *relay) start() (*engine.Stream, outcome.Outcome) {
	stream, cause, ran := r.s.opts.Engines.Start(r.c.r.Context(), r.backend.Address, wire.GenerateRequest{
		Generation: r.token.Generation, Model: r.c.service.Model, Prompt: r.c.model.prompt,
		PromptTokens: r.c.model.promptTokens, MaxTokens: r.c.model.maxTokens, Priority: priority(r.c.model.class),
	}, r.silence)
	r.ran = ran
	if stream == nil {
		if cause == outcome.EngineReclaimed {
			r.s.opts.Broker.Leaving(r.backend.Name)
		}
		if ran {
			go r.cancel()
		}
		return nil, r.failed(cause)
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
		before := r.next
		end, err := r.copy(stream)
		stream.Close()
		if r.next > before {
			resumes = 0
		}
		if err != nil || r.c.r.Context().Err() != nil {
			return r.callerGone()
		}
		if end.Cause == outcome.None {
			if r.out.end(r.token, end.Tokens) != nil {
				return r.callerGone()
			}
			return outcome.Done(end.Tokens)
		}
		r.noteBreak(end.Cause)
		if end.Cause != outcome.StalledLink && end.Cause != outcome.EngineLost {
			return r.failed(end.Cause)
		}
		stream, resumes = r.resume(resumes)
		if stream == nil {
			return r.lost(end.Cause)
		}
	}
}

// copy passes tokens on until the stream ends. The error is that of the caller.
func (r *relay) copy(stream *engine.Stream) (engine.End, error) {
	for {
		t, end, ok := stream.Next()
		if !ok {
			return end, nil
		}
		r.progress()
		if err := r.out.token(t.Index, t.Text); err != nil {
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

// progress accounts for the time since the token before.
func (r *relay) progress() {
	now := time.Now()
	gap := now.Sub(r.last)
	r.last = now
	m := r.s.metrics
	m.Tokens.Inc()
	if r.next == 0 {
		m.FirstToken.Observe(gap.Seconds())
		r.c.timeline.Add(wire.Event{Kind: incident.EventFirstToken, Engine: r.backend.Name, Value: int(gap.Milliseconds())})
	} else {
		m.InterToken.Observe(gap.Seconds())
	}
	cause, before := r.stallCause(), r.next
	if gap <= incident.StallAfter {
		return
	}
	m.Stall.Add((gap - incident.StallAfter).Seconds())
	r.c.timeline.Stalled(gap - incident.StallAfter)
	if before > 0 {
		r.c.timeline.Add(wire.Event{
			Kind: incident.EventStalled, Engine: r.backend.Name, Cause: string(cause), Value: int(gap.Milliseconds()),
		})
	}
}

// stallCause is the cause of a gap between tokens: a broken link when there was
// one, otherwise the engine set the answer aside while the link was alive.
func (r *relay) stallCause() outcome.Cause {
	cause := r.broken
	r.broken = outcome.None
	if cause == outcome.None {
		return outcome.Preempted
	}
	return cause
}

func (r *relay) noteBreak(cause outcome.Cause) {
	r.broken = cause
	r.c.timeline.Add(wire.Event{
		Kind: incident.EventLinkLost, Engine: r.backend.Name, Cause: string(cause), Value: r.next,
	})
}

// resume opens the stream again at the missing token.
func (r *relay) resume(resumes int) (*engine.Stream, int) {
	wait := resumePause
	for resumes < maxResumes {
		resumes++
		stream, _ := r.s.opts.Engines.Resume(r.c.r.Context(), r.backend.Address, r.token.Generation, r.next, r.silence)
		if stream != nil {
			r.s.metrics.Resumes.Inc()
			r.c.timeline.Add(wire.Event{Kind: incident.EventResumed, Engine: r.backend.Name, Value: r.next})
			return stream, resumes
		}
		if !pause.For(r.c.r.Context(), wait) {
			return nil, resumes
		}
		wait *= 2
	}
	return nil, resumes
}

// lost ends a generation that can't be reached any more.
func (r *relay) lost(cause outcome.Cause) outcome.Outcome {
	if r.c.r.Context().Err() != nil {
		return r.callerGone()
	}
	go r.cancel()
	return r.failed(cause)
}

func (r *relay) failed(cause outcome.Cause) outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Interrupted, Cause: cause, Tokens: r.next, Detail: "engine " + r.backend.Name}
	if !r.ran || planted.Is(planted.RefusalWithoutCheck) {
		o.Kind = outcome.NotRun
	}
	if r.out.restartable() {
		o.Tokens = 0
	}
	return o
}

// callerGone keeps a stream for a while in case that the caller comes back
// through another VM, and then cancels the generation.
func (r *relay) callerGone() outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Interrupted, Cause: outcome.CallerGone, Tokens: r.next}
	if !r.out.restartable() {
		taken := r.s.parked.park(r.token.Generation)
		defer r.s.parked.leave(r.token.Generation)
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
	if planted.Is(planted.CallerGoneIgnored) {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	r.s.opts.Engines.Cancel(ctx, r.backend.Address, r.token.Generation)
}
