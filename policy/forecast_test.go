package policy

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const ms = time.Millisecond

// waiting returns a job of 100 ms that waits for cores and is refused after 50 ms.
func waiting(now time.Time, cores float64) *QueuedJob {
	return &QueuedJob{Arrived: now, Objective: now.Add(200 * ms), ExpectedRunTime: 100 * ms, UnplacedCores: cores}
}

// Guards against a forecast that ignores the jobs ahead, lets a job that will be refused take
// capacity, forgets that the runs of jobs ahead and of overtaking ones end as well, or changes after
// a job that it cannot place.
func TestForecastFollowsTheQueue(t *testing.T) {
	c, now := quicktest.New(t), time.Now()
	add := func(f *Forecast, j *QueuedJob, overtaking ...Overtaking) time.Duration {
		wait, ok := f.Add(j, overtaking, j.LongestWait(now))
		c.Assert(ok, quicktest.IsTrue)
		return wait
	}
	f := NewForecast(NewReleases([]Release{{30 * ms, 2}, {10 * ms, 1}, {60 * ms, 4}}), nil)
	_, ok := f.Add(waiting(now, 8), nil, 50*ms)
	c.Check(ok, quicktest.IsFalse)
	c.Check(add(&f, waiting(now, 1)), quicktest.Equals, 10*ms)
	c.Check(add(&f, waiting(now, 3)), quicktest.Equals, 60*ms) // too late, so it takes nothing
	c.Check(add(&f, waiting(now, 2)), quicktest.Equals, 30*ms)
	started := waiting(now, 4)
	started.Started = true
	c.Check(add(&f, started), quicktest.Equals, 60*ms)          // cannot be refused
	c.Check(add(&f, waiting(now, 1)), quicktest.Equals, 110*ms) // after the first job

	f = NewForecast(NewReleases([]Release{{10 * ms, 2}, {20 * ms, 2}, {30 * ms, 2}, {40 * ms, 2}}), nil)
	urgent := Overtaking{CoresPerSecond: 100, RunTime: 20 * ms} // 2 cores at most
	c.Check(add(&f, waiting(now, 2), urgent), quicktest.Equals, 20*ms)
	c.Check(add(&f, waiting(now, 2), urgent), quicktest.Equals, 30*ms)
	c.Check(add(&f, waiting(now, 2)), quicktest.Equals, 30*ms) // nothing overtakes it
}

// Guards against early refusals after a restart, with few or old outcomes, or while more than one job
// in ten would have got its capacity; and against a margin that wrong samples do not raise.
func TestMarginFollowsRecentOutcomes(t *testing.T) {
	c, now := quicktest.New(t), time.Now()
	p, err := New([]string{string(EarlyRefusal)}, nil)
	c.Assert(err, quicktest.IsNil)
	refuses := func(k Calibration, at time.Time) bool { return p.RefusesEarly(3, k.Margin(at)) }
	add := func(k Calibration, n int, weight float64, inTime bool) Calibration {
		for range n {
			k = k.Add(2, weight, inTime, now)
		}
		return k
	}
	var k Calibration
	c.Check(refuses(k, now), quicktest.IsFalse)
	c.Check(refuses(add(k, minSamples-1, 1, false), now), quicktest.IsFalse)
	enough := add(k, 2*minSamples, 1, false)
	c.Check(refuses(enough, now), quicktest.IsTrue)
	c.Check(enough.Margin(now).WaitShare, quicktest.Equals, 1+firstCaution) // not below the forecast itself
	c.Check(Policy{}.RefusesEarly(math.Inf(1), enough.Margin(now)), quicktest.IsFalse)
	c.Check(refuses(enough, now.Add(2*sampleWindow)), quicktest.IsFalse)
	c.Check(refuses(add(enough, 6, 1, true), now), quicktest.IsFalse)
	c.Check(refuses(add(add(k, 8*minSamples, 1, false), 3, 4, true), now), quicktest.IsFalse) // samples count more
	right := add(k, 100, 1, false)
	c.Check(add(right, 1, 4, true).Margin(now).WaitShare > right.Margin(now).WaitShare, quicktest.IsTrue)
	c.Check(add(right, 1, 4, false).Margin(now).WaitShare < right.Margin(now).WaitShare, quicktest.IsTrue)
}

// Guards against refused callers who all return at the same time, promises that never expire, and
// times outside of what callers may be told.
func TestPromisesAddUpAndExpire(t *testing.T) {
	c, now := quicktest.New(t), time.Now()
	var p Promises
	var told []time.Duration
	for range 4 {
		var after time.Duration
		after, p = p.RetryAfter(2, 10, 10, now)
		told = append(told, after)
	}
	c.Check(told, quicktest.DeepEquals, []time.Duration{1200 * ms, 2200 * ms, 3200 * ms, 4200 * ms})
	after, _ := p.RetryAfter(2, 20, 10, now)
	c.Check(after, quicktest.Equals, maxRetryAfter)
	after, _ = p.RetryAfter(2, 10, 10, now.Add(2400*ms)) // the first two have returned
	c.Check(after, quicktest.Equals, 3200*ms)
	after, _ = p.RetryAfter(2, 1, 10, now.Add(time.Minute))
	c.Check(after, quicktest.Equals, minRetryAfter)
	after, _ = Promises{}.RetryAfter(2, 1, 0, now) // after a restart nothing is known
	c.Check(after, quicktest.Equals, minRetryAfter)
}
