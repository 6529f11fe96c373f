// Package pause waits for a time or for the end of a context, whichever comes
// first.
package pause

import (
	"context"
	"time"
)

// For waits for a time. It reports false when the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		// The race detector of Go 1.26 breaks when goroutines of one synctest
		// bubble select on timers that have expired already.
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

// Until waits for a moment. It reports false when the context ended first.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
