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
	// roomPause is how long a stream waits before it asks for room again.
	roomPause = 120 * time.Millisecond
	// maxTargets bounds the servers that are tried for one copy.
	maxTargets = 4
	// evacuationKept is how long a server that left is remembered.
	evacuationKept = 10 * time.Second
)

// evacuation moves this VM's streams away from one server that leaves.
type evacuation struct {
	from backend.Server
	link rescue.Link
	plan rescue.Plan
	// turn lets one long copy at a time be asked for.
	turn chan struct{}
}

// rescue starts to move streams away from a server that leaves. It is called
// by the desk and does not block.
func (s *Server) rescue(a dispatch.Rescue) {
	e := s.evacuation(a.Server)
	if len(a.Runs) == 0 {
		return
	}
	s.spawn(func() {
		for _, r := range a.Runs {
			s.mu.Lock()
			st := s.streams[r.ID]
			s.mu.Unlock()
			if st == nil {
				// It has no answer yet: the core tells again once it starts.
				continue
			}
			s.spawn(func() { s.move(st, e, r.Tokens) })
			// Keeps the order in which the turns are asked for.
			pause.For(s.ctx, time.Millisecond)
		}
	})
}

func evacuationKey(x backend.Server) string { return x.ID + "@" + x.Address }

// evacuation returns the evacuation of a server, which begins with its first
// use.
func (s *Server) evacuation(from backend.Server) *evacuation {
	key := evacuationKey(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.evacuations[key]; ok {
		return e
	}
	e := &evacuation{from: from, turn: make(chan struct{}, 1), plan: rescue.Plan{Noticed: time.Now()}}
	if state := s.catalog.State(); state != nil {
		if x := state.Services[from.Service].Engine; x != nil {
			e.link = rescue.Link{Mbps: x.LinkMbps, TokenBytes: x.TokenBytes}
		}
	}
	s.evacuations[key] = e
	s.log.Info().Str("event", "serverLeaves").Str("server", from.ID).Str("dataCentre", from.DataCentre).Msg("")
	time.AfterFunc(evacuationKept, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.evacuations, key)
	})
	return e
}

// move copies the memory of a stream while it runs and keeps the copy fresh,
// from which the stream is resumed when its server is gone. At a server that
// stays the stream is stopped in the end and handed over.
func (s *Server) move(st *stream, e *evacuation, tokens int) {
	if !st.beginMove(e.from) {
		return
	}
	h := s.firstCopy(st, e, tokens)
	if !h.ok && st.runsUntil(e.plan.Handover()) {
		h = s.firstCopy(st, e, tokens)
	}
	if !h.ok {
		st.endMove(e.from)
		s.desk.tell(dispatch.DropTarget{ID: st.q.id})
		return
	}
	if !s.keepFresh(st, e, h) || !st.stop(e.from) {
		return
	}
	h = s.lastCopy(st, e, h)
	if st.hasEnded() {
		s.dropCopy(&copyOf{target: h.to, memory: h.memory, source: e.from})
		return
	}
	st.moved <- h
}

// stop marks a stream as stopped for its last copy. It reports false when the
// stream does not run at a server any more.
func (st *stream) stop(from backend.Server) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || st.isBroken() || !st.on.Same(from) {
		return false
	}
	st.stopped = true
	return true
}

// server returns where the stream runs.
func (st *stream) server() backend.Server {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.on
}

func (st *stream) hasEnded() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.ended
}

// keep notes a copy as the newest. It reports false when the stream does not
// need it any more.
func (st *stream) keep(c *copyOf) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended || !st.on.Same(c.source) {
		return false
	}
	st.copied = c
	return true
}

// endMove allows another rescue of a stream at a server.
func (st *stream) endMove(from backend.Server) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.on.Same(from) {
		st.moving = false
	}
}

// beginMove reports whether a stream runs on a server and does not move yet.
func (st *stream) beginMove(from backend.Server) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.moving || st.ended || !st.on.Same(from) {
		return false
	}
	select {
	case <-st.moved:
	default:
	}
	st.moving = true
	return true
}

// firstCopy copies the memory to a server with room while the stream goes on.
// Where none has room it asks again until the server may be gone: other streams
// end meanwhile.
func (s *Server) firstCopy(st *stream, e *evacuation, tokens int) handover {
	for {
		h, again := s.copyOnce(st, e, tokens)
		if h.ok || !again || !st.runsUntil(time.Now().Add(roomPause)) {
			return h
		}
	}
}

