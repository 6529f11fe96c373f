// Package catalog follows the configuration and the list of backend servers in
// the platform's store. What it has learned stays in use while the store is
// away, and it never goes back to an older configuration.
package catalog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// watchTimeout bounds one waiting watch, and so the time for which a silent
	// connection to the store goes unseen.
	watchTimeout = 3 * time.Second
	// linearizableShare is the share of the bound on a change after which reads that
	// the store answers from the past, at a tenth of the price, are confirmed by
	// an exact one. The rest is for that call and the next.
	linearizableShare = 2.0 / 3
	// staleWaitShare is the longest wait of one read from the past, as a share of the
	// time between two exact reads.
	staleWaitShare = 0.3
	// linearizableOnlyPeriod is how long only exact reads are made after a call that failed or
	// a history that was dropped.
	linearizableOnlyPeriod = 15 * time.Second
	// minCallInterval is the least time between two calls, in which changes that come
	// close together are gathered; the first of them is told at once.
	minCallInterval = 100 * time.Millisecond
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = 800 * time.Millisecond
	// maxRetryDelayWithFeed is the longest pause of a VM that was told by another within
	// fedMemory, and so is likely to hear of the store's return.
	maxRetryDelayWithFeed = 2 * time.Second
	recentFeedPeriod      = 30 * time.Second
	expireInterval        = 250 * time.Millisecond
)

// Options describes a catalog.
type Options struct {
	Store *platform.Client
	Log   *log.Logger
	// PropagationBound is the time in which a change must be in force.
	PropagationBound time.Duration
	// BeginRead is called before each exact read of a prefix; what it returns is
	// called with the version that was read. It may be nil.
	BeginRead func(prefix string) func(version int64)
	// Publish gets what this catalog reads for others; it does not block. It may be
	// nil.
	Publish func(Change)
	// OnState is called with each newer configuration, Servers with the servers that
	// changed, both from goroutines of the catalog.
	OnState   func(*routing.State)
	OnServers func([]ServerChange)
}

// Catalog follows the store while Run runs.
type Catalog struct {
	opts                 Options
	state                atomic.Pointer[routing.State]
	serversUnavailable   atomic.Bool
	storeCalls           atomic.Int64
	staleStore           *platform.Client
	linearizableInterval time.Duration
	feeds                map[string]*peerFeed // by prefix; the map is not changed
	leaderUntil          atomic.Int64         // Unix ns
	followers            atomic.Int64
}

// New returns a catalog that knows nothing yet.
func New(opts Options) *Catalog {
	return &Catalog{
		opts: opts, staleStore: opts.Store.Stale(), linearizableInterval: time.Duration(float64(opts.PropagationBound) * linearizableShare),
		feeds: map[string]*peerFeed{platform.ConfigKind: newPeerFeed(), platform.ServerKind: newPeerFeed()},
	}
}

// State returns the newest configuration; nil before the first.
func (c *Catalog) State() *routing.State { return c.state.Load() }

// ServersUnavailable reports whether the list of servers cannot be read now.
func (c *Catalog) ServersUnavailable() bool { return c.serversUnavailable.Load() }

// StoreCalls returns how many calls to the store were made.
func (c *Catalog) StoreCalls() int64 { return c.storeCalls.Load() }

// Run follows the store until the context ends.
func (c *Catalog) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.watchPrefix(ctx, prefixHandler{prefix: platform.ConfigKind, apply: c.applyConfig, storeLost: func() {}, storeRecovered: func() {}})
	}()
	servers := &serverLoop{ctx: ctx, catalog: c, servers: NewServers(), updates: make(chan serverUpdate)}
	go servers.run()
	c.watchPrefix(ctx, prefixHandler{prefix: platform.ServerKind, apply: servers.apply, storeLost: servers.storeLost, storeRecovered: servers.storeRecovered})
	<-done
}

// prefixHandler takes what changes below a prefix.
type prefixHandler struct {
	prefix string
	apply  func(platform.Listing)
	// storeLost and back tell that changes cannot be known and that they can again.
	storeLost, storeRecovered func()
}

// cursor is how far a prefix was followed.
type cursor struct {
	// version is the version up to which all is known; negative before the first
	// listing.
	version int64
	// storeDown is set while the store does not answer.
	storeDown bool
	// linearizableAt is when the last exact read was answered, mistrustUntil the end of
	// the time in which only exact reads are made.
	linearizableAt, linearizableOnlyUntil time.Time
	// calledAt is when the last call began.
	calledAt time.Time
	// behind is set when another VM told of a change without saying what it is.
	behind bool
}

// applyConfirmations counts the exact reads of other VMs for this one's.
func (c *cursor) applyConfirmations(feed *peerFeed) {
	if at := feed.confirmedAt(c.version); at.After(c.linearizableAt) {
		c.linearizableAt = at
	}
}

// needsLinearizable reports whether the next read must not be answered from the past.
func (c *cursor) needsLinearizable(now time.Time, interval time.Duration) bool {
	if c.version < 0 || c.storeDown || now.Sub(c.linearizableAt) >= interval {
		return true
	}
	return now.Before(c.linearizableOnlyUntil) && !c.behind
}

