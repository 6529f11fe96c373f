// Package vm assembles the entry VM of the serve command. One goroutine owns the core
// of package control, which decides on placement, membership and roles; the others do
// the I/O: they pass events to the core as messages and execute the actions that it
// returns.
package vm

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pimentohinge/pimentohinge/internal/caller"
	"github.com/pimentohinge/pimentohinge/internal/claim"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/engine"
	"github.com/pimentohinge/pimentohinge/internal/heapgate"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/machine"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/internal/readlimit"
	"github.com/pimentohinge/pimentohinge/internal/service"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/ticket"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	tickInterval       = 10 * time.Millisecond
	messageQueueLength = 4096
	maxTimelines       = 20_000
	timelineBytes      = 4 << 10 // the memory of a timeline
	// connBytes is the memory of a caller's connection: with TLS, and a connection of its own to a
	// backend server for each call.
	connBytes = 64 << 10
	// bodiesDivisor limits request bodies to one eighth of the memory, and responses to another one.
	bodiesDivisor = 8
	// closeCallersTimeout bounds the wait for connections of callers to become idle.
	closeCallersTimeout = time.Second
)

// Options configures a VM.
type Options struct {
	// Settings are the validated settings of the VM.
	Settings settings.Settings
	// Network provides listeners and connections.
	Network network.Network
	// Log receives one line per event.
	Log *log.Logger
	// Seed initializes the random source of the core.
	Seed uint64
	// Heap delays reading large heads and long bodies while the heap of the process is full. It may be
	// nil.
	Heap *heapgate.Gate
}

// VM is one entry VM.
type VM struct {
	opts        Options
	self        wire.VM
	incarnation int
	log         *log.Logger
	ctx         context.Context // done once the VM has stopped
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	messages    chan control.Message
	core        *control.Core

	platform  *platform.Client
	engines   *engine.Client
	links     *peer.Links
	claims    *claim.Claims
	incidents *incident.Recorder
	callers   *caller.Server
	registry  *prometheus.Registry
	servers   []*http.Server
	machine   machine.Machine
	listeners machine.Listeners
	// callersServer is the one of servers that callers use; nil before Start.
	callersServer *http.Server

	config   atomic.Pointer[control.ConfigChanged]
	view     atomic.Pointer[control.View]
	synced   atomic.Bool // a read of the platform or a peer handshake has succeeded
	stopping atomic.Bool

	mu sync.Mutex
	// pendingPlaces, pendingCalls and pendingTimelines hold, by id, the channels on
	// which requests to the core and to other VMs wait for the reply.
	pendingPlaces    map[string]chan placeResult
	backends         map[string]wire.Backend
	polling          map[string]bool // engines whose load report is being read
	pendingCalls     map[string]chan wire.ServiceAnswer
	pendingTimelines map[string]chan wire.TimelineAnswer
	stopWatches      context.CancelFunc // nil unless this VM watches the platform
	incidentObjects  []incidentObject   // in order of expiry
}

