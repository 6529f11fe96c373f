package vm

import (
	"context"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/control/member"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// forwardTimeout limits how long a call forwarded to the issuer of its ticket may
// take.
const forwardTimeout = 35 * time.Second

// placeResult is the core's reply to a control.Place.
type placeResult struct {
	placed  control.Placed
	outcome outcome.Result
	events  []wire.Event
}

// Place implements caller.Broker.
func (v *VM) Place(ctx context.Context, place control.Place) (control.Placed, outcome.Result, []wire.Event) {
	ch := make(chan placeResult, 1)
	v.mu.Lock()
	v.pendingPlaces[place.ID] = ch
	v.mu.Unlock()
	v.enqueue(place)
	select {
	case result := <-ch:
		return result.placed, result.outcome, result.events
	case <-ctx.Done():
		v.mu.Lock()
		delete(v.pendingPlaces, place.ID)
		v.mu.Unlock()
		v.CancelPlace(place.ID)
		return control.Placed{}, outcome.Refuse(outcome.CallerGone, ""), nil
	case <-v.ctx.Done():
		return control.Placed{}, outcome.Refuse(outcome.VMStopping, ""), nil
	}
}

// completePlace passes a result to the pending Place call with the given id. It
// drops the result if the call no longer waits for it.
func (v *VM) completePlace(id string, result placeResult) {
	v.mu.Lock()
	ch := v.pendingPlaces[id]
	delete(v.pendingPlaces, id)
	v.mu.Unlock()
	if ch != nil {
		ch <- result
	}
}

// CancelPlace implements caller.Broker.
func (v *VM) CancelPlace(id string) { v.enqueue(control.Cancel{ID: id}) }

// AttemptEnded implements caller.Broker.
func (v *VM) AttemptEnded(e control.AttemptEnded) { v.enqueue(e) }

// ReportLeaving implements caller.Broker.
func (v *VM) ReportLeaving(backend string) { v.enqueue(control.BackendLeaving{Backend: backend}) }

// ReportEnded implements caller.Broker.
func (v *VM) ReportEnded(backend string) { v.enqueue(control.BackendEnded{Backend: backend}) }

// State implements caller.Broker.
func (v *VM) State() *configchain.State { return v.config.Load().State }

// Backend implements caller.Broker.
func (v *VM) Backend(name string) (wire.Backend, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.backends[name]
	return b, ok
}

// usablePeer returns the VM with the given name if it is usable.
func (v *VM) usablePeer(name string) (wire.VM, bool) {
	for _, m := range v.view.Load().Members {
		if m.Vm.Name == name && usable(m) {
			return m.Vm, true
		}
	}
	return wire.VM{}, false
}

// usable reports whether a member is in state alive or suspect. A suspect VM is
// used until its suspicion is confirmed.
func usable(m wire.Member) bool {
	return m.State == string(member.Alive) || m.State == string(member.Suspect)
}

// ReportTakeover implements caller.Broker.
func (v *VM) ReportTakeover(vm, request, generation string) {
	if to, ok := v.usablePeer(vm); ok {
		v.links.Send(to, wire.Frame{StreamTaken: &wire.StreamTaken{Request: request, Generation: generation}})
	}
}

// Forward implements caller.Broker.
func (v *VM) Forward(ctx context.Context, vm string, call wire.ServiceCall) (wire.ServiceAnswer, outcome.Result) {
	to, ok := v.usablePeer(vm)
	if !ok {
		return wire.ServiceAnswer{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: vm}
	}
	ch := make(chan wire.ServiceAnswer, 1)
	v.mu.Lock()
	v.pendingCalls[call.Id] = ch
	v.mu.Unlock()
	v.links.Send(to, wire.Frame{ServiceCall: &call})
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	select {
	case answer := <-ch:
		return answer, outcome.Result{}
	case <-ctx.Done():
	case <-v.ctx.Done():
	}
	v.mu.Lock()
	delete(v.pendingCalls, call.Id)
	v.mu.Unlock()
	return wire.ServiceAnswer{}, outcome.Result{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: vm + " did not answer"}
}

// serveForwarded runs a call whose ticket this VM issued and returns the answer to
// the VM that forwarded it.
func (v *VM) serveForwarded(from wire.VM, call wire.ServiceCall) {
	answer := v.callers.ServeForwarded(v.ctx, call)
	v.links.Send(from, wire.Frame{ServiceAnswer: &answer})
}
