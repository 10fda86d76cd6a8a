// Package rendezvous chooses by rendezvous hashing which of many peers a process connects
// to.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the addresses that node connects to. It ranks addresses by their
// rendezvous hash with node and returns the shortest prefix of the ranking that contains
// wanted addresses which are not down, but at most limit addresses. Addresses that are
// down stay in the list, so that they are retried. The result depends on the set of addresses, not on their
// order, and a new address changes the lists of few nodes.
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
