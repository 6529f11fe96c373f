// Package admit decides whether one engine takes one more generation whose
// length is unknown. The ledger of an engine projects the memory of everything
// admitted over the time to come and keeps the projection under the capacity at
// a chosen confidence.
package admit

import (
	"math"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// LengthModel predicts the length of a generation. *length.Estimator is one.
type LengthModel interface {
	// ContinueProbability is the probability that a generation with generated tokens goes on for more tokens.
	ContinueProbability(generated, more int) float64
}

// Request is a request for a reservation.
type Request struct {
	// Wire is the ask as it crossed the peer link, or as it would have.
	Wire wire.ReserveAsk
	// VM is the entry VM that holds the caller.
	VM string
	// Lengths predicts the output's length; never nil.
	Lengths LengthModel
}

// Reservation is memory and a batch slot that were granted.
type Reservation struct {
	Request
	// GrantedAt is when dispatch was allowed to start.
	GrantedAt time.Time
	// firstTokenStep is the engine's step count when the first token is expected.
	firstTokenStep float64
}

// Confidence is the number of standard deviations that the projection keeps
// below the capacity.
type Confidence float64

const (
	// defaultStepDuration is assumed until an engine reports its step time.
	defaultStepDuration = 30 * time.Millisecond
	// maxReportAge is the age from which a load report no longer counts.
	maxReportAge = 5 * time.Second
	// maxFallbackShare is the share of the capacity that is used without an admitter.
	maxFallbackShare = 0.6
	// reportDelay is how long a new reservation does not show in a report yet.
	reportDelay = 30 * time.Millisecond
	// prefillTokensPerStep is the prompt length that takes an engine about one step.
	prefillTokensPerStep = 512
)

// horizons are the times of the projection, in tokens generated from now.
var horizons = [...]int{1, 24, 48, 72, 96, 144, 192, 288, 384, 576, 768, 1152, 1536, 2304, 4096, 8192}

// Ledger holds the reservations of one engine. It is not safe for concurrent
// use.
type Ledger struct {
	// Confidence is set before the first ask.
	Confidence Confidence

	report       wire.LoadReport
	reportAt     time.Time
	reservations []Reservation // in order of the grants, so that sums are the same in each run
	// unexplainedBlocks is the blocks in use beyond what the reservations explain; it is
	// negative when the engine uses less than they predict.
	unexplainedBlocks int
	excessSince       time.Time
	// steps counts the decode steps of the engine up to the newest report.
	steps float64
}

// New returns the ledger of an engine of which nothing is known yet.
func New(c Confidence) *Ledger {
	return &Ledger{Confidence: c}
}

// Report takes in a load report. Older reports of the same engine process are
// ignored.
func (l *Ledger) Report(now time.Time, report wire.LoadReport) {
	if report.Sequence < l.report.Sequence && report.MeasuredUnixMs <= l.report.MeasuredUnixMs {
		return
	}
	measured := time.UnixMilli(int64(report.MeasuredUnixMs))
	if l.report.CapacityBlocks > 0 {
		l.steps = l.stepsAt(measured)
	}
	l.report, l.reportAt = report, now
	l.reconcile(now)
	l.unexplainedBlocks = report.UsedBlocks - l.predictedBlocksAt(measured)
	if report.Waiting > 0 {
		// What was set aside comes back: it must not count as free.
		l.unexplainedBlocks = max(0, l.unexplainedBlocks)
	}
}

// stepsAt is the engine's step count at a time not before the newest report.
func (l *Ledger) stepsAt(t time.Time) float64 {
	since := t.Sub(time.UnixMilli(int64(l.report.MeasuredUnixMs)))
	return l.steps + float64(since)/float64(l.stepDuration())
}

// reconcile drops the oldest reservations when the engine has reported fewer
// sequences for some time: their end was lost on the way.
func (l *Ledger) reconcile(now time.Time) {
	old := 0
	for _, r := range l.reservations {
		if now.Sub(r.GrantedAt) > maxReportAge {
			old++
		}
	}
	excess := old - l.report.Running - l.report.Waiting
	if excess <= 0 {
		l.excessSince = time.Time{}
		return
	}
	if l.excessSince.IsZero() {
		l.excessSince = now
	}
	if now.Sub(l.excessSince) < 2*maxReportAge {
		return
	}
	l.excessSince = time.Time{}
	// Reservations are in order of age, so the oldest come first.
	l.reservations = slices.Delete(l.reservations, 0, excess)
}

// FreshReport returns the newest report and whether it is recent enough to count.
func (l *Ledger) FreshReport(now time.Time) (wire.LoadReport, bool) {
	return l.report, l.report.CapacityBlocks > 0 && now.Sub(l.reportAt) < maxReportAge
}

// stepDuration is the time of one decode step.
func (l *Ledger) stepDuration() time.Duration {
	if l.report.StepMicros > 0 {
		return time.Duration(l.report.StepMicros) * time.Microsecond
	}
	return defaultStepDuration
}

// generatedTokens estimates the tokens that a reservation has produced by now.
func (l *Ledger) generatedTokens(r Reservation, now time.Time) int {
	n := int(l.stepsAt(now) - r.firstTokenStep)
	return max(0, min(n, r.Wire.MaxTokens))
}

func (l *Ledger) predictedBlocksAt(t time.Time) int {
	used := 0
	for _, r := range l.reservations {
		if r.GrantedAt.After(t.Add(-reportDelay)) {
			continue
		}
		used += l.blocksFor(float64(r.Wire.PromptTokens + l.generatedTokens(r, t) + 1))
	}
	return used
}

func (l *Ledger) blocksFor(tokens float64) int {
	return int(math.Ceil(tokens / float64(max(l.report.BlockTokens, 1))))
}

// Reserve grants a reservation or says what is lacking.
func (l *Ledger) Reserve(now time.Time, request Request) outcome.Cause {
	if l.index(request.Wire.Id) >= 0 {
		return outcome.None
	}
	if cause := l.check(now, request); cause != outcome.None {
		return cause
	}
	l.add(now, request)
	return outcome.None
}

func (l *Ledger) add(now time.Time, request Request) {
	l.reservations = append(l.reservations, l.reservation(now, request))
}

func (l *Ledger) reservation(now time.Time, request Request) Reservation {
	prefill := 1 + float64(request.Wire.PromptTokens)/prefillTokensPerStep
	return Reservation{Request: request, GrantedAt: now, firstTokenStep: l.stepsAt(now) + prefill}
}

// index returns the position of a reservation, or -1.
func (l *Ledger) index(id string) int {
	return slices.IndexFunc(l.reservations, func(r Reservation) bool { return r.Wire.Id == id })
}

func (l *Ledger) check(now time.Time, request Request) outcome.Cause {
	report, fresh := l.FreshReport(now)
	if !fresh && report.CapacityBlocks > 0 {
		return outcome.EngineLost
	}
	if !fresh {
		return outcome.AdmitterLost
	}
	if report.Leaving {
		return outcome.EngineReclaimed
	}
	if len(l.reservations) >= report.Slots {
		return outcome.SlotsFull
	}
	if l.blocksFor(float64(request.Wire.PromptTokens+1)) > report.CapacityBlocks {
		return outcome.MemoryFull
	}
	// An engine that has set work aside is over its memory: let it recover first.
	if report.Waiting > 0 && report.Preemptions > 0 && l.predictedBlocksAt(now) > report.CapacityBlocks*9/10 {
		return outcome.MemoryFull
	}
	if !l.fits(now, request) {
		return outcome.MemoryFull
	}
	return outcome.None
}

// fits projects mean and variance of the memory at each horizon. Sequences are
// independent, so variances add up and a full batch needs little reserve.
func (l *Ledger) fits(now time.Time, request Request) bool {
	capacity := float64(l.report.CapacityBlocks - l.unexplainedBlocks)
	block := float64(l.report.BlockTokens)
	if len(l.reservations) == 0 {
		return true
	}
	var mean, variance [len(horizons)]float64
	l.project(Reservation{Request: request}, 0, &mean, &variance)
	for _, r := range l.reservations {
		l.project(r, l.generatedTokens(r, now), &mean, &variance)
	}
	// Blocks are whole: on average half of the last one is empty.
	partialBlocks := float64(len(l.reservations)+1) / 2
	for i := range horizons {
		peak := mean[i]/block + partialBlocks + float64(l.Confidence)*math.Sqrt(variance[i])/block
		if peak > capacity {
			return false
		}
	}
	return true
}

func (l *Ledger) project(r Reservation, generated int, mean, variance *[len(horizons)]float64) {
	for i, h := range horizons {
		if generated+h > r.Wire.MaxTokens {
			return
		}
		probability := r.Lengths.ContinueProbability(generated, h)
		tokens := float64(r.Wire.PromptTokens + generated + h)
		mean[i] += probability * tokens
		variance[i] += probability * (1 - probability) * tokens * tokens
	}
}

// Adopt takes over a reservation that another admitter granted.
func (l *Ledger) Adopt(now time.Time, request Request) {
	if l.index(request.Wire.Id) < 0 {
		l.add(now, request)
	}
}

// Release drops a reservation and reports whether it was there.
func (l *Ledger) Release(id string) (Reservation, bool) {
	i := l.index(id)
	if i < 0 {
		return Reservation{}, false
	}
	r := l.reservations[i]
	l.reservations = slices.Delete(l.reservations, i, i+1)
	return r, true
}

// DropVM drops the reservations of an entry VM that died; what still runs for
// it shows in the engine's reports.
func (l *Ledger) DropVM(vm string) {
	l.reservations = slices.DeleteFunc(l.reservations, func(r Reservation) bool { return r.VM == vm })
}

// Open returns the number of reservations.
func (l *Ledger) Open() int { return len(l.reservations) }

// FreeBlocks estimates the blocks that are not in use now.
func (l *Ledger) FreeBlocks(now time.Time) int {
	return l.report.CapacityBlocks - l.unexplainedBlocks - l.predictedBlocksAt(now)
}

// FitsReport decides by the lagged report alone, for when no admitter can be
// reached: it leaves a large part of the memory free.
func FitsReport(report wire.LoadReport, promptTokens, outstanding int) bool {
	if report.CapacityBlocks == 0 || report.Leaving || report.Running+report.Waiting+outstanding >= report.Slots {
		return false
	}
	neededBlocks := (promptTokens + report.BlockTokens) / max(report.BlockTokens, 1) * (1 + outstanding)
	return float64(report.UsedBlocks+neededBlocks) <= maxFallbackShare*float64(report.CapacityBlocks)
}
