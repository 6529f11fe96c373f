// Package stopping decides which requests a stopping VM still accepts. It does no I/O.
//
// Load pattern: a VM is stopped while callers hold open connections to it, on which
// requests go on arriving after the load balancer has removed the VM, and while engines
// are full, so that a stream takes several times as long as on an idle engine. What the VM
// accepts and cannot finish is lost, as the process ends; what it refuses at once gets a
// whole response from another VM.
package stopping

import "time"

// Schedule is the schedule of a planned stop.
type Schedule struct {
	// BalancerRemovesAt is the time from which on the load balancer sends no new
	// connections.
	BalancerRemovesAt time.Time
	// EndsAt is when open requests are cut off. It is after BalancerRemovesAt.
	EndsAt time.Time
}

// Accepts reports whether to accept a request that ends at its deadline at the latest and
// is expected to take the given time. Once the load balancer has removed the VM, only
// requests that end in time for certain are accepted: their callers can reach another VM.
func (s Schedule) Accepts(now, deadline time.Time, expected time.Duration) bool {
	if !deadline.After(s.EndsAt) {
		return true
	}
	return now.Before(s.BalancerRemovesAt) && !now.Add(expected).After(s.EndsAt)
}
