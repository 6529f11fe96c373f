package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// handoverAfter is when streams stop at a server that leaves, from its
	// notice on; replicas stay for 1.5 s and more.
	handoverAfter = 1000 * time.Millisecond
	// copyTimeout bounds one copy.
	copyTimeout = 3 * time.Second
	callTimeout = time.Second
	// copiesAtOnce is how many streams of one server are copied at once.
	copiesAtOnce = 2
	// maxTargets bounds the servers that are tried for one copy.
	maxTargets = 3
)

// rescue starts to move streams away from a server that leaves. It is called
// by the desk and does not block.
func (s *Server) rescue(a dispatch.Rescue) {
	noticed := time.Now()
	s.log.Info().Str("event", "serverLeaves").Str("server", a.Server.ID).Str("dataCentre", a.Server.DataCentre).
		Int("streams", len(a.Runs)).Msg("")
	if len(a.Runs) == 0 {
		return
	}
	slots := make(chan struct{}, copiesAtOnce)
	s.spawn(func() {
		for _, r := range a.Runs {
			slots <- struct{}{}
			s.mu.Lock()
			st := s.streams[r.ID]
			s.mu.Unlock()
			if st == nil {
				<-slots
				continue
			}
			s.spawn(func() { s.move(st, a.Server, noticed, func() { <-slots }) })
		}
	})
}

// move copies the memory of a stream while it runs, and then hands it over.
func (s *Server) move(st *stream, from backend.Server, noticed time.Time, copied func()) {
	if !st.beginMove(from) {
		copied()
		return
	}
	h := s.firstCopy(st, from)
	copied()
	if h.ok {
		pause.Until(st.q.ctx, noticed.Add(handoverAfter))
		h = s.lastCopy(st, from, h)
	}
	st.mu.Lock()
	ended := st.ended
	st.mu.Unlock()
	if ended {
		// The stream ended by itself: its copy only takes room.
		if h.ok {
			s.dropCopy(&copyOf{target: h.to, memory: h.memory, source: from})
		}
		return
	}
	st.moved <- h
	if !h.ok {
		st.mu.Lock()
		st.moving = false
		st.mu.Unlock()
		s.desk.tell(dispatch.DropTarget{ID: st.q.id})
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
func (s *Server) firstCopy(st *stream, from backend.Server) handover {
	var refused []string
	for range maxTargets {
		a, ok := s.desk.await(st.q.ctx, targetKey(st.q.id), dispatch.WantTarget{ID: st.q.id, Refused: refused})
		target, _ := a.(dispatch.Target)
		if !ok || !target.Found {
			return handover{}
		}
		m := s.callMove(st, from, target.Server, false)
		switch m.Result {
		case platform.Copied:
			h := handover{to: target.Server, memory: platform.Memory{Address: from.Address, Handle: m.Handle}, ok: true}
			st.mu.Lock()
			st.copied = &copyOf{target: h.to, memory: h.memory, source: from}
			st.mu.Unlock()
			return h
		case platform.NoRoom:
			refused = append(refused, target.Server.ID)
		default:
			return handover{}
		}
	}
	return handover{}
}

// lastCopy stops the stream at its server and copies what is new.
func (s *Server) lastCopy(st *stream, from backend.Server, first handover) handover {
	m := s.callMove(st, from, first.to, true)
	switch {
	case m.Result == platform.Copied:
		return handover{to: first.to, memory: platform.Memory{Address: from.Address, Handle: m.Handle}, ok: true}
	case m.Handle != "":
		// The run has stopped and its memory is still at its server.
		return handover{to: from, memory: platform.Memory{Address: from.Address, Handle: m.Handle}, ok: true}
	case m.Result == platform.NoRun:
		return handover{}
	}
	// The server may be gone: the first copy is what is left.
	return first
}

// callMove asks a server to copy the memory of a stream.
func (s *Server) callMove(st *stream, from, to backend.Server, last bool) platform.Move {
	began := time.Now()
	m := platform.Move{Result: platform.MoveFailed}
	call, err := platform.MoveCall(st.q.ask.Attempt, to.Address, last)
	status := 0
	if err == nil {
		var body []byte
		status, body, err = s.callReplica(st.q.ctx, from, call, copyTimeout)
		if err == nil {
			m = platform.ReadMove(status, body)
		}
	}
	phase := "first"
	if last {
		phase = "last"
	}
	s.metrics.moves.WithLabelValues(phase, m.Result.String()).Inc()
	line := s.log.Info().Str("event", "move").Str("request", st.q.ask.Attempt).Str("phase", phase).
		Str("from", from.ID).Str("to", to.ID).Bool("sameDataCentre", from.DataCentre == to.DataCentre).
		Str("result", m.Result.String()).Int("status", status).Int64("created", m.Created).
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
	status, _, err := s.callReplica(s.ctx, c.source, platform.DropCall(c.memory.Handle), callTimeout)
	if err != nil || status >= http.StatusMultipleChoices {
		s.log.Info().Str("event", "copyNotDropped").Str("server", c.source.ID).Int("status", status).Msg("")
	}
}
