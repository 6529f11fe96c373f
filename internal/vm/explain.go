package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	timelineTimeout       = time.Second
	incidentWriteInterval = 5 * time.Second
	// maxTimelinesPerObject limits the timelines in one incident object.
	maxTimelinesPerObject = 100
	// incidentRetention is how long incident objects stay in the platform.
	incidentRetention = 2 * time.Hour
	flushTimeout      = 2 * time.Second
)

// incidentObject is an object that this VM wrote and must delete when it expires.
type incidentObject struct {
	key     string
	expires time.Time
}

// Explain finds the timeline of a request and explains it. It searches this VM,
// then the VM that the request id names, or all other VMs if it names no known
// one, and last the incidents stored in the platform.
func (v *VM) Explain(ctx context.Context, request string) (incident.Explanation, bool) {
	if t, ok := v.incidents.Find(request); ok {
		return incident.Explain(t), true
	}
	var missing []string
	owner := v.vmOfRequest(request)
	for _, m := range v.view.Load().Members {
		if m.Vm.Name == v.self.Name || (owner != "" && m.Vm.Name != owner) {
			continue
		}
		if t, ok := v.requestTimeline(ctx, m.Vm, request); ok {
			return incident.Explain(t), true
		}
		missing = append(missing, "the timeline of "+m.Vm.Name+", which did not have it or did not answer")
	}
	t, ok, status := v.findStoredTimeline(ctx, owner, request)
	if status != platform.OK {
		missing = append(missing, "the platform's incidents: "+status.String())
	}
	explanation := incident.Explanation{Request: request, Missing: missing}
	if ok {
		explanation = incident.Explain(t)
		explanation.Missing = append(explanation.Missing, missing...)
	}
	return explanation, ok
}

// vmOfRequest returns the known VM whose name is part of the request id, or an
// empty string. The longest name wins, as one name may be a prefix of another.
func (v *VM) vmOfRequest(request string) string {
	best := ""
	for _, m := range v.view.Load().Members {
		if strings.HasPrefix(request, "req-"+m.Vm.Name+"-") && len(m.Vm.Name) > len(best) {
			best = m.Vm.Name
		}
	}
	return best
}

// requestTimeline requests a timeline from another VM and waits for the answer.
func (v *VM) requestTimeline(ctx context.Context, to wire.VM, request string) (wire.Timeline, bool) {
	id := fmt.Sprintf("%s/%d", request, time.Now().UnixNano())
	ch := make(chan wire.TimelineAnswer, 1)
	v.mu.Lock()
	v.pendingTimelines[id] = ch
	v.mu.Unlock()
	v.links.Send(to, wire.Frame{TimelineAsk: &wire.TimelineAsk{Id: id, Request: request}})
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	select {
	case answer := <-ch:
		if len(answer.Found) == 1 {
			return answer.Found[0], true
		}
	case <-ctx.Done():
	}
	v.mu.Lock()
	delete(v.pendingTimelines, id)
	v.mu.Unlock()
	return wire.Timeline{}, false
}

func (v *VM) handleTimelineAsk(from wire.VM, ask wire.TimelineAsk) {
	answer := wire.TimelineAnswer{Id: ask.Id}
	if t, ok := v.incidents.Find(ask.Request); ok {
		answer.Found = []wire.Timeline{t}
	}
	v.links.Send(from, wire.Frame{TimelineAnswer: &answer})
}

// findStoredTimeline searches the incidents stored in the platform, only those of
// the owner if one is given.
func (v *VM) findStoredTimeline(ctx context.Context, owner, request string) (wire.Timeline, bool, platform.Status) {
	prefix := incidentKeyPrefix
	if owner != "" {
		prefix += owner + "/"
	}
	listing, status := v.platform.List(ctx, prefix)
	for _, object := range listing.Objects {
		var batch wire.Incidents
		if json.Unmarshal(object.Value, &batch) != nil {
			continue
		}
		for _, t := range batch.Timelines {
			if t.Request == request {
				return t, true, status
			}
		}
	}
	return wire.Timeline{}, false, status
}

// Incidents explains up to limit requests of this VM that failed or stalled,
// newest first. An empty workspace selects all of them.
func (v *VM) Incidents(workspace string, since time.Time, limit int) []incident.Explanation {
	var out []incident.Explanation
	for _, t := range v.incidents.Select(func(t wire.Timeline) bool {
		started := time.UnixMilli(int64(t.Events[0].UnixMs))
		return (workspace == "" || t.Workspace == workspace) && !started.Before(since) &&
			(t.Cause != "" || t.StallMs > 0)
	}) {
		if len(out) == limit {
			break
		}
		out = append(out, incident.Explain(t))
	}
	return out
}

// writeIncidents periodically stores notable timelines in the platform, where they
// remain available after this VM has stopped or crashed.
func (v *VM) writeIncidents() {
	for sleep.For(v.ctx, incidentWriteInterval) {
		v.writeNewIncidents(v.ctx)
		v.deleteExpiredIncidents()
	}
}

// writeNewIncidents stores timelines that have not been written yet in one object.
func (v *VM) writeNewIncidents(ctx context.Context) {
	timelines := v.incidents.TakeUnwritten(maxTimelinesPerObject)
	if len(timelines) == 0 {
		return
	}
	value, err := json.Marshal(wire.Incidents{Vm: v.self.Name, Timelines: timelines})
	if err != nil {
		panic("vm: incidents do not marshal: " + err.Error())
	}
	now := time.Now()
	key := fmt.Sprintf("%s%s/%d", incidentKeyPrefix, v.self.Name, now.UnixMilli())
	_, status := v.platform.Put(ctx, key, value, platform.Condition{Absent: true})
	if status != platform.OK && status != platform.Conflict {
		v.log.Warn().Str("event", "incidentsNotWritten").Int("timelines", len(timelines)).Str("status", status.String()).Msg("")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.incidentObjects = append(v.incidentObjects, incidentObject{key: key, expires: now.Add(incidentRetention)})
}

func (v *VM) deleteExpiredIncidents() {
	for {
		v.mu.Lock()
		if len(v.incidentObjects) == 0 || time.Now().Before(v.incidentObjects[0].expires) {
			v.mu.Unlock()
			return
		}
		key := v.incidentObjects[0].key
		v.incidentObjects = v.incidentObjects[1:]
		v.mu.Unlock()
		v.platform.Delete(v.ctx, key, platform.Condition{})
	}
}

// flushIncidents writes the remaining timelines when the VM stops.
func (v *VM) flushIncidents() {
	ctx, cancel := context.WithTimeout(v.ctx, flushTimeout)
	defer cancel()
	v.writeNewIncidents(ctx)
}

// View returns the latest snapshot of the core's state.
func (v *VM) View() *control.View { return v.view.Load() }