// New returns a VM that does not run until Start is called.
func New(opts Options) *VM {
	vmSettings := opts.Settings
	ctx, cancel := context.WithCancel(context.Background())
	vmMachine := Machine(vmSettings)
	client := network.Client(opts.Network)
	backends := network.WithReadBuffer(opts.Network, vmMachine.ReadBuffer())
	v := &VM{
		opts: opts, log: opts.Log, ctx: ctx, cancel: cancel,
		self: wire.VM{
			Name: vmSettings.VM.Name, Region: vmSettings.VM.Region, DataCentre: vmSettings.VM.DataCentre,
			PeerAddress: vmSettings.Listen.Peers, OperatorAddress: vmSettings.Listen.Operators,
		},
		listeners:        machine.Listeners{Heap: opts.Heap},
		incarnation:      int(time.Now().UnixMilli()),
		messages:         make(chan control.Message, messageQueueLength),
		platform:         platform.New(vmSettings.Platform.Address, client),
		engines:          engine.New(backends),
		incidents:        incident.New(vmSettings.VM.Name, min(maxTimelines, int(vmMachine.RecordBytes()/timelineBytes))),
		registry:         prometheus.NewRegistry(),
		machine:          vmMachine,
		pendingPlaces:    map[string]chan placeResult{},
		backends:         map[string]wire.Backend{},
		polling:          map[string]bool{},
		pendingCalls:     map[string]chan wire.ServiceAnswer{},
		pendingTimelines: map[string]chan wire.TimelineAnswer{},
	}
	v.config.Store(&control.ConfigChanged{State: configchain.Empty()})
	v.view.Store(&control.View{})
	v.core = control.New(control.Options{
		Self: v.self, Incarnation: v.incarnation, Seed: opts.Seed,
		Confidence:   control.ConfidenceFor(vmSettings.Policy.Objective == settings.ObjectivePreemptions),
		RetryPercent: vmSettings.Policy.RetryPercent, QueueLength: vmSettings.Callers.QueueLength,
		ProbeInterval: time.Duration(vmSettings.Peers.ProbeIntervalMs) * time.Millisecond,
		Suspicion:     time.Duration(vmSettings.Peers.SuspicionMs) * time.Millisecond,
	})
	v.claims = claim.New(v.platform, vmSettings.VM.Name, v.incarnation, v.isRunning)
	responses := readlimit.New(v.machine.BodyBytes(), opts.Heap)
	v.callers = caller.New(caller.Options{
		VM: vmSettings.VM.Name, Limits: vmSettings.Callers, Secret: vmSettings.Peers.Key, Broker: v, Engines: v.engines,
		Bodies: readlimit.New(v.machine.BodyBytes(), opts.Heap), Decoding: readlimit.New(v.machine.RecordBytes(), nil), Responses: responses,
		Services: service.New(network.Client(backends), responses), Claims: v.claims,
		Tickets:   ticket.New(vmSettings.Peers.Key, vmSettings.VM.Name, v.incarnation, vmMachine.RecordBytes()),
		Incidents: v.incidents, Log: opts.Log,
	})
	v.callers.Metrics().Register(v.registry)
	v.registerMetrics()
	v.registry.MustRegister(&v.listeners)
	return v
}

// Machine returns what a process with the given settings may take.
func Machine(s settings.Settings) machine.Machine {
	m := machine.Detect().With(s.MemoryMb, s.MaxDescriptors)
	m.ConnBytes, m.BodiesDivisor = connBytes, bodiesDivisor
	return m
}

// Self returns the name, location and addresses of this VM.
func (v *VM) Self() wire.VM { return v.self }

// newLinks returns the peer links, which use mutual TLS if config is not nil.
func (v *VM) newLinks(config *tls.Config) *peer.Links {
	client, scheme := network.Client(v.opts.Network), "ws"
	if config != nil {
		client, scheme = network.SecureClient(v.opts.Network, config), "wss"
	}
	return peer.New(peer.Options{
		Self: v.self, Incarnation: v.incarnation, SharedKey: v.opts.Settings.Peers.Key, Client: client, Scheme: scheme,
		OnConnect: v.peerConnected, OnFrame: v.handleFrame,
		OnUndelivered: func(vm string, f wire.Frame) { v.enqueue(control.SendFailed{VM: vm, Frame: f}) },
	})
}

// Start opens the listeners and starts the VM's goroutines. The error names the
// address that could not be opened, or the file that could not be read.
func (v *VM) Start() error {
	listen := v.opts.Settings.Listen
	peerConfig, err := peerTLS(v.opts.Settings.TLS)
	if err != nil {
		return err
	}
	serverConfig, err := serverTLS(v.opts.Settings.TLS)
	if err != nil {
		return err
	}
	v.links = v.newLinks(peerConfig)
	peers := http.NewServeMux()
	peers.Handle(peer.Path, v.links)
	ops := operator.New(operator.Options{Keys: v.opts.Settings.Operators.Keys, VM: v, Registry: v.registry, Log: v.log})
	for _, e := range []endpoint{
		{
			name: "peers", addr: listen.Peers, handler: peers, limits: v.machine.Peers(), readTimeout: peersTimeout, writeTimeout: peersTimeout,
			tls: peerConfig,
		},
		{
			name: "operators", addr: listen.Operators, handler: ops.Handler(), limits: v.machine.Internal(), writeTimeout: operatorsWriteTimeout,
			tls: serverConfig,
		},
		{
			name: "callers", addr: listen.Callers, handler: v.callers.Handler(), limits: v.machine.Callers(), readBuffer: v.machine.ReadBuffer(),
			tls: serverConfig,
		},
	} {
		server, err := v.serve(e)
		if err != nil {
			v.Kill()
			return err
		}
		if e.name == "callers" {
			v.callersServer = server
		}
	}
	v.spawn(v.runCore)
	v.spawn(v.writeIncidents)
	v.spawn(v.connectToSeeds)
	v.spawn(v.register)
	v.spawn(v.issueOrders)
	v.spawn(v.reportLimits)
	v.log.Info().Str("event", "started").Str("vm", v.self.Name).Str("dataCentre", v.self.DataCentre).
		Int("incarnation", v.incarnation).Str("callers", listen.Callers).Msg("")
	return nil
}

