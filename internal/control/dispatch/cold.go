package dispatch

import "time"

// Load pattern of this file: servers come back cold, a whole data centre of them at once. They
// look idle, so that all VMs would send their next requests to them, and crash if they get many
// times what they bear.
//
// The requests that a cold server bears in a second are divided among the VMs by rendezvous
// hashing over the names of all VMs that have ever been known. Each VM computes its share alone,
// keeps it when it is cut off from the others, and sends nothing more when it is used up. The
// share of a VM that has ended lies idle. A VM counts itself out until it has read the names. A
// VM that lacks the names of m others takes at most the share of m that come before it, so that m
// new VMs add at most m requests in a second.

const (
	// warmUpWindow is the time in which a VM sends at most its share. It is longer than the
	// second in which a server counts, as requests take different times to arrive.
	warmUpWindow = 1100 * time.Millisecond
	// minReturnColdTime is how long a server that could not be reached counts as cold when it is
	// reached again, if its service says no other time.
	minReturnColdTime = time.Second
)

// warmUp bounds the requests of this VM to one server.
type warmUp struct {
	// coldUntil is when this VM expects the server to have warmed up. The server's own entry has
	// another such time.
	coldUntil time.Time
	// sentAt are the times of the requests within warmUpWindow.
	sentAt []time.Time
}

// sent records that a request is sent.
func (w *warmUp) sent(now time.Time) {
	w.forget(now)
	w.sentAt = append(w.sentAt, now)
}

func (w *warmUp) forget(now time.Time) {
	old := 0
	for old < len(w.sentAt) && now.Sub(w.sentAt[old]) >= warmUpWindow {
		old++
	}
	w.sentAt = w.sentAt[old:]
}

// freeAt returns the time at which a VM may next send to a server that is warming up.
func (w *warmUp) freeAt(now time.Time, s *server) time.Time {
	at := s.ColdUntil
	if w.coldUntil.After(at) {
		at = w.coldUntil
	}
	if len(w.sentAt) > 0 {
		if free := w.sentAt[0].Add(warmUpWindow); free.Before(at) {
			at = free
		}
	}
	if !at.After(now) {
		at = now.Add(minReturnColdTime)
	}
	return at
}

// isCold reports whether a server has not warmed up.
func (s *server) isCold(now time.Time) bool {
	return now.Before(s.ColdUntil) || now.Before(s.warmUp.coldUntil)
}

// warmingUp reports whether a server is, or may be, cold and has got this VM's share.
func (c *Core) warmingUp(now time.Time, s *server) bool {
	rate := c.services[s.Service].ColdRequestsPerSecond
	if !c.opts.BoundsCold || rate <= 0 || !s.isCold(now) {
		return false
	}
	s.warmUp.forget(now)
	return len(s.warmUp.sentAt) >= c.warmUpShare(s, int(rate))
}

// warmUpShare returns how many of the requests that a server bears this VM may send.
func (c *Core) warmUpShare(s *server, requests int) int {
	vms := c.fleet.Len()
	if vms == 0 {
		return 0
	}
	share := requests / vms
	if c.fleet.Rank("warm-up/"+s.Instance().String(), c.opts.VM) < requests%vms {
		share++
	}
	return share
}

// becomesCold records that a server may be cold for the time that its service says from at on.
func (c *Core) becomesCold(at time.Time, s *server) {
	if c.opts.BoundsCold {
		s.warmUp.coldUntil = at.Add(max(minReturnColdTime, c.services[s.Service].ColdTime))
	}
}

// serverReached records that a server responded. One that could not be reached before may have
// started again since.
func (c *Core) serverReached(now time.Time, s *server) {
	if s.connectFailures > 0 {
		c.becomesCold(now, s)
	}
	s.connectFailures = 0
}

// sentTo counts a request that is sent to a server.
func (c *Core) sentTo(now time.Time, s *server) {
	if c.opts.BoundsCold {
		s.warmUp.sent(now)
	}
}
