package policy

import (
	"math"
	"time"
)

const (
	// patienceMemory is the number of jobs over which a CallerPatience forgets.
	patienceMemory = 500
	// patienceLeast is the number of jobs from which a CallerPatience says anything.
	patienceLeast = 30
	// patienceBound is how far below the expected patience, in standard deviations, a caller
	// has surely waited before: few callers who come for the first time are so impatient.
	patienceBound = 2.5
	// outlierWeight is the weight of a job beyond that bound. Many that return in a crowd
	// move the expectation little; a lasting change of the callers moves it in the end.
	outlierWeight = 0.05
)

// CallerPatience learns how long the callers of a queue wait for jobs of a given size. A caller
// that tries again states the time that is left to it, so that one who has been turned away
// elsewhere, or reached nobody, has less than others with such a job.
//
// It keeps decayed sums of the logarithms: callers wait longer for larger jobs, and the
// spread grows with the time.
type CallerPatience struct {
	Weight float64 `json:"weight"`
	// Needs and Stated are the means of the logarithms of the seconds that jobs are expected
	// to run and that their callers wait; the others are their variances and covariance.
	Needs        float64 `json:"needs"`
	Stated       float64 `json:"stated"`
	NeedsSpread  float64 `json:"needs_spread"`
	StatedSpread float64 `json:"stated_spread"`
	Covariance   float64 `json:"covariance"`
}

// Observe takes a job whose caller has stated how long it waits.
func (m *CallerPatience) Observe(needs, stated time.Duration) {
	if needs <= 0 || stated <= 0 {
		return
	}
	w := 1.0
	if m.Weight >= patienceLeast && m.Age(needs, stated) > 0 {
		w = outlierWeight
	}
	x, y := math.Log(needs.Seconds()), math.Log(stated.Seconds())
	m.Weight = min(m.Weight+w, patienceMemory)
	f := w / m.Weight
	dx, dy := x-m.Needs, y-m.Stated
	m.Needs += f * dx
	m.Stated += f * dy
	m.NeedsSpread += f * (dx*(x-m.Needs) - m.NeedsSpread)
	m.StatedSpread += f * (dy*(y-m.Stated) - m.StatedSpread)
	m.Covariance += f * (dx*(y-m.Stated) - m.Covariance)
}

// Age returns the time for which the caller of a job has surely waited before, 0 if it may
// have come for the first time.
func (m *CallerPatience) Age(needs, stated time.Duration) time.Duration {
	if m.Weight < patienceLeast || needs <= 0 || stated <= 0 {
		return 0
	}
	slope, spread := 0.0, m.StatedSpread
	if m.NeedsSpread > 0 {
		slope = m.Covariance / m.NeedsSpread
		spread -= slope * m.Covariance
	}
	least := m.Stated + slope*(math.Log(needs.Seconds())-m.Needs) - patienceBound*math.Sqrt(max(spread, 0))
	return max(time.Duration(math.Exp(least)*float64(time.Second))-stated, 0)
}
