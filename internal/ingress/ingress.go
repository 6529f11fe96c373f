// Package ingress is the reverse proxy of the gateway command, which runs on each entry
// VM of the users' platform: it passes callers' requests through a chain of filters,
// forwards them to backend servers and relays the responses.
package ingress

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/poison"
	"github.com/pimentohinge/pimentohinge/internal/control/stopping"
	"github.com/pimentohinge/pimentohinge/internal/heapgate"
	"github.com/pimentohinge/pimentohinge/internal/machine"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = time.Second
	// successLinesPerSecond limits the log lines for successful requests; lines for
	// all other requests are always written.
	successLinesPerSecond = 400
)

// Options configures a Server.
type Options struct {
	// Settings must already be validated.
	Settings settings.Gateway
	Network  network.Network
	Log      *log.Logger
	// Heap delays reading large heads and long bodies while the heap of the process is full. It may be
	// nil.
	Heap *heapgate.Gate
}

// Server is the proxy of one entry VM.
type Server struct {
	opts     Options
	log      *log.Logger
	machine  machine.Machine
	ctx      context.Context // cancelled when the server stops
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	catalog  *catalog.Catalog
	loop     *eventLoop
	pool     *replica.Pool
	metrics  *metrics
	frontend *frontend
	// peers connects this VM to the other entry VMs.
	peers *peerSet
	// listeners holds the limiter of each listener.
	listeners machine.Listeners

	// successLog limits the log lines for successful requests; skippedLines counts
	// the lines suppressed since the last report.
	successLog   *rate.Limiter
	skippedLines atomic.Int64

	// requestBodies and responseBodies are the memory for bodies that are buffered.
	requestBodies, responseBodies *readlimit.Budget

	lastRequestID  atomic.Uint64
	openRequests   atomic.Int64
	lastRequestEnd atomic.Int64 // Unix ms at which the latest request ended
	// stopSchedule is nil until the server is stopping.
	stopSchedule atomic.Pointer[stopping.Schedule]
	// closing is set when no more requests are accepted.
	closing atomic.Bool
	// abortCtx ends when the open requests of a stopping server are aborted.
	abortCtx context.Context
	abort    context.CancelFunc

	mu      sync.Mutex
	streams map[uint64]*stream        // by request ID
	servers map[string]backend.Server // by server ID
	// drains holds the drains of the leaving servers.
	drains map[backend.Instance]*serverDrain
	// leaving holds the instances that said in a response that they leave.
	leaving map[backend.Instance]bool
	// notBefore holds the times until which servers want no requests.
	notBefore map[backend.Instance]time.Time
	// evacuated holds the data centres to whose servers nothing new may be sent, with the time at
	// which this VM read that.
	evacuated map[string]time.Time
	// checks holds the servers that are being checked.
	checks map[backend.Instance]bool
	// cancels holds the functions that cancel open requests with a prompt, by request ID.
	cancels map[uint64]context.CancelCauseFunc
	// waiting holds the requests that may wait for an engine in the dispatch core, by request ID.
	waiting map[uint64]*request

	quarantines *quarantineStore
}

