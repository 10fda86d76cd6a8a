package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// drawCaller returns a random job's run time and its caller's timeout, which grows with it.
func drawCaller(r *rand.Rand) (runTime, timeout time.Duration) {
	runTime = time.Duration(200 * math.Exp(0.5*r.NormFloat64()) * float64(time.Millisecond))
	timeout = time.Duration(1000*math.Exp(0.15*r.NormFloat64()))*time.Millisecond + 3*runTime
	return runTime, timeout
}

// Guards against a prior wait that is assumed for callers whose first request this is, and
// against callers that have waited long at other entries and are treated as new.
func TestPriorWait(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var m CallerTimeoutModel
	runTime, _ := drawCaller(r)
	c.Check(m.PriorWait(runTime, time.Millisecond), qt.Equals, time.Duration(0), qt.Commentf("a model without observations"))
	for range 300 {
		m.Observe(drawCaller(r))
	}
	falsePositives, detected, overestimated := 0, 0, 0
	for range 1000 {
		runTime, timeout := drawCaller(r)
		if m.PriorWait(runTime, timeout) > 0 {
			falsePositives++
		}
		waited := timeout * 2 / 3
		if wait := m.PriorWait(runTime, timeout-waited); wait > 0 {
			detected++
			if wait > waited {
				overestimated++
			}
		}
	}
	c.Check(falsePositives < 30, qt.IsTrue, qt.Commentf("%d of 1000 first requests get a prior wait", falsePositives))
	c.Check(detected > 900, qt.IsTrue, qt.Commentf("%d of 1000 retries are detected", detected))
	c.Check(overestimated < 30, qt.IsTrue, qt.Commentf("%d of 1000 prior waits are overestimated", overestimated))
	c.Check(m.PriorWait(runTime, 0), qt.Equals, time.Duration(0), qt.Commentf("a caller without a timeout"))
}

// Guards against a model that adapts to the burst of retries after an outage, and against one
// that never adapts to a lasting decrease of the callers' timeouts.
func TestPriorWaitAfterOutage(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	var m CallerTimeoutModel
	for range 300 {
		m.Observe(drawCaller(r))
	}
	detected := 0
	for i := range 400 {
		runTime, timeout := drawCaller(r)
		if i%2 == 0 {
			timeout /= 3
			if m.PriorWait(runTime, timeout) > 0 {
				detected++
			}
		}
		m.Observe(runTime, timeout)
	}
	c.Check(detected > 180, qt.IsTrue, qt.Commentf("%d of 200 retries are detected", detected))
	for range 20 * modelWindowJobs {
		runTime, timeout := drawCaller(r)
		m.Observe(runTime, timeout/3)
	}
	falsePositives := 0
	for range 1000 {
		runTime, timeout := drawCaller(r)
		if m.PriorWait(runTime, timeout/3) > 0 {
			falsePositives++
		}
	}
	c.Check(falsePositives < 50, qt.IsTrue, qt.Commentf("%d of 1000 first requests get a prior wait after the change", falsePositives))
}

// Guards against a model that an entry has learned and that it does not accept after a restart.
func TestLearnedModelsAreValid(t *testing.T) {
	times := []time.Duration{1, time.Millisecond, 50 * time.Millisecond, time.Second, time.Hour, math.MaxInt64}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		var m CallerTimeoutModel
		for n := range 2000 {
			runTime, timeout := times[random.IntN(len(times))], times[random.IntN(len(times))]
			if seed%3 == 0 { // exactly correlated
				timeout = runTime
			}
			m.Observe(runTime, timeout)
			if !m.Valid() {
				t.Fatalf("seed %d: model of %d jobs is not valid: %+v", seed, n+1, m)
			}
		}
	}
}