// copyOnce asks one server after the other. It reports whether it is worth
// asking again later.
func (s *Server) copyOnce(st *stream, e *evacuation, tokens int) (h handover, again bool) {
	select {
	case e.turn <- struct{}{}:
	case <-st.q.ctx.Done():
		return handover{}, false
	}
	defer func() { <-e.turn }()
	var refused []string
	for range maxTargets {
		target, ok := s.target(st, refused)
		if !ok && len(refused) == 0 {
			s.log.Info().Str("event", "noTarget").Str("request", st.q.ask.Attempt).Str("from", e.from.ID).Msg("")
		}
		if !ok || !e.plan.MayCopy(time.Now(), tokens, e.link, s.way(e.from, target)) {
			return handover{}, time.Now().Before(e.plan.Handover())
		}
		m := s.callMove(st, e.from, target, false)
		switch m.Result {
		case platform.Copied:
			h := handover{to: target, memory: platform.KVRef{Address: e.from.Address, Handle: m.Handle}, ok: true}
			c := &copyOf{target: h.to, memory: h.memory, source: e.from}
			if !st.keep(c) {
				s.dropCopy(c)
				return handover{}, false
			}
			return h, false
		case platform.TargetUnavailable:
			refused = append(refused, target.ID)
		default:
			return handover{}, false
		}
	}
	return handover{}, true
}

// way is how far a copy between two servers goes.
func (s *Server) way(from, to backend.Server) rescue.Way {
	regions := s.opts.Settings.DataCentres
	switch {
	case from.DataCentre == to.DataCentre:
		return rescue.Local
	case regions[from.DataCentre] == regions[to.DataCentre]:
		return rescue.Near
	}
	return rescue.Far
}

// target asks the core for a server that can take a stream.
func (s *Server) target(st *stream, refused []string) (backend.Server, bool) {
	a, ok := s.desk.await(st.q.ctx, targetKey(st.q.id), dispatch.WantTarget{ID: st.q.id, Refused: refused})
	t, _ := a.(dispatch.Target)
	return t.Server, ok && t.Found
}

// keepFresh brings a copy up to date until the stream breaks or ends. It
// reports true when the server is still there at the time of the handover.
func (s *Server) keepFresh(st *stream, e *evacuation, h handover) bool {
	for {
		now := time.Now()
		at := e.plan.NextRefresh(now)
		if handover := e.plan.Handover(); at.After(handover) {
			return st.runsUntil(handover)
		}
		if !st.runsUntil(at) {
			return false
		}
		if m := s.callMove(st, e.from, h.to, false); m.Result == platform.Copied && m.Handle != h.memory.Handle {
			h.memory.Handle = m.Handle
			st.keep(&copyOf{target: h.to, memory: h.memory, source: e.from})
		}
	}
}

// lastCopy stops the stream at its server and copies what is new.
func (s *Server) lastCopy(st *stream, e *evacuation, first handover) handover {
	m := s.callMove(st, e.from, first.to, true)
	memory := platform.KVRef{Address: e.from.Address, Handle: m.Handle}
	switch {
	case m.Result == platform.Copied:
		return handover{to: first.to, memory: memory, ok: true}
	case m.Handle != "" && e.plan.MayReturn(time.Now()):
		// The run has stopped and its memory is still at its server.
		return handover{to: e.from, memory: memory, ok: true}
	case m.Result == platform.RunNotFound:
		return handover{}
	}
	// The server may be gone, or takes no request: the first copy is what is left.
	return first
}

// callMove asks a server to copy the memory of a stream.
func (s *Server) callMove(st *stream, from, to backend.Server, last bool) platform.MoveResponse {
	began := time.Now()
	m := platform.MoveResponse{Result: platform.MoveFailed}
	call, err := platform.MoveCall(st.q.ask.Attempt, to.Address, last)
	status := 0
	if err == nil {
		var body []byte
		status, body, err = s.callReplica(st.q.ctx, from, call, copyTimeout)
		if err == nil {
			m = platform.DecodeMoveResponse(status, body)
		}
	}
	phase := "first"
	if last {
		phase = "last"
	}
	s.metrics.moves.WithLabelValues(phase, m.Result.String()).Inc()
	line := s.log.Info().Str("event", "move").Str("request", st.q.ask.Attempt).Str("phase", phase).
		Str("from", from.ID).Str("to", to.ID).Bool("sameDataCentre", from.DataCentre == to.DataCentre).
		Str("result", m.Result.String()).Int("status", status).Int64("created", m.EventCount).
		Int64("tookMs", time.Since(began).Milliseconds())
	if err != nil {
		line = line.Str("reason", err.Error())
	}
	line.Msg("")
	return m
}

// callReplica makes a call to a replica's own interface.
func (s *Server) callReplica(ctx context.Context, x backend.Server, c platform.Call, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := s.pool.Send(ctx, x.Address, &replica.Request{
		Method: c.Method, Target: c.Target, Host: x.Address, Header: c.Header, Body: c.Body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, maxAnswerBytes))
	return a.Status, body, err
}

// dropCopy frees a copy at both ends.
func (s *Server) dropCopy(c *copyOf) {
	status, _, err := s.callReplica(s.ctx, c.source, platform.ReleaseHandleCall(c.memory.Handle), callTimeout)
	if err != nil || status >= http.StatusMultipleChoices {
		s.log.Info().Str("event", "copyNotDropped").Str("server", c.source.ID).Int("status", status).Msg("")
	}
}
