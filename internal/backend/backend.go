// Package backend describes the backend servers that replicas announce.
package backend

import "time"

// Server is one instance of a replica as announced. Each start of a replica is a new
// instance.
type Server struct {
	// ID identifies the replica. A replica may restart under the same ID.
	ID string
	// StartedAt is zero when unknown.
	StartedAt time.Time
	// Service is the name of the service that it belongs to.
	Service string
	// Address is its IP address and port. Another replica may reuse it later.
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at once, at least 1.
	Slots int
	// Leaving is set when it will stop soon and must get no new requests.
	Leaving bool
	// ColdUntil is when it will have warmed up; until then it is slow.
	ColdUntil time.Time
}

// SameInstance reports whether s and other describe the same instance of a replica.
func (s Server) SameInstance(other Server) bool {
	return s.ID == other.ID && s.Address == other.Address && s.StartedAt.Equal(other.StartedAt)
}

// Load is the load that a replica reports with a response.
type Load struct {
	// Running and Waiting count requests. Slots is how many run at once.
	Running, Waiting, Slots int
}
