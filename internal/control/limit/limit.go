// Package limit bounds what each workspace may use, without a store call for a
// request: every VM enforces its share of the fleet's limit.
package limit

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// burstWindow is how long a workspace's unused rate is kept.
const burstWindow = time.Second

type bucket struct {
	tokens     float64
	refilledAt time.Time
	open       int
}

// Limits counts the requests of this VM by workspace. It is not safe for
// concurrent use.
type Limits struct{ buckets map[string]*bucket }

// New returns limits without any open request.
func New() *Limits { return &Limits{buckets: map[string]*bucket{}} }

// Take admits one request of a workspace when this VM's share of the limits, a
// part of 1/vms, allows it. Otherwise it says which limit is reached and when a
// retry has a chance.
func (l *Limits) Take(now time.Time, w wire.Workspace, vms int) (cause outcome.Cause, retryAt time.Time) {
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: 1, refilledAt: now}
		l.buckets[w.Name] = b
	}
	vms = max(vms, 1)
	if n := share(w.ConcurrentRequests, vms); n > 0 && b.open >= n {
		return outcome.ConcurrencyLimit, now.Add(burstWindow)
	}
	if w.RequestsPerSecond > 0 {
		rate := float64(w.RequestsPerSecond) / float64(vms)
		maxTokens := max(1, rate*burstWindow.Seconds())
		b.tokens = min(maxTokens, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
		if b.tokens < 1 {
			wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
			return outcome.RateLimit, now.Add(wait)
		}
		b.tokens--
	}
	b.open++
	return outcome.None, time.Time{}
}

// share rounds up, so that a limit below the number of VMs still admits.
func share(limit, vms int) int { return (limit + vms - 1) / vms }

// Release ends one admitted request.
func (l *Limits) Release(workspace string) {
	if b := l.buckets[workspace]; b != nil && b.open > 0 {
		b.open--
	}
}

// Open returns the number of open requests of a workspace on this VM.
func (l *Limits) Open(workspace string) int {
	if b := l.buckets[workspace]; b != nil {
		return b.open
	}
	return 0
}

// RetryBudget bounds retries to a share of first attempts. It is not safe for
// concurrent use.
type RetryBudget struct {
	percent int
	credit  float64
}

// maxRetryCredit is the number of retries that are free while traffic is low.
const maxRetryCredit = 10

// NewRetryBudget returns a budget of a percentage of first attempts.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, credit: maxRetryCredit}
}

// RecordFirst records a first attempt.
func (b *RetryBudget) RecordFirst() { b.credit = min(maxRetryCredit, b.credit+float64(b.percent)/100) }

// TakeRetry takes one retry from the budget and reports whether it was there.
func (b *RetryBudget) TakeRetry() bool {
	if b.credit < 1 || b.percent == 0 {
		return false
	}
	b.credit--
	return true
}
