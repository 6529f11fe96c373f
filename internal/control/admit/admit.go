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

// Lengths predicts the length of a generation. *length.Estimator is one.
type Lengths interface {
	// Remaining is the probability that a generation with generated tokens goes on for more tokens.
	Remaining(generated, more int) float64
}

// Ask is a request for a reservation.
type Ask struct {
	// Wire is the ask as it crossed the peer link, or as it would have.
	Wire wire.ReserveAsk
	// VM is the entry VM that holds the caller.
	VM string
	// Lengths predicts the output's length; never nil.
	Lengths Lengths
}

// Reservation is memory and a batch slot that were granted.
type Reservation struct {
	Ask
	// GrantedAt is when dispatch was allowed to start.
	GrantedAt time.Time
	// startClock is the engine's step count when the first token is expected.
	startClock float64
}

// Confidence is the number of standard deviations that the projection keeps
// below the capacity.
type Confidence float64

const (
	// defaultStep is assumed until an engine reports its step time.
	defaultStep = 30 * time.Millisecond
	// reportAge is the age from which a load report no longer counts.
	reportAge = 5 * time.Second
	// cautiousShare is the share of the capacity that is used without an admitter.
	cautiousShare = 0.6
	// settle is how long a new reservation does not show in a report yet.
	settle = 30 * time.Millisecond
	// prefillTokens is the prompt length that takes an engine about one step.
	prefillTokens = 512
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
	// foreign is the blocks in use beyond what the reservations explain; it is
	// negative when the engine uses less than they predict.
	foreign     int
	excessSince time.Time
	// clock counts the decode steps of the engine up to the newest report.
	clock float64
}

// New returns the ledger of an engine of which nothing is known yet.
func New(c Confidence) *Ledger {
	return &Ledger{Confidence: c}
}

// Report takes in a load report. Older reports of the same engine process are
// ignored.
func (l *Ledger) Report(now time.Time, r wire.LoadReport) {
	if r.Sequence < l.report.Sequence && r.MeasuredUnixMs <= l.report.MeasuredUnixMs {
		return
	}
	measured := time.UnixMilli(int64(r.MeasuredUnixMs))
	if l.report.CapacityBlocks > 0 {
		l.clock = l.clockAt(measured)
	}
	l.report, l.reportAt = r, now
	l.reconcile(now)
	l.foreign = r.UsedBlocks - l.usedAt(measured)
	if r.Waiting > 0 {
		// What was set aside comes back: it must not count as free.
		l.foreign = max(0, l.foreign)
	}
}

// clockAt is the engine's step count at a time not before the newest report.
func (l *Ledger) clockAt(t time.Time) float64 {
	since := t.Sub(time.UnixMilli(int64(l.report.MeasuredUnixMs)))
	return l.clock + float64(since)/float64(l.step())
}

