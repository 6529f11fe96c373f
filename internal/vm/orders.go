package vm

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/lease"
	"github.com/pimentohinge/pimentohinge/internal/control/orders"
	"github.com/pimentohinge/pimentohinge/internal/control/rendezvous"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	keyLeases     = "leases/"
	leaseDuration = 9 * time.Second
	clockMargin   = 2 * time.Second
	orderPause    = 500 * time.Millisecond
	loadsAtOnce   = 2
)

// giveOrders holds the role of the data centre's order giver while this VM is
// the one that should, and gives the orders that are due.
func (v *VM) giveOrders() {
	role := "orders/" + v.self.DataCentre
	l := lease.New(lease.Options{
		Role: role, VM: v.self.Name, Incarnation: v.incarnation,
		Duration: leaseDuration, TakeoverDelay: orders.Lifetime + clockMargin, Margin: clockMargin,
	})
	p := orders.New(loadsAtOnce)
	held := false
	for pause.For(v.ctx, orderPause) {
		v.keepLease(l, role)
		now := time.Now()
		if l.Held(now) != held {
			held = !held
			p.Reset()
			v.log.Info().Str("event", "role").Str("role", role).Bool("held", held).Msg("")
		}
		if held {
			v.orderEngines(l, p)
		}
	}
}

// keepLease makes the request to the platform that is due, if any.
func (v *VM) keepLease(l *lease.Lease, role string) {
	candidate := !v.stopping.Load() && rendezvous.Holder(role, v.aliveHere()) == v.self.Name
	r, due := l.Next(time.Now(), candidate)
	if !due {
		return
	}
	key := keyLeases + strings.ReplaceAll(role, "/", "-")
	if r.Kind == lease.Write {
		value, err := json.Marshal(r.Lease)
		if err != nil {
			panic("vm: lease does not marshal: " + err.Error())
		}
		version, st := v.platform.Put(v.ctx, key, value, r.Condition)
		l.WriteDone(time.Now(), r, version, st)
		return
	}
	o, st := v.platform.Get(v.ctx, key)
	var found wire.Lease
	switch {
	case st == platform.NotFound:
		l.ReadDone(time.Now(), wire.Lease{}, 0)
	case st == platform.OK && json.Unmarshal(o.Value, &found) == nil:
		l.ReadDone(time.Now(), found, o.Version)
	}
}

// aliveHere returns the usable VMs of this data centre.
func (v *VM) aliveHere() []string {
	var names []string
	for _, m := range v.view.Load().Members {
		if m.Vm.DataCentre == v.self.DataCentre && usable(m) {
			names = append(names, m.Vm.Name)
		}
	}
	return names
}

// orderEngines gives the orders that are due. Each one is sent only while the
// lease outlives it, which is looked at right before.
func (v *VM) orderEngines(l *lease.Lease, p *orders.Planner) {
	var engines []control.BackendView
	for _, b := range v.view.Load().Backends {
		if b.DataCentre == v.self.DataCentre && b.Kind == "engine" {
			engines = append(engines, b)
		}
	}
	due, drain := p.Plan(time.Now(), v.State(), engines)
	v.tell(control.Drain{Backends: drain})
	for _, o := range due {
		now := time.Now()
		deadline := now.Add(orders.Lifetime)
		fencing, ok := l.FencingToken(now, deadline)
		if !ok {
			return
		}
		accepted, status := v.engines.Send(v.ctx, o.Engine.Address, wire.Order{
			Fencing: int(fencing), DeadlineUnixMs: int(deadline.UnixMilli()), Models: o.Models,
		})
		v.log.Info().Str("event", "order").Str("engine", o.Engine.Name).Strs("models", o.Models).
			Int64("fencing", fencing).Bool("accepted", accepted).Int("status", status).
			Bool("checksFencing", o.Engine.ChecksFencing).Str("why", o.Why).Msg("")
		if accepted {
			p.RecordAccepted(time.Now(), o)
		}
	}
}
