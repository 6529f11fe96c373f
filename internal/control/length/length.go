// Package length estimates the output length of generations from those that ended
// before. Observations are counted in logarithmic buckets with exponential decay, so
// the estimate follows drift and takes a fixed amount of memory. Generations that
// were cut off before their end count as censored observations.
package length

import (
	"math"
	"math/bits"
)

const (
	bucketsPerDoubling = 4 // bucketOf depends on the value
	doublings          = 17
	bucketCount        = bucketsPerDoubling * doublings
	// halfLifeObservations is the number of later observations that halve the weight of
	// an observation.
	halfLifeObservations = 400
	// priorWeight is the weight of the prior, in observations.
	priorWeight = 12
)

// Estimator holds the length distribution of one combination of workspace, service
// and class, in a fixed amount of memory. It is not safe for concurrent use.
type Estimator struct {
	finished      [bucketCount]float32
	censored      [bucketCount]float32
	weight        float32 // weight of the newest observation; it grows so that older ones need not be decayed
	survival      [bucketCount + 1]float32
	survivalStale bool
}

// weightGrowth is the factor by which each observation raises the weight.
var weightGrowth = float32(math.Pow(2, 1.0/halfLifeObservations))

// maxWeight triggers a rescale that keeps the weights within the range of float32.
const maxWeight = 1e12

// New returns an estimator with the prior only: a log-normal distribution with a
// median of 200 tokens and a heavy tail.
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

// bucketOf returns the bucket of a length; lengths below 1 count as 1.
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

// lowerBounds holds the smallest length of each bucket, and the end of the last one.
var lowerBounds = func() (l [bucketCount + 1]float64) {
	for i := range l {
		l[i] = math.Ldexp(1+float64(i%bucketsPerDoubling)/bucketsPerDoubling, i/bucketsPerDoubling)
	}
	return l
}()

func lowerBound(i int) float64 { return lowerBounds[i] }

func upperBound(i int) float64 { return lowerBounds[i+1] }

// AddFinished records the length of a generation that was completed.
func (e *Estimator) AddFinished(tokens int) { e.add(&e.finished, tokens) }

// AddCensored records the length at which a generation was cut off: its caller
// cancelled it, or its engine failed or was reclaimed.
func (e *Estimator) AddCensored(tokens int) { e.add(&e.censored, tokens) }

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

// updateSurvival recomputes the survival function with the Kaplan-Meier (product
// limit) estimator, which accounts for censored observations.
func (e *Estimator) updateSurvival() {
	if !e.survivalStale {
		return
	}
	e.survivalStale = false
	atRisk := float32(0)
	for i := range bucketCount {
		atRisk += e.finished[i] + e.censored[i]
	}
	survival := float32(1)
	for i := range bucketCount {
		e.survival[i] = survival
		if atRisk > 0 {
			survival *= max(0, 1-e.finished[i]/atRisk)
		}
		atRisk -= e.finished[i] + e.censored[i]
	}
	e.survival[bucketCount] = 0
}

// Survival returns the probability that a generation is longer than a number of
// tokens, interpolated linearly within a bucket.
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

// ContinueProbability returns the probability that a generation that has produced
// generated tokens continues for more tokens.
func (e *Estimator) ContinueProbability(generated, more int) float64 {
	base := e.Survival(generated)
	if base < minSurvival {
		// Longer than any observation: assume that half of such generations end before
		// they have doubled their length.
		return math.Exp2(-float64(more) / float64(max(generated, 1)))
	}
	return min(1, e.Survival(generated+more)/base)
}

// minSurvival is the survival probability below which observations are too few for an
// estimate.
const minSurvival = 1e-4

// Quantile returns the length that a share q of the generations does not exceed, among
// those that have produced generated tokens.
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
