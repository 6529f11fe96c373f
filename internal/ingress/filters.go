package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/problem"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the
	// route sets a bound.
	defaultTimeout   = 60 * time.Second
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 2 * time.Second
	// tokenTime and streamStart are the guess for how long a stream takes.
	tokenTime   = 10 * time.Millisecond
	streamStart = 2 * time.Second
	// plainTime is the guess for how long a plain request takes.
	plainTime = time.Second
	// shortRetry is advised when another VM can take the request at once.
	shortRetry = 50 * time.Millisecond
	longRetry  = time.Second
)

// request is one attempt of a caller on its way through the filters.
type request struct {
	w http.ResponseWriter
	r *http.Request
	// id is unique on this VM; the caller's own name is ask.Attempt.
	id      uint64
	ask     platform.RequestHeaders
	arrived time.Time
	// The filters fill what follows, from top to bottom.
	state     *routing.State
	route     routing.Route
	service   string
	workspace *routing.Workspace
	body      []byte
	held      *held
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	ctx      context.Context // ends at the deadline and when the caller leaves

	// attempts and server say what was done, for the log.
	attempts  int
	server    string
	firstByte time.Time
	events    int
	rescues   int
	status    int
}

// filter passes a request on, or ends it.
type filter func(q *request) (outcome.Outcome, bool)

// pass hands a request to the next filter.
func pass() (outcome.Outcome, bool) { return outcome.Outcome{}, true }

// end ends a request that has not run.
func end(c outcome.Cause, detail string, retry time.Duration) (outcome.Outcome, bool) {
	o := outcome.Refuse(c, detail)
	if retry > 0 {
		o.RetryAt = time.Now().Add(retry)
	}
	return o, false
}

func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", s.serve)
	r.NotFound(s.serve)
	r.MethodNotAllowed(s.serve)
	return r
}

// serve takes one request through the filters in order.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer func() {
		s.open.Add(-1)
		s.lastUse.Store(time.Now().UnixMilli())
	}()
	q := &request{
		w: w, r: r, id: s.lastID.Add(1), ask: platform.DecodeRequestHeaders(r.Header), arrived: time.Now(),
		state: s.catalog.State(),
	}
	defer func() { q.held.release() }()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	for _, f := range []filter{s.configured, s.find, s.authorize, s.bound, s.stopGate, s.readBody} {
		if o, ok := f(q); !ok {
			s.refuse(q, o)
			s.account(q, o)
			hangUp(o)
			return
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	var o outcome.Outcome
	if q.route.Kind == routing.Streaming {
		o = s.serveStream(q)
	} else {
		o = s.servePlain(q)
	}
	s.account(q, o)
	hangUp(o)
}

// hangUp ends the connection where an answer must not look complete.
func hangUp(o outcome.Outcome) {
	if o.Kind == outcome.Interrupted || o.Cause == outcome.CallerGone {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) configured(q *request) (outcome.Outcome, bool) {
	if q.state == nil {
		return end(outcome.NotReady, "", longRetry)
	}
	return pass()
}

func (s *Server) find(q *request) (outcome.Outcome, bool) {
	route, ok := q.state.Route(q.r.Host, q.r.URL.Path)
	if !ok {
		return end(outcome.NotFound, "configuration "+strconv.FormatInt(q.state.Version, 10), 0)
	}
	q.route = route
	q.service = route.Service(rand.Float64())
	return pass()
}

func (s *Server) authorize(q *request) (outcome.Outcome, bool) {
	w, ok := q.state.Workspace(q.ask.APIKey)
	if ok {
		q.workspace = w
	}
	if !ok && q.state.NeedsKey(q.route) {
		return end(outcome.Unauthorized, "configuration "+strconv.FormatInt(q.state.Version, 10), 0)
	}
	return pass()
}

// bound stores the deadline.
func (s *Server) bound(q *request) (outcome.Outcome, bool) {
	left := defaultTimeout
	if q.route.Timeout > 0 {
		left = q.route.Timeout
	}
	if q.ask.Timeout > 0 {
		left = min(left, q.ask.Timeout)
	}
	q.deadline = q.arrived.Add(left)
	return pass()
}

// stopGate refuses what a stopping VM could not finish, so that the caller gets
// it whole from another VM. While connections still come a stream is taken that
// likely ends in time; later only one that surely does.
func (s *Server) stopGate(q *request) (outcome.Outcome, bool) {
	if !s.stopping.Load() {
		return pass()
	}
	now := time.Now()
	end := time.UnixMilli(s.stopAt.Load())
	needs := plainTime
	if q.route.Kind == routing.Streaming {
		tokens := q.outputGuess()
		if now.After(end.Add(stopMargin - s.grace() + rotationTime)) {
			tokens = max(tokens, q.ask.MaxTokens)
		}
		needs = streamStart + time.Duration(tokens)*tokenTime
	}
	if now.Add(needs).After(end) {
		o := outcome.Refuse(outcome.VMStopping, "needs "+needs.String())
		o.RetryAt = now.Add(shortRetry)
		return o, false
	}
	return pass()
}

// outputGuess is the expected length of the answer in tokens.
func (q *request) outputGuess() int {
	if q.ask.HintTokens > 0 {
		return min(q.ask.HintTokens, max(q.ask.MaxTokens, q.ask.HintTokens/4))
	}
	return q.ask.MaxTokens
}

func (s *Server) readBody(q *request) (outcome.Outcome, bool) {
	if q.r.Body == nil || q.r.Body == http.NoBody {
		return pass()
	}
	limit := defaultBodyBytes
	if q.state.Limits.BodyBytes > 0 {
		limit = q.state.Limits.BodyBytes
	}
	if q.r.ContentLength > int64(limit) {
		return end(outcome.TooLarge, "limit "+strconv.Itoa(limit)+" bytes", 0)
	}
	rc := http.NewResponseController(q.w)
	_ = rc.SetReadDeadline(time.Now().Add(min(bodyTimeout, time.Until(q.deadline))))
	q.held = &held{server: s}
	reader := io.Reader(http.MaxBytesReader(q.w, q.r.Body, int64(limit)))
	if q.r.ContentLength < 0 {
		reader = io.TeeReader(reader, q.held)
	} else if !q.held.take(q.r.ContentLength) {
		q.w.Header().Set("Connection", "close")
		return end(outcome.VMFull, "", shortRetry)
	}
	body, err := io.ReadAll(reader)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errVMFull):
		q.w.Header().Set("Connection", "close")
		return end(outcome.VMFull, "", shortRetry)
	case err == nil:
		q.body = body
		return pass()
	case asError(err, &tooLarge):
		return end(outcome.TooLarge, "limit "+strconv.Itoa(limit)+" bytes", 0)
	case q.r.Context().Err() != nil:
		return end(outcome.CallerGone, "while its body was read", 0)
	}
	q.w.Header().Set("Connection", "close")
	return end(outcome.SlowBody, err.Error(), 0)
}

