package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	maxAnswerBytes = 8 << 20
	// maxSends bounds the servers that get a request while none has run it, and
	// maxTried those that are tried, as nothing reaches some of them.
	maxSends = 4
	maxTried = 16
	// leastLeft is the least time in which another server is worth trying.
	leastLeft = 20 * time.Millisecond
)

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

// result is what one server made of a request.
type result struct {
	// answer is set when a whole answer came; body is its body.
	answer *replica.Answer
	body   []byte
	// ran is set when the server may have run the request.
	ran     bool
	verdict dispatch.Verdict
	err     error
}

// good reports whether the answer is a success that may be delivered.
func (r result) good() bool {
	return r.answer != nil && r.answer.Status >= 200 && r.answer.Status < 300
}

// servePlain sends a request to one server after another as far as its kind
// allows, and delivers the first whole answer.
func (s *Server) servePlain(q *request) outcome.Outcome {
	var tried []string
	var last result
	runs := 0
	for q.attempts < maxSends && len(tried) < maxTried {
		placed, refusal, ok := s.place(q, tried, q.attempts > 0)
		if !ok {
			return s.giveUp(q, last, runs, refusal)
		}
		last = s.sendPlain(q, placed.Server, runs)
		if last.verdict != dispatch.Unreached {
			q.attempts++
		}
		if last.ran {
			runs++
		}
		if last.good() || q.over() || !s.mayRepeat(q, last, runs) {
			break
		}
		tried = append(tried, placed.Server.ID)
	}
	return s.giveUp(q, last, runs, outcome.Outcome{})
}

// mayRepeat reports whether another server may get the request.
func (s *Server) mayRepeat(q *request, r result, runs int) bool {
	if time.Until(q.deadline) < leastLeft {
		return false
	}
	if runs == 0 {
		return true
	}
	if q.route.Kind != routing.Safe || runs >= q.route.MaxAttempts {
		return false
	}
	return r.answer == nil || r.answer.Status >= 500
}

// place asks the desk for a server.
func (s *Server) place(q *request, tried []string, repeat bool) (dispatch.Placed, outcome.Outcome, bool) {
	a, ok := s.desk.await(q.ctx, q.id, dispatch.Ask{
		ID: q.id, Service: q.service, Kind: q.route.Kind, Prompt: q.ask.PromptTokens, Output: q.outputGuess(),
		Tried: tried, Repeat: repeat,
	})
	if !ok {
		s.desk.tell(dispatch.Ended{ID: q.id, Verdict: dispatch.Withdrawn})
		return dispatch.Placed{}, s.timeUp(q, false), false
	}
	switch a := a.(type) {
	case dispatch.Placed:
		q.server = a.Server.ID
		if !repeat && !s.mayLog() {
			return a, outcome.Outcome{}, true
		}
		s.log.Info().Str("event", "placed").Str("request", q.ask.Attempt).Str("server", a.Server.ID).
			Str("dataCentre", a.Server.DataCentre).Int("own", a.Load.Own).Int("others", a.Load.Others).
			Int("tokens", a.Load.Tokens).Int("capacity", a.Load.Capacity).
			Int64("heardAgoMs", ageMs(a.Load.HeardAt)).Bool("repeat", repeat).Msg("")
		return a, outcome.Outcome{}, true
	case dispatch.Refused:
		o := outcome.Refuse(a.Cause, "")
		o.RetryAt = a.RetryAt
		return dispatch.Placed{}, o, false
	}
	return dispatch.Placed{}, outcome.Refuse(outcome.NoReplica, ""), false
}

// over reports whether the request's time is up or its caller has left.
func (q *request) over() bool { return q.ctx.Err() != nil || !time.Now().Before(q.deadline) }

// ageMs is how long ago a moment was, or -1 for never.
func ageMs(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

// timeUp is the end of a request whose context ended.
func (s *Server) timeUp(q *request, ran bool) outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.NotRun, Cause: outcome.DeadlinePassed}
	if ran {
		o.Kind = outcome.Unknown
	}
	if q.r.Context().Err() != nil {
		o.Cause = outcome.CallerGone
	}
	return o
}

// forward is the request as a server gets it.
func (q *request) forward(x backend.Server) platform.UpstreamRequest {
	f := platform.UpstreamRequest{Server: x.ID, Timeout: time.Until(q.deadline), Priority: -1}
	if q.workspace != nil {
		f.Workspace = q.workspace.Name
	}
	return f
}

func (q *request) wire(f platform.UpstreamRequest) *replica.Request {
	return &replica.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Attempt: q.ask.Attempt,
		Header: f.Headers(q.r.Header, q.route.Resumable), Body: q.body,
	}
}

