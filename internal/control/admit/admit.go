// Package admit decides whether an engine can take one more generation whose
// output length is unknown. The ledger of an engine projects the KV cache usage of
// all admitted generations over their future decode steps, and admits another one
// if the projection stays below the capacity at a chosen confidence.
package admit

import (
	"math"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// LengthModel predicts the length of a generation; *length.Estimator implements it.
type LengthModel interface {
	// ContinueProbability returns the probability that a generation that has produced
	// generated tokens continues for more tokens.
	ContinueProbability(generated, more int) float64
}

// Request is a reservation request.
type Request struct {
	// Wire is the request in the form that is sent between VMs.
	Wire wire.ReserveAsk
	// VM is the entry VM that the caller is connected to.
	VM string
	// Lengths predicts the output length; never nil.
	Lengths LengthModel
}

// Reservation is a grant of KV cache memory and a batch slot.
type Reservation struct {
	Request
	// GrantedAt is when the reservation was granted.
	GrantedAt time.Time
	// firstTokenStep is the engine's step count at the expected first token.
	firstTokenStep float64
}

// Confidence is the safety margin between the projected usage and the capacity, in
// standard deviations of the projection.
type Confidence float64

const (
	// defaultStepDuration is assumed until the engine reports its step duration.
	defaultStepDuration = 30 * time.Millisecond
	// maxReportAge is the age from which a load report is stale.
	maxReportAge = 5 * time.Second
	// maxFallbackShare is the share of the capacity that FitsReport allows to be used.
	maxFallbackShare = 0.6
	// reportDelay is the time until a new reservation shows in load reports.
	reportDelay = 30 * time.Millisecond
	// prefillTokensPerStep is the prompt length whose prefill takes about one step.
	prefillTokensPerStep = 512
)

// horizons are the points of the projection, in tokens per sequence from now.
var horizons = [...]int{1, 24, 48, 72, 96, 144, 192, 288, 384, 576, 768, 1152, 1536, 2304, 4096, 8192}

// Ledger holds the reservations of one engine and its newest load report. It is
// not safe for concurrent use.
type Ledger struct {
	// Confidence must be set before the first call of Reserve.
	Confidence Confidence

	report       wire.LoadReport
	reportAt     time.Time
	reservations []Reservation // in order of the grants, so that sums are reproducible
	// unexplainedBlocks is the number of blocks that the engine uses beyond the
	// prediction for its reservations; negative when it uses fewer.
	unexplainedBlocks int
	excessSince       time.Time // when the reservations began to outnumber the reported sequences
	// steps is the number of decode steps up to the newest report, estimated from
	// the reported step durations.
	steps float64
}

// New returns an empty ledger without a load report.
func New(c Confidence) *Ledger {
	return &Ledger{Confidence: c}
}

// ApplyReport stores a load report. It ignores one with a lower sequence number than
// the stored one unless it was measured later: an engine that restarts counts from
// the start again.
func (l *Ledger) ApplyReport(now time.Time, report wire.LoadReport) {
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
		// Preempted sequences will need their blocks again, so these are not free.
		l.unexplainedBlocks = max(0, l.unexplainedBlocks)
	}
}

// stepsAt extrapolates the engine's step count to a time not before the newest
// report.
func (l *Ledger) stepsAt(t time.Time) float64 {
	since := t.Sub(time.UnixMilli(int64(l.report.MeasuredUnixMs)))
	return l.steps + float64(since)/float64(l.stepDuration())
}

// reconcile drops the oldest reservations when the engine has reported fewer
// sequences than reservations for twice maxReportAge: their release messages were
// lost.
func (l *Ledger) reconcile(now time.Time) {
	expectedSequences := 0
	for _, r := range l.reservations {
		if now.Sub(r.GrantedAt) > maxReportAge {
			expectedSequences++
		}
	}
	excess := expectedSequences - l.report.Running - l.report.Waiting
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
	// Reservations are sorted by age, oldest first.
	l.reservations = slices.Delete(l.reservations, 0, excess)
}

// FreshReport returns the newest report and whether it exists and is not stale.
func (l *Ledger) FreshReport(now time.Time) (wire.LoadReport, bool) {
	return l.report, l.report.CapacityBlocks > 0 && now.Sub(l.reportAt) < maxReportAge
}

// stepDuration returns the duration of one decode step.
func (l *Ledger) stepDuration() time.Duration {
	if l.report.StepMicros > 0 {
		return time.Duration(l.report.StepMicros) * time.Microsecond
	}
	return defaultStepDuration
}

// generatedTokens estimates the number of tokens that a generation has produced.
func (l *Ledger) generatedTokens(r Reservation, now time.Time) int {
	tokens := int(l.stepsAt(now) - r.firstTokenStep)
	return max(0, min(tokens, r.Wire.MaxTokens))
}

// predictedBlocksAt estimates the blocks that the reservations use at a time, without
// those that are too new to show in a report of that time.
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

