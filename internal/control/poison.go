package control

import (
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/poison"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// soundTokens is the number of output tokens that show that a prompt crashes no engine.
	soundTokens = 16
	// instanceSpan is the time in which an engine that is lost repeatedly counts as one
	// instance. Engines do not say when they started, and take longer than this to start.
	instanceSpan = 10 * time.Second
	// minEvidenceInterval is the minimum interval between two messages with evidence.
	minEvidenceInterval = 100 * time.Millisecond
	// evidenceRefreshInterval is the interval at which all evidence is sent to one other VM,
	// chosen at random.
	evidenceRefreshInterval = 3 * time.Second
)

// poisonState is the evidence of this VM about prompts that crash engines, and what other
// VMs have been sent of it.
type poisonState struct {
	tracker             *poison.Tracker
	sentChanges         int
	sentAt, refreshedAt time.Time
	// reported holds the number of crashes of the quarantined segments that were logged.
	reported map[string]int
}

func newPoisonState(vm string) poisonState {
	return poisonState{tracker: poison.New(vm), reported: map[string]int{}}
}

// checkQuarantine returns the refusal of a request whose prompt holds a quarantined
// segment.
func (c *Core) checkQuarantine(r *request) outcome.Result {
	if !r.Retry {
		c.poison.tracker.RequestArrived(c.now, r.Segments)
	}
	q, quarantined := c.poison.tracker.Check(c.now, r.Segments)
	if !quarantined {
		return outcome.Result{}
	}
	o := outcome.Refuse(outcome.PromptQuarantined, fmt.Sprintf("%d engines crashed on segment %s", len(q.Crashes), q.Segment))
	o.RetryAt = q.Until
	return o
}

// recordSoundness records what the end of an attempt shows about its prompt.
func (c *Core) recordSoundness(r *request, msg AttemptEnded) {
	switch {
	case msg.Outcome.Kind == outcome.Finished, msg.Tokens >= soundTokens:
		c.poison.tracker.RequestSound(c.now, r.Segments)
	case msg.Outcome.Cause == outcome.EngineLost && msg.Outcome.Kind == outcome.Interrupted && !r.backend.leaving:
		r.backend.lostAs = fmt.Sprintf("%s@%d", r.backend.Name, c.now.Unix()/int64(instanceSpan.Seconds()))
		c.poison.tracker.RequestLost(c.now, r.backend.lostAs, r.Segments)
	}
}

// backendEnded confirms that an engine has ended under the requests that were lost there.
func (c *Core) backendEnded(name string) {
	if b := c.backends[name]; b != nil && b.lostAs != "" {
		c.poison.tracker.ServerEnded(c.now, b.lostAs)
	}
}

// mergeEvidence adds the evidence of another VM, and passes it on within this data centre
// if it comes from another one.
func (c *Core) mergeEvidence(from wire.VM, frame wire.Frame) {
	p := &c.poison
	before, allSent := p.tracker.Changes(), p.sentChanges == p.tracker.Changes()
	merged := p.tracker.Merge(c.now, poison.FromWire(c.now, *frame.Crashes))
	if allSent {
		p.sentChanges = merged
	}
	if merged == before || from.DataCentre == c.opts.Self.DataCentre {
		return
	}
	for _, vm := range c.otherVMs() {
		c.sendTo(vm, wire.Frame{Crashes: frame.Crashes})
	}
}

// publishEvidence sends what has changed in the evidence to the VMs of this data centre and
// to one of each other, and from time to time all of it to one VM.
func (c *Core) publishEvidence() {
	p := &c.poison
	if p.tracker.Changes() == 0 {
		return
	}
	if p.tracker.Changes() != p.sentChanges && c.now.Sub(p.sentAt) >= minEvidenceInterval {
		evidence := p.tracker.Evidence(c.now, p.sentChanges)
		p.sentChanges, p.sentAt = p.tracker.Changes(), c.now
		c.sendEvidence(evidence, append(c.otherVMs(), c.contacts()...))
		c.logQuarantines()
	}
	if c.now.Sub(p.refreshedAt) >= evidenceRefreshInterval {
		p.refreshedAt = c.now
		if others := append(c.otherVMs(), c.contacts()...); len(others) > 0 {
			c.sendEvidence(p.tracker.Evidence(c.now, 0), []string{others[c.rand.IntN(len(others))]})
		}
		c.logQuarantines()
	}
}

func (c *Core) sendEvidence(evidence poison.Evidence, to []string) {
	if len(evidence.Crashes)+len(evidence.Sound) == 0 {
		return
	}
	frame := wire.Frame{Crashes: poison.ToWire(c.now, evidence)}
	for _, vm := range to {
		c.sendTo(vm, frame)
	}
}

// contacts returns one usable VM of each other data centre, chosen at random.
func (c *Core) contacts() []string {
	var names []string
	for _, dc := range c.members.DataCentres() {
		if usable := c.members.UsableIn(dc); dc != c.opts.Self.DataCentre && len(usable) > 0 {
			names = append(names, usable[c.rand.IntN(len(usable))])
		}
	}
	return names
}

// logQuarantines logs the segments that are quarantined since the last call or have
// crashed more engines.
func (c *Core) logQuarantines() {
	reported := map[string]int{}
	for _, q := range c.poison.tracker.Quarantines(c.now) {
		if c.poison.reported[q.Segment] != len(q.Crashes) {
			c.logDecision("quarantine", "segment", q.Segment, "crashes", len(q.Crashes), "until", q.Until)
		}
		reported[q.Segment] = len(q.Crashes)
	}
	for _, segment := range sortedKeys(c.poison.reported) {
		if _, ok := reported[segment]; !ok {
			c.logDecision("quarantineEnded", "segment", segment)
		}
	}
	c.poison.reported = reported
}
