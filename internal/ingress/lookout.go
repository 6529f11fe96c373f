package ingress

import (
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/platform"
)

// serverPollInterval is how often servers are asked for their state while the store
// cannot tell it; they stay for 1.5 s after their notice, and their word is half
// a second old.
const serverPollInterval = 150 * time.Millisecond

// pollLoop asks the servers of this VM's streams whether they leave, as long as
// the list of servers cannot be read.
func (s *Server) pollLoop() {
	for pause.For(s.ctx, serverPollInterval) {
		if !s.catalog.ServersUnavailable() {
			continue
		}
		for _, server := range s.streamServers() {
			s.spawn(func() { s.pollServer(server) })
		}
	}
}

// streamServers returns the servers on which this VM has streams and which are
// not known to leave.
func (s *Server) streamServers() []backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := map[string]backend.Server{}
	for _, st := range s.streams {
		server := st.currentServer()
		if _, leaves := s.drains[drainKey(server)]; !leaves {
			byID[server.ID] = server
		}
	}
	out := make([]backend.Server, 0, len(byID))
	for _, server := range byID {
		out = append(out, server)
	}
	return out
}

// pollServer asks one server for its state.
func (s *Server) pollServer(server backend.Server) {
	began := time.Now()
	status, body, err := s.callReplica(s.ctx, server, platform.ReportCall(), callTimeout)
	if err != nil || status != http.StatusOK {
		return
	}
	report, err := platform.ReadReport(body)
	if err != nil || !report.Leaving {
		return
	}
	s.log.Info().Str("event", "server").Str("server", server.ID).Str("service", server.Service).Str("address", server.Address).
		Str("dataCentre", server.DataCentre).Str("belief", "leaving").Str("source", "report").
		Int64("leavesMs", report.LeavesIn.Milliseconds()).Int64("tookMs", time.Since(began).Milliseconds()).Msg("")
	s.loop.post(dispatch.Suspect{Server: server.ID})
}
