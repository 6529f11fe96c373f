// Package simclock implements a virtual clock for discrete-event simulations.
package simclock

import (
	"container/heap"
	"time"
)

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Clock is a virtual clock with a queue of scheduled events. It is not safe for
// concurrent use.
type Clock struct {
	now      time.Time
	queue    events
	sequence int
}

// New returns a clock that is set to start.
func New(start time.Time) *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// At schedules an event. Events at the same time run in the order of scheduling.
func (c *Clock) At(t time.Time, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: t, sequence: c.sequence, run: run})
}

// After schedules an event at d after the current virtual time.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.now.Add(d), run) }

// Step advances the clock to the next event and runs it. If there is no event up to
// end, Step sets the clock to end and reports false.
func (c *Clock) Step(end time.Time) bool {
	if c.queue.Len() == 0 || c.queue[0].at.After(end) {
		c.now = end
		return false
	}
	next := heap.Pop(&c.queue).(event)
	c.now = next.at
	next.run()
	return true
}

// RunUntil runs all events up to end and sets the clock to end.
func (c *Clock) RunUntil(end time.Time) {
	for c.Step(end) {
	}
}
