package executor

import (
	"math"
	"time"
)

const (
	// speedTimeConstant is the time constant of the decaying average speed. Several runs
	// execute at once, so a change of speed shows within half a second.
	speedTimeConstant = 700 * time.Millisecond
	// speedPriorRunTime is the run time at the declared speed that is assumed of an endpoint
	// without samples.
	speedPriorRunTime = 50 * time.Millisecond
	// failureRateWeight is the weight of the newest run in the moving average of failures.
	failureRateWeight = 0.15
	// maxSlowness bounds the reported slowness of an endpoint that makes no progress.
	maxSlowness = 50.0
)

// health tracks how slow the endpoint is and how often its runs fail.
type health struct {
	runSeconds      float64 // actual run time, decayed
	declaredSeconds float64 // declared run time of the work done meanwhile, decayed
	decayedAt       time.Time
	failureRate     float64 // moving average
}

// recordWork records that a run did the given declared work in the given run time.
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
		// The last estimate is kept while nothing runs.
		if h.runSeconds*f > speedPriorRunTime.Seconds() {
			h.runSeconds *= f
			h.declaredSeconds *= f
		}
	}
	h.decayedAt = now
}

func (h *health) recordSuccess() { h.failureRate -= failureRateWeight * h.failureRate }

func (h *health) recordFailure() { h.failureRate += failureRateWeight * (1 - h.failureRate) }

// slowness returns the ratio of the actual to the declared run time.
func (h *health) slowness() float64 {
	prior := speedPriorRunTime.Seconds()
	return min((h.runSeconds+prior)/(h.declaredSeconds+prior), maxSlowness)
}

func (h *health) slownessPermille() uint32 { return uint32(h.slowness()*1000 + 0.5) }

func (h *health) failedPermille() uint32 { return uint32(h.failureRate*1000 + 0.5) }
