// Package demo runs a small fleet over loopback in one process: the stand-ins
// of platform, engines and a ledger, and entry VMs in two data centres.
package demo

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/standin/ledger"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/internal/standin/model"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/vm"
	"github.com/pimentohinge/pimentohinge/pkg/client"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Names in the demonstration's configuration.
const (
	ServiceReports = "report-writer"
	ServiceTags    = "tag-ledger"
	modelName      = "report-writer-8b"
	workspaceKey   = "demo-workspace-key"
	peerKey        = "demo-peer-key-0123456789"
	region         = "walsall-a"
	pollPause      = 10 * time.Millisecond
	headerTimeout  = 10 * time.Second
)

// Engine is one engine of the fleet.
type Engine struct {
	*llm.Engine
	// Name is the engine's name in the platform's list.
	Name string
}

// Fleet is the running demonstration.
type Fleet struct {
	// VMs, Engines and Ledger are the processes of the fleet.
	VMs     []*vm.VM
	Engines []*Engine
	Ledger  *ledger.Ledger

	store     *store.Store
	addresses []string // of the callers' interfaces
	cancel    context.CancelFunc
	ctx       context.Context
	servers   []*http.Server
}

// Note returns the release note of the demonstration.
func Note() wire.ReleaseNote {
	return wire.ReleaseNote{Id: "demo-1", Author: "demo", Added: &wire.Objects{
		Services: []wire.Service{
			{Name: ServiceReports, Kind: chain.KindModel, Model: modelName},
			{Name: ServiceTags, Kind: chain.KindPlain, NonRepeatable: []string{"POST /tags"}},
		},
		Workspaces: []wire.Workspace{{
			Name: "harbottle-inspections", KeyHashes: []string{chain.KeyHash(workspaceKey)},
			Services: []string{ServiceReports, ServiceTags},
		}},
	}}
}

// Start starts stand-ins and VMs.
func Start(logger *log.Logger) (*Fleet, error) {
	f := &Fleet{store: store.New(), Ledger: ledger.New()}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	platform, err := f.serve(f.store.Handler())
	if err != nil {
		return nil, err
	}
	for _, e := range []struct{ name, dc string }{
		{"report-writer-1", "walsall-a-1"}, {"report-writer-2", "walsall-a-1"}, {"report-writer-3", "walsall-a-2"},
	} {
		if err := f.startEngine(e.name, e.dc); err != nil {
			return nil, err
		}
	}
	addr, err := f.serve(f.Ledger.Handler())
	if err != nil {
		return nil, err
	}
	f.list(wire.Backend{Name: "tag-ledger-1", Service: ServiceTags, Kind: chain.KindPlain, Address: addr, DataCentre: "walsall-a-1"})
	for _, v := range []struct{ name, dc string }{
		{"entry-1", "walsall-a-1"}, {"entry-2", "walsall-a-1"}, {"entry-3", "walsall-a-2"}, {"entry-4", "walsall-a-2"},
	} {
		if err := f.startVM(v.name, v.dc, platform, logger); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) list(b wire.Backend) {
	b.Region, b.State = region, "live"
	f.store.Set("backends/"+b.Name, b)
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	ln, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (f *Fleet) startEngine(name, dc string) error {
	o := model.DefaultOptions()
	o.StepBase = 8 * time.Millisecond
	e := &Engine{Name: name, Engine: llm.New(llm.Options{
		Name: name, Models: []string{modelName}, Model: o,
		ReportLag: 300 * time.Millisecond, CacheLag: time.Second,
	})}
	addr, err := f.serve(e.Handler())
	if err != nil {
		return err
	}
	go e.Run(f.ctx)
	f.Engines = append(f.Engines, e)
	f.list(wire.Backend{Name: name, Service: ServiceReports, Kind: "engine", Address: addr, DataCentre: dc})
	return nil
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func (f *Fleet) startVM(name, dc, platform string, logger *log.Logger) error {
	s := settings.Defaults()
	s.VM = settings.VM{Name: name, Region: region, DataCentre: dc}
	s.Platform.Address = "http://" + platform
	s.Peers.Key = peerKey
	s.Peers.ProbeIntervalMs = 200
	s.Callers.NotReadyMs = 200
	s.Callers.TokenDeadlineMs = 1000
	for _, addr := range []*string{&s.Listen.Callers, &s.Listen.Peers, &s.Listen.Operators} {
		var err error
		if *addr, err = freeAddress(); err != nil {
			return err
		}
	}
	v := vm.New(vm.Options{Settings: s, Network: network.TCP{}, Log: logger, Seed: uint64(len(f.VMs))})
	if err := v.Start(); err != nil {
		return err
	}
	f.VMs = append(f.VMs, v)
	f.addresses = append(f.addresses, "http://"+s.Listen.Callers)
	return nil
}

// Client returns a client of the demonstration's workspace for some VMs.
func (f *Fleet) Client(vms ...int) *client.Client {
	c := &client.Client{Key: workspaceKey}
	for _, i := range vms {
		c.Addresses = append(c.Addresses, f.addresses[i])
	}
	return c
}

// await polls until a condition holds.
func await(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return eris.New("timed out: " + what)
		case <-time.After(pollPause):
		}
	}
	return nil
}

func (f *Fleet) all(holds func(*vm.VM) bool) func() bool {
	return func() bool {
		for _, v := range f.VMs {
			if !holds(v) {
				return false
			}
		}
		return true
	}
}

// AwaitReady waits until every VM is ready and knows the whole fleet.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return await(ctx, "the VMs know each other and all backends", f.all(func(v *vm.VM) bool {
		ok, _ := v.Ready()
		return ok && len(v.View().Members) == len(f.VMs) && len(v.View().Backends) == len(f.Engines)+1
	}))
}

