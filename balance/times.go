package balance

import (
	"math"
	"time"
)

// Learning of run times.
const (
	// meanWeight is the weight of a new sample in the average that is normally
	// used. Run times of a kind vary, and a noisy average makes equal endpoints
	// look different, so that tasks queue at one while others are idle.
	meanWeight = 0.03
	// recentWeight is that of the average that notices a change of speed: it
	// replaces the slow one when they differ by more than changeFactor.
	recentWeight      = 0.2
	speedChangeFactor = 2.0
	// minSamples is the number of samples after which the average of an
	// endpoint replaces the estimate from other endpoints or the declaration.
	minSamples = 3
	// slowestDecay lets the slowest run time of a kind shrink per sample.
	slowestDecay = 0.995
	// staleSampleAge is the age of the last sample from which the estimate of a slow
	// endpoint returns towards the kind's mean, so that it is tried again.
	staleSampleAge = 10 * time.Second
	// untriedFactor of the typical run time is assumed for the choice of an endpoint
	// without enough samples. With the typical time itself, an endpoint that is
	// faster than the declaration would be chosen for ever and the others never tried.
	untriedFactor = 0.5
	// Until an endpoint has stableSamples samples, it counts for the choice with
	// at most leastFactor times its shortest run. One delayed sample among the
	// first makes the mean of a fast endpoint look slow, and an endpoint that is
	// not chosen gets no sample that corrects it.
	stableSamples   = 10
	maxOverShortest = 1.5
	// defaultRunTime is assumed when nothing was declared or learned.
	defaultRunTime = 100 * time.Millisecond
)

// KindRunTimes learns the run times of one kind over all endpoints.
type KindRunTimes struct {
	mean     movingAverage
	variance float64 // moving average of squared deviations, ns²
	slowest  float64 // decayed slowest run time in ns
}

// EndpointRunTimes learns the run times of one kind at one endpoint.
type EndpointRunTimes struct {
	mean     movingAverage
	shortest float64 // shortest run time in ns; zero without samples
	last     time.Time
}

// movingAverage is an exponential moving movingAverage, whose first samples weigh equally.
type movingAverage struct {
	value   float64 // ns
	recent  float64 // ns
	samples int
}

func (a *movingAverage) add(x float64) {
	a.samples++
	a.value += (x - a.value) * max(meanWeight, 1/float64(a.samples))
	a.recent += (x - a.recent) * max(recentWeight, 1/float64(a.samples))
	if a.recent > speedChangeFactor*a.value || a.value > speedChangeFactor*a.recent {
		// The older samples say nothing about the new speed.
		a.value, a.samples = a.recent, 1/recentWeight
	}
}

// RecordRunTime records the run time of a completed task.
func (k *KindRunTimes) RecordRunTime(e *EndpointRunTimes, run time.Duration, now time.Time) {
	x := float64(max(run, time.Microsecond))
	deviation := x - k.mean.value
	k.mean.add(x)
	if k.mean.samples > 1 {
		k.variance += (deviation*deviation - k.variance) * max(meanWeight, 1/float64(k.mean.samples))
	}
	k.slowest = max(x, k.slowest*slowestDecay)
	e.mean.add(x)
	if e.shortest == 0 || x < e.shortest {
		e.shortest = x
	}
	e.last = now
}

// RecordFailure records a failed task. It counts as the slowest run time of the
// kind, so that an endpoint that fails everything fast doesn't attract work.
func (k *KindRunTimes) RecordFailure(e *EndpointRunTimes, declared time.Duration, now time.Time) {
	x := max(k.slowest, float64(k.TypicalRunTime(declared)))
	e.mean.add(x)
	e.last = now
}

// SlowestExcess returns by how much the slowest of n tasks is expected to exceed the
// mean run time. It is the expected maximum of n normal deviates, an upper
// estimate for the bounded run times of a kind.
func (k *KindRunTimes) SlowestExcess(n int) time.Duration {
	if n < 2 || !k.HasEnoughSamples() {
		return 0
	}
	return time.Duration(math.Sqrt(2 * math.Log(float64(n)) * k.variance))
}

// HasEnoughSamples reports whether enough samples replace the declared run time.
func (k *KindRunTimes) HasEnoughSamples() bool { return k.mean.samples >= minSamples }

// TypicalRunTime returns the expected run time over all endpoints. The declared time
// is used only until enough samples are known.
func (k *KindRunTimes) TypicalRunTime(declared time.Duration) time.Duration {
	switch {
	case k.HasEnoughSamples():
		return time.Duration(k.mean.value)
	case declared > 0:
		return declared
	default:
		return defaultRunTime
	}
}

// ExpectedRunTime returns the expected run time at one endpoint. waiting is the age of
// the oldest task that is still running there: a straggler shows by it before
// its first late result.
func (k *KindRunTimes) ExpectedRunTime(e *EndpointRunTimes, declared, waiting time.Duration, now time.Time) time.Duration {
	typical := k.TypicalRunTime(declared)
	run := typical
	if e.mean.samples >= minSamples {
		run = time.Duration(e.mean.value)
	}
	if run > typical {
		if age := now.Sub(e.last); age > staleSampleAge {
			run = typical + time.Duration(float64(run-typical)*float64(staleSampleAge)/float64(age))
		}
	}
	if waiting > 2*run && waiting > time.Duration(k.slowest) {
		run = waiting
	}
	return max(run, time.Microsecond)
}

// RunTimeForPlacement returns the run time by which endpoints are compared. It is
// that of Expect, but optimistic for an endpoint that has few samples.
func (k *KindRunTimes) RunTimeForPlacement(e *EndpointRunTimes, declared, waiting time.Duration, now time.Time) time.Duration {
	run := k.ExpectedRunTime(e, declared, waiting, now)
	if e.mean.samples < minSamples && waiting < run {
		return max(time.Duration(untriedFactor*float64(run)), time.Microsecond)
	}
	if e.mean.samples < stableSamples && e.shortest > 0 && waiting < run {
		return min(run, time.Duration(maxOverShortest*e.shortest))
	}
	return run
}
