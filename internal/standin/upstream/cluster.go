// Package upstream implements replicas of the users' platform, for tests and demos:
// plain services, and engines whose KV cache can be copied to another engine so
// that a stream resumes there. It injects faults and uses the clock of its process,
// which may be virtual.
package upstream

import (
	"slices"
	"sync"
	"time"
)

// Run is one execution of a request by a replica.
type Run struct {
	// Attempt is the attempt ID of the request and Replica the ID of the replica.
	Attempt, Replica string
	// ReplicaStartedAt is Options.StartedAt of the replica.
	ReplicaStartedAt time.Time
	// FirstEvent and LastEvent are the numbers of the first and the last event that
	// the run produced; both are 0 for a plain service.
	FirstEvent, LastEvent int
	// Started and Ended are the times of the run; Ended is zero while it is running. Received is when
	// the request had reached the process, which may have been suspended until Started.
	Received, Started, Ended time.Time
	// Resumed is set when the run resumed a stream from a copy of its KV cache.
	Resumed bool
	// Unheard is set when the run continued after the connection of its stream was lost.
	Unheard bool
	// Workspace and Key are the workspace and authorization headers as received.
	Workspace, Key string
	// Segments are the IDs of the segments of the prompt, in order.
	Segments []string
	// TimeoutMs is the remaining time in the request, in milliseconds.
	TimeoutMs int
}

// Cluster is a set of replicas that can reach each other, and a record of their
// runs. It is safe for concurrent use.
type Cluster struct {
	mu       sync.Mutex
	replicas map[string]*Replica // by address
	runs     []*Run
	mixed    []string
	refusals []Refusal
}

// Refusal is a request that a replica refused.
type Refusal struct {
	Replica string
	At      time.Time
}

// Refusals returns the refusals by Replica.RefuseUntil in the order of their time.
func (c *Cluster) Refusals() []Refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.refusals)
}

func (c *Cluster) recordRefusal(replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals = append(c.refusals, Refusal{Replica: replica, At: time.Now()})
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster { return &Cluster{replicas: map[string]*Replica{}} }

// Runs returns the runs of an attempt in the order of their start.
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

// AllRuns returns all runs in the order of their start.
func (c *Cluster) AllRuns() []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := make([]Run, 0, len(c.runs))
	for _, run := range c.runs {
		runs = append(runs, *run)
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

// recordEnd records the end of a run; only the first call counts.
func (c *Cluster) recordEnd(run *Run, lastEvent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if run.Ended.IsZero() {
		run.Ended, run.LastEvent = time.Now(), lastEvent
	}
}

func (c *Cluster) recordUnheard(run *Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.Unheard = true
}

func (c *Cluster) replicaAt(address string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas[address]
}

// Mixed returns the attempts that were sent with the handle of another attempt's copy.
func (c *Cluster) Mixed() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.mixed)
}

func (c *Cluster) recordMixed(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mixed = append(c.mixed, attempt)
}
