// Package claim ensures that a call with an idempotency key runs at most once. A
// claim is an object in the platform's store. It is created conditionally, only
// if it does not exist, before any byte is sent to the backend. The attempt that
// created it may dispatch the call; this permission is never transferred.
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
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// States of a claim. StateUnknown means that the call may have run without a
// response.
const (
	StateClaimed  = "claimed"
	StateReleased = "released"
	StateFinished = "finished"
	StateUnknown  = "unknown"
)

const (
	// Retention is how long the claim of a key is kept.
	Retention = 24 * time.Hour
	// MaxResponseBytes is the largest response body that is stored for repeated
	// requests.
	MaxResponseBytes  = 64 << 10
	keyPrefix         = "claims/"
	maxReadAttempts   = 4
	retryInterval     = 100 * time.Millisecond
	maxSettleAttempts = 5
	// maxAbandoned limits the size of Claims.abandoned.
	maxAbandoned = 10_000
)

// Result is the result of Acquire.
type Result int

const (
	// Granted means that this attempt may dispatch.
	Granted Result = iota
	// Replayed means that the call has already run and its response is in the claim.
	Replayed
	// Taken means that another attempt holds the claim and its VM is running.
	Taken
	// HolderLost means that the attempt that holds the claim ended without a response.
	HolderLost
	// KeyReused means that the key was already used for a different request.
	KeyReused
	// PlatformUnavailable means that the platform did not respond; the attempt must
	// not dispatch.
	PlatformUnavailable
)

// Attempt is one attempt to run a call.
type Attempt struct {
	// Workspace is the workspace that the key belongs to.
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// BodyHash is the hash of method, path and body.
	BodyHash string
	// ID is the request id, which is unique in the fleet.
	ID string
	// Deduplicates is true when the backend itself runs each key at most once.
	Deduplicates bool
}

// Record is a claim with its place in the platform's store. After Granted, this
// process holds the claim.
type Record struct {
	// Claim is the stored value.
	Claim wire.Claim
	// Key and Version identify the stored object.
	Key     string
	Version int64
}

// Store is the subset of the platform client that this package uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Object, platform.Status)
	Put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, platform.Status)
}

// IsRunning reports whether the given incarnation of a VM is still running.
type IsRunning func(vm string, incarnation int) bool

// Claims acquires claims for one process and records the outcomes of their calls.
// It is safe for concurrent use.
type Claims struct {
	store       Store
	vm          string
	incarnation int
	isRunning   IsRunning

	mu sync.Mutex
	// abandoned holds attempts of this process that certainly never dispatched;
	// abandonedOrder lists them oldest first. Evicting an entry is safe: its key
	// then only counts as taken.
	abandoned      map[string]bool
	abandonedOrder []string
}

// New returns the claims of the given incarnation of a VM.
func New(store Store, vm string, incarnation int, isRunning IsRunning) *Claims {
	return &Claims{store: store, vm: vm, incarnation: incarnation, isRunning: isRunning, abandoned: map[string]bool{}}
}

// Hash returns the hash by which different requests with the same key are detected.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + " " + path + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func objectKey(workspace, keyHash string) string { return keyPrefix + workspace + "/" + keyHash }

// Acquire tries to create or take over the claim for an attempt. Only Granted
// permits a dispatch.
func (c *Claims) Acquire(ctx context.Context, attempt Attempt) (Record, Result) {
	keyHash := Hash("", "", []byte(attempt.Key))
	record := Record{Key: objectKey(attempt.Workspace, keyHash), Claim: wire.Claim{
		Workspace: attempt.Workspace, KeyHash: keyHash, BodyHash: attempt.BodyHash, Vm: c.vm, Incarnation: c.incarnation,
		Attempt: attempt.ID, State: StateClaimed, ExpiresUnixMs: int(time.Now().Add(Retention).UnixMilli()),
	}}
	cond := platform.Condition{Absent: true}
	for {
		version, status := c.put(ctx, record, cond)
		if status == platform.OK {
			record.Version = version
			return record, Granted
		}
		if status == platform.Unavailable {
			return record, PlatformUnavailable
		}
		if status == platform.ResponseLost && mutation.Enabled(mutation.LostClaimResponseGranted) {
			return record, Granted
		}
		stored, status := c.read(ctx, record.Key)
		if status == platform.NotFound {
			// The create request was lost and had no effect, or the claim has expired.
			cond = platform.Condition{Absent: true}
			continue
		}
		if status != platform.OK {
			c.abandon(attempt.ID)
			return record, PlatformUnavailable
		}
		var existing wire.Claim
		if json.Unmarshal(stored.Value, &existing) != nil {
			return record, HolderLost
		}
		if existing.Attempt == attempt.ID {
			// The write took effect but its response was lost.
			return Record{Key: record.Key, Claim: existing, Version: stored.Version}, Granted
		}
		result, takeOver := c.resolve(existing, attempt)
		if !takeOver {
			return Record{Key: record.Key, Claim: existing, Version: stored.Version}, result
		}
		cond = platform.Condition{Version: stored.Version}
	}
}

