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
	"github.com/pimentohinge/pimentohinge/internal/control/gather"
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
	// vmListInterval is the interval at which the list of VMs is read. The second list is
	// read after secondListDelay, as VMs that start together lack each other in the first.
	vmListInterval  = 10 * time.Second
	secondListDelay = 2 * time.Second
	// greetedVMs is the number of VMs of its data centre that a VM contacts after its start.
	// One of them is the gatherer or knows it.
	greetedVMs = 3
	// maxFleetKeyDelay is the longest wait before a VM creates the missing fleet key, so
	// that few of those that start together do.
	maxFleetKeyDelay = 200 * time.Millisecond
	// maxEnterAgainDelay is the longest wait before a VM writes its entry again after the store was
	// restored.
	maxEnterAgainDelay = time.Second
)

// peerSet exchanges messages with the other entry VMs. Each VM sends a ledger of the
// work that it has placed on backend servers to the gatherer of its data centre, which
// sends the sums to all. One VM of a region sends the others what it read in the store.
// Without the links load is balanced less evenly and each VM reads the store itself;
// nothing else depends on them.
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
	// onEvidence is called with evidence of other VMs about crashes.
	onEvidence func(dispatch.PeerEvidence)
	// changeBudget limits the bytes of changes that this VM sends.
	changeBudget *rate.Limiter
	// beats numbers messages, so that the reads of other VMs can be dated.
	beats *heartbeat.Tracker
	// onFleetSize is called with the known VMs, including this one.
	onFleetSize func(dispatch.FleetSize)
	// canRead reports whether this VM can read the store.
	canRead func() bool

	mu    sync.Mutex
	links *peer.Links // nil before the VM has joined
	// vms holds the known VMs and their roles.
	vms  *gather.Table
	sent sentLedgers
	// lastGatherer is the name of the gatherer that was logged last, and wasLeader whether
	// this VM was the leader then.
	lastGatherer string
	wasLeader    bool
	// totalsAt is the earliest time of the next sums to other gatherers.
	totalsAt time.Time
	// restored receives a token when the store has come back from an older copy.
	restored chan struct{}
	// listed is set once a list of VMs was read that was later than the start of this VM.
	listed bool
}

type fleetKey struct {
	Key string `json:"key"`
}

func newPeerSet(cfg settings.Gateway, store *platform.Client, logger *log.Logger, onLedger func(dispatch.PeerLedger)) *peerSet {
	p := &peerSet{
		self: wire.VM{
			Name: cfg.VM.Name, Region: cfg.VM.Region, DataCentre: cfg.VM.DataCentre, PeerAddress: cfg.Listen.Peers,
		},
		store: store, log: logger, onLedger: onLedger,
		beats: heartbeat.New(mathrand.Int64N(beatStartRange)), changeBudget: newChangeBudget(),
		restored: make(chan struct{}, 1),
	}
	p.vms = gather.New(p.self, time.Now())
	return p
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
	for ctx.Err() == nil {
		key = p.link(ctx, transport, key)
	}
}

// link connects this VM to the others with a shared key and keeps the list of VMs current until ctx
// ends or the store has another key, which it returns.
func (p *peerSet) link(ctx context.Context, transport network.Network, key string) string {
	links := peer.New(peer.Options{
		Self: p.self, Incarnation: int(time.Now().UnixMilli()), SharedKey: key, Client: network.Client(transport), Scheme: "ws",
		OnConnect: p.handleConnected, OnFrame: p.handleFrame, OnUndelivered: p.handleUnreachable,
	})
	p.mu.Lock()
	p.links = links
	p.mu.Unlock()
	defer links.Close()
	p.readVMList(ctx)
	p.greet(links)
	nextList := time.Now().Add(vmListInterval)
	for at := nextList.Add(secondListDelay - vmListInterval); ; at, nextList = nextList, nextList.Add(vmListInterval) {
		restored := p.sleepUntilRestored(ctx, at)
		if ctx.Err() != nil {
			return key
		}
		if restored {
			if stored := p.enterAgain(ctx, key); stored != key {
				return stored
			}
		}
		p.mu.Lock()
		p.listed = true
		p.mu.Unlock()
		p.readVMList(ctx)
	}
}

// storeRestored notes that the store has come back from an older copy, which may lack what this VM
// wrote.
func (p *peerSet) storeRestored() {
	select {
	case p.restored <- struct{}{}:
	default:
	}
}

