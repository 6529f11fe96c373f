package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/migration"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// finalCopyTimeout bounds one final copy of a KV cache and how long a broken stream
	// waits for it.
	finalCopyTimeout = 1200 * time.Millisecond
	// minStopRetryDelay is the delay before a server that did not confirm the stop of a run is
	// asked again. It doubles each time up to maxStopRetryDelay.
	minStopRetryDelay = 20 * time.Millisecond
	maxStopRetryDelay = 160 * time.Millisecond
	// minCallerPatience is how long callers wait for an event of a stream at least.
	minCallerPatience = 2 * time.Second
)

// kvCopy is a copy of a stream's KV cache on another server.
type kvCopy struct {
	target backend.Server
	kvRef  platform.KVRef
	source backend.Server
}

// resumePoint is the server and the copy of the KV cache from which a stream can be
// resumed; ok is false if there is none.
type resumePoint struct {
	server backend.Server
	kvRef  platform.KVRef
	ok     bool
	// stopped is set when the run that the stream continues has certainly ended.
	stopped bool
}

// resume continues a broken stream from the newest copy of its KV cache.
func (s *Server) resume(st *stream, cause error) (*replica.Response, bool) {
	req := st.req
	if eris.Is(cause, errMissingEvent) || eris.Is(cause, errNoEventID) || req.r.Context().Err() != nil {
		return nil, false
	}
	brokenAt := time.Now()
	deadline := req.callerWaitsUntil(brokenAt)
	point, latest := st.awaitResumePoint(req.ctx)
	if !point.stopped && latest != nil {
		point = s.stopRun(st, latest, deadline)
	}
	switch {
	case !point.ok && latest == nil:
		s.recordStreamLost(st, lostWithoutCopy, brokenAt, cause)
		return nil, false
	case !point.ok:
		s.recordStreamLost(st, lostMayRun, brokenAt, cause)
		return nil, false
	case !s.awaitServer(req, point.server, deadline):
		s.recordStreamLost(st, lostTargetLeft, brokenAt, cause)
		return nil, false
	}
	return s.resumeAt(st, point, brokenAt)
}

// lostReason is why a broken stream is not resumed, as a label of metrics.
type lostReason string

const (
	lostWithoutCopy lostReason = "noCopy"
	lostMayRun      lostReason = "notStopped"
	lostTargetLeft  lostReason = "targetLeft"
)

// recordStreamLost updates the metrics and writes the log line of a stream that is not
// resumed.
func (s *Server) recordStreamLost(st *stream, reason lostReason, brokenAt time.Time, cause error) {
	s.metrics.resumes.WithLabelValues(string(reason)).Inc()
	s.log.Warn().Str("event", "streamLost").Str("request", st.req.params.AttemptID).Str("server", st.req.serverID).
		Int64("relayed", st.lastEventID).Int64("waitedMs", time.Since(brokenAt).Milliseconds()).
		Bool("mayRun", reason == lostMayRun).Bool("targetLeft", reason == lostTargetLeft).
		Str("segments", st.req.segmentNames()).Str("reason", eris.ToString(cause, false)).Msg("")
}

// awaitServer waits until a server wants requests. It reports false if that is after the
// deadline or the server must get no more streams by then.
func (s *Server) awaitServer(req *request, server backend.Server, deadline time.Time) bool {
	notBefore := s.notBeforeOf(server)
	if notBefore.After(deadline) {
		return false
	}
	sleep.Until(req.ctx, notBefore)
	return s.mayReceive(server, time.Now()) && s.isHome(req, server)
}

// resumeAt sends a broken stream to the server from which it continues.
func (s *Server) resumeAt(st *stream, point resumePoint, brokenAt time.Time) (*replica.Response, bool) {
	req := st.req
	forward := req.forwardParams(point.server)
	forward.Priority = req.route.PriorityFor(req.workspace)
	forward.ResumeFrom, forward.LastEventID = point.kvRef, st.lastEventID
	resp, err := s.sendResumption(st, point, req.replicaRequest(forward))
	line := s.log.Info().Str("event", "resumed").Str("request", req.params.AttemptID).Str("from", req.serverID).Str("server", point.server.ID).
		Int64("relayed", st.lastEventID).Int64("pauseMs", time.Since(brokenAt).Milliseconds())
	if err != nil {
		s.metrics.resumes.WithLabelValues("unreached").Inc()
		line.Str("outcome", "unreached").Str("reason", eris.ToString(err, false)).Msg("")
		return nil, false
	}
	s.noteResponse(point.server, resp)
	if resp.Status != http.StatusOK || !resp.Parsed.EventStream {
		s.metrics.resumes.WithLabelValues("refused").Inc()
		line.Str("outcome", "refused").Int("status", resp.Status).Msg("")
		resp.Close()
		return nil, false
	}
	line.Str("outcome", "resumed").Msg("")
	s.metrics.resumes.WithLabelValues("resumed").Inc()
	req.resumes++
	req.serverID = point.server.ID
	st.continueOn(point.server)
	s.loop.post(dispatch.StreamResumed{ID: req.id, Server: point.server.ID})
	return resp, true
}

