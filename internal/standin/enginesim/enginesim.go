// Package enginesim simulates one inference engine: continuous batching with chunked
// prefill, a paged KV cache, priorities, preemption by recomputation and a prefix
// cache in the free blocks. The caller advances it step by step; it reads no clock
// and does no I/O.
package enginesim

import (
	"sort"
	"time"
)

// Options describes one engine. All values are positive.
type Options struct {
	// CapacityBlocks is the size of the KV cache in blocks.
	CapacityBlocks int
	// BlockTokens is the size of one block in tokens.
	BlockTokens int
	// Slots is the maximum batch size.
	Slots int
	// PrefillTokens is the maximum number of prompt tokens that one step prefills.
	PrefillTokens int
	// StepBase is the duration of a step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is the additional time for each sequence in the batch.
	StepPerSequence time.Duration
	// StepPerContextToken is the additional time for each context token of the
	// decoding sequences.
	StepPerContextToken time.Duration
	// StepPerPrefillToken is the additional time for each prefilled token.
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

// Sequence is one submitted generation.
type Sequence struct {
	// ID is unique in the engine.
	ID string
	// Prompt is the length of the prompt in tokens, at least 1.
	Prompt int
	// Output is the actual length of the output in tokens, at least 1.
	Output int
	// Priority orders sequences: a higher one is admitted first and preempted last.
	Priority int
	// Prefix identifies the shared prefix of the prompt; empty for none.
	Prefix string
	// PrefixTokens is the length of the shared prefix in tokens, at most Prompt.
	PrefixTokens int
}

// EventKind is the kind of an event.
type EventKind int

// Event kinds.
const (
	Token EventKind = iota
	Finished
	Preempted
	PrefixStored
	PrefixEvicted
)

// Event is the result of a step for one sequence or one cached prefix.
type Event struct {
	Kind EventKind
	// ID is the sequence ID, or the prefix for PrefixStored and PrefixEvicted.
	ID string
	// Index is the position of a token in the output, from 0; for Finished, the
	// length of the output.
	Index int
}

// sequenceState is a sequence that waits or is in the batch.
type sequenceState struct {
	Sequence
	arrival   int // number in the order of submission
	generated int // output tokens so far
	computed  int // context tokens in the KV cache
	blocks    int // KV blocks held
}

// contextTokens returns the number of tokens that must be in the KV cache to decode
// the next one.
func (s *sequenceState) contextTokens() int { return s.Prompt + s.generated }

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

// Cancel removes a sequence and reports whether it was waiting or running.
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

// Idle reports whether no sequence is waiting or running.
func (e *Engine) Idle() bool { return len(e.batch) == 0 && len(e.waiting) == 0 }

// UsedBlocks returns the number of KV blocks that sequences hold.
func (e *Engine) UsedBlocks() int { return e.usedBlocks }

// Running returns the number of sequences in the batch.
func (e *Engine) Running() int { return len(e.batch) }

// Waiting returns the number of queued sequences, including preempted ones.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Preemptions returns the number of preemptions so far.
func (e *Engine) Preemptions() int { return e.preemptions }

// LastStep returns the duration of the last step.
func (e *Engine) LastStep() time.Duration { return e.lastStep }

// Options returns the options of the engine.
func (e *Engine) Options() Options { return e.opts }

// Step runs one step and returns its duration and the events at its end. The events
// are valid until the next call.
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
		// growBlocks may have preempted sequences at lower indexes.
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

// admit moves waiting sequences into the batch while there are slots and blocks for
// the first of them. Blocks of the prefix cache count as free.
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

// prefill computes missing context tokens in the order of admission, up to the limit
// of a step, and returns their number.
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

// growBlocks allocates another block if the next token of seq needs one, preempting
// other sequences if necessary. It reports false if seq itself was preempted.
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

// victim returns the sequence to preempt: the latest arrival of the lowest priority.
func (e *Engine) victim() *sequenceState {
	victim := e.batch[0]
	for _, seq := range e.batch[1:] {
		if seq.Priority < victim.Priority || (seq.Priority == victim.Priority && seq.arrival > victim.arrival) {
			victim = seq
		}
	}
	return victim
}

// preempt frees the blocks of a sequence and queues it again; its context must be
// recomputed.
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

// lookupPrefix returns the number of cached tokens of the prefix of seq, and marks
// the prefix as the most recently used.
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

// cachePrefix caches the prefix of seq unless it is empty or cached already.
func (e *Engine) cachePrefix(seq *sequenceState) {
	if seq.Prefix == "" || e.lookupPrefix(seq) > 0 {
		return
	}
	e.cache = append(e.cache, cachedPrefix{prefix: seq.Prefix, tokens: seq.PrefixTokens})
	e.events = append(e.events, Event{Kind: PrefixStored, ID: seq.Prefix})
	e.evictPrefixes()
}

// evictPrefixes evicts the least recently used prefixes until the rest fits into the
// blocks that the sequences leave free.
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
