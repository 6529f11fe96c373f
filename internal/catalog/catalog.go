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
	// watchWait bounds one waiting watch, and so the time for which a silent
	// connection to the store goes unseen.
	watchWait = 3 * time.Second
	// exactShare is the share of the bound on a change after which reads that
	// the store answers from the past, at a tenth of the price, are confirmed by
	// an exact one. The rest is for that call and the next.
	exactShare = 2.0 / 3
	// sliceShare is the longest wait of one read from the past, as a share of the
	// time between two exact reads.
	sliceShare = 0.3
	// mistrust is how long only exact reads are made after a call that failed or
	// a history that was dropped.
	mistrust = 15 * time.Second
	// callEvery is the least time between two calls, in which changes that come
	// close together are gathered; the first of them is told at once.
	callEvery    = 100 * time.Millisecond
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// fedPause is the longest pause of a VM that was told by another within
	// fedMemory, and so is likely to hear of the store's return.
	fedPause    = 2 * time.Second
	fedMemory   = 30 * time.Second
	expireEvery = 250 * time.Millisecond
)

// Options describes a catalog.
type Options struct {
	Store *platform.Client
	Log   *log.Logger
	// Bound is the time in which a change must be in force.
	Bound time.Duration
	// ExactRead is called before each exact read of a prefix; what it returns is
	// called with the version that was read. It may be nil.
	ExactRead func(prefix string) func(version int64)
	// Tell gets what this catalog reads for others; it does not block. It may be
	// nil.
	Tell func(Change)
	// State is called with each newer configuration, Servers with the servers that
	// changed, both from goroutines of the catalog.
	State   func(*routing.State)
	Servers func([]Entry)
}

// Catalog follows the store while Run runs.
type Catalog struct {
	opts        Options
	state       atomic.Pointer[routing.State]
	serversLost atomic.Bool
	calls       atomic.Int64
	stale       *platform.Client
	exactEvery  time.Duration
	feeds       map[string]*feed // by prefix; the map is not changed
	leadUntil   atomic.Int64     // Unix ns
	followers   atomic.Int64
}

// New returns a catalog that knows nothing yet.
func New(o Options) *Catalog {
	return &Catalog{
		opts: o, stale: o.Store.WithStaleReads(), exactEvery: time.Duration(float64(o.Bound) * exactShare),
		feeds: map[string]*feed{platform.ConfigPrefix: newFeed(), platform.ServerPrefix: newFeed()},
	}
}

// State returns the newest configuration; nil before the first.
func (c *Catalog) State() *routing.State { return c.state.Load() }

// ServersLost reports whether the list of servers cannot be read now.
func (c *Catalog) ServersLost() bool { return c.serversLost.Load() }

// Calls returns how many calls to the store were made.
func (c *Catalog) Calls() int64 { return c.calls.Load() }

// Run follows the store until the context ends.
func (c *Catalog) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.follow(ctx, follower{prefix: platform.ConfigPrefix, take: c.takeConfig, away: func() {}, back: func() {}})
	}()
	list := &serverList{ctx: ctx, catalog: c, servers: NewServers(), messages: make(chan serverMessage)}
	go list.run()
	c.follow(ctx, follower{prefix: platform.ServerPrefix, take: list.take, away: list.away, back: list.back})
	<-done
}

// follower takes what changes below a prefix.
type follower struct {
	prefix string
	take   func(platform.Listing)
	// away and back tell that changes cannot be known and that they can again.
	away, back func()
}

// cursor is how far a prefix was followed.
type cursor struct {
	// after is the version up to which all is known; negative before the first
	// listing.
	after int64
	// lost is set while the store does not answer.
	lost bool
	// exactAt is when the last exact read was answered, mistrustUntil the end of
	// the time in which only exact reads are made.
	exactAt, mistrustUntil time.Time
	// calledAt is when the last call began.
	calledAt time.Time
	// behind is set when another VM told of a change without saying what it is.
	behind bool
}

