package ingress

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// homesOf returns the regions in which a request may be served. The newest configuration decides,
// also for a request that arrived before it.
func (s *Server) homesOf(req *request) routing.Homes {
	state := s.catalog.State()
	if state == nil || state == req.state {
		return routing.HomesOf(req.route, req.workspace)
	}
	return state.CurrentHomes(req.route, req.workspace)
}

// isHome reports whether a request may be served by a server.
func (s *Server) isHome(req *request, server backend.Server) bool {
	return s.homesOf(req).Allow(s.opts.Settings.DataCentres[server.DataCentre])
}

// callPlace asks the dispatch core for a server. While the request waits there, each new configuration
// sets its homes anew.
func (s *Server) callPlace(req *request, place dispatch.PlaceRequest) (dispatch.Action, bool) {
	if !place.AbandonAt.IsZero() {
		defer s.followHomes(req)()
	}
	for {
		place.Homes = s.homesOf(req)
		action, ok := s.loop.call(req.ctx, req.id, place)
		placed, isPlaced := action.(dispatch.Placed)
		if !ok || !isPlaced || s.isHome(req, placed.Server) {
			return action, ok
		}
		// The configuration changed between the reading of the homes and the placement.
		s.loop.post(dispatch.RequestEnded{ID: req.id, Verdict: dispatch.Cancelled})
	}
}

// followHomes lets updateHomes set the homes of a request until the returned function is called.
func (s *Server) followHomes(req *request) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[req.id] = req
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, req.id)
	}
}

// updateHomes sets the homes of requests that wait for an engine to those of the newest configuration.
func (s *Server) updateHomes() {
	s.mu.Lock()
	homes := make(map[uint64]routing.Homes, len(s.waiting))
	for id, req := range s.waiting {
		homes[id] = s.homesOf(req)
	}
	s.mu.Unlock()
	if len(homes) > 0 {
		s.loop.post(dispatch.HomesChanged{Homes: homes})
	}
}

// applyEvacuations applies a new set of evacuated data centres.
func (s *Server) applyEvacuations(dataCentres map[string]bool) {
	s.mu.Lock()
	before, now := s.evacuated, time.Now()
	s.evacuated = map[string]time.Time{}
	for name := range dataCentres {
		since, ok := before[name]
		if !ok {
			since = now
		}
		s.evacuated[name] = since
	}
	for instance, drain := range s.drains {
		if drain.evacuation && !dataCentres[drain.from.DataCentre] {
			delete(s.drains, instance)
		}
	}
	s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(dataCentres)) {
		if _, known := before[name]; known {
			continue
		}
		if _, known := s.opts.Settings.DataCentres[name]; !known {
			s.log.Warn().Str("event", "evacuationUnknown").Str("dataCentre", name).Msg("")
			continue
		}
		s.log.Info().Str("event", "evacuation").Str("dataCentre", name).Str("state", "begun").Msg("")
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !dataCentres[name] {
			s.log.Info().Str("event", "evacuation").Str("dataCentre", name).Str("state", "ended").Msg("")
		}
	}
	s.metrics.evacuated.Set(float64(len(dataCentres)))
	s.loop.post(dispatch.EvacuationsChanged{DataCentres: dataCentres})
}
