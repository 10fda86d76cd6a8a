package policy

import (
	"slices"
	"time"
)

// Release is room that becomes free when a run ends.
type Release struct {
	After time.Duration
	Cores float64
}

// Releases tell when room becomes free, in the order of time.
type Releases struct {
	ascending  []Release
	totalCores float64
}

// NewReleases returns the releases of runs that end one after the other. It sorts ends.
func NewReleases(ends []Release) Releases {
	slices.SortFunc(ends, func(a, b Release) int { return int(a.After - b.After) })
	r := Releases{ascending: ends}
	for _, e := range ends {
		r.totalCores += e.Cores
	}
	return r
}

// TimeUntilFree returns the time after which the given cores have become free. Beyond the runs that
// are known, it assumes that those that follow them take as long. ok is false while nothing
// is known to run.
func (r Releases) TimeUntilFree(cores float64) (after time.Duration, ok bool) {
	if r.totalCores <= 0 {
		return 0, false
	}
	rounds := time.Duration(cores / r.totalCores)
	cores -= float64(rounds) * r.totalCores
	last := r.ascending[len(r.ascending)-1].After
	for _, e := range r.ascending {
		if cores <= 0 {
			break
		}
		after = e.After
		cores -= e.Cores
	}
	return after + rounds*last, true
}

// overdueRemainingShare is the rest that a run is expected to take, as a share of its expected run
// time, once it has taken longer.
const overdueRemainingShare = 0.25

// RemainingRunTime returns the expected rest of a run.
func RemainingRunTime(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, time.Duration(overdueRemainingShare*float64(expected)))
}

// MeanSlowness returns the capacity-weighted mean slowness of the open
// endpoints, 1 when there are none. A job that finds no endpoint waits like one that
// finds no room: after a restart the agents connect within milliseconds.
func MeanSlowness(endpoints []Endpoint) float64 {
	var sum, weight float64
	for i := range endpoints {
		if e := &endpoints[i]; e.Available {
			// Speeds add up, so the mean is taken over speeds.
			sum += float64(e.Capacity.MilliCores) / e.Slowness
			weight += float64(e.Capacity.MilliCores)
		}
	}
	if sum == 0 {
		return 1
	}
	return weight / sum
}
