// Package catalog watches the gateway command's configuration and list of backend
// servers in the platform's store. The latest state stays in use while the store is
// unavailable, and an older configuration never replaces a newer one.
//
// A stale read may return old data, at a tenth of the cost of a linearizable read. One
// VM of each region, the leader, therefore reads linearizably and publishes what it
// read to the other VMs, its followers. A follower uses stale reads or the leader's
// changes. Apart from its first listing and the time during and after an outage of the
// store, it makes a linearizable read only when no other VM has confirmed its version
// within the last linearizableInterval.
package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// watchTimeout bounds one long-polling watch, and thereby the time until a broken
	// connection to the store is noticed.
	watchTimeout = 3 * time.Second
	// linearizableShare is the longest time between two linearizable reads as a share of
	// PropagationBound. The rest of the bound is left for that read and the next.
	linearizableShare = 2.0 / 3
	// evacuationShare is linearizableShare for evacuations, as a share of EvacuationBound: they are
	// rare, and the second read is not needed.
	evacuationShare = 0.85
	// staleWaitShare is the longest wait of one stale watch as a share of
	// linearizableInterval.
	staleWaitShare = 0.3
	// linearizableOnlyPeriod is how long stale reads are avoided after an outage of the
	// store or after it dropped the history of changes.
	linearizableOnlyPeriod = 15 * time.Second
	// minCallInterval is the minimum interval between two calls to the store. It
	// batches changes that follow each other closely; the first of them is returned
	// without delay.
	minCallInterval = 100 * time.Millisecond
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 800 * time.Millisecond
	// maxRetryDelayWithFeed replaces maxRetryDelay if another VM confirmed a read within
	// recentFeedPeriod: it will probably report that the store is available again.
	maxRetryDelayWithFeed = 2 * time.Second
	recentFeedPeriod      = 30 * time.Second
	// expireInterval is the interval at which expired grace periods are checked.
	expireInterval = 250 * time.Millisecond
)

// Options configures a Catalog.
type Options struct {
	Store *platform.Client
	Log   *log.Logger
	// PropagationBound is the time within which a change of the configuration or of a server must
	// take effect, EvacuationBound that for an evacuation.
	PropagationBound, EvacuationBound time.Duration
	// BeginRead is called before each linearizable read of a prefix. The function that
	// it returns is called with the version that was read. It may be nil.
	BeginRead func(prefix string) func(version int64)
	// Publish is called with the result of each linearizable read that this catalog
	// makes as leader, even if nothing changed. It must not block. It may be nil.
	Publish func(Change)
	// OnState is called with each newer configuration, OnServers with each set of
	// server changes, both from goroutines of the catalog.
	OnState   func(*routing.State)
	OnServers func([]ServerChange)
	// OnEvacuations is called with each set of evacuated data centres that differs from the one
	// before, from a goroutine of the catalog. If it is nil, evacuations are not read.
	OnEvacuations func(dataCentres map[string]bool)
	// OnStoreCall is called after each call to the store. It may be nil.
	OnStoreCall func(prefix string, linearizable bool, status platform.Status)
	// OnStoreRestored is called when the store has come back from an older copy, once for each
	// prefix. It must not block. It may be nil.
	OnStoreRestored func()
	// OnServersUnavailable is called when the server list cannot be read any more. It must
	// not block. It may be nil.
	OnServersUnavailable func()
}

// Catalog holds the latest state read from the store. Run keeps it current.
type Catalog struct {
	opts               Options
	state              atomic.Pointer[routing.State]
	serversUnavailable atomic.Bool
	storeCalls         atomic.Int64
	staleStore         *platform.Client
	feeds              map[string]*peerFeed // by prefix; the map itself is never modified
	leaderUntil        atomic.Int64         // Unix ns
	followers          atomic.Int64
}

// New returns an empty catalog; Run fills it.
func New(opts Options) *Catalog {
	if opts.OnStoreRestored == nil {
		opts.OnStoreRestored = func() {}
	}
	c := &Catalog{
		opts: opts, staleStore: opts.Store.WithStaleReads(),
		feeds: map[string]*peerFeed{platform.ConfigPrefix: newPeerFeed(), platform.ServerPrefix: newPeerFeed()},
	}
	if opts.OnEvacuations != nil {
		c.feeds[platform.EvacuationPrefix] = newPeerFeed()
	}
	return c
}

// linearizableInterval is the longest time between two linearizable reads of a prefix.
func (c *Catalog) linearizableInterval(prefix string) time.Duration {
	if prefix == platform.EvacuationPrefix {
		return time.Duration(float64(c.opts.EvacuationBound) * evacuationShare)
	}
	return time.Duration(float64(c.opts.PropagationBound) * linearizableShare)
}

