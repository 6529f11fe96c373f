// Package ingress serves callers on the users' platform: it takes their
// requests through a chain of filters, sends them to backend servers and
// relays the answers.
package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/pimentohinge/pimentohinge/internal/backend"
	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/replica"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	sweepEvery = time.Second
	// bodyShare is the part of the VM's memory that bodies may take, as a divisor.
	bodyShare = 6
	// ordinaryLines is the number of log lines a second for requests that went
	// well; all others are always written.
	ordinaryLines = 400
	// stopMargin is left of the grace for the process to end by itself.
	stopMargin = 400 * time.Millisecond
	// rotationTime is how long the balancer may still send connections after
	// readiness is withdrawn: two probes and their interval.
	rotationTime = 3 * time.Second
	// quietTime without a request ends a stop early.
	quietTime = 500 * time.Millisecond
)

// Options describes a server.
type Options struct {
	// Settings is checked already.
	Settings settings.Gateway
	Network  network.Network
	Log      *log.Logger
}

// Server is one entry VM on the users' platform.
type Server struct {
	opts    Options
	log     *log.Logger
	ctx     context.Context // ends when the server has stopped
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	catalog *catalog.Catalog
	desk    *desk
	pool    *replica.Pool
	metrics *metrics
	front   *front
	// neighbours are the VMs of the same region.
	neighbours *neighbours

	// ordinary bounds the log lines of requests that went well; skipped counts
	// those that were left out.
	ordinary *rate.Limiter
	skipped  atomic.Int64

	// bodies is the memory that bodies take, bodyLimit the most of it, in bytes.
	bodies    atomic.Int64
	bodyLimit int64

	lastID   atomic.Uint64
	open     atomic.Int64
	lastUse  atomic.Int64 // Unix ms of the last end of a request
	stopping atomic.Bool
	stopAt   atomic.Int64 // Unix ms at which open requests are cut

	mu      sync.Mutex
	streams map[uint64]*stream
	servers map[string]backend.Server
	// evacuations are the servers that leave, by ID and address.
	evacuations map[string]*evacuation
}

// New prepares a server. Start opens it.
func New(o Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	b := o.Settings.Bounds
	s := &Server{
		opts: o, log: o.Log, ctx: ctx, cancel: cancel, pool: replica.New(o.Network),
		metrics: newMetrics(), streams: map[uint64]*stream{}, servers: map[string]backend.Server{},
		bodyLimit:   int64(o.Settings.MemoryMb) << 20 / bodyShare,
		evacuations: map[string]*evacuation{}, ordinary: rate.NewLimiter(ordinaryLines, 2*ordinaryLines),
	}
	core := dispatch.New(dispatch.Options{
		VM: o.Settings.VM.Name, DataCentre: o.Settings.VM.DataCentre, Regions: o.Settings.DataCentres,
		RetryRatio: b.RetryRatio, RetryWindow: time.Duration(b.RetryWindowS * float64(time.Second)),
		RetrySlack: b.RetrySlack,
	})
	store := platform.New("http://"+o.Settings.Store.Address, network.Client(o.Network))
	s.neighbours = newNeighbours(o.Settings, store, o.Log, func(m dispatch.PeerLedger) { s.desk.tell(m) })
	s.neighbours.grown = func(vms int) { s.desk.tell(dispatch.FleetSize{VMs: vms}) }
	s.neighbours.confirm = func(prefix string, c catalog.Confirmation) { s.catalog.Confirm(prefix, c) }
	s.neighbours.change = func(x catalog.Change) { s.catalog.Hear(x) }
	s.desk = newDesk(ctx, core, s.rescue, s.tellLedger)
	s.catalog = catalog.New(catalog.Options{
		Store: store, Log: o.Log, Bound: time.Duration(min(b.ConfigMs, b.DrainMs)) * time.Millisecond,
		State: s.takeState, Servers: s.takeServers, ExactRead: s.exactRead,
		Tell: s.neighbours.tellChange,
	})
	s.front = newFront(s.handler(), s.spawn)
	return s
}

