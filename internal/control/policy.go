package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Candidate is one engine as the placing VM sees it.
type Candidate struct {
	// Engine is the engine.
	Engine wire.Backend
	// Report is the newest load report, which lags; empty when there is none.
	Report wire.LoadReport
	// Own is true when the placing VM is the admitter.
	Own bool
	// Reserved counts the reservations that the placing VM granted as the admitter.
	Reserved int
	// Free is the estimate of free KV blocks.
	Free int
	// Outstanding counts the open requests of the placing VM.
	Outstanding int
	// FullUntil is until when the admitter's last refusal counts.
	FullUntil time.Time
	// Failed is true when the engine failed a request lately.
	Failed bool
}

// Policy orders the engines that are tried for a request. Implementations
// return a subset of the candidates, best first, and may reorder the slice.
type Policy interface {
	// Order chooses the engines to try now.
	Order(now time.Time, r *rand.Rand, list []Candidate) []Candidate
	// Reserves reports whether the admitter is asked before dispatch.
	Reserves() bool
}

// maxAsksPerRound bounds the admitters that are asked in one round.
const maxAsksPerRound = 4

// Reserve is the product's policy: an engine must grant a reservation. Engines
// that this VM admits for come first, as asking them costs no message.
type Reserve struct{}

// Reserves returns true.
func (Reserve) Reserves() bool { return true }

// Order puts engines with a free slot and the most free memory first.
func (Reserve) Order(now time.Time, r *rand.Rand, list []Candidate) []Candidate {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b Candidate) int {
		if a.Failed != b.Failed {
			return firstIf(!a.Failed)
		}
		if a.Own != b.Own {
			return firstIf(a.Own)
		}
		return usedPerMille(a) - usedPerMille(b)
	})
	kept := list[:0]
	for _, c := range list {
		if !now.Before(c.FullUntil) {
			kept = append(kept, c)
		}
	}
	return kept
}

func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// usedPerMille is the share of the memory in use in thousandths.
func usedPerMille(c Candidate) int {
	if c.Report.CapacityBlocks == 0 {
		return 500
	}
	return 1000 * (c.Report.CapacityBlocks - c.Free) / c.Report.CapacityBlocks
}

// RoundRobin sends each request to the next engine, a baseline.
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

// LeastLoad sends each request to the engine with the lowest reported load, a
// baseline.
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

func reportedLoad(c Candidate) int {
	if c.Report.CapacityBlocks == 0 {
		return 0
	}
	return 1000*c.Report.UsedBlocks/c.Report.CapacityBlocks + 1000*c.Report.Waiting/max(c.Report.Slots, 1)
}

// PowerOfTwo draws two engines and takes the less loaded one, a baseline.
type PowerOfTwo struct{}

// Reserves returns false.
func (PowerOfTwo) Reserves() bool { return false }

// Order returns the better of two random engines.
func (PowerOfTwo) Order(_ time.Time, r *rand.Rand, list []Candidate) []Candidate {
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return leastLoaded(list[:min(2, len(list))])
}