// New returns a server that is not listening yet; Start starts it.
func New(opts Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(ctx)
	bounds := opts.Settings.Bounds
	vmMachine := machine.Machine{}.With(opts.Settings.MemoryMb, opts.Settings.MaxDescriptors)
	bodyMemory := vmMachine.BodyBytes()
	s := &Server{
		opts: opts, log: opts.Log, machine: vmMachine, ctx: ctx, cancel: cancel, abortCtx: abortCtx, abort: abort, pool: replica.New(network.WithReadBuffer(opts.Network, vmMachine.ReadBuffer())),
		listeners: machine.Listeners{Heap: opts.Heap},
		metrics:   newMetrics(), streams: map[uint64]*stream{}, servers: map[string]backend.Server{},
		requestBodies: readlimit.New(bodyMemory, opts.Heap), responseBodies: readlimit.New(bodyMemory, opts.Heap),
		drains: map[backend.Instance]*serverDrain{}, checks: map[backend.Instance]bool{}, leaving: map[backend.Instance]bool{}, notBefore: map[backend.Instance]time.Time{}, cancels: map[uint64]context.CancelCauseFunc{},
		waiting:    map[uint64]*request{},
		successLog: rate.NewLimiter(successLinesPerSecond, 2*successLinesPerSecond),
	}
	evacuationBound := time.Duration(bounds.EvacuationMs) * time.Millisecond
	core := dispatch.New(dispatch.Options{
		VM: opts.Settings.VM.Name, DataCentre: opts.Settings.VM.DataCentre, Regions: opts.Settings.DataCentres,
		RetryRatio: bounds.RetryRatio, RetryWindow: time.Duration(bounds.RetryWindowS * float64(time.Second)),
		RetrySlack: bounds.RetrySlack, BoundsCold: bounds.ColdRatio > 0, EvacuationBound: evacuationBound,
	})
	store := platform.New("http://"+opts.Settings.Store.Address, network.Client(opts.Network))
	s.peers = newPeerSet(opts.Settings, store, opts.Log, func(ledger dispatch.PeerLedger) { s.loop.post(ledger) })
	s.peers.onFleetSize = func(size dispatch.FleetSize) { s.loop.post(size) }
	s.peers.canRead = func() bool { return s.catalog.State() != nil && !s.catalog.ServersUnavailable() }
	s.peers.onConfirmation = func(prefix string, confirmation catalog.Confirmation) {
		s.catalog.ReceiveConfirmation(prefix, confirmation)
	}
	s.peers.onChange = func(change catalog.Change) { s.catalog.ReceiveChange(change) }
	s.peers.onEvidence = func(evidence dispatch.PeerEvidence) { s.loop.post(evidence) }
	s.loop = newEventLoop(ctx, core, s.perform)
	options := catalog.Options{
		Store: store, Log: opts.Log, PropagationBound: time.Duration(min(bounds.ConfigMs, bounds.DrainMs)) * time.Millisecond,
		EvacuationBound: evacuationBound,
		OnState:         s.applyState, OnServers: s.applyServers, BeginRead: s.beginStoreRead,
		Publish: s.peers.sendChange, OnStoreCall: s.metrics.countStoreCall, OnServersUnavailable: func() { s.spawn(s.pollWhileUnavailable) },
		OnStoreRestored: s.peers.storeRestored,
	}
	if bounds.EvacuationMs > 0 {
		options.OnEvacuations = s.applyEvacuations
	}
	s.catalog = catalog.New(options)
	s.quarantines = newQuarantineStore(store, opts.Log, s.metrics, s.peers.leads, func(evidence poison.Evidence) {
		s.loop.post(dispatch.PeerEvidence{Evidence: evidence, PassOn: true})
	})
	s.metrics.registry.MustRegister(&s.listeners)
	s.frontend = newFrontend(s.handler(), s.spawn, s.log, s.listeners.Add("callers", vmMachine.Callers()))
	return s
}

// Start opens the listeners and starts the background goroutines. The error names
// the address that could not be opened.
func (s *Server) Start() error {
	callers, err := s.listen()
	if err != nil {
		s.Kill()
		return err
	}
	context.AfterFunc(s.ctx, func() { _ = callers.Close() })
	s.spawn(func() { s.frontend.accept(s.ctx, callers) })
	s.spawn(func() { s.loop.run() })
	s.spawn(func() { s.catalog.Run(s.ctx) })
	s.spawn(func() { s.peers.join(s.ctx, s.opts.Network) })
	s.spawn(func() { s.quarantines.run(s.ctx) })
	s.spawn(s.sweepLoop)
	vm, listen := s.opts.Settings.VM, s.opts.Settings.Listen
	s.log.Info().Str("event", "started").Str("vm", vm.Name).Str("dataCentre", vm.DataCentre).
		Str("callers", listen.Callers).Str("ready", listen.Ready).Str("store", s.opts.Settings.Store.Address).Msg("")
	return nil
}

