package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
)

const (
	messageQueueLength = 1024
	tickInterval       = 20 * time.Millisecond
)

// eventLoop owns the decision core: one goroutine gives it messages and hands its
// actions to those who wait for them.
type eventLoop struct {
	ctx      context.Context // ends when the server has stopped
	core     *dispatch.Core
	messages chan dispatch.Message
	// onRescue and ledger are called from the desk's goroutine and do not block.
	onRescue func(dispatch.Rescue)
	onLedger func(dispatch.TellLedger)

	mu      sync.Mutex
	pending map[uint64]chan dispatch.Action
}

func newEventLoop(ctx context.Context, core *dispatch.Core, onRescue func(dispatch.Rescue), onLedger func(dispatch.TellLedger)) *eventLoop {
	return &eventLoop{
		ctx: ctx, core: core, onRescue: onRescue, onLedger: onLedger, messages: make(chan dispatch.Message, messageQueueLength),
		pending: map[uint64]chan dispatch.Action{},
	}
}

func (l *eventLoop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var msg dispatch.Message = dispatch.Tick{}
		select {
		case <-l.ctx.Done():
			return
		case msg = <-l.messages:
		case <-ticker.C:
		}
		for _, action := range l.core.Step(time.Now(), msg) {
			l.perform(action)
		}
	}
}

func (l *eventLoop) perform(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Placed:
		l.reply(action.ID, action)
	case dispatch.Refused:
		l.reply(action.ID, action)
	case dispatch.Target:
		l.reply(targetKey(action.ID), action)
	case dispatch.Rescue:
		l.onRescue(action)
	case dispatch.TellLedger:
		l.onLedger(action)
	}
}

// targetKey keeps apart the two questions that one request may have open.
func targetKey(id uint64) uint64 { return id | 1<<63 }

func (l *eventLoop) reply(key uint64, action dispatch.Action) {
	l.mu.Lock()
	ch, ok := l.pending[key]
	delete(l.pending, key)
	l.mu.Unlock()
	if ok {
		ch <- action
	}
}

// post gives the core a message.
func (l *eventLoop) post(msg dispatch.Message) {
	select {
	case l.messages <- msg:
	case <-l.ctx.Done():
	}
}

// call gives the core a message and waits for the answer under a key. It
// reports false when the context ended first.
func (l *eventLoop) call(ctx context.Context, key uint64, msg dispatch.Message) (dispatch.Action, bool) {
	ch := make(chan dispatch.Action, 1)
	l.mu.Lock()
	l.pending[key] = ch
	l.mu.Unlock()
	l.post(msg)
	select {
	case action := <-ch:
		return action, true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	delete(l.pending, key)
	l.mu.Unlock()
	return nil, false
}
