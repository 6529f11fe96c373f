package ingress

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/heartbeat"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	keyFleet = "fleet/peer-key"
	kindVMs  = "vms/"
	keyBytes = 32
	// firstBeats is the span from which the first beat of a life is drawn.
	firstBeats = 1 << 52
	joinPause  = time.Second
	// joinEvery is how often the list of VMs is read again.
	joinEvery = 10 * time.Second
	// farEvery bounds how often VMs of other data centres are told.
	farEvery = 250 * time.Millisecond
	// redialAfter is how long a VM that could not be reached is left alone.
	redialAfter = 3 * time.Second
)

// neighbours links the VMs, which tell each other what they have placed: each to
// those of its region, and one of a region to the others. Losing the links costs
// balance and nothing else.
type neighbours struct {
	self  wire.VM
	store *platform.Client
	log   *log.Logger
	heard func(dispatch.PeerLedger)
	// confirm takes exact reads of other VMs.
	confirm func(prefix string, c catalog.Confirmation)
	// change takes what other VMs read; changes bounds what this one tells.
	change  func(catalog.Change)
	changes *rate.Limiter
	beats   *heartbeat.Tracker
	// grown is told how many VMs are known.
	grown func(vms int)

	mu    sync.Mutex
	links *peer.Links // nil before the VM has joined
	vms   map[string]wire.VM
	away  map[string]time.Time // when a VM that was not reached is tried again
	// farAt is when VMs of other data centres may be told again.
	farAt time.Time
}

type fleetKey struct {
	Key string `json:"key"`
}

func newNeighbours(g settings.Gateway, store *platform.Client, l *log.Logger, heard func(dispatch.PeerLedger)) *neighbours {
	return &neighbours{
		self: wire.VM{
			Name: g.VM.Name, Region: g.VM.Region, DataCentre: g.VM.DataCentre, PeerAddress: g.Listen.Peers,
		},
		store: store, log: l, heard: heard, vms: map[string]wire.VM{}, away: map[string]time.Time{},
		beats: heartbeat.New(mathrand.Int64N(firstBeats)), changes: newChangeBudget(),
	}
}

// join registers the VM and keeps the list of neighbours until ctx ends.
func (n *neighbours) join(ctx context.Context, net network.Network) {
	key := ""
	for key == "" {
		var ok bool
		if key, ok = n.fleetKey(ctx); ok && n.register(ctx) {
			break
		}
		key = ""
		if !pause.For(ctx, joinPause) {
			return
		}
	}
	links := peer.New(peer.Options{
		Self: n.self, Incarnation: int(time.Now().UnixMilli()), Key: key, Client: network.Client(net), Scheme: "ws",
		Met: n.met, Heard: n.frame, Unreachable: n.unreachable,
	})
	n.mu.Lock()
	n.links = links
	n.mu.Unlock()
	defer links.Close()
	// VMs start together: the first list must not be one of before.
	if l, st := n.store.List(ctx, kindVMs); st == platform.OK {
		n.take(l)
	}
	for pause.For(ctx, joinEvery) {
		if l, st := n.store.Stale().List(ctx, kindVMs); st == platform.OK {
			n.take(l)
		}
	}
}

// fleetKey reads the key that all VMs share, or makes it.
func (n *neighbours) fleetKey(ctx context.Context) (string, bool) {
	o, st := n.store.Get(ctx, keyFleet)
	if st == platform.NotFound {
		b := make([]byte, keyBytes)
		if _, err := rand.Read(b); err != nil {
			return "", false
		}
		value, err := json.Marshal(fleetKey{Key: hex.EncodeToString(b)})
		if err != nil {
			return "", false
		}
		n.store.Put(ctx, keyFleet, value, platform.Condition{Absent: true})
		// Another VM may have been first, or the answer was lost.
		o, st = n.store.Get(ctx, keyFleet)
	}
	var k fleetKey
	if st != platform.OK || json.Unmarshal(o.Value, &k) != nil || k.Key == "" {
		return "", false
	}
	return k.Key, true
}

func (n *neighbours) register(ctx context.Context) bool {
	value, err := json.Marshal(n.self)
	if err != nil {
		return false
	}
	_, st := n.store.Put(ctx, kindVMs+n.self.Name, value, platform.Condition{})
	return st == platform.OK
}

