package dispatch

import (
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Options describes a VM to its core.
type Options struct {
	// VM is this VM's name.
	VM string
	// DataCentre is the VM's own; Regions names the region of each.
	DataCentre string
	Regions    map[string]string
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of a service by all
	// VMs: in each window a share of its requests and a fixed number.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}

// Core holds what this VM believes of the servers and of its own requests. It
// is not safe for concurrent use.
type Core struct {
	opts     Options
	services map[string]routing.Service
	servers  map[string]*server
	requests map[uint64]*request
	budgets  map[string]*retryBudget
	// fleetSize is how many VMs share the budgets of repeats.
	fleetSize int
	// peerLedgers are the ledgers of VMs of this region, regions those of others.
	peerLedgers, regionLedgers *ledgerSet
	// publishedAt is when the ledger was last told; changed is set since then.
	publishedAt, regionPublishedAt time.Time
	ledgerChanged                  bool
	actions                        []Action
}

// server is a backend server with the load that this VM believes it has.
type server struct {
	backend.Server
	// engine is that of its service, nil for a plain one; place is where it stands
	// as seen from this VM.
	engine    *routing.Engine
	proximity proximity
	// tieBreak orders servers that are otherwise alike.
	tieBreak uint64
	// requests are the requests of this VM on it, copies the memory promised to
	// streams that may move to it.
	requests     map[uint64]*request
	reservations map[uint64]*request
	// otherRequests is how many requests of other VMs it had at heardAt.
	otherRequests  int
	loadReportedAt time.Time
	// failureRate is a moving share of requests that failed, failedAt when the last did.
	failureRate   float64
	lastFailureAt time.Time
	// connectFailures counts attempts since it was last reached.
	connectFailures int
	// avoidUntil keeps requests away after it could not be reached or shed.
	avoidUntil time.Time
	// migrationRequested is set once its streams were told to move.
	migrationRequested bool
}

// proximity is how far a server is from this VM.
type proximity int

const (
	sameDataCentre proximity = iota
	sameRegion
	otherRegion
)

func (c *Core) proximityOf(dataCentre string) proximity {
	switch {
	case dataCentre == c.opts.DataCentre:
		return sameDataCentre
	case c.opts.Regions[dataCentre] == c.opts.Regions[c.opts.DataCentre]:
		return sameRegion
	}
	return otherRegion
}

// request is an open request of this VM.
type request struct {
	PlaceRequest
	server *server
	target *server
	// producedTokens counts tokens of the answer; started is set from its first byte.
	producedTokens  int
	responseStarted bool
	placedAt        time.Time
}

// New returns a core that knows no server.
func New(opts Options) *Core {
	return &Core{
		opts: opts, services: map[string]routing.Service{}, servers: map[string]*server{},
		requests: map[uint64]*request{}, budgets: map[string]*retryBudget{}, peerLedgers: newLedgerSet(), regionLedgers: newLedgerSet(),
	}
}

// Step takes a message and returns what is to be done.
func (c *Core) Step(now time.Time, msg Message) []Action {
	c.actions = nil
	c.peerLedgers.expire(now)
	c.regionLedgers.expire(now)
	switch msg := msg.(type) {
	case ServicesChanged:
		c.services = msg.Services
		for _, s := range c.servers {
			s.engine = msg.Services[s.Service].Engine
		}
	case ServersChanged:
		c.updateServers(msg)
	case PlaceRequest:
		c.placeRequest(now, msg)
	case ResponseStarted:
		c.responseStarted(now, msg)
	case Progress:
		if r, ok := c.requests[msg.ID]; ok {
			r.producedTokens = msg.Tokens
		}
	case RequestEnded:
		c.requestEnded(now, msg)
	case StreamResumed:
		c.streamResumed(now, msg)
	case FindTarget:
		c.findTarget(now, msg)
	case ReleaseTarget:
		if r, ok := c.requests[msg.ID]; ok {
			r.releaseTarget()
		}
	case FleetSize:
		c.fleetSize = msg.VMs
	case ServerLeaving:
		if s, ok := c.servers[msg.Server]; ok {
			s.Leaving = true
			c.migrateStreams(s)
		}
	case PeerLedger:
		c.receivePeerLedger(now, msg)
	case RepublishLedger:
		c.ledgerChanged = true
	case Tick:
		c.publishLedgers(now)
	}
	return c.actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

func (c *Core) updateServers(msg ServersChanged) {
	for _, update := range msg.Changed {
		srv, known := c.servers[update.ID]
		if !known || !srv.Same(update) {
			// A replica that started again knows nothing of before.
			srv = &server{requests: map[uint64]*request{}, reservations: map[uint64]*request{}, tieBreak: tieBreakHash(c.opts.VM, update.ID)}
			c.servers[update.ID] = srv
		}
		wasLeaving := srv.Leaving
		srv.Server, srv.engine, srv.proximity = update, c.services[update.Service].Engine, c.proximityOf(update.DataCentre)
		srv.Leaving = srv.Leaving || wasLeaving
		if srv.Leaving {
			c.migrateStreams(srv)
		}
	}
	for _, id := range msg.Removed {
		if srv, known := c.servers[id]; known {
			// Its requests may still be running; no new one goes there.
			srv.Leaving = true
			c.migrateStreams(srv)
			delete(c.servers, id)
		}
	}
}

// migrateStreams tells once that a server leaves and which streams are on it.
func (c *Core) migrateStreams(srv *server) {
	if srv.migrationRequested {
		return
	}
	srv.migrationRequested = true
	action := MigrateStreams{Server: srv.Server}
	for _, r := range srv.requests {
		if r.Kind == routing.Streaming {
			action.Streams = append(action.Streams, StreamToMigrate{ID: r.ID, CachedTokens: r.cachedTokens(), RemainingTokens: r.remainingOutput()})
		}
	}
	// The stream that needs the server for longest is the surest to be cut.
	slices.SortFunc(action.Streams, func(x, y StreamToMigrate) int {
		if x.RemainingTokens != y.RemainingTokens {
			return y.RemainingTokens - x.RemainingTokens
		}
		return int(x.ID) - int(y.ID)
	})
	c.emit(action)
}

func (c *Core) responseStarted(now time.Time, msg ResponseStarted) {
	req, ok := c.requests[msg.ID]
	if !ok {
		return
	}
	req.responseStarted = true
	req.server.connectFailures = 0
	c.ledgerChanged = true
	req.server.recordLoad(now, msg.Load)
	req.server.failureRate *= failureDecay
	if req.server.migrationRequested && req.Kind == routing.Streaming {
		// It was on its way when the notice came.
		c.emit(MigrateStreams{Server: req.server.Server, Streams: []StreamToMigrate{{ID: req.ID, CachedTokens: req.cachedTokens(), RemainingTokens: req.remainingOutput()}}})
	}
}

// recordLoad takes what a server says of its load.
func (s *server) recordLoad(now time.Time, load *backend.Load) {
	if load == nil {
		return
	}
	s.loadReportedAt = now
	s.otherRequests = max(0, load.Running+load.Waiting-len(s.requests))
}

func (c *Core) requestEnded(now time.Time, msg RequestEnded) {
	req, ok := c.requests[msg.ID]
	if !ok {
		return
	}
	srv := req.server
	delete(c.requests, msg.ID)
	delete(srv.requests, msg.ID)
	c.ledgerChanged = true
	req.releaseTarget()
	srv.recordLoad(now, msg.Load)
	switch msg.Verdict {
	case Served:
		srv.connectFailures = 0
		srv.failureRate *= failureDecay
	case Failed:
		srv.failureRate = srv.failureRate*failureDecay + 1 - failureDecay
		srv.lastFailureAt = now
	case Shed:
		srv.avoidUntil = now.Add(shedBackoff)
	case Unreachable:
		srv.avoidUntil = now.Add(connectBackoff << min(srv.connectFailures, maxBackoffDoublings))
		srv.connectFailures++
	case Withdrawn:
	}
}

func (c *Core) streamResumed(now time.Time, msg StreamResumed) {
	req, ok := c.requests[msg.ID]
	if !ok || req.target == nil {
		return
	}
	to := req.target
	c.ledgerChanged = true
	req.releaseTarget()
	delete(req.server.requests, req.ID)
	req.server = to
	to.requests[req.ID] = req
	c.retryBudget(req.Service).retries.add(now, 1)
	if to.migrationRequested {
		// The notice for the new server came while the copy was under way.
		c.emit(MigrateStreams{Server: to.Server, Streams: []StreamToMigrate{{ID: req.ID, CachedTokens: req.cachedTokens(), RemainingTokens: req.remainingOutput()}}})
	}
}

func (r *request) releaseTarget() {
	if r.target != nil {
		delete(r.target.reservations, r.ID)
		r.target = nil
	}
}

// cachedTokens is the memory of a run now.
func (r *request) cachedTokens() int { return r.PromptTokens + r.producedTokens }

// expectedOutput is the length of the whole answer as guessed.
func (r *request) expectedOutput() int {
	if r.producedTokens >= r.ExpectedOutputTokens {
		// Longer than guessed: what is left is likely a part of what came.
		return r.producedTokens + r.producedTokens/overrunDivisor + 1
	}
	return r.ExpectedOutputTokens
}

func (r *request) remainingOutput() int { return r.expectedOutput() - r.producedTokens }

// peakTokens is the memory that a run is expected to need in the end.
func (r *request) peakTokens() int { return r.PromptTokens + r.expectedOutput() }