// resolve returns the result for a claim that another attempt holds. takeOver is
// true when this attempt may replace the claim.
func (c *Claims) resolve(existing wire.Claim, attempt Attempt) (result Result, takeOver bool) {
	if existing.State == StateReleased {
		// Nothing was sent under the key, so any request may use it.
		return 0, true
	}
	if existing.BodyHash != attempt.BodyHash {
		return KeyReused, false
	}
	if existing.State == StateFinished {
		return Replayed, false
	}
	if existing.Vm == c.vm && existing.Incarnation == c.incarnation && c.wasAbandoned(existing.Attempt) {
		return 0, true
	}
	lost := existing.State == StateUnknown || !c.isRunning(existing.Vm, existing.Incarnation)
	if lost && (attempt.Deduplicates || mutation.Enabled(mutation.ClaimTakenOver)) {
		return 0, true
	}
	if lost {
		return HolderLost, false
	}
	return Taken, false
}

func (c *Claims) put(ctx context.Context, record Record, cond platform.Condition) (int64, platform.Status) {
	value, err := json.Marshal(record.Claim)
	if err != nil {
		panic("claim: marshal record: " + err.Error())
	}
	return c.store.Put(ctx, record.Key, value, cond)
}

// read returns the stored object. If the platform is unavailable, it makes up to
// maxReadAttempts attempts.
func (c *Claims) read(ctx context.Context, key string) (platform.Object, platform.Status) {
	for try := 1; ; try++ {
		stored, status := c.store.Get(ctx, key)
		if status != platform.Unavailable || try == maxReadAttempts || !sleep.For(ctx, retryInterval) {
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

// Release releases the claim of a call of which no byte was sent, so that the key
// can be used by another attempt.
func (c *Claims) Release(ctx context.Context, record Record) {
	c.abandon(record.Claim.Attempt)
	record.Claim.State = StateReleased
	c.settle(ctx, record)
}

// Finish stores the response for repeated requests with the key. A body of more
// than MaxResponseBytes is omitted.
func (c *Claims) Finish(ctx context.Context, record Record, status int, contentType string, body []byte) {
	record.Claim.State = StateFinished
	record.Claim.Status = status
	record.Claim.ContentType = contentType
	if len(body) <= MaxResponseBytes {
		record.Claim.Answer = base64.StdEncoding.EncodeToString(body)
	} else {
		omitted := true
		record.Claim.AnswerOmitted = &omitted
	}
	c.settle(ctx, record)
}

// MarkUnknown records that the call may have run without a response.
func (c *Claims) MarkUnknown(ctx context.Context, record Record) {
	record.Claim.State = StateUnknown
	c.settle(ctx, record)
}

// settle writes the claim if its stored version has not changed.
func (c *Claims) settle(ctx context.Context, record Record) {
	for range maxSettleAttempts {
		_, status := c.put(ctx, record, platform.Condition{Version: record.Version})
		if status == platform.OK || status == platform.Conflict || status == platform.NotFound {
			// On a conflict, an earlier write took effect and its response was lost.
			return
		}
		if !sleep.For(ctx, retryInterval) {
			return
		}
	}
}

// DecodeResponse decodes the stored response of a finished claim. It reports false if
// the body was not stored or is damaged.
func DecodeResponse(finished wire.Claim) (status int, contentType string, body []byte, ok bool) {
	omitted := finished.AnswerOmitted != nil && *finished.AnswerOmitted
	body, err := base64.StdEncoding.DecodeString(finished.Answer)
	return finished.Status, finished.ContentType, body, err == nil && !omitted
}
