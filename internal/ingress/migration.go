package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/migration"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// copyTimeout bounds one copy of a KV cache.
	copyTimeout = 3 * time.Second
	// maxControlBytes bounds the response to a call to a replica's control interface. The
	// report of a replica lists its runs.
	maxControlBytes = 256 << 10
	// callTimeout bounds all other calls to a replica's control interface.
	callTimeout = time.Second
	// copyRetryDelay is the delay before a first copy for which no server had room is
	// tried again.
	copyRetryDelay = 120 * time.Millisecond
	// maxCopyTargets limits the servers that are tried for one copy.
	maxCopyTargets = 4
	// drainRetention is how long the drain of a leaving server is kept.
	drainRetention = 10 * time.Second
)

// serverDrain is the state of the migration of this VM's streams away from one leaving
// server.
type serverDrain struct {
	from backend.Server
	// evacuation is set when the server does not leave but its data centre is evacuated.
	evacuation bool
	link       migration.Link
	plan       migration.Plan
	// copySlot is a semaphore that admits one first copy at a time.
	copySlot chan struct{}
}

// startMigrations starts the migration of streams away from a leaving server. It is
// called by the event loop and does not block.
func (s *Server) startMigrations(action dispatch.MigrateStreams) {
	drain := s.drainFor(action.Server, action.Evacuation)
	if len(action.Streams) == 0 {
		return
	}
	s.spawn(func() {
		for _, run := range action.Streams {
			s.mu.Lock()
			st := s.streams[run.ID]
			s.mu.Unlock()
			if st == nil {
				// The stream has no response yet. The core repeats the action once it has one.
				continue
			}
			s.spawn(func() { s.migrate(st, drain, run.CachedTokens) })
			// Makes the streams wait for copySlot in the order of the action.
			sleep.For(s.ctx, time.Millisecond)
		}
	})
}

// drainFor returns the drain of a server. The first call for a server starts it, and the first one
// after its evacuation if it leaves.
func (s *Server) drainFor(from backend.Server, evacuation bool) *serverDrain {
	key := from.Instance()
	s.mu.Lock()
	defer s.mu.Unlock()
	if drain, ok := s.drains[key]; ok && (evacuation || !drain.evacuation) {
		return drain
	}
	drain := &serverDrain{from: from, evacuation: evacuation, copySlot: make(chan struct{}, 1), plan: migration.Plan{NoticeAt: time.Now()}}
	if state := s.catalog.State(); state != nil {
		if engine := state.Services[from.Service].Engine; engine != nil {
			drain.link = migration.Link{Mbps: engine.LinkMbps, TokenBytes: engine.TokenBytes}
		}
	}
	s.drains[key] = drain
	s.log.Info().Str("event", "serverLeaves").Str("server", from.ID).Str("dataCentre", from.DataCentre).Bool("evacuation", evacuation).Msg("")
	time.AfterFunc(drainRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.drains[key] == drain {
			delete(s.drains, key)
		}
	})
	return drain
}

// existingDrain returns the drain of a server, if it was started.
func (s *Server) existingDrain(from backend.Server) (*serverDrain, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drain, ok := s.drains[from.Instance()]
	return drain, ok
}

// migrate copies the KV cache of a stream to another server while the stream runs and
// keeps the copy up to date; the stream is resumed from it when its server is gone.
// If the server still runs at the time of the handover, the stream is stopped, the
// rest is copied and the stream is resumed from that final copy. If the server with the
// copy begins to leave too, the stream is copied to another one.
func (s *Server) migrate(st *stream, drain *serverDrain, kvTokens int) {
	if !st.beginMigration(drain.from) {
		return
	}
	for {
		point := s.firstCopy(st, drain, kvTokens)
		if !point.ok && st.waitWhileRunning(drain.plan.Handover()) {
			point = s.firstCopy(st, drain, kvTokens)
		}
		if !point.ok {
			st.endMigration(drain.from)
			s.loop.post(dispatch.ReleaseTarget{ID: st.req.id})
			return
		}
		switch s.refreshCopy(st, drain, point) {
		case streamEnded:
			return
		case handoverDue:
			s.handOver(st, drain)
			return
		case targetLeaves:
		}
	}
}

// handOver stops a stream for its final copy and passes the result to the relay.
func (s *Server) handOver(st *stream, drain *serverDrain) {
	latest, ok := st.stopForFinalCopy(drain.from)
	if !ok {
		return
	}
	handover := migration.Handover{Deadline: st.req.deadline, InPlaceUntil: s.inPlaceUntil(drain)}
	ctx, cancel := context.WithTimeout(st.req.ctx, finalCopyTimeout)
	defer cancel()
	final := s.settle(ctx, st, latest, handover)
	if st.hasEnded() {
		if final.ok {
			latest.kvRef = final.kvRef
		}
		s.dropCopy(latest, runConn{})
		return
	}
	st.finalResult <- final
}

