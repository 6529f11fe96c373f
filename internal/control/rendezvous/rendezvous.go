// Package rendezvous assigns roles to entry VMs by rendezvous hashing, so that
// every VM computes the same holder from the same member list and few roles
// move when a VM comes or goes.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a VM for a role; the highest holds the role.
func Score(role, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(role)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// Holder returns the VM that holds the role, or an empty string without VMs.
func Holder(role string, vms []string) string {
	best, bestScore := "", uint64(0)
	for _, v := range vms {
		s := Score(role, v)
		if best == "" || s > bestScore || (s == bestScore && v < best) {
			best, bestScore = v, s
		}
	}
	return best
}

// Holders returns the n VMs with the highest scores, best first, or fewer when
// there are not that many.
func Holders(role string, vms []string, n int) []string {
	sorted := append([]string(nil), vms...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := Score(role, sorted[i]), Score(role, sorted[j])
		if a != b {
			return a > b
		}
		return sorted[i] < sorted[j]
	})
	return sorted[:min(n, len(sorted))]
}
