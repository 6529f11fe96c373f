// Package backend describes the backend servers that replicas announce.
package backend

import "time"

// Server is one replica as announced, at one start of it.
type Server struct {
	// ID names the replica. It may start again under the same ID.
	ID string
	// StartedAt is the time of its start; zero when unknown.
	StartedAt time.Time
	// Service is the service that it serves.
	Service string
	// Address is its IP and port. It may be used again by another replica.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Slots is how many requests it runs at once, at least 1.
	Slots int
	// Leaving servers take no new work.
	Leaving bool
	// ColdUntil is when it is no longer slow after its start.
	ColdUntil time.Time
}

// SameInstance reports whether two descriptions are of the same start of a replica.
func (s Server) SameInstance(o Server) bool {
	return s.ID == o.ID && s.Address == o.Address && s.StartedAt.Equal(o.StartedAt)
}

// Load is what a replica says of itself with an answer.
type Load struct {
	// Running and Waiting count requests; Slots is how many may run at once.
	Running, Waiting, Slots int
}