// stopForFinalCopy marks a stream as stopped for its final copy and returns its newest
// copy. It reports false when the stream does not run on the given server any more.
func (st *stream) stopForFinalCopy(from backend.Server) (*kvCopy, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || st.isBroken() || !st.runningOn.SameInstance(from) || st.latestCopy == nil {
		return nil, false
	}
	st.awaitingFinalCopy = true
	latest := *st.latestCopy
	return &latest, true
}

// wasStopped reports whether the server was asked to stop the stream for its final copy.
func (st *stream) wasStopped() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.awaitingFinalCopy
}

// currentServer returns the server that generates the stream.
func (st *stream) currentServer() backend.Server {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.runningOn
}

func (st *stream) hasEnded() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.ended
}

// setLatestCopy records the newest copy. It reports false when the stream has ended or
// moved and the copy is of no use.
func (st *stream) setLatestCopy(copied *kvCopy) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || !st.runningOn.SameInstance(copied.source) {
		return false
	}
	st.latestCopy = copied
	return true
}

// endMigration allows another migration of the stream away from a server.
func (st *stream) endMigration(from backend.Server) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runningOn.SameInstance(from) {
		st.migrating = false
	}
}

// beginMigration marks the stream as migrating. It reports false when the stream does
// not run on the given server or is migrating already.
func (st *stream) beginMigration(from backend.Server) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.migrating || st.ended || !st.runningOn.SameInstance(from) {
		return false
	}
	select {
	case <-st.finalResult:
	default:
	}
	st.migrating = true
	return true
}

// firstCopy copies the KV cache to a server with room while the stream continues. If
// none has room, it retries, in general until the time of the handover, as streams that
// end meanwhile make room.
func (s *Server) firstCopy(st *stream, drain *serverDrain, kvTokens int) resumePoint {
	for {
		point, retry := s.tryCopy(st, drain, kvTokens)
		if point.ok || !retry || !st.waitWhileRunning(time.Now().Add(copyRetryDelay)) {
			return point
		}
	}
}

// tryCopy tries one target server after another. It reports in retry whether a later
// attempt may succeed.
func (s *Server) tryCopy(st *stream, drain *serverDrain, kvTokens int) (point resumePoint, retry bool) {
	select {
	case drain.copySlot <- struct{}{}:
	case <-st.req.ctx.Done():
		return resumePoint{}, false
	}
	defer func() { <-drain.copySlot }()
	var refused []string
	for range maxCopyTargets {
		target, ok := s.chooseTarget(st, refused)
		if !ok && len(refused) == 0 {
			s.log.Info().Str("event", "noTarget").Str("request", st.req.params.AttemptID).Str("from", drain.from.ID).Msg("")
		}
		if !ok || !drain.plan.MayCopy(time.Now(), kvTokens, drain.link, s.copyDistance(drain.from, target)) {
			return resumePoint{}, time.Now().Before(drain.plan.Handover())
		}
		move := s.requestCopy(st.req.ctx, st, drain.from, target)
		switch move.Result {
		case platform.Copied:
			point := resumePoint{server: target, kvRef: platform.KVRef{Address: drain.from.Address, Handle: move.Handle}, ok: true}
			copied := &kvCopy{target: point.server, kvRef: point.kvRef, source: drain.from}
			if !st.setLatestCopy(copied) {
				s.dropCopy(copied, runConn{})
				return resumePoint{}, false
			}
			return point, false
		case platform.TargetUnavailable:
			refused = append(refused, target.ID)
		default:
			return resumePoint{}, false
		}
	}
	return resumePoint{}, true
}

// copyDistance classifies the network path of a copy between two servers.
func (s *Server) copyDistance(from, to backend.Server) migration.Distance {
	regions := s.opts.Settings.DataCentres
	switch {
	case from.DataCentre == to.DataCentre:
		return migration.SameDataCentre
	case regions[from.DataCentre] == regions[to.DataCentre]:
		return migration.SameRegion
	}
	return migration.OtherRegion
}

// chooseTarget gets a server with room for the stream from the dispatch core.
func (s *Server) chooseTarget(st *stream, refused []string) (backend.Server, bool) {
	action, ok := s.loop.call(st.req.ctx, targetKey(st.req.id), dispatch.FindTarget{ID: st.req.id, Excluded: refused, Homes: s.homesOf(st.req)})
	target, _ := action.(dispatch.Target)
	return target.Server, ok && target.Found
}

// copyState is why a copy is not kept up to date any more.
type copyState int

const (
	// streamEnded means that the stream broke, ended or was cancelled.
	streamEnded copyState = iota
	// handoverDue means that the stream still runs at the time of the handover.
	handoverDue
	// targetLeaves means that the server with the copy leaves.
	targetLeaves
)

