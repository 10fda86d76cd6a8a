package balance

import (
	"math"
	"time"
)

// Parameters of the run time estimates.
const (
	// meanWeight is the weight of a new sample in the mean run time. Run times of a
	// kind vary, and a noisy mean makes equal endpoints look different, so that tasks
	// queue at one while others are idle.
	meanWeight = 0.03
	// recentWeight is the weight of a new sample in the recent average, which detects
	// a change of speed: it replaces the mean when the two differ by more than
	// speedChangeFactor.
	recentWeight      = 0.2
	speedChangeFactor = 2.0
	// minSamples is the number of samples from which the mean of an endpoint replaces
	// the estimate from other endpoints or the declared run time.
	minSamples = 3
	// slowestDecay is the factor by which the slowest run time of a kind decays with
	// each sample.
	slowestDecay = 0.995
	// staleSampleAge is the age of the last sample beyond which the estimate for a slow
	// endpoint moves back towards the mean of the kind, so that the endpoint is tried again.
	staleSampleAge = 10 * time.Second
	// untriedFactor times the typical run time is assumed in the placement for an
	// endpoint without enough samples. With a factor of 1, an endpoint that is faster
	// than the declared run time would always be chosen and the others never tried.
	untriedFactor = 0.5
	// Until an endpoint has stableSamples samples, the placement assumes at most
	// maxOverShortest times its shortest run time. One delayed sample among the first
	// makes a fast endpoint look slow, and an endpoint that is not chosen gets no
	// samples that correct its mean.
	stableSamples   = 10
	maxOverShortest = 1.5
	// An endpoint with fewer than stableSamples samples is measured anew once, after
	// remeasureInterval samples of the kind for each endpoint since its last one. All of
	// its first samples may have been delayed, for example by the start of its process.
	// The interval limits the share of tasks that endpoints found to be slow get.
	remeasureInterval = 4
	// defaultRunTime is assumed without enough samples or a declared run time.
	defaultRunTime = 100 * time.Millisecond
)

// KindRunTimes estimates the run times of one kind over all endpoints.
type KindRunTimes struct {
	mean     movingAverage
	variance float64 // moving average of squared deviations, ns²
	slowest  float64 // decayed slowest run time in ns
	// samples and endpoints count the samples and the endpoints that have any.
	samples, endpoints int
}

// EndpointRunTimes estimates the run times of one kind at one endpoint.
type EndpointRunTimes struct {
	mean     movingAverage
	shortest float64 // shortest run time in ns; 0 without samples
	last     time.Time
	// lastSample is KindRunTimes.samples at the last sample.
	lastSample int
	remeasured bool
}

// movingAverage is an exponentially weighted moving average whose first samples have
// equal weight. It adapts quickly to a change of speed.
type movingAverage struct {
	value   float64 // ns
	recent  float64 // average of the latest samples, ns
	samples int
}

func (a *movingAverage) add(x float64) {
	a.samples++
	a.value += (x - a.value) * max(meanWeight, 1/float64(a.samples))
	a.recent += (x - a.recent) * max(recentWeight, 1/float64(a.samples))
	if a.recent > speedChangeFactor*a.value || a.value > speedChangeFactor*a.recent {
		// Samples from before the change of speed no longer apply.
		a.value, a.samples = a.recent, 1/recentWeight
	}
}

// RecordRunTime records the run time of a completed task.
func (k *KindRunTimes) RecordRunTime(e *EndpointRunTimes, runTime time.Duration, now time.Time) {
	ns := float64(max(runTime, time.Microsecond))
	deviation := ns - k.mean.value
	k.mean.add(ns)
	if k.mean.samples > 1 {
		k.variance += (deviation*deviation - k.variance) * max(meanWeight, 1/float64(k.mean.samples))
	}
	k.slowest = max(ns, k.slowest*slowestDecay)
	if k.isRemeasurementDue(e) {
		e.mean, e.shortest, e.remeasured = movingAverage{}, 0, true
	}
	if e.lastSample == 0 {
		k.endpoints++
	}
	k.samples++
	e.lastSample = k.samples
	e.mean.add(ns)
	if e.shortest == 0 || ns < e.shortest {
		e.shortest = ns
	}
	e.last = now
}

// isRemeasurementDue reports whether the samples of e are few and old, so that they are to
// be replaced.
func (k *KindRunTimes) isRemeasurementDue(e *EndpointRunTimes) bool {
	return !e.remeasured && e.lastSample > 0 && e.mean.samples >= minSamples && e.mean.samples < stableSamples &&
		k.samples-e.lastSample >= remeasureInterval*k.endpoints
}

// RecordFailure records a failed task. It counts as a sample with the slowest run time
// of the kind, so that an endpoint whose tasks fail fast doesn't attract more tasks.
func (k *KindRunTimes) RecordFailure(e *EndpointRunTimes, declared time.Duration, now time.Time) {
	ns := max(k.slowest, float64(k.TypicalRunTime(declared)))
	e.mean.add(ns)
	e.last = now
}

// SlowestExcess returns by how much the run time of the slowest of n tasks is expected
// to exceed the mean. It uses the expected maximum of n normal deviates, which is an
// upper estimate, since the run times of a kind are bounded.
func (k *KindRunTimes) SlowestExcess(n int) time.Duration {
	if n < 2 || !k.HasEnoughSamples() {
		return 0
	}
	return time.Duration(math.Sqrt(2 * math.Log(float64(n)) * k.variance))
}

// HasEnoughSamples reports whether there are enough samples to replace the declared run
// time.
func (k *KindRunTimes) HasEnoughSamples() bool { return k.mean.samples >= minSamples }

// TypicalRunTime returns the expected run time over all endpoints. The declared run time
// is used only until there are enough samples.
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

// ExpectedRunTime returns the expected run time at one endpoint. oldestRunning is the age
// of the oldest task that is still running there, which reveals a straggler before its
// first late result.
func (k *KindRunTimes) ExpectedRunTime(e *EndpointRunTimes, declared, oldestRunning time.Duration, now time.Time) time.Duration {
	typical := k.TypicalRunTime(declared)
	runTime := typical
	if e.mean.samples >= minSamples {
		runTime = time.Duration(e.mean.value)
	}
	if runTime > typical {
		if age := now.Sub(e.last); age > staleSampleAge {
			runTime = typical + time.Duration(float64(runTime-typical)*float64(staleSampleAge)/float64(age))
		}
	}
	if oldestRunning > 2*runTime && oldestRunning > time.Duration(k.slowest) {
		runTime = oldestRunning
	}
	return max(runTime, time.Microsecond)
}

// RunTimeForPlacement returns the run time by which endpoints are compared in the
// placement. For an endpoint with few samples it may be shorter than ExpectedRunTime, so that
// the endpoint is tried.
func (k *KindRunTimes) RunTimeForPlacement(e *EndpointRunTimes, declared, oldestRunning time.Duration, now time.Time) time.Duration {
	runTime := k.ExpectedRunTime(e, declared, oldestRunning, now)
	if (e.mean.samples < minSamples || k.isRemeasurementDue(e)) && oldestRunning < runTime {
		return max(time.Duration(untriedFactor*float64(min(runTime, k.TypicalRunTime(declared)))), time.Microsecond)
	}
	if e.mean.samples < stableSamples && e.shortest > 0 && oldestRunning < runTime {
		return min(runTime, time.Duration(maxOverShortest*e.shortest))
	}
	return runTime
}
