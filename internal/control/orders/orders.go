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
	// patience is how long an engine gets to report that it has carried out an order.
	patience = 2 * time.Minute
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
	// LoadsAtOnce bounds the models that load at the same time, which is the
	// data centre's share of the weight store's rate. It is set before the first plan.
	LoadsAtOnce int

	given map[string]given
}

type given struct {
	models []string
	at     time.Time
}

// New returns a planner that has given no orders.
func New(loadsAtOnce int) *Planner {
	return &Planner{LoadsAtOnce: loadsAtOnce, given: map[string]given{}}
}

// Plan returns the orders that are due, and the engines that must be drained
// before they can be given theirs.
func (p *Planner) Plan(now time.Time, s *chain.State, engines []control.BackendView) (due []Order, drain []string) {
	loading := p.settle(now, engines)
	for _, e := range engines {
		want := target(s, e)
		if want == nil || covers(e.Report.Models, want) || !usable(e) {
			continue
		}
		if g, ok := p.given[e.Name]; ok && slices.Equal(g.models, want) {
			continue
		}
		if loading >= p.LoadsAtOnce {
			break
		}
		if e.Report.Running+e.Report.Waiting > 0 {
			if p.spare(s, e, engines) {
				drain = append(drain, e.Name)
			}
			continue
		}
		loading++
		due = append(due, Order{Engine: e.Backend, Models: want, Why: "service " + e.Service + " needs " + want[0]})
	}
	return due, drain
}

// settle forgets orders that were carried out or took too long, and returns how
// many engines are still loading.
func (p *Planner) settle(now time.Time, engines []control.BackendView) int {
	for _, e := range engines {
		if g, ok := p.given[e.Name]; ok && (covers(e.Report.Models, g.models) || now.Sub(g.at) > patience) {
			delete(p.given, e.Name)
		}
	}
	return len(p.given)
}

// Given records that an engine accepted an order.
func (p *Planner) Given(now time.Time, o Order) {
	p.given[o.Engine.Name] = given{models: o.Models, at: now}
}

// Reset forgets every order, for a VM that has lost the role.
func (p *Planner) Reset() { clear(p.given) }

// target is what an engine should have loaded; nil when the configuration does
// not say.
func target(s *chain.State, e control.BackendView) []string {
	svc, ok := s.Services[e.Service]
	if !ok || svc.Kind != chain.KindModel {
		return nil
	}
	return []string{svc.Model}
}

func usable(e control.BackendView) bool {
	return e.State == "live" && !e.Leaving && e.Reachable && e.Report.CapacityBlocks > 0
}

func covers(have, want []string) bool {
	for _, w := range want {
		if !slices.Contains(have, w) {
			return false
		}
	}
	return true
}

// spare reports whether the service keeps another engine that serves while this
// one is drained.
func (p *Planner) spare(s *chain.State, e control.BackendView, engines []control.BackendView) bool {
	for _, o := range engines {
		if o.Name != e.Name && o.Service == e.Service && usable(o) && covers(o.Report.Models, target(s, o)) {
			return true
		}
	}
	return false
}