// refreshCopy keeps a copy up to date until the stream ends, its handover is due or the
// server with the copy leaves.
func (s *Server) refreshCopy(st *stream, drain *serverDrain, point resumePoint) copyState {
	handover := drain.plan.Handover()
	for {
		if s.isLeaving(point.server) && time.Now().Before(handover) {
			return targetLeaves
		}
		at := drain.plan.NextRefresh(time.Now())
		if at.After(handover) {
			if !st.waitWhileRunning(handover) {
				return streamEnded
			}
			return handoverDue
		}
		if !st.waitWhileRunning(at) {
			return streamEnded
		}
		s.refreshOnce(st, drain, point)
	}
}

// refreshOnce brings a copy up to date. The call ends at the time of the handover, as its
// response may be lost.
func (s *Server) refreshOnce(st *stream, drain *serverDrain, point resumePoint) {
	ctx, cancel := context.WithDeadline(st.req.ctx, drain.plan.Handover())
	defer cancel()
	move := s.requestCopy(ctx, st, drain.from, point.server)
	if move.Result == platform.Copied && move.Handle != point.kvRef.Handle {
		kvRef := platform.KVRef{Address: drain.from.Address, Handle: move.Handle}
		st.setLatestCopy(&kvCopy{target: point.server, kvRef: kvRef, source: drain.from})
	}
}

// requestCopy makes a server copy the KV cache of a stream to another one while the stream runs.
// The connection is kept if the answer shows that it leads to the process that runs the stream.
func (s *Server) requestCopy(ctx context.Context, st *stream, source, target backend.Server) platform.MoveResponse {
	var conn *replica.Reserved
	move, _ := s.callMove(ctx, st, moveCall{source: source, target: target, sentOn: connNew}, s.sendOnNew(&conn))
	if conn != nil && (move.Result != platform.Copied || !st.keepRunConn(source, runConn{conn: conn, answer: &move})) {
		conn.Close()
	}
	if move.Result == platform.Copied {
		s.ensureRunConn(st, source)
	}
	return move
}

// moveCall is a request to a server to copy the KV cache of a stream to another one.
type moveCall struct {
	source, target backend.Server
	// final is set if the server stops the stream first.
	final  bool
	sentOn connKind
}

// callMove sends a moveCall. The error is set if no response came.
func (s *Server) callMove(ctx context.Context, st *stream, m moveCall, send sendFunc) (platform.MoveResponse, error) {
	began := time.Now()
	move := platform.MoveResponse{Result: platform.MoveFailed}
	call, err := platform.MoveCall(st.req.params.AttemptID, m.target.Address, m.final)
	phase, timeout := "first", copyTimeout
	if m.final {
		phase, timeout = "last", finalCopyTimeout
	}
	status := 0
	if err == nil {
		var body []byte
		status, body, err = s.callReplica(ctx, m.source, call, timeout, send)
		if err == nil {
			move = platform.DecodeMoveResponse(status, body)
		}
	}
	s.metrics.moves.WithLabelValues(phase, move.Result.String()).Inc()
	line := s.log.Info().Str("event", "move").Str("request", st.req.params.AttemptID).Str("phase", phase).
		Str("from", m.source.ID).Str("to", m.target.ID).Bool("sameDataCentre", m.source.DataCentre == m.target.DataCentre).
		Str("connection", string(m.sentOn)).
		Str("result", move.Result.String()).Int("status", status).Int64("created", move.EventCount).
		Int64("tookMs", time.Since(began).Milliseconds())
	if err != nil {
		line = line.Str("reason", err.Error())
	}
	line.Msg("")
	return move, err
}

// sendFunc sends a request to an instance and returns the response.
type sendFunc func(ctx context.Context, server backend.Instance, req *replica.Request) (*replica.Response, error)

// callReplica calls a replica's control interface and returns the status and the body
// of the response.
func (s *Server) callReplica(ctx context.Context, server backend.Server, call platform.Call, timeout time.Duration, send sendFunc) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call = call.For(server.ID)
	resp, err := send(ctx, server.Instance(), &replica.Request{
		Method: call.Method, Target: call.Target, Host: server.Address, Header: call.Header, Body: call.Body,
		OwnConnection: call.Method != http.MethodGet, Control: true,
	})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	if s.isListed(server) {
		s.noteResponse(server, resp)
	}
	memory := s.responseBodies.Reserve()
	defer memory.Release()
	body, err := memory.ReadAll(resp, resp.ContentLength, maxControlBytes)
	return resp.Status, body, err
}

// dropCopy frees a copy on both servers with a call to its source: on the connection to the
// process that made it, if there is one. Another process at its address may have given the same
// handle to a copy of its own.
func (s *Server) dropCopy(copied *kvCopy, conn runConn) {
	send := s.pool.Send
	switch {
	case conn.usable() && conn.answer != nil:
		send = sendOn(conn.conn)
	case !s.isListed(copied.source):
		return
	}
	status, _, err := s.callReplica(s.ctx, copied.source, platform.ReleaseHandleCall(copied.kvRef.Handle), callTimeout, send)
	if err != nil || status >= http.StatusMultipleChoices {
		s.log.Info().Str("event", "copyNotDropped").Str("server", copied.source.ID).Int("status", status).Msg("")
	}
}
