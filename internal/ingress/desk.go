package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
)

const (
	deskQueue = 1024
	tickEvery = 20 * time.Millisecond
)

// desk owns the decision core: one goroutine gives it messages and hands its
// actions to those who wait for them.
type desk struct {
	ctx      context.Context // ends when the server has stopped
	core     *dispatch.Core
	messages chan dispatch.Message
	// rescue and ledger are called from the desk's goroutine and do not block.
	rescue func(dispatch.MigrateStreams)
	ledger func(dispatch.PublishLedger)

	mu      sync.Mutex
	waiting map[uint64]chan dispatch.Action
}

func newDesk(ctx context.Context, core *dispatch.Core, rescue func(dispatch.MigrateStreams), ledger func(dispatch.PublishLedger)) *desk {
	return &desk{
		ctx: ctx, core: core, rescue: rescue, ledger: ledger, messages: make(chan dispatch.Message, deskQueue),
		waiting: map[uint64]chan dispatch.Action{},
	}
}

func (d *desk) run() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		var m dispatch.Message = dispatch.Tick{}
		select {
		case <-d.ctx.Done():
			return
		case m = <-d.messages:
		case <-t.C:
		}
		for _, a := range d.core.Step(time.Now(), m) {
			d.act(a)
		}
	}
}

func (d *desk) act(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Placed:
		d.answer(a.ID, a)
	case dispatch.Refused:
		d.answer(a.ID, a)
	case dispatch.Target:
		d.answer(targetKey(a.ID), a)
	case dispatch.MigrateStreams:
		d.rescue(a)
	case dispatch.PublishLedger:
		d.ledger(a)
	}
}

// targetKey keeps apart the two questions that one request may have open.
func targetKey(id uint64) uint64 { return id | 1<<63 }

func (d *desk) answer(key uint64, a dispatch.Action) {
	d.mu.Lock()
	ch, ok := d.waiting[key]
	delete(d.waiting, key)
	d.mu.Unlock()
	if ok {
		ch <- a
	}
}

// tell gives the core a message.
func (d *desk) tell(m dispatch.Message) {
	select {
	case d.messages <- m:
	case <-d.ctx.Done():
	}
}

// await gives the core a message and waits for the answer under a key. It
// reports false when the context ended first.
func (d *desk) await(ctx context.Context, key uint64, m dispatch.Message) (dispatch.Action, bool) {
	ch := make(chan dispatch.Action, 1)
	d.mu.Lock()
	d.waiting[key] = ch
	d.mu.Unlock()
	d.tell(m)
	select {
	case a := <-ch:
		return a, true
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	d.mu.Lock()
	delete(d.waiting, key)
	d.mu.Unlock()
	return nil, false
}
