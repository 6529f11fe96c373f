// Package readlimit bounds the memory that bytes of other processes take: headers,
// bodies, and all bodies of a process together. A server in trouble may send bytes
// without end until its connection is closed.
package readlimit

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/heapgate"
)

// Errors of this package.
var (
	// ErrHeaderTooLong means that a header exceeded the limit of its Header.
	ErrHeaderTooLong = eris.New("header too long")
	// ErrBodyTooLong means that a body exceeded the limit of one body.
	ErrBodyTooLong = eris.New("body too long")
	// ErrBudgetExhausted means that all bodies together exceeded their budget.
	ErrBudgetExhausted = eris.New("memory for bodies is exhausted")
)

// Header passes on the bytes of R and limits how many are read between Begin and End.
type Header struct {
	R io.Reader
	// left is how many bytes may still be read; it counts only while limited is set.
	left    int
	limited bool
}

// Begin allows at most limit more bytes until End.
func (h *Header) Begin(limit int) { h.left, h.limited = limit, true }

// End removes the limit.
func (h *Header) End() { h.limited = false }

// Read reads from R. It returns ErrHeaderTooLong once the limit has been reached.
func (h *Header) Read(b []byte) (int, error) {
	if !h.limited {
		return h.R.Read(b)
	}
	if h.left <= 0 {
		return 0, ErrHeaderTooLong
	}
	n, err := h.R.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

// Budget is the memory for all bodies that are buffered at the same time. It is safe
// for concurrent use.
type Budget struct {
	limit int64
	heap  *heapgate.Gate // may be nil
	used  atomic.Int64
}

// New returns a budget of limit bytes. heap delays reading long bodies while the heap of the process is
// full; it may be nil.
func New(limit int64, heap *heapgate.Gate) *Budget { return &Budget{limit: limit, heap: heap} }

// Used returns the number of bytes reserved at present.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reservation is the part of a budget that one body takes. It is not safe for concurrent
// use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Add reserves n more bytes. It reports false when the budget would be exceeded.
func (r *Reservation) Add(n int64) bool {
	if r.budget.used.Add(n) > r.budget.limit {
		r.budget.used.Add(-n)
		return false
	}
	r.bytes += n
	return true
}

// AddOrAlone is Add, but does not fail while nothing else is reserved, so that a single large body is
// handled.
func (r *Reservation) AddOrAlone(n int64) bool {
	if used := r.budget.used.Add(n); used > r.budget.limit && used > r.bytes+n {
		r.budget.used.Add(-n)
		return false
	}
	r.bytes += n
	return true
}

// Keep frees all but n bytes of the reservation.
func (r *Reservation) Keep(n int64) {
	if n < r.bytes {
		r.budget.used.Add(n - r.bytes)
		r.bytes = n
	}
}

// Release frees the reservation. r may be nil, and Release may be called again.
func (r *Reservation) Release() {
	if r != nil {
		r.budget.used.Add(-r.bytes)
		r.bytes = 0
	}
}

// GrantedBytes is the size up to which a body gets memory also when the budget is exhausted,
// so that long bodies do not keep short ones out.
const GrantedBytes = 4 << 10

// gatedBytes is the size above which a block of a body waits for room on the heap.
const gatedBytes = 32 << 10

// allocate returns an empty block of the given capacity. It reports false if the heap is full.
func (r *Reservation) allocate(capacity int64) ([]byte, bool) {
	if r.budget.heap == nil || capacity <= gatedBytes {
		return make([]byte, 0, capacity), true
	}
	if !r.budget.heap.Take(capacity, nil) {
		return nil, false
	}
	defer r.budget.heap.Done(capacity)
	return make([]byte, 0, capacity), true
}

// grow reserves the memory for a body that grows from one size to another. It reports false
// when the budget would be exceeded.
func (r *Reservation) grow(from, to int64) bool {
	if to <= GrantedBytes {
		r.budget.used.Add(to - from)
		r.bytes += to - from
		return true
	}
	return r.Add(to - from)
}

// Grow returns a block of the given capacity with the bytes of a smaller one, whose capacity is
// reserved, in its place. It reports false when the budget does not suffice or the heap is full.
func (r *Reservation) Grow(block []byte, capacity int64) ([]byte, bool) {
	if !r.grow(0, capacity) {
		return nil, false
	}
	grown, ok := r.allocate(capacity)
	if !ok {
		r.grow(capacity, 0)
		return nil, false
	}
	// Both blocks exist while the bytes are copied.
	grown = append(grown, block...)
	r.grow(int64(cap(block)), 0)
	return grown, true
}

// ReadAll reads body to its end and reserves its bytes. length is the announced length in
// bytes, or negative. The error is ErrBodyTooLong for a body of more than limit bytes and
// ErrBudgetExhausted when the budget does not suffice or the heap is full; the bytes read so
// far are then returned too.
func (r *Reservation) ReadAll(body io.Reader, length, limit int64) ([]byte, error) {
	var out []byte
	if length > limit {
		return nil, ErrBodyTooLong
	}
	if length >= 0 {
		// One byte more, so that the end is found without another block.
		if !r.grow(0, length+1) {
			return nil, ErrBudgetExhausted
		}
		var ok bool
		if out, ok = r.allocate(length + 1); !ok {
			return nil, ErrBudgetExhausted
		}
	}
	for {
		if len(out) == cap(out) {
			// One byte beyond the limit shows that a body is too long.
			grown, ok := r.Grow(out, min(max(GrantedBytes, 2*int64(cap(out))), limit+1))
			if !ok {
				return out, ErrBudgetExhausted
			}
			out = grown
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if int64(len(out)) > limit {
			return out, ErrBodyTooLong
		}
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}
