package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/limit"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// countAdmitted offers twice the limit, spread evenly over time and VMs, and returns
// the number of admitted requests. seenVMs is the number of VMs that each VM divides
// the limit by.
func countAdmitted(vms, seenVMs, ratePerSecond, seconds int) int {
	limits := make([]*limit.Limits, vms)
	for i := range limits {
		limits[i] = limit.New()
	}
	workspace := wire.Workspace{Name: "w", RequestsPerSecond: ratePerSecond}
	now := time.Unix(1000, 0)
	admitted := 0
	offered := 2 * ratePerSecond * seconds
	for i := range offered {
		now = now.Add(time.Duration(seconds) * time.Second / time.Duration(offered))
		if cause, _ := limits[i%vms].Take(now, workspace, seenVMs); cause == outcome.None {
			admitted++
			limits[i%vms].Release("w")
		}
	}
	return admitted
}

func TestRateLimitHoldsAcrossFleet(t *testing.T) {
	const perSecond, seconds = 100, 60
	for _, vms := range []int{1, 2, 6, 50} {
		// Each VM may start with the requests of one second, and with at least one.
		maxAdmitted := perSecond*seconds + max(perSecond, vms)
		if admitted := countAdmitted(vms, vms, perSecond, seconds); admitted > maxAdmitted {
			t.Errorf("%d VMs admitted %d requests, want at most %d", vms, admitted, maxAdmitted)
		}
	}
}

func TestReleaseFreesConcurrency(t *testing.T) {
	limits := limit.New()
	workspace := wire.Workspace{Name: "w", ConcurrentRequests: 2}
	now := time.Unix(1000, 0)
	for range 2 {
		if cause, _ := limits.Take(now, workspace, 1); cause != outcome.None {
			t.Fatalf("request within the limit refused: %s", cause)
		}
	}
	if cause, _ := limits.Take(now, workspace, 1); cause != outcome.ConcurrencyLimit {
		t.Errorf("third request with a limit of 2: %s", cause)
	}
	limits.Release("w")
	if cause, _ := limits.Take(now, workspace, 1); cause != outcome.None {
		t.Errorf("request after a release refused: %s", cause)
	}
}

func TestRetryBudgetIsShareOfFirstAttempts(t *testing.T) {
	budget := limit.NewRetryBudget(10)
	retries := 0
	const firstAttempts = 1000
	for range firstAttempts {
		budget.RecordFirst()
		if budget.TakeRetry() {
			retries++
		}
	}
	// The budget starts with ten retries.
	if retries > firstAttempts/10+10 || retries < firstAttempts/10 {
		t.Errorf("%d retries for %d first attempts", retries, firstAttempts)
	}
}

// BenchmarkLimitError reports the deviation of the admitted rate from the limit, in
// percent, for a whole fleet and for one that is partitioned into two halves.
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
