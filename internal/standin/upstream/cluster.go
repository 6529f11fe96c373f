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
func (c *Cluster) Runs(attempt string) []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	var runs []Run
	for _, run := range c.runs {
		if run.Attempt == attempt {
			runs = append(runs, *run)
		}
	}
	return runs
}

func (c *Cluster) recordStart(run Run) *Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.Started = time.Now()
	c.runs = append(c.runs, &run)
	return &run
}

func (c *Cluster) recordEnd(run *Run, lastEvent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.Ended, run.LastEvent = time.Now(), lastEvent
}

func (c *Cluster) replicaAt(address string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas[address]
}