// Start opens the listeners and starts all work. The error names the address
// that could not be opened.
func (s *Server) Start() error {
	l := s.opts.Settings.Listen
	metrics := promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.PathReady, s.ready)
	ready.Handle("GET "+metricsPath, metrics)
	measured := http.NewServeMux()
	measured.Handle("GET "+metricsPath, metrics)
	for _, x := range []struct {
		name, address string
		handler       http.Handler
	}{{"readiness", l.Ready, ready}, {"peers", l.Peers, s.neighbours}, {"metrics", l.Metrics, measured}} {
		if x.address == "" {
			continue
		}
		ln, err := s.opts.Network.Listen(x.address)
		if err != nil {
			s.Kill()
			return eris.Wrapf(err, "listen for %s at %s", x.name, x.address)
		}
		side := &http.Server{Handler: x.handler, ReadHeaderTimeout: sideTimeout}
		s.spawn(func() { _ = side.Serve(ln) })
		context.AfterFunc(s.ctx, func() { _ = side.Close() })
	}
	callers, err := s.opts.Network.Listen(l.Callers)
	if err != nil {
		s.Kill()
		return eris.Wrapf(err, "listen for callers at %s", l.Callers)
	}
	context.AfterFunc(s.ctx, func() { _ = callers.Close() })
	s.spawn(func() { s.front.accept(callers) })
	s.spawn(func() { s.desk.run() })
	s.spawn(func() { s.catalog.Run(s.ctx) })
	s.spawn(func() { s.neighbours.join(s.ctx, s.opts.Network) })
	s.spawn(s.sweep)
	s.spawn(s.lookout)
	v := s.opts.Settings.VM
	s.log.Info().Str("event", "started").Str("vm", v.Name).Str("dataCentre", v.DataCentre).
		Str("callers", l.Callers).Str("ready", l.Ready).Str("store", s.opts.Settings.Store.Address).Msg("")
	return nil
}

// metricsPath is where metrics are served.
const metricsPath = "/metrics"

const sideTimeout = 2 * time.Second

func (s *Server) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Server) sweep() {
	for pause.For(s.ctx, sweepEvery) {
		s.pool.CloseExpired(time.Now())
		if n := s.skipped.Swap(0); n > 0 {
			s.log.Info().Str("event", "linesSkipped").Int64("count", n).Msg("")
		}
	}
}

// mayLog reports whether there is room for a line on a request that went well.
func (s *Server) mayLog() bool {
	if s.ordinary.Allow() {
		return true
	}
	s.skipped.Add(1)
	return false
}

// tellLedger passes a ledger on. The VM that speaks for its region also reads
// the store for it.
func (s *Server) tellLedger(a dispatch.PublishLedger) {
	if a.RegionTotal {
		s.catalog.Lead(time.Now().Add(leadTime), a.PeerCount)
	}
	s.neighbours.tell(a)
}

// leadTime is how long a VM reads the store for others after it last spoke for
// its region.
const leadTime = time.Second

// exactRead is called before an exact read of the store. What it returns notes
// the version that was read and lets the other VMs know.
func (s *Server) exactRead(prefix string) func(int64) {
	done := s.neighbours.beats.BeginRead(prefix)
	return func(version int64) {
		done(version)
		if !s.catalog.Leads() {
			// One that leads tells of each read at once.
			s.desk.tell(dispatch.RepublishLedger{})
		}
	}
}

// ready answers the balancer's question.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || s.catalog.State() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) takeState(state *routing.State) {
	s.front.limits(state.Limits)
	s.desk.tell(dispatch.ServicesChanged{Services: state.Services})
	s.metrics.config.Set(float64(state.Version))
}

