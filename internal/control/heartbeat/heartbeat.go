// Package heartbeat dates what other VMs read in the store by this VM's own clock.
// It does no I/O.
package heartbeat

import (
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// maxTrackedBeats bounds the beats whose time is remembered.
const maxTrackedBeats = 1024

// Tracker numbers the messages of this VM and dates the exact reads of others: a VM
// that had a beat of ours when it began to read began after we sent the beat,
// however long its answer took to come and whatever its clock says. It is safe
// for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// lastSent is the number of the newest beat, from a random start, so that those
	// of an earlier life of this VM are not taken for ours.
	lastSent int64
	sent     [maxTrackedBeats]sentBeat
	// received is the newest beat of each other VM.
	received map[string]int64
	// reads is the newest exact read of each prefix.
	reads map[string]linearizableRead
}

type sentBeat struct {
	number int64
	at     time.Time
}

type linearizableRead struct {
	version  int64
	received map[string]int64
}

// New returns a book whose numbers begin after first, which is random in each
// life of a VM.
func New(first int64) *Tracker {
	return &Tracker{lastSent: first, received: map[string]int64{}, reads: map[string]linearizableRead{}}
}

// Next numbers a message that is sent now.
func (b *Tracker) Next(now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSent++
	b.sent[b.lastSent%maxTrackedBeats] = sentBeat{number: b.lastSent, at: now}
	return b.lastSent
}

// Receive notes a beat of another VM.
func (b *Tracker) Receive(vm string, number int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received[vm] = number
}

// BeginRead notes which beats were heard before an exact read.
func (b *Tracker) BeginRead(prefix string) func(version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	heard := make(map[string]int64, len(b.received))
	for vm, n := range b.received {
		heard[vm] = n
	}
	return func(version int64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.reads[prefix] = linearizableRead{version: version, received: heard}
	}
}

// Confirmed returns this VM's exact reads for another VM.
func (b *Tracker) Confirmed(vm string) []wire.Confirmed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []wire.Confirmed
	for prefix, read := range b.reads {
		if number, ok := read.received[vm]; ok {
			out = append(out, wire.Confirmed{Prefix: prefix, Version: int(read.version), Beat: int(number)})
		}
	}
	return out
}

// Read returns this VM's exact read of a prefix for another VM; nil when it
// cannot be dated.
func (b *Tracker) Read(vm, prefix string) *wire.Confirmed {
	b.mu.Lock()
	defer b.mu.Unlock()
	read, ok := b.reads[prefix]
	if !ok {
		return nil
	}
	number, ok := read.received[vm]
	if !ok {
		return nil
	}
	return &wire.Confirmed{Prefix: prefix, Version: int(read.version), Beat: int(number)}
}

// EarliestStart returns a moment before which an exact read of another VM did not begin.
// It reports false when the beat is not one of this life of this VM, or too old.
func (b *Tracker) EarliestStart(confirmed wire.Confirmed) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sent := b.sent[uint64(confirmed.Beat)%maxTrackedBeats]
	if sent.number != int64(confirmed.Beat) || sent.at.IsZero() {
		return time.Time{}, false
	}
	return sent.at, true
}
