// Package incident records the timelines of requests to the serve command in limited
// memory. From a timeline it explains why a request was late, stalled, was refused or
// interrupted, or ended with an unknown outcome.
package incident

import (
	"slices"
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// maxEvents limits the events of one timeline; the first half and the latest
	// events are kept.
	maxEvents = 32
	// StallAfter is the time without progress after which a request counts as
	// stalled.
	StallAfter = time.Second
)

// Kinds of events that are recorded on the request path. Package control records
// further kinds.
const (
	EventReceived   = "received"
	EventFirstToken = "firstToken"
	EventStalled    = "stalled"
	EventLinkLost   = "linkLost"
	EventResumed    = "resumed"
	EventRestarted  = "restarted"
	EventClaimed    = "claimed"
	EventClaimDelay = "claimDelay"
	EventEnded      = "ended"
)

// Timeline collects the events of one request. It is safe for concurrent use.
type Timeline struct {
	mu   sync.Mutex
	data wire.Timeline
	vm   string
}

// Add appends an event. If the timeline is full, it drops the event in the middle
// and counts it as dropped.
func (t *Timeline) Add(e wire.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.UnixMs == 0 {
		e.UnixMs = int(time.Now().UnixMilli())
	}
	if e.Vm == "" {
		e.Vm = t.vm
	}
	if len(t.data.Events) == maxEvents {
		copy(t.data.Events[maxEvents/2:], t.data.Events[maxEvents/2+1:])
		t.data.Events = t.data.Events[:maxEvents-1]
		t.data.Dropped++
	}
	t.data.Events = append(t.data.Events, e)
}

// AddStall adds to the time in which the request made no progress.
func (t *Timeline) AddStall(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data.StallMs += int(d.Milliseconds())
}

// SetRevision records the configuration revision that applies to the request.
func (t *Timeline) SetRevision(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data.Revision = n
}

// Snapshot returns a copy of the timeline.
func (t *Timeline) Snapshot() wire.Timeline {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.data
	c.Events = append([]wire.Event(nil), t.data.Events...)
	return c
}

// Recorder holds the most recent timelines of one VM. It is safe for concurrent
// use.
type Recorder struct {
	vm           string
	maxTimelines int

	mu        sync.Mutex
	byID      map[string]*Timeline
	order     []string // oldest first
	unwritten []string // ids of notable ended requests not yet written to the platform
}

// maxUnwritten limits the timelines that wait to be written to the platform.
const maxUnwritten = 500

// New returns a recorder that holds at most maxTimelines timelines.
func New(vm string, maxTimelines int) *Recorder {
	return &Recorder{vm: vm, maxTimelines: maxTimelines, byID: map[string]*Timeline{}}
}

// Start starts the timeline of a request, or returns the existing one of the same
// id. When the recorder is full, the oldest timeline is dropped.
func (r *Recorder) Start(id, workspace, service string) *Timeline {
	timeline := &Timeline{vm: r.vm, data: wire.Timeline{Request: id, Workspace: workspace, Service: service}}
	timeline.Add(wire.Event{Kind: EventReceived})
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing := r.byID[id]; existing != nil {
		return existing
	}
	if len(r.order) == r.maxTimelines {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
	r.byID[id] = timeline
	r.order = append(r.order, id)
	return timeline
}

// Drop removes the timeline of a request that turned out to resume an earlier
// request.
func (r *Recorder) Drop(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
	r.order = slices.DeleteFunc(r.order, func(other string) bool { return other == id })
}

// Finish records the outcome of a request. The timeline counts as notable if the
// request did not finish or stalled.
func (r *Recorder) Finish(timeline *Timeline, o outcome.Result) {
	timeline.Add(wire.Event{Kind: EventEnded, Cause: string(o.Cause), Detail: o.Detail, Value: o.Tokens})
	timeline.mu.Lock()
	timeline.data.Outcome = string(o.Kind)
	timeline.data.Cause = string(o.Cause)
	timeline.data.Tokens = o.Tokens
	notable := o.Kind != outcome.Finished || timeline.data.StallMs > 0
	id := timeline.data.Request
	timeline.mu.Unlock()
	if !notable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unwritten) == maxUnwritten {
		r.unwritten = r.unwritten[1:]
	}
	r.unwritten = append(r.unwritten, id)
}

// Find returns the timeline of a request.
func (r *Recorder) Find(id string) (wire.Timeline, bool) {
	r.mu.Lock()
	timeline := r.byID[id]
	r.mu.Unlock()
	if timeline == nil {
		return wire.Timeline{}, false
	}
	return timeline.Snapshot(), true
}

// Select returns the timelines for which keep returns true, newest first.
func (r *Recorder) Select(keep func(wire.Timeline) bool) []wire.Timeline {
	r.mu.Lock()
	list := make([]*Timeline, 0, len(r.order))
	for i := len(r.order) - 1; i >= 0; i-- {
		list = append(list, r.byID[r.order[i]])
	}
	r.mu.Unlock()
	var out []wire.Timeline
	for _, recorded := range list {
		if timeline := recorded.Snapshot(); keep(timeline) {
			out = append(out, timeline)
		}
	}
	return out
}

// TakeUnwritten removes and returns up to n notable timelines that have not been
// written to the platform yet.
func (r *Recorder) TakeUnwritten(n int) []wire.Timeline {
	r.mu.Lock()
	ids := r.unwritten[:min(n, len(r.unwritten))]
	r.unwritten = append([]string(nil), r.unwritten[len(ids):]...)
	r.mu.Unlock()
	var out []wire.Timeline
	for _, id := range ids {
		if timeline, ok := r.Find(id); ok {
			out = append(out, timeline)
		}
	}
	return out
}
