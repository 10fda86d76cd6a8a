package load

import "time"

// FleetEndpoint is one live endpoint. Run times are divided by Speed.
type FleetEndpoint struct {
	Speed float64 `json:"speed"`
	Slots int     `json:"slots"`
}

// Fleet is the set of live endpoints of a service.
type Fleet []FleetEndpoint

// Capacity returns the seconds of work at speed 1 that the fleet completes per second.
func (f Fleet) Capacity() float64 {
	sum := 0.0
	for _, e := range f {
		sum += e.Speed * float64(e.Slots)
	}
	return sum
}

// Fastest returns the speed of the fastest endpoint, or zero without endpoints.
func (f Fleet) Fastest() float64 {
	best := 0.0
	for _, e := range f {
		best = max(best, e.Speed)
	}
	return best
}

// Ideal returns a lower bound of the response time to s on an otherwise idle fleet
// without network delay, as for a scheduler that knows all run times: the larger of
// the longest task on the fastest endpoint and the total work divided by the
// capacity. It returns zero for a fleet without endpoints.
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
