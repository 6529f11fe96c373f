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

	"github.com/pimentohinge/pimentohinge/internal/backend"
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
	// leadShare is how much more often a VM reads exactly for others, sliceShare
	// the longest wait of one read from the past; both as shares of the time
	// between two exact reads.
	leadShare  = 0.45
	sliceShare = 0.3
	// mistrust is how long only exact reads are made after a call that failed or
	// a history that was dropped.
	mistrust = 15 * time.Second
	// callEvery is the least time between two calls, in which changes that come
	// close together are gathered; the first of them is told at once.
	callEvery    = 100 * time.Millisecond
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	expireEvery  = 250 * time.Millisecond
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
	// State is called with each newer configuration, Servers with each changed
	// list, both from goroutines of the catalog.
	State   func(*routing.State)
	Servers func([]backend.Server)
}

// Catalog follows the store while Run runs.
type Catalog struct {
	opts  Options
	state atomic.Pointer[routing.State]
	serversLost atomic.Bool
	calls       atomic.Int64
	stale       *platform.Client
	exactEvery  time.Duration
	confirmed   map[string]*confirmations // by prefix; the map is not changed
	leadUntil   atomic.Int64
}

// New returns a catalog that knows nothing yet.
func New(o Options) *Catalog {
	return &Catalog{
		opts: o, stale: o.Store.Stale(), exactEvery: time.Duration(float64(o.Bound) * exactShare),
		confirmed: map[string]*confirmations{platform.ConfigKind: {}, platform.ServerKind: {}},
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
		c.follow(ctx, follower{prefix: platform.ConfigKind, take: c.takeConfig, away: func() {}})
	}()
	list := &serverList{ctx: ctx, catalog: c, servers: NewServers(), messages: make(chan serverMessage)}
	go list.run()
	c.follow(ctx, follower{prefix: platform.ServerKind, take: list.take, away: list.away})
	<-done
}

// follower takes what changes below a prefix.
type follower struct {
	prefix string
	take   func(platform.Listing)
	away   func()
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
	// confirmedAt is when the cursor was current by another VM's exact read.
	confirmedAt time.Time
}

// exact reports whether the next read must not be answered from the past.
func (c *cursor) exact(now time.Time, every time.Duration) bool {
	if c.exactAt.Before(c.confirmedAt) && !now.Before(c.mistrustUntil) {
		c.exactAt = c.confirmedAt
	}
	return c.after < 0 || c.lost || now.Before(c.mistrustUntil) || now.Sub(c.exactAt) >= every
}

// follow lists a prefix and then watches it.
func (c *Catalog) follow(ctx context.Context, f follower) {
	wait := firstPause
	at := &cursor{after: -1}
	for ctx.Err() == nil {
		if !pause.Until(ctx, at.calledAt.Add(callEvery)) {
			return
		}
		at.calledAt = time.Now()
		exact := at.exact(at.calledAt, c.readEvery())
		done := c.beginRead(f.prefix, exact)
		l, st := c.next(ctx, f.prefix, at, exact)
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
			if !pause.For(ctx, wait/2+time.Duration(rand.Int64N(int64(wait)))) {
				return
			}
			wait = min(2*wait, longestPause)
			continue
		}
		if at.lost {
			at.lost = false
			at.mistrustUntil = now.Add(mistrust)
			c.opts.Log.Info().Str("event", "storeRegained").Str("prefix", f.prefix).Int64("version", l.Version).Msg("")
		}
		if exact {
			at.exactAt = now
			done(l.Version)
		}
		wait = firstPause
		if l.Unread > 0 {
			c.opts.Log.Warn().Str("event", "entriesUnread").Str("prefix", f.prefix).Int("count", l.Unread).Msg("")
		}
		f.take(l)
		at.after = max(at.after, l.Version)
		at.confirmedAt = c.confirmed[f.prefix].at(at.after)
	}
}

// readEvery is how long the catalog does without an exact read.
func (c *Catalog) readEvery() time.Duration {
	if c.leads(time.Now()) {
		return time.Duration(float64(c.exactEvery) * leadShare)
	}
	return c.exactEvery
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
func (c *Catalog) next(ctx context.Context, prefix string, at *cursor, exact bool) (platform.Listing, platform.Status) {
	c.calls.Add(1)
	now := time.Now()
	switch {
	case at.after < 0:
		return c.opts.Store.List(ctx, prefix)
	case !exact:
		// It ends in time for what other VMs confirm meanwhile to be of use.
		until := at.exactAt.Add(c.readEvery())
		if slice := now.Add(time.Duration(float64(c.exactEvery) * sliceShare)); slice.Before(until) {
			until = slice
		}
		return c.stale.Watch(ctx, prefix, at.after, until)
	case now.Before(at.mistrustUntil) && !at.lost:
		return c.opts.Store.Watch(ctx, prefix, at.after, now.Add(watchWait))
	}
	return c.opts.Store.Watch(ctx, prefix, at.after, now)
}

func (c *Catalog) takeConfig(l platform.Listing) {
	for _, o := range l.Objects {
		if !platform.IsMain(o.Key) || o.Deleted {
			continue
		}
		s, warnings, err := platform.ReadState(o.Value)
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

func (s *serverList) take(l platform.Listing) {
	s.catalog.serversLost.Store(false)
	s.tell(&l)
}

func (s *serverList) away() {
	s.catalog.serversLost.Store(true)
	s.tell(nil)
}

func (s *serverList) publish(changes []Entry) {
	if len(changes) == 0 {
		return
	}
	for _, e := range changes {
		line := s.catalog.opts.Log.Info().Str("event", "server").Str("server", e.ID)
		if e.Err != nil {
			line.Str("belief", "unread").Str("reason", e.Err.Error()).Msg("")
			continue
		}
		line.Str("service", e.Server.Service).Str("address", e.Server.Address).Str("dataCentre", e.Server.DataCentre).
			Str("belief", e.belief()).Msg("")
	}
	s.catalog.opts.Servers(s.servers.List())
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
