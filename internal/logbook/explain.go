package logbook

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// Reason says why a request ended as it did, in more detail than its cause.
type Reason string

// The closed list of reasons.
const (
	NoFailure                Reason = "noFailure"
	NotFound                 Reason = "notFound"
	RefusedByConfiguration   Reason = "refusedByConfiguration"
	NoConfigurationYet       Reason = "noConfigurationYet"
	VMStopping               Reason = "vmStopping"
	VMEnded                  Reason = "vmEnded"
	NoServer                 Reason = "noServer"
	RetryBudgetExhausted     Reason = "retriesSpent"
	ReplicaFailed            Reason = "replicaFailed"
	NoValidResponse          Reason = "replicaBroke"
	ReplicaSlow              Reason = "replicaSlow"
	CallerDisconnected       Reason = "callerLeft"
	NoRoomForCopy            Reason = "noRoomForCopy"
	CopyNotInTime            Reason = "copyNotInTime"
	CopyNotUsed              Reason = "copyNotUsed"
	NoticeLate               Reason = "noticeLate"
	NoNoticeStoreUnavailable Reason = "noNoticeWhileStoreAway"
	ServerFailed             Reason = "serverDied"
	ConnectionBroken         Reason = "connectionBroken"
	Other                    Reason = "other"
)

const (
	eventPrefix = "event="
	// simultaneous is how close in time the streams of a server break when it ends.
	simultaneous = 100 * time.Millisecond
	// minNoticeForCopy is the time from a notice in which a first copy is made.
	minNoticeForCopy = 700 * time.Millisecond
	// maxNoticeDelay is how late other VMs may learn that a server is gone.
	maxNoticeDelay = 10 * time.Second
)

// Explanation answers how one request ended and why.
type Explanation struct {
	// Request is its id, VM who had it.
	Request string `json:"request"`
	VM      string `json:"vm"`
	// Cause is that of its last line; Reason says more.
	Cause  outcome.Cause `json:"cause"`
	Reason Reason        `json:"reason"`
	// Server is the backend server concerned; it may be empty.
	Server string `json:"server"`
	// Certain is false when the lines allow another reason.
	Certain bool `json:"certain"`
	// Sentences say it in words.
	Sentences []string `json:"sentences"`
	// Evidence is the lines on which the explanation rests, in order of time.
	Evidence []string `json:"evidence"`
}

// Explain explains one request from all lines that were read.
func (lg *Log) Explain(request string) Explanation {
	e := &explainer{log: lg, result: Explanation{Request: request, Sentences: []string{}, Evidence: []string{}}}
	for _, l := range lg.lines {
		if l.Fields["request"] == request {
			e.requestLines = append(e.requestLines, l)
			e.addEvidence(l)
		}
	}
	if len(e.requestLines) == 0 {
		e.conclude(NotFound, false, "No line names this request. Lines on requests that went well are bounded.")
		return e.result
	}
	e.endLine = findEndLine(e.requestLines)
	e.result.VM, e.result.Server = e.endLine.VM, e.endLine.Fields["server"]
	e.result.Cause = outcome.Cause(strings.TrimPrefix(e.endLine.Fields["cause"], "none"))
	e.explainEnd()
	slices.Sort(e.result.Evidence)
	e.result.Evidence = slices.Compact(e.result.Evidence)
	return e.result
}

// findEndLine returns the line that tells how a request ended, or its last one; calls
// for its copies may be answered later.
func findEndLine(lines []Line) Line {
	for _, l := range slices.Backward(lines) {
		if l.Event == "ended" {
			return l
		}
	}
	return lines[len(lines)-1]
}

// explainer is the work on one explanation.
type explainer struct {
	log *Log
	// requestLines are the lines of the request, end the last of them.
	requestLines []Line
	endLine      Line
	result       Explanation
}

func (e *explainer) addEvidence(l Line) {
	_, pairs, _ := strings.Cut(l.Text, eventPrefix)
	e.result.Evidence = append(e.result.Evidence, l.At.UTC().Format("15:04:05.000")+" "+l.VM+" "+eventPrefix+pairs)
}

func (e *explainer) conclude(r Reason, certain bool, format string, args ...any) {
	e.result.Reason, e.result.Certain = r, certain
	e.result.Sentences = append(e.result.Sentences, fmt.Sprintf(format, args...))
}

// findBefore returns the newest line before a moment, or the oldest after it, that
// fits; it is cited.
func (e *explainer) findBefore(before time.Time, match func(Line) bool) (Line, bool) {
	for _, l := range slices.Backward(e.log.lines) {
		if !l.At.After(before) && match(l) {
			e.addEvidence(l)
			return l, true
		}
	}
	return Line{}, false
}

