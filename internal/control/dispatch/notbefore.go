package dispatch

import "time"

// Load pattern of this file: a server that has too much work refuses requests and says for
// how long it wants none. If all requests came back at that moment it would refuse them
// again.

const (
	// rampTime is how long a server gets work back gradually, one more request of this VM
	// for each rampStep.
	rampTime = 2 * time.Second
	rampStep = 50 * time.Millisecond
	// returnSpread is the range over which the callers of refused requests come back.
	returnSpread = 500 * time.Millisecond
)

// rampedUp reports whether a server that wants requests again has as many of this VM as it
// gets at this time.
func (s *server) rampedUp(now time.Time) bool {
	since := now.Sub(s.notBefore)
	return since < rampTime && len(s.requests) > int(since/rampStep)
}

// spread returns a delay below returnSpread that differs between requests.
func spread(id uint64) time.Duration {
	const multiplier = 0x9e3779b97f4a7c15 // distributes consecutive IDs evenly
	return time.Duration((id * multiplier) >> 11 % uint64(returnSpread))
}
