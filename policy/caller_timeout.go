package policy

import (
	"math"
	"time"
)

const (
	// modelWindowJobs bounds the weight of a CallerTimeoutModel, so that it follows about this
	// many of the latest jobs.
	modelWindowJobs = 500
	// modelMinJobs is the weight below which a CallerTimeoutModel estimates no prior wait.
	modelMinJobs = 30
	// priorWaitSigmas is the number of standard deviations below the expected timeout at which
	// a caller must have waited before: few first requests state a timeout this short.
	priorWaitSigmas = 2.5
	// outlierWeight is the weight of a job beyond that bound. A burst of retries after an
	// outage hardly shifts the model; a lasting change of the timeouts shifts it eventually.
	outlierWeight = 0.05
)

// CallerTimeoutModel learns which timeout the callers of a queue state for a job with a given
// run time. A caller that retries states its remaining time, so a caller that was refused by
// another entry, or reached none, states less than others with such a job.
//
// The model is a linear regression of the logarithm of the timeout on that of the run time,
// with exponential decay: callers wait longer for longer jobs, and the variance grows with
// the timeout.
type CallerTimeoutModel struct {
	Weight float64 `json:"weight"`
	// MeanLogRunTime and MeanLogTimeout are the means of the logarithms of the expected run
	// time and the caller timeout in seconds; the others are their variances and covariance.
	MeanLogRunTime float64 `json:"needs"`
	MeanLogTimeout float64 `json:"stated"`
	VarLogRunTime  float64 `json:"needs_spread"`
	VarLogTimeout  float64 `json:"stated_spread"`
	Covariance     float64 `json:"covariance"`
}

// maxLogSeconds bounds the absolute value of the logarithm of a time.Duration in seconds.
const maxLogSeconds = 23

// Valid reports whether m can be the result of calls of Observe.
func (m *CallerTimeoutModel) Valid() bool {
	validMean := func(mean float64) bool { return math.Abs(mean) <= maxLogSeconds }
	validVariance := func(v float64) bool { return v >= 0 && v <= maxLogSeconds*maxLogSeconds }
	const rounding = 1e-6
	return m.Weight >= 0 && m.Weight <= modelWindowJobs && validMean(m.MeanLogRunTime) && validMean(m.MeanLogTimeout) &&
		validVariance(m.VarLogRunTime) && validVariance(m.VarLogTimeout) &&
		m.Covariance*m.Covariance <= (1+rounding)*m.VarLogRunTime*m.VarLogTimeout+rounding
}

// Observe updates the model with the expected run time of a job and its caller's timeout.
func (m *CallerTimeoutModel) Observe(runTime, timeout time.Duration) {
	if runTime <= 0 || timeout <= 0 {
		return
	}
	w := 1.0
	if m.Weight >= modelMinJobs && m.PriorWait(runTime, timeout) > 0 {
		w = outlierWeight
	}
	x, y := math.Log(runTime.Seconds()), math.Log(timeout.Seconds())
	m.Weight = min(m.Weight+w, modelWindowJobs)
	f := w / m.Weight
	dx, dy := x-m.MeanLogRunTime, y-m.MeanLogTimeout
	m.MeanLogRunTime += f * dx
	m.MeanLogTimeout += f * dy
	m.VarLogRunTime += f * (dx*(x-m.MeanLogRunTime) - m.VarLogRunTime)
	m.VarLogTimeout += f * (dy*(y-m.MeanLogTimeout) - m.VarLogTimeout)
	m.Covariance += f * (dx*(y-m.MeanLogTimeout) - m.Covariance)
}

// PriorWait returns a lower bound of the time for which the caller of a job has already
// waited, and 0 if this may be its first request.
func (m *CallerTimeoutModel) PriorWait(runTime, timeout time.Duration) time.Duration {
	if m.Weight < modelMinJobs || runTime <= 0 || timeout <= 0 {
		return 0
	}
	slope, variance := 0.0, m.VarLogTimeout
	if m.VarLogRunTime > 0 {
		slope = m.Covariance / m.VarLogRunTime
		variance -= slope * m.Covariance
	}
	minLog := m.MeanLogTimeout + slope*(math.Log(runTime.Seconds())-m.MeanLogRunTime) - priorWaitSigmas*math.Sqrt(max(variance, 0))
	return max(time.Duration(math.Exp(minLog)*float64(time.Second))-timeout, 0)
}
