package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// progressEvery is how many events pass between two reports to the core.
	progressEvery = 8
	// handoverWait is how long a stream that broke waits for the memory that
	// is being moved.
	handoverWait = 1200 * time.Millisecond
)

// Errors of streams.
var (
	errGap      = eris.New("an event is missing")
	errUnsorted = eris.New("an event has no number")
)

// stream is the state of one streaming request while it is relayed.
type stream struct {
	q *request
	// relayed is the number of the last event that the caller got; 0 for none.
	relayed int64
	begun   bool

	mu sync.Mutex
	// on is the server that runs the request.
	on backend.Server
	// copied is the newest complete copy of the memory and where it lies.
	copied *copyOf
	// stopped is set while the stream is stopped for its last copy; the result
	// is sent on moved.
	stopped bool
	moved   chan handover
	// moving is set while a rescue is under way.
	moving bool
	// broken is closed when the stream breaks at its server or ends.
	broken chan struct{}
	// ended is set when the relay needs no memory any more.
	ended bool
}

// copyOf is a copy of a stream's memory at another server.
type copyOf struct {
	target backend.Server
	memory platform.KVRef
	source backend.Server
}

// handover is the end of a rescue: where the stream goes on.
type handover struct {
	to     backend.Server
	memory platform.KVRef
	ok     bool
}

// serveStream places a stream, relays it and takes it along when its server
// leaves.
func (s *Server) serveStream(q *request) outcome.Outcome {
	answer, x, o, ok := s.openStream(q)
	if !ok {
		return o
	}
	defer func() { answer.Close() }()
	st := &stream{q: q, on: x, moved: make(chan handover, 1), broken: make(chan struct{})}
	s.track(st)
	defer s.untrack(st)
	s.desk.tell(dispatch.Started{ID: q.id, Load: answer.Says.Load})
	s.beginStream(q, answer)
	for {
		err := s.relay(st, answer)
		answer.Close()
		if err == nil {
			s.desk.tell(dispatch.Ended{ID: q.id, Verdict: dispatch.Served})
			return outcome.Done(q.events)
		}
		if q.over() {
			return s.cutStream(st, s.timeUp(q, true), dispatch.Withdrawn)
		}
		next, ok := s.resume(st, err)
		if !ok {
			return s.cutStream(st, outcome.Outcome{Cause: outcome.EngineLost, Detail: eris.ToString(err, false)}, dispatch.Failed)
		}
		answer = next
	}
}

// cutStream ends a stream before its end.
func (s *Server) cutStream(st *stream, o outcome.Outcome, v dispatch.Verdict) outcome.Outcome {
	s.desk.tell(dispatch.Ended{ID: st.q.id, Verdict: v})
	o.Kind = outcome.Interrupted
	return o
}

// openStream sends the request until a server begins to answer it.
func (s *Server) openStream(q *request) (*replica.Answer, backend.Server, outcome.Outcome, bool) {
	var tried []string
	var last result
	for q.attempts < maxSends && len(tried) < maxTried {
		placed, refusal, ok := s.place(q, tried, q.attempts > 0)
		if !ok {
			return nil, backend.Server{}, s.giveUp(q, last, 0, refusal), false
		}
		x := placed.Server
		answer, r := s.tryStream(q, x)
		if r.verdict != dispatch.Unreached {
			q.attempts++
		}
		if answer != nil {
			return answer, x, outcome.Outcome{}, true
		}
		last = r
		if q.r.Context().Err() != nil {
			r.verdict = dispatch.Withdrawn
		}
		ended := dispatch.Ended{ID: q.id, Verdict: r.verdict}
		if r.answer != nil {
			ended.Load = r.answer.Says.Load
		}
		s.desk.tell(ended)
		if r.err != nil {
			s.log.Warn().Str("event", "sendFailed").Str("request", q.ask.Attempt).Str("server", x.ID).
				Str("verdict", r.verdict.String()).Bool("ran", r.ran).Str("reason", eris.ToString(r.err, false)).Msg("")
		}
		if r.ran || q.over() {
			return nil, x, s.giveUp(q, r, boolInt(r.ran), outcome.Outcome{}), false
		}
		tried = append(tried, x.ID)
	}
	return nil, backend.Server{}, s.giveUp(q, last, 0, outcome.Outcome{}), false
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// tryStream sends the request to one server. The answer is not nil when a
// stream begins; otherwise the result says what came instead.
func (s *Server) tryStream(q *request, x backend.Server) (*replica.Answer, result) {
	f := q.forward(x)
	f.Priority = q.route.PriorityFor(q.workspace)
	a, err := s.pool.Send(q.ctx, x.Address, q.wire(f))
	if eris.Is(err, replica.ErrNotSent) {
		return nil, result{verdict: dispatch.Unreached, err: err}
	}
	if err != nil {
		return nil, result{ran: true, verdict: dispatch.Failed, err: err}
	}
	if a.Status == http.StatusOK && a.Says.EventStream && a.Says.Stamped && !a.Says.ContentEncoded {
		return a, result{}
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes))
	switch {
	case a.Says.NotExecuted:
		return nil, result{answer: a, body: body, verdict: dispatch.Shed}
	case err != nil, a.Status < 300:
		return nil, result{ran: true, verdict: dispatch.Failed, err: replica.ErrBroken}
	}
	return nil, result{answer: a, body: body, ran: true, verdict: dispatch.Failed}
}