// AwaitRevision waits until a revision is in force on every VM.
func (f *Fleet) AwaitRevision(ctx context.Context, n int) error {
	return await(ctx, "the revision is in force everywhere", f.all(func(v *vm.VM) bool { return v.State().Number >= n }))
}

// AwaitLeaving waits until every VM of the backend's data centre knows that it
// leaves.
func (f *Fleet) AwaitLeaving(ctx context.Context, name string) error {
	return await(ctx, "the engine is known to leave", f.all(func(v *vm.VM) bool {
		for _, b := range v.View().Backends {
			if b.Name == name {
				return b.Leaving || b.DataCentre != v.Self().DataCentre
			}
		}
		return false
	}))
}

// AwaitOpen waits until a VM has an open request.
func (f *Fleet) AwaitOpen(ctx context.Context, i int) error {
	return await(ctx, "the request is open", func() bool { return f.VMs[i].View().Open > 0 })
}

// SetOutage makes the platform refuse every call.
func (f *Fleet) SetOutage(out bool) { f.store.SetFaults(store.Faults{Outage: out}) }

// SetLeaving makes an engine report that it leaves. The platform's list lags
// and still shows it as live.
func (f *Fleet) SetLeaving(i int) { f.Engines[i].SetFaults(llm.Faults{Leaving: true}) }

// StallLinks stops the streams of every engine for some time.
func (f *Fleet) StallLinks(d time.Duration) {
	for i, e := range f.Engines {
		e.SetFaults(llm.Faults{StallLinks: true, Leaving: i == 0})
		time.AfterFunc(d, func() { e.SetFaults(llm.Faults{Leaving: i == 0}) })
	}
}

// Stop stops every VM gracefully and reports whether none cut off a request.
func (f *Fleet) Stop(ctx context.Context) bool {
	whole := make([]bool, len(f.VMs))
	var wg sync.WaitGroup
	for i, v := range f.VMs {
		wg.Go(func() { whole[i] = v.Stop(ctx) })
	}
	wg.Wait()
	for _, w := range whole {
		if !w {
			return false
		}
	}
	return true
}

// Kill ends everything at once.
func (f *Fleet) Kill() {
	for _, v := range f.VMs {
		v.Kill()
	}
	f.cancel()
	for _, s := range f.servers {
		_ = s.Close()
	}
}
