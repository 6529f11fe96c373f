package dispatch

import (
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/control/rendezvous"
	"github.com/pimentohinge/pimentohinge/internal/routing"
)

// Options configures the Core of one VM.
type Options struct {
	// VM is the name of this VM.
	VM string
	// DataCentre is the data centre of this VM. Regions maps each data centre to
	// its region.
	DataCentre string
	Regions    map[string]string
	// RetryRatio, RetryWindow and RetrySlack bound the retries of a service by all
	// VMs together: in each window, RetryRatio of its requests plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// EvacuationBound is the time within which an evacuation must be in force.
	EvacuationBound time.Duration
	// BoundsCold makes the VMs bound together what they send to cold servers.
	BoundsCold bool
}

// Core places the requests of this VM. It holds the known state of the backend
// servers and the open requests of this VM. It is not safe for concurrent use.
type Core struct {
	opts     Options
	services map[string]routing.Service
	servers  map[string]*server
	requests map[uint64]*request
	budgets  map[string]*retryBudget
	paces    map[string]*pace // by service
	// fleetSize is the number of VMs that share the retry budgets, localSize that of the
	// VMs in this data centre.
	fleetSize, localSize int
	// fleet holds all VMs that have ever been known; empty before they were read.
	fleet rendezvous.Set
	// evacuated holds the data centres to whose servers nothing new may be sent.
	evacuated map[string]bool
	// peerLedgers are from this data centre, remoteLedgers from others.
	peerLedgers, remoteLedgers *ledgerSet
	// failing holds the servers at which requests of this VM have failed recently, by ID.
	failing map[string]*server
	// publishedAt is when each ledger was last published, by scope, and changed whether it
	// has changed since.
	publishedAt [ScopeRemote + 1]time.Time
	changed     [ScopeRemote + 1]bool
	poison      poisonState
	// waiting holds the requests that wait for an engine, by service, and waitingByID by ID.
	waiting     map[string]*waiting
	waitingByID map[uint64]*request
	actions     []Action
}

// server is a backend server with the state that this VM keeps about it.
type server struct {
	backend.Server
	// engine describes the model replicas of its service; nil for a plain service.
	engine    *routing.Engine
	proximity proximity
	region    string
	// claimed counts the waiting requests that were placed on it in the claim period claimedIn.
	claimed   int
	claimedIn int64
	// warmUp bounds what is sent to it while it is cold.
	warmUp warmUp
	// tieBreak orders servers of equal cost.
	tieBreak uint64
	// requests are the open requests of this VM on the server.
	requests map[uint64]*request
	// reservations are the streams that have room reserved here for a copy of their
	// KV cache.
	reservations map[uint64]*request
	// otherRequests is the number of requests of other VMs at loadReportedAt.
	otherRequests  int
	loadReportedAt time.Time
	// failureRate is a moving average of the share of requests that failed, and
	// lastFailureAt the time of the last failure.
	failureRate   float64
	lastFailureAt time.Time
	// recent counts how requests ended within failureWindow.
	recent recentOutcomes
	// connectFailures counts failed connection attempts since the server was last
	// reached.
	connectFailures int
	// avoidUntil is the end of the backoff after the server could not be reached
	// or shed a request.
	avoidUntil time.Time
	// notBefore is when the server wants requests again; zero if it never refused one
	// with such a time.
	notBefore time.Time
	// migrationRequested is set after MigrateStreams was emitted for the server.
	migrationRequested bool
}

// proximity is the location of a server relative to this VM.
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
	// assigned is the server that runs the request. target is the server on which
	// room is reserved for a copy of its KV cache, or nil.
	assigned *server
	target   *server
	// producedTokens counts the output tokens so far. responseStarted is set at
	// the first byte of the response.
	producedTokens  int
	responseStarted bool
	// placedAt is when the request was placed, or queued before that; progressAt when producedTokens was recorded;
	// zero before the first event.
	placedAt, progressAt time.Time
	// sound is set when the output has shown that the prompt crashes no server.
	sound bool
}

// New returns a core without servers or services.
func New(opts Options) *Core {
	return &Core{
		opts: opts, services: map[string]routing.Service{}, servers: map[string]*server{},
		requests: map[uint64]*request{}, budgets: map[string]*retryBudget{}, paces: map[string]*pace{},
		peerLedgers: newLedgerSet(), remoteLedgers: newLedgerSet(), failing: map[string]*server{},
		poison: newPoisonState(opts.VM), waiting: map[string]*waiting{}, waitingByID: map[uint64]*request{},
	}
}

