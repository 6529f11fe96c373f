// Package heartbeat bounds, on this VM's clock, when other VMs read the store, so that
// their results can be used without synchronised clocks. It does no I/O.
//
// A beat is a numbered message to the other VMs. The confirmation of a read carries
// the newest beat that the reader had received before it began to read. The read thus
// began after that beat was sent, however long the confirmation took to arrive. Only
// linearizable reads, which return the store's newest version, are confirmed.
package heartbeat

import (
	"sync"
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// maxTrackedBeats bounds the beats whose send time is kept.
const maxTrackedBeats = 1024

// Tracker numbers the beats of this VM, and records the beats of other VMs and the
// linearizable reads of this VM. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// lastSent is the number of the newest beat of this VM. Numbers have a random start,
	// so that beats of an earlier run of this VM are not taken for its own.
	lastSent int64
	sent     [maxTrackedBeats]sentBeat
	// received holds the newest beat of each other VM, by VM name.
	received map[string]int64
	// reads holds the newest linearizable read of each prefix.
	reads map[string]linearizableRead
}

type sentBeat struct {
	number int64
	at     time.Time
}

type linearizableRead struct {
	version  int64
	received map[string]int64 // copy of Tracker.received when the read began
}

// New returns a tracker that numbers beats from first+1. first must be random in each
// run of a VM.
func New(first int64) *Tracker {
	return &Tracker{lastSent: first, received: map[string]int64{}, reads: map[string]linearizableRead{}}
}

// Next returns the number of a beat that is sent now.
func (t *Tracker) Next(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSent++
	t.sent[t.lastSent%maxTrackedBeats] = sentBeat{number: t.lastSent, at: now}
	return t.lastSent
}

// Receive records a beat of another VM.
func (t *Tracker) Receive(vm string, number int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received[vm] = number
}

// BeginRead records that a linearizable read of a prefix begins. The caller passes the
// version that it read to the returned function.
func (t *Tracker) BeginRead(prefix string) func(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	received := make(map[string]int64, len(t.received))
	for vm, number := range t.received {
		received[vm] = number
	}
	return func(version int64) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.reads[prefix] = linearizableRead{version: version, received: received}
	}
}

// Confirmations returns the confirmations of this VM's reads for another VM.
func (t *Tracker) Confirmations(vm string) []wire.Confirmed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var confirmed []wire.Confirmed
	for prefix, read := range t.reads {
		if number, ok := read.received[vm]; ok {
			confirmed = append(confirmed, wire.Confirmed{Prefix: prefix, Version: int(read.version), Beat: int(number)})
		}
	}
	return confirmed
}

// Confirmation returns the confirmation of this VM's read of a prefix for another VM;
// nil when there was no read, or no beat of that VM before it.
func (t *Tracker) Confirmation(vm, prefix string) *wire.Confirmed {
	t.mu.Lock()
	defer t.mu.Unlock()
	read, ok := t.reads[prefix]
	if !ok {
		return nil
	}
	number, ok := read.received[vm]
	if !ok {
		return nil
	}
	return &wire.Confirmed{Prefix: prefix, Version: int(read.version), Beat: int(number)}
}

// EarliestStart returns a time before which a confirmed read of another VM did not
// begin. It returns false when the beat is not from this run of this VM or is too old.
func (t *Tracker) EarliestStart(confirmed wire.Confirmed) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.sent[uint64(confirmed.Beat)%maxTrackedBeats]
	if sent.number != int64(confirmed.Beat) || sent.at.IsZero() {
		return time.Time{}, false
	}
	return sent.at, true
}
