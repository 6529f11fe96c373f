// Package upstream is a small stand-in for the replicas of the users' platform:
// plain services and engines whose streams can be copied from one to another,
// with faults on demand. It runs on the clock of its process, which may be
// virtual.
package upstream

import (
	"sync"
	"time"
)

// Run is one time that a replica worked on a request.
type Run struct {
	// Attempt is the request, Replica who ran it.
	Attempt, Replica string
	// From and To are the first and the last event that the run made; both are
	// 0 for a plain request.
	From, To int
	// Began and Ended bound the work; Ended is zero while it lasts.
	Began, Ended time.Time
	// Continues is set when the run goes on from a copy of its memory.
	Continues bool
	// Workspace and Key are what the replica was shown.
	Workspace, Key string
	// LeftMs is the time that the replica was given, in milliseconds.
	LeftMs int
}

// Grid is a set of replicas that can reach each other, with all their runs. It
// is safe for concurrent use.
type Grid struct {
	mu       sync.Mutex
	replicas map[string]*Replica // by address
	runs     []*Run
}

// NewGrid returns an empty grid.
func NewGrid() *Grid { return &Grid{replicas: map[string]*Replica{}} }

// Runs returns the runs of a request in order.
func (g *Grid) Runs(attempt string) []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Run
	for _, r := range g.runs {
		if r.Attempt == attempt {
			out = append(out, *r)
		}
	}
	return out
}

func (g *Grid) begin(r Run) *Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Began = time.Now()
	g.runs = append(g.runs, &r)
	return &r
}

func (g *Grid) end(r *Run, to int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Ended, r.To = time.Now(), to
}

func (g *Grid) at(address string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[address]
}
