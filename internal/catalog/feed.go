package catalog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// maxConfirmations limits the confirmations kept until the catalog reaches their
	// version, maxQueuedChanges the changes that wait to be applied.
	maxConfirmations = 8
	maxQueuedChanges = 64
	// serverFeedFreshness is the age up to which another VM's linearizable read of the
	// server list makes this VM rely on receiving changes from it. It is short because
	// a shutdown notice is useful for only a second or two. For other prefixes the age is
	// linearizableInterval.
	serverFeedFreshness = 1600 * time.Millisecond
	// leaderServerWait is the longest wait of one watch of the server list by a leader,
	// leaderConfigWaitShare of one watch of the configuration. singleVMWaitShare is for
	// a leader without followers. The shares are of linearizableInterval.
	leaderServerWait      = 400 * time.Millisecond
	leaderConfigWaitShare = 0.4
	singleVMWaitShare     = 0.8
	// behindCallInterval replaces minCallInterval while cursor.behind is set.
	behindCallInterval = 250 * time.Millisecond
)

// Confirmation is the result of another VM's linearizable read: at some time not before
// At, Version was the store's latest version.
type Confirmation struct {
	Version int64
	At      time.Time
}

// Change is what a linearizable read found below a prefix.
type Change struct {
	Prefix string
	// The change covers the store versions from After, exclusive, to Version.
	After, Version int64
	// Objects holds the changed objects in the order of their changes.
	Objects []platform.Object
	// Omitted is set when Objects does not hold all changes.
	Omitted bool
}

// peerFeed holds what other VMs sent about one prefix.
type peerFeed struct {
	changes chan Change
	// wake receives a token when a confirmation is added.
	wake chan struct{}

	mu            sync.Mutex
	confirmations []Confirmation // in order of arrival; none covers another
	// endRead ends the read of the store that is in progress; nil if there is none, or if it is the
	// first one.
	endRead context.CancelFunc
}

func newPeerFeed() *peerFeed {
	return &peerFeed{changes: make(chan Change, maxQueuedChanges), wake: make(chan struct{}, 1)}
}

