package length_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/control/length"
)

// sampleLength draws from a log-normal distribution.
func sampleLength(r *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*r.NormFloat64())))
}

// TestCancelledGenerationsRaiseQuantile records cancelled generations: they say
// that lengths go beyond, not that they end there.
func TestCancelledGenerationsRaiseQuantile(t *testing.T) {
	finishedOnly, withCancelled := length.New(), length.New()
	for range 500 {
		finishedOnly.AddFinished(100)
		withCancelled.AddFinished(100)
	}
	for range 500 {
		finishedOnly.AddFinished(50)
		withCancelled.AddCancelled(50)
	}
	if a, b := finishedOnly.Quantile(0.4, 0), withCancelled.Quantile(0.4, 0); b <= a {
		t.Errorf("40%% quantile %d with cancelled generations, %d with ended ones", b, a)
	}
}

// TestSurvivalAndQuantilesAreMonotonic checks properties that hold for any history.
func TestSurvivalAndQuantilesAreMonotonic(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	e := length.New()
	for range 1000 {
		e.AddFinished(sampleLength(r, 300, 1))
		before := 1.0
		for n := 1; n < 20_000; n *= 2 {
			s := e.Survival(n)
			if s > before || s < 0 {
				t.Fatalf("survival %v at %d after %v", s, n, before)
			}
			before = s
		}
		if a, b := e.Quantile(0.5, 0), e.Quantile(0.9, 0); a > b {
			t.Fatalf("median %d above the 90%% quantile %d", a, b)
		}
		if n := e.Quantile(0.5, 400); n < 400 {
			t.Fatalf("median %d of generations that have 400 tokens already", n)
		}
	}
}

// BenchmarkCalibration reports the share of true lengths at or under the
// predicted quantiles, in percent. One operation is one prediction of each.
func BenchmarkCalibration(b *testing.B) {
	for _, c := range []struct {
		name          string
		learn         int
		median, drift float64
	}{
		{"steady", 2000, 350, 1},
		{"afterDoubling", 2000, 350, 2},
		{"newWorkspace", 20, 350, 1},
	} {
		b.Run(c.name, func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			e := length.New()
			for range c.learn {
				e.AddFinished(sampleLength(r, c.median, 0.9))
			}
			var under [3]int
			b.ResetTimer()
			for i := range b.N {
				n := sampleLength(r, c.median*c.drift, 0.9)
				for k, q := range []float64{0.5, 0.9, 0.99} {
					if n <= e.Quantile(q, 0) {
						under[k]++
					}
				}
				if c.name != "newWorkspace" || i%50 == 0 {
					e.AddFinished(n)
				}
			}
			for k, name := range []string{"%<=q50", "%<=q90", "%<=q99"} {
				b.ReportMetric(100*float64(under[k])/float64(b.N), name)
			}
		})
	}
}
