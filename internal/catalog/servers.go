package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/platform"
)

// lapseGrace is how long after the store's return an entry that expired while
// it was away may still come back.
const lapseGrace = 2 * time.Second

// Servers merges the platform's list of backend servers. It does no I/O.
type Servers struct {
	known map[string]backend.Server
	// versions are those of the store at which the known entries last changed.
	versions map[string]int64
	// missing are servers whose entries lapsed, with the end of their grace.
	missing map[string]time.Time
	// awayUntil is the end of the grace after the store's last absence.
	awayUntil time.Time
}

// NewServers returns an empty list.
func NewServers() *Servers {
	return &Servers{known: map[string]backend.Server{}, versions: map[string]int64{}, missing: map[string]time.Time{}}
}

// StoreAway notes that the store does not answer.
func (s *Servers) StoreAway(now time.Time) { s.awayUntil = now.Add(lapseGrace) }

// Entry is a decoded change.
type Entry struct {
	ID     string
	Server backend.Server
	// Gone is set when the entry was removed, Lapsed when its server is kept
	// for a while, Err when the entry could not be read.
	Gone, Lapsed bool
	Err          error
	// Minor is set when the server is believed to be in the same state as before.
	Minor bool
}

// InUse reports whether requests may be sent to the server.
func (e Entry) InUse() bool { return !e.Gone && e.Err == nil }

// Apply takes a listing and returns what changed.
func (s *Servers) Apply(now time.Time, l platform.Listing) []Entry {
	var changes []Entry
	seen := map[string]bool{}
	for _, o := range l.Objects {
		id := platform.ServerID(o.Key)
		seen[id] = true
		if o.Deleted {
			// One that came back since is not removed by what was told late.
			if o.Version == 0 || o.Version >= s.versions[id] {
				changes = s.remove(changes, now, id)
			}
			continue
		}
		x, err := platform.DecodeServer(id, o.Value, now)
		if err != nil {
			s.forget(id)
			changes = append(changes, Entry{ID: id, Err: err})
			continue
		}
		delete(s.missing, id)
		old, ok := s.known[id]
		minor := ok && old.Same(x) && old.Leaving == x.Leaving && old.Service == x.Service
		changes = append(changes, Entry{ID: id, Server: x, Minor: minor})
		s.known[id], s.versions[id] = x, o.Version
	}
	if !l.Full {
		return changes
	}
	for _, id := range slices.Sorted(maps.Keys(s.known)) {
		if !seen[id] {
			changes = s.remove(changes, now, id)
		}
	}
	return changes
}

func (s *Servers) remove(changes []Entry, now time.Time, id string) []Entry {
	x, ok := s.known[id]
	if !ok {
		return changes
	}
	if now.Before(s.awayUntil) && !x.Leaving {
		if _, waits := s.missing[id]; !waits {
			s.missing[id] = s.awayUntil
			changes = append(changes, Entry{ID: id, Server: x, Lapsed: true})
		}
		return changes
	}
	s.forget(id)
	return append(changes, Entry{ID: id, Server: x, Gone: true})
}

// Expire drops servers whose grace is over and returns what changed.
func (s *Servers) Expire(now time.Time) []Entry {
	var changes []Entry
	for _, id := range slices.Sorted(maps.Keys(s.missing)) {
		if now.Before(s.missing[id]) || now.Before(s.awayUntil) {
			continue
		}
		changes = append(changes, Entry{ID: id, Server: s.known[id], Gone: true})
		s.forget(id)
	}
	return changes
}

func (s *Servers) forget(id string) {
	delete(s.known, id)
	delete(s.versions, id)
	delete(s.missing, id)
}
