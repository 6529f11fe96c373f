// Package limit enforces the request limits of workspaces and the retry budget. It
// needs no store call per request: each VM enforces an equal share of the limit for
// the fleet.
package limit

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// burstWindow is the time for which the unused rate of a workspace accumulates.
const burstWindow = time.Second

// bucket is a token bucket and the number of open requests of one workspace.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	open       int
}

// Limits enforces the limits of workspaces on one VM. It is not safe for concurrent
// use.
type Limits struct{ buckets map[string]*bucket }

// New returns Limits without open requests.
func New() *Limits { return &Limits{buckets: map[string]*bucket{}} }

// Take admits one request of a workspace and returns outcome.None if this VM's share
// of the limits, 1/vms, allows it. Otherwise it returns the limit that is reached
// and when to retry.
func (l *Limits) Take(now time.Time, workspace wire.Workspace, vms int) (cause outcome.Cause, retryAt time.Time) {
	b := l.buckets[workspace.Name]
	if b == nil {
		b = &bucket{tokens: 1, refilledAt: now}
		l.buckets[workspace.Name] = b
	}
	vms = max(vms, 1)
	if n := share(workspace.ConcurrentRequests, vms); n > 0 && b.open >= n {
		return outcome.ConcurrencyLimit, now.Add(burstWindow)
	}
	if workspace.RequestsPerSecond > 0 {
		rate := float64(workspace.RequestsPerSecond) / float64(vms)
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

// share rounds up, so that each VM admits requests even if the limit is below the
// number of VMs.
func share(limit, vms int) int { return (limit + vms - 1) / vms }

// Release ends one admitted request.
func (l *Limits) Release(workspace string) {
	if b := l.buckets[workspace]; b != nil && b.open > 0 {
		b.open--
	}
}

// OpenRequests returns the number of open requests of a workspace on this VM.
func (l *Limits) OpenRequests(workspace string) int {
	if b := l.buckets[workspace]; b != nil {
		return b.open
	}
	return 0
}

// RetryBudget bounds retries to a percentage of first attempts. It is not safe for
// concurrent use.
type RetryBudget struct {
	percent int
	credit  float64
}

// maxRetryCredit bounds the unused retries that accumulate. The budget starts with
// it, so that retries are possible while traffic is low.
const maxRetryCredit = 10

// NewRetryBudget returns a budget of percent retries per 100 first attempts.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, credit: maxRetryCredit}
}

// RecordFirst records a first attempt.
func (b *RetryBudget) RecordFirst() { b.credit = min(maxRetryCredit, b.credit+float64(b.percent)/100) }

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.credit < 1 || b.percent == 0 {
		return false
	}
	b.credit--
	return true
}
