package vm

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// Keys and key prefixes of objects in the platform.
const (
	revisionKeyPrefix = "config/rev/"
	snapshotKey       = "config/snapshot"
	configKeyPrefix   = "config/"
	backendKeyPrefix  = "backends/"
	vmKeyPrefix       = "vms/"
	incidentKeyPrefix = "incidents/"
)

const (
	watchTimeout          = 25 * time.Second
	initialBackoff        = 200 * time.Millisecond
	maxBackoff            = 5 * time.Second
	seedRetryInterval     = time.Second
	registerRetryInterval = 2 * time.Second
)

// setWatching starts or stops watching the platform. It is called only by the
// core's event loop.
func (v *VM) setWatching(enabled bool) {
	if v.stopWatches != nil {
		v.stopWatches()
		v.stopWatches = nil
	}
	if !enabled {
		return
	}
	ctx, cancel := context.WithCancel(v.ctx)
	v.stopWatches = cancel
	v.spawn(func() { v.listAndWatch(ctx, configKeyPrefix, v.handleConfig) })
	merged := &platformLists{backends: map[string]wire.Backend{}, vms: map[string]wire.VM{}}
	v.spawn(func() { v.listAndWatch(ctx, backendKeyPrefix, merged.handler(v, backendKeyPrefix)) })
	v.spawn(func() { v.listAndWatch(ctx, vmKeyPrefix, merged.handler(v, vmKeyPrefix)) })
}

// listAndWatch lists the objects under a prefix and then watches it for changes.
// It passes handle all objects first and then those that changed. When the platform
// no longer has the history since the last version read, it lists again.
func (v *VM) listAndWatch(ctx context.Context, prefix string, handle func(platform.Listing)) {
	backoff := initialBackoff
	after := int64(-1)
	for ctx.Err() == nil {
		var listing platform.Listing
		var status platform.Status
		if after < 0 {
			listing, status = v.platform.List(ctx, prefix)
		} else {
			listing, status = v.platform.Watch(ctx, prefix, after, time.Now().Add(watchTimeout))
		}
		if status == platform.Gone {
			after = -1
			continue
		}
		if status != platform.OK {
			jitter := time.Duration(rand.Int64N(int64(backoff)))
			if !sleep.For(ctx, backoff/2+jitter) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = initialBackoff
		v.synced.Store(true)
		if after < 0 || len(listing.Objects) > 0 {
			handle(listing)
		}
		after = max(after, listing.Version)
	}
}

// handleConfig passes revisions and snapshots to the core, which ignores those that
// are not newer than its configuration.
func (v *VM) handleConfig(listing platform.Listing) {
	message := control.RevisionsRead{}
	for _, object := range listing.Objects {
		switch {
		case object.Deleted:
		case object.Key == snapshotKey:
			var snapshot wire.Snapshot
			if json.Unmarshal(object.Value, &snapshot) == nil {
				message.Snapshot = &snapshot
			}
		case strings.HasPrefix(object.Key, revisionKeyPrefix):
			var revision wire.Revision
			if json.Unmarshal(object.Value, &revision) == nil {
				message.Revisions = append(message.Revisions, revision)
			}
		}
	}
	slices.SortFunc(message.Revisions, func(a, b wire.Revision) int { return a.Number - b.Number })
	v.enqueue(message)
}

// platformLists is the platform's current backends and VMs, merged from listings
// and changes. It is guarded by VM.mu.
type platformLists struct {
	backends map[string]wire.Backend
	vms      map[string]wire.VM
}

// handler returns a function that merges the listings of a prefix and passes the
// resulting lists to the core.
func (p *platformLists) handler(v *VM, prefix string) func(platform.Listing) {
	return func(listing platform.Listing) {
		v.mu.Lock()
		p.clearIfFull(listing, prefix)
		for _, object := range listing.Objects {
			p.apply(object)
		}
		message := control.PlatformListed{VMs: sortedValues(p.vms)}
		if prefix == backendKeyPrefix {
			message.Version, message.Backends = listing.Version, sortedValues(p.backends)
		}
		v.mu.Unlock()
		v.enqueue(message)
	}
}

// clearIfFull empties the list that a full listing replaces.
func (p *platformLists) clearIfFull(listing platform.Listing, prefix string) {
	switch {
	case listing.Full && prefix == backendKeyPrefix:
		clear(p.backends)
	case listing.Full && prefix == vmKeyPrefix:
		clear(p.vms)
	}
}

func (p *platformLists) apply(object platform.Object) {
	if name, ok := strings.CutPrefix(object.Key, backendKeyPrefix); ok {
		applyObject(p.backends, name, object)
	}
	if name, ok := strings.CutPrefix(object.Key, vmKeyPrefix); ok {
		applyObject(p.vms, name, object)
	}
}

// applyObject stores the decoded object in m. A deleted or invalid object is
// removed.
func applyObject[T any](m map[string]T, name string, object platform.Object) {
	var value T
	if object.Deleted || json.Unmarshal(object.Value, &value) != nil {
		delete(m, name)
		return
	}
	m[name] = value
}

func sortedValues[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// connectToSeeds connects to the seeds from the settings until this VM has a peer.
func (v *VM) connectToSeeds() {
	for !v.hasPeers() {
		for _, addr := range v.opts.Settings.Peers.Seeds {
			if addr != v.self.PeerAddress {
				v.links.DialAddress(addr)
			}
		}
		if !sleep.For(v.ctx, seedRetryInterval) {
			return
		}
	}
}

func (v *VM) hasPeers() bool { return len(v.view.Load().Members) > 1 }

// register adds this VM to the platform's list of VMs, through which starting VMs
// find their peers.
func (v *VM) register() {
	value, err := json.Marshal(v.self)
	if err != nil {
		panic("vm: own description does not marshal: " + err.Error())
	}
	for {
		if _, status := v.platform.Put(v.ctx, vmKeyPrefix+v.self.Name, value, platform.Condition{}); status == platform.OK {
			return
		}
		if !sleep.For(v.ctx, registerRetryInterval) {
			return
		}
	}
}

// unregister removes a stopping VM from the list. A stale entry does no harm, as
// the list is only used to find peers.
func (v *VM) unregister() {
	v.platform.Delete(v.ctx, vmKeyPrefix+v.self.Name, platform.Condition{})
}
