package policy

import (
	"math/rand/v2"
	"slices"
)

// PlacementCandidate is an entry that may place a job, and its room at the endpoints of the job's
// service in thousandths of a core.
type PlacementCandidate struct {
	Capacity uint64
	// Used is what runs use, Waiting what tasks wait for, and Sent what the jobs need
	// that it was sent since it said so.
	Used, Waiting, Sent uint64
	// NearData is set if an endpoint there is in the rack of the job's data.
	NearData bool
	// OtherRegion is set for an entry in another region, which gets a job only if none in this
	// region can run any.
	OtherRegion bool
	// Draining is set for an entry that will stop. It gets a job only if no other can run any.
	Draining bool
}

// load returns the demand relative to the capacity.
func (c *PlacementCandidate) load() float64 {
	return float64(c.Used+c.Waiting+c.Sent) / float64(c.Capacity)
}

// fullLoad is the load from which there is hardly any room. Up to it a candidate with an
// endpoint near the job's data, or one that stays, comes before the others.
const fullLoad = 0.9

// ChoosePlacementEntry returns the index of the candidate that gets a job: the less loaded of two that
// are drawn at random in proportion to their capacity. All entries that see the same
// loads would otherwise send their jobs to the same place until it says that it is full.
// ok is false when none has any capacity. tried is the index of one that has refused the
// job, or -1: the least loaded of the others is chosen then.
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
	drawn := []int{drawByCapacity(candidates, among, random)}
	if p.Uses(TwoChoices) {
		drawn = append(drawn, drawByCapacity(candidates, among, random))
	}
	return leastLoaded(candidates, drawn), true
}

// eligible returns the candidates with capacity among which the job is given: those in this
// region that stay; those that will stop as well where all that stay are full, as they are
// while agents move to them; those of other regions where there is none in this one.
func eligible(candidates []PlacementCandidate, tried int) []int {
	near := notDraining(candidates, func(i int) bool { return i != tried && !candidates[i].OtherRegion })
	if len(near) > 0 {
		return near
	}
	return notDraining(candidates, func(i int) bool { return i != tried && candidates[i].OtherRegion })
}

// notDraining returns the candidates that match and do not stop, with the others that match
// where all of them are full.
func notDraining(candidates []PlacementCandidate, match func(i int) bool) (among []int) {
	var leaving []int
	allFull := true
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Capacity == 0 || !match(i):
		case c.Draining:
			leaving = append(leaving, i)
		default:
			among = append(among, i)
			allFull = allFull && c.load() > fullLoad
		}
	}
	if allFull {
		among = append(among, leaving...)
	}
	return among
}

func leastLoaded(candidates []PlacementCandidate, among []int) int {
	best := among[0]
	for _, i := range among[1:] {
		if candidates[i].load() < candidates[best].load() {
			best = i
		}
	}
	return best
}

// drawByCapacity returns one of among, each with a probability in proportion to its capacity.
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
