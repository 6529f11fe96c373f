package incident

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// Explanation explains the outcome and the delays of a request.
type Explanation struct {
	// Request is the request id.
	Request string `json:"request"`
	// Cause is the main cause of the failure or delay; empty if there was none.
	Cause outcome.Cause `json:"cause"`
	// Engine is the backend to which the cause applies; it may be empty.
	Engine string `json:"engine"`
	// Certain is false when evidence is missing.
	Certain bool `json:"certain"`
	// Sentences is the text of the explanation.
	Sentences []Sentence `json:"sentences"`
	// Timeline is the evidence for the explanation.
	Timeline wire.Timeline `json:"timeline"`
	// Missing lists the evidence that is not available.
	Missing []string `json:"missing"`
}

// Sentence is one statement with references to its evidence.
type Sentence struct {
	// Text is the statement.
	Text string `json:"text"`
	// Events are the indexes of the supporting events in the timeline.
	Events []int `json:"events"`
}

// Explain derives the explanation from a timeline.
func Explain(timeline wire.Timeline) Explanation {
	explanation := Explanation{Request: timeline.Request, Timeline: timeline, Certain: timeline.Outcome != "" && timeline.Dropped == 0, Missing: []string{}}
	explanation.addOutcome()
	longest, longestEnd := longestWait(timeline)
	explanation.addCause(longest, longestEnd)
	explanation.addEvents()
	if timeline.Outcome == "" {
		explanation.Missing = append(explanation.Missing, "the end of the request: it still runs, or its VM died")
	}
	if timeline.Dropped > 0 {
		explanation.Missing = append(explanation.Missing, fmt.Sprintf("%d events in the middle, which were not kept", timeline.Dropped))
	}
	return explanation
}

func (x *Explanation) addSentence(events []int, format string, args ...any) {
	x.Sentences = append(x.Sentences, Sentence{Text: fmt.Sprintf(format, args...), Events: events})
}

func (x *Explanation) addOutcome() {
	timeline := x.Timeline
	last := len(timeline.Events) - 1
	switch outcome.Kind(timeline.Outcome) {
	case outcome.Finished:
		x.addSentence([]int{last}, "The request of workspace %s to %s finished with %d tokens.", timeline.Workspace, timeline.Service, timeline.Tokens)
	case outcome.NotRun:
		x.addSentence([]int{last}, "The request of workspace %s to %s was refused and did not run.", timeline.Workspace, timeline.Service)
	case outcome.Unknown:
		x.addSentence([]int{last}, "The request of workspace %s to %s may have run; its answer was lost.", timeline.Workspace, timeline.Service)
	case outcome.Interrupted:
		x.addSentence([]int{last}, "The answer for workspace %s from %s ended after %d tokens; those were delivered in order.", timeline.Workspace, timeline.Service, timeline.Tokens)
	default:
		x.addSentence(nil, "The request of workspace %s to %s has not ended as far as is known.", timeline.Workspace, timeline.Service)
	}
}

// addCause determines the cause of the outcome or, for a finished request, of its
// longest wait, which ended with the event at longestEnd.
func (x *Explanation) addCause(longest time.Duration, longestEnd int) {
	timeline := x.Timeline
	x.Cause = outcome.Cause(timeline.Cause)
	stalled := slices.ContainsFunc(timeline.Events, func(event wire.Event) bool { return event.Kind == EventStalled })
	if x.Cause == outcome.None && (longest >= StallAfter || stalled) {
		x.Cause, x.Engine = waitCause(timeline, longestEnd)
	}
	if x.Cause == outcome.None {
		return
	}
	for i, event := range timeline.Events {
		if outcome.Cause(event.Cause) != x.Cause {
			continue
		}
		if event.Engine != "" {
			x.Engine = event.Engine
		}
		detail := event.Detail
		if detail != "" {
			detail = " (" + strings.TrimSuffix(detail, ".") + ")"
		}
		x.addSentence([]int{i}, "%s%s%s", strings.TrimSuffix(x.Cause.Description(), "."), engineSuffix(event.Engine), detail+".")
		return
	}
	x.addSentence(nil, "%s", x.Cause.Description())
}

