package ingress

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// changeBytes bounds what one VM sends of changes in a second, to all others
	// together: links are as slow as 1.25 MB/s and carry answers of callers too.
	changeBytes = 200 << 10
	// objectBytes is the size of an object beside its value.
	objectBytes = 64
)

func newChangeBudget() *rate.Limiter { return rate.NewLimiter(changeBytes, 2*changeBytes) }

// tellChange sends what this VM read in the store to the VMs of its region.
// When that is more than its link should carry, it sends that something changed
// and the others read it in the store. It does not block.
func (n *neighbours) tellChange(x catalog.Change) {
	now := time.Now()
	links, to := n.regional(now)
	if links == nil {
		return
	}
	if size := changeSize(x) * len(to); size > 0 && !n.changes.AllowN(now, size) {
		x.Objects, x.Omitted = nil, true
	}
	change := writeChange(x)
	for _, vm := range to {
		c := *change
		c.Confirmed = n.beats.Read(vm.Name, x.Prefix)
		links.Send(vm, wire.Frame{Change: &c})
	}
}

// takeChange takes what another VM read in the store, and answers with a beat
// by which its next reads can be dated.
func (n *neighbours) takeChange(from wire.VM, x wire.Change) {
	n.change(readChange(x))
	if x.Confirmed != nil {
		n.takeConfirmed(*x.Confirmed)
	}
	n.mu.Lock()
	links := n.links
	n.mu.Unlock()
	if links != nil {
		beat := int(n.beats.Next(time.Now()))
		links.Send(from, wire.Frame{Beat: &beat})
	}
}

// takeConfirmed takes another VM's exact read if it can be dated.
func (n *neighbours) takeConfirmed(c wire.Confirmed) {
	if at, ok := n.beats.EarliestStart(c); ok {
		n.confirm(c.Prefix, catalog.Confirmation{Version: int64(c.Version), At: at})
	}
}

func changeSize(x catalog.Change) int {
	size := 0
	for _, o := range x.Objects {
		size += objectBytes + len(o.Value)
	}
	return size
}

func writeChange(x catalog.Change) *wire.Change {
	out := &wire.Change{
		Prefix: x.Prefix, After: int(x.After), Version: int(x.Version), Omitted: x.Omitted,
		Objects: make([]wire.ChangedObject, 0, len(x.Objects)),
	}
	for _, o := range x.Objects {
		out.Objects = append(out.Objects, wire.ChangedObject{
			Key: o.Key, Version: int(o.Version), Deleted: o.Deleted, Value: string(o.Value),
		})
	}
	return out
}

func readChange(x wire.Change) catalog.Change {
	out := catalog.Change{
		Prefix: x.Prefix, After: int64(x.After), Version: int64(x.Version), Omitted: x.Omitted,
		Objects: make([]platform.Object, 0, len(x.Objects)),
	}
	for _, o := range x.Objects {
		out.Objects = append(out.Objects, platform.Object{
			Key: o.Key, Version: int64(o.Version), Deleted: o.Deleted, Value: []byte(o.Value),
		})
	}
	return out
}
