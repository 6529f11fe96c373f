package dispatch

import "time"

// Load pattern of this file: the more requests an engine runs, and the more prompts it
// reads between their tokens, the longer each token takes, up to several times the time on
// an idle engine. How long a stream takes is estimated from the streams of the same service.

const (
	// idleTokenTime and idleStartTime are the least estimates of the time per output token
	// and of the time to the first event.
	idleTokenTime = 10 * time.Millisecond
	idleStartTime = 2 * time.Second
	// paceGain and paceDecay are the weights of a sample above and below the average. The
	// average follows slow streams quickly and fast ones slowly.
	paceGain  = 0.5
	paceDecay = 0.05
)

// pace estimates how fast the streams of one service run on this VM.
type pace struct{ startTime, tokenTime time.Duration }

func newPace() *pace { return &pace{startTime: idleStartTime, tokenTime: idleTokenTime} }

// streamTime is the estimated duration of a stream with the given number of output tokens.
func (p *pace) streamTime(tokens int) time.Duration {
	return p.startTime + time.Duration(tokens)*p.tokenTime
}

func (p *pace) addStart(d time.Duration) { p.startTime = follow(p.startTime, d, idleStartTime) }

func (p *pace) addTokens(d time.Duration, tokens int) {
	p.tokenTime = follow(p.tokenTime, d/time.Duration(tokens), idleTokenTime)
}

// follow moves an average towards a sample, not below a floor.
func follow(average, sample, floor time.Duration) time.Duration {
	weight := paceDecay
	if sample > average {
		weight = paceGain
	}
	return max(floor, average+time.Duration(weight*float64(sample-average)))
}

func (c *Core) paceOf(service string) *pace {
	p, ok := c.paces[service]
	if !ok {
		p = newPace()
		c.paces[service] = p
	}
	return p
}

// recordProgress records the output tokens of a stream that have arrived.
func (c *Core) recordProgress(now time.Time, r *request, tokens int) {
	if added := tokens - r.producedTokens; added > 0 && !r.progressAt.IsZero() {
		c.paceOf(r.Service).addTokens(now.Sub(r.progressAt), added)
	}
	r.producedTokens, r.progressAt = tokens, now
}
