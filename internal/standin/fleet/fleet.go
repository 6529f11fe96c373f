// Package fleet runs entry VMs together with simulated engines, plain services and
// the platform's object service in one process, over loopback or an in-memory
// network.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/enginesim"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/vm"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Names in the fleet's configuration.
const (
	ServiceReports = "report-writer"
	ServiceTags    = "tag-ledger"
	Model          = "report-writer-8b"
	Workspace      = "harbottle-inspections"
	WorkspaceKey   = "harbottle-inspections-key"
	OtherWorkspace = "crane-schools"
	OtherKey       = "crane-schools-key"
	OperatorKey    = "operator-key-1"
	peerKey        = "fleet-peer-key-0123456789"
	pollInterval   = 10 * time.Millisecond
	headerTimeout  = 10 * time.Second
)

// Hosts provides the network and the addresses of the fleet's hosts.
type Hosts interface {
	// Host returns the network from the point of view of a host.
	Host(host string) network.Network
	// Address returns an unused address on a host.
	Address(host string) (string, error)
}

// Loopback is a Hosts that places every host on the loopback interface. It keeps the
// listener of each address that it returns until a process listens there, so that no
// other program can take the port meanwhile.
type Loopback struct {
	mu       sync.Mutex
	reserved map[string]net.Listener // by address
}

// NewLoopback returns a Loopback without reserved addresses.
func NewLoopback() *Loopback { return &Loopback{reserved: map[string]net.Listener{}} }

// Host returns the network of the operating system.
func (l *Loopback) Host(string) network.Network { return loopbackNetwork{hosts: l} }

// Address reserves a free loopback address.
func (l *Loopback) Address(string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved[ln.Addr().String()] = ln
	return ln.Addr().String(), nil
}

// loopbackNetwork is the TCP network with the reserved listeners of hosts.
type loopbackNetwork struct {
	network.TCP
	hosts *Loopback
}

// Listen returns the reserved listener of an address, the first time, and otherwise
// opens one.
func (n loopbackNetwork) Listen(addr string) (net.Listener, error) {
	n.hosts.mu.Lock()
	ln, ok := n.hosts.reserved[addr]
	delete(n.hosts.reserved, addr)
	n.hosts.mu.Unlock()
	if ok {
		return ln, nil
	}
	return n.TCP.Listen(addr)
}

// DataCentre describes one data centre.
type DataCentre struct {
	// Name is the data centre's name and Region that of its region.
	Name   string
	Region string
	// VMs, Engines and Ledgers are the numbers of its processes.
	VMs     int
	Engines int
	Ledgers int
}

// Options describes a fleet.
type Options struct {
	// Hosts provides the network.
	Hosts Hosts
	// DataCentres is the layout of the fleet.
	DataCentres []DataCentre
	// Log receives the log lines of the VMs.
	Log *log.Logger
	// Settings modifies the settings of a VM before it starts; it may be nil.
	Settings func(*settings.Settings)
	// Engine modifies the options of an engine before it starts; it may be nil.
	Engine func(*llm.Options)
	// Deduplicates makes the ledgers run each idempotency key once, and sets the same
	// in the configuration of their service.
	Deduplicates bool
}

// Engine is one engine of the fleet.
type Engine struct {
	*llm.Engine
	// Backend is the engine's entry in the platform's list when it started.
	Backend wire.Backend
	// Host is the address of the engine's host.
	Host string

	server  *http.Server
	cancel  context.CancelFunc
	crashed atomic.Bool
}

// Crashed reports whether the engine has crashed on a prompt.
func (e *Engine) Crashed() bool { return e.crashed.Load() }

// Ledger is one plain service of the fleet.
type Ledger struct {
	*ledger.Ledger
	// Backend is the service's entry in the platform's list.
	Backend wire.Backend
	// Host is the address of the service's host.
	Host string

	server *http.Server
}

// VM is one entry VM of the fleet.
type VM struct {
	*vm.VM
	// Host is the address of the VM's host.
	Host string
	// CallerURL is the URL of the caller API and OperatorURL that of the operator API.
	CallerURL   string
	OperatorURL string

	settings settings.Settings
}

// Fleet is a running fleet.
type Fleet struct {
	// Store is the platform's object service.
	Store *store.Store
	// StoreHost is the address of the store's host.
	StoreHost string
	// VMs, Engines and Ledgers are the processes, in the order of their start.
	VMs     []*VM
	Engines []*Engine
	Ledgers []*Ledger

	opts        Options
	platformURL string
	servers     []*http.Server
	hostCount   int
}

// ReleaseNote returns the release note that configures the fleet's services and
// workspaces.
func (f *Fleet) ReleaseNote() wire.ReleaseNote {
	services := []string{ServiceReports, ServiceTags}
	return wire.ReleaseNote{Id: "fleet-1", Author: "fleet", Added: &wire.Objects{
		Services: []wire.Service{
			{Name: ServiceReports, Kind: configchain.KindModel, Model: Model},
			{Name: ServiceTags, Kind: configchain.KindPlain, NonRepeatable: []string{"POST /tags"}, Deduplicates: f.opts.Deduplicates},
		},
		Workspaces: []wire.Workspace{
			{Name: Workspace, KeyHashes: []string{configchain.KeyHash(WorkspaceKey)}, Services: services},
			{Name: OtherWorkspace, KeyHashes: []string{configchain.KeyHash(OtherKey)}, Services: services},
		},
	}}
}

