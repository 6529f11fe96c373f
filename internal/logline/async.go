package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines bounds the lines that wait to be written.
	asyncQueueLines = 4096
	// closeTimeout bounds the writing of the lines that are left at the end.
	closeTimeout = 300 * time.Millisecond
)

// Async writes lines in the background, so that a reader that stands still
// delays nobody: lines that find no place are lost and counted. It is safe for
// concurrent use.
type Async struct {
	out     io.Writer
	queue   chan []byte
	closing chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsync returns a writer in front of out that Close ends.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, queue: make(chan []byte, asyncQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a line. It never blocks and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.queue <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were lost and not reported yet.
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

// write writes a line, and first how many were lost before it.
func (a *Async) write(line []byte) {
	if n := a.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(a.out, "%s=%s level=warn event=linesLost count=%d\n",
			timeField, time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = a.out.Write(line)
}

// Close writes the lines that are left, for a short time at most.
func (a *Async) Close() {
	close(a.closing)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-a.done:
	case <-t.C:
	}
}
