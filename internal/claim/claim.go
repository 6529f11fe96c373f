// Package claim makes calls with an idempotency key run at most once. A claim
// is an object of the platform that is created on condition that it does not
// exist, before a byte is sent to the backend; it is the permission to
// dispatch and is never passed on.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// States of a claim.
const (
	StateClaimed  = "claimed"
	StateReleased = "released"
	StateFinished = "finished"
	StateUnknown  = "unknown"
)

const (
	// Retention is how long a key is remembered.
	Retention = 24 * time.Hour
	// MaxResponseBytes is the largest answer that is stored for repeated requests.
	MaxResponseBytes  = 64 << 10
	keyPrefix         = "claims/"
	maxReadAttempts   = 4
	retryInterval     = 100 * time.Millisecond
	maxSettleAttempts = 5
	// maxAbandoned bounds the attempts that are remembered.
	maxAbandoned = 10_000
)

// Result is what Take found.
type Result int

const (
	// Granted means that this attempt may dispatch.
	Granted Result = iota
	// Replayed means that the call ran before and its answer is in the claim.
	Replayed
	// Taken means that another attempt holds the claim and its holder is alive.
	Taken
	// HolderLost means that the attempt that holds the claim ended without an answer.
	HolderLost
	// KeyReused means that the key was used with a different request.
	KeyReused
	// PlatformUnavailable means that the platform did not answer; the attempt has no permission.
	PlatformUnavailable
)

// Attempt is one try to run a call.
type Attempt struct {
	// Workspace owns the key.
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// BodyHash is the hash of method, path and body.
	BodyHash string
	// ID is the request id, unique over the fleet.
	ID string
	// Deduplicates is true when the backend runs each key once by itself.
	Deduplicates bool
}

// Held is a claim that this process holds.
type Held struct {
	// Claim is the record as stored.
	Claim wire.Claim
	// Key and Version name the stored object.
	Key     string
	Version int64
}

// Store is the part of the platform's client that claims need.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, platform.Status)
	Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, platform.Status)
}

// IsRunning reports whether a VM still lives in the given incarnation.
type IsRunning func(vm string, incarnation int) bool

// Claims takes and settles claims for one process. It is safe for concurrent
// use.
type Claims struct {
	store       Store
	vm          string
	incarnation int
	isRunning   IsRunning

	mu sync.Mutex
	// abandoned are attempts of this process that certainly never dispatched, and
	// order is their age. A forgotten one only makes its key count as taken.
	abandoned      map[string]bool
	abandonedOrder []string
}

// New returns the claims of one process.
func New(store Store, vm string, incarnation int, isRunning IsRunning) *Claims {
	return &Claims{store: store, vm: vm, incarnation: incarnation, isRunning: isRunning, abandoned: map[string]bool{}}
}

// Hash returns the hash that tells requests with the same key apart.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + " " + path + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func objectKey(workspace, keyHash string) string { return keyPrefix + workspace + "/" + keyHash }

// Acquire asks for the permission to dispatch.
func (c *Claims) Acquire(ctx context.Context, attempt Attempt) (Held, Result) {
	keyHash := Hash("", "", []byte(attempt.Key))
	held := Held{Key: objectKey(attempt.Workspace, keyHash), Claim: wire.Claim{
		Workspace: attempt.Workspace, KeyHash: keyHash, BodyHash: attempt.BodyHash, Vm: c.vm, Incarnation: c.incarnation,
		Attempt: attempt.ID, State: StateClaimed, ExpiresUnixMs: int(time.Now().Add(Retention).UnixMilli()),
	}}
	cond := platform.Condition{Absent: true}
	for {
		version, status := c.put(ctx, held, cond)
		if status == platform.OK {
			held.Version = version
			return held, Granted
		}
		if status == platform.Unavailable {
			return held, PlatformUnavailable
		}
		if status == platform.Lost && mutation.Enabled(mutation.LostClaimReplyGranted) {
			return held, Granted
		}
		stored, status := c.read(ctx, held.Key)
		if status == platform.NotFound {
			// The create was lost and did not take effect, or the record expired: try again.
			cond = platform.Condition{Absent: true}
			continue
		}
		if status != platform.OK {
			c.abandon(attempt.ID)
			return held, PlatformUnavailable
		}
		var found wire.Claim
		if json.Unmarshal(stored.Value, &found) != nil {
			return held, HolderLost
		}
		if found.Attempt == attempt.ID {
			// The answer was lost after the write took effect.
			return Held{Key: held.Key, Claim: found, Version: stored.Version}, Granted
		}
		result, takeOver := c.resolve(found, attempt)
		if !takeOver {
			return Held{Key: held.Key, Claim: found, Version: stored.Version}, result
		}
		cond = platform.Condition{Version: stored.Version}
	}
}

