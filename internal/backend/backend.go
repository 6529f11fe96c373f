// Package backend describes the backend servers that replicas announce.
package backend

import (
	"strconv"
	"time"
)

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

// Instance identifies one instance of a replica. It is comparable.
type Instance struct {
	// ID and Address are those of the Server.
	ID, Address string
	// StartedUnixMs is the time of its start in Unix milliseconds; 0 when unknown.
	StartedUnixMs int64
}

// Instance returns the identity of the instance that s describes.
func (s Server) Instance() Instance {
	i := Instance{ID: s.ID, Address: s.Address}
	if !s.StartedAt.IsZero() {
		i.StartedUnixMs = s.StartedAt.UnixMilli()
	}
	return i
}

// String returns a text that identifies the instance: its ID and the time of its start or,
// when that is unknown, its address.
func (i Instance) String() string {
	if i.StartedUnixMs == 0 {
		return i.ID + "@" + i.Address
	}
	return i.ID + "@" + strconv.FormatInt(i.StartedUnixMs, 10)
}

// StartedAs reports whether a process that started at a time is the instance that s describes.
// It is not known to be if one of the times is unknown.
func (s Server) StartedAs(at time.Time) bool {
	return !s.StartedAt.IsZero() && !at.IsZero() && s.StartedAt.UnixMilli() == at.UnixMilli()
}

// SameInstance reports whether s and other describe the same instance of a replica.
func (s Server) SameInstance(other Server) bool { return s.Instance() == other.Instance() }

// Load is the load that a replica reports with a response.
type Load struct {
	// Running and Waiting count requests. Slots is how many run at once.
	Running, Waiting, Slots int
	// PacePercent is how long work takes at present, 100 if as usual.
	PacePercent int
}