// watchPrefix lists a prefix and then watches it.
func (c *Catalog) watchPrefix(ctx context.Context, handler prefixHandler) {
	delay := minRetryDelay
	cur := &cursor{version: -1}
	feed := c.feeds[handler.prefix]
	for ctx.Err() == nil {
		c.consumeFeed(ctx, handler, cur)
		if !pause.Until(ctx, cur.calledAt.Add(cur.callInterval())) {
			return
		}
		cur.calledAt = time.Now()
		linearizable := c.isLeaderAt(cur.calledAt) || cur.needsLinearizable(cur.calledAt, c.linearizableInterval)
		done := c.beginRead(handler.prefix, linearizable)
		listing, status := c.readStore(ctx, handler, cur, linearizable)
		now := time.Now()
		switch status {
		case platform.OK:
		case platform.Gone:
			c.opts.Log.Info().Str("event", "historyGone").Str("prefix", handler.prefix).Int64("after", cur.version).Msg("")
			cur.version = -1
			cur.linearizableOnlyUntil = now.Add(linearizableOnlyPeriod)
			continue
		default:
			if ctx.Err() != nil {
				return
			}
			if !cur.storeDown {
				cur.storeDown = true
				c.opts.Log.Warn().Str("event", "storeLost").Str("prefix", handler.prefix).Str("status", status.String()).Int64("after", cur.version).Msg("")
			}
			handler.storeLost()
			if !feed.sleep(ctx, delay/2+time.Duration(rand.Int64N(int64(delay)))) {
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
		if listing.Unread > 0 {
			c.opts.Log.Warn().Str("event", "entriesUnread").Str("prefix", handler.prefix).Int("count", listing.Unread).Msg("")
		}
		handler.apply(listing)
		if linearizable {
			cur.linearizableAt = now
			done(listing.Version)
			c.publish(handler.prefix, cur.version, listing)
		}
		cur.version = max(cur.version, listing.Version)
		cur.behind = false
	}
}

// callInterval is the least time between two calls.
func (c *cursor) callInterval() time.Duration {
	if c.behind {
		return behindCallInterval
	}
	return minCallInterval
}

// retryDelayLimit bounds the pauses between calls that fail.
func (c *Catalog) retryDelayLimit(now time.Time, feed *peerFeed) time.Duration {
	if c.isLeaderAt(now) || now.Sub(feed.lastReadAt()) > recentFeedPeriod {
		return maxRetryDelay
	}
	return maxRetryDelayWithFeed
}

// markRecovered notes that what changes in the store is known again.
func (c *Catalog) markRecovered(handler prefixHandler, cur *cursor, listing platform.Listing, source string) {
	cur.storeDown = false
	handler.storeRecovered()
	c.opts.Log.Info().Str("event", "storeRegained").Str("prefix", handler.prefix).Int64("version", listing.Version).
		Str("source", source).Msg("")
}

// beginRead returns what an exact read ends with.
func (c *Catalog) beginRead(prefix string, linearizable bool) func(int64) {
	if !linearizable || c.opts.BeginRead == nil {
		return func(int64) {}
	}
	return c.opts.BeginRead(prefix)
}

// readStore makes one call. A store that was lost is asked for an answer at once:
// one that is silent must not hold a waiting watch beyond its return. So is one
// whose word from the past has to be confirmed.
func (c *Catalog) readStore(ctx context.Context, handler prefixHandler, cur *cursor, linearizable bool) (platform.Listing, platform.Status) {
	prefix := handler.prefix
	c.storeCalls.Add(1)
	now := time.Now()
	switch {
	case cur.version < 0:
		return c.opts.Store.ListPages(ctx, prefix, func(page []platform.Object) {
			// What is there can be used while the rest is on its way.
			handler.apply(platform.Listing{Objects: page})
		})
	case cur.behind && !linearizable:
		return c.staleStore.Watch(ctx, prefix, cur.version, now)
	case !linearizable:
		// It ends in time for what other VMs confirm meanwhile to be of use.
		until := cur.linearizableAt.Add(c.linearizableInterval)
		if slice := now.Add(time.Duration(float64(c.linearizableInterval) * staleWaitShare)); slice.Before(until) {
			until = slice
		}
		return c.staleStore.Watch(ctx, prefix, cur.version, until)
	case c.isLeaderAt(now) && !cur.storeDown:
		return c.opts.Store.Watch(ctx, prefix, cur.version, now.Add(c.leaderWait(prefix)))
	case now.Before(cur.linearizableOnlyUntil) && !cur.storeDown:
		return c.opts.Store.Watch(ctx, prefix, cur.version, now.Add(watchTimeout))
	}
	return c.opts.Store.Watch(ctx, prefix, cur.version, now)
}

func (c *Catalog) applyConfig(listing platform.Listing) {
	for _, object := range listing.Objects {
		if !platform.IsMain(object.Key) || object.Deleted {
			continue
		}
		state, warnings, err := platform.ReadState(object.Value)
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
		c.state.Store(state)
		c.opts.OnState(state)
		c.opts.Log.Info().Str("event", "configInForce").Int64("version", state.Version).Int("routes", len(state.Routes)).
			Int("services", len(state.Services)).Int("workspaces", len(state.Workspaces)).Int64("storeVersion", object.Version).Msg("")
	}
}

// serverUpdate is an input of the merged list: a listing, or nil when the store
// does not answer.
type serverUpdate struct {
	listing *platform.Listing
	// applied is closed once the message has had its effect.
	applied chan struct{}
}

// serverLoop owns the merged list; its goroutine alone touches it.
type serverLoop struct {
	ctx     context.Context
	catalog *Catalog
	servers *Servers
	updates chan serverUpdate
}

func (l *serverLoop) run() {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case update := <-l.updates:
			l.applyListing(time.Now(), update.listing)
			close(update.applied)
		case <-t.C:
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

// submit gives the list a message and waits until it has had its effect.
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
	l.catalog.serversUnavailable.Store(true)
	l.submit(nil)
}

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
