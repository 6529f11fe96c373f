package ingress

import (
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/migration"
	"github.com/pimentohinge/pimentohinge/internal/replica"
)

// minNotBeforeChange is the least change of the time that is logged: a server that refuses
// several requests names about the same time in each.
const minNotBeforeChange = time.Second

// noteResponse passes on what a server says of itself in a response to any request: that
// it leaves, or that it wants no requests for a while. A response of another server at the
// same address, as one with status 421, says nothing of this one.
func (s *Server) noteResponse(server backend.Server, resp *replica.Response) {
	if resp.Status == http.StatusMisdirectedRequest {
		return
	}
	instance := server.Instance()
	if resp.Parsed.Leaving && s.markLeaving(instance) {
		s.metrics.notices.WithLabelValues("leaving").Inc()
		s.log.Info().Str("event", "server").Str("server", server.ID).Str("service", server.Service).Str("address", server.Address).
			Str("dataCentre", server.DataCentre).Str("belief", "leaving").Str("source", "response").Msg("")
		s.loop.post(dispatch.ServerLeaving{Server: instance})
	}
	refused := resp.Parsed.NotExecuted && (resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests)
	if !refused || resp.Parsed.RetryAfter <= 0 {
		return
	}
	until := time.Now().Add(resp.Parsed.RetryAfter)
	if s.extendNotBefore(instance, until) {
		s.metrics.notices.WithLabelValues("notBefore").Inc()
		s.log.Info().Str("event", "serverNotBefore").Str("server", server.ID).Str("service", server.Service).
			Int64("forMs", time.Until(until).Milliseconds()).Msg("")
	}
	s.loop.post(dispatch.ServerNotBefore{Server: instance, Until: until})
}

// markLeaving records that an instance leaves. It reports false if that was known.
func (s *Server) markLeaving(instance backend.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, draining := s.drains[instance]; draining || s.leaving[instance] {
		return false
	}
	s.leaving[instance] = true
	return true
}

// extendNotBefore records until when a server wants no requests. It reports whether that is
// much later than what it said before.
func (s *Server) extendNotBefore(instance backend.Instance, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for other, at := range s.notBefore {
		if !now.Before(at) {
			delete(s.notBefore, other)
		}
	}
	known := s.notBefore[instance]
	if until.After(known) {
		s.notBefore[instance] = until
	}
	return until.After(known.Add(minNotBeforeChange))
}

// notBeforeOf returns the time until which a server wants no requests, or the zero time.
func (s *Server) notBeforeOf(server backend.Server) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notBefore[server.Instance()]
}

// isListed reports whether a server is in the server list as the same instance.
func (s *Server) isListed(server backend.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, ok := s.servers[server.ID]
	return ok && listed.SameInstance(server)
}

// isLeaving reports whether a server leaves or is not in the server list any more.
func (s *Server) isLeaving(server backend.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed, ok := s.servers[server.ID]
	_, draining := s.drains[server.Instance()]
	_, evacuated := s.evacuated[server.DataCentre]
	return !ok || !listed.SameInstance(server) || listed.Leaving || draining || s.leaving[server.Instance()] || evacuated
}

// mayReceive reports whether a stream may be sent to a server: it does not leave, or its
// notice was received so recently that it still may.
func (s *Server) mayReceive(server backend.Server, now time.Time) bool {
	if !s.isLeaving(server) {
		return true
	}
	drain, ok := s.existingDrain(server)
	return ok && now.Before(s.inPlaceUntil(drain))
}

// inPlaceUntil returns the time until which a stopped stream may resume on its server. A server
// that leaves while its data centre is evacuated got its first notice with the evacuation.
func (s *Server) inPlaceUntil(drain *serverDrain) time.Time {
	until := drain.plan.InPlaceUntil()
	s.mu.Lock()
	defer s.mu.Unlock()
	if since, ok := s.evacuated[drain.from.DataCentre]; ok {
		if bound := (migration.Plan{NoticeAt: since}).InPlaceUntil(); bound.Before(until) {
			return bound
		}
	}
	return until
}
