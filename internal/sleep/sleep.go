// Package sleep implements sleeping that ends early when a context is done.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d. If ctx is done first, it returns early and reports false.
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

// Until sleeps until t. If ctx is done first, it returns early and reports false.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