func (e *explainer) findAfter(after time.Time, match func(Line) bool) (Line, bool) {
	for _, l := range e.log.lines {
		if l.At.After(after) && match(l) {
			e.addEvidence(l)
			return l, true
		}
	}
	return Line{}, false
}

func (e *explainer) eventOnVM(event string) func(Line) bool {
	return func(l Line) bool { return l.VM == e.endLine.VM && l.Event == event }
}

func (e *explainer) explainEnd() {
	if e.endLine.Event != "ended" {
		e.explainMissingEnd()
		return
	}
	if e.endLine.Fields["outcome"] == string(outcome.Finished) {
		e.conclude(NoFailure, true, "It was answered with status %s after %s ms.", e.endLine.Fields["status"], e.endLine.Fields["tookMs"])
		return
	}
	switch e.result.Cause {
	case outcome.Unauthorized, outcome.Forbidden, outcome.NotFound, outcome.BadRequest, outcome.TooLarge:
		e.conclude(RefusedByConfiguration, true, "It was refused (%s) by version %s of the configuration and did not run.", e.result.Cause, e.endLine.Fields["config"])
	case outcome.NotReady:
		e.explainNotReady()
	case outcome.VMStopping:
		_, noticed := e.findBefore(e.endLine.At, e.eventOnVM("stopping"))
		e.conclude(VMStopping, noticed, "Its VM was stopping and could not have served it in time; it did not run.")
	case outcome.NoReplica:
		e.conclude(NoServer, true, "No server of its service was left to send it to; it did not run.")
	case outcome.RetryBudget:
		e.conclude(RetryBudgetExhausted, true, "A server did not run it, and the budget of repeats was spent.")
	case outcome.CallerGone:
		e.conclude(CallerDisconnected, true, "The caller closed its connection or cancelled the stream.")
	case outcome.DeadlinePassed:
		e.conclude(ReplicaSlow, e.result.Server != "", "No answer came from %s by the end of its time.", e.result.Server)
	case outcome.BrokenAnswer:
		e.conclude(NoValidResponse, true, "What %s sent is no answer, or it broke off.", e.result.Server)
	case outcome.ServiceLost:
		e.explainServiceLost()
	case outcome.EngineLost:
		e.explainEngineLost()
	default:
		e.conclude(Other, false, "It ended with cause %s.", e.result.Cause)
	}
}

// explainMissingEnd explains a request that has no line about its end.
func (e *explainer) explainMissingEnd() {
	if l, ok := e.findAfter(e.endLine.At, e.eventOnVM("started")); ok {
		e.result.Cause = outcome.VMLost
		e.conclude(VMEnded, true, "Its VM ended without closing it and started again at %s.", l.At.UTC().Format("15:04:05.000"))
		return
	}
	if e.endLine.Event == "placed" {
		e.conclude(Other, false, "It was sent to %s. Its end is not in these lines: it still runs, went well while such lines were left out, or its VM is gone.", e.result.Server)
		return
	}
	e.conclude(Other, false, "Its end is not in these lines.")
}

func (e *explainer) explainNotReady() {
	started, ok := e.findBefore(e.endLine.At, e.eventOnVM("started"))
	_, storeLost := e.findBefore(e.endLine.At, func(l Line) bool { return e.eventOnVM("storeLost")(l) && l.At.After(started.At) })
	if storeLost {
		e.conclude(NoConfigurationYet, ok, "Its VM had started and could not read the configuration, as the store did not answer.")
		return
	}
	e.conclude(NoConfigurationYet, ok, "Its VM had started and had no configuration yet.")
}

func (e *explainer) explainServiceLost() {
	if d := e.endLine.Fields["detail"]; strings.HasPrefix(d, "the replica answered") {
		e.conclude(ReplicaFailed, true, "%s failed: %s. It was tried %s times.", e.result.Server, d, e.endLine.Fields["attempts"])
		return
	}
	for _, l := range slices.Backward(e.requestLines) {
		if l.Event == "sendFailed" {
			e.result.Server = l.Fields["server"]
			e.conclude(NoValidResponse, true, "%s could not be reached or broke off: %s.", e.result.Server, l.Fields["reason"])
			return
		}
	}
	e.conclude(NoValidResponse, false, "%s broke off.", e.result.Server)
}

