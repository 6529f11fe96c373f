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
	NoFailure        Reason = "noFailure"
	NotFound         Reason = "notFound"
	Refused          Reason = "refusedByConfiguration"
	NoConfiguration  Reason = "noConfigurationYet"
	Stopping         Reason = "vmStopping"
	VMEnded          Reason = "vmEnded"
	NoServer         Reason = "noServer"
	RetriesSpent     Reason = "retriesSpent"
	ReplicaFailed    Reason = "replicaFailed"
	ReplicaBroke     Reason = "replicaBroke"
	ReplicaSlow      Reason = "replicaSlow"
	CallerLeft       Reason = "callerLeft"
	NoRoom           Reason = "noRoomForCopy"
	CopyLate         Reason = "copyNotInTime"
	CopyUnused       Reason = "copyNotUsed"
	NoticeLate       Reason = "noticeLate"
	NoticeMissed     Reason = "noNoticeWhileStoreAway"
	ServerDied       Reason = "serverDied"
	ConnectionBroken Reason = "connectionBroken"
	Other            Reason = "other"
)

const (
	eventPrefix = "event="
	// together is how close in time the streams of a server break when it ends.
	together = 100 * time.Millisecond
	// enoughNotice is the time from a notice in which a first copy is made.
	enoughNotice = 700 * time.Millisecond
	// noticeAfter is how late other VMs may learn that a server is gone.
	noticeAfter = 10 * time.Second
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
func (b *Book) Explain(request string) Explanation {
	c := &inquiry{book: b, x: Explanation{Request: request, Sentences: []string{}, Evidence: []string{}}}
	for _, l := range b.lines {
		if l.Fields["request"] == request {
			c.own = append(c.own, l)
			c.cite(l)
		}
	}
	if len(c.own) == 0 {
		c.say(NotFound, false, "No line names this request. Lines on requests that went well are bounded.")
		return c.x
	}
	c.end = endOf(c.own)
	c.x.VM, c.x.Server = c.end.VM, c.end.Fields["server"]
	c.x.Cause = outcome.Cause(strings.TrimPrefix(c.end.Fields["cause"], "none"))
	c.judge()
	slices.Sort(c.x.Evidence)
	c.x.Evidence = slices.Compact(c.x.Evidence)
	return c.x
}

// endOf returns the line that tells how a request ended, or its last one; calls
// for its copies may be answered later.
func endOf(own []Line) Line {
	for _, l := range slices.Backward(own) {
		if l.Event == "ended" {
			return l
		}
	}
	return own[len(own)-1]
}

// inquiry is the work on one explanation.
type inquiry struct {
	book *Book
	// own are the lines of the request, end the last of them.
	own []Line
	end Line
	x   Explanation
}

func (c *inquiry) cite(l Line) {
	_, pairs, _ := strings.Cut(l.Text, eventPrefix)
	c.x.Evidence = append(c.x.Evidence, l.At.UTC().Format("15:04:05.000")+" "+l.VM+" "+eventPrefix+pairs)
}

func (c *inquiry) say(r Reason, certain bool, format string, args ...any) {
	c.x.Reason, c.x.Certain = r, certain
	c.x.Sentences = append(c.x.Sentences, fmt.Sprintf(format, args...))
}

// last returns the newest line before a moment, or the oldest after it, that
// fits; it is cited.
func (c *inquiry) last(before time.Time, fits func(Line) bool) (Line, bool) {
	for _, l := range slices.Backward(c.book.lines) {
		if !l.At.After(before) && fits(l) {
			c.cite(l)
			return l, true
		}
	}
	return Line{}, false
}

func (c *inquiry) next(after time.Time, fits func(Line) bool) (Line, bool) {
	for _, l := range c.book.lines {
		if l.At.After(after) && fits(l) {
			c.cite(l)
			return l, true
		}
	}
	return Line{}, false
}

func (c *inquiry) here(event string) func(Line) bool {
	return func(l Line) bool { return l.VM == c.end.VM && l.Event == event }
}

func (c *inquiry) judge() {
	if c.end.Event != "ended" {
		c.unfinished()
		return
	}
	if c.end.Fields["outcome"] == string(outcome.Finished) {
		c.say(NoFailure, true, "It was answered with status %s after %s ms.", c.end.Fields["status"], c.end.Fields["tookMs"])
		return
	}
	switch c.x.Cause {
	case outcome.Unauthorized, outcome.Forbidden, outcome.NotFound, outcome.BadRequest, outcome.TooLarge:
		c.say(Refused, true, "It was refused (%s) by version %s of the configuration and did not run.", c.x.Cause, c.end.Fields["config"])
	case outcome.NotReady:
		c.notReady()
	case outcome.VMStopping:
		_, told := c.last(c.end.At, c.here("stopping"))
		c.say(Stopping, told, "Its VM was stopping and could not have served it in time; it did not run.")
	case outcome.NoReplica:
		c.say(NoServer, true, "No server of its service was left to send it to; it did not run.")
	case outcome.RetryBudget:
		c.say(RetriesSpent, true, "A server did not run it, and the budget of repeats was spent.")
	case outcome.CallerGone:
		c.say(CallerLeft, true, "The caller closed its connection or cancelled the stream.")
	case outcome.DeadlinePassed:
		c.say(ReplicaSlow, c.x.Server != "", "No answer came from %s by the end of its time.", c.x.Server)
	case outcome.BrokenAnswer:
		c.say(ReplicaBroke, true, "What %s sent is no answer, or it broke off.", c.x.Server)
	case outcome.ServiceLost:
		c.serviceLost()
	case outcome.EngineLost:
		c.engineLost()
	default:
		c.say(Other, false, "It ended with cause %s.", c.x.Cause)
	}
}

// unfinished explains a request that has no line about its end.
func (c *inquiry) unfinished() {
	if l, ok := c.next(c.end.At, c.here("started")); ok {
		c.x.Cause = outcome.VMLost
		c.say(VMEnded, true, "Its VM ended without closing it and started again at %s.", l.At.UTC().Format("15:04:05.000"))
		return
	}
	if c.end.Event == "placed" {
		c.say(Other, false, "It was sent to %s. Its end is not in these lines: it still runs, went well while such lines were left out, or its VM is gone.", c.x.Server)
		return
	}
	c.say(Other, false, "Its end is not in these lines.")
}

func (c *inquiry) notReady() {
	started, ok := c.last(c.end.At, c.here("started"))
	_, lost := c.last(c.end.At, func(l Line) bool { return c.here("storeLost")(l) && l.At.After(started.At) })
	if lost {
		c.say(NoConfiguration, ok, "Its VM had started and could not read the configuration, as the store did not answer.")
		return
	}
	c.say(NoConfiguration, ok, "Its VM had started and had no configuration yet.")
}

func (c *inquiry) serviceLost() {
	if d := c.end.Fields["detail"]; strings.HasPrefix(d, "the replica answered") {
		c.say(ReplicaFailed, true, "%s failed: %s. It was tried %s times.", c.x.Server, d, c.end.Fields["attempts"])
		return
	}
	for _, l := range slices.Backward(c.own) {
		if l.Event == "sendFailed" {
			c.x.Server = l.Fields["server"]
			c.say(ReplicaBroke, true, "%s could not be reached or broke off: %s.", c.x.Server, l.Fields["reason"])
			return
		}
	}
	c.say(ReplicaBroke, false, "%s broke off.", c.x.Server)
}

// engineLost explains a stream that was cut with its server.
func (c *inquiry) engineLost() {
	broke := c.end.At
	notice, told := c.last(broke, func(l Line) bool { return c.here("serverLeaves")(l) && l.Fields["server"] == c.x.Server })
	if !told {
		c.withoutNotice(broke)
		return
	}
	lead := broke.Sub(notice.At)
	moves := map[string]int{}
	for _, l := range c.own {
		if l.Event == "move" && l.Fields["from"] == c.x.Server && l.At.Before(broke) {
			moves[l.Fields["result"]]++
		}
	}
	gone := fmt.Sprintf("%s was taken away %d ms after its VM had learned that it leaves", c.x.Server, lead.Milliseconds())
	switch {
	case moves["copied"] > 0:
		c.say(CopyUnused, true, "%s; a copy was there, but the stream could not go on from it.", gone)
	case moves["noRoom"] > 0:
		c.say(NoRoom, true, "%s; a copy was refused %d times, as no server that was asked had room.", gone, moves["noRoom"])
	case c.noTarget():
		c.say(NoRoom, true, "%s; no other server could be asked to take a copy.", gone)
	case lead < enoughNotice:
		c.say(NoticeLate, true, "%s, which is too late for a copy.", gone)
	default:
		c.say(CopyLate, true, "%s; no copy of it was complete by then.", gone)
	}
}

func (c *inquiry) noTarget() bool {
	return slices.ContainsFunc(c.own, func(l Line) bool { return l.Event == "noTarget" && l.At.Before(c.end.At) })
}

// withoutNotice explains a stream whose VM did not know that its server leaves.
func (c *inquiry) withoutNotice(broke time.Time) {
	leaving := func(l Line) bool {
		return l.Event == "server" && l.Fields["server"] == c.x.Server && (l.Fields["belief"] == "leaving" || l.Fields["belief"] == "gone")
	}
	if l, ok := c.last(broke, leaving); ok {
		c.say(NoticeLate, true, "%s knew %d ms before that %s leaves; %s did not.", l.VM, broke.Sub(l.At).Milliseconds(), c.x.Server, c.end.VM)
		return
	}
	after, gone := c.next(broke, func(l Line) bool { return leaving(l) && l.At.Sub(broke) < noticeAfter })
	if c.storeAway(broke) {
		c.say(NoticeMissed, gone, "%s ended while the store did not answer, which would have told that it leaves.", c.x.Server)
		return
	}
	others := 0
	for _, l := range c.book.lines {
		if l.Event == "streamLost" && l.Fields["server"] == c.x.Server && l.Fields["request"] != c.x.Request &&
			l.At.Sub(broke).Abs() < together {
			others++
			c.cite(l)
		}
	}
	switch {
	case gone && after.Fields["belief"] == "gone":
		c.say(ServerDied, true, "%s ended without a notice; the store removed it %d ms later.", c.x.Server, after.At.Sub(broke).Milliseconds())
	case others > 0:
		c.say(ServerDied, false, "%s broke off %d other streams at the same time without a notice.", c.x.Server, others)
	case gone:
		c.say(NoticeLate, true, "The notice that %s leaves came %d ms after it was gone.", c.x.Server, after.At.Sub(broke).Milliseconds())
	default:
		c.say(ConnectionBroken, false, "The connection to %s broke; nothing tells that the server ended.", c.x.Server)
	}
}

// storeAway reports whether the VM could not read the servers at a moment.
func (c *inquiry) storeAway(at time.Time) bool {
	l, ok := c.last(at, func(l Line) bool {
		return l.VM == c.end.VM && l.Fields["prefix"] == "servers/" && (l.Event == "storeLost" || l.Event == "storeRegained")
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
