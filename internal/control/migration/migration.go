// Package migration schedules how streams migrate away from a leaving server:
// when their KV caches are copied and when the streams are handed over. It does
// no I/O.
//
// Load pattern: a replica is reclaimed one and a half to two seconds after its
// notice, the announcement that it leaves, while several VMs have long streams on
// it. Its link carries one copy at a time. A stream that is stopped for a final
// copy waits behind every copy that was requested before, and its caller sees the
// wait as a pause. A stream that instead runs until its server is gone and is
// resumed from an earlier copy only has to prefill the tokens since that copy.
package migration

import "time"

const (
	// MinNotice is the least time that a server is assumed to run after its notice.
	MinNotice = 1500 * time.Millisecond
	// MaxNotice is the time after the notice from which on a server that still
	// runs is assumed to stay for long.
	MaxNotice = 2400 * time.Millisecond
	// resumeInPlaceWindow is how long after the notice a stream may resume on the
	// leaving server. It is shorter than the 3 s after which the server must get no
	// more requests.
	resumeInPlaceWindow = 2500 * time.Millisecond
	// RefreshInterval is the least time between a copy and its next refresh, which
	// brings the copy up to date.
	RefreshInterval = 400 * time.Millisecond
	// firstRefreshDelay is the time from the notice to the first refresh of a copy.
	// By then most servers have finished their first copies.
	firstRefreshDelay = 1100 * time.Millisecond
	// copySetupTime is the part of a copy's time that does not depend on its size.
	copySetupTime = 5 * time.Millisecond
	// otherRegionFactor is how many times longer a copy to another region takes, as
	// it crosses a slower link.
	otherRegionFactor = 6
	// otherDataCentreFactor is the same for another data centre of the region.
	otherDataCentreFactor = 2
)

// Link describes KV cache transfers between the servers of a service.
type Link struct {
	// Mbps is the bandwidth of a server in megabits per second.
	Mbps float64
	// TokenBytes is the KV cache size of one token.
	TokenBytes int
}

// Distance is how far apart the servers of a copy are.
type Distance int

// Distances of copies.
const (
	// SameDataCentre is a copy within a data centre.
	SameDataCentre Distance = iota
	// SameRegion is a copy to another data centre of the region.
	SameRegion
	// OtherRegion is a copy to another region.
	OtherRegion
)

var distanceFactors = [...]int{1, otherDataCentreFactor, otherRegionFactor}

// CopyTime is how long a copy of a KV cache takes on an idle link.
func (l Link) CopyTime(tokens int, distance Distance) time.Duration {
	if l.Mbps <= 0 {
		return copySetupTime
	}
	s := float64(tokens) * float64(l.TokenBytes) * 8 / (l.Mbps * 1e6)
	return copySetupTime + time.Duration(s*float64(time.Second))*time.Duration(distanceFactors[distance])
}

// Plan is the migration schedule of one leaving server.
type Plan struct {
	// NoticeAt is when the VM received the notice of the server.
	NoticeAt time.Time
}

// EarliestEnd is the earliest time at which the server may be gone.
func (p Plan) EarliestEnd() time.Time { return p.NoticeAt.Add(MinNotice) }

// MayCopy reports whether to request a first copy now. A copy that would not finish
// before MaxNotice is of no use, as the server may be gone. A copy to another region
// would delay the copies of other VMs, which are requested in the first half of
// MinNotice. A server that still runs after MaxNotice leaves time for every copy.
func (p Plan) MayCopy(now time.Time, tokens int, link Link, distance Distance) bool {
	if !now.Before(p.Handover()) {
		return true
	}
	if distance == OtherRegion && now.Before(p.NoticeAt.Add(MinNotice/2)) {
		return false
	}
	return now.Add(link.CopyTime(tokens, distance)).Before(p.NoticeAt.Add(MaxNotice))
}

// NextRefresh is when to refresh a copy that was finished at copied.
func (p Plan) NextRefresh(copied time.Time) time.Time {
	at := copied.Add(RefreshInterval)
	if first := p.NoticeAt.Add(firstRefreshDelay); at.Before(first) {
		return first
	}
	return at
}

// InPlaceUntil is the time until which a stopped stream may resume on the leaving server.
// The server must get no requests once its notice is in force everywhere.
func (p Plan) InPlaceUntil() time.Time { return p.NoticeAt.Add(resumeInPlaceWindow) }

// Handover is when streams are stopped for their final copy if the server still
// runs. After that it may run for as long as a stream takes, or end at any time.
func (p Plan) Handover() time.Time { return p.NoticeAt.Add(MaxNotice) }
