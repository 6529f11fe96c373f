// Package lease decides when a VM holds a role that one VM has at a time. The
// role is an object of the platform that its holder renews; the fencing number
// is the object's version. The package does no I/O and needs no synchronised
// clocks: a holder counts from before it sent a renewal, and others count from
// when they first saw it.
package lease

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
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
	// Quiet is how long a new holder gives no orders, so that those of the
	// holder before have expired: their lifetime and a margin for clocks.
	Quiet time.Duration
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
	opts      Options
	version   int64     // of the object as last seen; 0 when there is none
	mine      bool      // the version seen is this VM's own write
	seenAt    time.Time // when the version was first seen
	heldUntil time.Time // by this VM's clock
	quietTill time.Time // no orders before
	nextAt    time.Time
	known     bool // the object was read at least once
}

// New returns a lease that is not held.
func New(o Options) *Lease { return &Lease{opts: o} }

// Next returns a request that is due; ok is false when none is. candidate says
// whether this VM should hold the role.
func (l *Lease) Next(now time.Time, candidate bool) (r Request, ok bool) {
	if now.Before(l.nextAt) || (!candidate && !l.mine) {
		return Request{}, false
	}
	l.nextAt = now.Add(l.opts.Duration / 3)
	switch {
	case !l.known:
		return Request{Kind: Read, sentAt: now}, true
	case l.mine && now.Before(l.heldUntil):
		if !candidate {
			return Request{}, false
		}
		return l.write(now, platform.Condition{Version: l.version}), true
	case l.version == 0:
		return l.write(now, platform.Condition{Absent: true}), true
	case now.Sub(l.seenAt) >= l.opts.Duration+l.opts.Margin:
		return l.write(now, platform.Condition{Version: l.version}), true
	}
	return Request{Kind: Read, sentAt: now}, true
}

func (l *Lease) write(now time.Time, c platform.Condition) Request {
	return Request{Kind: Write, Condition: c, sentAt: now, Lease: wire.Lease{
		Role: l.opts.Role, Holder: l.opts.VM, Incarnation: l.opts.Incarnation,
		ExpiresUnixMs: int(now.Add(l.opts.Duration).UnixMilli()),
	}}
}

// Wrote takes in the answer of a write. After anything but OK the object has to
// be read, as the write may have taken effect.
func (l *Lease) Wrote(now time.Time, r Request, version int64, st platform.Status) {
	if st != platform.OK {
		l.known = false
		l.nextAt = now.Add(l.opts.Duration / 10)
		return
	}
	from := r.sentAt
	if mutation.Enabled(mutation.LeaseFromReplyTime) {
		from = now
	}
	if !l.mine || !now.Before(l.heldUntil) {
		l.quietTill = now.Add(l.opts.Quiet)
	}
	l.version, l.mine, l.seenAt = version, true, now
	l.heldUntil = from.Add(l.opts.Duration)
}

// Saw takes in the answer of a read; version is 0 when there is no object.
func (l *Lease) Saw(now time.Time, found wire.Lease, version int64) {
	l.known = true
	if version == l.version {
		return
	}
	l.version, l.seenAt = version, now
	l.mine = found.Holder == l.opts.VM && found.Incarnation == l.opts.Incarnation
	l.heldUntil = time.Time{}
	if l.mine {
		// The answer of an own write was lost. It holds for a moment, in which
		// it is renewed on condition of the version seen.
		l.heldUntil = now.Add(l.opts.Duration / 10)
		l.quietTill = now.Add(l.opts.Quiet)
		l.nextAt = now
	}
}

// Held reports whether this VM holds the role now.
func (l *Lease) Held(now time.Time) bool { return l.mine && now.Before(l.heldUntil) }

// Fencing returns the fencing number for an order that expires at a deadline.
// ok is false unless the lease outlives the order and the quiet time is over.
func (l *Lease) Fencing(now, deadline time.Time) (number int64, ok bool) {
	return l.version, l.Held(now) && !now.Before(l.quietTill) && deadline.Before(l.heldUntil)
}
