package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/platform"
)

// removalGrace is how long after the store's return an entry that expired while
// it was away may still come back.
const removalGrace = 2 * time.Second

// Servers merges the platform's list of backend servers. It does no I/O.
type Servers struct {
	known map[string]backend.Server
	// versions are those of the store at which the known entries last changed.
	versions map[string]int64
	// inGrace are servers whose entries lapsed, with the end of their grace.
	inGrace map[string]time.Time
	// graceUntil is the end of the grace after the store's last absence.
	graceUntil time.Time
}

// NewServers returns an empty list.
func NewServers() *Servers {
	return &Servers{known: map[string]backend.Server{}, versions: map[string]int64{}, inGrace: map[string]time.Time{}}
}

// StoreUnavailable notes that the store does not answer.
func (s *Servers) StoreUnavailable(now time.Time) { s.graceUntil = now.Add(removalGrace) }

// ServerChange is a decoded change.
type ServerChange struct {
	ID     string
	Server backend.Server
	// Removed is set when the entry was removed, Lapsed when its server is kept
	// for a while, Err when the entry could not be read.
	Removed, InGrace bool
	Err              error
	// SameState is set when the server is believed to be in the same state as before.
	SameState bool
}

// InUse reports whether requests may be sent to the server.
func (c ServerChange) InUse() bool { return !c.Removed && c.Err == nil }

// Apply takes a listing and returns what changed.
func (s *Servers) Apply(now time.Time, listing platform.Listing) []ServerChange {
	var changes []ServerChange
	seen := map[string]bool{}
	for _, object := range listing.Objects {
		id := platform.ServerName(object.Key)
		seen[id] = true
		if object.Deleted {
			// One that came back since is not removed by what was told late.
			if object.Version == 0 || object.Version >= s.versions[id] {
				changes = s.remove(changes, now, id)
			}
			continue
		}
		server, err := platform.ReadServer(id, object.Value, now)
		if err != nil {
			s.drop(id)
			changes = append(changes, ServerChange{ID: id, Err: err})
			continue
		}
		delete(s.inGrace, id)
		old, ok := s.known[id]
		sameState := ok && old.Same(server) && old.Leaving == server.Leaving && old.Service == server.Service
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

// Expire drops servers whose grace is over and returns what changed.
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