// spawn runs f in a goroutine that Kill waits for.
func (s *Server) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// sweepLoop closes expired idle connections and reports suppressed log lines.
func (s *Server) sweepLoop() {
	for sleep.For(s.ctx, sweepInterval) {
		s.pool.CloseExpired(time.Now())
		s.listeners.Report(s.log)
		if n := s.skippedLines.Swap(0); n > 0 {
			s.log.Info().Str("event", "linesSkipped").Int64("count", n).Msg("")
		}
	}
}

// allowSuccessLine reports whether a log line for a successful request may be
// written. It counts the lines that may not.
func (s *Server) allowSuccessLine() bool {
	if s.successLog.Allow() {
		return true
	}
	s.skippedLines.Add(1)
	return false
}

// perform carries out an action of the dispatch core. It does not block.
func (s *Server) perform(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.MigrateStreams:
		s.startMigrations(action)
	case dispatch.PublishLedger:
		s.publishLedger(action)
	case dispatch.PublishEvidence:
		s.peers.sendEvidence(action.Evidence)
	case dispatch.Quarantined:
		s.quarantines.update(action.Quarantines)
	case dispatch.CancelRequest:
		s.cancelRequest(action.ID)
	}
}

// publishLedger sends a ledger to the peers and renews the term of this VM as the leader
// that reads the store for its region, if it is.
func (s *Server) publishLedger(action dispatch.PublishLedger) {
	if action.Scope == dispatch.ScopeDataCentre {
		now := time.Now()
		if followers, leads := s.peers.leads(now); leads {
			s.catalog.SetLeader(now.Add(leaderTerm), followers)
		}
	}
	s.peers.sendLedger(action)
}

// leaderTerm is how long a VM remains leader after it was last found to be.
const leaderTerm = time.Second

// beginStoreRead must be called before a linearizable read of the store. The
// returned function records the version that was read and reports it to the peers.
func (s *Server) beginStoreRead(prefix string) func(int64) {
	endRead := s.peers.beats.BeginRead(prefix)
	return func(version int64) {
		endRead(version)
		if !s.catalog.IsLeader() {
			// A leader publishes each read immediately; any other VM sends it with
			// its ledger.
			s.loop.post(dispatch.RepublishLedger{})
		}
	}
}

// handleReady serves the load balancer's readiness probe.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopSchedule.Load() != nil || s.catalog.State() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// applyState applies a new configuration.
func (s *Server) applyState(state *routing.State) {
	s.frontend.setLimits(state.Limits)
	s.loop.post(dispatch.ServicesChanged{Services: state.Services})
	s.updateHomes()
	s.metrics.configVersion.Set(float64(state.Version))
	if unknown := state.UnknownHomes(s.opts.Settings.Regions()); len(unknown) > 0 {
		s.log.Warn().Str("event", "homesUnknown").Int64("version", state.Version).Str("regions", strings.Join(unknown, ",")).Msg("")
	}
}

// applyServers updates the known backend servers and closes idle connections to
// those that were removed or restarted.
func (s *Server) applyServers(changes []catalog.ServerChange) {
	var msg dispatch.ServersChanged
	var unused []backend.Instance
	s.mu.Lock()
	for _, change := range changes {
		old, known := s.servers[change.ID]
		if known && (!change.InUse() || !old.SameInstance(change.Server)) {
			unused = append(unused, old.Instance())
			delete(s.leaving, old.Instance())
		}
		if !change.InUse() {
			delete(s.servers, change.ID)
			msg.Removed = append(msg.Removed, change.ID)
			continue
		}
		s.servers[change.ID] = change.Server
		msg.Changed = append(msg.Changed, change.Server)
	}
	s.mu.Unlock()
	for _, instance := range unused {
		s.pool.CloseIdle(instance)
	}
	s.loop.post(msg)
}
