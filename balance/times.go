package balance

import (
	"math"
	"time"
)

// Learning of run times.
const (
	// slowWeight is the weight of a new sample in the average that is normally
	// used. Run times of a kind vary, and a noisy average makes equal endpoints
	// look different, so that tasks queue at one while others are idle.
	slowWeight = 0.03
	// fastWeight is that of the average that notices a change of speed: it
	// replaces the slow one when they differ by more than changeFactor.
	fastWeight   = 0.2
	changeFactor = 2.0
	// minSamples is the number of samples after which the average of an
	// endpoint replaces the estimate from other endpoints or the declaration.
	minSamples = 3
	// slowDecay lets the slowest run time of a kind shrink per sample.
	slowDecay = 0.995
	// staleAfter is the age of the last sample from which the estimate of a slow
	// endpoint returns towards the kind's mean, so that it is tried again.
	staleAfter = 10 * time.Second
	// untriedShare of the typical run time is assumed for the choice of an endpoint
	// without enough samples. With the typical time itself, an endpoint that is
	// faster than the declaration would be chosen for ever and the others never tried.
	untriedShare = 0.5
	// Until an endpoint has settledSamples samples, it counts for the choice with
	// at most leastFactor times its shortest run. One delayed sample among the
	// first makes the mean of a fast endpoint look slow, and an endpoint that is
	// not chosen gets no sample that corrects it.
	settledSamples = 10
	leastFactor    = 1.5
	// unknownRun is assumed when nothing was declared or learned.
	unknownRun = 100 * time.Millisecond
)

// KindTimes learns the run times of one kind over all endpoints.
type KindTimes struct {
	mean     average
	variance float64 // moving average of squared deviations, ns²
	slow     float64 // decayed slowest run time in ns
}

// EndpointTimes learns the run times of one kind at one endpoint.
type EndpointTimes struct {
	mean  average
	least float64 // shortest run time in ns; zero without samples
	last  time.Time
}

// average is an exponential moving average, whose first samples weigh equally.
type average struct {
	value float64 // ns
	fast  float64 // ns
	n     int
}

func (a *average) add(x float64) {
	a.n++
	a.value += (x - a.value) * max(slowWeight, 1/float64(a.n))
	a.fast += (x - a.fast) * max(fastWeight, 1/float64(a.n))
	if a.fast > changeFactor*a.value || a.value > changeFactor*a.fast {
		// The older samples say nothing about the new speed.
		a.value, a.n = a.fast, 1/fastWeight
	}
}

// Learn records the run time of a completed task.
func (k *KindTimes) Learn(e *EndpointTimes, run time.Duration, now time.Time) {
	x := float64(max(run, time.Microsecond))
	deviation := x - k.mean.value
	k.mean.add(x)
	if k.mean.n > 1 {
		k.variance += (deviation*deviation - k.variance) * max(slowWeight, 1/float64(k.mean.n))
	}
	k.slow = max(x, k.slow*slowDecay)
	e.mean.add(x)
	if e.least == 0 || x < e.least {
		e.least = x
	}
	e.last = now
}

// LearnFailure records a failed task. It counts as the slowest run time of the
// kind, so that an endpoint that fails everything fast doesn't attract work.
func (k *KindTimes) LearnFailure(e *EndpointTimes, declared time.Duration, now time.Time) {
	x := max(k.slow, float64(k.Typical(declared)))
	e.mean.add(x)
	e.last = now
}

// Excess returns by how much the slowest of n tasks is expected to exceed the
// mean run time. It is the expected maximum of n normal deviates, an upper
// estimate for the bounded run times of a kind.
func (k *KindTimes) Excess(n int) time.Duration {
	if n < 2 || !k.Learned() {
		return 0
	}
	return time.Duration(math.Sqrt(2 * math.Log(float64(n)) * k.variance))
}

// Learned reports whether enough samples replace the declared run time.
func (k *KindTimes) Learned() bool { return k.mean.n >= minSamples }

// Typical returns the expected run time over all endpoints. The declared time
// is used only until enough samples are known.
func (k *KindTimes) Typical(declared time.Duration) time.Duration {
	switch {
	case k.Learned():
		return time.Duration(k.mean.value)
	case declared > 0:
		return declared
	default:
		return unknownRun
	}
}

// Expect returns the expected run time at one endpoint. waiting is the age of
// the oldest task that is still running there: a straggler shows by it before
// its first late result.
func (k *KindTimes) Expect(e *EndpointTimes, declared, waiting time.Duration, now time.Time) time.Duration {
	typical := k.Typical(declared)
	run := typical
	if e.mean.n >= minSamples {
		run = time.Duration(e.mean.value)
	}
	if run > typical {
		if age := now.Sub(e.last); age > staleAfter {
			run = typical + time.Duration(float64(run-typical)*float64(staleAfter)/float64(age))
		}
	}
	if waiting > 2*run && waiting > time.Duration(k.slow) {
		run = waiting
	}
	return max(run, time.Microsecond)
}

// ExpectForChoice returns the run time by which endpoints are compared. It is
// that of Expect, but optimistic for an endpoint that has few samples.
func (k *KindTimes) ExpectForChoice(e *EndpointTimes, declared, waiting time.Duration, now time.Time) time.Duration {
	run := k.Expect(e, declared, waiting, now)
	if e.mean.n < minSamples && waiting < run {
		return max(time.Duration(untriedShare*float64(run)), time.Microsecond)
	}
	if e.mean.n < settledSamples && e.least > 0 && waiting < run {
		return min(run, time.Duration(leastFactor*e.least))
	}
	return run
}
