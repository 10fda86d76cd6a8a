package policy

import (
	"math"
	"time"
)

const (
	// modelWindowJobs is the number of jobs over which a CallerPatience forgets.
	modelWindowJobs = 500
	// modelMinJobs is the number of jobs from which a CallerPatience says anything.
	modelMinJobs = 30
	// priorWaitSigmas is how far below the expected patience, in standard deviations, a caller
	// has surely waited before: few callers who come for the first time are so impatient.
	priorWaitSigmas = 2.5
	// outlierWeight is the weight of a job beyond that bound. Many that return in a crowd
	// move the expectation little; a lasting change of the callers moves it in the end.
	outlierWeight = 0.05
)

// CallerTimeoutModel learns how long the callers of a queue wait for jobs of a given size. A caller
// that tries again states the time that is left to it, so that one who has been turned away
// elsewhere, or reached nobody, has less than others with such a job.
//
// It keeps decayed sums of the logarithms: callers wait longer for larger jobs, and the
// spread grows with the time.
type CallerTimeoutModel struct {
	Weight float64 `json:"weight"`
	// MeanLogRunTime and Stated are the means of the logarithms of the seconds that jobs are expected
	// to run and that their callers wait; the others are their variances and covariance.
	MeanLogRunTime float64 `json:"needs"`
	MeanLogTimeout float64 `json:"stated"`
	VarLogRunTime  float64 `json:"needs_spread"`
	VarLogTimeout  float64 `json:"stated_spread"`
	Covariance     float64 `json:"covariance"`
}

// Observe takes a job whose caller has stated how long it waits.
func (m *CallerTimeoutModel) Observe(needs, stated time.Duration) {
	if needs <= 0 || stated <= 0 {
		return
	}
	w := 1.0
	if m.Weight >= modelMinJobs && m.PriorWait(needs, stated) > 0 {
		w = outlierWeight
	}
	x, y := math.Log(needs.Seconds()), math.Log(stated.Seconds())
	m.Weight = min(m.Weight+w, modelWindowJobs)
	f := w / m.Weight
	dx, dy := x-m.MeanLogRunTime, y-m.MeanLogTimeout
	m.MeanLogRunTime += f * dx
	m.MeanLogTimeout += f * dy
	m.VarLogRunTime += f * (dx*(x-m.MeanLogRunTime) - m.VarLogRunTime)
	m.VarLogTimeout += f * (dy*(y-m.MeanLogTimeout) - m.VarLogTimeout)
	m.Covariance += f * (dx*(y-m.MeanLogTimeout) - m.Covariance)
}

// PriorWait returns the time for which the caller of a job has surely waited before, 0 if it may
// have come for the first time.
func (m *CallerTimeoutModel) PriorWait(needs, stated time.Duration) time.Duration {
	if m.Weight < modelMinJobs || needs <= 0 || stated <= 0 {
		return 0
	}
	slope, spread := 0.0, m.VarLogTimeout
	if m.VarLogRunTime > 0 {
		slope = m.Covariance / m.VarLogRunTime
		spread -= slope * m.Covariance
	}
	least := m.MeanLogTimeout + slope*(math.Log(needs.Seconds())-m.MeanLogRunTime) - priorWaitSigmas*math.Sqrt(max(spread, 0))
	return max(time.Duration(math.Exp(least)*float64(time.Second))-stated, 0)
}
