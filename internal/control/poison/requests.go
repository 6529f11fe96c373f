package poison

import "time"

const (
	// requestWindow is the time over which requests are counted, in two halves.
	requestWindow = time.Minute
	// maxCounted bounds the segments that are counted in each half.
	maxCounted    = 4096
	commonDivisor = 2
	// minRequests is the number of requests below which a frequency is not known.
	minRequests = 10
	rareDivisor = 4
	// settleTime is the time after the first request in which more crashes are needed.
	settleTime = 5 * time.Second
)

// requestCounts counts the recent requests of this VM that had a prompt, by segment.
type requestCounts struct {
	current, earlier requestHalf
	since, firstAt   time.Time
}

// requestHalf holds the counts of one half of requestWindow.
type requestHalf struct {
	total     int
	bySegment map[string]int
}

func (c *requestCounts) add(now time.Time, segments []string) {
	if now.Sub(c.since) >= requestWindow/2 || c.current.bySegment == nil {
		c.earlier, c.current, c.since = c.current, requestHalf{bySegment: map[string]int{}}, now
	}
	if c.firstAt.IsZero() {
		c.firstAt = now
	}
	c.current.total++
	for _, segment := range segments {
		if _, counted := c.current.bySegment[segment]; counted || len(c.current.bySegment) < maxCounted {
			c.current.bySegment[segment]++
		}
	}
}

// frequency says how many of the recent requests of this VM held a segment.
type frequency int

const (
	// rare: fewer than one in rareDivisor.
	rare frequency = iota
	frequent
	// common: at least one in commonDivisor, so that lost requests hold it in any case.
	common
)

// frequency returns the frequency of a segment. Few requests show little: while the VM settles
// any segment may be common, later none is.
func (c *requestCounts) frequency(now time.Time, segment string) frequency {
	total := c.current.total + c.earlier.total
	held := c.current.bySegment[segment] + c.earlier.bySegment[segment]
	switch {
	case total < minRequests && c.settling(now):
		return common
	case total < minRequests:
		return frequent
	case commonDivisor*held >= total:
		return common
	case rareDivisor*held >= total:
		return frequent
	}
	return rare
}

// settling reports whether requests have come for so short a time that few segments can have
// proven sound.
func (c *requestCounts) settling(now time.Time) bool {
	return c.firstAt.IsZero() || now.Sub(c.firstAt) < settleTime
}
