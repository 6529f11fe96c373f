// Package lease decides whether a VM holds a role that at most one VM may hold at a
// time. The lease is an object in the platform's store that the holder renews; its
// version is the fencing token. The package does no I/O and needs no synchronised
// clocks: the holder counts the lease from when it sent the renewal, other VMs from
// when they first read it.
package lease

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// Options configures the lease of one role on one VM.
type Options struct {
	// Role names the role.
	Role string
	// VM and Incarnation identify this VM as a holder.
	VM          string
	Incarnation int
	// Duration is how long the lease is valid after a renewal.
	Duration time.Duration
	// TakeoverDelay is how long a new holder issues no orders, so that those of the
	// previous holder have expired: the lifetime of an order plus a margin for clock
	// differences.
	TakeoverDelay time.Duration
	// Margin is added to Duration before the lease of another VM counts as expired.
	Margin time.Duration
}

// RequestKind is the kind of a request to the store.
type RequestKind int

// Kinds of requests.
const (
	Read RequestKind = iota
	Write
)

// Request is a request to the store that the caller is to send.
type Request struct {
	// Kind is Read or Write.
	Kind RequestKind
	// Lease and Condition are the content and the precondition of a Write.
	Lease     wire.Lease
	Condition platform.Condition

	sentAt time.Time
}

// Lease is the state of one role on one VM. It is not safe for concurrent use.
type Lease struct {
	opts          Options
	version       int64     // of the object when last read or written; 0 when it does not exist
	own           bool      // that version was written by this VM
	seenAt        time.Time // when that version was first read or written
	heldUntil     time.Time // on this VM's clock
	takeoverAt    time.Time // no orders are issued before
	nextRequestAt time.Time
	wasRead       bool // the object was read since the start or the last failed write
}

// New returns a lease that is not held.
func New(o Options) *Lease { return &Lease{opts: o} }

// Next returns the request that is due, if any. A VM that is not a candidate does not
// renew its lease.
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
	case now.Sub(l.seenAt) >= l.opts.Duration+l.opts.Margin && !mutation.Enabled(mutation.LeaseNotTakenOver):
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

// WriteDone handles the result of a write. After any status but OK the object is
// read again, as the write may have taken effect.
func (l *Lease) WriteDone(now time.Time, r Request, version int64, status platform.Status) {
	if status != platform.OK {
		l.wasRead = false
		l.nextRequestAt = now.Add(l.opts.Duration / 10)
		return
	}
	renewedAt := r.sentAt
	if mutation.Enabled(mutation.LeaseFromResponseTime) {
		renewedAt = now
	}
	if !l.own || !now.Before(l.heldUntil) {
		l.takeoverAt = now.Add(l.opts.TakeoverDelay)
	}
	l.version, l.own, l.seenAt = version, true, now
	l.heldUntil = renewedAt.Add(l.opts.Duration)
}

// ReadDone handles the result of a read; version is 0 when the object does not exist.
func (l *Lease) ReadDone(now time.Time, found wire.Lease, version int64) {
	l.wasRead = true
	if version == l.version {
		return
	}
	l.version, l.seenAt = version, now
	l.own = found.Holder == l.opts.VM && found.Incarnation == l.opts.Incarnation
	l.heldUntil = time.Time{}
	if l.own {
		// The response to a write of this VM was lost. Assume the lease for a short
		// time, in which it is renewed on condition of the version read.
		l.heldUntil = now.Add(l.opts.Duration / 10)
		l.takeoverAt = now.Add(l.opts.TakeoverDelay)
		l.nextRequestAt = now
	}
}

// Held reports whether this VM holds the role now.
func (l *Lease) Held(now time.Time) bool { return l.own && now.Before(l.heldUntil) }

// FencingToken returns the fencing token for an order that expires at a deadline. ok
// is true if the lease is held beyond the deadline and the takeover delay is over.
func (l *Lease) FencingToken(now, deadline time.Time) (token int64, ok bool) {
	return l.version, l.Held(now) && !now.Before(l.takeoverAt) && deadline.Before(l.heldUntil)
}
