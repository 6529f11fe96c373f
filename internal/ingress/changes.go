package ingress

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// changeBytesPerSecond limits the changes that one VM sends to all others together:
	// links may be as slow as 1.25 MB/s and also carry responses to callers.
	changeBytesPerSecond = 200 << 10
	// objectOverheadBytes is the size of an encoded object without its value.
	objectOverheadBytes = 64
)

func newChangeBudget() *rate.Limiter {
	return rate.NewLimiter(changeBytesPerSecond, 2*changeBytesPerSecond)
}

// sendChange sends a change that this VM read in the store to the VMs of its region. If
// the objects exceed changeBudget, they are omitted and the receivers read them from
// the store. It does not block.
func (p *peerSet) sendChange(change catalog.Change) {
	now := time.Now()
	links, receivers := p.regionPeers(now)
	if links == nil {
		return
	}
	if size := changeSize(change) * len(receivers); size > 0 && !p.changeBudget.AllowN(now, size) {
		change.Objects, change.Omitted = nil, true
	}
	msg := changeToWire(change)
	for _, vm := range receivers {
		perVM := *msg
		perVM.Confirmed = p.beats.Confirmation(vm.Name, change.Prefix)
		links.Send(vm, wire.Frame{Change: &perVM})
	}
}

// receiveChange processes a change that another VM read in the store. It replies with
// a beat, so that this VM can date that VM's next read.
func (p *peerSet) receiveChange(from wire.VM, change wire.Change) {
	p.onChange(changeFromWire(change))
	if change.Confirmed != nil {
		p.receiveConfirmed(*change.Confirmed)
	}
	p.mu.Lock()
	links := p.links
	p.mu.Unlock()
	if links != nil {
		beat := int(p.beats.Next(time.Now()))
		links.Send(from, wire.Frame{Beat: &beat})
	}
}

// receiveConfirmed passes another VM's linearizable read on if its start can be dated.
func (p *peerSet) receiveConfirmed(confirmed wire.Confirmed) {
	if at, ok := p.beats.EarliestStart(confirmed); ok {
		p.onConfirmation(confirmed.Prefix, catalog.Confirmation{Version: int64(confirmed.Version), At: at})
	}
}

// changeSize returns the approximate size of an encoded change in bytes; 0 if it has no
// objects.
func changeSize(change catalog.Change) int {
	size := 0
	for _, object := range change.Objects {
		size += objectOverheadBytes + len(object.Value)
	}
	return size
}

func changeToWire(change catalog.Change) *wire.Change {
	out := &wire.Change{
		Prefix: change.Prefix, After: int(change.After), Version: int(change.Version), Omitted: change.Omitted,
		Objects: make([]wire.ChangedObject, 0, len(change.Objects)),
	}
	for _, object := range change.Objects {
		out.Objects = append(out.Objects, wire.ChangedObject{
			Key: object.Key, Version: int(object.Version), Deleted: object.Deleted, Value: string(object.Value),
		})
	}
	return out
}

func changeFromWire(change wire.Change) catalog.Change {
	out := catalog.Change{
		Prefix: change.Prefix, After: int64(change.After), Version: int64(change.Version), Omitted: change.Omitted,
		Objects: make([]platform.Object, 0, len(change.Objects)),
	}
	for _, object := range change.Objects {
		out.Objects = append(out.Objects, platform.Object{
			Key: object.Key, Version: int64(object.Version), Deleted: object.Deleted, Value: []byte(object.Value),
		})
	}
	return out
}
