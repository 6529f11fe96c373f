// Package migration decides when the memory of streams is copied away from a
// server that leaves, and when the streams follow. It does no I/O.
//
// Load pattern: a replica is taken away one and a half to two seconds after its
// notice while several VMs have long streams on it. Its link carries one copy
// at a time. A stream that is stopped for its last copy waits behind every copy
// that was asked for before, and its caller sees the wait as a pause; a stream
// that runs on until its server is gone and is resumed from an earlier copy
// reads only the tokens since then.
package migration

import "time"

const (
	// MinNotice is how long a server is taken to stay after its notice.
	MinNotice = 1500 * time.Millisecond
	// MaxNotice is after which time a server is taken to stay for long.
	MaxNotice = 2400 * time.Millisecond
	// resumeInPlaceWindow is below the least time in which a notice must be in force.
	resumeInPlaceWindow = 2500 * time.Millisecond
	// RefreshInterval is how often a copy is brought up to date.
	RefreshInterval = 400 * time.Millisecond
	// firstRefreshDelay is when copies are first brought up to date: later than the
	// first copies of most servers take.
	firstRefreshDelay = 1100 * time.Millisecond
	// copySetupTime is the fixed time of a copy beside its bytes.
	copySetupTime = 5 * time.Millisecond
	// otherRegionFactor is how much longer a copy takes to another region, where it
	// crosses a slower link.
	otherRegionFactor = 6
	// otherDataCentreFactor is the same for another data centre of the region.
	otherDataCentreFactor = 2
)

// Link describes the transfers of a service.
type Link struct {
	// Mbps is the bandwidth of a server in megabits a second.
	Mbps float64
	// TokenBytes is the memory of one token.
	TokenBytes int
}

// Distance says how far a copy goes.
type Distance int

// Ways of copies.
const (
	// SameDataCentre copies stay in the data centre.
	SameDataCentre Distance = iota
	// SameRegion copies go to another data centre of the region.
	SameRegion
	// OtherRegion copies go to another region.
	OtherRegion
)

var distanceFactors = [...]int{1, otherDataCentreFactor, otherRegionFactor}

// CopyTime is how long a copy takes on a free link.
func (l Link) CopyTime(tokens int, distance Distance) time.Duration {
	if l.Mbps <= 0 {
		return copySetupTime
	}
	s := float64(tokens) * float64(l.TokenBytes) * 8 / (l.Mbps * 1e6)
	return copySetupTime + time.Duration(s*float64(time.Second))*time.Duration(distanceFactors[distance])
}

// Plan is the schedule of one server that leaves.
type Plan struct {
	// NoticeAt is when the VM learned that it leaves.
	NoticeAt time.Time
}

// EarliestEnd is when the server may be gone.
func (p Plan) EarliestEnd() time.Time { return p.NoticeAt.Add(MinNotice) }

// MayCopy reports whether a first copy that is asked for now is of use. A far
// copy holds up those of other VMs, which are asked for in the first half. A
// server that is there after the longest notice leaves time for every copy.
func (p Plan) MayCopy(now time.Time, tokens int, link Link, distance Distance) bool {
	if !now.Before(p.Handover()) {
		return true
	}
	if distance == OtherRegion && now.Before(p.NoticeAt.Add(MinNotice/2)) {
		return false
	}
	return now.Add(link.CopyTime(tokens, distance)).Before(p.NoticeAt.Add(MaxNotice))
}

// NextRefresh is when a copy that was finished at a moment is brought up to
// date.
func (p Plan) NextRefresh(copied time.Time) time.Time {
	at := copied.Add(RefreshInterval)
	if first := p.NoticeAt.Add(firstRefreshDelay); at.Before(first) {
		return first
	}
	return at
}

// MayResumeInPlace reports whether a stream that has stopped may go on at the server
// itself, which must get no request once its notice is in force everywhere.
func (p Plan) MayResumeInPlace(now time.Time) bool {
	return now.Before(p.NoticeAt.Add(resumeInPlaceWindow))
}

// Handover is when streams stop for their last copy if the server is still
// there: it may then stay for as long as a stream takes, or not.
func (p Plan) Handover() time.Time { return p.NoticeAt.Add(MaxNotice) }
