// Package rendezvous assigns roles to entry VMs by rendezvous hashing, so that
// every VM computes the same holder from the same member list and few roles
// move when a VM comes or goes.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Set is a number of VMs with their hashes, for finding the holders of many
// roles. It is never changed.
type Set struct {
	names  []string
	hashes []uint64
}

// NewSet returns the set of some VMs, which must be sorted by name.
func NewSet(vms []string) Set {
	s := Set{names: vms, hashes: make([]uint64, len(vms))}
	for i, v := range vms {
		s.hashes[i] = xxhash.Sum64String(v)
	}
	return s
}

// score is the weight of a VM for a role; the highest holds the role.
func score(role, vm uint64) uint64 {
	// The finalizer of MurmurHash3 spreads each bit of the two hashes.
	x := role ^ (vm * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Holder returns the VM that holds the role, or an empty string without VMs.
func (s Set) Holder(role string) string {
	roleHash := xxhash.Sum64String(role)
	best, bestScore := "", uint64(0)
	for i, h := range s.hashes {
		if x := score(roleHash, h); best == "" || x > bestScore {
			best, bestScore = s.names[i], x
		}
	}
	return best
}

// Holders returns the n VMs with the highest scores, best first, or fewer when
// there are not that many.
func (s Set) Holders(role string, n int) []string {
	roleHash := xxhash.Sum64String(role)
	order := make([]int, len(s.names))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		return score(roleHash, s.hashes[order[i]]) > score(roleHash, s.hashes[order[j]])
	})
	var out []string
	for _, i := range order[:min(n, len(order))] {
		out = append(out, s.names[i])
	}
	return out
}

// Holder returns the VM that holds one role among VMs sorted by name.
func Holder(role string, vms []string) string { return NewSet(vms).Holder(role) }

// Holders returns the n VMs with the highest scores for one role.
func Holders(role string, vms []string, n int) []string { return NewSet(vms).Holders(role, n) }
