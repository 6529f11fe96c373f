package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/incident"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	findTimeout   = time.Second
	writeInterval = 5 * time.Second
	// maxPerObject bounds the timelines in one incident object.
	maxPerObject = 100
	// incidentRetention is how long incident objects are kept.
	incidentRetention = 2 * time.Hour
	flushTimeout      = 2 * time.Second
)

type writtenIncident struct {
	key     string
	expires time.Time
}

// Explain finds the timeline of a request: here, at the VM that the request id
// names, at any other VM, or in the platform's incidents.
func (v *VM) Explain(ctx context.Context, request string) (incident.Explanation, bool) {
	if t, ok := v.incidents.Find(request); ok {
		return incident.Explain(t), true
	}
	var missing []string
	owner := v.ownerOf(request)
	for _, m := range v.view.Load().Members {
		if m.Vm.Name == v.self.Name || (owner != "" && m.Vm.Name != owner) {
			continue
		}
		if t, ok := v.askTimeline(ctx, m.Vm, request); ok {
			return incident.Explain(t), true
		}
		missing = append(missing, "the timeline of "+m.Vm.Name+", which did not have it or did not answer")
	}
	t, ok, st := v.findIncident(ctx, owner, request)
	if st != platform.OK {
		missing = append(missing, "the platform's incidents: "+st.String())
	}
	x := incident.Explanation{Request: request, Missing: missing}
	if ok {
		x = incident.Explain(t)
		x.Missing = append(x.Missing, missing...)
	}
	return x, ok
}

// ownerOf returns the known VM that a request id names, or an empty string.
func (v *VM) ownerOf(request string) string {
	best := ""
	for _, m := range v.view.Load().Members {
		if strings.HasPrefix(request, "req-"+m.Vm.Name+"-") && len(m.Vm.Name) > len(best) {
			best = m.Vm.Name
		}
	}
	return best
}

func (v *VM) askTimeline(ctx context.Context, to wire.VM, request string) (wire.Timeline, bool) {
	id := fmt.Sprintf("%s/%d", request, time.Now().UnixNano())
	ch := make(chan wire.TimelineAnswer, 1)
	v.mu.Lock()
	v.finds[id] = ch
	v.mu.Unlock()
	v.links.Send(to, wire.Frame{TimelineAsk: &wire.TimelineAsk{Id: id, Request: request}})
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	select {
	case a := <-ch:
		if len(a.Found) == 1 {
			return a.Found[0], true
		}
	case <-ctx.Done():
	}
	v.mu.Lock()
	delete(v.finds, id)
	v.mu.Unlock()
	return wire.Timeline{}, false
}

func (v *VM) answerTimeline(from wire.VM, ask wire.TimelineAsk) {
	a := wire.TimelineAnswer{Id: ask.Id}
	if t, ok := v.incidents.Find(ask.Request); ok {
		a.Found = []wire.Timeline{t}
	}
	v.links.Send(from, wire.Frame{TimelineAnswer: &a})
}

func (v *VM) findIncident(ctx context.Context, owner, request string) (wire.Timeline, bool, platform.Status) {
	prefix := keyIncidents
	if owner != "" {
		prefix += owner + "/"
	}
	l, st := v.platform.List(ctx, prefix)
	for _, o := range l.Objects {
		var batch wire.Incidents
		if json.Unmarshal(o.Value, &batch) != nil {
			continue
		}
		for _, t := range batch.Timelines {
			if t.Request == request {
				return t, true, st
			}
		}
	}
	return wire.Timeline{}, false, st
}

// Incidents returns explanations of notable requests of this VM, newest first.
func (v *VM) Incidents(workspace string, since time.Time, most int) []incident.Explanation {
	var out []incident.Explanation
	for _, t := range v.incidents.Select(func(t wire.Timeline) bool {
		started := time.UnixMilli(int64(t.Events[0].UnixMs))
		return (workspace == "" || t.Workspace == workspace) && !started.Before(since) &&
			(t.Cause != "" || t.StallMs > 0)
	}) {
		if len(out) == most {
			break
		}
		out = append(out, incident.Explain(t))
	}
	return out
}

// writeIncidents keeps what must outlive this VM in the platform.
func (v *VM) writeIncidents() {
	for pause.For(v.ctx, writeInterval) {
		v.writeFresh(v.ctx)
		v.dropExpired()
	}
}

func (v *VM) writeFresh(ctx context.Context) {
	fresh := v.incidents.TakeUnwritten(maxPerObject)
	if len(fresh) == 0 {
		return
	}
	value, err := json.Marshal(wire.Incidents{Vm: v.self.Name, Timelines: fresh})
	if err != nil {
		panic("vm: incidents do not marshal: " + err.Error())
	}
	now := time.Now()
	key := fmt.Sprintf("%s%s/%d", keyIncidents, v.self.Name, now.UnixMilli())
	_, st := v.platform.Put(ctx, key, value, platform.Condition{Absent: true})
	if st != platform.OK && st != platform.Conflict {
		v.log.Warn().Str("event", "incidentsNotWritten").Int("timelines", len(fresh)).Str("status", st.String()).Msg("")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.written = append(v.written, writtenIncident{key: key, expires: now.Add(incidentRetention)})
}

func (v *VM) dropExpired() {
	for {
		v.mu.Lock()
		if len(v.written) == 0 || time.Now().Before(v.written[0].expires) {
			v.mu.Unlock()
			return
		}
		key := v.written[0].key
		v.written = v.written[1:]
		v.mu.Unlock()
		v.platform.Delete(v.ctx, key, platform.Condition{})
	}
}

// flushIncidents writes what is left when the VM stops.
func (v *VM) flushIncidents() {
	ctx, cancel := context.WithTimeout(v.ctx, flushTimeout)
	defer cancel()
	v.writeFresh(ctx)
}

// View returns the newest picture of the core.
func (v *VM) View() *control.View { return v.view.Load() }