// confirm counts the exact reads of other VMs for this one's.
func (c *cursor) confirm(f *feed) {
	if at := f.confirmedAt(c.after); at.After(c.exactAt) {
		c.exactAt = at
	}
}

// exact reports whether the next read must not be answered from the past.
func (c *cursor) exact(now time.Time, every time.Duration) bool {
	if c.after < 0 || c.lost || now.Sub(c.exactAt) >= every {
		return true
	}
	return now.Before(c.mistrustUntil) && !c.behind
}

// follow lists a prefix and then watches it.
func (c *Catalog) follow(ctx context.Context, f follower) {
	wait := firstPause
	at := &cursor{after: -1}
	fed := c.feeds[f.prefix]
	for ctx.Err() == nil {
		c.followFeed(ctx, f, at)
		if !pause.Until(ctx, at.calledAt.Add(at.callEvery())) {
			return
		}
		at.calledAt = time.Now()
		exact := c.leads(at.calledAt) || at.exact(at.calledAt, c.exactEvery)
		done := c.beginRead(f.prefix, exact)
		l, st := c.next(ctx, f, at, exact)
		now := time.Now()
		switch st {
		case platform.OK:
		case platform.Gone:
			c.opts.Log.Info().Str("event", "historyGone").Str("prefix", f.prefix).Int64("after", at.after).Msg("")
			at.after = -1
			at.mistrustUntil = now.Add(mistrust)
			continue
		default:
			if ctx.Err() != nil {
				return
			}
			if !at.lost {
				at.lost = true
				c.opts.Log.Warn().Str("event", "storeLost").Str("prefix", f.prefix).Str("status", st.String()).Int64("after", at.after).Msg("")
			}
			f.away()
			if !fed.rest(ctx, wait/2+time.Duration(rand.Int64N(int64(wait)))) {
				return
			}
			wait = min(2*wait, c.longestPause(now, fed))
			continue
		}
		if at.lost {
			at.mistrustUntil = now.Add(mistrust)
			c.regained(f, at, l, "store")
		}
		wait = firstPause
		if l.Malformed > 0 {
			c.opts.Log.Warn().Str("event", "entriesUnread").Str("prefix", f.prefix).Int("count", l.Malformed).Msg("")
		}
		f.take(l)
		if exact {
			at.exactAt = now
			done(l.Version)
			c.publish(f.prefix, at.after, l)
		}
		at.after = max(at.after, l.Version)
		at.behind = false
	}
}

// callEvery is the least time between two calls.
func (c *cursor) callEvery() time.Duration {
	if c.behind {
		return behindEvery
	}
	return callEvery
}

// longestPause bounds the pauses between calls that fail.
func (c *Catalog) longestPause(now time.Time, f *feed) time.Duration {
	if c.leads(now) || now.Sub(f.readAt()) > fedMemory {
		return longestPause
	}
	return fedPause
}

// regained notes that what changes in the store is known again.
func (c *Catalog) regained(f follower, at *cursor, l platform.Listing, source string) {
	at.lost = false
	f.back()
	c.opts.Log.Info().Str("event", "storeRegained").Str("prefix", f.prefix).Int64("version", l.Version).
		Str("source", source).Msg("")
}

// beginRead returns what an exact read ends with.
func (c *Catalog) beginRead(prefix string, exact bool) func(int64) {
	if !exact || c.opts.ExactRead == nil {
		return func(int64) {}
	}
	return c.opts.ExactRead(prefix)
}