func (s *Server) takeServers(changes []catalog.Entry) {
	var m dispatch.ServersChanged
	var unused []string
	s.mu.Lock()
	for _, e := range changes {
		old, known := s.servers[e.ID]
		if known && (!e.InUse() || !old.SameInstance(e.Server)) {
			unused = append(unused, old.Address)
		}
		if !e.InUse() {
			delete(s.servers, e.ID)
			m.Removed = append(m.Removed, e.ID)
			continue
		}
		s.servers[e.ID] = e.Server
		m.Changed = append(m.Changed, e.Server)
	}
	s.mu.Unlock()
	for _, address := range unused {
		s.pool.CloseIdle(address)
	}
	s.desk.tell(m)
}

// Stop withdraws readiness, ends open requests within the grace that is left
// and closes everything. It reports false when requests were cut off.
func (s *Server) Stop(ctx context.Context) bool {
	began := time.Now()
	end := began.Add(s.grace() - stopMargin)
	s.stopAt.Store(end.UnixMilli())
	s.stopping.Store(true)
	s.log.Info().Str("event", "stopping").Int64("open", s.open.Load()).Time("until", end).Msg("")
	for time.Now().Before(end) {
		now := time.Now()
		quiet := now.UnixMilli()-s.lastUse.Load() > quietTime.Milliseconds()
		if now.Sub(began) > rotationTime && s.open.Load() == 0 && quiet {
			break
		}
		if !pause.For(ctx, 20*time.Millisecond) {
			break
		}
	}
	cut := s.open.Load()
	s.log.Info().Str("event", "stopped").Int64("cut", cut).Int64("connectionsOpened", s.pool.ConnectionsOpened()).
		Int64("storeCalls", s.catalog.Calls()).Msg("")
	s.Kill()
	return cut == 0
}

// grace is the time from a stop signal to the kill.
func (s *Server) grace() time.Duration {
	return time.Duration(s.opts.Settings.Bounds.GraceS * float64(time.Second))
}

// Kill ends everything at once.
func (s *Server) Kill() {
	s.cancel()
	s.front.close()
	s.wg.Wait()
}

// front serves callers' connections with the limits in force.
type front struct {
	handler http.Handler
	spawn   func(func())

	mu      sync.Mutex
	current *feed
	inForce routing.Limits
	feeds   []*feed
	closed  bool
}

// feed is a listener that is given its connections.
type feed struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

func (*feed) Addr() net.Addr { return &net.TCPAddr{} }

const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

func newFront(h http.Handler, spawn func(func())) *front {
	f := &front{handler: h, spawn: spawn}
	f.replace(routing.Limits{})
	return f
}

// limits applies new limits to connections that come from now on.
func (f *front) limits(l routing.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.HeaderBytes == f.inForce.HeaderBytes && l.HeaderTimeout == f.inForce.HeaderTimeout &&
		l.IdleTimeout == f.inForce.IdleTimeout {
		return
	}
	f.inForce = l
	f.replace(l)
}

func (f *front) replace(l routing.Limits) {
	if f.closed {
		return
	}
	server := &http.Server{
		Handler: f.handler, MaxHeaderBytes: defaultHeaderBytes,
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		// Every success is a replica's.
		DisableGeneralOptionsHandler: true,
	}
	if l.HeaderBytes > 0 {
		server.MaxHeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		server.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		server.IdleTimeout = l.IdleTimeout
	}
	f.current = &feed{server: server, conns: make(chan net.Conn), done: make(chan struct{})}
	f.feeds = append(f.feeds, f.current)
	feed := f.current
	f.spawn(func() { _ = server.Serve(feed) })
}

// accept hands new connections to the server with the newest limits.
func (f *front) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		select {
		case current.conns <- c:
		case <-current.done:
			_ = c.Close()
		}
	}
}

func (f *front) close() {
	f.mu.Lock()
	f.closed = true
	feeds := f.feeds
	f.mu.Unlock()
	for _, x := range feeds {
		_ = x.server.Close()
		_ = x.Close()
	}
}
