package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// SmallDeploymentEntries is the number of entries up to which every entry places its own jobs
	// and every agent serves all of them. More than that take the same room too often.
	SmallDeploymentEntries = 3
	// entriesPerPlacementEntry is the number of entries for each that places jobs beyond the
	// first. With fewer of them each has more endpoints to choose from; the loss of one
	// takes its agents out of service for the time that they need to notice it.
	entriesPerPlacementEntry = 6
	// minPlacementEntries is the least number of entries that place jobs.
	minPlacementEntries = 2
)

// Entry is an entry as it is listed.
type Entry struct {
	Address string
	Region  string
	// MilliCores is the processor share of its host.
	MilliCores uint32
}

// PlacementEntries returns the addresses of the entries that place jobs at the endpoints of a
// region: all of a few, and of many those on the largest hosts there. Where all of these
// are down, the next in rank take their place. Processes that know the same entries
// choose the same.
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
