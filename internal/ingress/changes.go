package ingress

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

// tellChange sends what this VM read in the store to the VMs of its region. It
// does not block.
func (n *neighbours) tellChange(x catalog.Change) {
	links, to := n.regional(time.Now())
	if links == nil {
		return
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
	if at, ok := n.beats.Date(c); ok {
		n.confirm(c.Prefix, catalog.Confirmation{Version: int64(c.Version), At: at})
	}
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