// Start starts the fleet. If it returns an error, it has stopped everything that it
// started.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{Store: store.New(), opts: o}
	if err := f.start(); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	f.StoreHost = f.newHost()
	addr, server, err := f.serve(f.StoreHost, f.Store.Handler())
	if err != nil {
		return err
	}
	f.servers = append(f.servers, server)
	f.platformURL = "http://" + addr
	for _, dc := range f.opts.DataCentres {
		for range dc.Engines {
			if _, err := f.AddEngine(dc); err != nil {
				return err
			}
		}
		for range dc.Ledgers {
			if err := f.addLedger(dc); err != nil {
				return err
			}
		}
	}
	for _, dc := range f.opts.DataCentres {
		for range dc.VMs {
			if _, err := f.AddVM(dc); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) newHost() string {
	f.hostCount++
	return fmt.Sprintf("10.0.%d.%d", f.hostCount/256, f.hostCount%256)
}

func (f *Fleet) serve(host string, handler http.Handler) (string, *http.Server, error) {
	addr, err := f.opts.Hosts.Address(host)
	if err != nil {
		return "", nil, err
	}
	ln, err := f.opts.Hosts.Host(host).Listen(addr)
	if err != nil {
		return "", nil, eris.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(ln) }()
	return addr, server, nil
}

func (f *Fleet) listBackend(b wire.Backend) { f.Store.Set("backends/"+b.Name, b) }

// AddEngine starts another engine and lists it at the platform.
func (f *Fleet) AddEngine(dc DataCentre) (*Engine, error) {
	name := fmt.Sprintf("%s-%d", ServiceReports, len(f.Engines)+1)
	opts := llm.Options{
		Name: name, Models: []string{Model}, Model: enginesim.DefaultOptions(),
		ReportLag: 300 * time.Millisecond, CacheEventLag: time.Second,
	}
	if f.opts.Engine != nil {
		f.opts.Engine(&opts)
	}
	engine := &Engine{Host: f.newHost()}
	opts.OnCrash = func() {
		engine.crashed.Store(true)
		engine.cancel()
		_ = engine.server.Close()
	}
	engine.Engine = llm.New(opts)
	addr, server, err := f.serve(engine.Host, engine.Handler())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	engine.server, engine.cancel = server, cancel
	go engine.Run(ctx)
	engine.Backend = wire.Backend{
		Name: name, Service: ServiceReports, Kind: "engine", Address: addr,
		Region: dc.Region, DataCentre: dc.Name, State: "live", ChecksFencing: opts.ChecksFencing,
	}
	f.Engines = append(f.Engines, engine)
	f.listBackend(engine.Backend)
	return engine, nil
}

func (f *Fleet) addLedger(dc DataCentre) error {
	service := &Ledger{Ledger: ledger.New(), Host: f.newHost()}
	service.Deduplicates = f.opts.Deduplicates
	addr, server, err := f.serve(service.Host, service.Handler())
	if err != nil {
		return err
	}
	service.server = server
	service.Backend = wire.Backend{
		Name: fmt.Sprintf("%s-%d", ServiceTags, len(f.Ledgers)+1), Service: ServiceTags, Kind: configchain.KindPlain,
		Address: addr, Region: dc.Region, DataCentre: dc.Name, State: "live",
	}
	f.Ledgers = append(f.Ledgers, service)
	f.listBackend(service.Backend)
	return nil
}

// AddVM starts another entry VM, with the earlier ones as seeds. Some intervals and
// deadlines are shorter than the defaults.
func (f *Fleet) AddVM(dc DataCentre) (*VM, error) {
	vmSettings := settings.Defaults()
	vmSettings.VM = settings.VM{Name: fmt.Sprintf("entry-%d", len(f.VMs)+1), Region: dc.Region, DataCentre: dc.Name}
	vmSettings.Platform.Address = f.platformURL
	vmSettings.Peers.Key = peerKey
	vmSettings.Peers.ProbeIntervalMs = 200
	vmSettings.Operators.Keys = []settings.OperatorKey{{Name: "operator-1", Key: OperatorKey}}
	vmSettings.Callers.NotReadyMs = 200
	vmSettings.Callers.TokenDeadlineMs = 1000
	host := f.newHost()
	for _, addr := range []*string{&vmSettings.Listen.Callers, &vmSettings.Listen.Peers, &vmSettings.Listen.Operators} {
		var err error
		if *addr, err = f.opts.Hosts.Address(host); err != nil {
			return nil, err
		}
	}
	for _, other := range f.VMs {
		vmSettings.Peers.Seeds = append(vmSettings.Peers.Seeds, other.settings.Listen.Peers)
	}
	if f.opts.Settings != nil {
		f.opts.Settings(&vmSettings)
	}
	entryVM := &VM{Host: host, CallerURL: "http://" + vmSettings.Listen.Callers, OperatorURL: "http://" + vmSettings.Listen.Operators, settings: vmSettings}
	if err := f.startVM(entryVM, uint64(len(f.VMs))); err != nil {
		return nil, err
	}
	f.VMs = append(f.VMs, entryVM)
	return entryVM, nil
}

func (f *Fleet) startVM(v *VM, seed uint64) error {
	v.VM = vm.New(vm.Options{Settings: v.settings, Network: f.opts.Hosts.Host(v.Host), Log: f.opts.Log, Seed: seed})
	return v.Start()
}

// Restart starts VM i again after it was killed or stopped, with the same name and
// addresses.
func (f *Fleet) Restart(i int) error { return f.startVM(f.VMs[i], uint64(len(f.VMs)+i)) }

// KillEngine terminates engine i without notice.
func (f *Fleet) KillEngine(i int) {
	f.Engines[i].cancel()
	_ = f.Engines[i].server.Close()
}

// KillLedger terminates ledger i without notice.
func (f *Fleet) KillLedger(i int) { _ = f.Ledgers[i].server.Close() }

// SetListedState changes the state of engine i in the platform's list.
func (f *Fleet) SetListedState(i int, state string) {
	b := f.Engines[i].Backend
	b.State = state
	f.listBackend(b)
}

// SetOutage makes the platform reject every call, or clears all its faults.
func (f *Fleet) SetOutage(outage bool) { f.Store.SetFaults(store.Faults{Outage: outage}) }

// Client returns a client of Workspace that connects from ClientHost and tries the
// given VMs in order.
func (f *Fleet) Client(vms ...int) *client.Client {
	c := &client.Client{Key: WorkspaceKey, HTTP: network.Client(f.opts.Hosts.Host(f.ClientHost()))}
	for _, i := range vms {
		c.Addresses = append(c.Addresses, f.VMs[i].CallerURL)
	}
	return c
}

// ClientHost returns the address of the host of all clients.
func (f *Fleet) ClientHost() string { return "10.9.9.9" }

// Await polls until condition returns true or ctx is done. The error contains the
// description of the condition.
func Await(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return eris.New("timed out waiting until " + description)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// All reports whether condition is true for every VM.
func (f *Fleet) All(condition func(*VM) bool) bool {
	for _, v := range f.VMs {
		if !condition(v) {
			return false
		}
	}
	return true
}

// AwaitReady waits until every VM is ready, lists all VMs and backends of the fleet,
// and has load reports of the engines for which it is the admitter.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return Await(ctx, "every VM is ready and lists all VMs and backends", func() bool {
		return f.All(func(v *VM) bool {
			ok, _ := v.Ready()
			view := v.View()
			return ok && len(view.Members) == len(f.VMs) && len(view.Backends) == len(f.Engines)+len(f.Ledgers) && f.hasLoadReports(v)
		})
	})
}

