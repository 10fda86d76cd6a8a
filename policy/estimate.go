package policy

import (
	"slices"
	"time"
)

// Release is the capacity that becomes free when a run ends.
type Release struct {
	After time.Duration
	Cores float64
}

// Releases predicts when capacity becomes free.
type Releases struct {
	releases   []Release // by After
	totalCores float64
}

// NewReleases returns the releases of the given runs. It sorts releases in place.
func NewReleases(releases []Release) Releases {
	slices.SortFunc(releases, func(a, b Release) int { return int(a.After - b.After) })
	r := Releases{releases: releases}
	for _, e := range releases {
		r.totalCores += e.Cores
	}
	return r
}

// TimeUntilFree returns the time until the given number of cores has become free. Beyond the
// known runs it assumes that their successors take as long. ok is false if no run is known.
func (r Releases) TimeUntilFree(cores float64) (after time.Duration, ok bool) {
	if r.totalCores <= 0 {
		return 0, false
	}
	rounds := time.Duration(cores / r.totalCores)
	cores -= float64(rounds) * r.totalCores
	last := r.releases[len(r.releases)-1].After
	for _, e := range r.releases {
		if cores <= 0 {
			break
		}
		after = e.After
		cores -= e.Cores
	}
	return after + rounds*last, true
}

// overdueRemainingShare is the least remaining time that is assumed for a run, as a share of
// its expected run time; it applies to runs that take longer than expected.
const overdueRemainingShare = 0.25

// RemainingRunTime returns the expected remaining run time of a run.
func RemainingRunTime(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, time.Duration(overdueRemainingShare*float64(expected)))
}

// MeanSlowness returns the capacity-weighted mean slowness of the available endpoints. It
// returns 1 if there are none: the job then waits as if no capacity were free, since after a
// restart the agents connect within milliseconds.
func MeanSlowness(endpoints []Endpoint) float64 {
	var sum, weight float64
	for i := range endpoints {
		if e := &endpoints[i]; e.Available {
			// Speeds are additive, so this is the harmonic mean of the slowness.
			sum += float64(e.Capacity.MilliCores) / e.Slowness
			weight += float64(e.Capacity.MilliCores)
		}
	}
	if sum == 0 {
		return 1
	}
	return weight / sum
}
