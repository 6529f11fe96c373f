package heapgate_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/heapgate"
)

const (
	maxBytes  = 1000
	headBytes = 50
)

// heap is a heap whose garbage is freed by collect.
type heap struct {
	mu                  sync.Mutex
	live, garbage, peak int64
	collections         int
}

func (h *heap) gate() *heapgate.Gate {
	return heapgate.New(heapgate.Options{MaxBytes: maxBytes, HeapBytes: h.bytes, Collect: h.collect})
}

func (h *heap) bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.live + h.garbage
}

func (h *heap) collect() {
	time.Sleep(10 * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.garbage = 0
	h.collections++
}

func (h *heap) allocate(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live += bytes
	h.peak = max(h.peak, h.live+h.garbage)
}

func (h *heap) drop(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live -= bytes
	h.garbage += bytes
}

// TestHeapStaysWithinItsBound plays clients that come again at once, and goroutines that allocate, and
// drop what they have read, late.
func TestHeapStaysWithinItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h heap
		gate := h.gate()
		var clients sync.WaitGroup
		for client := range 100 {
			random := rand.New(rand.NewPCG(1, uint64(client)))
			clients.Go(func() {
				for range 20 {
					if !gate.Take(headBytes, nil) {
						continue
					}
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
					h.allocate(headBytes)
					gate.Done(headBytes)
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
					h.drop(headBytes)
				}
			})
		}
		clients.Wait()
		if h.peak > maxBytes {
			t.Errorf("the heap grew to %d bytes, %d are allowed", h.peak, maxBytes)
		}
		if h.collections == 0 {
			t.Error("the garbage was never collected")
		}
		if !gate.Take(headBytes, nil) {
			t.Error("nothing was granted after the clients had left")
		}
	})
}

// TestTakeEnds asks a full heap for memory.
func TestTakeEnds(t *testing.T) {
	for _, c := range []struct {
		name   string
		cancel bool
		least  time.Duration
		most   time.Duration
	}{
		{name: "refused", least: 900 * time.Millisecond, most: 1100 * time.Millisecond},
		{name: "cancelled", cancel: true, most: 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var h heap
				h.allocate(maxBytes)
				gate, cancel, began := h.gate(), make(chan struct{}), time.Now()
				if c.cancel {
					time.AfterFunc(50*time.Millisecond, func() { close(cancel) })
				}
				if gate.Take(headBytes, cancel) {
					t.Error("memory of a full heap was granted")
				}
				if took := time.Since(began); took < c.least || took > c.most {
					t.Errorf("it took %v", took)
				}
				h.drop(maxBytes)
				if !gate.Take(headBytes, nil) {
					t.Error("no memory was granted after the heap had become free")
				}
			})
		})
	}
}

// TestGatesOrder asks a full heap for memory several times. It is granted in this order.
func TestGatesOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h heap
		h.allocate(maxBytes)
		gate := h.gate()
		order := make(chan int, 5)
		var callers sync.WaitGroup
		for i := range 5 {
			time.Sleep(time.Millisecond)
			callers.Go(func() {
				if gate.Take(headBytes, nil) {
					order <- i
				}
			})
		}
		for range 5 {
			time.Sleep(50 * time.Millisecond)
			h.drop(headBytes)
		}
		callers.Wait()
		close(order)
		var got []int
		for i := range order {
			got = append(got, i)
		}
		if diff := cmp.Diff([]int{0, 1, 2, 3, 4}, got); diff != "" {
			t.Errorf("granted (-want +got):\n%s", diff)
		}
	})
}
