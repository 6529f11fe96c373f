package ingress

import (
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
	// eventsPerProgress is the number of events between two progress reports to the
	// dispatch core.
	eventsPerProgress = 8
)

// Errors of a replica's event stream.
var (
	errMissingEvent = eris.New("event missing from stream")
	errNoEventID    = eris.New("event without a numeric id")
)

// stream is the state of one streaming request while it is relayed.
type stream struct {
	req *request
	// lastEventID is the ID of the last event relayed to the caller; 0 if none was.
	lastEventID int64
	headerSent  bool

	mu sync.Mutex
	// runningOn is the server that generates the stream.
	runningOn backend.Server
	// latestCopy is the newest complete copy of the KV cache; nil if there is none.
	latestCopy *kvCopy
	// awaitingFinalCopy is set while generation is stopped for the final copy, whose
	// result is sent on finalResult.
	awaitingFinalCopy bool
	finalResult       chan resumePoint
	// migrating is set while the stream is being moved to another server.
	migrating bool
	// broken is closed when the response from runningOn breaks off or the stream ends, at
	// brokenAt.
	broken   chan struct{}
	brokenAt time.Time
	// runConn is kept for requests to the process that runs the stream on runningOn.
	runConn runConn
	// ended is set when the relay has ended and copies are no longer needed.
	ended bool
}

// serveStream places a streaming request on a server and relays the events. When the
// response breaks off, it resumes the stream on a server that has a copy of its KV
// cache.
func (s *Server) serveStream(req *request) outcome.Result {
	resp, server, out, ok := s.openStream(req)
	if !ok {
		return out
	}
	defer func() { resp.Close() }()
	st := &stream{req: req, runningOn: server, finalResult: make(chan resumePoint, 1), broken: make(chan struct{})}
	s.track(st)
	defer s.untrack(st)
	for {
		err := s.relay(st, resp)
		resp.Close()
		if err == nil {
			s.loop.post(dispatch.RequestEnded{ID: req.id, Verdict: dispatch.Served, Completed: true})
			return outcome.Done(req.events)
		}
		if req.cancelled() {
			return s.interruptStream(st, s.cancelledOutcome(req, true), dispatch.RequestEnded{Verdict: dispatch.Cancelled})
		}
		ended := dispatch.RequestEnded{Verdict: dispatch.Failed, ClosedByServer: closedByServer(req.ctx, err)}
		if ended.ClosedByServer {
			s.checkServer(req, st.currentServer())
		}
		resumed, ok := s.resume(st, err)
		if !ok {
			return s.interruptStream(st, outcome.Result{Cause: outcome.EngineLost, Detail: eris.ToString(err, false)}, ended)
		}
		resp = resumed
	}
}

// interruptStream reports to the dispatch core that a stream ends before it is complete,
// and returns its outcome. A caller that has received nothing gets an error response.
func (s *Server) interruptStream(st *stream, out outcome.Result, ended dispatch.RequestEnded) outcome.Result {
	ended.ID = st.req.id
	s.loop.post(ended)
	if !st.headerSent {
		out.Kind = outcome.Unknown
		s.writeRefusal(st.req, out)
		return out
	}
	out.Kind = outcome.Interrupted
	return out
}