// blocksFor returns the number of blocks that hold some tokens.
func (l *Ledger) blocksFor(tokens float64) int {
	return int(math.Ceil(tokens / float64(max(l.report.BlockTokens, 1))))
}

// Reserve grants a reservation and returns outcome.None, or returns the cause of the
// denial. It is idempotent per request ID.
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

// index returns the index of a reservation, or -1.
func (l *Ledger) index(id string) int {
	return slices.IndexFunc(l.reservations, func(r Reservation) bool { return r.Wire.Id == id })
}

// check returns the cause of a denial, or outcome.None when the request fits.
func (l *Ledger) check(now time.Time, request Request) outcome.Cause {
	report, fresh := l.FreshReport(now)
	if !fresh && report.CapacityBlocks > 0 {
		return outcome.EngineLost
	}
	if !fresh {
		return outcome.AdmitterLost
	}
	if report.Leaving && !mutation.Enabled(mutation.LeavingIgnored) {
		return outcome.EngineReclaimed
	}
	if len(l.reservations) >= report.Slots {
		return outcome.SlotsFull
	}
	if l.blocksFor(float64(request.Wire.PromptTokens+1)) > report.CapacityBlocks {
		return outcome.MemoryFull
	}
	// An engine with preempted sequences is short of memory: let it recover first.
	if report.Waiting > 0 && report.Preemptions > 0 && l.predictedBlocksAt(now) > report.CapacityBlocks*9/10 {
		return outcome.MemoryFull
	}
	if !l.fits(now, request) {
		return outcome.MemoryFull
	}
	return outcome.None
}

// fits reports whether the projected mean usage plus the safety margin stays below
// the capacity at each horizon. Sequence lengths are independent, so variances add
// up and the margin per sequence shrinks as the batch grows.
func (l *Ledger) fits(now time.Time, request Request) bool {
	capacity := float64(l.report.CapacityBlocks - l.unexplainedBlocks)
	blockTokens := float64(l.report.BlockTokens)
	if len(l.reservations) == 0 {
		return true
	}
	var mean, variance [len(horizons)]float64
	l.project(Reservation{Request: request}, 0, &mean, &variance)
	for _, r := range l.reservations {
		l.project(r, l.generatedTokens(r, now), &mean, &variance)
	}
	// On average half of the last block of a sequence is empty.
	partialBlocks := float64(len(l.reservations)+1) / 2
	for i := range horizons {
		peak := mean[i]/blockTokens + partialBlocks + float64(l.Confidence)*math.Sqrt(variance[i])/blockTokens
		if peak > capacity {
			return false
		}
	}
	return true
}

// project adds the expected tokens of a reservation and their variance at each
// horizon.
func (l *Ledger) project(r Reservation, generated int, mean, variance *[len(horizons)]float64) {
	for i, horizon := range horizons {
		if generated+horizon > r.Wire.MaxTokens {
			return
		}
		probability := r.Lengths.ContinueProbability(generated, horizon)
		tokens := float64(r.Wire.PromptTokens + generated + horizon)
		mean[i] += probability * tokens
		variance[i] += probability * (1 - probability) * tokens * tokens
	}
}

// Adopt adds a reservation that another admitter granted, without a check.
func (l *Ledger) Adopt(now time.Time, request Request) {
	if l.index(request.Wire.Id) < 0 {
		l.add(now, request)
	}
}

// Release removes a reservation and reports whether it existed.
func (l *Ledger) Release(id string) (Reservation, bool) {
	i := l.index(id)
	if i < 0 {
		return Reservation{}, false
	}
	r := l.reservations[i]
	l.reservations = slices.Delete(l.reservations, i, i+1)
	return r, true
}

// DropVM removes the reservations of an entry VM that has failed or left. Sequences
// that still run for it are accounted for by the engine's load reports.
func (l *Ledger) DropVM(vm string) {
	l.reservations = slices.DeleteFunc(l.reservations, func(r Reservation) bool { return r.VM == vm })
}

// OpenReservations returns the number of open reservations.
func (l *Ledger) OpenReservations() int { return len(l.reservations) }

// FreeBlocks estimates the number of blocks that are not in use. It may be negative.
func (l *Ledger) FreeBlocks(now time.Time) int {
	return l.report.CapacityBlocks - l.unexplainedBlocks - l.predictedBlocksAt(now)
}

// FitsReport reports whether a prompt fits by the load report alone. It is used
// when no admitter can be reached, and leaves a large part of the memory free as the
// report lags. outstanding is the number of open requests of the calling VM.
func FitsReport(report wire.LoadReport, promptTokens, outstanding int) bool {
	if report.CapacityBlocks == 0 || report.Leaving || report.Running+report.Waiting+outstanding >= report.Slots {
		return false
	}
	neededBlocks := (promptTokens + report.BlockTokens) / max(report.BlockTokens, 1) * (1 + outstanding)
	return float64(report.UsedBlocks+neededBlocks) <= maxFallbackShare*float64(report.CapacityBlocks)
}
