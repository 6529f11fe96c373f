// Package poison finds the prompt segments that crash servers and quarantines them. It does
// no I/O, and time is an argument.
//
// Load pattern: requests that share a segment of their prompt come to all VMs, and each
// server that starts to generate for one of them ends, together with all that runs on it.
// Sound requests share the other segments, and requests that wait or run on the same
// server are lost with it.
//
// The evidence is a set of crashes, each with the segments of the requests that were lost
// before they had proven sound, and a set of segments that have proven sound. VMs exchange
// it and form unions, so that it does not matter how often or in which order it arrives.
// Which segments are quarantined, and until when, is derived from the evidence and from how
// many of the VM's requests hold a segment.
package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes that a segment must explain to be quarantined. A
	// common segment must explain minCommonCrashes. While the VM settles, a frequent segment
	// must explain minCommonCrashes and a common one minSettlingCrashes.
	minCrashes         = 3
	minCommonCrashes   = 5
	minSettlingCrashes = 8
	// undecidedInterval is the interval at which a segment is looked at again that explains
	// minCrashes and is not quarantined.
	undecidedInterval = 250 * time.Millisecond
	// confirmTime is how long a lost request waits for the confirmation that its server
	// has ended.
	confirmTime = 5 * time.Second
	// soundTime is how long a segment that has proven sound is not suspected.
	soundTime = time.Minute
	// crashTTL is how long a crash counts. After freshTime a crash is passed on only if one
	// of its segments is suspected of another crash too.
	crashTTL  = 2 * maxQuarantine
	freshTime = time.Minute
	// minQuarantine is the time from the last crash of a segment to the end of its
	// quarantine. It doubles with each crash beyond minCrashes, up to maxQuarantine.
	// A common segment is quarantined for minCommonQuarantine first.
	minQuarantine       = 5 * time.Minute
	minCommonQuarantine = 30 * time.Second
	maxQuarantine       = time.Hour
	// releaseSpread is the range of the times at which the VMs release a segment.
	releaseSpread = 30 * time.Second
	// probeInterval is the minimum time between two requests with a released segment on one
	// VM until the segment has proven sound.
	probeInterval = 10 * time.Second
	// maxCrashes and maxSuspects bound the evidence: the crashes, and the segments of each.
	maxCrashes  = 64
	maxSuspects = 32
	// maxSound bounds the segments that are remembered as sound in each half of soundTime,
	// maxServers the servers that are remembered as ended or excused.
	maxSound   = 4096
	maxServers = 512
)

// Crash is the end of a server while requests waited for their output.
type Crash struct {
	// Server identifies one instance of a server.
	Server string
	At     time.Time
	// Segments are the suspected segments, each request's in the order of its prompt. There
	// are at most maxSuspects.
	Segments []string
}

// Proof shows that a segment was sound at a time.
type Proof struct {
	Segment string
	At      time.Time
}

// Evidence is what VMs exchange. Its size is bounded by maxCrashes and maxSuspects.
type Evidence struct {
	Crashes []Crash
	// Sound holds proofs of segments that a VM suspects.
	Sound []Proof
}

// Quarantine is a segment whose requests are refused.
type Quarantine struct {
	Segment string
	// Until is the earliest time at which a request with it is tried again.
	Until time.Time
	// Crashes holds the crashes that the segment explains, oldest first.
	Crashes []Crash
}

// Tracker collects the evidence of one VM. It is not safe for concurrent use.
type Tracker struct {
	vm string
	// crashes holds the confirmed crashes and pending those that are not confirmed yet, by
	// server.
	crashes, pending map[string]*Crash
	// proofs holds the latest proof of each segment that is in crashes.
	proofs map[string]time.Time
	// suspects counts the crashes that hold each segment.
	suspects map[string]int
	// crashChanges and proofChanges hold the value of changes at the last change of each
	// crash and proof.
	crashChanges, proofChanges map[string]int
	// sound holds the segments that have proven sound since soundSince, and earlier those of
	// the half of soundTime before.
	sound, earlier map[string]time.Time
	soundSince     time.Time
	// ended holds the servers that have ended lately, and excused those whose end is not
	// counted as it was planned.
	ended, excused map[string]time.Time
	quarantines    map[string]Quarantine
	// quarantinedAs holds the state in which each quarantined segment became one.
	quarantinedAs map[string]candidate
	// probedAt is when this VM last let a request with a released segment pass.
	probedAt map[string]time.Time
	// stale is set when quarantines must be derived again, and undecided when that depends on
	// further requests too. derivedAt is when it was done last.
	stale, undecided bool
	derivedAt        time.Time
	requests         requestCounts
	// changes counts the changes of the evidence and of the quarantines.
	changes int
}