// State returns the newest configuration, or nil before the first one was read.
func (c *Catalog) State() *routing.State { return c.state.Load() }

// ServersUnavailable reports whether the server list cannot be read at present.
func (c *Catalog) ServersUnavailable() bool { return c.serversUnavailable.Load() }

// StoreCalls returns the number of calls made to the store.
func (c *Catalog) StoreCalls() int64 { return c.storeCalls.Load() }

// Run watches the store until the context ends.
func (c *Catalog) Run(ctx context.Context) {
	var others sync.WaitGroup
	others.Go(func() {
		c.watchPrefix(ctx, prefixHandler{prefix: platform.ConfigPrefix, apply: c.applyConfig, storeLost: func() {}, storeRecovered: func() {}})
	})
	if c.opts.OnEvacuations != nil {
		evacuations := newEvacuations()
		others.Go(func() {
			c.watchPrefix(ctx, prefixHandler{prefix: platform.EvacuationPrefix, mayBeginStale: true, restoreDelay: removalGrace, storeLost: func() {}, storeRecovered: func() {}, apply: func(listing platform.Listing) {
				if evacuations.apply(listing) {
					c.opts.OnEvacuations(evacuations.dataCentres())
				}
			}})
		})
	}
	servers := &serverLoop{ctx: ctx, catalog: c, servers: NewServers(), updates: make(chan serverUpdate)}
	go servers.run()
	c.watchPrefix(ctx, prefixHandler{prefix: platform.ServerPrefix, apply: servers.apply, storeLost: servers.storeLost, storeRecovered: servers.storeRecovered})
	others.Wait()
}

// prefixHandler processes the changes below one prefix.
type prefixHandler struct {
	prefix string
	apply  func(platform.Listing)
	// storeLost is called after each failed call, storeRecovered when changes can be
	// read again.
	storeLost, storeRecovered func()
	// mayBeginStale is set if the first listing may be seconds old. A linearizable read, here or
	// by another VM, follows within linearizableInterval.
	mayBeginStale bool
	// restoreDelay is the time after a restoration of the store for which the last known objects
	// hold, as others write them again.
	restoreDelay time.Duration
}

// cursor is the progress of watching one prefix.
type cursor struct {
	// version is the store version up to which all changes were applied; negative before
	// the first listing.
	version int64
	// storeDown is set while calls to the store fail.
	storeDown bool
	// linearizableAt is when version was last known to be current, by a linearizable read
	// of this VM or of another one. Until linearizableOnlyUntil stale reads are avoided.
	linearizableAt, linearizableOnlyUntil time.Time
	// calledAt is when the last call began.
	calledAt time.Time
	// cutOff is set when the last watch was cut off, until the next call.
	cutOff bool
	// behind is set when another VM reported a change whose objects this VM lacks.
	behind bool
}

// applyConfirmations accepts linearizable reads of other VMs in place of this VM's own.
func (c *cursor) applyConfirmations(feed *peerFeed) {
	if at := feed.confirmedAt(c.version); at.After(c.linearizableAt) {
		c.linearizableAt = at
	}
}

// needsLinearizable reports whether the next read must be linearizable.
func (c *cursor) needsLinearizable(now time.Time, interval time.Duration) bool {
	if c.version < 0 || c.storeDown || now.Sub(c.linearizableAt) >= interval {
		return true
	}
	return now.Before(c.linearizableOnlyUntil) && !c.behind
}

