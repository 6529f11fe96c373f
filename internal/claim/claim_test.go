package claim_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/claim"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// memoryStore is a store without faults.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	version int64
}

func newStore() *memoryStore { return &memoryStore{objects: map[string]platform.Object{}} }

func (s *memoryStore) Get(_ context.Context, key string) (platform.Object, platform.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.NotFound
	}
	return object, platform.OK
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, cond platform.Condition) (int64, platform.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[key]
	if cond.Absent && ok || cond.Version != 0 && old.Version != cond.Version {
		return 0, platform.Conflict
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Version: s.version, Value: json.RawMessage(value)}
	return s.version, platform.OK
}

func newClaims(store claim.Store) *claim.Claims {
	return claim.New(store, "vm-1", 1, func(string, int) bool { return true })
}

func attempt(id, body string) claim.Attempt {
	return claim.Attempt{Workspace: "w", Key: "key-1", BodyHash: claim.Hash("POST", "/tags", []byte(body)), ID: id}
}

// TestReleasedKeyMayBeUsedForAnotherRequest releases the claim of a call of which no byte
// was sent. A different request may then use the key; once it has run, others may not.
func TestReleasedKeyMayBeUsedForAnotherRequest(t *testing.T) {
	claims := newClaims(newStore())
	record, result := claims.Acquire(t.Context(), attempt("a1", "first"))
	if result != claim.Granted {
		t.Fatalf("first attempt: result %d", result)
	}
	claims.Release(t.Context(), record)
	record, result = claims.Acquire(t.Context(), attempt("a2", "second"))
	if result != claim.Granted {
		t.Fatalf("another request after the release: result %d, want Granted", result)
	}
	claims.Finish(t.Context(), record, 200, "text/plain", []byte("ok"))
	if _, result = claims.Acquire(t.Context(), attempt("a3", "third")); result != claim.KeyReused {
		t.Errorf("another request after the key was used: result %d, want KeyReused", result)
	}
}

// TestLongResponseIsNotReplayedEmpty stores the response of a finished call. A body that
// was too long to be stored must not be replayed as an empty one.
func TestLongResponseIsNotReplayedEmpty(t *testing.T) {
	for _, c := range []struct {
		name, body string
		stored     bool
	}{
		{"empty", "", true},
		{"longestStored", strings.Repeat("x", claim.MaxResponseBytes), true},
		{"tooLong", strings.Repeat("x", claim.MaxResponseBytes+1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			claims := newClaims(newStore())
			record, _ := claims.Acquire(t.Context(), attempt("a1", "first"))
			claims.Finish(t.Context(), record, 200, "text/plain", []byte(c.body))
			record, result := claims.Acquire(t.Context(), attempt("a2", "first"))
			if result != claim.Replayed {
				t.Fatalf("result %d, want Replayed", result)
			}
			status, contentType, body, ok := claim.DecodeResponse(record.Claim)
			if ok != c.stored || status != 200 || contentType != "text/plain" {
				t.Errorf("stored %v, status %d, content type %q", ok, status, contentType)
			}
			if diff := cmp.Diff(c.body, string(body)); c.stored && diff != "" {
				t.Errorf("body (-want +got):\n%s", diff)
			}
		})
	}
}

// TestClaimOfOlderBuildIsReplayed decodes a claim that has no field for an omitted body.
func TestClaimOfOlderBuildIsReplayed(t *testing.T) {
	var stored wire.Claim
	if err := json.Unmarshal([]byte(`{"state":"finished","status":201,"contentType":"a/b","answer":"b2s="}`), &stored); err != nil {
		t.Fatal(err)
	}
	if status, _, body, ok := claim.DecodeResponse(stored); !ok || status != 201 || string(body) != "ok" {
		t.Errorf("status %d, body %q, stored %v", status, body, ok)
	}
}
