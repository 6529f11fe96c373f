package caller

import (
	"strconv"
	"strings"

	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// headerLastEvent carries the position of a caller that reconnects.
const headerLastEvent = "Last-Event-Id"

// resume goes on with the same generation for a caller that reconnects, and
// hands on requests without a position.
type resume struct{ s *Server }

func (f resume) pass(c *call) (outcome.Outcome, bool) {
	id := c.r.Header.Get(headerLastEvent)
	if id == "" {
		return outcome.Outcome{}, true
	}
	t, index, ok := f.s.parsePosition(id)
	if !ok {
		return outcome.Refuse(outcome.BadRequest, "Last-Event-ID is not one that this system sent"), false
	}
	if t.Workspace != c.workspace.Name {
		return outcome.Refuse(outcome.Forbidden, "the stream belongs to another workspace"), false
	}
	return f.s.resume(c, t, index), false
}

// resumeMissing answers a resume without a position.
type resumeMissing struct{}

func (resumeMissing) pass(*call) (outcome.Outcome, bool) {
	return outcome.Refuse(outcome.BadRequest, "send the header Last-Event-ID"), false
}

func (s *Server) parsePosition(id string) (ResumeToken, int, bool) {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return ResumeToken{}, 0, false
	}
	index, err := strconv.Atoi(id[dot+1:])
	if err != nil || index < 0 {
		return ResumeToken{}, 0, false
	}
	t, ok := s.tokens.Open(id[:dot])
	return t, index, ok && index <= t.MaxTokens
}

func (s *Server) resume(c *call, t ResumeToken, index int) outcome.Outcome {
	if c.timeline != nil {
		s.opts.Incidents.Drop(c.id)
	}
	c.id = t.Request
	c.w.Header().Set("X-Request-Id", c.id)
	c.service = c.state.Services[t.Service]
	c.service.Name = t.Service
	c.model.stream = true
	c.timeline = s.opts.Incidents.Start(c.id, t.Workspace, t.Service)
	c.timeline.SetRevision(t.Revision)
	b, found := s.opts.Broker.Backend(t.Engine)
	if !found {
		return outcome.Outcome{Kind: outcome.Interrupted, Cause: outcome.EngineLost, Detail: "engine " + t.Engine}
	}
	if t.VM == s.opts.VM {
		s.parked.take(t.Generation)
	} else {
		s.opts.Broker.Taken(t.VM, t.Request, t.Generation)
	}
	out := newStreamSink(c, t.Chat)
	t.VM = s.opts.VM
	r := s.relayAt(c, out, b, t, index)
	// Tokens before index were delivered, so the answer is bound to its generation.
	out.delivered, r.ran = true, true
	stream, _ := r.resume(0)
	if stream == nil {
		return r.failed(outcome.EngineLost)
	}
	c.timeline.Add(wire.Event{Kind: incident.EventResumed, Engine: b.Name, Value: index})
	if s.goOn(c, stream, func() outcome.Outcome {
		out.open()
		return r.run(stream)
	}) {
		return outcome.Outcome{}
	}
	out.open()
	return failStream(c, out, r.run(stream))
}
