// Package rendezvous assigns roles to entry VMs by rendezvous (highest random weight)
// hashing. VMs with the same member list compute the same holders without
// communication, and few roles move when a VM is added or removed.
package rendezvous

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Set holds VM names with their hashes, which saves hashing them for each role. It is
// immutable.
type Set struct {
	names  []string
	hashes []uint64
}

// NewSet returns a set of VMs. The names must be sorted, as the order breaks ties
// between equal scores.
func NewSet(vms []string) Set {
	s := Set{names: vms, hashes: make([]uint64, len(vms))}
	for i, vm := range vms {
		s.hashes[i] = xxhash.Sum64String(vm)
	}
	return s
}

// score returns the score of a VM for a role, given the hashes of both. The VM with the
// highest score holds the role.
func score(role, vm uint64) uint64 {
	// The finalizer of MurmurHash3 lets each bit of both hashes affect the whole score.
	x := role ^ (vm * 0x9e3779b97f4a7c15)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Holder returns the VM that holds a role, or "" if the set is empty.
func (s Set) Holder(role string) string {
	roleHash := xxhash.Sum64String(role)
	best, bestScore := "", uint64(0)
	for i, vmHash := range s.hashes {
		if x := score(roleHash, vmHash); best == "" || x > bestScore {
			best, bestScore = s.names[i], x
		}
	}
	return best
}

// Holders returns the n VMs with the highest scores for a role, highest first, or all
// VMs if there are fewer.
func (s Set) Holders(role string, n int) []string {
	roleHash := xxhash.Sum64String(role)
	ranking := make([]int, len(s.names))
	for i := range ranking {
		ranking[i] = i
	}
	sort.SliceStable(ranking, func(i, j int) bool {
		return score(roleHash, s.hashes[ranking[i]]) > score(roleHash, s.hashes[ranking[j]])
	})
	var holders []string
	for _, i := range ranking[:min(n, len(ranking))] {
		holders = append(holders, s.names[i])
	}
	return holders
}

// Len returns the number of VMs.
func (s Set) Len() int { return len(s.names) }

// Rank returns how many VMs have a higher score for a role than the given one. A VM that is not in
// the set ranks behind all others.
func (s Set) Rank(role, vm string) int {
	at, ok := slices.BinarySearch(s.names, vm)
	if !ok {
		return len(s.names)
	}
	roleHash := xxhash.Sum64String(role)
	own, rank := score(roleHash, s.hashes[at]), 0
	for i, vmHash := range s.hashes {
		if x := score(roleHash, vmHash); x > own || x == own && i < at {
			rank++
		}
	}
	return rank
}

// Holder returns the holder of a role among VMs, which must be sorted by name.
func Holder(role string, vms []string) string { return NewSet(vms).Holder(role) }

// Holders returns the n holders of a role among VMs, which must be sorted by name.
func Holders(role string, vms []string, n int) []string { return NewSet(vms).Holders(role, n) }