// explainEngineLost explains a stream that was cut with its server.
func (e *explainer) explainEngineLost() {
	brokenAt := e.endLine.At
	notice, found := e.findBefore(brokenAt, func(l Line) bool { return e.eventOnVM("serverLeaves")(l) && l.Fields["server"] == e.result.Server })
	if !found {
		e.explainWithoutNotice(brokenAt)
		return
	}
	lead := brokenAt.Sub(notice.At)
	moves := map[string]int{}
	for _, l := range e.requestLines {
		if l.Event == "move" && l.Fields["from"] == e.result.Server && l.At.Before(brokenAt) {
			moves[l.Fields["result"]]++
		}
	}
	stopped := fmt.Sprintf("%s was taken away %d ms after its VM had learned that it leaves", e.result.Server, lead.Milliseconds())
	switch {
	case moves["copied"] > 0:
		e.conclude(CopyNotUsed, true, "%s; a copy was there, but the stream could not go on from it.", stopped)
	case moves["noRoom"] > 0:
		e.conclude(NoRoomForCopy, true, "%s; a copy was refused %d times, as no server that was asked had room.", stopped, moves["noRoom"])
	case e.hadNoTarget():
		e.conclude(NoRoomForCopy, true, "%s; no other server could be asked to take a copy.", stopped)
	case lead < minNoticeForCopy:
		e.conclude(NoticeLate, true, "%s, which is too late for a copy.", stopped)
	default:
		e.conclude(CopyNotInTime, true, "%s; no copy of it was complete by then.", stopped)
	}
}

func (e *explainer) hadNoTarget() bool {
	return slices.ContainsFunc(e.requestLines, func(l Line) bool { return l.Event == "noTarget" && l.At.Before(e.endLine.At) })
}

// explainWithoutNotice explains a stream whose VM did not know that its server leaves.
func (e *explainer) explainWithoutNotice(brokenAt time.Time) {
	leaving := func(l Line) bool {
		return l.Event == "server" && l.Fields["server"] == e.result.Server && (l.Fields["belief"] == "leaving" || l.Fields["belief"] == "gone")
	}
	if l, ok := e.findBefore(brokenAt, leaving); ok {
		e.conclude(NoticeLate, true, "%s knew %d ms before that %s leaves; %s did not.", l.VM, brokenAt.Sub(l.At).Milliseconds(), e.result.Server, e.endLine.VM)
		return
	}
	report, reportedLater := e.findAfter(brokenAt, func(l Line) bool { return leaving(l) && l.At.Sub(brokenAt) < maxNoticeDelay })
	if e.storeUnavailable(brokenAt) {
		e.conclude(NoNoticeStoreUnavailable, reportedLater, "%s ended while the store did not answer, which would have told that it leaves.", e.result.Server)
		return
	}
	otherStreams := 0
	for _, l := range e.log.lines {
		if l.Event == "streamLost" && l.Fields["server"] == e.result.Server && l.Fields["request"] != e.result.Request &&
			l.At.Sub(brokenAt).Abs() < simultaneous {
			otherStreams++
			e.addEvidence(l)
		}
	}
	switch {
	case reportedLater && report.Fields["belief"] == "gone":
		e.conclude(ServerFailed, true, "%s ended without a notice; the store removed it %d ms later.", e.result.Server, report.At.Sub(brokenAt).Milliseconds())
	case otherStreams > 0:
		e.conclude(ServerFailed, false, "%s broke off %d other streams at the same time without a notice.", e.result.Server, otherStreams)
	case reportedLater:
		e.conclude(NoticeLate, true, "The notice that %s leaves came %d ms after it was gone.", e.result.Server, report.At.Sub(brokenAt).Milliseconds())
	default:
		e.conclude(ConnectionBroken, false, "The connection to %s broke; nothing tells that the server ended.", e.result.Server)
	}
}

// storeUnavailable reports whether the VM could not read the servers at a moment.
func (e *explainer) storeUnavailable(at time.Time) bool {
	l, ok := e.findBefore(at, func(l Line) bool {
		return l.VM == e.endLine.VM && l.Fields["prefix"] == "servers/" && (l.Event == "storeLost" || l.Event == "storeRegained")
	})
	return ok && l.Event == "storeLost"
}

// Text formats the explanation for people: what happened, then the evidence.
func (x Explanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", strings.Join(x.Sentences, " "))
	certain := "certain"
	if !x.Certain {
		certain = "not certain"
	}
	fmt.Fprintf(&b, "\nreason %s (%s), cause %q, VM %s, server %q\n\nEvidence:\n", x.Reason, certain, x.Cause, x.VM, x.Server)
	for _, l := range x.Evidence {
		fmt.Fprintf(&b, "  %s\n", l)
	}
	return b.String()
}
