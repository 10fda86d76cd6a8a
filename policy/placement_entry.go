package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// PlacementCandidate is an entry that may place a job, with the load of the endpoints of the
// job's service there, in thousandths of a core.
type PlacementCandidate struct {
	Capacity uint64
	// Used is the capacity in use, Waiting the demand of the waiting tasks, and Sent the demand
	// of the jobs that were forwarded to the entry since it reported the other two.
	Used, Waiting, Sent uint64
	// NearData is set if one of its endpoints is in the rack of the job's data.
	NearData bool
	// OtherRegion is set for an entry in another region. It gets a job only if no entry in this
	// region can run jobs.
	OtherRegion bool
	// Draining is set for an entry that will stop. It gets a job only if all others are full or
	// cannot run jobs.
	Draining bool
	// Draw is a pseudo-random number between 0 and 1 that depends only on the job and the candidate.
	Draw float64
}

// JobDraw returns the Draw of an entry incarnation for a job.
func JobDraw(jobID, incarnation string) float64 {
	return (float64(xxhash.Sum64String(jobID+"|"+incarnation)>>11) + 0.5) / (1 << 53)
}

// rank orders the candidates for a job so that each comes first for a share of the jobs in
// proportion to its capacity (weighted rendezvous hashing).
func (c *PlacementCandidate) rank() float64 { return -math.Log(c.Draw) / float64(c.Capacity) }

// load returns the ratio of demand to capacity.
func (c *PlacementCandidate) load() float64 {
	return float64(c.Used+c.Waiting+c.Sent) / float64(c.Capacity)
}

// fullLoad is the load above which hardly any capacity is free. Up to it, candidates with an
// endpoint near the job's data and candidates that are not draining are preferred.
const fullLoad = 0.9

// ChoosePlacementEntry returns the index of the candidate that gets a job: the first that is not
// full in an order that depends on the job. Copies of a job that its caller resubmits to other
// entries meet at one placement entry, which joins them, and the jobs are spread in proportion to
// the capacities. Without ByJob it is the less loaded of two that are drawn at random (power of
// two choices). ok is false if no candidate has capacity. tried is the index of a candidate that
// has refused the job, or -1; after a refusal the least loaded of the others is chosen.
func (p Policy) ChoosePlacementEntry(candidates []PlacementCandidate, tried int, random *rand.Rand) (index int, ok bool) {
	among := eligible(candidates, tried)
	if len(among) == 0 {
		return 0, false
	}
	if data := slices.DeleteFunc(slices.Clone(among), func(i int) bool {
		return !candidates[i].NearData || candidates[i].load() > fullLoad
	}); len(data) > 0 {
		among = data
	}
	if tried >= 0 {
		return leastLoaded(candidates, among), true
	}
	if p.Uses(ByJob) {
		return firstNotFull(candidates, among), true
	}
	drawn := []int{drawByCapacity(candidates, among, random)}
	if p.Uses(TwoChoices) {
		drawn = append(drawn, drawByCapacity(candidates, among, random))
	}
	return leastLoaded(candidates, drawn), true
}

// eligible returns the candidates with capacity that may get the job: those in this region, or
// those of other regions if there are none. Draining ones are included only if all others are
// full, which is the case while agents are still moving to the entries that replace them.
func eligible(candidates []PlacementCandidate, tried int) []int {
	near := notDraining(candidates, func(i int) bool { return i != tried && !candidates[i].OtherRegion })
	if len(near) > 0 {
		return near
	}
	return notDraining(candidates, func(i int) bool { return i != tried && candidates[i].OtherRegion })
}

// notDraining returns the matching candidates that are not draining, and the draining ones as
// well if all of these are full.
func notDraining(candidates []PlacementCandidate, match func(i int) bool) (among []int) {
	var draining []int
	allFull := true
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Capacity == 0 || !match(i):
		case c.Draining:
			draining = append(draining, i)
		default:
			among = append(among, i)
			allFull = allFull && c.load() > fullLoad
		}
	}
	if allFull {
		among = append(among, draining...)
	}
	return among
}

// firstNotFull returns the first of among by rank that is not full, or the first one if all are.
func firstNotFull(candidates []PlacementCandidate, among []int) int {
	slices.SortFunc(among, func(a, b int) int { return cmp.Compare(candidates[a].rank(), candidates[b].rank()) })
	for _, i := range among {
		if candidates[i].load() <= fullLoad {
			return i
		}
	}
	return among[0]
}

// leastLoaded returns the least loaded of among, and of several the first by rank.
func leastLoaded(candidates []PlacementCandidate, among []int) int {
	return slices.MinFunc(among, func(a, b int) int {
		return cmp.Or(cmp.Compare(candidates[a].load(), candidates[b].load()), cmp.Compare(candidates[a].rank(), candidates[b].rank()))
	})
}

// drawByCapacity draws one of among, with probabilities in proportion to the capacities.
func drawByCapacity(candidates []PlacementCandidate, among []int, random *rand.Rand) int {
	var total uint64
	for _, i := range among {
		total += candidates[i].Capacity
	}
	x := random.Uint64N(total)
	for _, i := range among {
		if x < candidates[i].Capacity {
			return i
		}
		x -= candidates[i].Capacity
	}
	return among[len(among)-1]
}
