package executor

import (
	"math"
	"time"
)

const (
	// speedMemory is the time constant of the average speed. Several runs execute at
	// once, so that a change of speed shows within half a second.
	speedTimeConstant = 700 * time.Millisecond
	// speedPrior is the run time with which an endpoint without samples counts as
	// working at the declared speed.
	speedPriorRunTime = 50 * time.Millisecond
	// failureWeight is the weight of the newest run in the share of failures.
	failureRateWeight = 0.15
	// maxSlowness bounds what is reported of an endpoint that makes no progress.
	maxSlowness = 50.0
)

// health keeps how slow the endpoint is and how often its runs fail.
type health struct {
	runSeconds      float64 // seconds that runs executed, decayed
	declaredSeconds float64 // declared seconds of work that they did in that time, decayed
	decayedAt       time.Time
	failureRate     float64 // share of runs that failed
}

// progress takes note that a run did the given declared work in the given time.
func (h *health) recordWork(worked, ran time.Duration, now time.Time) {
	if ran <= 0 {
		return
	}
	h.decay(now)
	h.declaredSeconds += worked.Seconds()
	h.runSeconds += ran.Seconds()
}

func (h *health) decay(now time.Time) {
	if !h.decayedAt.IsZero() {
		f := math.Exp(-float64(now.Sub(h.decayedAt)) / float64(speedTimeConstant))
		// The last knowledge is kept while nothing runs.
		if h.runSeconds*f > speedPriorRunTime.Seconds() {
			h.runSeconds *= f
			h.declaredSeconds *= f
		}
	}
	h.decayedAt = now
}

func (h *health) recordSuccess() { h.failureRate -= failureRateWeight * h.failureRate }

// failure takes note of a run that failed.
func (h *health) recordFailure() { h.failureRate += failureRateWeight * (1 - h.failureRate) }

// slowness returns the run time relative to the declared one.
func (h *health) slowness() float64 {
	prior := speedPriorRunTime.Seconds()
	return min((h.runSeconds+prior)/(h.declaredSeconds+prior), maxSlowness)
}

func (h *health) slownessPermille() uint32 { return uint32(h.slowness()*1000 + 0.5) }

func (h *health) failedPermille() uint32 { return uint32(h.failureRate*1000 + 0.5) }