// spawn runs f in a goroutine that Kill waits for.
func (v *VM) spawn(f func()) {
	v.wg.Add(1)
	go func() {
		defer v.wg.Done()
		f()
	}()
}

// enqueue adds a message to the queue of the core. It blocks while the queue is
// full and drops the message once the VM has stopped.
func (v *VM) enqueue(message control.Message) {
	select {
	case v.messages <- message:
	case <-v.ctx.Done():
	}
}

// runCore is the event loop of the core. No other goroutine uses v.core.
func (v *VM) runCore() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var message control.Message = control.Tick{}
		select {
		case <-v.ctx.Done():
			return
		case message = <-v.messages:
		case <-ticker.C:
		}
		for _, action := range v.core.Step(time.Now(), message) {
			v.execute(action)
		}
	}
}

// execute starts an action that the core returned. It does not block.
func (v *VM) execute(action control.Action) {
	switch action := action.(type) {
	case control.Placed:
		v.completePlace(action.ID, placeResult{placed: action, events: action.Events})
	case control.Refused:
		v.completePlace(action.ID, placeResult{outcome: action.Outcome, events: action.Events})
	case control.Send:
		v.links.Send(action.To, action.Frame)
	case control.PollEngine:
		v.pollEngine(action.Engine)
	case control.SetRoles:
		v.setWatching(action.Watcher)
	case control.ConfigChanged:
		v.config.Store(&action)
	case control.PublishView:
		v.storeView(action.View)
	case control.LogDecision:
		entry := v.log.Info().Str("event", action.Event)
		for i := 0; i+1 < len(action.Fields); i += 2 {
			key, _ := action.Fields[i].(string)
			entry = entry.Any(key, action.Fields[i+1])
		}
		entry.Msg("")
	}
}

// storeView publishes a snapshot of the core's state.
func (v *VM) storeView(view *control.View) {
	v.view.Store(view)
	known := make(map[string]wire.Backend, len(view.Backends))
	for _, b := range view.Backends {
		known[b.Name] = b.Backend
	}
	v.mu.Lock()
	v.backends = known
	v.mu.Unlock()
}

// pollEngine starts reading the load report of an engine unless a read is already
// in progress.
func (v *VM) pollEngine(backend wire.Backend) {
	v.mu.Lock()
	busy := v.polling[backend.Name]
	v.polling[backend.Name] = true
	v.mu.Unlock()
	if busy {
		return
	}
	v.spawn(func() {
		report, ok := v.engines.LoadReport(v.ctx, backend.Address)
		v.mu.Lock()
		delete(v.polling, backend.Name)
		v.mu.Unlock()
		v.enqueue(control.LoadReported{Engine: backend.Name, Reachable: ok, Report: report})
	})
}

// peerConnected handles a completed handshake with another VM.
func (v *VM) peerConnected(other wire.VM) {
	v.synced.Store(true)
	v.enqueue(control.PeerConnected{VM: other})
}

