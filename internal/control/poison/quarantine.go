package poison

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"
)

// Quarantines returns the segments that are quarantined, sorted by segment.
func (t *Tracker) Quarantines(now time.Time) []Quarantine {
	t.expire(now)
	t.derive(now)
	var out []Quarantine
	for _, segment := range slices.Sorted(maps.Keys(t.quarantines)) {
		out = append(out, t.quarantines[segment])
	}
	return out
}

// Check returns the quarantine for which a request with the segments must be refused. The
// first request after the end of a quarantine passes as a probe.
func (t *Tracker) Check(now time.Time, segments []string) (Quarantine, bool) {
	if len(segments) == 0 {
		return Quarantine{}, false
	}
	t.derive(now)
	for _, segment := range segments {
		q, ok := t.quarantines[segment]
		if !ok {
			continue
		}
		if now.Before(q.Until.Add(t.releaseDelay(segment))) || now.Sub(t.probedAt[segment]) < probeInterval {
			return q, true
		}
	}
	for _, segment := range segments {
		if _, released := t.quarantines[segment]; released {
			t.probedAt[segment] = now
		}
	}
	return Quarantine{}, false
}

// releaseDelay spreads the releases of a segment by the VMs, so that the first one shows
// the others whether it still crashes servers.
func (t *Tracker) releaseDelay(segment string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.vm + "\x00" + segment))
	return time.Duration(h.Sum64() % uint64(releaseSpread))
}

// derive finds the fewest segments that explain the crashes. The one that explains most comes
// first, and among equals the later one in the prompt, which fewer sound requests share. Common
// segments come last: they only explain the crashes that remain.
func (t *Tracker) derive(now time.Time) {
	if !t.stale && (!t.undecided || now.Sub(t.derivedAt) < undecidedInterval) {
		return
	}
	before := t.quarantinedAs
	evidenceChanged := t.stale
	t.stale, t.undecided, t.derivedAt = false, false, now
	t.quarantines, t.quarantinedAs = map[string]Quarantine{}, map[string]candidate{}
	settling := t.requests.settling(now)
	var commonOnes, others []*candidate
	for _, c := range t.candidates() {
		if old, quarantined := before[c.segment]; quarantined {
			// It stays quarantined as long as the evidence holds, although it is not seen to be
			// frequent or rare while its requests are refused.
			c.frequency, c.needed = old.frequency, old.needed
		} else {
			c.frequency = t.requests.frequency(now, c.segment)
			c.needed = neededCrashes(c.frequency, settling)
		}
		if c.frequency == common {
			commonOnes = append(commonOnes, c)
		} else {
			others = append(others, c)
		}
	}
	explained := map[*Crash]bool{}
	t.quarantineAll(others, explained)
	t.quarantineAll(commonOnes, explained)
	if !evidenceChanged && len(t.quarantines) != len(before) {
		t.changes++
	}
}

// candidate is a segment that may be quarantined.
type candidate struct {
	segment string
	// crashes are those that it may explain, position the sum of its places in their lists.
	crashes   []*Crash
	position  int
	frequency frequency
	// needed is the number of crashes that it must explain.
	needed int
}

// candidates returns the segments that may explain at least minCrashes, sorted by segment.
func (t *Tracker) candidates() []*candidate {
	bySegment := map[string]*candidate{}
	for _, crash := range t.crashes {
		for i, segment := range crash.Segments {
			if t.suspects[segment] < minCrashes || t.clears(segment, crash.At) {
				continue
			}
			if bySegment[segment] == nil {
				bySegment[segment] = &candidate{segment: segment}
			}
			c := bySegment[segment]
			c.crashes, c.position = append(c.crashes, crash), c.position+i
		}
	}
	var out []*candidate
	for _, segment := range slices.Sorted(maps.Keys(bySegment)) {
		if c := bySegment[segment]; len(c.crashes) >= minCrashes {
			out = append(out, c)
		}
	}
	return out
}

// neededCrashes returns the number of crashes that a segment must explain.
func neededCrashes(f frequency, settling bool) int {
	switch {
	case f == common && settling:
		return minSettlingCrashes
	case f == common, f == frequent && settling:
		return minCommonCrashes
	}
	return minCrashes
}

// quarantineAll quarantines candidates that explain enough of the crashes which are not
// explained yet, the one that explains most first.
func (t *Tracker) quarantineAll(candidates []*candidate, explained map[*Crash]bool) {
	for {
		var best *candidate
		for _, c := range candidates {
			c.crashes = slices.DeleteFunc(c.crashes, func(crash *Crash) bool { return explained[crash] })
			if len(c.crashes) < c.needed {
				t.undecided = t.undecided || len(c.crashes) >= minCrashes
				continue
			}
			if best == nil || len(c.crashes) > len(best.crashes) || len(c.crashes) == len(best.crashes) && c.position > best.position {
				best = c
			}
		}
		if best == nil {
			return
		}
		t.quarantines[best.segment] = newQuarantine(best)
		t.quarantinedAs[best.segment] = candidate{segment: best.segment, frequency: best.frequency, needed: best.needed}
		for _, crash := range best.crashes {
			explained[crash] = true
		}
	}
}

func newQuarantine(c *candidate) Quarantine {
	q := Quarantine{Segment: c.segment}
	for _, crash := range c.crashes {
		q.Crashes = append(q.Crashes, *crash)
	}
	slices.SortFunc(q.Crashes, func(a, b Crash) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(a.Server, b.Server)
	})
	length := minQuarantine
	if c.frequency == common {
		length = minCommonQuarantine
	}
	for i := c.needed; i < len(q.Crashes) && length < maxQuarantine; i++ {
		length *= 2
	}
	q.Until = q.Crashes[len(q.Crashes)-1].At.Add(min(length, maxQuarantine))
	return q
}
