package capacity_test

import (
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/bench/capacity"
)

// BenchmarkSteady runs a data centre of 53 VMs with 467 replicas. One operation
// is a virtual second of the whole data centre.
func BenchmarkSteady(b *testing.B) {
	for range b.N {
		capacity.Steady(53, 1, 467, 1)
	}
}
