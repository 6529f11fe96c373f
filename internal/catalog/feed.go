package catalog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// maxConfirmations bounds the confirmations that wait for the catalog to reach
	// their version, keptChanges the changes that wait to be taken.
	maxConfirmations = 8
	maxQueuedChanges = 64
	// serverFeedFreshness is how old the newest exact read of the servers by another VM may
	// be for this one to rely on being told: a notice is of use for a second or
	// two. For the configuration it is the time between two exact reads.
	serverFeedFreshness = 1600 * time.Millisecond
	// leaderServerWait is the longest wait of one exact read of the servers that is made
	// for others, configShare that of the configuration and aloneShare that of a VM
	// that has no others, as shares of the time between two exact reads.
	leaderServerWait      = 400 * time.Millisecond
	leaderConfigWaitShare = 0.4
	singleVMWaitShare     = 0.8
	// behindCallInterval is the least time between two reads of what was not told.
	behindCallInterval = 250 * time.Millisecond
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

// peerFeed is what other VMs tell of one prefix.
type peerFeed struct {
	changes chan Change
	// wake gets a token with each confirmation.
	wake chan struct{}

	mu            sync.Mutex
	confirmations []Confirmation // in the order in which they came; none covers another
}

func newPeerFeed() *peerFeed {
	return &peerFeed{changes: make(chan Change, maxQueuedChanges), wake: make(chan struct{}, 1)}
}

