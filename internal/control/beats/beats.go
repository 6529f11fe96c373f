// Package beats dates what other VMs read in the store by this VM's own clock.
// It does no I/O.
package beats

import (
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// keptBeats bounds the beats whose time is remembered.
const keptBeats = 1024

// Book numbers the messages of this VM and dates the exact reads of others: a VM
// that had a beat of ours when it began to read began after we sent the beat,
// however long its answer took to come and whatever its clock says. It is safe
// for concurrent use.
type Book struct {
	mu sync.Mutex
	// last is the number of the newest beat, from a random start, so that those
	// of an earlier life of this VM are not taken for ours.
	last int64
	sent [keptBeats]beat
	// heard is the newest beat of each other VM.
	heard map[string]int64
	// read is the newest exact read of each prefix.
	read map[string]exactRead
}

type beat struct {
	number int64
	at     time.Time
}

type exactRead struct {
	version int64
	heard   map[string]int64
}

// New returns a book whose numbers begin after first, which is random in each
// life of a VM.
func New(first int64) *Book {
	return &Book{last: first, heard: map[string]int64{}, read: map[string]exactRead{}}
}

// Next numbers a message that is sent now.
func (b *Book) Next(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	b.sent[b.last%keptBeats] = beat{number: b.last, at: now}
	return b.last
}

// Hear notes a beat of another VM.
func (b *Book) Hear(vm string, number int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heard[vm] = number
}

// BeginRead notes which beats were heard before an exact read.
func (b *Book) BeginRead(prefix string) func(version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	heard := make(map[string]int64, len(b.heard))
	for vm, n := range b.heard {
		heard[vm] = n
	}
	return func(version int64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.read[prefix] = exactRead{version: version, heard: heard}
	}
}

// Confirmed returns this VM's exact reads for another VM.
func (b *Book) Confirmed(vm string) []wire.Confirmed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []wire.Confirmed
	for prefix, r := range b.read {
		if n, ok := r.heard[vm]; ok {
			out = append(out, wire.Confirmed{Prefix: prefix, Version: int(r.version), Beat: int(n)})
		}
	}
	return out
}

// Read returns this VM's exact read of a prefix for another VM; nil when it
// cannot be dated.
func (b *Book) Read(vm, prefix string) *wire.Confirmed {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.read[prefix]
	if !ok {
		return nil
	}
	n, ok := r.heard[vm]
	if !ok {
		return nil
	}
	return &wire.Confirmed{Prefix: prefix, Version: int(r.version), Beat: int(n)}
}

// Date returns a moment before which an exact read of another VM did not begin.
// It reports false when the beat is not one of this life of this VM, or too old.
func (b *Book) Date(c wire.Confirmed) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sent[uint64(c.Beat)%keptBeats]
	if s.number != int64(c.Beat) || s.at.IsZero() {
		return time.Time{}, false
	}
	return s.at, true
}