// hasLoadReports reports whether a VM has a load report of each backend for which it
// is the admitter.
func (f *Fleet) hasLoadReports(v *VM) bool {
	for _, b := range v.View().Backends {
		if b.Admitter == v.Self().Name && b.Report.CapacityBlocks == 0 {
			return false
		}
	}
	return true
}

// Configure submits the fleet's release note and waits until every VM applies it.
func (f *Fleet) Configure(ctx context.Context) error {
	result := f.VMs[0].Release(ctx, f.ReleaseNote())
	if result.Status != "accepted" {
		return eris.Errorf("release note was not accepted: %s %v", result.Status, result.Reasons)
	}
	return f.AwaitRevision(ctx, result.Revision)
}

// AwaitRevision waits until every VM applies the given configuration revision or a
// later one.
func (f *Fleet) AwaitRevision(ctx context.Context, revision int) error {
	return Await(ctx, "every VM applies the revision", func() bool {
		return f.All(func(v *VM) bool { return v.State().Number >= revision })
	})
}

// SeenLeaving reports whether every VM of the backend's data centre lists the backend
// as leaving.
func (f *Fleet) SeenLeaving(name string) bool {
	return f.All(func(v *VM) bool {
		for _, b := range v.View().Backends {
			if b.Name == name {
				return b.Leaving || b.DataCentre != v.Self().DataCentre
			}
		}
		return false
	})
}

// Stop stops all VMs gracefully, in parallel, and reports whether none of them
// interrupted a request.
func (f *Fleet) Stop(ctx context.Context) bool {
	clean := make([]bool, len(f.VMs))
	var wg sync.WaitGroup
	for i, v := range f.VMs {
		wg.Go(func() { clean[i] = v.Stop(ctx) })
	}
	wg.Wait()
	for _, ok := range clean {
		if !ok {
			return false
		}
	}
	return true
}

// Kill terminates all processes without notice.
func (f *Fleet) Kill() {
	for _, v := range f.VMs {
		v.Kill()
	}
	for _, e := range f.Engines {
		e.cancel()
		_ = e.server.Close()
	}
	for _, l := range f.Ledgers {
		_ = l.server.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}