// sleepUntilRestored waits until a time. It returns true at once when the store was restored.
func (p *peerSet) sleepUntilRestored(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-p.restored:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// enterAgain writes the key and the entry of this VM to the restored store, unless they are there,
// and returns the key that the store has then.
func (p *peerSet) enterAgain(ctx context.Context, key string) string {
	// All VMs do this at the same time.
	sleep.For(ctx, time.Duration(mathrand.Int64N(int64(maxEnterAgainDelay))))
	for ctx.Err() == nil {
		if stored, ok := p.offerKey(ctx, key); ok && p.register(ctx) {
			p.log.Info().Str("event", "enteredAgain").Bool("sameKey", stored == key).Msg("")
			return stored
		}
		sleep.For(ctx, joinRetryDelay)
	}
	return key
}

// readVMList adds the VMs that are listed in the store. The list may be stale, as VMs tell
// each other whom to follow.
func (p *peerSet) readVMList(ctx context.Context) {
	if listing, status := p.store.WithStaleReads().List(ctx, vmKeyPrefix); status == platform.OK {
		p.addListed(listing)
	}
}

// greet contacts the first VMs of the data centre, so that they know this one.
func (p *peerSet) greet(links *peer.Links) {
	p.mu.Lock()
	greeted := p.vms.FirstInDataCentre(greetedVMs)
	p.mu.Unlock()
	for _, vm := range greeted {
		beat := int(p.beats.Next(time.Now()))
		links.Send(vm, wire.Frame{Beat: &beat})
	}
}

// fleetKey reads the key shared by all VMs and creates it if there is none.
func (p *peerSet) fleetKey(ctx context.Context) (string, bool) {
	stale := p.store.WithStaleReads()
	object, status := stale.Get(ctx, fleetKeyName)
	if status == platform.NotFound && sleep.For(ctx, time.Duration(mathrand.Int64N(int64(maxFleetKeyDelay)))) {
		object, status = stale.Get(ctx, fleetKeyName)
	}
	if status != platform.NotFound {
		return decodeFleetKey(object, status)
	}
	raw := make([]byte, fleetKeyBytes)
	if _, err := rand.Read(raw); err != nil {
		return "", false
	}
	return p.offerKey(ctx, hex.EncodeToString(raw))
}

// offerKey writes a key unless the store has one, and returns the key that the store has then.
func (p *peerSet) offerKey(ctx context.Context, key string) (string, bool) {
	value, err := json.Marshal(fleetKey{Key: key})
	if err != nil {
		return "", false
	}
	p.store.Put(ctx, fleetKeyName, value, platform.Condition{Absent: true})
	// Read it back: another VM may have created it first, or the response to the write was lost.
	return decodeFleetKey(p.store.Get(ctx, fleetKeyName))
}

func decodeFleetKey(object platform.Object, status platform.Status) (string, bool) {
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
	_, status := p.store.Put(ctx, vmKeyPrefix+p.self.Name, value, platform.Condition{Absent: true})
	if status == platform.Conflict {
		// The entry of an earlier run, maybe with another address.
		_, status = p.store.Put(ctx, vmKeyPrefix+p.self.Name, value, platform.Condition{})
	}
	return status == platform.OK
}

// addListed adds or updates the listed VMs. A VM that is not listed is kept.
func (p *peerSet) addListed(listing platform.Listing) {
	p.mu.Lock()
	for _, object := range listing.Objects {
		var vm wire.VM
		if json.Unmarshal(object.Value, &vm) == nil {
			p.vms.Add(vm)
		}
	}
	size := p.fleetSize()
	p.mu.Unlock()
	p.onFleetSize(size)
}

// fleetSize returns the known VMs: with their names once the list was read a second time, as VMs
// that start together lack each other in the first. p.mu must be held.
func (p *peerSet) fleetSize() dispatch.FleetSize {
	var size dispatch.FleetSize
	size.VMs, size.Local = p.vms.Len()
	if p.listed {
		size.Names = p.vms.Names()
	}
	return size
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
	p.vms.Heard(time.Now(), vm)
	size := p.fleetSize()
	p.mu.Unlock()
	p.onFleetSize(size)
}

// handleUnreachable records that a frame could not be sent to a VM.
func (p *peerSet) handleUnreachable(name string, _ wire.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms.Lost(time.Now(), name) {
		p.log.Info().Str("event", "peerLost").Str("vm", name).Msg("")
	}
}

// handleFrame processes a frame from another VM.
func (p *peerSet) handleFrame(from wire.VM, frame wire.Frame) {
	p.mu.Lock()
	p.vms.Heard(time.Now(), from)
	p.mu.Unlock()
	if frame.Change != nil {
		p.receiveChange(from, *frame.Change)
	}
	if frame.Beat != nil {
		p.beats.Receive(from.Name, int64(*frame.Beat))
	}
	if frame.Ledger != nil {
		p.receiveLedger(from, frame.Ledger)
	}
	if frame.Crashes != nil {
		p.receiveEvidence(*frame.Crashes)
	}
}

// regionPeers returns the reachable VMs of this region.
func (p *peerSet) regionPeers(now time.Time) (*peer.Links, []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links, p.vms.InRegion(now)
}

// leads reports whether this VM reads the store for its region, and for how many others.
func (p *peerSet) leads(now time.Time) (followers int, leads bool) {
	canRead := p.canRead()
	p.mu.Lock()
	defer p.mu.Unlock()
	leads = p.vms.Leads(now, canRead)
	if leads != p.wasLeader {
		p.wasLeader = leads
		p.log.Info().Str("event", "leader").Bool("self", leads).Bool("canRead", canRead).Msg("")
	}
	return len(p.vms.InRegion(now)), leads
}