// Step processes a message and returns the resulting actions.
func (c *Core) Step(now time.Time, msg Message) []Action {
	c.actions = nil
	c.peerLedgers.expire(now)
	c.remoteLedgers.expire(now)
	switch msg := msg.(type) {
	case ServicesChanged:
		c.services = msg.Services
		for _, srv := range c.servers {
			srv.engine = c.engineOf(srv, srv.Service)
		}
	case ServersChanged:
		c.updateServers(now, msg)
	case PlaceRequest:
		c.placeRequest(now, msg)
	case ResponseStarted:
		c.responseStarted(now, msg)
	case Progress:
		if r, ok := c.requests[msg.ID]; ok {
			c.recordProgress(now, r, msg.Tokens)
			c.requestSound(now, r)
		}
	case EstimateStream:
		c.emit(StreamEstimate{ID: msg.ID, Duration: c.paceOf(msg.Service).streamTime(msg.OutputTokens)})
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
		c.fleetSize, c.localSize = msg.VMs, msg.Local
		if len(msg.Names) > 0 {
			c.fleet = rendezvous.NewSet(msg.Names)
		}
	case HomesChanged:
		c.homesChanged(now, msg.Homes)
	case EvacuationsChanged:
		c.evacuationsChanged(now, msg.DataCentres)
	case ServerLeaving:
		if srv, ok := c.servers[msg.Server.ID]; ok && srv.Instance() == msg.Server {
			c.serverLeaves(now, srv)
		}
	case ServerNotBefore:
		if srv, ok := c.servers[msg.Server.ID]; ok && srv.Instance() == msg.Server && msg.Until.After(srv.notBefore) {
			srv.notBefore = msg.Until
		}
	case ServerChecked:
		c.serverChecked(now, msg)
	case PeerEvidence:
		c.mergeEvidence(now, msg)
	case PeerLedger:
		c.receivePeerLedger(now, msg)
	case RepublishLedger:
		c.markLedgerChanged()
	case Tick:
		c.placeWaiting(now)
		c.publishLedgers(now)
		c.publishEvidence(now)
	}
	c.reportQuarantines(now)
	return c.actions
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// engineOf returns the description of a server's engine; nil for a plain service. A server whose service
// is not configured any more remains the engine that it is: requests may still wait for it.
func (c *Core) engineOf(srv *server, service string) *routing.Engine {
	if configured, ok := c.services[service]; ok || srv.Service != service {
		return configured.Engine
	}
	return srv.engine
}

func (c *Core) updateServers(now time.Time, msg ServersChanged) {
	for _, update := range msg.Changed {
		srv, known := c.servers[update.ID]
		if !known || !srv.SameInstance(update) {
			if known {
				c.poison.tracker.ServerEnded(now, srv.Instance().String())
				c.replaceServer(srv)
			}
			// A restarted replica has no requests and reservations.
			srv = &server{
				requests: map[uint64]*request{}, reservations: map[uint64]*request{},
				tieBreak: tieBreakHash(c.opts.VM, update.ID), recent: newRecentOutcomes(),
			}
			c.servers[update.ID] = srv
			delete(c.failing, update.ID)
		}
		wasLeaving := srv.Leaving
		srv.engine = c.engineOf(srv, update.Service)
		srv.Server, srv.proximity = update, c.proximityOf(update.DataCentre)
		srv.region = c.opts.Regions[update.DataCentre]
		srv.Leaving = srv.Leaving || wasLeaving
		if srv.Leaving {
			c.serverLeaves(now, srv)
		}
	}
	for _, id := range msg.Removed {
		if srv, known := c.servers[id]; known {
			// Its requests may still be running, but it gets no new ones.
			srv.Leaving = true
			c.migrateStreams(srv)
			delete(c.servers, id)
			delete(c.failing, id)
		}
	}
}

// replaceServer migrates the streams of an instance in whose entry is another one now: its process
// may work on for a while.
func (c *Core) replaceServer(srv *server) {
	if len(srv.requests) == 0 {
		return
	}
	srv.Leaving = true
	c.migrateStreams(srv)
}

// serverLeaves records that a server has announced that it leaves.
func (c *Core) serverLeaves(now time.Time, srv *server) {
	srv.Leaving = true
	if !srv.migrationRequested {
		c.poison.tracker.ServerLeaves(now, srv.Instance().String())
	}
	c.migrateStreams(srv)
}

// mayMigrate reports whether the streams of a server migrate, as it leaves.
func (s *server) mayMigrate() bool {
	return s.migrationRequested && (s.engine == nil || s.engine.SupportsMoves)
}

// migrateStreams emits MigrateStreams for a leaving server, once.
func (c *Core) migrateStreams(srv *server) {
	if srv.migrationRequested {
		return
	}
	srv.migrationRequested = true
	if !srv.mayMigrate() {
		return
	}
	action := MigrateStreams{Server: srv.Server}
	for _, r := range srv.requests {
		if r.Kind == routing.Streaming {
			action.Streams = append(action.Streams, r.toMigrate())
		}
	}
	sortByRemaining(action.Streams)
	c.emit(action)
}

// sortByRemaining puts the stream with the most output left first: it is the most likely to be
// cut off.
func sortByRemaining(streams []StreamToMigrate) {
	slices.SortFunc(streams, func(x, y StreamToMigrate) int {
		if x.RemainingTokens != y.RemainingTokens {
			return y.RemainingTokens - x.RemainingTokens
		}
		return int(x.ID) - int(y.ID)
	})
}

func (r *request) toMigrate() StreamToMigrate {
	return StreamToMigrate{ID: r.ID, CachedTokens: r.cachedTokens(), RemainingTokens: r.remainingOutput()}
}

func (c *Core) responseStarted(now time.Time, msg ResponseStarted) {
	req, ok := c.requests[msg.ID]
	if !ok {
		return
	}
	req.responseStarted = true
	req.progressAt = now
	c.paceOf(req.Service).addStart(now.Sub(req.placedAt))
	c.serverReached(now, req.assigned)
	req.assigned.recent.served.add(now)
	c.markLedgerChanged()
	req.assigned.recordLoad(now, msg.Load)
	req.assigned.failureRate *= failureDecay
	if req.Kind != routing.Streaming {
		return
	}
	// The stream had no response yet when migration was requested.
	switch {
	case req.assigned.mayMigrate():
		c.emit(MigrateStreams{Server: req.assigned.Server, Streams: []StreamToMigrate{req.toMigrate()}})
	case c.evacuated[req.assigned.DataCentre] && c.outlastsEvacuation(req):
		c.emit(MigrateStreams{Server: req.assigned.Server, Streams: []StreamToMigrate{req.toMigrate()}, Evacuation: true})
	}
}

// recordLoad stores the load that a server reported with a response.
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
		c.dropWaiting(msg.ID)
		return
	}
	srv := req.assigned
	delete(c.requests, msg.ID)
	delete(srv.requests, msg.ID)
	c.markLedgerChanged()
	req.releaseTarget()
	srv.recordLoad(now, msg.Load)
	c.recordSoundness(now, req, msg)
	if msg.Verdict != Unreachable && msg.Verdict != Cancelled {
		// It was reached, whatever it answered.
		c.serverReached(now, srv)
	}
	switch msg.Verdict {
	case Served:
		srv.failureRate *= failureDecay
		if !req.responseStarted {
			srv.recent.served.add(now)
		}
	case Failed:
		if !req.responseStarted {
			c.recordFailure(now, srv)
		}
		srv.failureRate = srv.failureRate*failureDecay + 1 - failureDecay
		srv.lastFailureAt = now
	case Shed:
		srv.avoidUntil = now.Add(shedBackoff)
	case Unreachable:
		c.recordFailure(now, srv)
		srv.avoidUntil = now.Add(connectBackoff << min(srv.connectFailures, maxBackoffDoublings))
		c.becomesCold(srv.avoidUntil, srv)
		srv.connectFailures++
	case Cancelled:
	}
}

