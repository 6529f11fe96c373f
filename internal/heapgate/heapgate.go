// Package heapgate delays allocations while the heap of the process is full.
//
// Load pattern: clients whose requests are closed or refused in favour of others, and who come again at
// once. Limits on what requests take at a time are met, but the memory of the requests before is free
// only once the goroutines that read them have run again and the garbage collector has passed. While
// processor time is short both come later than the next requests.
package heapgate

import (
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// maxWait bounds the time for which an allocation is delayed.
	maxWait = time.Second
	// minPause is the least time between two collections for a full heap. It is at least as long as the
	// collection took.
	minPause = 5 * time.Millisecond
)

// Options configures a Gate.
type Options struct {
	// MaxBytes is the size of the heap up to which memory is granted.
	MaxBytes int64
	// HeapBytes returns the size of the heap with what the garbage collector has not freed yet. Collect
	// runs the garbage collector.
	HeapBytes func() int64
	Collect   func()
}

// Gate grants memory in the order in which it is asked for. It is safe for concurrent use.
type Gate struct {
	opts Options
	// turn holds an element while one caller waits for the heap; the others wait for their turn.
	turn chan struct{}
	// granted is the memory that may not have been allocated yet.
	granted atomic.Int64
}

// New returns a gate.
func New(opts Options) *Gate { return &Gate{opts: opts, turn: make(chan struct{}, 1)} }

// ForProcess returns a gate for the heap of the process.
func ForProcess(maxBytes int64) *Gate {
	return New(Options{MaxBytes: maxBytes, HeapBytes: heapBytes, Collect: runtime.GC})
}

func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// Take waits until there is room for bytes on the heap. It reports false, and grants nothing, if there
// is none within a second or if cancel is closed before. After the allocation Done must be called.
func (g *Gate) Take(bytes int64, cancel <-chan struct{}) bool {
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	select {
	case g.turn <- struct{}{}:
		defer func() { <-g.turn }()
	case <-cancel:
		return false
	case <-deadline.C:
		return false
	}
	for !g.hasRoom(bytes) {
		began := time.Now()
		if g.opts.Collect(); g.hasRoom(bytes) {
			break
		}
		select {
		case <-time.After(max(minPause, time.Since(began))):
		case <-cancel:
			return false
		case <-deadline.C:
			return false
		}
	}
	g.granted.Add(bytes)
	return true
}

// Done records that memory that was granted has been allocated or will not be.
func (g *Gate) Done(bytes int64) { g.granted.Add(-bytes) }

func (g *Gate) hasRoom(bytes int64) bool {
	return g.opts.HeapBytes()+g.granted.Load()+bytes <= g.opts.MaxBytes
}
