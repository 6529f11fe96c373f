package ingress

import (
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/platform"
)

// serverPollInterval is the interval at which servers are polled while the server list
// cannot be read. It has to be short: a server may run for only 1.5 s after its
// shutdown notice, and its report is half a second old.
const serverPollInterval = 150 * time.Millisecond

// pollWhileUnavailable polls the servers that run this VM's streams until the server list
// can be read again, to find out whether they are leaving.
func (s *Server) pollWhileUnavailable() {
	for sleep.For(s.ctx, serverPollInterval) && s.catalog.ServersUnavailable() {
		for _, server := range s.streamServers() {
			s.spawn(func() { s.pollServer(server) })
		}
	}
}

// streamServers returns the servers that run streams of this VM and are not known to be
// leaving.
func (s *Server) streamServers() []backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := map[string]backend.Server{}
	for _, st := range s.streams {
		server := st.currentServer()
		if _, leaving := s.drains[server.Instance()]; !leaving {
			byID[server.ID] = server
		}
	}
	out := make([]backend.Server, 0, len(byID))
	for _, server := range byID {
		out = append(out, server)
	}
	return out
}

// pollServer requests the report of one server and notifies the dispatch core if it is
// leaving.
func (s *Server) pollServer(server backend.Server) {
	began := time.Now()
	status, body, err := s.callReplica(s.ctx, server, platform.ReportCall(), callTimeout, s.pool.Send)
	if err != nil || status != http.StatusOK {
		return
	}
	report, err := platform.DecodeReport(body)
	if err != nil || !report.Leaving {
		return
	}
	s.log.Info().Str("event", "server").Str("server", server.ID).Str("service", server.Service).Str("address", server.Address).
		Str("dataCentre", server.DataCentre).Str("belief", "leaving").Str("source", "report").
		Int64("leavesMs", report.StopsIn.Milliseconds()).Int64("tookMs", time.Since(began).Milliseconds()).Msg("")
	s.loop.post(dispatch.ServerLeaving{Server: server.Instance()})
}