// watchPrefix lists a prefix and then watches it until the context ends.
func (c *Catalog) watchPrefix(ctx context.Context, handler prefixHandler) {
	delay := minRetryDelay
	cur := &cursor{version: -1}
	feed := c.feeds[handler.prefix]
	for ctx.Err() == nil {
		c.consumeFeed(ctx, handler, cur)
		if !sleep.Until(ctx, cur.calledAt.Add(cur.callInterval())) {
			return
		}
		cur.calledAt = time.Now()
		beginsStale := handler.mayBeginStale && cur.version < 0 && cur.linearizableAt.IsZero() && !cur.storeDown
		linearizable := !beginsStale && (c.isLeaderAt(cur.calledAt) || cur.needsLinearizable(cur.calledAt, c.linearizableInterval(handler.prefix)))
		endRead := c.beginRead(handler.prefix, linearizable)
		readCtx, end := ctx, context.CancelFunc(func() {})
		if cur.version >= 0 {
			readCtx, end = feed.beginRead(ctx)
		}
		listing, status := c.readStore(readCtx, handler, cur, linearizable)
		interrupted := readCtx.Err() != nil && ctx.Err() == nil
		end()
		if c.opts.OnStoreCall != nil {
			c.opts.OnStoreCall(handler.prefix, linearizable, status)
		}
		if status == platform.CutOff && !cur.cutOff && !cur.storeDown && !interrupted {
			// The store may cut off watches that wait while it is available. It counts as unavailable
			// if the next call, which does not wait, fails too.
			cur.cutOff = true
			continue
		}
		cur.cutOff = false
		now := time.Now()
		switch status {
		case platform.OK:
		case platform.Gone:
			c.opts.Log.Info().Str("event", "historyGone").Str("prefix", handler.prefix).Int64("after", cur.version).Msg("")
			cur.version = -1
			cur.linearizableOnlyUntil = now.Add(linearizableOnlyPeriod)
			continue
		case platform.Restored:
			c.opts.Log.Warn().Str("event", "storeRestored").Str("prefix", handler.prefix).Int64("after", cur.version).Msg("")
			c.opts.OnStoreRestored()
			handler.storeLost()
			cur.version, cur.storeDown = -1, true
			cur.linearizableOnlyUntil = now.Add(linearizableOnlyPeriod)
			if !sleep.For(ctx, handler.restoreDelay) {
				return
			}
			continue
		default:
			if ctx.Err() != nil {
				return
			}
			if interrupted {
				continue
			}
			if !cur.storeDown {
				cur.storeDown = true
				c.opts.Log.Warn().Str("event", "storeLost").Str("prefix", handler.prefix).Str("status", status.String()).Int64("after", cur.version).Msg("")
			}
			handler.storeLost()
			if !feed.sleepUntilConfirmation(ctx, delay/2+time.Duration(rand.Int64N(int64(delay)))) {
				return
			}
			delay = min(2*delay, c.retryDelayLimit(now, feed))
			continue
		}
		if cur.storeDown {
			cur.linearizableOnlyUntil = now.Add(linearizableOnlyPeriod)
			c.markRecovered(handler, cur, listing, "store")
		}
		delay = minRetryDelay
		if listing.Malformed > 0 {
			c.opts.Log.Warn().Str("event", "entriesUnread").Str("prefix", handler.prefix).Int("count", listing.Malformed).Msg("")
		}
		handler.apply(listing)
		if beginsStale {
			cur.linearizableAt = now
		}
		if linearizable {
			cur.linearizableAt = now
			endRead(listing.Version)
			c.publish(handler.prefix, cur.version, listing)
		}
		cur.version = max(cur.version, listing.Version)
		cur.behind = false
	}
}

// callInterval is the minimum interval between two calls to the store.
func (c *cursor) callInterval() time.Duration {
	if c.behind {
		return behindCallInterval
	}
	return minCallInterval
}

// retryDelayLimit is the upper bound of the backoff after failed calls.
func (c *Catalog) retryDelayLimit(now time.Time, feed *peerFeed) time.Duration {
	if c.isLeaderAt(now) || now.Sub(feed.lastReadAt()) > recentFeedPeriod {
		return maxRetryDelay
	}
	return maxRetryDelayWithFeed
}

// markRecovered records that changes in the store can be read again. source is "store"
// if this VM read them itself and "peer" if another VM sent them.
func (c *Catalog) markRecovered(handler prefixHandler, cur *cursor, listing platform.Listing, source string) {
	cur.storeDown = false
	handler.storeRecovered()
	c.opts.Log.Info().Str("event", "storeRegained").Str("prefix", handler.prefix).Int64("version", listing.Version).
		Str("source", source).Msg("")
}

// beginRead returns the function to call with the version that was read; it does nothing
// for a stale read.
func (c *Catalog) beginRead(prefix string, linearizable bool) func(int64) {
	if !linearizable || c.opts.BeginRead == nil {
		return func(int64) {}
	}
	return c.opts.BeginRead(prefix)
}

