package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/limit"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// countAdmitted offers twice the limit evenly over some VMs for a time and returns
// how many requests were admitted. seen is how many VMs each one believes in.
func countAdmitted(vms, seenVMs, perSecond, seconds int) int {
	limits := make([]*limit.Limits, vms)
	for i := range limits {
		limits[i] = limit.New()
	}
	w := wire.Workspace{Name: "w", RequestsPerSecond: perSecond}
	now := time.Unix(1000, 0)
	total := 0
	offered := 2 * perSecond * seconds
	for i := range offered {
		now = now.Add(time.Duration(seconds) * time.Second / time.Duration(offered))
		if cause, _ := limits[i%vms].Take(now, w, seenVMs); cause == outcome.None {
			total++
			limits[i%vms].Release("w")
		}
	}
	return total
}

func TestRateLimitHoldsAcrossFleet(t *testing.T) {
	const perSecond, seconds = 100, 60
	for _, vms := range []int{1, 2, 6, 50} {
		// Each VM may start with one second's worth, and with one request at least.
		maxAdmitted := perSecond*seconds + max(perSecond, vms)
		if n := countAdmitted(vms, vms, perSecond, seconds); n > maxAdmitted {
			t.Errorf("%d VMs admitted %d of %d", vms, n, maxAdmitted)
		}
	}
}

func TestReleaseFreesConcurrency(t *testing.T) {
	l := limit.New()
	w := wire.Workspace{Name: "w", ConcurrentRequests: 2}
	now := time.Unix(1000, 0)
	for range 2 {
		if c, _ := l.Take(now, w, 1); c != outcome.None {
			t.Fatalf("refused: %s", c)
		}
	}
	if c, _ := l.Take(now, w, 1); c != outcome.ConcurrencyLimit {
		t.Errorf("a third request: %s", c)
	}
	l.Release("w")
	if c, _ := l.Take(now, w, 1); c != outcome.None {
		t.Errorf("after one ended: %s", c)
	}
}

func TestRetryBudgetIsShareOfFirstAttempts(t *testing.T) {
	b := limit.NewRetryBudget(10)
	retries := 0
	const firsts = 1000
	for range firsts {
		b.RecordFirst()
		if b.TakeRetry() {
			retries++
		}
	}
	// Ten are free while traffic is low.
	if retries > firsts/10+10 || retries < firsts/10 {
		t.Errorf("%d retries for %d first attempts", retries, firsts)
	}
}

// BenchmarkLimitError reports by how much a fleet misses a workspace's rate, in
// percent, also while it is split in two halves that don't see each other.
func BenchmarkLimitError(b *testing.B) {
	const perSecond, seconds = 100, 60
	for _, vms := range []int{2, 6, 50} {
		for name, seen := range map[string]int{"whole": vms, "split": vms / 2} {
			b.Run(fmt.Sprintf("%dVMs/%s", vms, name), func(b *testing.B) {
				n := 0
				for range b.N {
					n = countAdmitted(vms, seen, perSecond, seconds)
				}
				b.ReportMetric(100*float64(n-perSecond*seconds)/(perSecond*seconds), "%error")
			})
		}
	}
}
