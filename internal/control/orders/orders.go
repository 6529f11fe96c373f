// Package orders plans which engine loads which model in one data centre. It
// compares the configuration with the engines' reports and names target states,
// so that an order that was lost is simply given again.
package orders

import (
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// Lifetime is how long an order may be carried out after it was given.
	Lifetime = 2 * time.Second
	// completionTimeout is how long an engine gets to report that it has carried out an order.
	completionTimeout = 2 * time.Minute
)

// Order is an order to one engine.
type Order struct {
	// Engine is the receiver.
	Engine wire.Backend
	// Models is the target state.
	Models []string
	// Why is the reason, for the log.
	Why string
}

// Planner remembers the orders given, so that engines get time to carry them
// out. It is used by one goroutine.
type Planner struct {
	// MaxConcurrentLoads bounds the models that load at the same time, which is the
	// data centre's share of the weight store's rate. It is set before the first plan.
	MaxConcurrentLoads int

	issued map[string]issuedOrder
}

type issuedOrder struct {
	models   []string
	issuedAt time.Time
}

// New returns a planner that has given no orders.
func New(loadsAtOnce int) *Planner {
	return &Planner{MaxConcurrentLoads: loadsAtOnce, issued: map[string]issuedOrder{}}
}

// Plan returns the orders that are due, and the engines that must be drained
// before they can be given theirs.
func (p *Planner) Plan(now time.Time, state *chain.State, engines []control.BackendView) (due []Order, drain []string) {
	loading := p.dropSettled(now, engines)
	for _, engine := range engines {
		wantModels := targetModels(state, engine)
		if wantModels == nil || containsAll(engine.Report.Models, wantModels) || !usable(engine) {
			continue
		}
		if g, ok := p.issued[engine.Name]; ok && slices.Equal(g.models, wantModels) {
			continue
		}
		if loading >= p.MaxConcurrentLoads {
			break
		}
		if engine.Report.Running+engine.Report.Waiting > 0 {
			if p.hasSpare(state, engine, engines) {
				drain = append(drain, engine.Name)
			}
			continue
		}
		loading++
		due = append(due, Order{Engine: engine.Backend, Models: wantModels, Why: "service " + engine.Service + " needs " + wantModels[0]})
	}
	return due, drain
}

// dropSettled forgets orders that were carried out or took too long, and returns how
// many engines are still loading.
func (p *Planner) dropSettled(now time.Time, engines []control.BackendView) int {
	for _, engine := range engines {
		if g, ok := p.issued[engine.Name]; ok && (containsAll(engine.Report.Models, g.models) || now.Sub(g.issuedAt) > completionTimeout) {
			delete(p.issued, engine.Name)
		}
	}
	return len(p.issued)
}

// RecordAccepted records that an engine accepted an order.
func (p *Planner) RecordAccepted(now time.Time, o Order) {
	p.issued[o.Engine.Name] = issuedOrder{models: o.Models, issuedAt: now}
}

// Reset forgets every order, for a VM that has lost the role.
func (p *Planner) Reset() { clear(p.issued) }

// targetModels is what an engine should have loaded; nil when the configuration does
// not say.
func targetModels(state *chain.State, engine control.BackendView) []string {
	svc, ok := state.Services[engine.Service]
	if !ok || svc.Kind != chain.KindModel {
		return nil
	}
	return []string{svc.Model}
}

func usable(engine control.BackendView) bool {
	return engine.State == "live" && !engine.Leaving && engine.Reachable && engine.Report.CapacityBlocks > 0
}

func containsAll(have, want []string) bool {
	for _, w := range want {
		if !slices.Contains(have, w) {
			return false
		}
	}
	return true
}

// hasSpare reports whether the service keeps another engine that serves while this
// one is drained.
func (p *Planner) hasSpare(state *chain.State, engine control.BackendView, engines []control.BackendView) bool {
	for _, other := range engines {
		if other.Name != engine.Name && other.Service == engine.Service && usable(other) && containsAll(other.Report.Models, targetModels(state, other)) {
			return true
		}
	}
	return false
}