// beginStream sends the head of the answer with its first event.
func (s *Server) beginStream(q *request, a *replica.Answer) {
	h := q.w.Header()
	closing := h.Get("Connection")
	platform.CopyResponseHeaders(h, a.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	q.status = a.Status
}

// relay passes whole events on until the stream ends. It returns nil at the
// end of a complete stream.
func (s *Server) relay(st *stream, a *replica.Answer) error {
	q := st.q
	events := newEventReader(a)
	rc := http.NewResponseController(q.w)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if !ev.numbered {
			return errUnsorted
		}
		switch {
		case st.begun && ev.id <= st.relayed:
			continue
		case st.begun && ev.id != st.relayed+1:
			return errGap
		}
		if !st.begun {
			st.begun = true
			q.firstByte = time.Now()
			q.w.WriteHeader(q.status)
		}
		if _, err := q.w.Write(ev.raw); err != nil {
			return eris.Wrap(err, "write to caller")
		}
		if err := rc.Flush(); err != nil {
			return eris.Wrap(err, "write to caller")
		}
		st.relayed = ev.id
		q.events++
		if q.events%progressEvery == 0 {
			s.desk.tell(dispatch.Progress{ID: q.id, Tokens: q.events * q.stride()})
		}
	}
}

// stride is how many tokens an event holds.
func (q *request) stride() int {
	if e := q.state.Services[q.service].Engine; e != nil {
		return e.TokensPerEvent
	}
	return 1
}

func (s *Server) track(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[st.q.id] = st
}

// untrack forgets a stream and frees the copies of its memory.
func (s *Server) untrack(st *stream) {
	s.mu.Lock()
	delete(s.streams, st.q.id)
	s.mu.Unlock()
	st.mu.Lock()
	st.ended = true
	left := st.copied
	st.copied = nil
	stopped := st.stopped
	st.breakOff()
	st.mu.Unlock()
	if left != nil && !stopped {
		s.spawn(func() { s.dropCopy(left) })
	}
}

// resume continues a stream that broke, from the newest copy of its memory.
func (s *Server) resume(st *stream, cause error) (*replica.Answer, bool) {
	q := st.q
	if eris.Is(cause, errGap) || eris.Is(cause, errUnsorted) || q.r.Context().Err() != nil {
		return nil, false
	}
	broke := time.Now()
	h := st.awaitHandover(q.ctx)
	if !h.ok {
		s.metrics.rescues.WithLabelValues("noCopy").Inc()
		s.log.Warn().Str("event", "streamLost").Str("request", q.ask.Attempt).Str("server", q.server).
			Int64("relayed", st.relayed).Int64("waitedMs", time.Since(broke).Milliseconds()).
			Str("reason", eris.ToString(cause, false)).Msg("")
		return nil, false
	}
	f := q.forward(h.to)
	f.Priority = q.route.PriorityFor(q.workspace)
	f.From, f.LastEvent = h.memory, st.relayed
	a, err := s.pool.Send(q.ctx, h.to.Address, q.wire(f))
	line := s.log.Info().Str("event", "resumed").Str("request", q.ask.Attempt).Str("from", q.server).Str("server", h.to.ID).
		Int64("relayed", st.relayed).Int64("pauseMs", time.Since(broke).Milliseconds())
	if err != nil {
		s.metrics.rescues.WithLabelValues("unreached").Inc()
		line.Str("outcome", "unreached").Str("reason", eris.ToString(err, false)).Msg("")
		return nil, false
	}
	if a.Status != http.StatusOK || !a.Says.EventStream {
		s.metrics.rescues.WithLabelValues("refused").Inc()
		line.Str("outcome", "refused").Int("status", a.Status).Msg("")
		a.Close()
		return nil, false
	}
	line.Str("outcome", "resumed").Msg("")
	s.metrics.rescues.WithLabelValues("resumed").Inc()
	q.rescues++
	q.server = h.to.ID
	st.mu.Lock()
	st.on = h.to
	st.copied, st.moving, st.stopped = nil, false, false
	st.broken = make(chan struct{})
	st.mu.Unlock()
	s.desk.tell(dispatch.Resumed{ID: q.id})
	return a, true
}

// awaitHandover waits for the last copy when the stream was stopped for it.
// Otherwise the newest copy is taken.
func (st *stream) awaitHandover(ctx context.Context) handover {
	st.mu.Lock()
	stopped := st.stopped
	st.breakOff()
	st.mu.Unlock()
	if stopped {
		t := time.NewTimer(handoverWait)
		defer t.Stop()
		select {
		case h := <-st.moved:
			if h.ok {
				return h
			}
		case <-t.C:
		case <-ctx.Done():
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.copied == nil {
		return handover{}
	}
	return handover{to: st.copied.target, memory: st.copied.memory, ok: true}
}

// breakOff wakes those who wait for the stream to break. st.mu is held.
func (st *stream) breakOff() {
	if !st.isBroken() {
		close(st.broken)
	}
}

// isBroken reports whether the stream broke. st.mu is held.
func (st *stream) isBroken() bool {
	select {
	case <-st.broken:
		return true
	default:
		return false
	}
}

// runsUntil reports whether the stream runs at its server until a moment.
func (st *stream) runsUntil(at time.Time) bool {
	st.mu.Lock()
	broken := st.broken
	st.mu.Unlock()
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-broken:
		return false
	case <-st.q.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
