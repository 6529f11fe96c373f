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
	t.derive()
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
	t.derive()
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

// derive finds the fewest segments that explain the crashes: the one that explains most of
// them first, and among equals the later one in the prompt, which fewer sound requests
// share.
func (t *Tracker) derive() {
	if !t.stale {
		return
	}
	t.stale = false
	t.quarantines = map[string]Quarantine{}
	unexplained := map[string][]*Crash{}
	position := map[string]int{}
	for _, crash := range t.crashes {
		for i, segment := range crash.Segments {
			if !t.clears(segment, crash.At) {
				unexplained[segment] = append(unexplained[segment], crash)
				position[segment] += i
			}
		}
	}
	for {
		segment := mostExplaining(unexplained, position)
		explained := unexplained[segment]
		if len(explained) < minCrashes {
			return
		}
		t.quarantines[segment] = newQuarantine(segment, explained)
		for other, crashes := range unexplained {
			unexplained[other] = slices.DeleteFunc(slices.Clone(crashes), func(c *Crash) bool { return slices.Contains(explained, c) })
		}
	}
}

// mostExplaining returns the segment with the most crashes.
func mostExplaining(unexplained map[string][]*Crash, position map[string]int) string {
	best := ""
	for segment, crashes := range unexplained {
		n, most := len(crashes), len(unexplained[best])
		switch {
		case n < most:
			continue
		case n == most && position[segment] < position[best]:
			continue
		case n == most && position[segment] == position[best] && strings.Compare(segment, best) < 0:
			continue
		}
		best = segment
	}
	return best
}

func newQuarantine(segment string, crashes []*Crash) Quarantine {
	q := Quarantine{Segment: segment}
	for _, crash := range crashes {
		q.Crashes = append(q.Crashes, *crash)
	}
	slices.SortFunc(q.Crashes, func(a, b Crash) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(a.Server, b.Server)
	})
	length := minQuarantine
	for i := minCrashes; i < len(q.Crashes) && length < maxQuarantine; i++ {
		length *= 2
	}
	q.Until = q.Crashes[len(q.Crashes)-1].At.Add(min(length, maxQuarantine))
	return q
}