// sendResumption sends the request that resumes a stream. If that is on the server that ran it,
// the request goes to the same process.
func (s *Server) sendResumption(st *stream, point resumePoint, req *replica.Request) (*replica.Response, error) {
	if conn, ok := st.takeRunConn(point.server); ok {
		own := *req
		own.OwnConnection = true
		resp, err := conn.Send(st.req.ctx, &own)
		if !eris.Is(err, replica.ErrNotSent) {
			return resp, err
		}
		conn.Close()
	}
	return s.pool.Send(st.req.ctx, point.server.Instance(), req)
}

// continueOn records that a stream continues on a server.
func (st *stream) continueOn(server backend.Server) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.runningOn = server
	st.latestCopy, st.migrating, st.awaitingFinalCopy = nil, false, false
	st.broken, st.brokenAt = make(chan struct{}), time.Time{}
	st.runConn.close()
	st.runConn = runConn{}
}

// awaitResumePoint waits for the final copy if the stream was stopped for it. If it was
// not, or the final copy fails or takes too long, ok and stopped are false in the result.
// It also returns the newest copy, or nil.
func (st *stream) awaitResumePoint(ctx context.Context) (resumePoint, *kvCopy) {
	st.mu.Lock()
	awaiting := st.awaitingFinalCopy
	st.markBroken()
	st.mu.Unlock()
	var point resumePoint
	if awaiting {
		timer := time.NewTimer(finalCopyTimeout)
		defer timer.Stop()
		select {
		case point = <-st.finalResult:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return point, st.latestCopy
}

// stopRun makes sure that the run of a broken stream has ended, and returns the copy from
// which the stream continues. The server may still be running: it closed one connection.
func (s *Server) stopRun(st *stream, latest *kvCopy, deadline time.Time) resumePoint {
	handover := migration.Handover{Deadline: deadline}
	if drain, ok := s.existingDrain(latest.source); ok {
		handover.InPlaceUntil = s.inPlaceUntil(drain)
	}
	ctx, cancel := context.WithDeadline(st.req.ctx, deadline)
	defer cancel()
	return s.settle(ctx, st, latest, handover)
}

// settle asks the server of a stream to stop its run until it is known whether the run has
// ended, or the context ends.
func (s *Server) settle(ctx context.Context, st *stream, latest *kvCopy, handover migration.Handover) resumePoint {
	for delay := minStopRetryDelay; ; delay = min(2*delay, maxStopRetryDelay) {
		point, next := s.finalCopy(ctx, st, latest, handover)
		if next != migration.AskAgain || !sleep.For(ctx, delay) {
			return point
		}
	}
}

// finalCopy stops a stream on its server and copies the rest of its KV cache. It returns
// where the stream continues; the point is ok unless that is migration.AskAgain or
// migration.Nowhere.
func (s *Server) finalCopy(ctx context.Context, st *stream, latest *kvCopy, handover migration.Handover) (resumePoint, migration.ResumeFrom) {
	target := s.finalTarget(st, latest)
	reply := s.requestStop(ctx, st, latest.source, target)
	kvRef := platform.KVRef{Address: latest.source.Address, Handle: reply.move.Handle}
	connections := s.connections(st, latest.source)
	next := handover.Next(time.Now(), reply.result, connections)
	s.log.Info().Str("event", "runStop").Str("request", st.req.params.AttemptID).Str("server", latest.source.ID).Str("result", reply.result.String()).
		Str("connection", string(reply.sentOn)).Str("next", next.String()).Int("openConnections", connections.OthersOpen).
		Int64("closedAgoMs", ageMs(connections.StreamClosedAt)).Int64("reservedClosedAgoMs", ageMs(connections.ReservedClosedAt)).Msg("")
	switch next {
	case migration.FinalCopy:
		return resumePoint{server: target, kvRef: kvRef, ok: true, stopped: true}, next
	case migration.SourceServer:
		return resumePoint{server: latest.source, kvRef: kvRef, ok: true, stopped: true}, next
	case migration.EarlierCopy:
		return resumePoint{server: latest.target, kvRef: latest.kvRef, ok: true, stopped: true}, next
	}
	return resumePoint{}, next
}

// finalTarget returns the server for the final copy of a stream: the one with its newest
// copy or, if that one leaves, another with room.
func (s *Server) finalTarget(st *stream, latest *kvCopy) backend.Server {
	if s.isLeaving(latest.target) {
		if target, ok := s.chooseTarget(st, nil); ok {
			return target
		}
	}
	return latest.target
}

// callerWaitsUntil is when the caller abandons a stream that broke at the given time.
func (req *request) callerWaitsUntil(brokenAt time.Time) time.Time {
	patience := max(minCallerPatience, 4*req.route.LatencyTarget, 8*req.route.EventGapTarget)
	if at := brokenAt.Add(patience); at.Before(req.deadline) {
		return at
	}
	return req.deadline
}
