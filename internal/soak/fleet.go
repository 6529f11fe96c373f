package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// fleet is the state of a run.
type fleet struct {
	opts Options
	// random is used by the goroutine that injects faults only.
	random *rand.Rand
	// block is the second byte of the loopback addresses of this run, and lock the
	// listener that reserves them.
	block int
	lock  net.Listener

	store       *store.Store
	storeServer *http.Server
	cluster     *upstream.Cluster
	vms         []*vm

	// configVersion is the version of the newest configuration, and configChanging set while it
	// differs from the first one.
	configVersion  atomic.Int64
	configChanging atomic.Bool

	// recoverBy is when the VMs must serve again; zero if they are not killed together.
	recoverBy time.Time

	mu sync.Mutex
	// engines and plain are the backend servers that have been started, by order of start.
	engines, plain []*server
	// entries holds the server that each entry of a server in the store describes, by ID.
	entries map[string]*server
	// storeDisturbed holds when the store was disturbed.
	storeDisturbed intervals
	// evacuated holds when otherDataCentre was evacuated.
	evacuated    intervals
	faults       map[string]int
	records      []record
	violations   []Violation
	peakMemoryMb int
	// serverFaults draws the faults of backend servers.
	serverFaults *rand.Rand
	nextServer   int
}

const (
	firstBlock, lastBlock = 10, 250
	lockPort              = 9
	storePort             = 8742
	serverPort            = 8469
	storeRoundTripMs      = 4
	dataCentre, region    = "dc-a", "region-a"
	// otherDataCentre has half of the backend servers in profileOperator.
	otherDataCentre   = "dc-b"
	evacuationBoundMs = 3000
)

// address returns an address of this run.
func (f *fleet) address(group, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", f.block, group, host, port)
}

// Groups of addresses.
const (
	groupStore = iota
	groupVM
	groupServer
)

func newFleet(opts Options) (*fleet, error) {
	f := &fleet{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, 0)), serverFaults: rand.New(rand.NewPCG(opts.Seed, 1)),
		store: store.New(), cluster: upstream.NewCluster(), faults: map[string]int{}, entries: map[string]*server{},
	}
	for f.block = firstBlock; ; f.block++ {
		if f.block > lastBlock {
			return nil, eris.New("no block of loopback addresses is free")
		}
		ln, err := net.Listen("tcp", f.address(groupStore, 1, lockPort))
		if err == nil {
			f.lock = ln
			return f, nil
		}
	}
}

// start starts the store, the backend servers and the VMs.
func (f *fleet) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", f.address(groupStore, 1, storePort))
	if err != nil {
		return eris.Wrap(err, "listen for the store")
	}
	f.storeServer = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.storeServer.Serve(ln) }()
	f.store.SetFaults(store.Faults{DelayMs: storeRoundTripMs})
	f.publishConfig(configUnchanged)
	for range f.opts.Engines {
		if err := f.startServer(engineService, 0, ""); err != nil {
			return err
		}
	}
	for _, service := range []string{plainService, plainService, plainService, slowService} {
		if err := f.startServer(service, 0, ""); err != nil {
			return err
		}
	}
	for i := range f.opts.VMs {
		v, err := f.newVM(i)
		if err != nil {
			return err
		}
		f.vms = append(f.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if err := v.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.end()
	}
	f.mu.Lock()
	servers := append(append([]*server{}, f.engines...), f.plain...)
	f.mu.Unlock()
	for _, s := range servers {
		s.stop()
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close()
	}
	_ = f.lock.Close()
}

type object = map[string]any

// Routes and services of a run.
const (
	hostName      = "soak.example"
	apiKey        = "soak-key"
	engineService = "engine"
	plainService  = "plain"
	slowService   = "slow"

	streamPath = "/report/x"
	unsafePath = "/order/x"
	safePath   = "/lookup/x"
	slowPath   = "/booking/x"

	tokensPerEvent    = 4
	streamTimeoutMs   = 39_000
	plainTimeoutMs    = 3000
	slowTimeoutMs     = 20_000
	eventGapTargetMs  = 180
	drainBoundMs      = 3000
	engineCapacity    = 34_313
	copyLifetime      = 5 * time.Second
	contactTime       = 4 * time.Second
	gracePeriod       = 8 * time.Second
	plainServiceTime  = 15 * time.Millisecond
	slowServiceTime   = 2500 * time.Millisecond
	engineEventPeriod = 25 * time.Millisecond
)

// configChange is how a configuration differs from the first one.
type configChange int

const (
	configUnchanged configChange = iota
	configWithoutOrders
	configWithoutStreams
	configOrdersAtSlowService
	configLookupsUnsafe
	configOneAttempt
	configShortTimeouts
	configChangeCount
)

// publishConfig writes the next version of the configuration to the store.
func (f *fleet) publishConfig(change configChange) {
	version := f.configVersion.Add(1)
	orderService, lookupKind, attempts, timeoutMs := plainService, "safe", 2, plainTimeoutMs
	switch change {
	case configOrdersAtSlowService:
		orderService = slowService
	case configLookupsUnsafe:
		lookupKind = "unsafe"
	case configOneAttempt:
		attempts = 1
	case configShortTimeouts:
		timeoutMs = plainTimeoutMs / 10
	}
	route := func(name, prefix, kind, service string, attempts, timeoutMs, goalMs int) object {
		return object{
			"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "service": service,
			"maxAttempts": attempts, "timeoutMs": timeoutMs, "goalMs": goalMs, "priority": 1, "gapGoalMs": eventGapTargetMs,
		}
	}
	routes := []object{
		route("lookup", "/lookup/", lookupKind, plainService, attempts, timeoutMs, 200),
		route("booking", "/booking/", "unsafe", slowService, attempts, slowTimeoutMs, 5000),
	}
	if change != configWithoutOrders {
		routes = append(routes, route("order", "/order/", "unsafe", orderService, attempts, timeoutMs, 200))
	}
	if change != configWithoutStreams {
		routes = append(routes, route("report", "/report/", "streaming", engineService, 1, streamTimeoutMs, 1800))
	}
	f.store.Set("config/main", object{
		"version": version, "routes": routes,
		"services": []object{
			{"name": plainService, "maxConns": 96},
			{"name": slowService, "maxConns": 96},
			{"name": engineService, "maxConns": 222, "engine": object{
				"slots": 24, "kvCapacity": engineCapacity, "kvTokenBytes": 163_840, "linkMbps": 24_000.0,
				"moves": true, "stride": tokensPerEvent, "handleS": copyLifetime.Seconds(),
			}},
		},
		"tenants": []object{{"name": "soak", "apiKeys": []string{apiKey}}},
		"limits":  object{"headerBytes": 16_384, "bodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
	})
}

// intervals is a set of times at which something was disturbed. An interval whose end is the
// zero time has not ended.
type intervals [][2]time.Time

// touches reports whether one of the intervals has a time from from to to.
func (i intervals) touches(from, to time.Time) bool {
	for _, interval := range i {
		if !interval[0].After(to) && (interval[1].IsZero() || !interval[1].Before(from)) {
			return true
		}
	}
	return false
}
