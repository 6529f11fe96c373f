package caller

import (
	"strconv"
	"strings"

	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// headerLastEventID carries the resume token and the position in the stream.
const headerLastEventID = "Last-Event-Id"

// resume continues a generation for a caller that reconnects. Requests without a
// Last-Event-ID pass to the next filter.
type resume struct{ s *Server }

func (f resume) apply(req *request) (outcome.Result, bool) {
	id := req.r.Header.Get(headerLastEventID)
	if id == "" {
		return outcome.Result{}, true
	}
	t, index, ok := f.s.parsePosition(id)
	if !ok {
		return outcome.Refuse(outcome.BadRequest, "Last-Event-ID is not one that this system sent"), false
	}
	if t.Workspace != req.workspace.Name {
		return outcome.Refuse(outcome.Forbidden, "the stream belongs to another workspace"), false
	}
	return f.s.resumeStream(req, t, index), false
}

// refuseMissingPosition refuses a resume request without a Last-Event-ID.
type refuseMissingPosition struct{}

func (refuseMissingPosition) apply(*request) (outcome.Result, bool) {
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
	t, ok := s.resumeTokens.Verify(id[:dot])
	return t, index, ok && index <= t.MaxTokens
}

func (s *Server) resumeStream(req *request, token ResumeToken, index int) outcome.Result {
	if req.timeline != nil {
		s.opts.Incidents.Drop(req.id)
	}
	req.id = token.Request
	req.w.Header().Set("X-Request-Id", req.id)
	req.service = req.state.Services[token.Service]
	req.service.Name = token.Service
	req.model.stream = true
	req.timeline = s.opts.Incidents.Start(req.id, token.Workspace, token.Service)
	req.timeline.SetRevision(token.Revision)
	backend, found := s.opts.Broker.Backend(token.Engine)
	if !found {
		return outcome.Result{Kind: outcome.Interrupted, Cause: outcome.EngineLost, Detail: "engine " + token.Engine}
	}
	if token.VM == s.opts.VM {
		s.disconnected.takeOver(token.Generation)
	} else {
		s.opts.Broker.ReportTakeover(token.VM, token.Request, token.Generation)
	}
	out := newStreamSink(req, token.Chat)
	token.VM = s.opts.VM
	r := s.relayAt(req, out, backend, token, index)
	// Tokens before index were delivered, so no other generation may replace this one.
	out.delivered, r.mayHaveRun = true, true
	stream, _ := r.resume(0)
	if stream == nil {
		return r.failureOutcome(outcome.EngineLost)
	}
	req.timeline.Add(wire.Event{Kind: incident.EventResumed, Engine: backend.Name, Value: index})
	if s.relayDetached(req, stream, func() outcome.Result {
		out.open()
		return r.run(stream)
	}) {
		return outcome.Result{}
	}
	out.open()
	return failStream(req, out, r.run(stream))
}
