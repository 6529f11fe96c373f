package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentohinge/pimentohinge/internal/control/poison"
)

// fullTracker returns a tracker with as many crashes as it keeps and one quarantine.
func fullTracker() *poison.Tracker {
	tracker := newTracker("vm-1")
	for i := range 64 {
		crash(tracker, at(float64(i)/10), fmt.Sprintf("i-%010x@1772629112000", i), fmt.Sprintf("%08x", i), fmt.Sprintf("%08x", i%40), "00000bad")
	}
	return tracker
}

// BenchmarkRequest measures the check of a request and its proof, beside full evidence.
func BenchmarkRequest(b *testing.B) {
	tracker := fullTracker()
	segments := []string{"5c1e07a2", "91bd3f06"}
	now := at(10)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		tracker.RequestArrived(now, segments)
		tracker.Check(now, segments)
		tracker.RequestSound(now, segments)
	}
}

// BenchmarkMerge measures the merge of full evidence and reports its size on the wire.
func BenchmarkMerge(b *testing.B) {
	evidence := fullTracker().Evidence(at(10), 0)
	encoded, err := cbor.Marshal(poison.ToWire(at(10), evidence))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		tracker := poison.New("vm-2")
		tracker.Merge(at(10), evidence)
		tracker.Quarantines(at(10))
	}
	b.ReportMetric(float64(len(encoded)), "B/message")
}
