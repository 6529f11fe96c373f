// Package waitlist orders the requests that wait for an engine. It does no I/O.
//
// Load pattern: for seconds at a time more work arrives than the engines can take. Urgent requests
// go first, but not all the time, so that the others do not starve; a workspace that has got much
// more than another one that waits comes after it; and requests that can still be on time come
// before those that are late already, as an engine that serves all in order of arrival serves all
// of them late.
package waitlist

import (
	"math"
	"slices"
	"time"
)

const (
	// shareSlackTokens is the lead that a workspace may have over another one with waiting
	// requests, in placed tokens divided by weight.
	shareSlackTokens = 50_000
)

// Options configures a List.
type Options struct {
	// UrgentInRow is how many requests in a row go before a less urgent one that waits; 0 means
	// that urgent requests always go first.
	UrgentInRow int
	// CheapFirst makes cheaper requests go before others of the same urgency; otherwise the order
	// of arrival decides.
	CheapFirst bool
}

// Item is what the order of a request depends on.
type Item struct {
	// Urgency is lower for a more urgent request.
	Urgency int
	// Workspace shares the engines with the others.
	Workspace string
	// LateAt is when the response can no longer be on time; zero if it always is.
	LateAt time.Time
	// Tokens is the expected cost.
	Tokens float64
}

// List holds waiting requests in order of arrival. The zero value is not usable.
type List[T comparable] struct {
	opts     Options
	describe func(T) Item
	waiting  []T
	// spent is, by workspace, the placed tokens divided by weight, and floor the least of those of
	// the workspaces that wait: idle ones are raised to it on arrival.
	spent map[string]float64
	floor float64
	// row is how many requests were placed in a row before a less urgent one that waits.
	row int
}

// New returns an empty list. describe returns the Item of a request.
func New[T comparable](opts Options, describe func(T) Item) *List[T] {
	return &List[T]{opts: opts, describe: describe, spent: map[string]float64{}}
}

// Len returns the number of waiting requests.
func (l *List[T]) Len() int { return len(l.waiting) }

// All returns the waiting requests in order of arrival. It must not be modified.
func (l *List[T]) All() []T { return l.waiting }

// Push adds a request.
func (l *List[T]) Push(request T) {
	workspace := l.describe(request).Workspace
	l.spent[workspace] = max(l.spent[workspace], l.floor)
	l.waiting = append(l.waiting, request)
}

// Remove removes a request. It reports false if it does not wait.
func (l *List[T]) Remove(request T) bool {
	i := slices.Index(l.waiting, request)
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Next returns the request to place next among those that may is true for.
func (l *List[T]) Next(now time.Time, may func(T) bool) (best T, found bool) {
	l.floor = l.lowestSpent()
	var bestItem Item
	lowest := l.opts.UrgentInRow > 0 && l.row >= l.opts.UrgentInRow
	for _, request := range l.waiting {
		if !may(request) {
			continue
		}
		item := l.describe(request)
		if !found || l.before(now, item, bestItem, lowest) {
			best, bestItem, found = request, item, true
		}
	}
	return best, found
}

// before reports whether a later arrival is placed before an earlier one. If leastUrgent is set,
// the least urgent request goes first.
func (l *List[T]) before(now time.Time, later, earlier Item, leastUrgent bool) bool {
	if laterLate, earlierLate := later.IsLate(now), earlier.IsLate(now); laterLate != earlierLate {
		return earlierLate != leastUrgent
	}
	if later.Urgency != earlier.Urgency {
		return (later.Urgency < earlier.Urgency) != leastUrgent
	}
	if laterOver, earlierOver := l.exceedsShare(later), l.exceedsShare(earlier); laterOver != earlierOver {
		return earlierOver
	}
	return l.opts.CheapFirst && later.Tokens < earlier.Tokens
}

// IsLate reports whether the response can no longer be on time.
func (i Item) IsLate(now time.Time) bool { return !i.LateAt.IsZero() && !now.Before(i.LateAt) }

// Placed removes a request that was placed and charges its workspace for its tokens.
func (l *List[T]) Placed(request T, weight int) {
	item := l.describe(request)
	if !l.Remove(request) {
		return
	}
	l.spent[item.Workspace] += item.Tokens / float64(max(weight, 1))
	l.row++
	if !slices.ContainsFunc(l.waiting, func(other T) bool { return l.describe(other).Urgency > item.Urgency }) {
		l.row = 0
	}
}

// lowestSpent returns the lowest spent of the workspaces with waiting requests.
func (l *List[T]) lowestSpent() float64 {
	if len(l.waiting) == 0 {
		return l.floor
	}
	lowest := math.Inf(1)
	for _, request := range l.waiting {
		lowest = min(lowest, l.spent[l.describe(request).Workspace])
	}
	return lowest
}

// exceedsShare reports whether a workspace has got much more than another one that waits.
func (l *List[T]) exceedsShare(item Item) bool {
	return l.spent[item.Workspace] > l.floor+shareSlackTokens
}

// Busiest returns the workspace with the most waiting requests.
func (l *List[T]) Busiest() string {
	count := map[string]int{}
	busiest := ""
	for _, request := range l.waiting {
		workspace := l.describe(request).Workspace
		count[workspace]++
		if busiest == "" || count[workspace] > count[busiest] {
			busiest = workspace
		}
	}
	return busiest
}