func (f *peerFeed) addConfirmation(confirmation Confirmation) {
	if !f.storeConfirmation(confirmation) {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// storeConfirmation adds a confirmation. It reports false when one that is kept says as much:
// VMs repeat their last read until the next.
func (f *peerFeed) storeConfirmation(confirmation Confirmation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.ContainsFunc(f.confirmations, func(kept Confirmation) bool { return kept.covers(confirmation) }) {
		return false
	}
	f.confirmations = slices.DeleteFunc(f.confirmations, confirmation.covers)
	if len(f.confirmations) == maxConfirmations {
		f.confirmations = f.confirmations[1:]
	}
	f.confirmations = append(f.confirmations, confirmation)
	return true
}

// covers reports whether a confirmation says all that another does.
func (c Confirmation) covers(other Confirmation) bool {
	return c.Version <= other.Version && !c.At.Before(other.At)
}

// sleep waits for a while, or until another VM tells of an exact read. It reports
// false when the context ended.
func (f *peerFeed) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// confirmedAt returns when a catalog that has reached a version was last known
// to be current; zero when none of the confirmations says so.
func (f *peerFeed) confirmedAt(version int64) time.Time {
	return f.newest(func(confirmation Confirmation) bool { return confirmation.Version <= version })
}

// lastReadAt returns when another VM last read exactly; zero when none did.
func (f *peerFeed) lastReadAt() time.Time {
	return f.newest(func(Confirmation) bool { return true })
}

func (f *peerFeed) newest(match func(Confirmation) bool) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest time.Time
	for _, confirmation := range f.confirmations {
		if match(confirmation) && confirmation.At.After(newest) {
			newest = confirmation.At
		}
	}
	return newest
}

// ReceiveConfirmation takes another VM's exact read of a prefix: what it read was current
// at some moment not before At. A catalog that has reached the same version
// needs no exact read of its own for a while.
func (c *Catalog) ReceiveConfirmation(prefix string, confirmation Confirmation) {
	if feed, ok := c.feeds[prefix]; ok {
		feed.addConfirmation(confirmation)
	}
}

// ReceiveChange takes what another VM read exactly. It does not block: a change that
// finds no room is read in the store instead.
func (c *Catalog) ReceiveChange(change Change) {
	feed, ok := c.feeds[change.Prefix]
	if !ok {
		return
	}
	select {
	case feed.changes <- change:
	default:
	}
}

// SetLeader makes this catalog read exactly, and tell a number of others what it
// read, until a moment.
func (c *Catalog) SetLeader(until time.Time, followers int) {
	c.leaderUntil.Store(until.UnixNano())
	c.followers.Store(int64(followers))
}

// IsLeader reports whether others rely on the exact reads of this catalog.
func (c *Catalog) IsLeader() bool { return c.isLeaderAt(time.Now()) }

// leaderWait is the longest wait of one exact read by a catalog that leads.
func (c *Catalog) leaderWait(prefix string) time.Duration {
	switch {
	case c.followers.Load() == 0:
		return time.Duration(float64(c.linearizableInterval) * singleVMWaitShare)
	case prefix == platform.ConfigKind:
		return time.Duration(float64(c.linearizableInterval) * leaderConfigWaitShare)
	}
	return leaderServerWait
}

// feedFreshness is how long an exact read of another VM is relied on.
func (c *Catalog) feedFreshness(prefix string) time.Duration {
	if prefix == platform.ConfigKind {
		return c.linearizableInterval
	}
	return serverFeedFreshness
}

func (c *Catalog) isLeaderAt(now time.Time) bool { return now.UnixNano() < c.leaderUntil.Load() }

// feedCurrentUntil returns until when a follower needs no read of its own: what it is
// told is fresh, and its own word was confirmed lately.
func (c *Catalog) feedCurrentUntil(now time.Time, prefix string, cur *cursor) time.Time {
	if cur.version < 0 || c.isLeaderAt(now) {
		return time.Time{}
	}
	until := c.feeds[prefix].lastReadAt().Add(c.feedFreshness(prefix))
	if due := cur.linearizableAt.Add(c.linearizableInterval); due.Before(until) {
		until = due
	}
	return until
}

// consumeFeed takes what another VM reads, until this one has to read by itself:
// what it is told is old, leaves something out, or does not confirm its word.
func (c *Catalog) consumeFeed(ctx context.Context, handler prefixHandler, cur *cursor) {
	feed := c.feeds[handler.prefix]
	for {
		cur.applyConfirmations(feed)
		now := time.Now()
		until := c.feedCurrentUntil(now, handler.prefix, cur)
		if !now.Before(until) {
			return
		}
		if cur.storeDown {
			c.markRecovered(handler, cur, platform.Listing{Version: cur.version}, "peer")
		}
		timer := time.NewTimer(until.Sub(now))
		select {
		case change := <-feed.changes:
			cur.behind = !c.applyChange(handler, cur, change)
		case <-feed.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if cur.behind || ctx.Err() != nil {
			return
		}
	}
}

// applyChange applies a change. It reports false when the catalog has to read
// the store to get what the change does not say.
func (c *Catalog) applyChange(handler prefixHandler, cur *cursor, change Change) bool {
	if change.Version <= cur.version {
		return true
	}
	if change.After > cur.version || change.Omitted {
		return false
	}
	listing := platform.Listing{Version: change.Version}
	for _, object := range change.Objects {
		// A removal holds whatever was read since, unless the name came back; the
		// list of servers looks at its version.
		if object.Deleted || object.Version > cur.version {
			listing.Objects = append(listing.Objects, object)
		}
	}
	handler.apply(listing)
	cur.version = change.Version
	return true
}

// publish tells others what an exact read found.
func (c *Catalog) publish(prefix string, after int64, listing platform.Listing) {
	if c.opts.Publish == nil || !c.isLeaderAt(time.Now()) {
		return
	}
	change := Change{Prefix: prefix, After: after, Version: listing.Version, Omitted: listing.Unread > 0}
	switch {
	case listing.Full:
		// Those who have not come as far read the store.
		change.After = listing.Version
	case prefix == platform.ServerKind:
		change.Objects = listing.Objects
	default:
		// A configuration may be too long to be sent to all at once.
		change.Omitted = change.Omitted || len(listing.Objects) > 0
	}
	c.opts.Publish(change)
}
