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

	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/planted"
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
	// Lifetime is how long a key is remembered.
	Lifetime = 24 * time.Hour
	// MaxAnswerBytes is the largest answer that is stored for repeated requests.
	MaxAnswerBytes = 64 << 10
	prefix         = "claims/"
	readTries      = 4
	readPause      = 100 * time.Millisecond
	finishTries    = 5
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
	// Reused means that the key was used with a different request.
	Reused
	// Out means that the platform did not answer; the attempt has no permission.
	Out
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

// Alive reports whether a VM still lives in the given incarnation.
type Alive func(vm string, incarnation int) bool

// Claims takes and settles claims for one process. It is safe for concurrent
// use.
type Claims struct {
	store       Store
	vm          string
	incarnation int
	alive       Alive

	mu sync.Mutex
	// abandoned are attempts of this process that certainly never dispatched, and
	// order is their age. A forgotten one only makes its key count as taken.
	abandoned map[string]bool
	order     []string
}

// New returns the claims of one process.
func New(store Store, vm string, incarnation int, alive Alive) *Claims {
	return &Claims{store: store, vm: vm, incarnation: incarnation, alive: alive, abandoned: map[string]bool{}}
}

// Hash returns the hash that tells requests with the same key apart.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(method + " " + path + "\n"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

func objectKey(workspace, keyHash string) string { return prefix + workspace + "/" + keyHash }

// Take asks for the permission to dispatch.
func (c *Claims) Take(ctx context.Context, a Attempt) (Held, Result) {
	keyHash := Hash("", "", []byte(a.Key))
	h := Held{Key: objectKey(a.Workspace, keyHash), Claim: wire.Claim{
		Workspace: a.Workspace, KeyHash: keyHash, BodyHash: a.BodyHash, Vm: c.vm, Incarnation: c.incarnation,
		Attempt: a.ID, State: StateClaimed, ExpiresUnixMs: int(time.Now().Add(Lifetime).UnixMilli()),
	}}
	cond := platform.Condition{Absent: true}
	for {
		v, st := c.put(ctx, h, cond)
		if st == platform.OK {
			h.Version = v
			return h, Granted
		}
		if st == platform.Unavailable {
			return h, Out
		}
		if st == platform.ResponseLost && planted.Is(planted.LostClaimGranted) {
			return h, Granted
		}
		o, st := c.read(ctx, h.Key)
		if st == platform.NotFound {
			// The create was lost and did not take effect, or the record expired: try again.
			cond = platform.Condition{Absent: true}
			continue
		}
		if st != platform.OK {
			c.abandon(a.ID)
			return h, Out
		}
		var found wire.Claim
		if json.Unmarshal(o.Value, &found) != nil {
			return h, HolderLost
		}
		if found.Attempt == a.ID {
			// The answer was lost after the write took effect.
			return Held{Key: h.Key, Claim: found, Version: o.Version}, Granted
		}
		r, takeOver := c.judge(found, a)
		if !takeOver {
			return Held{Key: h.Key, Claim: found, Version: o.Version}, r
		}
		cond = platform.Condition{Version: o.Version}
	}
}

// judge decides about a claim of another attempt. takeOver is true when this
// attempt may replace it.
func (c *Claims) judge(found wire.Claim, a Attempt) (r Result, takeOver bool) {
	if found.BodyHash != a.BodyHash {
		return Reused, false
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
	lost := found.State == StateUnknown || !c.alive(found.Vm, found.Incarnation)
	if lost && (a.Deduplicates || planted.Is(planted.ClaimPassedOn)) {
		return 0, true
	}
	if lost {
		return HolderLost, false
	}
	return Taken, false
}

func (c *Claims) put(ctx context.Context, h Held, cond platform.Condition) (int64, platform.Status) {
	value, err := json.Marshal(h.Claim)
	if err != nil {
		panic("claim: record does not marshal: " + err.Error())
	}
	return c.store.Put(ctx, h.Key, value, cond)
}

// read settles what is stored, with a few tries.
func (c *Claims) read(ctx context.Context, key string) (platform.Object, platform.Status) {
	for try := 1; ; try++ {
		o, st := c.store.Get(ctx, key)
		if st != platform.Unavailable || try == readTries || !pause.For(ctx, readPause) {
			return o, st
		}
	}
}

func (c *Claims) abandon(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned[attempt] {
		return
	}
	if len(c.order) == maxAbandoned {
		delete(c.abandoned, c.order[0])
		c.order = c.order[1:]
	}
	c.abandoned[attempt] = true
	c.order = append(c.order, attempt)
}

func (c *Claims) wasAbandoned(attempt string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned[attempt]
}

// Release gives the permission back after a call of which no byte was sent, so
// that the key may be tried again.
func (c *Claims) Release(ctx context.Context, h Held) {
	c.abandon(h.Claim.Attempt)
	h.Claim.State = StateReleased
	c.settle(ctx, h)
}

// Finish stores the answer for repeated requests with the key.
func (c *Claims) Finish(ctx context.Context, h Held, status int, contentType string, body []byte) {
	h.Claim.State = StateFinished
	h.Claim.Status = status
	h.Claim.ContentType = contentType
	if len(body) <= MaxAnswerBytes {
		h.Claim.Answer = base64.StdEncoding.EncodeToString(body)
	}
	c.settle(ctx, h)
}

// Lose records that the call may have run without an answer.
func (c *Claims) Lose(ctx context.Context, h Held) {
	h.Claim.State = StateUnknown
	c.settle(ctx, h)
}

// settle updates the held record on condition that it is still ours.
func (c *Claims) settle(ctx context.Context, h Held) {
	for range finishTries {
		_, st := c.put(ctx, h, platform.Condition{Version: h.Version})
		if st == platform.OK || st == platform.Conflict || st == platform.NotFound {
			// A conflict means that an earlier try took effect and its answer was lost.
			return
		}
		if !pause.For(ctx, readPause) {
			return
		}
	}
}

// Answer decodes the stored answer of a finished claim.
func Answer(c wire.Claim) (status int, contentType string, body []byte) {
	body, err := base64.StdEncoding.DecodeString(c.Answer)
	if err != nil {
		return c.Status, c.ContentType, nil
	}
	return c.Status, c.ContentType, body
}
