// Package chain holds the configuration as a chain of revisions. Revision N
// carries one release note and the hash of revision N-1, so a VM can tell a
// successor from a fork and never goes back.
package chain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// State is the configuration at one revision. It is never changed after it was
// returned, so it may be read from any goroutine.
type State struct {
	// Number is the revision; 0 is the empty configuration.
	Number int
	// Hash is the hash of that revision; empty for number 0.
	Hash string
	// Services is keyed by name.
	Services map[string]wire.Service
	// Workspaces is keyed by name.
	Workspaces map[string]wire.Workspace
	// Routes is keyed by name.
	Routes map[string]wire.Route
	// Keys maps the hash of a bearer key to the name of its workspace.
	Keys map[string]string
}

// Empty returns the configuration before the first revision.
func Empty() *State {
	return &State{
		Services:   map[string]wire.Service{},
		Workspaces: map[string]wire.Workspace{},
		Routes:     map[string]wire.Route{},
		Keys:       map[string]string{},
	}
}

// Hash returns the hash that the next revision refers to.
func Hash(r wire.Revision) string {
	b, err := json.Marshal(r)
	if err != nil {
		panic("chain: revision does not marshal: " + err.Error())
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// KeyHash returns the form in which a bearer key is kept in the configuration.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Follows reports whether r is the direct successor of the state.
func (s *State) Follows(r wire.Revision) bool {
	return r.Number == s.Number+1 && r.PreviousHash == s.Hash
}

// Next builds the revision that would append a note to the state.
func (s *State) Next(note wire.ReleaseNote, acceptedUnixMs int64) wire.Revision {
	return wire.Revision{Number: s.Number + 1, PreviousHash: s.Hash, Note: note, AcceptedUnixMs: int(acceptedUnixMs)}
}

// Apply returns the state after r. ok is false, and the state unchanged, when r
// does not follow the state.
func (s *State) Apply(r wire.Revision) (next *State, ok bool) {
	if !s.Follows(r) {
		return s, false
	}
	n := &State{
		Number: r.Number, Hash: Hash(r),
		Services: maps.Clone(s.Services), Workspaces: maps.Clone(s.Workspaces), Routes: maps.Clone(s.Routes),
	}
	n.upsert(r.Note.Added)
	n.upsert(r.Note.Changed)
	if withdrawn := r.Note.Withdrawn; withdrawn != nil {
		deleteAll(n.Services, withdrawn.Services)
		deleteAll(n.Workspaces, withdrawn.Workspaces)
		deleteAll(n.Routes, withdrawn.Routes)
	}
	n.indexKeys()
	return n, true
}

func (s *State) upsert(objects *wire.Objects) {
	if objects == nil {
		return
	}
	for _, object := range objects.Services {
		s.Services[object.Name] = object
	}
	for _, object := range objects.Workspaces {
		s.Workspaces[object.Name] = object
	}
	for _, object := range objects.Routes {
		s.Routes[object.Name] = object
	}
}

func deleteAll[V any](m map[string]V, names []string) {
	for _, n := range names {
		delete(m, n)
	}
}

func (s *State) indexKeys() {
	s.Keys = make(map[string]string, len(s.Workspaces))
	for name, w := range s.Workspaces {
		for _, h := range w.KeyHashes {
			s.Keys[h] = name
		}
	}
}

// Snapshot returns the whole state in its wire form, ordered by name.
func (s *State) Snapshot() wire.Snapshot {
	objects := wire.Objects{
		Services:   sortedByName(s.Services),
		Workspaces: sortedByName(s.Workspaces),
		Routes:     sortedByName(s.Routes),
	}
	return wire.Snapshot{Number: s.Number, Hash: s.Hash, State: objects}
}

func sortedByName[V any](m map[string]V) []V {
	names := slices.Collect(maps.Keys(m))
	sort.Strings(names)
	out := make([]V, 0, len(m))
	for _, n := range names {
		out = append(out, m[n])
	}
	return out
}

// FromSnapshot rebuilds a state.
func FromSnapshot(snapshot wire.Snapshot) *State {
	s := Empty()
	s.Number, s.Hash = snapshot.Number, snapshot.Hash
	s.upsert(&snapshot.State)
	s.indexKeys()
	return s
}
