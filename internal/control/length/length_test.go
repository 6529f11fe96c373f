package length_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/control/length"
)

// sampleLength draws a length from a log-normal distribution.
func sampleLength(r *rand.Rand, median, sigma float64) int {
	return max(1, int(median*math.Exp(sigma*r.NormFloat64())))
}

// TestCancelledGenerationsRaiseQuantile guards against counting a cancelled generation
// as one that ended at that length: it is only a lower bound.
func TestCancelledGenerationsRaiseQuantile(t *testing.T) {
	finishedOnly, withCancelled := length.New(), length.New()
	for range 500 {
		finishedOnly.AddFinished(100)
		withCancelled.AddFinished(100)
	}
	for range 500 {
		finishedOnly.AddFinished(50)
		withCancelled.AddCensored(50)
	}
	if a, b := finishedOnly.Quantile(0.4, 0), withCancelled.Quantile(0.4, 0); b <= a {
		t.Errorf("40%% quantile: %d with finished generations only, %d with cancelled ones; want the second larger", b, a)
	}
}

// TestSurvivalAndQuantilesAreMonotonic checks properties that hold for any sequence of
// observations.
func TestSurvivalAndQuantilesAreMonotonic(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	estimator := length.New()
	for range 1000 {
		estimator.AddFinished(sampleLength(r, 300, 1))
		before := 1.0
		for n := 1; n < 20_000; n *= 2 {
			s := estimator.Survival(n)
			if s > before || s < 0 {
				t.Fatalf("survival %v at %d tokens, %v at half as many", s, n, before)
			}
			before = s
		}
		if a, b := estimator.Quantile(0.5, 0), estimator.Quantile(0.9, 0); a > b {
			t.Fatalf("median %d exceeds the 90%% quantile %d", a, b)
		}
		if n := estimator.Quantile(0.5, 400); n < 400 {
			t.Fatalf("median %d of generations that have produced 400 tokens", n)
		}
	}
}

// BenchmarkCalibration reports the share of true lengths at or below the predicted
// quantiles, in percent. One operation predicts all three quantiles.
func BenchmarkCalibration(b *testing.B) {
	for _, test := range []struct {
		name          string
		observations  int
		median, drift float64
	}{
		{"steady", 2000, 350, 1},
		{"afterDoubling", 2000, 350, 2},
		{"newWorkspace", 20, 350, 1},
	} {
		b.Run(test.name, func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			estimator := length.New()
			for range test.observations {
				estimator.AddFinished(sampleLength(r, test.median, 0.9))
			}
			var atOrBelow [3]int
			b.ResetTimer()
			for i := range b.N {
				n := sampleLength(r, test.median*test.drift, 0.9)
				for k, q := range []float64{0.5, 0.9, 0.99} {
					if n <= estimator.Quantile(q, 0) {
						atOrBelow[k]++
					}
				}
				if test.name != "newWorkspace" || i%50 == 0 {
					estimator.AddFinished(n)
				}
			}
			for k, name := range []string{"%<=q50", "%<=q90", "%<=q99"} {
				b.ReportMetric(100*float64(atOrBelow[k])/float64(b.N), name)
			}
		})
	}
}