// handleFrame handles a frame from another VM. Frames for the core are enqueued;
// the others need no decision and are handled here.
func (v *VM) handleFrame(from wire.VM, frame wire.Frame) {
	switch {
	case frame.ServiceCall != nil:
		v.spawn(func() { v.serveForwarded(from, *frame.ServiceCall) })
	case frame.ServiceAnswer != nil:
		deliver(v, v.pendingCalls, frame.ServiceAnswer.Id, *frame.ServiceAnswer)
	case frame.TimelineAsk != nil:
		v.handleTimelineAsk(from, *frame.TimelineAsk)
	case frame.TimelineAnswer != nil:
		deliver(v, v.pendingTimelines, frame.TimelineAnswer.Id, *frame.TimelineAnswer)
	case frame.StreamTaken != nil:
		v.callers.TakeOver(frame.StreamTaken.Generation)
	default:
		v.enqueue(control.FrameReceived{From: from, Frame: frame})
	}
}

// deliver passes an answer to the pending call with the given id. It drops the
// answer if the call no longer waits for it.
func deliver[T any](v *VM, pending map[string]chan T, id string, answer T) {
	v.mu.Lock()
	ch := pending[id]
	delete(pending, id)
	v.mu.Unlock()
	if ch != nil {
		ch <- answer
	}
}

// isRunning reports whether the process of a VM that started with the given
// incarnation is still running.
func (v *VM) isRunning(name string, incarnation int) bool {
	if name == v.self.Name {
		return incarnation == v.incarnation
	}
	for _, m := range v.view.Load().Members {
		if m.Vm.Name == name {
			// Refuting a suspicion raises the incarnation only slightly; a restarted
			// process begins far above that.
			sameProcess := m.Incarnation < incarnation+maxRefutations
			return sameProcess && usable(m)
		}
	}
	return false
}

// maxRefutations limits how far one process is assumed to raise its incarnation by
// refuting suspicions. The incarnation starts as a Unix time in milliseconds.
const maxRefutations = 1000

// Ready reports whether the VM should receive callers' connections, and if not,
// the reason.
func (v *VM) Ready() (ok bool, reason string) {
	switch {
	case v.stopping.Load():
		return false, "stopping"
	case !v.synced.Load():
		return false, "neither the platform nor another VM has been reached yet"
	case !v.view.Load().CaughtUp:
		return false, "another VM has a higher configuration revision"
	}
	return true, ""
}

// Stop shuts the VM down gracefully. It first only reports not ready, so that the
// load balancer stops sending connections, then refuses new requests and waits for
// those in flight. It reports whether all of them ended before ctx was done;
// otherwise the rest are cut off.
func (v *VM) Stop(ctx context.Context) bool {
	v.stopping.Store(true)
	v.log.Info().Str("event", "stopping").Str("vm", v.self.Name).Int("open", v.callers.OpenRequests()).Msg("")
	timer := time.NewTimer(time.Duration(v.opts.Settings.Callers.NotReadyMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	v.enqueue(control.Stop{})
	if mutation.Enabled(mutation.StopWithoutDrain) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		cancel()
	}
	drained := v.callers.Drain(ctx)
	v.flushIncidents()
	v.unregister()
	drained = v.closeCallers(ctx) && drained
	open := v.callers.OpenRequests()
	v.Kill()
	v.log.Info().Str("event", "stopped").Str("vm", v.self.Name).Bool("whole", drained).Int("cut", open).Msg("")
	return drained
}

// closeCallers stops listening for callers and lets the requests end that were read
// meanwhile. It reports whether all of them ended before ctx was done.
func (v *VM) closeCallers(ctx context.Context) bool {
	shutdownCtx, cancel := context.WithTimeout(ctx, closeCallersTimeout)
	defer cancel()
	if v.callersServer != nil && !mutation.Enabled(mutation.StopWithoutDrain) {
		// A connection on which no request has arrived yet counts as active, so that a
		// timeout does not mean that a request is cut off.
		_ = v.callersServer.Shutdown(shutdownCtx)
	}
	return v.callers.Drain(ctx)
}

// Kill stops the VM immediately, as a crash would.
func (v *VM) Kill() {
	v.cancel()
	for _, s := range v.servers {
		_ = s.Close()
	}
	v.callers.Close()
	if v.links != nil {
		v.links.Close()
	}
	v.wg.Wait()
}
