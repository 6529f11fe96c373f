package loganalysis

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// Reason is why a request ended as it did, in more detail than its cause.
type Reason string

// The closed list of reasons.
const (
	NoFailure                Reason = "noFailure"
	NotFound                 Reason = "notFound" // no log line contains the request
	RefusedByConfiguration   Reason = "refusedByConfiguration"
	NoConfigurationYet       Reason = "noConfigurationYet"
	VMStopping               Reason = "vmStopping"
	VMEnded                  Reason = "vmEnded"
	NoServer                 Reason = "noServer"
	RetryBudgetExhausted     Reason = "retriesSpent"
	ReplicaFailed            Reason = "replicaFailed" // it responded with an error
	NoValidResponse          Reason = "replicaBroke"  // unreachable, or the response was invalid or broke off
	ReplicaSlow              Reason = "replicaSlow"   // no response by the deadline
	CallerDisconnected       Reason = "callerLeft"
	NoRoomForCopy            Reason = "noRoomForCopy"
	CopyNotInTime            Reason = "copyNotInTime"
	CopyNotUsed              Reason = "copyNotUsed"
	RunMayContinue           Reason = "runMayContinue"
	NoticeLate               Reason = "noticeLate"
	NoNoticeStoreUnavailable Reason = "noNoticeWhileStoreAway"
	ServerFailed             Reason = "serverDied"
	ConnectionBroken         Reason = "connectionBroken"
	PromptQuarantined        Reason = "promptQuarantined"
	PromptCrashedEngine      Reason = "promptCrashedEngine"
	Other                    Reason = "other"
)

const (
	eventPrefix = "event="
	// simultaneousWindow is the time within which all streams of a server break when it
	// stops.
	simultaneousWindow = 100 * time.Millisecond
	// minNoticeForCopy is the time from the notice that a server is shutting down to
	// the end of a first copy.
	minNoticeForCopy = 700 * time.Millisecond
	// maxNoticeDelay is the longest time from the stop of a server to a log line
	// about it, of any VM, that still counts.
	maxNoticeDelay = 10 * time.Second
)

// Explanation describes how one request ended and why.
type Explanation struct {
	// Request is the ID of the request, VM the name of the VM that handled it.
	Request string `json:"request"`
	VM      string `json:"vm"`
	// Cause is the cause in the log line of the request's end; Reason is more specific.
	Cause  outcome.Cause `json:"cause"`
	Reason Reason        `json:"reason"`
	// Server is the ID of the backend server concerned; it may be empty.
	Server string `json:"server"`
	// Certain is false when the log lines allow another reason too.
	Certain bool `json:"certain"`
	// Sentences are the explanation as text.
	Sentences []string `json:"sentences"`
	// Evidence holds the log lines from which the explanation was derived, ordered
	// by time.
	Evidence []string `json:"evidence"`
}

