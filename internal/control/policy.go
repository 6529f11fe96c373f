package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Candidate is the state of one engine as seen by the placing VM.
type Candidate struct {
	// Engine is the engine.
	Engine wire.Backend
	// Report is the newest load report; empty when there is none. It lags behind the
	// engine.
	Report wire.LoadReport
	// Local is true when the placing VM is the admitter of the engine.
	Local bool
	// Reservations is the number of open reservations that the placing VM granted as
	// the admitter.
	Reservations int
	// FreeBlocks estimates the number of free KV cache blocks.
	FreeBlocks int
	// Outstanding is the number of requests that the placing VM has placed on the
	// engine and that have not ended.
	Outstanding int
	// DeniedUntil is the end of the backoff after the last denial by the admitter.
	DeniedUntil time.Time
	// RecentlyFailed is true when the engine failed a request within failureBackoff.
	RecentlyFailed bool
}

// Policy selects and ranks the engines to try for a request.
type Policy interface {
	// Order returns the engines to try now, a subset of list, best first. It may
	// reorder list.
	Order(now time.Time, r *rand.Rand, list []Candidate) []Candidate
	// Reserves reports whether dispatch needs a reservation from the admitter.
	Reserves() bool
}

// maxReserveAsksPerRound bounds the reservation requests to other VMs in one round over
// the candidates of a request.
const maxReserveAsksPerRound = 4

// Reserve is the production policy: dispatch needs a reservation. It prefers
// engines of which this VM is the admitter, as these need no message.
type Reserve struct{}

// Reserves returns true.
func (Reserve) Reserves() bool { return true }

// Order drops engines in backoff after a denial. It ranks engines without a recent
// failure first, then local ones, then those with the most free memory, and breaks
// ties at random.
func (Reserve) Order(now time.Time, r *rand.Rand, list []Candidate) []Candidate {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Candidate) int {
		if a.RecentlyFailed != b.RecentlyFailed {
			return firstIf(!a.RecentlyFailed)
		}
		if a.Local != b.Local {
			return firstIf(a.Local)
		}
		return usedPerMille(a) - usedPerMille(b)
	})
	kept := list[:0]
	for _, candidate := range list {
		if !now.Before(candidate.DeniedUntil) {
			kept = append(kept, candidate)
		}
	}
	return kept
}

// firstIf returns the comparison result that puts the first operand first, or last.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// usedPerMille returns the share of the KV cache in use in thousandths; one half
// when it is unknown.
func usedPerMille(c Candidate) int {
	if c.Report.CapacityBlocks == 0 {
		return 500
	}
	return 1000 * (c.Report.CapacityBlocks - c.FreeBlocks) / c.Report.CapacityBlocks
}

// RoundRobin is a baseline that sends each request to the next engine.
type RoundRobin struct{ next int }

// Reserves returns false.
func (*RoundRobin) Reserves() bool { return false }

// Order returns the next engine in turn.
func (p *RoundRobin) Order(_ time.Time, _ *rand.Rand, list []Candidate) []Candidate {
	if len(list) == 0 {
		return nil
	}
	p.next++
	i := p.next % len(list)
	return list[i : i+1]
}

// LeastLoad is a baseline that sends each request to the engine with the lowest
// reported load.
type LeastLoad struct{}

// Reserves returns false.
func (LeastLoad) Reserves() bool { return false }

// Order returns the engine with the lowest reported load.
func (LeastLoad) Order(_ time.Time, r *rand.Rand, list []Candidate) []Candidate {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return leastLoaded(list)
}

func leastLoaded(list []Candidate) []Candidate {
	if len(list) == 0 {
		return nil
	}
	best := slices.MinFunc(list, func(a, b Candidate) int { return reportedLoad(a) - reportedLoad(b) })
	return []Candidate{best}
}

// reportedLoad returns the KV cache usage plus the waiting requests per slot, in
// thousandths.
func reportedLoad(c Candidate) int {
	if c.Report.CapacityBlocks == 0 {
		return 0
	}
	return 1000*c.Report.UsedBlocks/c.Report.CapacityBlocks + 1000*c.Report.Waiting/max(c.Report.Slots, 1)
}

// PowerOfTwo is a baseline that draws two engines and takes the less loaded one.
type PowerOfTwo struct{}

// Reserves returns false.
func (PowerOfTwo) Reserves() bool { return false }

// Order returns the less loaded of two random engines.
func (PowerOfTwo) Order(_ time.Time, r *rand.Rand, list []Candidate) []Candidate {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return leastLoaded(list[:min(2, len(list))])
}