func engineSuffix(name string) string {
	if name == "" {
		return ""
	}
	return ", on " + name
}

// longestWait returns the longest time between two consecutive events up to the
// first token, and the index of the event that ended it.
func longestWait(timeline wire.Timeline) (time.Duration, int) {
	var longest time.Duration
	end := 0
	for i := 1; i < len(timeline.Events); i++ {
		if timeline.Events[i-1].Kind == EventFirstToken {
			break
		}
		d := time.Duration(timeline.Events[i].UnixMs-timeline.Events[i-1].UnixMs) * time.Millisecond
		if d > longest {
			longest, end = d, i
		}
	}
	return longest, end
}

// waitCause returns the cause of a wait that ended with the event at end, and the
// engine. A stall or a lost connection takes precedence; otherwise it is the last
// cause in the events up to end, or queueing.
func waitCause(timeline wire.Timeline, end int) (outcome.Cause, string) {
	for i, event := range timeline.Events {
		if event.Kind == EventStalled || event.Kind == EventLinkLost {
			return outcome.Cause(event.Cause), timeline.Events[i].Engine
		}
	}
	for i := min(end, len(timeline.Events)-1); i >= 0; i-- {
		if event := timeline.Events[i]; event.Cause != "" {
			return outcome.Cause(event.Cause), event.Engine
		}
	}
	for _, event := range timeline.Events {
		if event.Kind == "queued" {
			return outcome.QueuedBehind, ""
		}
	}
	return outcome.None, ""
}

func (x *Explanation) addEvents() {
	for i, event := range x.Timeline.Events {
		switch event.Kind {
		case "queued":
			x.addSentence([]int{i}, "It waited in the queue of %s with %d requests ahead, %s.", event.Vm, event.Value, event.Detail)
		case "reserved", "placed":
			x.addSentence([]int{i}, "%s sent it to %s after %d ms: %s.", event.Vm, event.Engine, event.Value, event.Detail)
		case EventFirstToken:
			x.addSentence([]int{i}, "The first token came %d ms after the request.", event.Value)
		case EventStalled:
			x.addSentence([]int{i}, "%s gave no token for %d ms.", event.Engine, event.Value)
		case EventLinkLost:
			x.addSentence([]int{i}, "The stream from %s broke after %d tokens.", event.Engine, event.Value)
		case EventResumed:
			x.addSentence([]int{i}, "%s went on with the same answer at token %d from %s.", event.Vm, event.Value, event.Engine)
		case EventRestarted:
			x.addSentence([]int{i}, "As nothing had been delivered, %s started the work again elsewhere.", event.Vm)
		}
	}
}

// Text formats the explanation as a paragraph followed by the evidence.
func (x Explanation) Text() string {
	var b strings.Builder
	parts := make([]string, 0, len(x.Sentences))
	for _, s := range x.Sentences {
		parts = append(parts, s.Text+formatRefs(s.Events))
	}
	fmt.Fprintf(&b, "%s\n", strings.Join(parts, " "))
	if !x.Certain || len(x.Missing) > 0 {
		fmt.Fprintf(&b, "\nNot certain. Missing evidence: %s.\n", strings.Join(x.Missing, "; "))
	}
	fmt.Fprintf(&b, "\nEvidence (configuration revision %d, cause %q, backend %q):\n", x.Timeline.Revision, x.Cause, x.Engine)
	for i, event := range x.Timeline.Events {
		at := time.UnixMilli(int64(event.UnixMs)).UTC().Format("15:04:05.000")
		fmt.Fprintf(&b, "  [%d] %s %s %s", i, at, event.Vm, event.Kind)
		for _, field := range []struct{ k, v string }{{"backend", event.Engine}, {"cause", event.Cause}, {"detail", event.Detail}} {
			if field.v != "" {
				fmt.Fprintf(&b, " %s=%q", field.k, field.v)
			}
		}
		if event.Value != 0 {
			fmt.Fprintf(&b, " value=%d", event.Value)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func formatRefs(events []int) string {
	if len(events) == 0 {
		return ""
	}
	return strings.ReplaceAll(fmt.Sprint(events), " ", ",")
}
