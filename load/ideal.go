package load

import "time"

// FleetEndpoint is one live endpoint. Speed divides run times.
type FleetEndpoint struct {
	Speed float64 `json:"speed"`
	Slots int     `json:"slots"`
}

// Fleet is the set of live endpoints of a service.
type Fleet []FleetEndpoint

// Capacity returns the work at speed 1 that the fleet completes per second.
func (f Fleet) Capacity() float64 {
	sum := 0.0
	for _, e := range f {
		sum += e.Speed * float64(e.Slots)
	}
	return sum
}

// Fastest returns the highest speed.
func (f Fleet) Fastest() float64 {
	best := 0.0
	for _, e := range f {
		best = max(best, e.Speed)
	}
	return best
}

// Ideal returns the clairvoyant lower bound of the response time to s on an
// otherwise empty fleet with no network delay: the larger of the longest task on
// the fastest endpoint and the total work divided by the capacity. It returns
// zero for a fleet without endpoints.
func (f Fleet) Ideal(s Submission) time.Duration {
	fastest := f.Fastest()
	if fastest <= 0 || len(s.RunTimes) == 0 {
		return 0
	}
	longest := s.RunTimes[0]
	for _, r := range s.RunTimes {
		longest = max(longest, r)
	}
	taskBound := float64(longest) / fastest
	workBound := float64(s.Work()) / f.Capacity()
	return time.Duration(max(taskBound, workBound))
}