// confirm adds a confirmation and wakes the goroutine that watches the prefix, unless
// an earlier confirmation covers it.
func (f *peerFeed) confirm(confirmation Confirmation) {
	if !f.addConfirmation(confirmation) {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// addConfirmation reports false when an earlier confirmation covers the new one, as
// VMs send their latest read repeatedly until the next one.
func (f *peerFeed) addConfirmation(confirmation Confirmation) bool {
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

// covers reports whether c makes other redundant: it confirms the same or an earlier
// version at the same or a later time.
func (c Confirmation) covers(other Confirmation) bool {
	return c.Version <= other.Version && !c.At.Before(other.At)
}

// sleepUntilConfirmation waits until another VM confirms a read, but not longer than d.
// It reports false when the context has ended.
func (f *peerFeed) sleepUntilConfirmation(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// confirmedAt returns the latest time at which a catalog at the given version is
// confirmed to have been current, or zero if there is none.
func (f *peerFeed) confirmedAt(version int64) time.Time {
	return f.newest(func(confirmation Confirmation) bool { return confirmation.Version <= version })
}

// lastReadAt returns the time of the latest linearizable read of another VM, or zero if
// there is none.
func (f *peerFeed) lastReadAt() time.Time {
	return f.newest(func(Confirmation) bool { return true })
}

// newest returns the latest time of the confirmations that match.
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

// ReceiveConfirmation adds another VM's linearizable read of a prefix. A catalog that has
// reached the confirmed version needs no linearizable read of its own until
// linearizableInterval after At.
func (c *Catalog) ReceiveConfirmation(prefix string, confirmation Confirmation) {
	if feed, ok := c.feeds[prefix]; ok {
		feed.confirm(confirmation)
	}
}

// ReceiveChange queues a change that another VM read. It does not block: when the queue
// is full the change is dropped and will be read from the store.
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

// SetLeader makes this catalog the leader until the given time: it reads linearizably
// and publishes what it reads to the given number of followers.
func (c *Catalog) SetLeader(until time.Time, followers int) {
	began := !c.IsLeader()
	c.leaderUntil.Store(until.UnixNano())
	c.followers.Store(int64(followers))
	if !began {
		return
	}
	for _, feed := range c.feeds {
		feed.interruptRead()
	}
}

// beginRead returns the context of a read of the store, which ends when this VM becomes the leader:
// followers wait for what a leader reads, and a watch that began before may last for seconds.
func (f *peerFeed) beginRead(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	f.setEndRead(cancel)
	return ctx, func() {
		f.setEndRead(nil)
		cancel()
	}
}

func (f *peerFeed) setEndRead(end context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endRead = end
}

func (f *peerFeed) interruptRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endRead != nil {
		f.endRead()
	}
}

// IsLeader reports whether this catalog is the leader at present.
func (c *Catalog) IsLeader() bool { return c.isLeaderAt(time.Now()) }

// leaderWait is the longest wait of one watch by a leader.
func (c *Catalog) leaderWait(prefix string) time.Duration {
	switch {
	case c.followers.Load() == 0:
		return time.Duration(float64(c.linearizableInterval(prefix)) * singleVMWaitShare)
	case prefix != platform.ServerPrefix:
		return time.Duration(float64(c.linearizableInterval(prefix)) * leaderConfigWaitShare)
	}
	return leaderServerWait
}

// feedFreshness is how long after another VM's linearizable read this VM relies on
// receiving changes from it.
func (c *Catalog) feedFreshness(prefix string) time.Duration {
	if prefix != platform.ServerPrefix {
		return c.linearizableInterval(prefix)
	}
	return serverFeedFreshness
}

func (c *Catalog) isLeaderAt(now time.Time) bool { return now.UnixNano() < c.leaderUntil.Load() }

// feedCurrentUntil returns the time until which a follower needs no read of its own: the
// feed is fresh and the version of cur was confirmed recently. It is zero for a leader
// and before the first listing.
func (c *Catalog) feedCurrentUntil(now time.Time, prefix string, cur *cursor) time.Time {
	if cur.version < 0 || c.isLeaderAt(now) {
		return time.Time{}
	}
	until := c.feeds[prefix].lastReadAt().Add(c.feedFreshness(prefix))
	if due := cur.linearizableAt.Add(c.linearizableInterval(prefix)); due.Before(until) {
		until = due
	}
	return until
}

// consumeFeed applies the changes that other VMs read, until this VM has to read the
// store itself because the feed is stale, omits objects, or does not confirm the
// version of cur.
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

// applyChange applies a change of another VM. It reports false when the change lacks
// objects that the catalog has to read from the store.
func (c *Catalog) applyChange(handler prefixHandler, cur *cursor, change Change) bool {
	if change.Version <= cur.version {
		return true
	}
	if change.After > cur.version || change.Omitted {
		return false
	}
	listing := platform.Listing{Version: change.Version}
	for _, object := range change.Objects {
		// A removal also applies if a later version was read already, unless the server
		// has reappeared since; Servers.Apply compares the versions.
		if object.Deleted || object.Version > cur.version {
			listing.Objects = append(listing.Objects, object)
		}
	}
	handler.apply(listing)
	cur.version = change.Version
	return true
}

// publish passes the result of a linearizable read on if this catalog is the leader.
func (c *Catalog) publish(prefix string, after int64, listing platform.Listing) {
	if c.opts.Publish == nil || !c.isLeaderAt(time.Now()) {
		return
	}
	change := Change{Prefix: prefix, After: after, Version: listing.Version, Omitted: listing.Malformed > 0}
	switch {
	case listing.Full:
		// Followers at an older version read the store themselves.
		change.After = listing.Version
	case prefix != platform.ConfigPrefix:
		change.Objects = listing.Objects
	default:
		// A configuration may be too large to be sent to all followers at once.
		change.Omitted = change.Omitted || len(listing.Objects) > 0
	}
	c.opts.Publish(change)
}