// reconcile drops the oldest reservations when the engine has reported fewer
// sequences for some time: their end was lost on the way.
func (l *Ledger) reconcile(now time.Time) {
	old := 0
	for _, r := range l.reservations {
		if now.Sub(r.GrantedAt) > reportAge {
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
	if now.Sub(l.excessSince) < 2*reportAge {
		return
	}
	l.excessSince = time.Time{}
	// Reservations are in order of age, so the oldest come first.
	l.reservations = slices.Delete(l.reservations, 0, excess)
}

// Latest returns the newest report and whether it is recent enough to count.
func (l *Ledger) Latest(now time.Time) (wire.LoadReport, bool) {
	return l.report, l.report.CapacityBlocks > 0 && now.Sub(l.reportAt) < reportAge
}

// step is the time of one decode step.
func (l *Ledger) step() time.Duration {
	if l.report.StepMicros > 0 {
		return time.Duration(l.report.StepMicros) * time.Microsecond
	}
	return defaultStep
}

// generated estimates the tokens that a reservation has produced by now.
func (l *Ledger) generated(r Reservation, now time.Time) int {
	n := int(l.clockAt(now) - r.startClock)
	return max(0, min(n, r.Wire.MaxTokens))
}

func (l *Ledger) usedAt(t time.Time) int {
	used := 0
	for _, r := range l.reservations {
		if r.GrantedAt.After(t.Add(-settle)) {
			continue
		}
		used += l.blocks(float64(r.Wire.PromptTokens + l.generated(r, t) + 1))
	}
	return used
}

func (l *Ledger) blocks(tokens float64) int {
	return int(math.Ceil(tokens / float64(max(l.report.BlockTokens, 1))))
}

// Ask grants a reservation or says what is lacking.
func (l *Ledger) Ask(now time.Time, a Ask) outcome.Cause {
	if l.find(a.Wire.Id) >= 0 {
		return outcome.None
	}
	if c := l.check(now, a); c != outcome.None {
		return c
	}
	l.add(now, a)
	return outcome.None
}

func (l *Ledger) add(now time.Time, a Ask) {
	l.reservations = append(l.reservations, l.reservation(now, a))
}

func (l *Ledger) reservation(now time.Time, a Ask) Reservation {
	prefill := 1 + float64(a.Wire.PromptTokens)/prefillTokens
	return Reservation{Ask: a, GrantedAt: now, startClock: l.clockAt(now) + prefill}
}

// find returns the position of a reservation, or -1.
func (l *Ledger) find(id string) int {
	return slices.IndexFunc(l.reservations, func(r Reservation) bool { return r.Wire.Id == id })
}

func (l *Ledger) check(now time.Time, a Ask) outcome.Cause {
	r, fresh := l.Latest(now)
	if !fresh && r.CapacityBlocks > 0 {
		return outcome.EngineLost
	}
	if !fresh {
		return outcome.AdmitterLost
	}
	if r.Leaving {
		return outcome.EngineReclaimed
	}
	if len(l.reservations) >= r.Slots {
		return outcome.SlotsFull
	}
	if l.blocks(float64(a.Wire.PromptTokens+1)) > r.CapacityBlocks {
		return outcome.MemoryFull
	}
	// An engine that has set work aside is over its memory: let it recover first.
	if r.Waiting > 0 && r.Preemptions > 0 && l.usedAt(now) > r.CapacityBlocks*9/10 {
		return outcome.MemoryFull
	}
	if !l.fits(now, a) {
		return outcome.MemoryFull
	}
	return outcome.None
}

// fits projects mean and variance of the memory at each horizon. Sequences are
// independent, so variances add up and a full batch needs little reserve.
func (l *Ledger) fits(now time.Time, a Ask) bool {
	capacity := float64(l.report.CapacityBlocks - l.foreign)
	block := float64(l.report.BlockTokens)
	if len(l.reservations) == 0 {
		return true
	}
	var mean, variance [len(horizons)]float64
	l.project(Reservation{Ask: a}, 0, &mean, &variance)
	for _, r := range l.reservations {
		l.project(r, l.generated(r, now), &mean, &variance)
	}
	// Blocks are whole: on average half of the last one is empty.
	waste := float64(len(l.reservations)+1) / 2
	for i := range horizons {
		peak := mean[i]/block + waste + float64(l.Confidence)*math.Sqrt(variance[i])/block
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
		p := r.Lengths.Remaining(generated, h)
		held := float64(r.Wire.PromptTokens + generated + h)
		mean[i] += p * held
		variance[i] += p * (1 - p) * held * held
	}
}

// Hold takes over a reservation that another admitter granted.
func (l *Ledger) Hold(now time.Time, a Ask) {
	if l.find(a.Wire.Id) < 0 {
		l.add(now, a)
	}
}

// End drops a reservation and reports whether it was there.
func (l *Ledger) End(id string) (Reservation, bool) {
	i := l.find(id)
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
	return l.report.CapacityBlocks - l.foreign - l.usedAt(now)
}

// Cautious decides by the lagged report alone, for when no admitter can be
// reached: it leaves a large part of the memory free.
func Cautious(r wire.LoadReport, promptTokens, outstanding int) bool {
	if r.CapacityBlocks == 0 || r.Leaving || r.Running+r.Waiting+outstanding >= r.Slots {
		return false
	}
	need := (promptTokens + r.BlockTokens) / max(r.BlockTokens, 1) * (1 + outstanding)
	return float64(r.UsedBlocks+need) <= cautiousShare*float64(r.CapacityBlocks)
}
