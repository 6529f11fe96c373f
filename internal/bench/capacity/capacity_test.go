package capacity_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/bench/capacity"
)

// BenchmarkIdleFleet runs a data centre of 53 VMs with 467 replicas. One operation
// starts the fleet and runs it for one virtual second.
func BenchmarkIdleFleet(b *testing.B) {
	for range b.N {
		capacity.RunIdleFleet(53, 1, 467, 1)
	}
}

// BenchmarkPlacement places 5000 requests on the replicas of one VM. One operation
// places all of them.
func BenchmarkPlacement(b *testing.B) {
	for _, replicas := range []int{15, 467, 5600} {
		b.Run(strconv.Itoa(replicas), func(b *testing.B) {
			for range b.N {
				for _, r := range capacity.MeasurePlacement(replicas, 1) {
					b.ReportMetric(r.Value, strings.ReplaceAll(r.Figure, " ", "-"))
				}
			}
		})
	}
}