// openStream sends the request to one server after another until a stream begins. It
// reports false when the request ended without a stream.
func (s *Server) openStream(req *request) (*replica.Response, backend.Server, outcome.Result, bool) {
	var tried []string
	var last attemptResult
	for req.attempts < maxSends && len(tried) < maxServersTried {
		placed, refusal, ok := s.place(req, tried, req.attempts > 0)
		if !ok {
			return nil, backend.Server{}, s.finish(req, last, 0, refusal), false
		}
		server := placed.Server
		resp, result := s.tryStream(req, server)
		result.closedByServer = closedByServer(req.ctx, result.err)
		if result.verdict != dispatch.Unreachable {
			req.attempts++
		}
		if resp != nil {
			return resp, server, outcome.Result{}, true
		}
		last = result
		if req.withdrawn() {
			result.verdict = dispatch.Cancelled
		}
		ended := dispatch.RequestEnded{ID: req.id, Verdict: result.verdict, ClosedByServer: result.closedByServer}
		if result.response != nil {
			ended.Load = result.response.Parsed.Load
		}
		s.loop.post(ended)
		s.logSendFailure(req, server, result)
		if result.mayHaveRun || req.cancelled() {
			return nil, server, s.finish(req, result, boolInt(result.mayHaveRun), outcome.Result{}), false
		}
		tried = append(tried, server.ID)
	}
	return nil, backend.Server{}, s.finish(req, last, 0, outcome.Result{}), false
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// tryStream sends the request to one server. If a stream begins, it returns the
// response; otherwise the response is nil and the result describes what came instead.
func (s *Server) tryStream(req *request, server backend.Server) (*replica.Response, attemptResult) {
	forward := req.forwardParams(server)
	forward.Priority = req.route.PriorityFor(req.workspace)
	resp, err := s.pool.Send(req.ctx, server.Instance(), req.replicaRequest(forward))
	if eris.Is(err, replica.ErrNotSent) {
		return nil, attemptResult{verdict: dispatch.Unreachable, err: err}
	}
	if err != nil {
		return nil, attemptResult{mayHaveRun: true, verdict: dispatch.Failed, err: err}
	}
	s.noteResponse(server, resp)
	if resp.Status == http.StatusOK && resp.Parsed.EventStream && resp.Parsed.Stamped && !resp.Parsed.ContentEncoded {
		return resp, attemptResult{}
	}
	defer resp.Close()
	if resp.Parsed.NotExecuted {
		discardBody(resp)
		return nil, attemptResult{response: resp, verdict: dispatch.Shed}
	}
	if resp.Status < 300 {
		// No stream, so its body is of no use and may have no end.
		return nil, attemptResult{mayHaveRun: true, verdict: dispatch.Failed, err: replica.ErrMalformed}
	}
	body, err := s.readResponseBody(req, resp)
	if err != nil {
		return nil, attemptResult{mayHaveRun: true, verdict: dispatch.Failed, err: eris.Wrap(replica.ErrMalformed, err.Error())}
	}
	if isUnfoundedPromise(resp) {
		return nil, attemptResult{mayHaveRun: true, verdict: dispatch.Failed, err: replica.ErrMalformed}
	}
	return nil, attemptResult{response: resp, body: body, mayHaveRun: true, verdict: dispatch.Failed}
}

// sendHeader sends the header of a stream to the caller, with its first event.
func (st *stream) sendHeader(resp *replica.Response) {
	req := st.req
	header := req.w.Header()
	closing := header.Get("Connection")
	platform.CopyResponseHeaders(header, resp.Header)
	if closing != "" {
		header.Set("Connection", closing)
	}
	st.headerSent = true
	req.status = resp.Status
	req.w.WriteHeader(resp.Status)
}

// relay forwards complete events to the caller and skips those forwarded before a
// resume. It returns nil at the end of a complete stream.
func (s *Server) relay(st *stream, resp *replica.Response) error {
	req := st.req
	events := newEventReader(resp, s.responseBodies)
	defer events.close()
	rc := http.NewResponseController(req.w)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return st.endRelay(resp)
		}
		if err != nil {
			return err
		}
		if !ev.hasID {
			return errNoEventID
		}
		switch {
		case st.headerSent && ev.id <= st.lastEventID:
			continue
		case st.headerSent && ev.id != st.lastEventID+1:
			return errMissingEvent
		}
		if !st.headerSent {
			req.firstByte = time.Now()
			s.loop.post(dispatch.ResponseStarted{ID: req.id, Load: resp.Parsed.Load})
			st.sendHeader(resp)
		}
		if _, err := req.w.Write(ev.raw); err != nil {
			return eris.Wrap(err, "write to caller")
		}
		if err := rc.Flush(); err != nil {
			return eris.Wrap(err, "write to caller")
		}
		st.lastEventID = ev.id
		req.events++
		if req.events%eventsPerProgress == 0 {
			s.loop.post(dispatch.Progress{ID: req.id, Tokens: req.events * req.tokensPerEvent()})
		}
	}
}

// endRelay ends the relay of a response that ended after a complete event. A response that
// ends with its connection has broken off if it has no event at all, or if this VM has asked
// for the run to be stopped.
func (st *stream) endRelay(resp *replica.Response) error {
	if resp.EndsWithConnection && (!st.headerSent || st.wasStopped()) {
		return io.ErrUnexpectedEOF
	}
	if st.headerSent {
		return nil
	}
	st.sendHeader(resp)
	return nil
}

// tokensPerEvent is the number of tokens in one event of the request's service.
func (req *request) tokensPerEvent() int {
	if engine := req.state.Services[req.service].Engine; engine != nil {
		return engine.TokensPerEvent
	}
	return 1
}

// track registers an open stream, so that it can be migrated.
func (s *Server) track(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[st.req.id] = st
}

// untrack removes a stream that ended and frees the copy of its KV cache. If the stream
// was stopped for its final copy, migrate still uses the copy and frees it.
func (s *Server) untrack(st *stream) {
	s.mu.Lock()
	delete(s.streams, st.req.id)
	s.mu.Unlock()
	st.mu.Lock()
	st.ended = true
	leftover := st.latestCopy
	st.latestCopy = nil
	awaiting := st.awaitingFinalCopy
	st.markBroken()
	if leftover == nil || awaiting {
		st.runConn.close()
		st.mu.Unlock()
		return
	}
	conn := st.runConn
	st.mu.Unlock()
	s.spawn(func() {
		defer conn.close()
		s.dropCopy(leftover, conn)
	})
}

// markBroken wakes the goroutines in waitWhileRunning. st.mu must be held.
func (st *stream) markBroken() {
	if !st.isBroken() {
		st.brokenAt = time.Now()
		close(st.broken)
	}
}

// isBroken reports whether the stream broke or ended. st.mu must be held.
func (st *stream) isBroken() bool {
	select {
	case <-st.broken:
		return true
	default:
		return false
	}
}

// waitWhileRunning blocks until the given time. It returns false at once when the
// stream breaks, ends or is cancelled before then.
func (st *stream) waitWhileRunning(at time.Time) bool {
	st.mu.Lock()
	broken := st.broken
	st.mu.Unlock()
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-broken:
		return false
	case <-st.req.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