// New returns the tracker of a VM without evidence.
func New(vm string) *Tracker {
	return &Tracker{
		vm: vm, crashes: map[string]*Crash{}, pending: map[string]*Crash{}, proofs: map[string]time.Time{},
		suspects: map[string]int{}, crashChanges: map[string]int{}, proofChanges: map[string]int{},
		sound: map[string]time.Time{}, earlier: map[string]time.Time{}, ended: map[string]time.Time{}, excused: map[string]time.Time{},
		quarantines: map[string]Quarantine{}, quarantinedAs: map[string]candidate{}, probedAt: map[string]time.Time{},
	}
}

// Changes counts the changes of the evidence and of the quarantines.
func (t *Tracker) Changes() int { return t.changes }

// RequestArrived counts a request, however often it is sent to a server.
func (t *Tracker) RequestArrived(now time.Time, segments []string) {
	if len(segments) > 0 {
		t.requests.add(now, segments)
	}
}

// RequestLost records that a server closed the connection of a request before the request
// had proven sound. It counts once ServerEnded confirms that the server has ended.
func (t *Tracker) RequestLost(now time.Time, server string, segments []string) {
	t.expire(now)
	if _, planned := t.excused[server]; planned {
		return
	}
	if crash, confirmed := t.crashes[server]; confirmed {
		t.addSuspects(crash, segments)
		return
	}
	crash, ok := t.pending[server]
	if !ok {
		if len(t.pending) >= maxCrashes {
			return
		}
		crash = &Crash{Server: server, At: now}
		t.pending[server] = crash
	}
	t.addSuspects(crash, segments)
	if _, ended := t.ended[server]; ended {
		t.confirm(server)
	}
}

// addSuspects adds the segments that have not proven sound to a crash.
func (t *Tracker) addSuspects(crash *Crash, segments []string) {
	t.addSegments(crash, slices.DeleteFunc(slices.Clone(segments), func(segment string) bool { return t.clears(segment, crash.At) }))
}

// addSegments adds segments to a crash.
func (t *Tracker) addSegments(crash *Crash, segments []string) {
	confirmed := t.crashes[crash.Server] == crash
	for _, segment := range segments {
		if slices.Contains(crash.Segments, segment) || len(crash.Segments) >= maxSuspects {
			continue
		}
		crash.Segments = append(crash.Segments, segment)
		if confirmed {
			t.suspects[segment]++
			t.markCrashChanged(crash.Server)
		}
	}
}

// ServerEnded records that the process of a server has ended.
func (t *Tracker) ServerEnded(now time.Time, server string) {
	t.expire(now)
	remember(t.ended, server, now)
	t.confirm(server)
}

// confirm counts a pending crash.
func (t *Tracker) confirm(server string) {
	crash, ok := t.pending[server]
	if !ok {
		return
	}
	delete(t.pending, server)
	t.addCrash(crash)
}

// ServerLeaves records that a server ends as planned, so that its end is no crash.
func (t *Tracker) ServerLeaves(now time.Time, server string) {
	t.expire(now)
	remember(t.excused, server, now)
	delete(t.pending, server)
	if _, ok := t.crashes[server]; ok {
		t.removeCrash(server)
		t.changes++
	}
}

// ServerRuns records that a server is running, so that the requests which were lost there
// did not end it.
func (t *Tracker) ServerRuns(server string) { delete(t.pending, server) }

// remember adds a server to a set of at most maxServers.
func remember(set map[string]time.Time, server string, now time.Time) {
	if _, ok := set[server]; !ok && len(set) >= maxServers {
		oldest := server
		for other, at := range set {
			if oldest == server || at.Before(set[oldest]) {
				oldest = other
			}
		}
		delete(set, oldest)
	}
	set[server] = now
}

// addCrash adds a confirmed crash. If there are too many, it drops the oldest one that
// supports no quarantine.
func (t *Tracker) addCrash(crash *Crash) {
	if len(crash.Segments) == 0 {
		return
	}
	if len(t.crashes) >= maxCrashes {
		t.derive(crash.At)
		t.dropCrash()
	}
	t.crashes[crash.Server] = crash
	for _, segment := range crash.Segments {
		t.suspects[segment]++
	}
	t.markCrashChanged(crash.Server)
}

