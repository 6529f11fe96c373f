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
	"github.com/pimentohinge/pimentohinge/internal/peer"
	"github.com/pimentohinge/pimentohinge/internal/settings"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	fleetKeyName  = "fleet/peer-key"
	vmKeyPrefix   = "vms/"
	fleetKeyBytes = 32
	// beatStartRange is the range of the random number at which a process starts to
	// number its beats, so that beats of an earlier process are not taken for its own.
	beatStartRange = 1 << 52
	joinRetryDelay = time.Second
	// vmListInterval is the interval at which the list of VMs is read.
	vmListInterval = 10 * time.Second
	// remoteLedgerInterval is the minimum interval between two ledgers sent to the VMs
	// in other data centres of the region.
	remoteLedgerInterval = 250 * time.Millisecond
	// redialDelay is how long nothing is sent to a VM that could not be reached.
	redialDelay = 3 * time.Second
)

// peerSet exchanges messages with the other entry VMs. Each VM sends a ledger of the
// work that it has placed on backend servers to the VMs of its region, and one VM of a
// region sends the region's sums to the other regions. VMs also send each other what
// they read in the store. Without the links load is balanced less evenly and each VM
// reads the store itself; nothing else depends on them.
type peerSet struct {
	self  wire.VM
	store *platform.Client
	log   *log.Logger
	// onLedger is called with the ledgers of other VMs.
	onLedger func(dispatch.PeerLedger)
	// onConfirmation is called with the linearizable reads of other VMs.
	onConfirmation func(prefix string, confirmation catalog.Confirmation)
	// onChange is called with the changes that other VMs read in the store.
	onChange func(catalog.Change)
	// changeBudget limits the bytes of changes that this VM sends.
	changeBudget *rate.Limiter
	// beats numbers messages, so that the reads of other VMs can be dated.
	beats *heartbeat.Tracker
	// onFleetSize is called with the number of known VMs, including this one.
	onFleetSize func(vms int)

	mu       sync.Mutex
	links    *peer.Links // nil before the VM has joined
	vms      map[string]wire.VM
	redialAt map[string]time.Time // by VM: the earliest time to try an unreachable one again
	// remoteLedgerAt is the earliest time of the next ledger to the VMs in other data
	// centres of the region.
	remoteLedgerAt time.Time
}

type fleetKey struct {
	Key string `json:"key"`
}

func newPeerSet(cfg settings.Gateway, store *platform.Client, logger *log.Logger, onLedger func(dispatch.PeerLedger)) *peerSet {
	return &peerSet{
		self: wire.VM{
			Name: cfg.VM.Name, Region: cfg.VM.Region, DataCentre: cfg.VM.DataCentre, PeerAddress: cfg.Listen.Peers,
		},
		store: store, log: logger, onLedger: onLedger, vms: map[string]wire.VM{}, redialAt: map[string]time.Time{},
		beats: heartbeat.New(mathrand.Int64N(beatStartRange)), changeBudget: newChangeBudget(),
	}
}

// join registers this VM in the store and keeps the list of VMs current until ctx
// ends.
func (p *peerSet) join(ctx context.Context, transport network.Network) {
	key := ""
	for key == "" {
		var ok bool
		if key, ok = p.fleetKey(ctx); ok && p.register(ctx) {
			break
		}
		key = ""
		if !sleep.For(ctx, joinRetryDelay) {
			return
		}
	}
	links := peer.New(peer.Options{
		Self: p.self, Incarnation: int(time.Now().UnixMilli()), SharedKey: key, Client: network.Client(transport), Scheme: "ws",
		OnConnect: p.handleConnected, OnFrame: p.handleFrame, OnUndelivered: p.handleUnreachable,
	})
	p.mu.Lock()
	p.links = links
	p.mu.Unlock()
	defer links.Close()
	// VMs start at the same time, so a stale first list would lack most of them.
	if listing, status := p.store.List(ctx, vmKeyPrefix); status == platform.OK {
		p.addListed(listing)
	}
	for sleep.For(ctx, vmListInterval) {
		if listing, status := p.store.WithStaleReads().List(ctx, vmKeyPrefix); status == platform.OK {
			p.addListed(listing)
		}
	}
}

// fleetKey reads the key shared by all VMs and creates it if there is none.
func (p *peerSet) fleetKey(ctx context.Context) (string, bool) {
	object, status := p.store.Get(ctx, fleetKeyName)
	if status == platform.NotFound {
		raw := make([]byte, fleetKeyBytes)
		if _, err := rand.Read(raw); err != nil {
			return "", false
		}
		value, err := json.Marshal(fleetKey{Key: hex.EncodeToString(raw)})
		if err != nil {
			return "", false
		}
		p.store.Put(ctx, fleetKeyName, value, platform.Condition{Absent: true})
		// Read it back: another VM may have created it first, or the response to the
		// write was lost.
		object, status = p.store.Get(ctx, fleetKeyName)
	}
	var key fleetKey
	if status != platform.OK || json.Unmarshal(object.Value, &key) != nil || key.Key == "" {
		return "", false
	}
	return key.Key, true
}

// register writes this VM's entry to the store.
func (p *peerSet) register(ctx context.Context) bool {
	value, err := json.Marshal(p.self)
	if err != nil {
		return false
	}
	_, status := p.store.Put(ctx, vmKeyPrefix+p.self.Name, value, platform.Condition{})
	return status == platform.OK
}

