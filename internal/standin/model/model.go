// Package model is a model of one engine: continuous batching with chunked
// prefill, KV memory in blocks, priorities, preemption by recomputation and a
// prefix cache in the memory that is left. It is advanced by an injected clock
// and does no I/O.
package model

import (
	"sort"
	"time"
)

// Options describes one engine. All values are positive.
type Options struct {
	// CapacityBlocks is the KV memory.
	CapacityBlocks int
	// BlockTokens is the size of one block.
	BlockTokens int
	// Slots is the largest batch.
	Slots int
	// PrefillTokens is the most prompt tokens that one step computes.
	PrefillTokens int
	// StepBase is the time of an empty step.
	StepBase time.Duration
	// StepPerSequence is added for each sequence in the batch.
	StepPerSequence time.Duration
	// StepPerContextToken is added for each token of context in the batch.
	StepPerContextToken time.Duration
	// StepPerPrefillToken is added for each prompt token computed.
	StepPerPrefillToken time.Duration
}

// DefaultOptions describes a mid-size accelerator server.
func DefaultOptions() Options {
	return Options{
		CapacityBlocks: 2048, BlockTokens: 16, Slots: 48, PrefillTokens: 512,
		StepBase: 14 * time.Millisecond, StepPerSequence: 150 * time.Microsecond,
		StepPerContextToken: 400 * time.Nanosecond, StepPerPrefillToken: 25 * time.Microsecond,
	}
}

// Sequence is one generation as submitted.
type Sequence struct {
	// ID is unique in the engine.
	ID string
	// Prompt is the prompt's length in tokens, at least 1.
	Prompt int
	// Output is the true length of the output in tokens, at least 1.
	Output int
	// Priority: higher runs first and is preempted last.
	Priority int
	// Prefix names the shared beginning of the prompt; empty for none.
	Prefix string
	// PrefixTokens is the length of the shared beginning, at most Prompt.
	PrefixTokens int
}

// EventKind is the kind of an event.
type EventKind int

// Kinds of events.
const (
	Token EventKind = iota
	Finished
	Preempted
	PrefixStored
	PrefixEvicted
)

// Event is something that happened by the end of a step.
type Event struct {
	// Kind says what happened.
	Kind EventKind
	// ID is the sequence, or the prefix for prefix events.
	ID string
	// Index is the token's position in the output, from 0.
	Index int
}

type running struct {
	Sequence
	arrival   int // order of submission
	generated int
	computed  int // tokens of context in memory
	blocks    int
}

// context is the number of tokens that must be in memory to decode.
func (r *running) context() int { return r.Prompt + r.generated }

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	opts        Options
	batch       []*running // in order of admission
	waiting     []*running // in order of priority, then arrival
	used        int
	arrivals    int
	preemptions int
	lastStep    time.Duration
	cache       []cached // least recently used first
	events      []Event
}

type cached struct {
	prefix string
	tokens int
}

// New returns an idle engine.
func New(o Options) *Engine { return &Engine{opts: o} }

// Submit queues a sequence.
func (e *Engine) Submit(s Sequence) {
	e.arrivals++
	e.enqueue(&running{Sequence: s, arrival: e.arrivals})
}

