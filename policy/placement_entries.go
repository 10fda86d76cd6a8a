package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oriolerelay/wire"
)

const (
	// SmallDeploymentEntries is the number of entries up to which every entry places its own jobs
	// and every agent serves all entries. With more, entries claim the same free capacity too
	// often.
	SmallDeploymentEntries = 3
	// entriesPerPlacementEntry is the number of entries per placement entry beyond the first.
	// Fewer placement entries give each more endpoints to choose from, but the loss of one
	// takes its agents out of service until they detect it.
	entriesPerPlacementEntry = 6
	// minPlacementEntries is the least number of placement entries.
	minPlacementEntries = 2
)

// Entry is an entry of the deployment, as published in the entry list.
type Entry struct {
	Address string
	Region  string
	// MilliCores is the processor capacity of its host, in thousandths of a core.
	MilliCores uint32
	// Wanted holds what the entry needs of agents that do not serve it.
	Wanted []wire.TaskRequirement
}

// PlacementEntries returns the addresses of the entries that place jobs at the endpoints of a
// region: all entries of a small deployment, otherwise those on the largest hosts of the
// region. If all of these are down, the next in rank are added. The result depends only on
// the arguments, so processes that know the same entries choose the same ones.
func PlacementEntries(entries []Entry, region string, down map[string]bool) []string {
	ranked := slices.Clone(entries)
	if len(entries) > SmallDeploymentEntries {
		ranked = slices.DeleteFunc(ranked, func(e Entry) bool { return e.Region != region })
	}
	if len(ranked) == 0 { // a region without entries
		ranked = slices.Clone(entries)
	}
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(b.MilliCores, a.MilliCores),
			cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)),
			cmp.Compare(a.Address, b.Address),
		)
	})
	n := len(ranked)
	if n > SmallDeploymentEntries {
		n = max(minPlacementEntries, 1+n/entriesPerPlacementEntry)
	}
	var chosen []string
	for from := 0; from < len(ranked); from += n {
		up := false
		for _, e := range ranked[from:min(from+n, len(ranked))] {
			chosen = append(chosen, e.Address)
			up = up || !down[e.Address]
		}
		if up {
			break
		}
	}
	return chosen
}
