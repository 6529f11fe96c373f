package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// rule is the name of a promise.
type rule string

// Promises that are checked.
const (
	ruleTwice   rule = "TWICE"
	ruleRefused rule = "REFUSED"
	ruleMixed   rule = "MIXED"
	ruleOrder   rule = "ORDER"
	ruleDrain   rule = "DRAIN"
	ruleLost    rule = "LOST"
	ruleRecover rule = "RECOVER"
	ruleExit    rule = "EXIT"
	ruleMemory  rule = "MEMORY"

	ruleEvacuated rule = "EVAC"
)

// Violation is a broken promise.
type Violation struct {
	Rule    rule
	Attempt string
	Detail  string
}

const (
	// maxOverlap is how long two engines may work on a stream at once.
	maxOverlap = 400 * time.Millisecond
	// lateInStop is the part of the grace period at whose end a server's slowness is the
	// reason for a cut request that was sent within acceptedFor of the stop.
	lateInStop  = gracePeriod / 6
	acceptedFor = 3 * time.Second
)

func (f *fleet) violate(v Violation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, v)
}

// report checks all requests and runs.
func (f *fleet) report() Report {
	f.mu.Lock()
	records, servers := f.records, append(append([]*server{}, f.engines...), f.plain...)
	f.mu.Unlock()
	runs := map[string][]upstream.Run{}
	started := map[serverStart]*server{}
	for _, s := range servers {
		started[serverStart{s.id, s.startedAt}] = s
	}
	out := Report{Requests: map[string]int{}, Faults: map[string]int{}}
	for _, run := range f.cluster.AllRuns() {
		runs[run.Attempt] = append(runs[run.Attempt], run)
		if run.Resumed {
			out.Resumed++
		}
	}
	for _, rec := range records {
		out.Requests[string(rec.kind)+"/"+rec.outcome()]++
		f.checkRecord(rec, runs[rec.attempt])
		for _, run := range runs[rec.attempt] {
			s := started[serverStart{run.Replica, run.ReplicaStartedAt}]
			f.checkDrain(rec, run, s)
			f.checkEvacuation(rec, run, s)
		}
	}
	out.countCutByEnd(runs, started)
	f.checkRecovery(records)
	for _, attempt := range f.cluster.Mixed() {
		f.violate(Violation{ruleMixed, attempt, "sent with the copy of another stream"})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.faults {
		out.Faults[name] = n
	}
	out.PeakMemoryMb = f.peakMemoryMb
	out.Violations = f.violations
	if f.peakMemoryMb > vmMemoryMb {
		out.Violations = append(out.Violations, Violation{ruleMemory, "", fmt.Sprintf("a VM took %d MB of %d", f.peakMemoryMb, vmMemoryMb)})
	}
	return out
}

// endSkew bounds the time between the end of an engine and the recorded end of its runs.
const endSkew = 50 * time.Millisecond

// countCutByEnd counts the runs that were cut off by the end of their engine and the pauses of those
// that were resumed.
func (r *Report) countCutByEnd(runs map[string][]upstream.Run, started map[serverStart]*server) {
	for _, attempts := range runs {
		for i, run := range attempts {
			s := started[serverStart{run.Replica, run.ReplicaStartedAt}]
			if s == nil || s.service != engineService || run.Unheard {
				continue
			}
			s.mu.Lock()
			endedAt := s.endedAt
			s.mu.Unlock()
			if endedAt.IsZero() || run.Ended.Before(endedAt) || run.Ended.After(endedAt.Add(endSkew)) {
				continue
			}
			r.CutByEnd++
			if i+1 < len(attempts) {
				r.ResumePauses = append(r.ResumePauses, attempts[i+1].Started.Sub(run.Ended))
			}
		}
	}
	slices.Sort(r.ResumePauses)
}

// minServedDivisor is the part of the requests that must be served after the recovery.
const minServedDivisor = 4

// checkRecovery checks that requests are served again after all VMs were killed.
func (f *fleet) checkRecovery(records []record) {
	if f.recoverBy.IsZero() {
		return
	}
	sent, served := 0, 0
	for _, rec := range records {
		if rec.sent.Before(f.recoverBy) || rec.left {
			continue
		}
		sent++
		if rec.outcome() == outcomeServed {
			served++
		}
	}
	if served*minServedDivisor < sent || sent == 0 {
		f.violate(Violation{ruleRecover, "", fmt.Sprintf("%d of %d requests were served after the recovery", served, sent)})
	}
}

// checkRecord checks one request.
func (f *fleet) checkRecord(rec record, runs []upstream.Run) {
	if rec.problem != "" {
		f.violate(Violation{rec.rule, rec.attempt, rec.problem + describeRuns(runs)})
	}
	if rec.kind == kindSafe {
		return
	}
	if isPromise(rec.status) && len(runs) > 0 {
		f.violate(Violation{ruleRefused, rec.attempt, fmt.Sprintf("%s got status %d from %s and ran on %s", rec.kind, rec.status, rec.vm.name, runs[0].Replica)})
	}
	for i := 1; i < len(runs); i++ {
		f.checkRepeat(rec, runs[i-1], runs[i])
	}
	f.checkPlannedStop(rec, runs)
}

// describeRuns returns where a request ran and which events each run produced.
func describeRuns(runs []upstream.Run) string {
	var b strings.Builder
	for _, run := range runs {
		fmt.Fprintf(&b, "; ran on %s: events %d to %d", run.Replica, run.FirstEvent, run.LastEvent)
		if run.Unheard {
			b.WriteString(", unheard")
		}
		if run.Ended.IsZero() {
			b.WriteString(", not ended")
		}
	}
	return b.String()
}

// checkRepeat checks the second of two runs of a request that must not run twice.
func (f *fleet) checkRepeat(rec record, before, run upstream.Run) {
	switch {
	case !run.Resumed:
		f.violate(Violation{ruleTwice, rec.attempt, fmt.Sprintf("ran on %s and again on %s", before.Replica, run.Replica)})
	case !before.Ended.IsZero() && !before.Ended.After(run.Started.Add(maxOverlap)):
	case rec.vm.disturbedIn(run.Started.Add(-contactTime), run.Started):
	default:
		overlap := "it had not ended at the end of the run"
		if !before.Ended.IsZero() {
			overlap = fmt.Sprintf("it ended %d ms later", before.Ended.Sub(run.Started).Milliseconds())
		}
		f.violate(Violation{ruleTwice, rec.attempt, fmt.Sprintf("resumed by %s on %s while %s worked on it; %s", rec.vm.name, run.Replica, before.Replica, overlap)})
	}
}

// isPromise reports whether a status tells a caller that its request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// serverStart identifies a server. Several may use an ID one after the other.
type serverStart struct {
	id string
	at time.Time
}

// checkDrain checks that the request of a run did not reach its server long after that said in the
// list that it leaves. A server that is suspended begins to work on it later.
func (f *fleet) checkDrain(rec record, run upstream.Run, s *server) {
	if s == nil {
		return
	}
	s.mu.Lock()
	leavesAt := s.leavesAt
	s.mu.Unlock()
	reached := run.Started
	if !run.Received.IsZero() {
		reached = run.Received
	}
	late := reached.Sub(leavesAt)
	if leavesAt.IsZero() || late <= drainBoundMs*time.Millisecond || rec.vm.disturbedIn(leavesAt.Add(-contactTime), reached) {
		return
	}
	f.mu.Lock()
	storeDisturbed := f.storeDisturbed.touches(leavesAt.Add(-contactTime), reached)
	f.mu.Unlock()
	if !storeDisturbed {
		f.violate(Violation{ruleDrain, rec.attempt, fmt.Sprintf("reached %s %d ms after it was listed as leaving", run.Replica, late.Milliseconds())})
	}
}

// checkPlannedStop checks, in runs without other faults, that a stop cuts no request off that
// was passed on to a server.
func (f *fleet) checkPlannedStop(rec record, runs []upstream.Run) {
	if f.opts.Profile != profileStops || rec.err == nil || rec.left || len(runs) == 0 {
		return
	}
	last := runs[len(runs)-1]
	stop := rec.vm.stopBefore(rec.ended)
	atWork := last.Ended.IsZero() || last.Ended.After(stop.Add(gracePeriod-lateInStop))
	if !stop.IsZero() && atWork && rec.sent.Before(stop.Add(acceptedFor)) {
		return
	}
	f.violate(Violation{ruleLost, rec.attempt, fmt.Sprintf("%s sent %d ms after the stop of %s began was cut: %v", rec.kind, rec.sent.Sub(stop).Milliseconds(), rec.vm.name, rec.err)})
}

func (v *vm) disturbedIn(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.disturbed.touches(from, to)
}

// stopBefore returns the latest planned stop before a time, or the zero time.
func (v *vm) stopBefore(at time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := len(v.stops) - 1; i >= 0; i-- {
		if v.stops[i].Before(at) {
			return v.stops[i]
		}
	}
	return time.Time{}
}
