package dispatch

import (
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Load pattern of this file: a large part of the servers may get nothing, as their data centre is
// evacuated, they are cold or in a region in which a request may not be served. Requests that the
// others cannot take are refused, with retry delays that differ.

const (
	// noServerRetryDelay is the advised retry delay when a service has no server.
	noServerRetryDelay = time.Second
	// noHomeRetryDelay is the advised retry delay when the configuration leaves no region.
	noHomeRetryDelay = 10 * time.Second
	// evacuatedRetryDelay is the advised retry delay when all servers are evacuated.
	evacuatedRetryDelay = 3 * time.Second
)

// obstacle is why a server may not get a request.
type obstacle int

const (
	none obstacle = iota
	leaving
	notHome
	evacuatedHere
	wantsNone
	warmingUp
)

// obstacle returns the first reason for which a server may not get a request now.
func (c *Core) obstacle(now time.Time, s *server, homes routing.Homes) obstacle {
	switch {
	case s.Leaving:
		return leaving
	case !homes.Allow(s.region):
		return notHome
	case c.evacuated[s.DataCentre]:
		return evacuatedHere
	case now.Before(s.notBefore):
		return wantsNone
	case c.warmingUp(now, s):
		return warmingUp
	}
	return none
}

// refuseWithoutServer refuses a request for which there is no server. The cause is the obstacle
// that will end first.
func (c *Core) refuseWithoutServer(now time.Time, msg PlaceRequest) Refused {
	refused := Refused{ID: msg.ID, Cause: outcome.NoReplica, RetryAt: now.Add(noServerRetryDelay)}
	var found [warmingUp + 1]bool
	var wanted, warm time.Time
	for _, s := range c.servers {
		if s.Service != msg.Service {
			continue
		}
		reason := c.obstacle(now, s, msg.Homes)
		found[reason] = true
		switch reason {
		case wantsNone:
			wanted = earlier(wanted, s.notBefore)
		case warmingUp:
			warm = earlier(warm, s.warmUp.freeAt(now, s))
		}
	}
	switch {
	case found[warmingUp] && (wanted.IsZero() || warm.Before(wanted)):
		refused.Cause, refused.Detail, refused.RetryAt = outcome.ColdServers, "the servers are cold", warm.Add(spread(msg.ID))
	case found[wantsNone]:
		refused.Detail, refused.RetryAt = "all servers want no requests", wanted.Add(spread(msg.ID))
	case msg.Homes.Restricted && len(msg.Homes.Regions) == 0:
		refused.Cause, refused.Detail, refused.RetryAt = outcome.NoHome, "route and workspace have no common home region", now.Add(noHomeRetryDelay+spread(msg.ID))
	case found[evacuatedHere]:
		refused.Cause, refused.RetryAt = outcome.Evacuated, now.Add(evacuatedRetryDelay+spread(msg.ID))
	case found[notHome]:
		refused.Cause, refused.Detail = outcome.NoHome, "home regions "+strings.Join(msg.Homes.Regions, ",")
		refused.RetryAt = now.Add(noServerRetryDelay + spread(msg.ID))
	}
	return refused
}

// earlier returns the earlier of two times; at is zero if there is none yet.
func earlier(at, other time.Time) time.Time {
	if at.IsZero() || other.Before(at) {
		return other
	}
	return at
}