func (t *Tracker) removeCrash(server string) {
	for _, segment := range t.crashes[server].Segments {
		if t.suspects[segment]--; t.suspects[segment] == 0 {
			delete(t.suspects, segment)
		}
	}
	delete(t.crashes, server)
	delete(t.crashChanges, server)
	t.stale = true
}

func (t *Tracker) dropCrash() {
	supported := map[string]bool{}
	for _, q := range t.quarantines {
		for _, crash := range q.Crashes[max(0, len(q.Crashes)-minCrashes):] {
			supported[crash.Server] = true
		}
	}
	var oldest *Crash
	for _, crash := range t.crashes {
		switch {
		case oldest == nil, supported[oldest.Server] && !supported[crash.Server]:
			oldest = crash
		case supported[crash.Server] && !supported[oldest.Server]:
		case crash.At.Before(oldest.At):
			oldest = crash
		}
	}
	t.removeCrash(oldest.Server)
}

// RequestSound records that the output of a request has proven its segments sound.
func (t *Tracker) RequestSound(now time.Time, segments []string) {
	t.expire(now)
	for _, segment := range segments {
		if len(t.sound) >= maxSound {
			t.rotateSound(now)
		}
		t.sound[segment] = now
		if t.suspected(segment) {
			t.prove(Proof{Segment: segment, At: now})
		}
	}
}

// suspected reports whether a segment is in the evidence.
func (t *Tracker) suspected(segment string) bool { return t.suspects[segment] > 0 }

// prove applies a proof of a suspected segment. A proof that shows little more than the
// last one is not passed on.
func (t *Tracker) prove(proof Proof) {
	old, known := t.proofs[proof.Segment]
	if known && !proof.At.After(old) {
		return
	}
	t.proofs[proof.Segment] = proof.At
	if known && proof.At.Sub(old) < soundTime/2 && !t.clearsMore(proof, old) {
		return
	}
	t.stale = true
	t.changes++
	t.proofChanges[proof.Segment] = t.changes
}

// clearsMore reports whether a proof clears a crash that an older one does not.
func (t *Tracker) clearsMore(proof Proof, old time.Time) bool {
	for _, crash := range t.crashes {
		if slices.Contains(crash.Segments, proof.Segment) && crash.At.Sub(old) > soundTime && crash.At.Sub(proof.At) <= soundTime {
			return true
		}
	}
	return false
}

// provenAt returns when a segment last proved sound.
func (t *Tracker) provenAt(segment string) (time.Time, bool) {
	newest := t.proofs[segment]
	for _, at := range []time.Time{t.sound[segment], t.earlier[segment]} {
		if at.After(newest) {
			newest = at
		}
	}
	return newest, !newest.IsZero()
}

// clears reports whether a segment is known to be sound at the time of a crash: it has
// proven so after it, or shortly before.
func (t *Tracker) clears(segment string, crashAt time.Time) bool {
	at, ok := t.provenAt(segment)
	return ok && crashAt.Sub(at) <= soundTime
}

// markCrashChanged records that a crash has changed.
func (t *Tracker) markCrashChanged(server string) {
	t.stale = true
	t.changes++
	t.crashChanges[server] = t.changes
}

// expire drops what has become too old.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.soundSince) >= soundTime/2 {
		t.rotateSound(now)
		t.expireEvidence(now)
	}
	for server, crash := range t.pending {
		if now.Sub(crash.At) >= confirmTime {
			delete(t.pending, server)
		}
	}
	for server, at := range t.ended {
		if now.Sub(at) >= confirmTime {
			delete(t.ended, server)
		}
	}
}

// rotateSound forgets the segments that have not proven sound lately.
func (t *Tracker) rotateSound(now time.Time) {
	t.earlier, t.sound, t.soundSince = t.sound, map[string]time.Time{}, now
}

func (t *Tracker) expireEvidence(now time.Time) {
	for server, crash := range t.crashes {
		if now.Sub(crash.At) >= crashTTL {
			t.removeCrash(server)
		}
	}
	for segment := range t.proofs {
		if !t.suspected(segment) {
			delete(t.proofs, segment)
			delete(t.proofChanges, segment)
		}
	}
	maps.DeleteFunc(t.probedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= probeInterval })
	maps.DeleteFunc(t.excused, func(_ string, at time.Time) bool { return now.Sub(at) >= crashTTL })
}
