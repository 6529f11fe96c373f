package catalog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// keptConfirmations bounds the confirmations that wait for the catalog to reach
	// their version, keptChanges the changes that wait to be taken.
	keptConfirmations = 8
	keptChanges       = 64
	// feedFresh is how old the newest exact read of the servers by another VM may
	// be for this one to rely on being told: a notice is of use for a second or
	// two. For the configuration it is the time between two exact reads.
	feedFresh = 1600 * time.Millisecond
	// leadSlice is the longest wait of one exact read of the servers that is made
	// for others, configShare that of the configuration and aloneShare that of a VM
	// that has no others, as shares of the time between two exact reads.
	leadSlice   = 400 * time.Millisecond
	configShare = 0.4
	aloneShare  = 0.8
	// behindEvery is the least time between two reads of what was not told.
	behindEvery = 250 * time.Millisecond
)

// Confirmation says that the store had reached a version, and no later one, at
// some moment not before At.
type Confirmation struct {
	Version int64
	At      time.Time
}

// Change is what an exact read found below a prefix.
type Change struct {
	Prefix string
	// After and Version bound the versions of the store that it covers.
	After, Version int64
	// Objects are those that changed, in the order of the changes.
	Objects []platform.Object
	// Omitted is set when something changed that is not among the objects.
	Omitted bool
}

// feed is what other VMs tell of one prefix.
type feed struct {
	changes chan Change
	// woken gets a token with each confirmation.
	woken chan struct{}

	mu            sync.Mutex
	confirmations []Confirmation // in the order in which they came; none covers another
}

func newFeed() *feed {
	return &feed{changes: make(chan Change, keptChanges), woken: make(chan struct{}, 1)}
}

func (f *feed) confirm(x Confirmation) {
	if !f.keep(x) {
		return
	}
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// keep adds a confirmation. It reports false when one that is kept says as much:
// VMs repeat their last read until the next.
func (f *feed) keep(x Confirmation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.ContainsFunc(f.confirmations, func(y Confirmation) bool { return y.covers(x) }) {
		return false
	}
	f.confirmations = slices.DeleteFunc(f.confirmations, x.covers)
	if len(f.confirmations) == keptConfirmations {
		f.confirmations = f.confirmations[1:]
	}
	f.confirmations = append(f.confirmations, x)
	return true
}

// covers reports whether a confirmation says all that another does.
func (x Confirmation) covers(y Confirmation) bool {
	return x.Version <= y.Version && !x.At.Before(y.At)
}

// rest waits for a while, or until another VM tells of an exact read. It reports
// false when the context ended.
func (f *feed) rest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.woken:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// confirmedAt returns when a catalog that has reached a version was last known
// to be current; zero when none of the confirmations says so.
func (f *feed) confirmedAt(version int64) time.Time {
	return f.newest(func(x Confirmation) bool { return x.Version <= version })
}

// readAt returns when another VM last read exactly; zero when none did.
func (f *feed) readAt() time.Time {
	return f.newest(func(Confirmation) bool { return true })
}

func (f *feed) newest(counts func(Confirmation) bool) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest time.Time
	for _, x := range f.confirmations {
		if counts(x) && x.At.After(newest) {
			newest = x.At
		}
	}
	return newest
}

// Confirm takes another VM's exact read of a prefix: what it read was current
// at some moment not before At. A catalog that has reached the same version
// needs no exact read of its own for a while.
func (c *Catalog) Confirm(prefix string, x Confirmation) {
	if f, ok := c.feeds[prefix]; ok {
		f.confirm(x)
	}
}

// Hear takes what another VM read exactly. It does not block: a change that
// finds no room is read in the store instead.
func (c *Catalog) Hear(x Change) {
	f, ok := c.feeds[x.Prefix]
	if !ok {
		return
	}
	select {
	case f.changes <- x:
	default:
	}
}

// Lead makes this catalog read exactly, and tell a number of others what it
// read, until a moment.
func (c *Catalog) Lead(until time.Time, followers int) {
	c.leadUntil.Store(until.UnixNano())
	c.followers.Store(int64(followers))
}

// Leads reports whether others rely on the exact reads of this catalog.
func (c *Catalog) Leads() bool { return c.leads(time.Now()) }

// slice is the longest wait of one exact read by a catalog that leads.
func (c *Catalog) slice(prefix string) time.Duration {
	switch {
	case c.followers.Load() == 0:
		return time.Duration(float64(c.exactEvery) * aloneShare)
	case prefix == platform.ConfigPrefix:
		return time.Duration(float64(c.exactEvery) * configShare)
	}
	return leadSlice
}

// freshFor is how long an exact read of another VM is relied on.
func (c *Catalog) freshFor(prefix string) time.Duration {
	if prefix == platform.ConfigPrefix {
		return c.exactEvery
	}
	return feedFresh
}

func (c *Catalog) leads(now time.Time) bool { return now.UnixNano() < c.leadUntil.Load() }

// fedUntil returns until when a follower needs no read of its own: what it is
// told is fresh, and its own word was confirmed lately.
func (c *Catalog) fedUntil(now time.Time, prefix string, at *cursor) time.Time {
	if at.after < 0 || c.leads(now) {
		return time.Time{}
	}
	until := c.feeds[prefix].readAt().Add(c.freshFor(prefix))
	if due := at.exactAt.Add(c.exactEvery); due.Before(until) {
		until = due
	}
	return until
}

// followFeed takes what another VM reads, until this one has to read by itself:
// what it is told is old, leaves something out, or does not confirm its word.
func (c *Catalog) followFeed(ctx context.Context, f follower, at *cursor) {
	fed := c.feeds[f.prefix]
	for {
		at.confirm(fed)
		now := time.Now()
		until := c.fedUntil(now, f.prefix, at)
		if !now.Before(until) {
			return
		}
		if at.lost {
			c.regained(f, at, platform.Listing{Version: at.after}, "peer")
		}
		timer := time.NewTimer(until.Sub(now))
		select {
		case x := <-fed.changes:
			at.behind = !c.takeChange(f, at, x)
		case <-fed.woken:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if at.behind || ctx.Err() != nil {
			return
		}
	}
}

// takeChange applies a change. It reports false when the catalog has to read
// the store to get what the change does not say.
func (c *Catalog) takeChange(f follower, at *cursor, x Change) bool {
	if x.Version <= at.after {
		return true
	}
	if x.After > at.after || x.Omitted {
		return false
	}
	l := platform.Listing{Version: x.Version}
	for _, o := range x.Objects {
		// A removal holds whatever was read since, unless the name came back; the
		// list of servers looks at its version.
		if o.Deleted || o.Version > at.after {
			l.Objects = append(l.Objects, o)
		}
	}
	f.take(l)
	at.after = x.Version
	return true
}

// publish tells others what an exact read found.
func (c *Catalog) publish(prefix string, after int64, l platform.Listing) {
	if c.opts.Tell == nil || !c.leads(time.Now()) {
		return
	}
	x := Change{Prefix: prefix, After: after, Version: l.Version, Omitted: l.Malformed > 0}
	switch {
	case l.Full:
		// Those who have not come as far read the store.
		x.After = l.Version
	case prefix == platform.ServerPrefix:
		x.Objects = l.Objects
	default:
		// A configuration may be too long to be sent to all at once.
		x.Omitted = x.Omitted || len(l.Objects) > 0
	}
	c.opts.Tell(x)
}
