package dispatch

import "time"

const (
	budgetBuckets = 20
	// ownRatio keeps a part of the shared ratio in reserve, as VMs count their
	// windows apart.
	ownRatio = 0.75
	// leastFleet divides the fixed part of a budget while fewer VMs are known.
	leastFleet = 10
)

// window counts what happened in the last span of time, in buckets.
type window struct {
	span    time.Duration
	buckets [budgetBuckets]int
	first   time.Time // begin of the newest bucket
	newest  int
}

func (w *window) advance(now time.Time) {
	step := w.span / budgetBuckets
	if now.Sub(w.first) > 2*w.span {
		w.buckets = [budgetBuckets]int{}
		w.first = now
		return
	}
	for now.Sub(w.first) >= step {
		w.first = w.first.Add(step)
		w.newest = (w.newest + 1) % budgetBuckets
		w.buckets[w.newest] = 0
	}
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.buckets[w.newest] += n
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	n := 0
	for _, b := range w.buckets {
		n += b
	}
	return n
}

// budget bounds the repeats of one service by this VM.
type budget struct {
	requests, repeats window
	ratio             float64
}

func (c *Core) budget(service string) *budget {
	b, ok := c.budgets[service]
	if !ok {
		b = &budget{
			requests: window{span: c.opts.RetryWindow}, repeats: window{span: c.opts.RetryWindow},
			ratio: c.opts.RetryRatio * ownRatio,
		}
		c.budgets[service] = b
	}
	return b
}

// allows reports whether one more repeat keeps within the budget, of whose fixed
// part this VM has a share.
func (b *budget) allows(now time.Time, share float64) bool {
	return float64(b.repeats.sum(now)+1) <= b.ratio*float64(b.requests.sum(now))+share
}