// readStore makes one call to the store. The call does not wait for changes when the
// store was unavailable, as a watch that hangs would delay the recovery, when the last watch
// was cut off, or when earlier stale reads have to be confirmed.
func (c *Catalog) readStore(ctx context.Context, handler prefixHandler, cur *cursor, linearizable bool) (platform.Listing, platform.Status) {
	prefix := handler.prefix
	c.storeCalls.Add(1)
	now := time.Now()
	switch {
	case cur.version < 0 && !linearizable:
		return c.staleStore.List(ctx, prefix)
	case cur.version < 0:
		return c.opts.Store.ListPages(ctx, prefix, func(page []platform.Object) {
			// Use each page while the next one is being read.
			handler.apply(platform.Listing{Objects: page})
		})
	case (cur.behind || cur.cutOff) && !linearizable:
		return c.staleStore.Watch(ctx, prefix, cur.version, now)
	case cur.cutOff:
		return c.opts.Store.Watch(ctx, prefix, cur.version, now)
	case !linearizable:
		// Return before linearizableInterval is over, so that confirmations received
		// from other VMs meanwhile can be applied.
		until := cur.linearizableAt.Add(c.linearizableInterval(prefix))
		if limit := now.Add(time.Duration(float64(c.linearizableInterval(prefix)) * staleWaitShare)); limit.Before(until) {
			until = limit
		}
		return c.staleStore.Watch(ctx, prefix, cur.version, until)
	case c.isLeaderAt(now) && !cur.storeDown:
		return c.opts.Store.Watch(ctx, prefix, cur.version, now.Add(c.leaderWait(prefix)))
	case now.Before(cur.linearizableOnlyUntil) && !cur.storeDown:
		return c.opts.Store.Watch(ctx, prefix, cur.version, now.Add(watchTimeout))
	}
	return c.opts.Store.Watch(ctx, prefix, cur.version, now)
}

// applyConfig applies the configuration if it is newer than the current one.
func (c *Catalog) applyConfig(listing platform.Listing) {
	for _, object := range listing.Objects {
		if !platform.IsActiveConfig(object.Key) || object.Deleted {
			continue
		}
		state, warnings, err := platform.DecodeState(object.Value)
		if err != nil {
			c.opts.Log.Error().Str("event", "configUnread").Int64("storeVersion", object.Version).Str("reason", err.Error()).Msg("")
			continue
		}
		old := c.state.Load()
		if old != nil && state.Version <= old.Version {
			continue
		}
		for _, warning := range warnings {
			c.opts.Log.Warn().Str("event", "configPartUnread").Int64("version", state.Version).Str("reason", warning).Msg("")
		}
		state.HadWorkspaces = old != nil && (old.HadWorkspaces || len(old.Workspaces) > 0)
		c.state.Store(state)
		c.opts.OnState(state)
		c.opts.Log.Info().Str("event", "configInForce").Int64("version", state.Version).Int("routes", len(state.Routes)).
			Int("services", len(state.Services)).Int("workspaces", len(state.Workspaces)).Int64("storeVersion", object.Version).Msg("")
	}
}

// serverUpdate is an input of serverLoop.
type serverUpdate struct {
	// listing is nil when the store is unavailable.
	listing *platform.Listing
	// applied is closed once the update has taken effect.
	applied chan struct{}
}

// serverLoop owns the merged server list. Only its goroutine accesses servers.
type serverLoop struct {
	ctx     context.Context
	catalog *Catalog
	servers *Servers
	updates chan serverUpdate
}

func (l *serverLoop) run() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case update := <-l.updates:
			l.applyListing(time.Now(), update.listing)
			close(update.applied)
		case <-ticker.C:
			l.publish(l.servers.Expire(time.Now()))
		}
	}
}

func (l *serverLoop) applyListing(now time.Time, listing *platform.Listing) {
	if listing == nil {
		l.servers.StoreUnavailable(now)
		return
	}
	l.publish(l.servers.Apply(now, *listing))
}

// submit passes an update to the loop and waits until it has taken effect.
func (l *serverLoop) submit(listing *platform.Listing) {
	update := serverUpdate{listing: listing, applied: make(chan struct{})}
	select {
	case l.updates <- update:
		<-update.applied
	case <-l.ctx.Done():
	}
}

func (l *serverLoop) apply(listing platform.Listing) { l.submit(&listing) }

func (l *serverLoop) storeRecovered() { l.catalog.serversUnavailable.Store(false) }

func (l *serverLoop) storeLost() {
	if !l.catalog.serversUnavailable.Swap(true) && l.catalog.opts.OnServersUnavailable != nil {
		l.catalog.opts.OnServersUnavailable()
	}
	l.submit(nil)
}

// publish logs changes of state and passes all changes on.
func (l *serverLoop) publish(changes []ServerChange) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		if change.SameState {
			continue
		}
		line := l.catalog.opts.Log.Info().Str("event", "server").Str("server", change.ID)
		if change.Err != nil {
			line.Str("belief", "unread").Str("reason", change.Err.Error()).Msg("")
			continue
		}
		line.Str("service", change.Server.Service).Str("address", change.Server.Address).Str("dataCentre", change.Server.DataCentre).
			Str("belief", change.state()).Msg("")
	}
	l.catalog.opts.OnServers(changes)
}

// state returns the server's new state as it appears in log lines.
func (c ServerChange) state() string {
	switch {
	case c.Removed:
		return "gone"
	case c.InGrace:
		return "lapsed"
	case c.Server.Leaving:
		return "leaving"
	}
	return "ready"
}