func (c *Core) streamResumed(now time.Time, msg StreamResumed) {
	req, ok := c.requests[msg.ID]
	if !ok {
		return
	}
	to := req.target
	c.markLedgerChanged()
	req.releaseTarget()
	if to == nil || to.ID != msg.Server {
		// It continues on another server than the one that was last chosen for its copy.
		if to, ok = c.servers[msg.Server]; !ok {
			return
		}
	}
	c.retryBudget(req.Service).retries.add(now)
	c.sentTo(now, to)
	if to == req.assigned {
		return
	}
	delete(req.assigned.requests, req.ID)
	req.assigned = to
	to.requests[req.ID] = req
	if to.mayMigrate() {
		// The new server began to leave while the copy was in flight.
		c.emit(MigrateStreams{Server: to.Server, Streams: []StreamToMigrate{req.toMigrate()}})
	}
}

func (r *request) releaseTarget() {
	if r.target != nil {
		delete(r.target.reservations, r.ID)
		r.target = nil
	}
}

// cachedTokens is the current size of the request's KV cache.
func (r *request) cachedTokens() int { return r.PromptTokens + r.producedTokens }

// expectedOutput is the expected length of the whole output in tokens.
func (r *request) expectedOutput() int {
	if r.producedTokens >= r.ExpectedOutputTokens {
		// Longer than expected: assume that the rest is a fraction of the output
		// so far.
		return r.producedTokens + r.producedTokens/overrunDivisor + 1
	}
	return r.ExpectedOutputTokens
}

func (r *request) remainingOutput() int { return r.expectedOutput() - r.producedTokens }

// peakTokens is the expected size of the request's KV cache at its end.
func (r *request) peakTokens() int { return r.PromptTokens + r.expectedOutput() }
