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
	subBuckets = 4 // per doubling
	doublings  = 17
	buckets    = subBuckets * doublings
	// halfLife is the number of observations after which one weighs half.
	halfLife = 400
	// priorWeight is the weight of the prior in observations.
	priorWeight = 12
)

// Estimator holds the distribution of one (workspace, service, class). Its size
// is fixed: two counters for each bucket.
type Estimator struct {
	ended    [buckets]float32
	censored [buckets]float32
	scale    float32 // weight of the next observation; grows in place of decaying the rest
	survival [buckets + 1]float32
	dirty    bool
}

var growth = float32(math.Pow(2, 1.0/halfLife))

// rescaleAt keeps the growing weights within the range of float32.
const rescaleAt = 1e12

// New returns an estimator that knows only the prior: log-normal around 200
// tokens with a heavy tail.
func New() *Estimator {
	e := &Estimator{scale: 1, dirty: true}
	const median, sigma = 200, 1.3
	before := 0.0
	for i := range buckets {
		after := 0.5 * (1 + math.Erf(math.Log(upper(i)/median)/(sigma*math.Sqrt2)))
		e.ended[i] = float32(priorWeight * (after - before))
		before = after
	}
	return e
}

// bucket returns the bucket of a length of at least 1.
func bucket(tokens int) int {
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
	return min(exp*subBuckets+frac, buckets-1)
}

// lowers holds the smallest length in each bucket, and the end of the last one.
var lowers = func() (l [buckets + 1]float64) {
	for i := range l {
		l[i] = math.Ldexp(1+float64(i%subBuckets)/subBuckets, i/subBuckets)
	}
	return l
}()

func lower(i int) float64 { return lowers[i] }

func upper(i int) float64 { return lowers[i+1] }

// Ended records a generation that ended by itself.
func (e *Estimator) Ended(tokens int) { e.add(&e.ended, tokens) }

// Cancelled records a generation that was cut at a length.
func (e *Estimator) Cancelled(tokens int) { e.add(&e.censored, tokens) }

func (e *Estimator) add(to *[buckets]float32, tokens int) {
	e.scale *= growth
	to[bucket(tokens)] += e.scale
	e.dirty = true
	if e.scale < rescaleAt {
		return
	}
	for i := range buckets {
		e.ended[i] /= e.scale
		e.censored[i] /= e.scale
	}
	e.scale = 1
}

// refresh computes the survival function by the product-limit method, which
// takes censored observations into account.
func (e *Estimator) refresh() {
	if !e.dirty {
		return
	}
	e.dirty = false
	atRisk := float32(0)
	for i := range buckets {
		atRisk += e.ended[i] + e.censored[i]
	}
	s := float32(1)
	for i := range buckets {
		e.survival[i] = s
		if atRisk > 0 {
			s *= max(0, 1-e.ended[i]/atRisk)
		}
		atRisk -= e.ended[i] + e.censored[i]
	}
	e.survival[buckets] = 0
}

// Survival returns the probability that a generation becomes longer than a
// number of tokens.
func (e *Estimator) Survival(tokens int) float64 {
	e.refresh()
	if tokens < 1 {
		return 1
	}
	i := bucket(tokens)
	low := lower(i)
	part := min(1, (float64(tokens)-low)/(upper(i)-low))
	return float64(e.survival[i])*(1-part) + float64(e.survival[i+1])*part
}

// Remaining returns the probability that a generation that has reached
// generated tokens goes on for more tokens.
func (e *Estimator) Remaining(generated, more int) float64 {
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
		if 1-e.Remaining(generated, mid-generated) >= q {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}
