package incident

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Explanation answers why a request went as it did.
type Explanation struct {
	// Request is the request id.
	Request string `json:"request"`
	// Cause is the main cause; empty when nothing went wrong.
	Cause outcome.Cause `json:"cause"`
	// Engine is the backend that the cause concerns; it may be empty.
	Engine string `json:"engine"`
	// Certain is false when evidence is missing.
	Certain bool `json:"certain"`
	// Sentences is the explanation; each names the events that it rests on.
	Sentences []Sentence `json:"sentences"`
	// Timeline is the evidence.
	Timeline wire.Timeline `json:"timeline"`
	// Missing says what evidence could not be had.
	Missing []string `json:"missing"`
}

// Sentence is one statement with its evidence.
type Sentence struct {
	// Text is in plain words.
	Text string `json:"text"`
	// Events are positions in the timeline.
	Events []int `json:"events"`
}

// Explain derives the explanation from a timeline.
func Explain(t wire.Timeline) Explanation {
	x := Explanation{Request: t.Request, Timeline: t, Certain: t.Outcome != "" && t.Dropped == 0, Missing: []string{}}
	x.opening()
	worst, at := longestWait(t)
	x.cause(worst, at)
	x.delays()
	if t.Outcome == "" {
		x.Missing = append(x.Missing, "the end of the request: it still runs, or its VM died")
	}
	if t.Dropped > 0 {
		x.Missing = append(x.Missing, fmt.Sprintf("%d events in the middle, which were not kept", t.Dropped))
	}
	return x
}

func (x *Explanation) say(events []int, format string, args ...any) {
	x.Sentences = append(x.Sentences, Sentence{Text: fmt.Sprintf(format, args...), Events: events})
}

func (x *Explanation) opening() {
	t := x.Timeline
	last := len(t.Events) - 1
	switch outcome.Kind(t.Outcome) {
	case outcome.Finished:
		x.say([]int{last}, "The request of workspace %s to %s finished with %d tokens.", t.Workspace, t.Service, t.Tokens)
	case outcome.NotRun:
		x.say([]int{last}, "The request of workspace %s to %s was refused and did not run.", t.Workspace, t.Service)
	case outcome.Unknown:
		x.say([]int{last}, "The request of workspace %s to %s may have run; its answer was lost.", t.Workspace, t.Service)
	case outcome.Interrupted:
		x.say([]int{last}, "The answer for workspace %s from %s ended after %d tokens; those were delivered in order.", t.Workspace, t.Service, t.Tokens)
	default:
		x.say(nil, "The request of workspace %s to %s has not ended as far as is known.", t.Workspace, t.Service)
	}
}

// cause names the cause of the outcome or, for a finished request, of its
// longest wait.
func (x *Explanation) cause(worst time.Duration, at int) {
	t := x.Timeline
	x.Cause = outcome.Cause(t.Cause)
	stalled := slices.ContainsFunc(t.Events, func(e wire.Event) bool { return e.Kind == EventStalled })
	if x.Cause == outcome.None && (worst >= StallAfter || stalled) {
		x.Cause, x.Engine = waitCause(t, at)
	}
	if x.Cause == outcome.None {
		return
	}
	for i, e := range t.Events {
		if outcome.Cause(e.Cause) != x.Cause {
			continue
		}
		if e.Engine != "" {
			x.Engine = e.Engine
		}
		detail := e.Detail
		if detail != "" {
			detail = " (" + strings.TrimSuffix(detail, ".") + ")"
		}
		x.say([]int{i}, "%s%s%s", strings.TrimSuffix(x.Cause.Description(), "."), onEngine(e.Engine), detail+".")
		return
	}
	x.say(nil, "%s", x.Cause.Description())
}

func onEngine(name string) string {
	if name == "" {
		return ""
	}
	return ", on " + name
}

// longestWait returns the longest time between two events before the first
// token, and the position of the event that ended it.
func longestWait(t wire.Timeline) (time.Duration, int) {
	var worst time.Duration
	at := 0
	for i := 1; i < len(t.Events); i++ {
		if t.Events[i-1].Kind == EventFirstToken {
			break
		}
		d := time.Duration(t.Events[i].UnixMs-t.Events[i-1].UnixMs) * time.Millisecond
		if d > worst {
			worst, at = d, i
		}
	}
	return worst, at
}

// waitCause names the cause of a wait by the newest event up to its end that
// carries one.
func waitCause(t wire.Timeline, at int) (outcome.Cause, string) {
	for i, e := range t.Events {
		if e.Kind == EventStalled || e.Kind == EventLinkLost {
			return outcome.Cause(e.Cause), t.Events[i].Engine
		}
	}
	for i := min(at, len(t.Events)-1); i >= 0; i-- {
		if e := t.Events[i]; e.Cause != "" {
			return outcome.Cause(e.Cause), e.Engine
		}
	}
	for _, e := range t.Events {
		if e.Kind == "queued" {
			return outcome.QueuedBehind, ""
		}
	}
	return outcome.None, ""
}

func (x *Explanation) delays() {
	for i, e := range x.Timeline.Events {
		switch e.Kind {
		case "queued":
			x.say([]int{i}, "It waited in the queue of %s with %d requests ahead, %s.", e.Vm, e.Value, e.Detail)
		case "reserved", "placed":
			x.say([]int{i}, "%s sent it to %s after %d ms: %s.", e.Vm, e.Engine, e.Value, e.Detail)
		case EventFirstToken:
			x.say([]int{i}, "The first token came %d ms after the request.", e.Value)
		case EventStalled:
			x.say([]int{i}, "%s gave no token for %d ms.", e.Engine, e.Value)
		case EventLinkLost:
			x.say([]int{i}, "The stream from %s broke after %d tokens.", e.Engine, e.Value)
		case EventResumed:
			x.say([]int{i}, "%s went on with the same answer at token %d from %s.", e.Vm, e.Value, e.Engine)
		case EventRestarted:
			x.say([]int{i}, "As nothing had been delivered, %s started the work again elsewhere.", e.Vm)
		}
	}
}

// Text formats the explanation for people: a paragraph, then the evidence.
func (x Explanation) Text() string {
	var b strings.Builder
	parts := make([]string, 0, len(x.Sentences))
	for _, s := range x.Sentences {
		parts = append(parts, s.Text+refs(s.Events))
	}
	fmt.Fprintf(&b, "%s\n", strings.Join(parts, " "))
	if !x.Certain || len(x.Missing) > 0 {
		fmt.Fprintf(&b, "\nNot certain. Missing evidence: %s.\n", strings.Join(x.Missing, "; "))
	}
	fmt.Fprintf(&b, "\nEvidence (configuration revision %d, cause %q, backend %q):\n", x.Timeline.Revision, x.Cause, x.Engine)
	for i, e := range x.Timeline.Events {
		at := time.UnixMilli(int64(e.UnixMs)).UTC().Format("15:04:05.000")
		fmt.Fprintf(&b, "  [%d] %s %s %s", i, at, e.Vm, e.Kind)
		for _, f := range []struct{ k, v string }{{"backend", e.Engine}, {"cause", e.Cause}, {"detail", e.Detail}} {
			if f.v != "" {
				fmt.Fprintf(&b, " %s=%q", f.k, f.v)
			}
		}
		if e.Value != 0 {
			fmt.Fprintf(&b, " value=%d", e.Value)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func refs(events []int) string {
	if len(events) == 0 {
		return ""
	}
	return strings.ReplaceAll(fmt.Sprint(events), " ", ",")
}
