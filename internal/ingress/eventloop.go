package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
)

const (
	messageQueueLength = 1024
)

// eventLoop owns the dispatch core, which is not safe for concurrent use: one goroutine
// passes messages to the core and carries out the actions that it returns.
type eventLoop struct {
	ctx      context.Context // cancelled when the server stops
	core     *dispatch.Core
	messages chan dispatch.Message
	// perform carries out the actions that are no replies. It is called from the loop's
	// goroutine and must not block.
	perform func(dispatch.Action)

	mu sync.Mutex
	// pending holds the channels of open calls by key.
	pending map[uint64]chan dispatch.Action
}

func newEventLoop(ctx context.Context, core *dispatch.Core, perform func(dispatch.Action)) *eventLoop {
	return &eventLoop{
		ctx: ctx, core: core, perform: perform, messages: make(chan dispatch.Message, messageQueueLength),
		pending: map[uint64]chan dispatch.Action{},
	}
}

// run passes messages to the core, and ticks when they are due, until the server stops.
func (l *eventLoop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var msg dispatch.Message = dispatch.Tick{}
		select {
		case <-l.ctx.Done():
			return
		case msg = <-l.messages:
		case <-timer.C:
		}
		for _, action := range l.core.Step(time.Now(), msg) {
			l.handle(action)
		}
		timer.Reset(time.Until(l.core.NextTick()))
	}
}

// handle passes a reply to its caller and carries out any other action.
func (l *eventLoop) handle(action dispatch.Action) {
	switch action := action.(type) {
	case dispatch.Placed:
		l.reply(action.ID, action)
	case dispatch.Refused:
		l.reply(action.ID, action)
	case dispatch.StreamEstimate:
		l.reply(action.ID, action)
	case dispatch.Target:
		l.reply(targetKey(action.ID), action)
	default:
		l.perform(action)
	}
}

// targetKey returns the key of the call for a request's copy target. It differs from
// the request's ID, which is the key of the call for its server.
func targetKey(id uint64) uint64 { return id | 1<<63 }

// reply passes an action to the open call with the key, if there is one.
func (l *eventLoop) reply(key uint64, action dispatch.Action) {
	l.mu.Lock()
	ch, ok := l.pending[key]
	delete(l.pending, key)
	l.mu.Unlock()
	if ok {
		ch <- action
	}
}

// post queues a message for the core. It blocks while the queue is full.
func (l *eventLoop) post(msg dispatch.Message) {
	select {
	case l.messages <- msg:
	case <-l.ctx.Done():
	}
}

// call queues a message for the core and waits for the action with the given key. It
// reports false when a context ends first.
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