// held is the memory that the body of a request takes.
type held struct {
	server *Server
	bytes  int64
}

var errVMFull = eris.New("no memory left for bodies")

// take reserves memory. It reports false when all bodies together take too much.
func (h *held) take(n int64) bool {
	if h.server.bodies.Add(n) > h.server.bodyLimit {
		h.server.bodies.Add(-n)
		return false
	}
	h.bytes += n
	return true
}

// Write reserves the memory of what was read of a body of unknown length.
func (h *held) Write(b []byte) (int, error) {
	if !h.take(int64(len(b))) {
		return 0, errVMFull
	}
	return len(b), nil
}

// release gives the memory back.
func (h *held) release() {
	if h != nil {
		h.server.bodies.Add(-h.bytes)
	}
}

// refuse writes an answer that no replica made.
func (s *Server) refuse(q *request, o outcome.Outcome) {
	status := o.Cause.Status()
	if o.Kind == outcome.NotRun && status >= http.StatusInternalServerError {
		status = http.StatusServiceUnavailable
	}
	q.status = status
	if o.Cause == outcome.CallerGone {
		return
	}
	var retry time.Duration
	if !o.RetryAt.IsZero() {
		// Callers refused together must not return together.
		retry = max(time.Until(o.RetryAt), 0) + time.Duration(rand.Int64N(int64(retrySpread)))
	}
	h := q.w.Header()
	platform.SetLocalResponseHeaders(h, q.ask.Attempt, retry)
	h.Set("Content-Type", problem.ContentType)
	p := problem.New(q.ask.Attempt, o)
	p.Status = status
	body, err := json.Marshal(p)
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(status)
	_, _ = q.w.Write(body)
}

// retrySpread is the span over which refused callers are spread.
const retrySpread = 100 * time.Millisecond

// account writes the one line that says how a request ended.
func (s *Server) account(q *request, o outcome.Outcome) {
	cause := string(o.Cause)
	if cause == "" {
		cause = "none"
	}
	kind := q.route.Kind.String()
	s.metrics.requests.WithLabelValues(kind, strconv.Itoa(q.status), cause).Inc()
	if !q.firstByte.IsZero() {
		s.metrics.seconds.WithLabelValues(kind).Observe(q.firstByte.Sub(q.arrived).Seconds())
	}
	if o.Kind == outcome.Finished && q.rescues == 0 && q.attempts <= 1 && !s.mayLog() {
		return
	}
	line := s.log.Info().Str("event", "ended").Str("request", q.ask.Attempt).Str("kind", kind).Str("route", q.route.Name).
		Str("outcome", string(o.Kind)).Str("cause", cause).Int("status", q.status).Str("server", q.server).
		Int("attempts", q.attempts).Int64("tookMs", time.Since(q.arrived).Milliseconds())
	if q.state != nil {
		line = line.Int64("config", q.state.Version)
	}
	if !q.firstByte.IsZero() {
		line = line.Int64("firstByteMs", q.firstByte.Sub(q.arrived).Milliseconds())
	}
	if q.route.Kind == routing.Streaming {
		line = line.Int("events", q.events).Int("rescues", q.rescues)
	}
	if o.Detail != "" {
		line = line.Str("detail", o.Detail)
	}
	line.Msg("")
}
