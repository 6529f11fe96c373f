package poison

import (
	"maps"
	"slices"
	"time"
)

// Evidence returns the evidence for other VMs, or what has changed after the given number
// of changes.
func (t *Tracker) Evidence(now time.Time, after int) Evidence {
	t.expire(now)
	var out Evidence
	for _, server := range slices.Sorted(maps.Keys(t.crashes)) {
		crash := *t.crashes[server]
		if t.crashChanges[server] <= after || now.Sub(crash.At) >= freshTime && !t.repeated(crash) {
			continue
		}
		crash.Segments = slices.Clone(crash.Segments)
		out.Crashes = append(out.Crashes, crash)
	}
	for _, segment := range slices.Sorted(maps.Keys(t.proofs)) {
		if t.proofChanges[segment] > after && t.suspected(segment) {
			out.Sound = append(out.Sound, Proof{Segment: segment, At: t.proofs[segment]})
		}
	}
	return out
}

// repeated reports whether a segment of a crash is suspected of another one too.
func (t *Tracker) repeated(crash Crash) bool {
	return slices.ContainsFunc(crash.Segments, func(segment string) bool {
		return t.suspects[segment] > 1 && !t.clears(segment, crash.At)
	})
}

// Merge adds the evidence of another VM. It returns the number of changes before this VM
// added proofs of its own.
func (t *Tracker) Merge(now time.Time, evidence Evidence) (changes int) {
	t.expire(now)
	for _, crash := range evidence.Crashes {
		t.mergeCrash(now, crash)
	}
	for _, proof := range evidence.Sound {
		if proof.At.After(now) {
			proof.At = now
		}
		if t.suspected(proof.Segment) {
			t.prove(proof)
		}
	}
	changes = t.changes
	for _, crash := range evidence.Crashes {
		for _, segment := range crash.Segments {
			if at, ok := t.provenAt(segment); ok && t.suspected(segment) {
				t.prove(Proof{Segment: segment, At: at})
			}
		}
	}
	return changes
}

// mergeCrash adds a crash of another VM, also with segments that this VM knows to be sound:
// the proof has to reach the VM that suspects them.
func (t *Tracker) mergeCrash(now time.Time, crash Crash) {
	if _, planned := t.excused[crash.Server]; planned || now.Sub(crash.At) >= crashTTL {
		return
	}
	if crash.At.After(now) {
		crash.At = now
	}
	if known, ok := t.crashes[crash.Server]; ok {
		t.addSegments(known, crash.Segments)
		return
	}
	added := &Crash{Server: crash.Server, At: crash.At}
	t.addSegments(added, crash.Segments)
	if own, ok := t.pending[crash.Server]; ok {
		delete(t.pending, crash.Server)
		t.addSegments(added, own.Segments)
	}
	t.addCrash(added)
}
