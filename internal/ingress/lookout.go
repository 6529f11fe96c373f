package ingress

import (
	"net/http"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/platform"
)

// lookoutEvery is how often servers are asked for their state while the store
// cannot tell it; they stay for 1.5 s after their notice, and their word is half
// a second old.
const lookoutEvery = 150 * time.Millisecond

// lookout asks the servers of this VM's streams whether they leave, as long as
// the list of servers cannot be read.
func (s *Server) lookout() {
	for pause.For(s.ctx, lookoutEvery) {
		if !s.catalog.ServersLost() {
			continue
		}
		for _, x := range s.streamServers() {
			s.spawn(func() { s.askState(x) })
		}
	}
}

// streamServers returns the servers on which this VM has streams and which are
// not known to leave.
func (s *Server) streamServers() []backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	on := map[string]backend.Server{}
	for _, st := range s.streams {
		x := st.server()
		if _, leaves := s.evacuations[evacuationKey(x)]; !leaves {
			on[x.ID] = x
		}
	}
	out := make([]backend.Server, 0, len(on))
	for _, x := range on {
		out = append(out, x)
	}
	return out
}

// askState asks one server for its state.
func (s *Server) askState(x backend.Server) {
	asked := time.Now()
	status, body, err := s.callReplica(s.ctx, x, platform.ReportCall(), callTimeout)
	if err != nil || status != http.StatusOK {
		return
	}
	r, err := platform.DecodeReport(body)
	if err != nil || !r.Draining {
		return
	}
	s.log.Info().Str("event", "server").Str("server", x.ID).Str("service", x.Service).Str("address", x.Address).
		Str("dataCentre", x.DataCentre).Str("belief", "leaving").Str("source", "report").
		Int64("leavesMs", r.StopsIn.Milliseconds()).Int64("tookMs", time.Since(asked).Milliseconds()).Msg("")
	s.desk.tell(dispatch.Suspect{Server: x.ID})
}
