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
	// FirstEvent and To are the first and the last event that the run made; both are
	// 0 for a plain request.
	FirstEvent, LastEvent int
	// Started and Ended bound the work; Ended is zero while it lasts.
	Started, Ended time.Time
	// Resumed is set when the run goes on from a copy of its memory.
	Resumed bool
	// Workspace and Key are what the replica was shown.
	Workspace, Key string
	// TimeoutMs is the time that the replica was given, in milliseconds.
	TimeoutMs int
}

// Cluster is a set of replicas that can reach each other, with all their runs. It
// is safe for concurrent use.
type Cluster struct {
	mu       sync.Mutex
	replicas map[string]*Replica // by address
	runs     []*Run
}

// NewCluster returns an empty grid.
func NewCluster() *Cluster { return &Cluster{replicas: map[string]*Replica{}} }

// Runs returns the runs of a request in order.
func (g *Cluster) Runs(attempt string) []Run {
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

func (g *Cluster) recordStart(r Run) *Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Started = time.Now()
	g.runs = append(g.runs, &r)
	return &r
}

func (g *Cluster) recordEnd(r *Run, lastEvent int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Ended, r.LastEvent = time.Now(), lastEvent
}

func (g *Cluster) replicaAt(address string) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[address]
}
