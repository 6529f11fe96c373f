// Package configchain holds the serve command's configuration as a hash chain of
// revisions. Revision N carries one release note and the hash of revision N-1, so that
// a VM applies only direct successors: it detects forks and never reverts.
package configchain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// State is the configuration at one revision. It is immutable and safe for concurrent
// use.
type State struct {
	// Number is the revision number; 0 is the empty configuration.
	Number int
	// Hash is the hash of the revision; empty for revision 0.
	Hash string
	// Services is keyed by name.
	Services map[string]wire.Service
	// Workspaces is keyed by name.
	Workspaces map[string]wire.Workspace
	// Routes is keyed by name.
	Routes map[string]wire.Route
	// Keys maps the hash of each bearer key to the name of its workspace.
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

// Hash returns the hash of a revision, which its successor carries as PreviousHash.
func Hash(r wire.Revision) string {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("configchain: cannot marshal revision: " + err.Error())
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// KeyHash returns the hash of a bearer key that the configuration stores in place of
// the key.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Follows reports whether r is the direct successor of the state.
func (s *State) Follows(r wire.Revision) bool {
	return r.Number == s.Number+1 && r.PreviousHash == s.Hash
}

// Next returns the revision that appends a note to the state.
func (s *State) Next(note wire.ReleaseNote, acceptedUnixMs int64) wire.Revision {
	return wire.Revision{Number: s.Number + 1, PreviousHash: s.Hash, Note: note, AcceptedUnixMs: int(acceptedUnixMs)}
}

// Apply returns the state after r. If r does not follow the state, it returns s
// itself and ok is false.
func (s *State) Apply(r wire.Revision) (next *State, ok bool) {
	if !s.Follows(r) {
		return s, false
	}
	state := &State{
		Number: r.Number, Hash: Hash(r),
		Services: maps.Clone(s.Services), Workspaces: maps.Clone(s.Workspaces), Routes: maps.Clone(s.Routes),
	}
	state.upsert(r.Note.Added)
	state.upsert(r.Note.Changed)
	if withdrawn := r.Note.Withdrawn; withdrawn != nil {
		deleteAll(state.Services, withdrawn.Services)
		deleteAll(state.Workspaces, withdrawn.Workspaces)
		deleteAll(state.Routes, withdrawn.Routes)
	}
	state.indexKeys()
	return state, true
}

// upsert adds or replaces objects.
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

func deleteAll[V any](objects map[string]V, names []string) {
	for _, name := range names {
		delete(objects, name)
	}
}

// indexKeys rebuilds Keys from the workspaces.
func (s *State) indexKeys() {
	s.Keys = make(map[string]string, len(s.Workspaces))
	for name, workspace := range s.Workspaces {
		for _, keyHash := range workspace.KeyHashes {
			s.Keys[keyHash] = name
		}
	}
}

// Snapshot returns the complete state in its wire form, sorted by name.
func (s *State) Snapshot() wire.Snapshot {
	objects := wire.Objects{
		Services:   sortedByName(s.Services),
		Workspaces: sortedByName(s.Workspaces),
		Routes:     sortedByName(s.Routes),
	}
	return wire.Snapshot{Number: s.Number, Hash: s.Hash, State: objects}
}

func sortedByName[V any](objects map[string]V) []V {
	names := slices.Collect(maps.Keys(objects))
	sort.Strings(names)
	out := make([]V, 0, len(objects))
	for _, name := range names {
		out = append(out, objects[name])
	}
	return out
}

// FromSnapshot returns the state that a snapshot was taken of.
func FromSnapshot(snapshot wire.Snapshot) *State {
	state := Empty()
	state.Number, state.Hash = snapshot.Number, snapshot.Hash
	state.upsert(&snapshot.State)
	state.indexKeys()
	return state
}
