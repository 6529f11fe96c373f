package ingress

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
)

// serverCheckDelay is the time from a lost connection to the check of its server. A
// process that ends may close its connections shortly before its listener.
const serverCheckDelay = 20 * time.Millisecond

// closedByServer reports whether err, of an exchange with the context ctx, means that the
// server closed the connection before its response was complete.
func closedByServer(ctx context.Context, err error) bool {
	return ctx.Err() == nil && (eris.Is(err, replica.ErrNoResponse) || eris.Is(err, replica.ErrTruncated) || eris.Is(err, io.ErrUnexpectedEOF))
}

// checkServer finds out whether a server is still running that closed the connection of a
// request. At most one check of a server runs at a time.
func (s *Server) checkServer(req *request, server backend.Server) {
	instance := server.Instance()
	s.mu.Lock()
	checking := s.checks[instance]
	s.checks[instance] = true
	s.mu.Unlock()
	if checking {
		return
	}
	s.spawn(func() {
		defer func() {
			s.mu.Lock()
			delete(s.checks, instance)
			s.mu.Unlock()
		}()
		if !sleep.For(s.ctx, serverCheckDelay) {
			return
		}
		state, reason := "up", ""
		if err := s.pool.Check(s.ctx, instance); err != nil {
			reason = eris.ToString(err, false)
			// A server that takes no new connections may continue on those that are open.
			if s.pool.OpenInUse(server.Instance()) == 0 {
				state = "down"
			}
		}
		if s.ctx.Err() != nil {
			return
		}
		s.metrics.serverChecks.WithLabelValues(state).Inc()
		s.log.Info().Str("event", "serverCheck").Str("server", server.ID).Str("request", req.params.AttemptID).
			Str("state", state).Str("reason", reason).Msg("")
		s.loop.post(dispatch.ServerChecked{Server: server, Running: state == "up"})
	})
}

// segmentNames returns the segments of the request's prompt that other requests may
// share, for log lines.
func (req *request) segmentNames() string { return strings.Join(req.segments, ",") }