// next makes one call. A store that was lost is asked for an answer at once:
// one that is silent must not hold a waiting watch beyond its return. So is one
// whose word from the past has to be confirmed.
func (c *Catalog) next(ctx context.Context, f follower, at *cursor, exact bool) (platform.Listing, platform.Status) {
	prefix := f.prefix
	c.calls.Add(1)
	now := time.Now()
	switch {
	case at.after < 0:
		return c.opts.Store.ListPages(ctx, prefix, func(page []platform.Object) {
			// What is there can be used while the rest is on its way.
			f.take(platform.Listing{Objects: page})
		})
	case at.behind && !exact:
		return c.stale.Watch(ctx, prefix, at.after, now)
	case !exact:
		// It ends in time for what other VMs confirm meanwhile to be of use.
		until := at.exactAt.Add(c.exactEvery)
		if slice := now.Add(time.Duration(float64(c.exactEvery) * sliceShare)); slice.Before(until) {
			until = slice
		}
		return c.stale.Watch(ctx, prefix, at.after, until)
	case c.leads(now) && !at.lost:
		return c.opts.Store.Watch(ctx, prefix, at.after, now.Add(c.slice(prefix)))
	case now.Before(at.mistrustUntil) && !at.lost:
		return c.opts.Store.Watch(ctx, prefix, at.after, now.Add(watchWait))
	}
	return c.opts.Store.Watch(ctx, prefix, at.after, now)
}

func (c *Catalog) takeConfig(l platform.Listing) {
	for _, o := range l.Objects {
		if !platform.IsActiveConfig(o.Key) || o.Deleted {
			continue
		}
		s, warnings, err := platform.DecodeState(o.Value)
		if err != nil {
			c.opts.Log.Error().Str("event", "configUnread").Int64("storeVersion", o.Version).Str("reason", err.Error()).Msg("")
			continue
		}
		old := c.state.Load()
		if old != nil && s.Version <= old.Version {
			continue
		}
		for _, w := range warnings {
			c.opts.Log.Warn().Str("event", "configPartUnread").Int64("version", s.Version).Str("reason", w).Msg("")
		}
		c.state.Store(s)
		c.opts.State(s)
		c.opts.Log.Info().Str("event", "configInForce").Int64("version", s.Version).Int("routes", len(s.Routes)).
			Int("services", len(s.Services)).Int("workspaces", len(s.Workspaces)).Int64("storeVersion", o.Version).Msg("")
	}
}

// serverMessage is an input of the merged list: a listing, or nil when the store
// does not answer.
type serverMessage struct {
	listing *platform.Listing
	// taken is closed once the message has had its effect.
	taken chan struct{}
}

// serverList owns the merged list; its goroutine alone touches it.
type serverList struct {
	ctx      context.Context
	catalog  *Catalog
	servers  *Servers
	messages chan serverMessage
}

func (s *serverList) run() {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.messages:
			s.step(time.Now(), m.listing)
			close(m.taken)
		case <-t.C:
			s.publish(s.servers.Expire(time.Now()))
		}
	}
}

func (s *serverList) step(now time.Time, l *platform.Listing) {
	if l == nil {
		s.servers.StoreAway(now)
		return
	}
	s.publish(s.servers.Apply(now, *l))
}

// tell gives the list a message and waits until it has had its effect.
func (s *serverList) tell(l *platform.Listing) {
	m := serverMessage{listing: l, taken: make(chan struct{})}
	select {
	case s.messages <- m:
		<-m.taken
	case <-s.ctx.Done():
	}
}

func (s *serverList) take(l platform.Listing) { s.tell(&l) }

func (s *serverList) back() { s.catalog.serversLost.Store(false) }

func (s *serverList) away() {
	s.catalog.serversLost.Store(true)
	s.tell(nil)
}

func (s *serverList) publish(changes []Entry) {
	if len(changes) == 0 {
		return
	}
	for _, e := range changes {
		if e.Minor {
			continue
		}
		line := s.catalog.opts.Log.Info().Str("event", "server").Str("server", e.ID)
		if e.Err != nil {
			line.Str("belief", "unread").Str("reason", e.Err.Error()).Msg("")
			continue
		}
		line.Str("service", e.Server.Service).Str("address", e.Server.Address).Str("dataCentre", e.Server.DataCentre).
			Str("belief", e.belief()).Msg("")
	}
	s.catalog.opts.Servers(changes)
}

func (e Entry) belief() string {
	switch {
	case e.Gone:
		return "gone"
	case e.Lapsed:
		return "lapsed"
	case e.Server.Leaving:
		return "leaving"
	}
	return "ready"
}
