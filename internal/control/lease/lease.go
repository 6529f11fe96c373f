// Package lease decides when a VM holds a role that one VM has at a time. The
// role is an object of the platform that its holder renews; the fencing number
// is the object's version. The package does no I/O and needs no synchronised
// clocks: a holder counts from before it sent a renewal, and others count from
// when they first saw it.
package lease

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/planted"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// Options describes a role as one VM sees it.
type Options struct {
	// Role names the role.
	Role string
	// VM and Incarnation name the candidate.
	VM          string
	Incarnation int
	// Duration is how long a renewal holds.
	Duration time.Duration
	// TakeoverDelay is how long a new holder gives no orders, so that those of the
	// holder before have expired: their lifetime and a margin for clocks.
	TakeoverDelay time.Duration
	// Margin is added before another VM's lease counts as lapsed.
	Margin time.Duration
}

// Kind is the kind of a request to the platform.
type Kind int

// Kinds of requests.
const (
	Read Kind = iota
	Write
)

// Request is what the lease needs from the platform.
type Request struct {
	// Kind is Read or Write.
	Kind Kind
	// Lease is the content of a write and Condition its condition.
	Lease     wire.Lease
	Condition platform.Condition

	sentAt time.Time
}

// Lease is the state of one role on one VM. It is used by one goroutine.
type Lease struct {
	opts          Options
	version       int64     // of the object as last seen; 0 when there is none
	own           bool      // the version seen is this VM's own write
	seenAt        time.Time // when the version was first seen
	heldUntil     time.Time // by this VM's clock
	takeoverAt    time.Time // no orders before
	nextRequestAt time.Time
	wasRead       bool // the object was read at least once
}

// New returns a lease that is not held.
func New(o Options) *Lease { return &Lease{opts: o} }

// Next returns a request that is due; ok is false when none is. candidate says
// whether this VM should hold the role.
func (l *Lease) Next(now time.Time, candidate bool) (r Request, ok bool) {
	if now.Before(l.nextRequestAt) || (!candidate && !l.own) {
		return Request{}, false
	}
	l.nextRequestAt = now.Add(l.opts.Duration / 3)
	switch {
	case !l.wasRead:
		return Request{Kind: Read, sentAt: now}, true
	case l.own && now.Before(l.heldUntil):
		if !candidate {
			return Request{}, false
		}
		return l.writeRequest(now, platform.Condition{Version: l.version}), true
	case l.version == 0:
		return l.writeRequest(now, platform.Condition{Absent: true}), true
	case now.Sub(l.seenAt) >= l.opts.Duration+l.opts.Margin:
		return l.writeRequest(now, platform.Condition{Version: l.version}), true
	}
	return Request{Kind: Read, sentAt: now}, true
}

func (l *Lease) writeRequest(now time.Time, condition platform.Condition) Request {
	return Request{Kind: Write, Condition: condition, sentAt: now, Lease: wire.Lease{
		Role: l.opts.Role, Holder: l.opts.VM, Incarnation: l.opts.Incarnation,
		ExpiresUnixMs: int(now.Add(l.opts.Duration).UnixMilli()),
	}}
}

// WriteDone takes in the answer of a write. After anything but OK the object has to
// be read, as the write may have taken effect.
func (l *Lease) WriteDone(now time.Time, r Request, version int64, status platform.Status) {
	if status != platform.OK {
		l.wasRead = false
		l.nextRequestAt = now.Add(l.opts.Duration / 10)
		return
	}
	from := r.sentAt
	if planted.Is(planted.LeaseFromAnswer) {
		from = now
	}
	if !l.own || !now.Before(l.heldUntil) {
		l.takeoverAt = now.Add(l.opts.TakeoverDelay)
	}
	l.version, l.own, l.seenAt = version, true, now
	l.heldUntil = from.Add(l.opts.Duration)
}

// ReadDone takes in the answer of a read; version is 0 when there is no object.
func (l *Lease) ReadDone(now time.Time, found wire.Lease, version int64) {
	l.wasRead = true
	if version == l.version {
		return
	}
	l.version, l.seenAt = version, now
	l.own = found.Holder == l.opts.VM && found.Incarnation == l.opts.Incarnation
	l.heldUntil = time.Time{}
	if l.own {
		// The answer of an own write was lost. It holds for a moment, in which
		// it is renewed on condition of the version seen.
		l.heldUntil = now.Add(l.opts.Duration / 10)
		l.takeoverAt = now.Add(l.opts.TakeoverDelay)
		l.nextRequestAt = now
	}
}

// Held reports whether this VM holds the role now.
func (l *Lease) Held(now time.Time) bool { return l.own && now.Before(l.heldUntil) }

// FencingToken returns the fencing number for an order that expires at a deadline.
// ok is false unless the lease outlives the order and the quiet time is over.
func (l *Lease) FencingToken(now, deadline time.Time) (number int64, ok bool) {
	return l.version, l.Held(now) && !now.Before(l.takeoverAt) && deadline.Before(l.heldUntil)
}
