package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the capacity of the queue of lines to be written, and maxQueuedBytes that of
	// all lines in it.
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
	// closeTimeout limits the time that Close waits for queued lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// Async writes lines in the background, so that a blocked output does not block
// the callers of Write. When its queue is full, lines are dropped and counted. It
// is safe for concurrent use.
type Async struct {
	out     io.Writer
	queue   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	// queued is the number of bytes in queue.
	queued atomic.Int64
}

// NewAsync returns an Async that writes to out. The caller must call Close.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a line, or drops it when the queue is full. It never blocks or
// returns an error.
func (a *Async) Write(line []byte) (int, error) {
	n := int64(len(line))
	if a.queued.Add(n) <= maxQueuedBytes {
		select {
		case a.queue <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	a.queued.Add(-n)
	a.dropped.Add(1)
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the
// output yet.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.queue:
			a.write(line)
		case <-a.closing:
			for {
				select {
				case line := <-a.queue:
					a.write(line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line. If lines were dropped before it, it first writes a line with
// their number.
func (a *Async) write(line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(a.out, "%s=%s level=warn event=linesLost count=%d\n",
			timeField, time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = a.out.Write(line)
	a.queued.Add(-int64(len(line)))
}

// Close writes the queued lines. It returns after closeTimeout even if some are
// left.
func (a *Async) Close() {
	close(a.closing)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-a.done:
	case <-t.C:
	}
}
