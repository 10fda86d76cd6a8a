package policy

import "time"

// waitFor is how long work takes at a rate; 0 while the rate is not known.
func waitFor(work, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// TypicalSlowness returns the capacity-weighted mean slowness of the open
// endpoints, 1 when there are none. A job that finds no endpoint waits like one that
// finds no room: after a restart the agents connect within milliseconds.
func TypicalSlowness(endpoints []Endpoint) float64 {
	var sum, weight float64
	for i := range endpoints {
		if e := &endpoints[i]; e.Open {
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
