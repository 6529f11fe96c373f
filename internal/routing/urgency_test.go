package routing_test

import (
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// TestLessUrgentYieldsOnlyIfItHasMoreTime compares routes of one service.
func TestLessUrgentYieldsOnlyIfItHasMoreTime(t *testing.T) {
	route := func(service string, priority int, target time.Duration) routing.Route {
		return routing.Route{Priority: priority, LatencyTarget: target, Shares: []routing.Share{{Service: service}}}
	}
	state := (&routing.State{Routes: []routing.Route{
		route("patient", 0, 1500*time.Millisecond), route("patient", 2, 4*time.Second),
		route("hasty", 0, 1800*time.Millisecond), route("hasty", 2, 1500*time.Millisecond),
		route("alone", 1, time.Second),
	}}).Index()
	for service, want := range map[string]struct{ competes, yields bool }{
		"patient": {true, true}, "hasty": {true, false}, "alone": {false, false},
	} {
		least := route(service, 2, map[string]time.Duration{"patient": 4 * time.Second, "hasty": 1500 * time.Millisecond, "alone": time.Second}[service])
		if got := state.Competes(service); got != want.competes {
			t.Errorf("%s competes: %v", service, got)
		}
		if service != "alone" && state.Yields(service, least) != want.yields {
			t.Errorf("%s yields: %v", service, !want.yields)
		}
	}
}
