package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/poison"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// Load pattern of this file: see package poison.

const (
	// minEvidenceInterval is the minimum interval between two messages with evidence.
	minEvidenceInterval = 100 * time.Millisecond
	// evidenceRefreshInterval is the interval at which all evidence is sent again, for VMs
	// that have started or missed a message.
	evidenceRefreshInterval = 3 * time.Second
	// probeRetryDelay is the advised retry delay while a released segment is probed.
	probeRetryDelay = 10 * time.Second
)

// poisonState is the evidence of this VM and what other VMs have been sent of it.
type poisonState struct {
	tracker *poison.Tracker
	// sentChanges is the number of changes of the evidence that were sent, sentAt when the
	// last of them were, and refreshedAt when all evidence was.
	sentChanges         int
	sentAt, refreshedAt time.Time
	// reportedChanges is the number of changes at the last Quarantined.
	reportedChanges int
}

func newPoisonState(vm string) poisonState { return poisonState{tracker: poison.New(vm)} }

// checkQuarantine counts the prompt of a request that arrives and returns its refusal if the
// prompt holds a quarantined segment.
func (c *Core) checkQuarantine(now time.Time, msg PlaceRequest) (Refused, bool) {
	if !msg.Retry {
		c.poison.tracker.RequestArrived(now, msg.Segments)
	}
	return c.quarantineRefusal(now, msg)
}

// quarantineRefusal returns the refusal of a request whose prompt holds a quarantined segment.
func (c *Core) quarantineRefusal(now time.Time, msg PlaceRequest) (Refused, bool) {
	q, quarantined := c.poison.tracker.Check(now, msg.Segments)
	if !quarantined {
		return Refused{}, false
	}
	retryAt := q.Until
	if earliest := now.Add(probeRetryDelay); retryAt.Before(earliest) {
		retryAt = earliest
	}
	return Refused{
		ID: msg.ID, Cause: outcome.PromptQuarantined, RetryAt: retryAt,
		Detail: fmt.Sprintf("%d engines crashed on segment %s", len(q.Crashes), q.Segment),
	}, true
}

// recordSoundness records what the end of a request shows about its prompt.
func (c *Core) recordSoundness(now time.Time, req *request, msg RequestEnded) {
	switch {
	case msg.Completed:
		c.requestSound(now, req)
	case msg.ClosedByServer && !req.sound && !req.assigned.Leaving && len(req.Segments) > 0:
		c.poison.tracker.RequestLost(now, req.assigned.Instance().String(), req.Segments)
	}
}

// requestSound records that the output of a request has shown that its prompt crashes no
// server.
func (c *Core) requestSound(now time.Time, req *request) {
	if !req.sound {
		req.sound = true
		c.poison.tracker.RequestSound(now, req.Segments)
	}
}

func (c *Core) serverChecked(now time.Time, msg ServerChecked) {
	instance := msg.Server.Instance().String()
	if msg.Running {
		c.poison.tracker.ServerRuns(instance)
		return
	}
	c.poison.tracker.ServerEnded(now, instance)
}

// mergeEvidence adds evidence of another VM. Unless this VM passes it on, the changes count
// as sent.
func (c *Core) mergeEvidence(now time.Time, msg PeerEvidence) {
	p := &c.poison
	allSent := p.sentChanges == p.tracker.Changes()
	merged := p.tracker.Merge(now, msg.Evidence)
	if allSent && !msg.PassOn {
		p.sentChanges = merged
	}
}

// publishEvidence emits what has changed in the evidence, and from time to time all of it.
func (c *Core) publishEvidence(now time.Time) {
	at, ok := c.nextEvidence()
	if !ok || now.Before(at) {
		return
	}
	p := &c.poison
	after := p.sentChanges
	if now.Sub(p.refreshedAt) >= evidenceRefreshInterval {
		after, p.refreshedAt = 0, now
	}
	evidence := p.tracker.Evidence(now, after)
	p.sentChanges, p.sentAt = p.tracker.Changes(), now
	if len(evidence.Crashes)+len(evidence.Sound) > 0 {
		c.emit(PublishEvidence{Evidence: evidence})
	}
}

// nextEvidence returns when evidence must be sent next; false when there is none.
func (c *Core) nextEvidence() (time.Time, bool) {
	p := &c.poison
	if p.tracker.Changes() == 0 {
		return time.Time{}, false
	}
	at := p.refreshedAt.Add(evidenceRefreshInterval)
	if p.tracker.Changes() != p.sentChanges {
		if due := p.sentAt.Add(minEvidenceInterval); due.Before(at) {
			at = due
		}
	}
	return at, true
}

// reportQuarantines emits the quarantined segments after the evidence has changed, and
// cancels the open requests that hold one.
func (c *Core) reportQuarantines(now time.Time) {
	changes := c.poison.tracker.Changes()
	if changes == c.poison.reportedChanges {
		return
	}
	c.poison.reportedChanges = changes
	quarantines := c.poison.tracker.Quarantines(now)
	c.emit(Quarantined{Quarantines: quarantines})
	if len(quarantines) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if r := c.requests[id]; !r.sound && holdsAny(r.Segments, quarantines) {
			c.emit(CancelRequest{ID: id})
		}
	}
}

// holdsAny reports whether one of the segments is quarantined.
func holdsAny(segments []string, quarantines []poison.Quarantine) bool {
	return slices.ContainsFunc(quarantines, func(q poison.Quarantine) bool { return slices.Contains(segments, q.Segment) })
}
