package ingress

import (
	"context"

	"github.com/rotisserie/eris"
)

// errQuarantined is the cause with which a request is cancelled whose prompt holds a segment
// that has been quarantined.
var errQuarantined = eris.New("prompt segment quarantined")

// allowCancel lets the dispatch core cancel a request with a prompt until the returned
// function is called.
func (s *Server) allowCancel(req *request, cancel context.CancelCauseFunc) (end func()) {
	if len(req.segments) == 0 {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[req.id] = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, req.id)
	}
}

// cancelRequest cancels a request, which closes its connection to its server.
func (s *Server) cancelRequest(id uint64) {
	s.mu.Lock()
	cancel := s.cancels[id]
	s.mu.Unlock()
	if cancel != nil {
		cancel(errQuarantined)
	}
}

// quarantined reports whether the request was cancelled because of its prompt.
func (req *request) quarantined() bool { return eris.Is(context.Cause(req.ctx), errQuarantined) }