func (e *Engine) enqueue(r *running) {
	i := sort.Search(len(e.waiting), func(i int) bool {
		w := e.waiting[i]
		if w.Priority != r.Priority {
			return w.Priority < r.Priority
		}
		return w.arrival > r.arrival
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = r
}

// Cancel drops a sequence and reports whether it was there.
func (e *Engine) Cancel(id string) bool {
	for i, r := range e.waiting {
		if r.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	for i, r := range e.batch {
		if r.ID == id {
			e.leave(i)
			return true
		}
	}
	return false
}

// Idle reports whether there is nothing to do.
func (e *Engine) Idle() bool { return len(e.batch) == 0 && len(e.waiting) == 0 }

// Used returns the KV blocks in use.
func (e *Engine) Used() int { return e.used }

// Running returns the batch size.
func (e *Engine) Running() int { return len(e.batch) }

// Waiting returns the number of sequences that wait or were preempted.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Preemptions returns the number of preemptions so far.
func (e *Engine) Preemptions() int { return e.preemptions }

// LastStep returns the time of the last step.
func (e *Engine) LastStep() time.Duration { return e.lastStep }

// Options returns the description of the engine.
func (e *Engine) Options() Options { return e.opts }

// Step runs one step and returns how long it takes and what has happened when
// it ends. The events are valid until the next call.
func (e *Engine) Step() (time.Duration, []Event) {
	e.events = e.events[:0]
	e.admit()
	prefilled := e.prefill()
	context := 0
	for i := 0; i < len(e.batch); i++ {
		r := e.batch[i]
		if r.computed < r.context() || !e.grow(r) {
			continue
		}
		// grow may have preempted sequences before this one.
		i = e.position(r)
		context += r.context()
		e.events = append(e.events, Event{Kind: Token, ID: r.ID, Index: r.generated})
		r.generated++
		r.computed++
	}
	e.finish()
	e.lastStep = e.opts.StepBase +
		time.Duration(len(e.batch))*e.opts.StepPerSequence +
		time.Duration(context)*e.opts.StepPerContextToken +
		time.Duration(prefilled)*e.opts.StepPerPrefillToken
	return e.lastStep, e.events
}

func (e *Engine) position(r *running) int {
	for i, x := range e.batch {
		if x == r {
			return i
		}
	}
	return -1
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.opts.BlockTokens - 1) / e.opts.BlockTokens
}

// admit moves waiting sequences into the batch while slots and memory last.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.opts.Slots {
		r := e.waiting[0]
		need := e.blocksFor(r.context() + 1)
		if e.used+need > e.opts.CapacityBlocks {
			return
		}
		e.waiting = e.waiting[1:]
		e.used += need
		e.evict()
		r.blocks = need
		r.computed = min(e.hit(r), r.context()-1)
		e.batch = append(e.batch, r)
	}
}

// prefill computes prompt tokens in order of admission and returns how many.
func (e *Engine) prefill() int {
	left := e.opts.PrefillTokens
	for _, r := range e.batch {
		n := min(left, r.context()-r.computed)
		if n <= 0 {
			continue
		}
		r.computed += n
		left -= n
		if r.computed == r.context() {
			e.store(r)
		}
	}
	return e.opts.PrefillTokens - left
}

// grow makes room for one more token of r, preempting others if need be. It
// reports false when r itself had to yield.
func (e *Engine) grow(r *running) bool {
	need := e.blocksFor(r.context() + 1)
	if need <= r.blocks {
		return true
	}
	for e.used >= e.opts.CapacityBlocks {
		v := e.victim()
		e.preempt(v)
		if v == r {
			return false
		}
	}
	r.blocks++
	e.used++
	e.evict()
	return true
}

// victim returns the sequence of lowest priority that arrived last.
func (e *Engine) victim() *running {
	v := e.batch[0]
	for _, r := range e.batch[1:] {
		if r.Priority < v.Priority || (r.Priority == v.Priority && r.arrival > v.arrival) {
			v = r
		}
	}
	return v
}

func (e *Engine) preempt(v *running) {
	e.leave(e.position(v))
	v.computed, v.blocks = 0, 0
	e.preemptions++
	e.events = append(e.events, Event{Kind: Preempted, ID: v.ID})
	e.enqueue(v)
}

func (e *Engine) leave(i int) {
	e.used -= e.batch[i].blocks
	e.batch = append(e.batch[:i], e.batch[i+1:]...)
}

func (e *Engine) finish() {
	for i := 0; i < len(e.batch); {
		r := e.batch[i]
		if r.generated < r.Output {
			i++
			continue
		}
		e.leave(i)
		e.events = append(e.events, Event{Kind: Finished, ID: r.ID, Index: r.generated})
	}
}

// hit returns the cached tokens of the prefix of r and marks them as used.
func (e *Engine) hit(r *running) int {
	for i, c := range e.cache {
		if c.prefix != r.Prefix || r.Prefix == "" {
			continue
		}
		e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), c)
		return min(c.tokens, r.PrefixTokens)
	}
	return 0
}

func (e *Engine) store(r *running) {
	if r.Prefix == "" || e.hit(r) > 0 {
		return
	}
	e.cache = append(e.cache, cached{prefix: r.Prefix, tokens: r.PrefixTokens})
	e.events = append(e.events, Event{Kind: PrefixStored, ID: r.Prefix})
	e.evict()
}

// evict drops cached prefixes that no longer fit beside the sequences.
func (e *Engine) evict() {
	total := 0
	for _, c := range e.cache {
		total += e.blocksFor(c.tokens)
	}
	for len(e.cache) > 0 && e.used+total > e.opts.CapacityBlocks {
		total -= e.blocksFor(e.cache[0].tokens)
		e.events = append(e.events, Event{Kind: PrefixEvicted, ID: e.cache[0].prefix})
		e.cache = e.cache[1:]
	}
}
