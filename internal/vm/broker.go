package vm

import (
	"context"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/control/member"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// forwardTimeout bounds a call that is forwarded to the issuer of its ticket.
const forwardTimeout = 35 * time.Second

type placeAnswer struct {
	placed  control.Placed
	outcome outcome.Outcome
	events  []wire.Event
}

// Place implements caller.Broker.
func (v *VM) Place(ctx context.Context, p control.Place) (control.Placed, outcome.Outcome, []wire.Event) {
	ch := make(chan placeAnswer, 1)
	v.mu.Lock()
	v.places[p.ID] = ch
	v.mu.Unlock()
	v.tell(p)
	select {
	case a := <-ch:
		return a.placed, a.outcome, a.events
	case <-ctx.Done():
		v.mu.Lock()
		delete(v.places, p.ID)
		v.mu.Unlock()
		v.Withdraw(p.ID)
		return control.Placed{}, outcome.Refuse(outcome.CallerGone, ""), nil
	case <-v.ctx.Done():
		return control.Placed{}, outcome.Refuse(outcome.VMStopping, ""), nil
	}
}

func (v *VM) answerPlace(id string, a placeAnswer) {
	v.mu.Lock()
	ch := v.places[id]
	delete(v.places, id)
	v.mu.Unlock()
	if ch != nil {
		ch <- a
	}
}

// Withdraw implements caller.Broker.
func (v *VM) Withdraw(id string) { v.tell(control.Cancel{ID: id}) }

// AttemptEnded implements caller.Broker.
func (v *VM) AttemptEnded(e control.AttemptEnded) { v.tell(e) }

// ReportLeaving implements caller.Broker.
func (v *VM) ReportLeaving(backend string) { v.tell(control.BackendRefused{Backend: backend}) }

// State implements caller.Broker.
func (v *VM) State() *chain.State { return v.state.Load().State }

// Backend implements caller.Broker.
func (v *VM) Backend(name string) (wire.Backend, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.backends[name]
	return b, ok
}

// peerNamed looks up a VM that is not known to be dead.
func (v *VM) peerNamed(name string) (wire.VM, bool) {
	for _, m := range v.view.Load().Members {
		if m.Vm.Name == name && usable(m) {
			return m.Vm, true
		}
	}
	return wire.VM{}, false
}

// usable reports whether a VM is alive as far as is known.
func usable(m wire.Member) bool {
	return m.State == string(member.Alive) || m.State == string(member.Suspect)
}

// ReportTakeover implements caller.Broker.
func (v *VM) ReportTakeover(vm, request, generation string) {
	if to, ok := v.peerNamed(vm); ok {
		v.links.Send(to, wire.Frame{StreamTaken: &wire.StreamTaken{Request: request, Generation: generation}})
	}
}

// Forward implements caller.Broker.
func (v *VM) Forward(ctx context.Context, vm string, c wire.ServiceCall) (wire.ServiceAnswer, outcome.Outcome) {
	to, ok := v.peerNamed(vm)
	if !ok {
		return wire.ServiceAnswer{}, outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: vm}
	}
	ch := make(chan wire.ServiceAnswer, 1)
	v.mu.Lock()
	v.answers[c.Id] = ch
	v.mu.Unlock()
	v.links.Send(to, wire.Frame{ServiceCall: &c})
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	select {
	case a := <-ch:
		return a, outcome.Outcome{}
	case <-ctx.Done():
	case <-v.ctx.Done():
	}
	v.mu.Lock()
	delete(v.answers, c.Id)
	v.mu.Unlock()
	return wire.ServiceAnswer{}, outcome.Outcome{Kind: outcome.Unknown, Cause: outcome.IssuerGone, Detail: vm + " did not answer"}
}

// serveForwarded runs a call whose ticket this VM issued.
func (v *VM) serveForwarded(from wire.VM, c wire.ServiceCall) {
	a := v.callers.ServeForwarded(v.ctx, c)
	v.links.Send(from, wire.Frame{ServiceAnswer: &a})
}
