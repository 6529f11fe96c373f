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

type sequenceState struct {
	Sequence
	arrival   int // order of submission
	generated int
	computed  int // tokens of context in memory
	blocks    int
}

// contextTokens is the number of tokens that must be in memory to decode.
func (r *sequenceState) contextTokens() int { return r.Prompt + r.generated }

// Engine is the state of one engine. It is not safe for concurrent use.
type Engine struct {
	opts        Options
	batch       []*sequenceState // in order of admission
	waiting     []*sequenceState // in order of priority, then arrival
	usedBlocks  int
	arrivals    int
	preemptions int
	lastStep    time.Duration
	cache       []cachedPrefix // least recently used first
	events      []Event
}

type cachedPrefix struct {
	prefix string
	tokens int
}

// New returns an idle engine.
func New(o Options) *Engine { return &Engine{opts: o} }

// Submit queues a sequence.
func (e *Engine) Submit(s Sequence) {
	e.arrivals++
	e.enqueue(&sequenceState{Sequence: s, arrival: e.arrivals})
}

func (e *Engine) enqueue(seq *sequenceState) {
	i := sort.Search(len(e.waiting), func(i int) bool {
		other := e.waiting[i]
		if other.Priority != seq.Priority {
			return other.Priority < seq.Priority
		}
		return other.arrival > seq.arrival
	})
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = seq
}

// Cancel drops a sequence and reports whether it was there.
func (e *Engine) Cancel(id string) bool {
	for i, seq := range e.waiting {
		if seq.ID == id {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return true
		}
	}
	for i, seq := range e.batch {
		if seq.ID == id {
			e.removeFromBatch(i)
			return true
		}
	}
	return false
}

// Idle reports whether there is nothing to do.
func (e *Engine) Idle() bool { return len(e.batch) == 0 && len(e.waiting) == 0 }

// Used returns the KV blocks in use.
func (e *Engine) Used() int { return e.usedBlocks }

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
	contextTokens := 0
	for i := 0; i < len(e.batch); i++ {
		seq := e.batch[i]
		if seq.computed < seq.contextTokens() || !e.growBlocks(seq) {
			continue
		}
		// grow may have preempted sequences before this one.
		i = e.batchIndex(seq)
		contextTokens += seq.contextTokens()
		e.events = append(e.events, Event{Kind: Token, ID: seq.ID, Index: seq.generated})
		seq.generated++
		seq.computed++
	}
	e.removeFinished()
	e.lastStep = e.opts.StepBase +
		time.Duration(len(e.batch))*e.opts.StepPerSequence +
		time.Duration(contextTokens)*e.opts.StepPerContextToken +
		time.Duration(prefilled)*e.opts.StepPerPrefillToken
	return e.lastStep, e.events
}

func (e *Engine) batchIndex(seq *sequenceState) int {
	for i, candidate := range e.batch {
		if candidate == seq {
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
		seq := e.waiting[0]
		need := e.blocksFor(seq.contextTokens() + 1)
		if e.usedBlocks+need > e.opts.CapacityBlocks {
			return
		}
		e.waiting = e.waiting[1:]
		e.usedBlocks += need
		e.evictPrefixes()
		seq.blocks = need
		seq.computed = min(e.lookupPrefix(seq), seq.contextTokens()-1)
		e.batch = append(e.batch, seq)
	}
}

// prefill computes prompt tokens in order of admission and returns how many.
func (e *Engine) prefill() int {
	left := e.opts.PrefillTokens
	for _, seq := range e.batch {
		n := min(left, seq.contextTokens()-seq.computed)
		if n <= 0 {
			continue
		}
		seq.computed += n
		left -= n
		if seq.computed == seq.contextTokens() {
			e.cachePrefix(seq)
		}
	}
	return e.opts.PrefillTokens - left
}

// growBlocks makes room for one more token of r, preempting others if need be. It
// reports false when r itself had to yield.
func (e *Engine) growBlocks(seq *sequenceState) bool {
	need := e.blocksFor(seq.contextTokens() + 1)
	if need <= seq.blocks {
		return true
	}
	for e.usedBlocks >= e.opts.CapacityBlocks {
		victim := e.victim()
		e.preempt(victim)
		if victim == seq {
			return false
		}
	}
	seq.blocks++
	e.usedBlocks++
	e.evictPrefixes()
	return true
}

// victim returns the sequence of lowest priority that arrived last.
func (e *Engine) victim() *sequenceState {
	victim := e.batch[0]
	for _, seq := range e.batch[1:] {
		if seq.Priority < victim.Priority || (seq.Priority == victim.Priority && seq.arrival > victim.arrival) {
			victim = seq
		}
	}
	return victim
}

func (e *Engine) preempt(victim *sequenceState) {
	e.removeFromBatch(e.batchIndex(victim))
	victim.computed, victim.blocks = 0, 0
	e.preemptions++
	e.events = append(e.events, Event{Kind: Preempted, ID: victim.ID})
	e.enqueue(victim)
}

func (e *Engine) removeFromBatch(i int) {
	e.usedBlocks -= e.batch[i].blocks
	e.batch = append(e.batch[:i], e.batch[i+1:]...)
}

func (e *Engine) removeFinished() {
	for i := 0; i < len(e.batch); {
		seq := e.batch[i]
		if seq.generated < seq.Output {
			i++
			continue
		}
		e.removeFromBatch(i)
		e.events = append(e.events, Event{Kind: Finished, ID: seq.ID, Index: seq.generated})
	}
}

// lookupPrefix returns the cached tokens of the prefix of r and marks them as used.
func (e *Engine) lookupPrefix(seq *sequenceState) int {
	for i, cached := range e.cache {
		if cached.prefix != seq.Prefix || seq.Prefix == "" {
			continue
		}
		e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), cached)
		return min(cached.tokens, seq.PrefixTokens)
	}
	return 0
}

func (e *Engine) cachePrefix(seq *sequenceState) {
	if seq.Prefix == "" || e.lookupPrefix(seq) > 0 {
		return
	}
	e.cache = append(e.cache, cachedPrefix{prefix: seq.Prefix, tokens: seq.PrefixTokens})
	e.events = append(e.events, Event{Kind: PrefixStored, ID: seq.Prefix})
	e.evictPrefixes()
}

// evictPrefixes drops cached prefixes that no longer fit beside the sequences.
func (e *Engine) evictPrefixes() {
	total := 0
	for _, c := range e.cache {
		total += e.blocksFor(c.tokens)
	}
	for len(e.cache) > 0 && e.usedBlocks+total > e.opts.CapacityBlocks {
		total -= e.blocksFor(e.cache[0].tokens)
		e.events = append(e.events, Event{Kind: PrefixEvicted, ID: e.cache[0].prefix})
		e.cache = e.cache[1:]
	}
}