// Explain explains how one request ended, from all lines read so far.
func (lg *Log) Explain(request string) Explanation {
	e := &explainer{log: lg, result: Explanation{Request: request, Sentences: []string{}, Evidence: []string{}}}
	for _, line := range lg.lines {
		if line.Fields["request"] == request {
			e.requestLines = append(e.requestLines, line)
			e.addEvidence(line)
		}
	}
	if len(e.requestLines) == 0 {
		e.conclude(NotFound, false, "No log line contains this request. The number of lines on successful requests is limited.")
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

// findEndLine returns the line that records the end of a request, or else its last
// line. The former need not be the last: responses to calls that concern copies of
// its KV cache may be logged later.
func findEndLine(lines []Line) Line {
	for _, line := range slices.Backward(lines) {
		if line.Event == "ended" {
			return line
		}
	}
	return lines[len(lines)-1]
}

// explainer holds the state while one explanation is derived.
type explainer struct {
	log *Log
	// requestLines are the lines of the request; endLine is the result of
	// findEndLine.
	requestLines []Line
	endLine      Line
	result       Explanation
}

func (e *explainer) addEvidence(line Line) {
	_, pairs, _ := strings.Cut(line.Text, eventPrefix)
	e.result.Evidence = append(e.result.Evidence, line.At.UTC().Format("15:04:05.000")+" "+line.VM+" "+eventPrefix+pairs)
}

func (e *explainer) conclude(reason Reason, certain bool, format string, args ...any) {
	e.result.Reason, e.result.Certain = reason, certain
	e.result.Sentences = append(e.result.Sentences, fmt.Sprintf(format, args...))
}

// findBefore returns the newest line at or before a time that matches, and adds it
// to the evidence.
func (e *explainer) findBefore(before time.Time, match func(Line) bool) (Line, bool) {
	for _, line := range slices.Backward(e.log.lines) {
		if !line.At.After(before) && match(line) {
			e.addEvidence(line)
			return line, true
		}
	}
	return Line{}, false
}

// findAfter returns the oldest line after a time that matches, and adds it to the
// evidence.
func (e *explainer) findAfter(after time.Time, match func(Line) bool) (Line, bool) {
	for _, line := range e.log.lines {
		if line.At.After(after) && match(line) {
			e.addEvidence(line)
			return line, true
		}
	}
	return Line{}, false
}

// eventOnVM returns a match function for lines of the request's VM with an event.
func (e *explainer) eventOnVM(event string) func(Line) bool {
	return func(line Line) bool { return line.VM == e.endLine.VM && line.Event == event }
}

func (e *explainer) explainEnd() {
	if e.endLine.Event != "ended" {
		e.explainMissingEnd()
		return
	}
	if e.endLine.Fields["outcome"] == string(outcome.Finished) {
		e.conclude(NoFailure, true, "The request completed with status %s after %s ms.", e.endLine.Fields["status"], e.endLine.Fields["tookMs"])
		return
	}
	switch e.result.Cause {
	case outcome.Unauthorized, outcome.Forbidden, outcome.NotFound, outcome.BadRequest, outcome.TooLarge:
		e.conclude(RefusedByConfiguration, true, "The request was refused (%s) under version %s of the configuration and did not run.", e.result.Cause, e.endLine.Fields["config"])
	case outcome.NotReady:
		e.explainNotReady()
	case outcome.VMStopping:
		_, noticed := e.findBefore(e.endLine.At, e.eventOnVM("stopping"))
		if e.endLine.Fields["outcome"] != string(outcome.NotRun) {
			e.conclude(VMStopping, noticed, "The VM stopped while the request was open at %s; it may have run.", e.result.Server)
			return
		}
		e.conclude(VMStopping, noticed, "The VM was stopping and could not have completed the request in time; it did not run.")
	case outcome.NoReplica:
		e.conclude(NoServer, true, "No server of the service was available; the request did not run.")
	case outcome.PromptQuarantined:
		e.explainQuarantine()
	case outcome.RetryBudget:
		e.conclude(RetryBudgetExhausted, true, "A server did not run the request, and the retry budget was exhausted.")
	case outcome.CallerGone:
		e.conclude(CallerDisconnected, true, "The caller closed the connection or cancelled the stream.")
	case outcome.DeadlinePassed:
		e.conclude(ReplicaSlow, e.result.Server != "", "No response from %s arrived before the deadline.", e.result.Server)
	case outcome.BrokenResponse:
		e.conclude(NoValidResponse, true, "The response of %s was invalid or broke off.", e.result.Server)
	case outcome.ServiceLost:
		e.explainServiceLost()
	case outcome.EngineLost:
		e.explainEngineLost()
	default:
		e.conclude(Other, false, "The request ended with cause %s.", e.result.Cause)
	}
}

// explainMissingEnd explains a request for which no line records the end.
func (e *explainer) explainMissingEnd() {
	if line, ok := e.findAfter(e.endLine.At, e.eventOnVM("started")); ok {
		e.result.Cause = outcome.VMLost
		e.conclude(VMEnded, true, "The VM ended without completing the request and started again at %s.", line.At.UTC().Format("15:04:05.000"))
		return
	}
	if e.endLine.Event == "placed" {
		e.conclude(Other, false, "The request was sent to %s. Its end is not in these lines: it is still running, it succeeded while such lines were skipped, or the VM has ended.", e.result.Server)
		return
	}
	e.conclude(Other, false, "The end of the request is not in these lines.")
}

func (e *explainer) explainNotReady() {
	started, ok := e.findBefore(e.endLine.At, e.eventOnVM("started"))
	_, storeLost := e.findBefore(e.endLine.At, func(line Line) bool { return e.eventOnVM("storeLost")(line) && line.At.After(started.At) })
	if storeLost {
		e.conclude(NoConfigurationYet, ok, "The VM had started and could not read the configuration, because the store did not respond.")
		return
	}
	e.conclude(NoConfigurationYet, ok, "The VM had started and had no configuration yet.")
}

// explainQuarantine explains a request with a quarantined segment.
func (e *explainer) explainQuarantine() {
	segments := e.requestSegments()
	line, found := e.findBefore(e.endLine.At, func(line Line) bool {
		return e.eventOnVM("quarantine")(line) && (len(segments) == 0 || slices.Contains(segments, line.Fields["segment"]))
	})
	what := "did not run"
	if e.endLine.Fields["outcome"] != string(outcome.NotRun) {
		what = "was cancelled at " + e.result.Server
	}
	if !found {
		e.conclude(PromptQuarantined, false, "A segment of the prompt was quarantined; the request %s. The line that says why is not in these lines.", what)
		return
	}
	e.conclude(PromptQuarantined, true, "%s engines had crashed on segment %s of the prompt, the last one %s; the request %s.",
		line.Fields["crashes"], line.Fields["segment"], line.Fields["lastServer"], what)
}

// requestSegments returns the segments that the lines of the request name.
func (e *explainer) requestSegments() []string {
	for _, line := range e.requestLines {
		if segments := line.Fields["segments"]; segments != "" {
			return strings.Split(segments, ",")
		}
	}
	return nil
}

func (e *explainer) explainServiceLost() {
	if detail := e.endLine.Fields["detail"]; strings.HasPrefix(detail, "the replica answered") {
		e.conclude(ReplicaFailed, true, "%s failed: %s. The request was attempted %s times.", e.result.Server, detail, e.endLine.Fields["attempts"])
		return
	}
	for _, line := range slices.Backward(e.requestLines) {
		if line.Event == "sendFailed" {
			e.result.Server = line.Fields["server"]
			e.conclude(NoValidResponse, true, "%s could not be reached, or its response broke off: %s.", e.result.Server, line.Fields["reason"])
			return
		}
	}
	e.conclude(NoValidResponse, false, "The response of %s broke off.", e.result.Server)
}

// explainEngineLost explains a stream that broke: its server failed or was
// reclaimed, or only the connection to it was lost.
func (e *explainer) explainEngineLost() {
	brokenAt := e.endLine.At
	notice, found := e.findBefore(brokenAt, func(line Line) bool {
		return e.eventOnVM("serverLeaves")(line) && line.Fields["server"] == e.result.Server
	})
	if !found {
		e.explainWithoutNotice(brokenAt)
		return
	}
	lead := brokenAt.Sub(notice.At)
	moves := map[string]int{}
	for _, line := range e.requestLines {
		if line.Event == "move" && line.Fields["from"] == e.result.Server && line.At.Before(brokenAt) {
			moves[line.Fields["result"]]++
		}
	}
	stopped := fmt.Sprintf("%s stopped %d ms after the VM received the notice of its shutdown", e.result.Server, lead.Milliseconds())
	lost := func(line Line) bool {
		return line.Event == "streamLost" && line.Fields["request"] == e.result.Request && line.Fields["mayRun"] == "true"
	}
	if _, ok := e.findBefore(brokenAt, lost); ok {
		e.conclude(RunMayContinue, true, "%s closed the connection and did not confirm within the caller's time that the run had ended; elsewhere the request would have run twice.", e.result.Server)
		return
	}
	switch {
	case moves["copied"] > 0:
		e.conclude(CopyNotUsed, true, "%s; a copy existed, but the stream could not be resumed from it.", stopped)
	case moves["noRoom"] > 0:
		e.conclude(NoRoomForCopy, true, "%s; a copy was refused %d times, because none of the target servers had room.", stopped, moves["noRoom"])
	case e.hadNoTarget():
		e.conclude(NoRoomForCopy, true, "%s; no other server was a possible target for a copy.", stopped)
	case lead < minNoticeForCopy:
		e.conclude(NoticeLate, true, "%s, which is too short for a copy.", stopped)
	default:
		e.conclude(CopyNotInTime, true, "%s; no copy was complete by then.", stopped)
	}
}

func (e *explainer) hadNoTarget() bool {
	return slices.ContainsFunc(e.requestLines, func(line Line) bool { return line.Event == "noTarget" && line.At.Before(e.endLine.At) })
}

// explainWithoutNotice explains a stream whose VM had no notice that its server was
// shutting down.
func (e *explainer) explainWithoutNotice(brokenAt time.Time) {
	leaving := func(line Line) bool {
		return line.Event == "server" && line.Fields["server"] == e.result.Server && (line.Fields["belief"] == "leaving" || line.Fields["belief"] == "gone")
	}
	if line, ok := e.findBefore(brokenAt, leaving); ok {
		e.conclude(NoticeLate, true, "%s had received a notice %d ms earlier that %s was shutting down; %s had not.", line.VM, brokenAt.Sub(line.At).Milliseconds(), e.result.Server, e.endLine.VM)
		return
	}
	report, reportedLater := e.findAfter(brokenAt, func(line Line) bool { return leaving(line) && line.At.Sub(brokenAt) < maxNoticeDelay })
	if e.storeUnavailable(brokenAt) {
		e.conclude(NoNoticeStoreUnavailable, reportedLater, "%s stopped while the store, which delivers the notice, did not respond.", e.result.Server)
		return
	}
	otherStreams := 0
	for _, line := range e.log.lines {
		if line.Event == "streamLost" && line.Fields["server"] == e.result.Server && line.Fields["request"] != e.result.Request &&
			line.At.Sub(brokenAt).Abs() < simultaneousWindow {
			otherStreams++
			e.addEvidence(line)
		}
	}
	if line, ok := e.findQuarantineAfter(brokenAt); ok {
		e.conclude(PromptCrashedEngine, true, "%s crashed, and the prompt holds segment %s, on which %s engines crashed.",
			e.result.Server, line.Fields["segment"], line.Fields["crashes"])
		return
	}
	switch {
	case reportedLater && report.Fields["belief"] == "gone":
		e.conclude(ServerFailed, true, "%s stopped without a notice; the store removed it %d ms later.", e.result.Server, report.At.Sub(brokenAt).Milliseconds())
	case otherStreams > 0:
		e.conclude(ServerFailed, false, "%s broke off %d other streams at the same time, without a notice.", e.result.Server, otherStreams)
	case reportedLater:
		e.conclude(NoticeLate, true, "The notice that %s was shutting down arrived %d ms after it had stopped.", e.result.Server, report.At.Sub(brokenAt).Milliseconds())
	default:
		e.conclude(ConnectionBroken, false, "The connection to %s broke; no line shows that the server stopped.", e.result.Server)
	}
}

// findQuarantineAfter returns the line about a quarantine of one of the request's segments
// that followed.
func (e *explainer) findQuarantineAfter(brokenAt time.Time) (Line, bool) {
	segments := e.requestSegments()
	return e.findAfter(brokenAt, func(line Line) bool {
		return line.Event == "quarantine" && slices.Contains(segments, line.Fields["segment"]) && line.At.Sub(brokenAt) < maxNoticeDelay
	})
}

// storeUnavailable reports whether the request's VM was unable to read the server
// entries from the store at a time.
func (e *explainer) storeUnavailable(at time.Time) bool {
	line, ok := e.findBefore(at, func(line Line) bool {
		return line.VM == e.endLine.VM && line.Fields["prefix"] == "servers/" && (line.Event == "storeLost" || line.Event == "storeRegained")
	})
	return ok && line.Event == "storeLost"
}

// Text formats the explanation for the terminal: what happened, then the evidence.
func (x Explanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", strings.Join(x.Sentences, " "))
	certain := "certain"
	if !x.Certain {
		certain = "not certain"
	}
	fmt.Fprintf(&b, "\nreason %s (%s), cause %q, VM %s, server %q\n\nEvidence:\n", x.Reason, certain, x.Cause, x.VM, x.Server)
	for _, line := range x.Evidence {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	return b.String()
}
