package vm

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/lease"
	"github.com/pimentohinge/pimentohinge/internal/control/orders"
	"github.com/pimentohinge/pimentohinge/internal/control/rendezvous"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	leaseKeyPrefix = "leases/"
	leaseDuration  = 9 * time.Second
	// clockMargin allows for clock differences between VMs and engines.
	clockMargin   = 2 * time.Second
	orderInterval = 500 * time.Millisecond
	// maxConcurrentLoads limits how many engines of the data centre load a model at
	// the same time, and so the load on the store of the weights.
	maxConcurrentLoads = 2
)

// issueOrders sends the data centre's engines the orders to load models. One VM of
// a data centre does so at a time: the one that rendezvous hashing selects and that
// holds the lease of the role.
func (v *VM) issueOrders() {
	role := "orders/" + v.self.DataCentre
	roleLease := lease.New(lease.Options{
		Role: role, VM: v.self.Name, Incarnation: v.incarnation,
		Duration: leaseDuration, TakeoverDelay: orders.Lifetime + clockMargin, Margin: clockMargin,
	})
	planner := orders.New(maxConcurrentLoads)
	held := false
	for sleep.For(v.ctx, orderInterval) {
		v.updateLease(roleLease, role)
		now := time.Now()
		if roleLease.Held(now) != held {
			held = !held
			planner.Reset()
			v.log.Info().Str("event", "role").Str("role", role).Bool("held", held).Msg("")
		}
		if held {
			v.sendDueOrders(roleLease, planner)
		}
	}
}

// updateLease reads, acquires or renews the lease in the platform if that is due.
func (v *VM) updateLease(roleLease *lease.Lease, role string) {
	candidate := !v.stopping.Load() && rendezvous.Holder(role, v.usableLocalVMs()) == v.self.Name
	request, due := roleLease.Next(time.Now(), candidate)
	if !due {
		return
	}
	key := leaseKeyPrefix + strings.ReplaceAll(role, "/", "-")
	if request.Kind == lease.Write {
		value, err := json.Marshal(request.Lease)
		if err != nil {
			panic("vm: lease does not marshal: " + err.Error())
		}
		version, status := v.platform.Put(v.ctx, key, value, request.Condition)
		roleLease.WriteDone(time.Now(), request, version, status)
		return
	}
	object, status := v.platform.Get(v.ctx, key)
	var found wire.Lease
	switch {
	case status == platform.NotFound:
		roleLease.ReadDone(time.Now(), wire.Lease{}, 0)
	case status == platform.OK && json.Unmarshal(object.Value, &found) == nil:
		roleLease.ReadDone(time.Now(), found, object.Version)
	}
}

// usableLocalVMs returns the names of the usable VMs of this data centre.
func (v *VM) usableLocalVMs() []string {
	var names []string
	for _, m := range v.view.Load().Members {
		if m.Vm.DataCentre == v.self.DataCentre && usable(m) {
			names = append(names, m.Vm.Name)
		}
	}
	return names
}

// sendDueOrders sends the orders that are due. Immediately before each one it
// checks that the lease lasts longer than the order is valid.
func (v *VM) sendDueOrders(roleLease *lease.Lease, planner *orders.Planner) {
	var engines []control.BackendView
	for _, b := range v.view.Load().Backends {
		if b.DataCentre == v.self.DataCentre && b.Kind == "engine" {
			engines = append(engines, b)
		}
	}
	due, drain := planner.Plan(time.Now(), v.State(), engines)
	v.enqueue(control.Drain{Backends: drain})
	for _, order := range due {
		now := time.Now()
		deadline := now.Add(orders.Lifetime)
		fencing, ok := roleLease.FencingToken(now, deadline)
		if !ok {
			return
		}
		accepted, status := v.engines.SendOrder(v.ctx, order.Engine.Address, wire.Order{
			Fencing: int(fencing), DeadlineUnixMs: int(deadline.UnixMilli()), Models: order.Models,
		})
		v.log.Info().Str("event", "order").Str("engine", order.Engine.Name).Strs("models", order.Models).
			Int64("fencing", fencing).Bool("accepted", accepted).Int("status", status).
			Bool("checksFencing", order.Engine.ChecksFencing).Str("why", order.Why).Msg("")
		if accepted {
			planner.RecordAccepted(time.Now(), order)
		}
	}
}
