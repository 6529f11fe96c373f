package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/rescue"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	callTimeout = time.Second
	// copyRetryDelay is how long a stream waits before it asks for room again.
	copyRetryDelay = 120 * time.Millisecond
	// maxCopyTargets bounds the servers that are tried for one copy.
	maxCopyTargets = 4
	// drainRetention is how long a server that left is remembered.
	drainRetention = 10 * time.Second
)

// serverDrain moves this VM's streams away from one server that leaves.
type serverDrain struct {
	from backend.Server
	link rescue.Link
	plan rescue.Plan
	// copySlot lets one long copy at a time be asked for.
	copySlot chan struct{}
}

// startMigrations starts to move streams away from a server that leaves. It is called
// by the desk and does not block.
func (s *Server) startMigrations(action dispatch.Rescue) {
	drain := s.drainFor(action.Server)
	if len(action.Runs) == 0 {
		return
	}
	s.spawn(func() {
		for _, run := range action.Runs {
			s.mu.Lock()
			st := s.streams[run.ID]
			s.mu.Unlock()
			if st == nil {
				// It has no answer yet: the core tells again once it starts.
				continue
			}
			s.spawn(func() { s.migrate(st, drain, run.Tokens) })
			// Keeps the order in which the turns are asked for.
			pause.For(s.ctx, time.Millisecond)
		}
	})
}

func drainKey(server backend.Server) string { return server.ID + "@" + server.Address }

// drainFor returns the evacuation of a server, which begins with its first
// use.
func (s *Server) drainFor(from backend.Server) *serverDrain {
	key := drainKey(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	if drain, ok := s.drains[key]; ok {
		return drain
	}
	drain := &serverDrain{from: from, copySlot: make(chan struct{}, 1), plan: rescue.Plan{Noticed: time.Now()}}
	if state := s.catalog.State(); state != nil {
		if engine := state.Services[from.Service].Engine; engine != nil {
			drain.link = rescue.Link{Mbps: engine.LinkMbps, TokenBytes: engine.TokenBytes}
		}
	}
	s.drains[key] = drain
	s.log.Info().Str("event", "serverLeaves").Str("server", from.ID).Str("dataCentre", from.DataCentre).Msg("")
	time.AfterFunc(drainRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.drains, key)
	})
	return drain
}

// migrate copies the memory of a stream while it runs and keeps the copy fresh,
// from which the stream is resumed when its server is gone. At a server that
// stays the stream is stopped in the end and handed over.
func (s *Server) migrate(st *stream, drain *serverDrain, tokens int) {
	if !st.beginMigration(drain.from) {
		return
	}
	point := s.initialCopy(st, drain, tokens)
	if !point.ok && st.waitWhileRunning(drain.plan.Handover()) {
		point = s.initialCopy(st, drain, tokens)
	}
	if !point.ok {
		st.endMigration(drain.from)
		s.loop.post(dispatch.DropTarget{ID: st.req.id})
		return
	}
	if !s.refreshCopy(st, drain, point) || !st.stopForFinalCopy(drain.from) {
		return
	}
	point = s.finalCopy(st, drain, point)
	if st.hasEnded() {
		s.dropCopy(&kvCopy{target: point.to, memory: point.memory, source: drain.from})
		return
	}
	st.finalCopied <- point
}

// stopForFinalCopy marks a stream as stopped for its last copy. It reports false when the
// stream does not run at a server any more.
func (st *stream) stopForFinalCopy(from backend.Server) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || st.isBroken() || !st.runningOn.Same(from) {
		return false
	}
	st.awaitingFinalCopy = true
	return true
}

// currentServer returns where the stream runs.
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

// setLatestCopy notes a copy as the newest. It reports false when the stream does not
// need it any more.
func (st *stream) setLatestCopy(copied *kvCopy) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || !st.runningOn.Same(copied.source) {
		return false
	}
	st.latestCopy = copied
	return true
}

// endMigration allows another rescue of a stream at a server.
func (st *stream) endMigration(from backend.Server) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.runningOn.Same(from) {
		st.migrating = false
	}
}

// beginMigration reports whether a stream runs on a server and does not move yet.
func (st *stream) beginMigration(from backend.Server) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.migrating || st.ended || !st.runningOn.Same(from) {
		return false
	}
	select {
	case <-st.finalCopied:
	default:
	}
	st.migrating = true
	return true
}

// initialCopy copies the memory to a server with room while the stream goes on.
// Where none has room it asks again until the server may be gone: other streams
// end meanwhile.
func (s *Server) initialCopy(st *stream, drain *serverDrain, tokens int) resumePoint {
	for {
		point, retry := s.tryCopy(st, drain, tokens)
		if point.ok || !retry || !st.waitWhileRunning(time.Now().Add(copyRetryDelay)) {
			return point
		}
	}
}