// take replaces the list of neighbours.
func (n *neighbours) take(l platform.Listing) {
	n.mu.Lock()
	defer func() {
		vms := len(n.vms) + 1
		n.mu.Unlock()
		n.grown(vms)
	}()
	for _, o := range l.Objects {
		var vm wire.VM
		if json.Unmarshal(o.Value, &vm) == nil && vm.Name != n.self.Name && vm.Name != "" {
			n.vms[vm.Name] = vm
		}
	}
}

// ServeHTTP accepts links once the VM has joined.
func (n *neighbours) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	if links == nil || r.URL.Path != peer.Path {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	links.ServeHTTP(w, r)
}

// met takes a VM that linked to this one.
func (n *neighbours) met(vm wire.VM) {
	n.mu.Lock()
	n.vms[vm.Name] = vm
	delete(n.away, vm.Name)
	vms := len(n.vms) + 1
	n.mu.Unlock()
	n.grown(vms)
}

func (n *neighbours) unreachable(name string, _ wire.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.away[name]; !known {
		n.log.Info().Str("event", "peerLost").Str("vm", name).Msg("")
	}
	n.away[name] = time.Now().Add(redialAfter)
}

func (n *neighbours) frame(from wire.VM, f wire.Frame) {
	if f.Change != nil {
		n.takeChange(from, *f.Change)
	}
	if f.Beat != nil {
		n.beats.Receive(from.Name, int64(*f.Beat))
	}
	if f.Ledger == nil {
		return
	}
	if f.Ledger.Beat != nil {
		n.beats.Receive(from.Name, int64(*f.Ledger.Beat))
	}
	for _, c := range f.Ledger.Confirmed {
		n.takeConfirmed(c)
	}
	m := dispatch.PeerLedger{VM: from.Name, Entries: map[string]dispatch.Entry{}}
	if f.Ledger.Region != nil {
		m.VM, m.Region = *f.Ledger.Region, true
	}
	for _, e := range f.Ledger.Entries {
		m.Entries[e.Server] = dispatch.Entry{Requests: e.Requests, Tokens: e.Tokens, Reading: e.Reading}
	}
	n.heard(m)
}

// tell sends a ledger to those whom it concerns. It does not block.
func (n *neighbours) tell(a dispatch.TellLedger) {
	f := wire.Frame{Ledger: &wire.Ledger{Entries: make([]wire.LedgerEntry, 0, len(a.Entries))}}
	for id, e := range a.Entries {
		f.Ledger.Entries = append(f.Ledger.Entries, wire.LedgerEntry{
			Server: id, Requests: e.Requests, Tokens: e.Tokens, Reading: e.Reading,
		})
	}
	if a.Region {
		f.Ledger.Region = &n.self.Region
	}
	now := time.Now()
	links, to := n.listeners(now, a.Region)
	if links == nil {
		return
	}
	beat := int(n.beats.Next(now))
	for _, vm := range to {
		l := *f.Ledger
		l.Beat, l.Confirmed = &beat, n.beats.Confirmed(vm.Name)
		links.Send(vm, wire.Frame{Ledger: &l})
	}
}

// listeners returns the VMs that get a ledger: those of other regions, or those
// of the own one, the farther ones less often.
func (n *neighbours) listeners(now time.Time, region bool) (*peer.Links, []wire.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	far := now.After(n.farAt)
	if far && !region {
		n.farAt = now.Add(farEvery)
	}
	return n.links, n.reachable(now, func(vm wire.VM) bool {
		if region {
			return vm.Region != n.self.Region
		}
		return vm.DataCentre == n.self.DataCentre || far && vm.Region == n.self.Region
	})
}

// regional returns the VMs of the own region.
func (n *neighbours) regional(now time.Time) (*peer.Links, []wire.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links, n.reachable(now, func(vm wire.VM) bool { return vm.Region == n.self.Region })
}

// reachable returns the wanted VMs that are not left alone. The lock is held.
func (n *neighbours) reachable(now time.Time, wanted func(wire.VM) bool) []wire.VM {
	var to []wire.VM
	for name, vm := range n.vms {
		if until, away := n.away[name]; wanted(vm) && (!away || !now.Before(until)) {
			to = append(to, vm)
		}
	}
	return to
}
