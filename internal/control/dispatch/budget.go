package dispatch

import "time"

const (
	windowBuckets = 20
	// localRatioFactor leaves a margin below the configured ratio, as each VM
	// counts its own window.
	localRatioFactor = 0.75
	// minFleetSize is the least number of VMs among which the fixed part of a
	// budget is divided.
	minFleetSize = 10
)

// window is a sliding-window counter over span, in buckets.
type window struct {
	span        time.Duration
	buckets     [windowBuckets]int
	newestStart time.Time // start of the newest bucket
	newest      int
}

func (w *window) advance(now time.Time) {
	step := w.span / windowBuckets
	if now.Sub(w.newestStart) > 2*w.span {
		w.buckets = [windowBuckets]int{}
		w.newestStart = now
		return
	}
	for now.Sub(w.newestStart) >= step {
		w.newestStart = w.newestStart.Add(step)
		w.newest = (w.newest + 1) % windowBuckets
		w.buckets[w.newest] = 0
	}
}

func (w *window) add(now time.Time) {
	w.advance(now)
	w.buckets[w.newest]++
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	n := 0
	for _, b := range w.buckets {
		n += b
	}
	return n
}

// retryBudget bounds the retries of one service by this VM.
type retryBudget struct {
	requests, retries window
	ratio             float64
}

func (c *Core) retryBudget(service string) *retryBudget {
	b, ok := c.budgets[service]
	if !ok {
		b = &retryBudget{
			requests: window{span: c.opts.RetryWindow}, retries: window{span: c.opts.RetryWindow},
			ratio: c.opts.RetryRatio * localRatioFactor,
		}
		c.budgets[service] = b
	}
	return b
}

// allowsRetry reports whether one more retry stays within the budget. fixedShare is
// this VM's share of the fixed part.
func (b *retryBudget) allowsRetry(now time.Time, fixedShare float64) bool {
	return float64(b.retries.sum(now)+1) <= b.ratio*float64(b.requests.sum(now))+fixedShare
}
