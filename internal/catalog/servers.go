package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/platform"
)

// removalGrace is how long after an outage of the store a server whose entry expired
// meanwhile is kept, so that it can register again.
const removalGrace = 2 * time.Second

// Servers is the list of backend servers, merged from listings and changes in the store.
// It does no I/O and is not safe for concurrent use.
type Servers struct {
	known map[string]backend.Server
	// versions holds the store versions at which the known entries last changed.
	versions map[string]int64
	// inGrace holds the servers whose entries are gone, with the end of their grace
	// period.
	inGrace map[string]time.Time
	// graceUntil is the end of the grace period after the store's latest outage.
	graceUntil time.Time
}

// NewServers returns an empty list.
func NewServers() *Servers {
	return &Servers{known: map[string]backend.Server{}, versions: map[string]int64{}, inGrace: map[string]time.Time{}}
}

// StoreUnavailable records that a call to the store failed.
func (s *Servers) StoreUnavailable(now time.Time) { s.graceUntil = now.Add(removalGrace) }

// ServerChange is a change of one server.
type ServerChange struct {
	ID     string
	Server backend.Server
	// Removed is set when the server was removed, InGrace when its entry is gone but
	// the server is kept for a grace period, Err when the entry could not be decoded.
	Removed, InGrace bool
	Err              error
	// SameState is set when neither the state nor the service of the server changed and
	// it was not restarted.
	SameState bool
}

// InUse reports whether requests may be sent to the server.
func (c ServerChange) InUse() bool { return !c.Removed && c.Err == nil }

// Apply merges a listing and returns the changes.
func (s *Servers) Apply(now time.Time, listing platform.Listing) []ServerChange {
	var changes []ServerChange
	seen := map[string]bool{}
	for _, object := range listing.Objects {
		id := platform.ServerID(object.Key)
		seen[id] = true
		if object.Deleted {
			// A late removal must not drop a server that has reappeared since.
			if object.Version == 0 || object.Version >= s.versions[id] {
				changes = s.remove(changes, now, id)
			}
			continue
		}
		server, err := platform.DecodeServer(id, object.Value, now)
		if err != nil {
			s.drop(id)
			changes = append(changes, ServerChange{ID: id, Err: err})
			continue
		}
		delete(s.inGrace, id)
		old, ok := s.known[id]
		sameState := ok && old.SameInstance(server) && old.Leaving == server.Leaving && old.Service == server.Service
		changes = append(changes, ServerChange{ID: id, Server: server, SameState: sameState})
		s.known[id], s.versions[id] = server, object.Version
	}
	if !listing.Full {
		return changes
	}
	for _, id := range slices.Sorted(maps.Keys(s.known)) {
		if !seen[id] {
			changes = s.remove(changes, now, id)
		}
	}
	return changes
}

// remove removes a server or, shortly after an outage of the store, starts its grace
// period. A leaving server gets none.
func (s *Servers) remove(changes []ServerChange, now time.Time, id string) []ServerChange {
	server, ok := s.known[id]
	if !ok {
		return changes
	}
	if now.Before(s.graceUntil) && !server.Leaving {
		if _, waiting := s.inGrace[id]; !waiting {
			s.inGrace[id] = s.graceUntil
			changes = append(changes, ServerChange{ID: id, Server: server, InGrace: true})
		}
		return changes
	}
	s.drop(id)
	return append(changes, ServerChange{ID: id, Server: server, Removed: true})
}

// Expire removes the servers whose grace period has ended and returns the changes.
func (s *Servers) Expire(now time.Time) []ServerChange {
	var changes []ServerChange
	for _, id := range slices.Sorted(maps.Keys(s.inGrace)) {
		if now.Before(s.inGrace[id]) || now.Before(s.graceUntil) {
			continue
		}
		changes = append(changes, ServerChange{ID: id, Server: s.known[id], Removed: true})
		s.drop(id)
	}
	return changes
}

func (s *Servers) drop(id string) {
	delete(s.known, id)
	delete(s.versions, id)
	delete(s.inGrace, id)
}
