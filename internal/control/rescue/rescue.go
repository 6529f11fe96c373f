// Package rescue decides when the memory of streams is copied away from a
// server that leaves, and when the streams follow. It does no I/O.
//
// Load pattern: a replica is taken away one and a half to two seconds after its
// notice while several VMs have long streams on it. Its link carries one copy
// at a time. A stream that is stopped for its last copy waits behind every copy
// that was asked for before, and its caller sees the wait as a pause; a stream
// that runs on until its server is gone and is resumed from an earlier copy
// reads only the tokens since then.
package rescue

import "time"

const (
	// ShortestNotice is how long a server is taken to stay after its notice.
	ShortestNotice = 1500 * time.Millisecond
	// LongestNotice is after which time a server is taken to stay for long.
	LongestNotice = 2400 * time.Millisecond
	// returnUntil is below the least time in which a notice must be in force.
	returnUntil = 2500 * time.Millisecond
	// RefreshEvery is how often a copy is brought up to date.
	RefreshEvery = 400 * time.Millisecond
	// firstRefresh is when copies are first brought up to date: later than the
	// first copies of most servers take.
	firstRefresh = 1100 * time.Millisecond
	// copySetup is the fixed time of a copy beside its bytes.
	copySetup = 5 * time.Millisecond
	// farFactor is how much longer a copy takes to another region, where it
	// crosses a slower link.
	farFactor = 6
	// nearFactor is the same for another data centre of the region.
	nearFactor = 2
)

// Link describes the transfers of a service.
type Link struct {
	// Mbps is the bandwidth of a server in megabits a second.
	Mbps float64
	// TokenBytes is the memory of one token.
	TokenBytes int
}

// Way says how far a copy goes.
type Way int

// Ways of copies.
const (
	// Local copies stay in the data centre.
	Local Way = iota
	// Near copies go to another data centre of the region.
	Near
	// Far copies go to another region.
	Far
)

var wayFactors = [...]int{1, nearFactor, farFactor}

// CopyTime is how long a copy takes on a free link.
func (l Link) CopyTime(tokens int, w Way) time.Duration {
	if l.Mbps <= 0 {
		return copySetup
	}
	s := float64(tokens) * float64(l.TokenBytes) * 8 / (l.Mbps * 1e6)
	return copySetup + time.Duration(s*float64(time.Second))*time.Duration(wayFactors[w])
}

// Plan is the schedule of one server that leaves.
type Plan struct {
	// Noticed is when the VM learned that it leaves.
	Noticed time.Time
}

// Leaves is when the server may be gone.
func (p Plan) Leaves() time.Time { return p.Noticed.Add(ShortestNotice) }

// MayCopy reports whether a first copy that is asked for now is of use. A far
// copy holds up those of other VMs, which are asked for in the first half. A
// server that is there after the longest notice leaves time for every copy.
func (p Plan) MayCopy(now time.Time, tokens int, l Link, w Way) bool {
	if !now.Before(p.Handover()) {
		return true
	}
	if w == Far && now.Before(p.Noticed.Add(ShortestNotice/2)) {
		return false
	}
	return now.Add(l.CopyTime(tokens, w)).Before(p.Noticed.Add(LongestNotice))
}

// NextRefresh is when a copy that was finished at a moment is brought up to
// date.
func (p Plan) NextRefresh(copied time.Time) time.Time {
	at := copied.Add(RefreshEvery)
	if first := p.Noticed.Add(firstRefresh); at.Before(first) {
		return first
	}
	return at
}

// MayReturn reports whether a stream that has stopped may go on at the server
// itself, which must get no request once its notice is in force everywhere.
func (p Plan) MayReturn(now time.Time) bool { return now.Before(p.Noticed.Add(returnUntil)) }

// Handover is when streams stop for their last copy if the server is still
// there: it may then stay for as long as a stream takes, or not.
func (p Plan) Handover() time.Time { return p.Noticed.Add(LongestNotice) }