// tryCopy asks one server after the other. It reports whether it is worth
// asking again later.
func (s *Server) tryCopy(st *stream, drain *serverDrain, tokens int) (point resumePoint, retry bool) {
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
			s.log.Info().Str("event", "noTarget").Str("request", st.req.params.Attempt).Str("from", drain.from.ID).Msg("")
		}
		if !ok || !drain.plan.MayCopy(time.Now(), tokens, drain.link, s.copyDistance(drain.from, target)) {
			return resumePoint{}, time.Now().Before(drain.plan.Handover())
		}
		move := s.requestCopy(st, drain.from, target, false)
		switch move.Result {
		case platform.Copied:
			point := resumePoint{to: target, memory: platform.Memory{Address: drain.from.Address, Handle: move.Handle}, ok: true}
			copied := &kvCopy{target: point.to, memory: point.memory, source: drain.from}
			if !st.setLatestCopy(copied) {
				s.dropCopy(copied)
				return resumePoint{}, false
			}
			return point, false
		case platform.NoRoom:
			refused = append(refused, target.ID)
		default:
			return resumePoint{}, false
		}
	}
	return resumePoint{}, true
}

// copyDistance is how far a copy between two servers goes.
func (s *Server) copyDistance(from, to backend.Server) rescue.Way {
	regions := s.opts.Settings.DataCentres
	switch {
	case from.DataCentre == to.DataCentre:
		return rescue.Local
	case regions[from.DataCentre] == regions[to.DataCentre]:
		return rescue.Near
	}
	return rescue.Far
}

// chooseTarget asks the core for a server that can take a stream.
func (s *Server) chooseTarget(st *stream, refused []string) (backend.Server, bool) {
	action, ok := s.loop.call(st.req.ctx, targetKey(st.req.id), dispatch.WantTarget{ID: st.req.id, Refused: refused})
	target, _ := action.(dispatch.Target)
	return target.Server, ok && target.Found
}

// refreshCopy brings a copy up to date until the stream breaks or ends. It
// reports true when the server is still there at the time of the handover.
func (s *Server) refreshCopy(st *stream, drain *serverDrain, point resumePoint) bool {
	for {
		now := time.Now()
		at := drain.plan.NextRefresh(now)
		if handover := drain.plan.Handover(); at.After(handover) {
			return st.waitWhileRunning(handover)
		}
		if !st.waitWhileRunning(at) {
			return false
		}
		if move := s.requestCopy(st, drain.from, point.to, false); move.Result == platform.Copied && move.Handle != point.memory.Handle {
			point.memory.Handle = move.Handle
			st.setLatestCopy(&kvCopy{target: point.to, memory: point.memory, source: drain.from})
		}
	}
}

// finalCopy stops the stream at its server and copies what is new.
func (s *Server) finalCopy(st *stream, drain *serverDrain, first resumePoint) resumePoint {
	move := s.requestCopy(st, drain.from, first.to, true)
	memory := platform.Memory{Address: drain.from.Address, Handle: move.Handle}
	switch {
	case move.Result == platform.Copied:
		return resumePoint{to: first.to, memory: memory, ok: true}
	case move.Handle != "" && drain.plan.MayReturn(time.Now()):
		// The run has stopped and its memory is still at its server.
		return resumePoint{to: drain.from, memory: memory, ok: true}
	case move.Result == platform.NoRun:
		return resumePoint{}
	}
	// The server may be gone, or takes no request: the first copy is what is left.
	return first
}

// requestCopy asks a server to copy the memory of a stream.
func (s *Server) requestCopy(st *stream, from, to backend.Server, last bool) platform.Move {
	began := time.Now()
	move := platform.Move{Result: platform.MoveFailed}
	call, err := platform.MoveCall(st.req.params.Attempt, to.Address, last)
	status := 0
	if err == nil {
		var body []byte
		status, body, err = s.callReplica(st.req.ctx, from, call, copyTimeout)
		if err == nil {
			move = platform.ReadMove(status, body)
		}
	}
	phase := "first"
	if last {
		phase = "last"
	}
	s.metrics.moves.WithLabelValues(phase, move.Result.String()).Inc()
	line := s.log.Info().Str("event", "move").Str("request", st.req.params.Attempt).Str("phase", phase).
		Str("from", from.ID).Str("to", to.ID).Bool("sameDataCentre", from.DataCentre == to.DataCentre).
		Str("result", move.Result.String()).Int("status", status).Int64("created", move.Created).
		Int64("tookMs", time.Since(began).Milliseconds())
	if err != nil {
		line = line.Str("reason", err.Error())
	}
	line.Msg("")
	return move
}

// callReplica makes a call to a replica's own interface.
func (s *Server) callReplica(ctx context.Context, server backend.Server, call platform.Call, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := s.pool.Send(ctx, server.Address, &replica.Request{
		Method: call.Method, Target: call.Target, Host: server.Address, Header: call.Header, Body: call.Body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close()
	body, err := io.ReadAll(io.LimitReader(resp, maxResponseBytes))
	return resp.Status, body, err
}

// dropCopy frees a copy at both ends.
func (s *Server) dropCopy(copied *kvCopy) {
	status, _, err := s.callReplica(s.ctx, copied.source, platform.DropCall(copied.memory.Handle), callTimeout)
	if err != nil || status >= http.StatusMultipleChoices {
		s.log.Info().Str("event", "copyNotDropped").Str("server", copied.source.ID).Int("status", status).Msg("")
	}
}
