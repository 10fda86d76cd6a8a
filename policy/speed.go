package policy

import "time"

const (
	// speedMargin is the factor by which a task may take longer than expected and still be in time. In
	// plays of a load of which declared run times are off by 40%, 1.15 to 1.25 served most jobs in time.
	speedMargin = 1.2
	// minSpeedRatio is the least ratio of the slowest to the fastest endpoint at which speeds differ
	// enough to matter; the measured slowness of equal endpoints varies by some percent.
	minSpeedRatio = 1.25
	// The fast endpoints count as scarce from scarceFrom, and fully from scarceAt, of their capacity
	// in use. With a scarceFrom of 0.5, tasks were late on slow endpoints at 0.7 of the capacity.
	scarceFrom, scarceAt = 0.7, 0.95
	// fastPremiumMillis is the cost of a fast endpoint beyond that of a slow one when the fast ones are
	// scarce. It exceeds spreadCostMillis, so that unequal use does not outweigh it.
	fastPremiumMillis = 2 * spreadCostMillis
)

// speedMatch is what SpeedMatch adds to the choice of an endpoint for a task. The zero value adds
// nothing.
type speedMatch struct {
	// weight, from 0 to 1, is the scarcity of fast endpoints.
	weight float64
	// fast is the slowness below which an endpoint is a fast one; 0 if the speeds do not differ.
	fast float64
	// slowMillis is the longest run time of the task on a slow endpoint that has free capacity and
	// where the task is in time with a margin; 0 if there is none.
	slowMillis float64
}

// speedMatch returns what is added for t. It is zero unless the endpoints differ in speed.
func (p Policy) speedMatch(endpoints []Endpoint, t *Task) (s speedMatch) {
	if !p.Uses(SpeedMatch) || t.Suspect || t.IsConfined() || len(t.Avoid) > 0 {
		return s
	}
	fastest, slowest := 0.0, 0.0
	for i := range endpoints {
		if e := &endpoints[i]; e.Available && !e.Confined {
			if fastest == 0 || e.Slowness < fastest {
				fastest = e.Slowness
			}
			slowest = max(slowest, e.Slowness)
		}
	}
	if fastest == 0 || slowest < minSpeedRatio*fastest {
		return s
	}
	s.fast = (fastest + slowest) / 2
	var free, capacity int64
	for i := range endpoints {
		if e := &endpoints[i]; e.Available && !e.Confined && e.Slowness < s.fast {
			free += max(e.Free.MilliCores, 0)
			capacity += int64(e.Capacity.MilliCores)
		}
	}
	used := 1 - float64(free)/float64(max(capacity, 1))
	if used <= scarceFrom {
		return s
	}
	for i := range endpoints {
		e := &endpoints[i]
		if e.Slowness < s.fast || !t.mayStartOn(endpoints, i) || !e.Free.Fits(t.Size) {
			continue
		}
		if d := t.RunTime(e); t.inTimeWithMargin(d) {
			s.slowMillis = max(s.slowMillis, float64(d)/float64(time.Millisecond))
		}
	}
	if s.slowMillis > 0 {
		s.weight = min((used-scarceFrom)/(scarceAt-scarceFrom), 1)
	}
	return s
}

// mayStartOn reports whether t may start on an endpoint once it has free capacity.
func (t *Task) mayStartOn(endpoints []Endpoint, i int) bool {
	e := &endpoints[i]
	return e.Available && !e.Confined && t.CanRunOn(e) && !t.atEndpointLimit(i)
}

// inTimeWithMargin reports whether t ends within its budget even if it takes longer than d by
// speedMargin.
func (t *Task) inTimeWithMargin(d time.Duration) bool {
	return speedMargin*float64(d) <= float64(t.Budget)
}

// costMillis is the cost that is added for c, a run on e. At full weight a fast endpoint comes after
// the slow ones where the task is in time with a margin.
func (s *speedMatch) costMillis(e *Endpoint, c Placement) float64 {
	if s.weight == 0 || e.Slowness >= s.fast {
		return 0
	}
	return s.weight * (max(s.slowMillis-float64(c.RunTime)/float64(time.Millisecond), 0) + fastPremiumMillis)
}

// SpeedDecision is how SpeedMatch has changed the choice of an endpoint.
type SpeedDecision uint8

// Speed decisions. The zero value means that it has not changed the choice.
const (
	// SpeedWait is a task that waits for a faster endpoint than those with free capacity.
	SpeedWait SpeedDecision = iota + 1
	// SpeedSlow is a task on a slow endpoint, where it is in time, while fast ones are scarce.
	SpeedSlow
)

// decision returns the decision for c, the endpoint with the least cost.
func (s *speedMatch) decision(endpoints []Endpoint, t *Task, c Placement) SpeedDecision {
	switch {
	case s.shouldWait(endpoints, t, c):
		return SpeedWait
	case s.weight > 0 && endpoints[c.Index].Slowness >= s.fast && t.inTimeWithMargin(c.RunTime):
		return SpeedSlow
	}
	return 0
}

// shouldWait reports whether t waits for a faster endpoint than that of c: it could be late there,
// and is in time on a faster one if capacity becomes free soon. The wait ends when it would be late
// on any.
func (s *speedMatch) shouldWait(endpoints []Endpoint, t *Task, c Placement) bool {
	if s.fast == 0 || t.inTimeWithMargin(c.RunTime) {
		return false
	}
	for i := range endpoints {
		if !t.mayStartOn(endpoints, i) {
			continue
		}
		if d := t.RunTime(&endpoints[i]); d <= t.Budget && minSpeedRatio*float64(d) <= float64(c.RunTime) {
			return true
		}
	}
	return false
}
