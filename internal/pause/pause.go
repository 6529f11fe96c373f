// Package pause implements sleeping that the end of a context interrupts.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns early and reports false when ctx ends before that.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		// The race detector of Go 1.26 fails when goroutines of one synctest
		// bubble select on timers that have already expired.
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Until sleeps until t. It returns early and reports false when ctx ends before
// that.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