// resolve decides about a claim of another attempt. takeOver is true when this
// attempt may replace it.
func (c *Claims) resolve(found wire.Claim, attempt Attempt) (result Result, takeOver bool) {
	if found.BodyHash != attempt.BodyHash {
		return KeyReused, false
	}
	switch found.State {
	case StateFinished:
		return Replayed, false
	case StateReleased:
		return 0, true
	}
	if found.Vm == c.vm && found.Incarnation == c.incarnation && c.wasAbandoned(found.Attempt) {
		return 0, true
	}
	lost := found.State == StateUnknown || !c.isRunning(found.Vm, found.Incarnation)
	if lost && (attempt.Deduplicates || mutation.Enabled(mutation.ClaimTakenOver)) {
		return 0, true
	}
	if lost {
		return HolderLost, false
	}
	return Taken, false
}

func (c *Claims) put(ctx context.Context, held Held, cond platform.Condition) (int64, platform.Status) {
	value, err := json.Marshal(held.Claim)
	if err != nil {
		panic("claim: record does not marshal: " + err.Error())
	}
	return c.store.Put(ctx, held.Key, value, cond)
}

// read settles what is stored, with a few tries.
func (c *Claims) read(ctx context.Context, key string) (platform.Object, platform.Status) {
	for try := 1; ; try++ {
		stored, status := c.store.Get(ctx, key)
		if status != platform.Unavailable || try == maxReadAttempts || !pause.For(ctx, retryInterval) {
			return stored, status
		}
	}
}

func (c *Claims) abandon(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned[attempt] {
		return
	}
	if len(c.abandonedOrder) == maxAbandoned {
		delete(c.abandoned, c.abandonedOrder[0])
		c.abandonedOrder = c.abandonedOrder[1:]
	}
	c.abandoned[attempt] = true
	c.abandonedOrder = append(c.abandonedOrder, attempt)
}

func (c *Claims) wasAbandoned(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned[attempt]
}

// Release gives the permission back after a call of which no byte was sent, so
// that the key may be tried again.
func (c *Claims) Release(ctx context.Context, held Held) {
	c.abandon(held.Claim.Attempt)
	held.Claim.State = StateReleased
	c.settle(ctx, held)
}

// Finish stores the answer for repeated requests with the key.
func (c *Claims) Finish(ctx context.Context, held Held, status int, contentType string, body []byte) {
	held.Claim.State = StateFinished
	held.Claim.Status = status
	held.Claim.ContentType = contentType
	if len(body) <= MaxResponseBytes {
		held.Claim.Answer = base64.StdEncoding.EncodeToString(body)
	}
	c.settle(ctx, held)
}

// MarkUnknown records that the call may have run without an answer.
func (c *Claims) MarkUnknown(ctx context.Context, held Held) {
	held.Claim.State = StateUnknown
	c.settle(ctx, held)
}

// settle updates the held record on condition that it is still ours.
func (c *Claims) settle(ctx context.Context, held Held) {
	for range maxSettleAttempts {
		_, status := c.put(ctx, held, platform.Condition{Version: held.Version})
		if status == platform.OK || status == platform.Conflict || status == platform.NotFound {
			// A conflict means that an earlier try took effect and its answer was lost.
			return
		}
		if !pause.For(ctx, retryInterval) {
			return
		}
	}
}

// DecodeResponse decodes the stored answer of a finished claim.
func DecodeResponse(c wire.Claim) (status int, contentType string, body []byte) {
	body, err := base64.StdEncoding.DecodeString(c.Answer)
	if err != nil {
		return c.Status, c.ContentType, nil
	}
	return c.Status, c.ContentType, body
}