// sendPlain sends a request to one server and reads the whole answer.
func (s *Server) sendPlain(q *request, x backend.Server, runs int) result {
	ctx, cancel := context.WithDeadline(q.ctx, s.attemptEnd(q, runs))
	defer cancel()
	r := s.exchange(ctx, q, x)
	var ended dispatch.Ended
	ended.ID, ended.Verdict = q.id, r.verdict
	if r.answer != nil {
		ended.Load = r.answer.Says.Load
	}
	if q.r.Context().Err() != nil && r.verdict == dispatch.Failed {
		ended.Verdict = dispatch.Withdrawn
	}
	s.desk.tell(ended)
	if r.err != nil {
		s.log.Warn().Str("event", "sendFailed").Str("request", q.ask.Attempt).Str("server", x.ID).
			Str("verdict", r.verdict.String()).Bool("ran", r.ran).Str("reason", eris.ToString(r.err, false)).Msg("")
	}
	return r
}

// attemptEnd leaves a safe request time for a second server.
func (s *Server) attemptEnd(q *request, runs int) time.Time {
	if q.route.Kind != routing.Safe || runs+1 >= q.route.MaxAttempts {
		return q.deadline
	}
	left := time.Until(q.deadline)
	return time.Now().Add(max(2*q.route.LatencyTarget, left/4))
}

func (s *Server) exchange(ctx context.Context, q *request, x backend.Server) result {
	a, err := s.pool.Send(ctx, x.Address, q.wire(q.forward(x)))
	if eris.Is(err, replica.ErrNotSent) {
		return result{verdict: dispatch.Unreached, err: err}
	}
	if err != nil {
		return result{ran: true, verdict: dispatch.Failed, err: err}
	}
	defer a.Close()
	if q.firstByte.IsZero() && !a.Says.NotExecuted {
		q.firstByte = time.Now()
	}
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes+1))
	switch {
	case a.Says.NotExecuted && a.Status == http.StatusBadRequest:
		// The request itself is at fault: another server would say the same.
		return result{answer: a, body: body, ran: true, verdict: dispatch.Served}
	case a.Says.NotExecuted:
		return result{answer: a, body: body, verdict: dispatch.Shed}
	case err != nil:
		return result{ran: true, verdict: dispatch.Failed, err: err}
	case len(body) > maxAnswerBytes, a.Says.ContentEncoded, a.Status < 300 && !a.Says.Stamped:
		return result{ran: true, verdict: dispatch.Failed, err: replica.ErrBroken}
	case a.Status >= 500:
		return result{answer: a, body: body, ran: true, verdict: dispatch.Failed}
	}
	return result{answer: a, body: body, ran: true, verdict: dispatch.Served}
}

// giveUp delivers the last answer, or says why there is none.
func (s *Server) giveUp(q *request, last result, runs int, refusal outcome.Outcome) outcome.Outcome {
	if q.r.Context().Err() != nil {
		o := s.timeUp(q, runs > 0)
		s.refuse(q, o)
		return o
	}
	if last.answer != nil && last.ran {
		return s.deliver(q, last)
	}
	o := refusal
	switch {
	case q.over():
		o = s.timeUp(q, runs > 0)
	case runs > 0:
		o = outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.ServiceLost}
		if eris.Is(last.err, replica.ErrBroken) || eris.Is(last.err, replica.ErrCut) {
			o.Cause = outcome.BrokenAnswer
		}
	case o.Cause == outcome.None && last.answer != nil:
		o = outcome.Refuse(outcome.SlotsFull, "")
		o.RetryAt = time.Now().Add(busyRetry)
	case o.Cause == outcome.None:
		o = outcome.Refuse(outcome.NoReplica, "")
		o.RetryAt = time.Now().Add(busyRetry)
	}
	s.refuse(q, o)
	return o
}

// busyRetry is advised when servers were full or out of reach.
const busyRetry = 200 * time.Millisecond

// deliver writes a replica's answer as it came.
func (s *Server) deliver(q *request, r result) outcome.Outcome {
	h := q.w.Header()
	closing := h.Get("Connection")
	platform.CopyResponseHeaders(h, r.answer.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if len(h.Values("Content-Type")) == 0 {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	length := int64(len(r.body))
	if q.r.Method == http.MethodHead {
		length = r.answer.Length
	}
	if length >= 0 && mayHaveBody(r.answer.Status) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.status = r.answer.Status
	q.w.WriteHeader(r.answer.Status)
	if q.r.Method != http.MethodHead && mayHaveBody(r.answer.Status) {
		_, _ = q.w.Write(r.body)
	}
	if r.answer.Status >= 500 {
		return outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.ServiceLost, Detail: "the replica answered " + strconv.Itoa(r.answer.Status)}
	}
	return outcome.Done(0)
}

// mayHaveBody reports whether answers of a status have a body.
func mayHaveBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