// addListed adds or updates the listed VMs. A VM that is not listed is kept.
func (p *peerSet) addListed(listing platform.Listing) {
	p.mu.Lock()
	defer func() {
		vms := len(p.vms) + 1
		p.mu.Unlock()
		p.onFleetSize(vms)
	}()
	for _, object := range listing.Objects {
		var vm wire.VM
		if json.Unmarshal(object.Value, &vm) == nil && vm.Name != p.self.Name && vm.Name != "" {
			p.vms[vm.Name] = vm
		}
	}
}

// ServeHTTP accepts links from other VMs once this VM has joined.
func (p *peerSet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	links := p.links
	p.mu.Unlock()
	if links == nil || r.URL.Path != peer.Path {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	links.ServeHTTP(w, r)
}

// handleConnected records a VM with which a link was established.
func (p *peerSet) handleConnected(vm wire.VM) {
	p.mu.Lock()
	p.vms[vm.Name] = vm
	delete(p.redialAt, vm.Name)
	vms := len(p.vms) + 1
	p.mu.Unlock()
	p.onFleetSize(vms)
}

// handleUnreachable delays further messages to a VM to which a frame could not be sent.
func (p *peerSet) handleUnreachable(name string, _ wire.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.redialAt[name]; !known {
		p.log.Info().Str("event", "peerLost").Str("vm", name).Msg("")
	}
	p.redialAt[name] = time.Now().Add(redialDelay)
}

// handleFrame processes a frame from another VM.
func (p *peerSet) handleFrame(from wire.VM, frame wire.Frame) {
	if frame.Change != nil {
		p.receiveChange(from, *frame.Change)
	}
	if frame.Beat != nil {
		p.beats.Receive(from.Name, int64(*frame.Beat))
	}
	if frame.Ledger == nil {
		return
	}
	if frame.Ledger.Beat != nil {
		p.beats.Receive(from.Name, int64(*frame.Ledger.Beat))
	}
	for _, confirmed := range frame.Ledger.Confirmed {
		p.receiveConfirmed(confirmed)
	}
	ledger := dispatch.PeerLedger{Source: from.Name, Entries: map[string]dispatch.LedgerEntry{}}
	if frame.Ledger.Region != nil {
		ledger.Source, ledger.RegionTotal = *frame.Ledger.Region, true
	}
	for _, entry := range frame.Ledger.Entries {
		ledger.Entries[entry.Server] = dispatch.LedgerEntry{
			Requests: entry.Requests, Tokens: entry.Tokens, PrefillTokens: entry.Reading,
			Failed: valueOr0(entry.Failed), Served: valueOr0(entry.Served),
		}
	}
	p.onLedger(ledger)
}

// sendLedger sends a ledger to the VMs that ledgerReceivers selects. It does not
// block.
func (p *peerSet) sendLedger(action dispatch.PublishLedger) {
	frame := wire.Frame{Ledger: &wire.Ledger{Entries: make([]wire.LedgerEntry, 0, len(action.Entries))}}
	for id, entry := range action.Entries {
		frame.Ledger.Entries = append(frame.Ledger.Entries, wire.LedgerEntry{
			Server: id, Requests: entry.Requests, Tokens: entry.Tokens, Reading: entry.PrefillTokens,
			Failed: nilIf0(entry.Failed), Served: nilIf0(entry.Served),
		})
	}
	if action.RegionTotal {
		frame.Ledger.Region = &p.self.Region
	}
	now := time.Now()
	links, receivers := p.ledgerReceivers(now, action.RegionTotal)
	if links == nil {
		return
	}
	beat := int(p.beats.Next(now))
	for _, vm := range receivers {
		ledger := *frame.Ledger
		ledger.Beat, ledger.Confirmed = &beat, p.beats.Confirmations(vm.Name)
		links.Send(vm, wire.Frame{Ledger: &ledger})
	}
}

// nilIf0 returns a pointer to n, or nil if n is 0, so that the field is omitted.
func nilIf0(n int) *int {
	if n == 0 {
		return nil
	}
	return &n
}

func valueOr0(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}

// ledgerReceivers returns the VMs to which a ledger is sent: for a region's ledger those
// of other regions, otherwise those of this region. VMs in other data centres of
// this region are included only once per remoteLedgerInterval.
func (p *peerSet) ledgerReceivers(now time.Time, regionTotal bool) (*peer.Links, []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sendRemote := now.After(p.remoteLedgerAt)
	if sendRemote && !regionTotal {
		p.remoteLedgerAt = now.Add(remoteLedgerInterval)
	}
	return p.links, p.reachable(now, func(vm wire.VM) bool {
		if regionTotal {
			return vm.Region != p.self.Region
		}
		return vm.DataCentre == p.self.DataCentre || sendRemote && vm.Region == p.self.Region
	})
}

// regionPeers returns the reachable VMs of this region.
func (p *peerSet) regionPeers(now time.Time) (*peer.Links, []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links, p.reachable(now, func(vm wire.VM) bool { return vm.Region == p.self.Region })
}

// reachable returns the matching VMs that are not waiting for a redial. p.mu must be
// held.
func (p *peerSet) reachable(now time.Time, match func(wire.VM) bool) []wire.VM {
	var matching []wire.VM
	for name, vm := range p.vms {
		if retryAt, backingOff := p.redialAt[name]; match(vm) && (!backingOff || !now.Before(retryAt)) {
			matching = append(matching, vm)
		}
	}
	return matching
}
