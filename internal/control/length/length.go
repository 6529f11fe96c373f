// Package length estimates how long a generation will become from those that
// ended before. Lengths are kept in logarithmic buckets that decay, so the
// estimate follows drift and takes a fixed amount of memory. Generations that
// were cancelled or still run count as censored observations.
package length

import (
	"math"
	"math/bits"
)

const (
	bucketsPerDoubling = 4 // per doubling
	doublings          = 17
	bucketCount        = bucketsPerDoubling * doublings
	// halfLifeObservations is the number of observations after which one weighs half.
	halfLifeObservations = 400
	// priorWeight is the weight of the prior in observations.
	priorWeight = 12
)

// Estimator holds the distribution of one (workspace, service, class). Its size
// is fixed: two counters for each bucket.
type Estimator struct {
	finished      [bucketCount]float32
	censored      [bucketCount]float32
	weight        float32 // weight of the next observation; grows in place of decaying the rest
	survival      [bucketCount + 1]float32
	survivalStale bool
}

var weightGrowth = float32(math.Pow(2, 1.0/halfLifeObservations))

// maxWeight keeps the growing weights within the range of float32.
const maxWeight = 1e12

// New returns an estimator that knows only the prior: log-normal around 200
// tokens with a heavy tail.
func New() *Estimator {
	e := &Estimator{weight: 1, survivalStale: true}
	const median, sigma = 200, 1.3
	before := 0.0
	for i := range bucketCount {
		after := 0.5 * (1 + math.Erf(math.Log(upperBound(i)/median)/(sigma*math.Sqrt2)))
		e.finished[i] = float32(priorWeight * (after - before))
		before = after
	}
	return e
}

// bucketOf returns the bucket of a length of at least 1.
func bucketOf(tokens int) int {
	if tokens < 1 {
		tokens = 1
	}
	exp := bits.Len(uint(tokens)) - 1
	frac := 0
	if exp >= 2 {
		frac = (tokens >> (exp - 2)) & 3
	} else {
		frac = (tokens << (2 - exp)) & 3
	}
	return min(exp*bucketsPerDoubling+frac, bucketCount-1)
}

// lowerBounds holds the smallest length in each bucket, and the end of the last one.
var lowerBounds = func() (l [bucketCount + 1]float64) {
	for i := range l {
		l[i] = math.Ldexp(1+float64(i%bucketsPerDoubling)/bucketsPerDoubling, i/bucketsPerDoubling)
	}
	return l
}()

func lowerBound(i int) float64 { return lowerBounds[i] }

func upperBound(i int) float64 { return lowerBounds[i+1] }

// AddFinished records a generation that ended by itself.
func (e *Estimator) AddFinished(tokens int) { e.add(&e.finished, tokens) }

// AddCancelled records a generation that was cut at a length.
func (e *Estimator) AddCancelled(tokens int) { e.add(&e.censored, tokens) }

func (e *Estimator) add(counts *[bucketCount]float32, tokens int) {
	e.weight *= weightGrowth
	counts[bucketOf(tokens)] += e.weight
	e.survivalStale = true
	if e.weight < maxWeight {
		return
	}
	for i := range bucketCount {
		e.finished[i] /= e.weight
		e.censored[i] /= e.weight
	}
	e.weight = 1
}

// updateSurvival computes the survival function by the product-limit method, which
// takes censored observations into account.
func (e *Estimator) updateSurvival() {
	if !e.survivalStale {
		return
	}
	e.survivalStale = false
	atRisk := float32(0)
	for i := range bucketCount {
		atRisk += e.finished[i] + e.censored[i]
	}
	s := float32(1)
	for i := range bucketCount {
		e.survival[i] = s
		if atRisk > 0 {
			s *= max(0, 1-e.finished[i]/atRisk)
		}
		atRisk -= e.finished[i] + e.censored[i]
	}
	e.survival[bucketCount] = 0
}

// Survival returns the probability that a generation becomes longer than a
// number of tokens.
func (e *Estimator) Survival(tokens int) float64 {
	e.updateSurvival()
	if tokens < 1 {
		return 1
	}
	i := bucketOf(tokens)
	low := lowerBound(i)
	fraction := min(1, (float64(tokens)-low)/(upperBound(i)-low))
	return float64(e.survival[i])*(1-fraction) + float64(e.survival[i+1])*fraction
}

// ContinueProbability returns the probability that a generation that has reached
// generated tokens goes on for more tokens.
func (e *Estimator) ContinueProbability(generated, more int) float64 {
	base := e.Survival(generated)
	if base < minSurvival {
		// Longer than anything seen: assume that half of such end within their own length again.
		return math.Exp2(-float64(more) / float64(max(generated, 1)))
	}
	return min(1, e.Survival(generated+more)/base)
}

const minSurvival = 1e-4

// Quantile returns the length that a share q of generations does not exceed,
// given that generated tokens are there already.
func (e *Estimator) Quantile(q float64, generated int) int {
	low, high := generated, max(2*generated, 1<<doublings)
	for low < high {
		mid := (low + high) / 2
		if 1-e.ContinueProbability(generated, mid-generated) >= q {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}
