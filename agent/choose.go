package agent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxEntries bounds the entries that an agent keeps connections to.
const maxEntries = 8

// chooseEntries returns the addresses to keep connections to: the maxEntries
// that rank highest by rendezvous hashing with node, where each one that is down
// adds the next in rank. Those that are down stay in the list, to be tried again.
func chooseEntries(node string, all []string, down map[string]bool) []string {
	ranked := slices.Clone(all)
	slices.Sort(ranked)
	ranked = slices.Compact(ranked)
	score := func(address string) uint64 { return xxhash.Sum64String(node + "|" + address) }
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	up := 0
	for i, address := range ranked {
		if !down[address] {
			up++
		}
		if up == maxEntries || i+1 == 2*maxEntries {
			return ranked[:i+1]
		}
	}
	return ranked
}
