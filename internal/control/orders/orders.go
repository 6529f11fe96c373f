// Package orders plans which engine of a data centre loads which models. It compares
// the configuration with the engines' load reports. An order states the target set
// of models, so a lost order can be issued again. One VM per data centre, the holder
// of the orders lease, issues the orders.
package orders

import (
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// Lifetime is how long an order may be carried out after it was issued.
	Lifetime = 2 * time.Second
	// completionTimeout is how long an engine may take to report the models of an order
	// as loaded. After it the order is issued again.
	completionTimeout = 2 * time.Minute
)

// Order is an order to one engine to load models.
type Order struct {
	// Engine is the receiver.
	Engine wire.Backend
	// Models is the set of models that the engine is to have loaded.
	Models []string
	// Why is the reason, for the log.
	Why string
}

// Planner tracks the issued orders until they are carried out or time out. It is not
// safe for concurrent use.
type Planner struct {
	// MaxConcurrentLoads bounds the engines that load models at the same time: the data
	// centre's share of the weight store's rate. It must be set before the first call
	// of Plan.
	MaxConcurrentLoads int

	issued map[string]issuedOrder
}

// issuedOrder is an order that an engine accepted and has not completed.
type issuedOrder struct {
	models   []string
	issuedAt time.Time
}

// New returns a planner without issued orders.
func New(maxConcurrentLoads int) *Planner {
	return &Planner{MaxConcurrentLoads: maxConcurrentLoads, issued: map[string]issuedOrder{}}
}

// Plan returns the orders that are due, and the engines to drain because they must be
// idle before they can load other models.
func (p *Planner) Plan(now time.Time, state *configchain.State, engines []control.BackendView) (due []Order, drain []string) {
	loading := p.dropFinished(now, engines)
	for _, engine := range engines {
		wantModels := targetModels(state, engine)
		if wantModels == nil || containsAll(engine.Report.Models, wantModels) || !usable(engine) {
			continue
		}
		if previous, ok := p.issued[engine.Name]; ok && slices.Equal(previous.models, wantModels) {
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

// dropFinished drops orders that were carried out or have timed out, and returns the
// number of engines that are still loading.
func (p *Planner) dropFinished(now time.Time, engines []control.BackendView) int {
	for _, engine := range engines {
		if previous, ok := p.issued[engine.Name]; ok && (containsAll(engine.Report.Models, previous.models) || now.Sub(previous.issuedAt) > completionTimeout) {
			delete(p.issued, engine.Name)
		}
	}
	return len(p.issued)
}

// RecordAccepted records an order that an engine accepted.
func (p *Planner) RecordAccepted(now time.Time, order Order) {
	p.issued[order.Engine.Name] = issuedOrder{models: order.Models, issuedAt: now}
}

// Reset drops all orders. It is called when this VM loses the orders lease.
func (p *Planner) Reset() { clear(p.issued) }

// targetModels returns the models that an engine should have loaded; nil when its
// service is unknown or does not serve a model.
func targetModels(state *configchain.State, engine control.BackendView) []string {
	service, ok := state.Services[engine.Service]
	if !ok || service.Kind != configchain.KindModel {
		return nil
	}
	return []string{service.Model}
}

func usable(engine control.BackendView) bool {
	return engine.State == "live" && !engine.Leaving && engine.Reachable && engine.Report.CapacityBlocks > 0
}

func containsAll(have, want []string) bool {
	for _, model := range want {
		if !slices.Contains(have, model) {
			return false
		}
	}
	return true
}

// hasSpare reports whether another engine serves the same service while this one is
// drained.
func (p *Planner) hasSpare(state *configchain.State, engine control.BackendView, engines []control.BackendView) bool {
	for _, other := range engines {
		if other.Name != engine.Name && other.Service == engine.Service && usable(other) && containsAll(other.Report.Models, targetModels(state, other)) {
			return true
		}
	}
	return false
}
