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
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// Keys of the platform's objects.
const (
	keyRevisions = "config/rev/"
	keySnapshot  = "config/snapshot"
	keyConfig    = "config/"
	keyBackends  = "backends/"
	keyVMs       = "vms/"
	keyIncidents = "incidents/"
)

const (
	watchTime     = 25 * time.Second
	firstPause    = 200 * time.Millisecond
	longestPause  = 5 * time.Second
	seekPause     = time.Second
	registerPause = 2 * time.Second
)

// watchPlatform starts or ends this VM's watches.
func (v *VM) watchPlatform(on bool) {
	if v.watch != nil {
		v.watch()
		v.watch = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(v.ctx)
	v.watch = cancel
	v.spawn(func() { v.follow(ctx, keyConfig, v.readConfig) })
	lists := &lists{backends: map[string]wire.Backend{}, vms: map[string]wire.VM{}}
	v.spawn(func() { v.follow(ctx, keyBackends, lists.take(v, keyBackends)) })
	v.spawn(func() { v.follow(ctx, keyVMs, lists.take(v, keyVMs)) })
}

// follow lists a prefix and then watches it, handing over all objects first
// and then those that changed.
func (v *VM) follow(ctx context.Context, prefix string, take func(platform.Listing)) {
	wait := firstPause
	after := int64(-1)
	for ctx.Err() == nil {
		var l platform.Listing
		var st platform.Status
		if after < 0 {
			l, st = v.platform.List(ctx, prefix)
		} else {
			l, st = v.platform.Watch(ctx, prefix, after, time.Now().Add(watchTime))
		}
		if st == platform.Gone {
			after = -1
			continue
		}
		if st != platform.OK {
			jitter := time.Duration(rand.Int64N(int64(wait)))
			if !pause.For(ctx, wait/2+jitter) {
				return
			}
			wait = min(2*wait, longestPause)
			continue
		}
		wait = firstPause
		v.synced.Store(true)
		if after < 0 || len(l.Objects) > 0 {
			take(l)
		}
		after = max(after, l.Version)
	}
}

// readConfig hands revisions and snapshots to the core, which ignores what is
// not newer.
func (v *VM) readConfig(l platform.Listing) {
	m := control.RevisionsRead{}
	for _, o := range l.Objects {
		switch {
		case o.Deleted:
		case o.Key == keySnapshot:
			var s wire.Snapshot
			if json.Unmarshal(o.Value, &s) == nil {
				m.Snapshot = &s
			}
		case strings.HasPrefix(o.Key, keyRevisions):
			var r wire.Revision
			if json.Unmarshal(o.Value, &r) == nil {
				m.Revisions = append(m.Revisions, r)
			}
		}
	}
	slices.SortFunc(m.Revisions, func(a, b wire.Revision) int { return a.Number - b.Number })
	v.tell(m)
}

// lists merges the changes of the platform's lists.
type lists struct {
	backends map[string]wire.Backend
	vms      map[string]wire.VM
}

func (s *lists) take(v *VM, prefix string) func(platform.Listing) {
	return func(l platform.Listing) {
		v.mu.Lock()
		s.forget(l, prefix)
		for _, o := range l.Objects {
			s.apply(o)
		}
		m := control.PlatformListed{VMs: sortedValues(s.vms)}
		if prefix == keyBackends {
			m.Version, m.Backends = l.Version, sortedValues(s.backends)
		}
		v.mu.Unlock()
		v.tell(m)
	}
}

// forget drops what a full listing does not hold any more.
func (s *lists) forget(l platform.Listing, prefix string) {
	switch {
	case l.Full && prefix == keyBackends:
		clear(s.backends)
	case l.Full && prefix == keyVMs:
		clear(s.vms)
	}
}

func (s *lists) apply(o platform.Object) {
	if name, ok := strings.CutPrefix(o.Key, keyBackends); ok {
		put(s.backends, name, o)
	}
	if name, ok := strings.CutPrefix(o.Key, keyVMs); ok {
		put(s.vms, name, o)
	}
}

func put[T any](m map[string]T, name string, o platform.Object) {
	var x T
	if o.Deleted || json.Unmarshal(o.Value, &x) != nil {
		delete(m, name)
		return
	}
	m[name] = x
}

func sortedValues[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

// seek links to the seeds of the settings until another VM was met.
func (v *VM) seek() {
	for !v.knowsOthers() {
		for _, addr := range v.opts.Settings.Peers.Seeds {
			if addr != v.self.PeerAddress {
				v.links.DialAddress(addr)
			}
		}
		if !pause.For(v.ctx, seekPause) {
			return
		}
	}
}

func (v *VM) knowsOthers() bool { return len(v.view.Load().Members) > 1 }

// register lists this VM in the platform, so that starting VMs find it.
func (v *VM) register() {
	value, err := json.Marshal(v.self)
	if err != nil {
		panic("vm: own description does not marshal: " + err.Error())
	}
	for {
		if _, st := v.platform.Put(v.ctx, keyVMs+v.self.Name, value, platform.Condition{}); st == platform.OK {
			return
		}
		if !pause.For(v.ctx, registerPause) {
			return
		}
	}
}

// unregister takes a stopping VM off the list. A list that stays wrong does no
// harm: it is only a seed.
func (v *VM) unregister() {
	v.platform.Delete(v.ctx, keyVMs+v.self.Name, platform.Condition{})
}
