package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/problem"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// defaultTimeout applies when the route sets no timeout.
	defaultTimeout   = 60 * time.Second
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds reading a request body.
	bodyTimeout = 2 * time.Second
	// refusalTimeout bounds the time from the arrival of a request until its refusal is written, and
	// responseGrace that from its deadline until its response is written.
	refusalTimeout = 5 * time.Second
	responseGrace  = time.Second
	// shortRetryDelay is the advised retry delay when another VM can take the request
	// at once.
	shortRetryDelay = 50 * time.Millisecond
	longRetryDelay  = time.Second
	// notReadyRetryDelay is the advised retry delay when the VM has no configuration, as it has
	// started while the store is out. Most outages last for seconds, and a caller that comes back
	// too early is refused again. notReadySpread is the range over which callers come back.
	notReadyRetryDelay = 3 * time.Second
	notReadySpread     = time.Second
)

// request is the state of one caller's request.
type request struct {
	w http.ResponseWriter
	r *http.Request
	// id is unique on this VM; the caller's own ID is params.AttemptID.
	id      uint64
	params  platform.RequestHeaders
	arrived time.Time
	// segments are the segments of the prompt that other requests may share.
	segments []string
	// The fields below are set before the request is sent to a server.
	state     *routing.State
	route     routing.Route
	service   string
	workspace *routing.Workspace
	body      []byte
	// requestMemory and responseMemory are reserved for the bodies; nil if there are none.
	requestMemory, responseMemory *readlimit.Reservation
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	ctx      context.Context // ends at the deadline or when the caller disconnects

	// The fields below record the progress of the request. attempts counts the servers
	// that it was sent to, serverID is the last of them.
	attempts  int
	serverID  string
	firstByte time.Time
	events    int
	resumes   int
	status    int
}

// filter checks a request or adds to it. It returns false and the outcome when the
// request ends here.
type filter func(req *request) (outcome.Result, bool)

// proceed is the result of a filter that passes the request to the next one.
func proceed() (outcome.Result, bool) { return outcome.Result{}, true }

// refuse is the result of a filter that ends the request before any server ran it.
func refuse(cause outcome.Cause, detail string, retry time.Duration) (outcome.Result, bool) {
	out := outcome.Refuse(cause, detail)
	if retry > 0 {
		out.RetryAt = time.Now().Add(retry)
	}
	return out, false
}

// handler routes all methods and paths to serve.
func (s *Server) handler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", s.serve)
	r.NotFound(s.serve)
	r.MethodNotAllowed(s.serve)
	return r
}

// serve passes a request through the filters and then to a backend server.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.openRequests.Add(1)
	defer func() {
		s.openRequests.Add(-1)
		s.lastRequestEnd.Store(time.Now().UnixMilli())
	}()
	req := &request{
		w: w, r: r, id: s.lastRequestID.Add(1), params: platform.DecodeRequestHeaders(r.Header), arrived: time.Now(),
		state: s.catalog.State(),
	}
	req.segments = req.params.SharedSegments()
	defer func() {
		req.requestMemory.Release()
		req.responseMemory.Release()
	}()
	if s.stopSchedule.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	req.boundResponse(req.arrived.Add(refusalTimeout))
	for _, f := range []filter{s.requireConfig, s.matchRoute, s.authorize, s.setDeadline, s.checkStopping, s.readBody} {
		if out, ok := f(req); !ok {
			headlimit.BoundUnreadBody(req.w, req.r)
			s.writeRefusal(req, out)
			s.recordOutcome(req, out)
			abortIfIncomplete(out)
			return
		}
	}
	req.boundResponse(req.deadline.Add(responseGrace))
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	req.ctx = ctx
	defer s.allowCancel(req, cancelCause)()
	defer context.AfterFunc(s.abortCtx, func() { cancelCause(errAborted) })()
	var out outcome.Result
	if req.route.Kind == routing.Streaming {
		out = s.serveStream(req)
	} else {
		out = s.servePlain(req)
	}
	s.recordOutcome(req, out)
	abortIfIncomplete(out)
}

// abortIfIncomplete aborts the connection so that the caller does not take an
// interrupted response for a complete one.
func abortIfIncomplete(out outcome.Result) {
	if out.Kind == outcome.Interrupted || out.Cause == outcome.CallerGone {
		panic(http.ErrAbortHandler)
	}
}

// requireConfig refuses requests until a configuration has been read.
func (s *Server) requireConfig(req *request) (outcome.Result, bool) {
	if req.state == nil {
		return refuse(outcome.NotReady, "", notReadyRetryDelay+time.Duration(rand.Int64N(int64(notReadySpread))))
	}
	return proceed()
}

// matchRoute selects the route and, by weight, one of its services.
func (s *Server) matchRoute(req *request) (outcome.Result, bool) {
	route, ok := req.state.Route(req.r.Host, req.r.URL.Path)
	if !ok {
		return refuse(outcome.NotFound, "configuration "+strconv.FormatInt(req.state.Version, 10), 0)
	}
	req.route = route
	req.service = route.PickService(rand.Float64())
	return proceed()
}

// authorize determines the workspace from the API key.
func (s *Server) authorize(req *request) (outcome.Result, bool) {
	workspace, ok := req.state.Workspace(req.params.APIKey)
	if ok {
		req.workspace = workspace
	}
	if !ok && req.state.NeedsKey(req.route, req.params.APIKey) {
		return refuse(outcome.Unauthorized, "configuration "+strconv.FormatInt(req.state.Version, 10), 0)
	}
	return proceed()
}

