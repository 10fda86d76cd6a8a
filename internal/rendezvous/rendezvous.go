// Package rendezvous chooses which of many peers a process connects to.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the addresses to connect to: the first up of them in the order of
// their rendezvous hashes with node, where each one that is down adds the next in
// rank. Those that are down stay in the list, to be tried again. The list has at most
// most addresses. Any process that knows the same addresses gets the same list, and a
// new address changes the lists of few.
func Choose(node string, addresses []string, down map[string]bool, wanted, limit int) []string {
	ranked := slices.Clone(addresses)
	slices.Sort(ranked)
	ranked = slices.Compact(ranked)
	score := func(address string) uint64 { return xxhash.Sum64String(node + "|" + address) }
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	for i, address := range ranked {
		if !down[address] {
			wanted--
		}
		if wanted == 0 || i+1 == limit {
			return ranked[:i+1]
		}
	}
	return ranked
}