// setDeadline sets the deadline from the timeouts of the route and of the caller.
func (s *Server) setDeadline(req *request) (outcome.Result, bool) {
	left := defaultTimeout
	if req.route.Timeout > 0 {
		left = req.route.Timeout
	}
	if req.params.Timeout > 0 {
		left = min(left, req.params.Timeout)
	}
	req.deadline = req.arrived.Add(left)
	return proceed()
}

// estimatedOutput is the expected length of the response in tokens.
func (req *request) estimatedOutput() int {
	if req.params.HintTokens > 0 {
		return min(req.params.HintTokens, max(req.params.MaxTokens, req.params.HintTokens/4))
	}
	return req.params.MaxTokens
}

// readBody buffers the request body within the limits on its size, its duration and
// the memory for all bodies.
func (s *Server) readBody(req *request) (outcome.Result, bool) {
	if req.r.Body == nil || req.r.Body == http.NoBody {
		return proceed()
	}
	limit := defaultBodyBytes
	if req.state.Limits.BodyBytes > 0 {
		limit = req.state.Limits.BodyBytes
	}
	if req.r.ContentLength > int64(limit) {
		return refuse(outcome.TooLarge, "limit "+strconv.Itoa(limit)+" bytes", 0)
	}
	rc := http.NewResponseController(req.w)
	_ = rc.SetReadDeadline(time.Now().Add(min(bodyTimeout, time.Until(req.deadline))))
	req.requestMemory = s.requestBodies.Reserve()
	conn := headlimit.FromContext(req.r.Context())
	conn.AwaitBody()
	body, err := req.requestMemory.ReadAll(http.MaxBytesReader(req.w, req.r.Body, int64(limit)), req.r.ContentLength, int64(limit))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	if !conn.BodyRead() {
		return refuse(outcome.CallerGone, "closed for other connections while reading the request body", 0)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, readlimit.ErrBudgetExhausted):
		req.w.Header().Set("Connection", "close")
		return refuse(outcome.VMFull, "", shortRetryDelay)
	case err == nil:
		req.body = body
		return proceed()
	case asError(err, &tooLarge):
		return refuse(outcome.TooLarge, "limit "+strconv.Itoa(limit)+" bytes", 0)
	case req.r.Context().Err() != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		// net/http also ends the context when the read deadline has passed.
		return refuse(outcome.CallerGone, "while reading the request body", 0)
	}
	req.w.Header().Set("Connection", "close")
	return refuse(outcome.SlowBody, err.Error(), 0)
}

// boundResponse sets the time by which the response must be written. A caller that does not read it
// would hold its connection and the memory of the response for ever.
func (req *request) boundResponse(deadline time.Time) {
	_ = http.NewResponseController(req.w).SetWriteDeadline(deadline)
}

// writeRefusal sends a problem document in place of a replica's response.
func (s *Server) writeRefusal(req *request, out outcome.Result) {
	status := out.Cause.Status()
	switch {
	case out.Kind == outcome.NotRun && status >= http.StatusInternalServerError:
		status = http.StatusServiceUnavailable
	case out.Kind != outcome.NotRun && status == http.StatusServiceUnavailable:
		// 503 would say that the request has not run.
		status = http.StatusBadGateway
	}
	req.status = status
	if out.Cause == outcome.CallerGone {
		return
	}
	var retry time.Duration
	if !out.RetryAt.IsZero() {
		// Jitter keeps callers that were refused together from retrying together.
		retry = max(time.Until(out.RetryAt), 0) + time.Duration(rand.Int64N(int64(retryJitter)))
	}
	header := req.w.Header()
	platform.SetLocalResponseHeaders(header, req.params.AttemptID, retry)
	header.Set("Content-Type", problem.ContentType)
	p := problem.New(req.params.AttemptID, out)
	p.Status = status
	body, err := json.Marshal(p)
	if err != nil {
		body = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	req.w.WriteHeader(status)
	_, _ = req.w.Write(body)
}

// retryJitter is the range of the jitter added to advised retry delays.
const retryJitter = 100 * time.Millisecond

// recordOutcome updates the metrics and writes the log line for the end of a request.
func (s *Server) recordOutcome(req *request, out outcome.Result) {
	cause := string(out.Cause)
	if cause == "" {
		cause = "none"
	}
	kind := req.route.Kind.String()
	s.metrics.requests.WithLabelValues(kind, strconv.Itoa(req.status), cause).Inc()
	if !req.firstByte.IsZero() {
		s.metrics.firstByteSeconds.WithLabelValues(kind).Observe(req.firstByte.Sub(req.arrived).Seconds())
	}
	if out.Kind == outcome.Finished && req.resumes == 0 && req.attempts <= 1 && !s.allowSuccessLine() {
		return
	}
	line := s.log.Info().Str("event", "ended").Str("request", req.params.AttemptID).Str("kind", kind).Str("route", req.route.Name).
		Str("outcome", string(out.Kind)).Str("cause", cause).Int("status", req.status).Str("server", req.serverID).
		Int("attempts", req.attempts).Int64("tookMs", time.Since(req.arrived).Milliseconds())
	if req.state != nil {
		line = line.Int64("config", req.state.Version)
	}
	if !req.firstByte.IsZero() {
		line = line.Int64("firstByteMs", req.firstByte.Sub(req.arrived).Milliseconds())
	}
	if req.route.Kind == routing.Streaming {
		line = line.Int("events", req.events).Int("rescues", req.resumes)
	}
	if out.Detail != "" {
		line = line.Str("detail", out.Detail)
	}
	line.Msg("")
}
