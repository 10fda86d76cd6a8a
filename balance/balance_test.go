package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func drawSnapshot(t *rapid.T, p Policy) Snapshot {
	s := Snapshot{Policy: p, Waiting: rapid.IntRange(1, 50).Draw(t, "waiting")}
	for range rapid.IntRange(1, 30).Draw(t, "endpoints") {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		limit := slots + rapid.IntRange(0, 2).Draw(t, "buffer")
		s.Endpoints = append(s.Endpoints, Endpoint{
			Slots: slots, Limit: limit, Busy: rapid.IntRange(0, limit+1).Draw(t, "busy"),
			RunTime: time.Duration(rapid.IntRange(1, 400).Draw(t, "run")) * time.Millisecond,
			Skip:    rapid.IntRange(0, 5).Draw(t, "skip") == 0,
		})
	}
	return s
}

// TestChooseAvailable guards against the choice of an endpoint that is full or not
// eligible, and of one that finishes later than another available endpoint. With two
// choices, a task must not wait while an endpoint is available.
func TestChooseAvailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom([]Policy{TwoChoices, LeastExpectedFinish, ""}).Draw(t, "policy")
		s := drawSnapshot(t, p)
		i, ok := Choose(s, rapid.Uint64().Draw(t, "random"))
		anyAvailable, shortestRunTime := false, time.Duration(0)
		for k := range s.Endpoints {
			anyAvailable = anyAvailable || s.Endpoints[k].available()
			if !s.Endpoints[k].Skip && (shortestRunTime == 0 || s.Endpoints[k].RunTime < shortestRunTime) {
				shortestRunTime = s.Endpoints[k].RunTime
			}
		}
		switch {
		case ok && !s.Endpoints[i].available():
			t.Fatalf("chose %d, which is not available", i)
		case !ok && anyAvailable && p == TwoChoices:
			t.Fatal("no choice although an endpoint is available")
		}
		if !ok || p == TwoChoices {
			return
		}
		for k := range s.Endpoints {
			if e := &s.Endpoints[k]; e.available() && e.expectedFinish() < s.Endpoints[i].expectedFinish() {
				t.Fatalf("chose %d, but %d finishes earlier", i, k)
			}
		}
	})
}

// TestFailingEndpointIsSlow guards against an endpoint that attracts tasks because its
// tasks fail fast.
func TestFailingEndpointIsSlow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var k KindRunTimes
	var good, bad EndpointRunTimes
	for range 20 {
		k.RecordRunTime(&good, 100*time.Millisecond, now)
	}
	for range 5 {
		k.RecordFailure(&bad, 0, now)
	}
	c.Assert(k.ExpectedRunTime(&bad, 0, 0, now) >= k.ExpectedRunTime(&good, 0, 0, now), qt.IsTrue)
}

// TestSamplesReplaceDeclaredRunTime guards against estimates that stay with a declared
// run time which is wrong by a factor of ten in either direction.
func TestSamplesReplaceDeclaredRunTime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	for _, declared := range []time.Duration{10 * time.Millisecond, time.Second} {
		var k KindRunTimes
		var e EndpointRunTimes
		c.Assert(k.ExpectedRunTime(&e, declared, 0, now), qt.Equals, declared)
		for range minSamples {
			k.RecordRunTime(&e, 100*time.Millisecond, now)
		}
		c.Assert(k.ExpectedRunTime(&e, declared, 0, now), qt.Equals, 100*time.Millisecond)
		var fresh EndpointRunTimes
		c.Assert(k.ExpectedRunTime(&fresh, declared, 0, now), qt.Equals, 100*time.Millisecond)
	}
}

// TestStragglerAndReturn guards against a straggler that is given more tasks before
// its first late result, and against one that is never tried again.
func TestStragglerAndReturn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var k KindRunTimes
	var e EndpointRunTimes
	for range 10 {
		k.RecordRunTime(&e, 100*time.Millisecond, now)
	}
	c.Assert(k.ExpectedRunTime(&e, 0, 3*time.Second, now), qt.Equals, 3*time.Second)
	for range 20 {
		e.mean.add(float64(4 * time.Second))
	}
	slow := k.ExpectedRunTime(&e, 0, 0, now)
	c.Assert(slow > 3*time.Second, qt.IsTrue)
	later := k.ExpectedRunTime(&e, 0, 0, now.Add(5*time.Minute))
	c.Assert(later < slow/10, qt.IsTrue, qt.Commentf("%v of %v", later, slow))
}

// TestUntriedEndpointsAreTried guards against a placement that stays with the first
// endpoint because it is faster than the declared run time, so that faster endpoints
// are never tried.
func TestUntriedEndpointsAreTried(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	runs := []time.Duration{20 * time.Millisecond, 10 * time.Millisecond, 5 * time.Millisecond}
	for first := range runs {
		var k KindRunTimes
		times := make([]EndpointRunTimes, len(runs))
		last := first
		for i := range 30 {
			if i > 0 {
				s := Snapshot{Waiting: 1, Endpoints: make([]Endpoint, len(runs))}
				for j := range runs {
					s.Endpoints[j] = Endpoint{Slots: 8, Limit: 10, RunTime: k.RunTimeForPlacement(&times[j], 35*time.Millisecond, 0, now)}
				}
				var ok bool
				last, ok = Choose(s, uint64(i))
				c.Assert(ok, qt.IsTrue)
			}
			k.RecordRunTime(&times[last], runs[last], now)
		}
		c.Assert(last, qt.Equals, 2, qt.Commentf("first endpoint %d", first))
	}
}

// TestPlanAgainstChoose compares a plan with repeated calls of Choose. It guards
// against a plan that omits available endpoints, exceeds their limits, or chooses a
// later finish.
func TestPlanAgainstChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t, LeastExpectedFinish)
		random := rapid.Uint64().Draw(t, "random")
		planSnapshot := s
		planSnapshot.Endpoints = append([]Endpoint(nil), s.Endpoints...)
		var p Plan
		p.Reset(planSnapshot, random)
		for s.Waiting > 0 {
			want, ok := Choose(s, random)
			got, gotOK := p.Next(s.Waiting, random)
			if ok != gotOK {
				t.Fatalf("Choose returned %v, the plan %v", ok, gotOK)
			}
			if !ok {
				return
			}
			if a, b := &s.Endpoints[want], &s.Endpoints[got]; preferred(a, b) || preferred(b, a) {
				t.Fatalf("Choose returned %d %+v, the plan %d %+v", want, *a, got, *b)
			}
			p.Place(got)
			s.Endpoints[got].Busy++
			s.Waiting--
		}
	})
}

// TestSlowestExcess compares the estimated excess of the slowest of n tasks with that
// of simulated tasks. It guards against the admission of jobs by their mean run time,
// although a job ends with its slowest task.
func TestSlowestExcess(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var k KindRunTimes
	var e EndpointRunTimes
	draw := func() float64 { return 100 + 20*rnd.NormFloat64() }
	for range 1000 {
		k.RecordRunTime(&e, time.Duration(draw()*float64(time.Millisecond)), now)
	}
	c.Assert(k.SlowestExcess(1), qt.Equals, time.Duration(0))
	for _, n := range []int{10, 30, 150} {
		const rounds = 300
		var sum float64
		for range rounds {
			slowest := 0.0
			for range n {
				slowest = max(slowest, draw())
			}
			sum += slowest - 100
		}
		simulated, excess := sum/rounds, k.SlowestExcess(n).Seconds()*1000
		c.Assert(excess > 0.8*simulated && excess < 1.6*simulated, qt.IsTrue, qt.Commentf("n %d: estimated %v ms, simulated %v ms", n, excess, simulated))
	}
}

// TestDelayedFirstSample guards against a fast endpoint that is never chosen again
// because one of its first three samples was delayed.
func TestDelayedFirstSample(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	runs := []time.Duration{20 * time.Millisecond, 10 * time.Millisecond, 5 * time.Millisecond}
	for delayed := range 3 {
		var k KindRunTimes
		times := make([]EndpointRunTimes, len(runs))
		last, fast := 0, 0
		for i := range 40 {
			if i > 0 {
				s := Snapshot{Waiting: 1, Endpoints: make([]Endpoint, len(runs))}
				for j := range runs {
					s.Endpoints[j] = Endpoint{Slots: 8, Limit: 10, RunTime: k.RunTimeForPlacement(&times[j], 35*time.Millisecond, 0, now)}
				}
				last, _ = Choose(s, uint64(i))
			}
			run := runs[last]
			if last == 2 {
				if fast == delayed {
					run += 30 * time.Millisecond
				}
				fast++
			}
			k.RecordRunTime(&times[last], run, now)
		}
		c.Assert(last, qt.Equals, 2, qt.Commentf("sample %d delayed", delayed))
	}
}

// TestNaiveSkipsUnreachable guards against a choice of an endpoint whose
// agent has no connection.
func TestNaiveSkipsUnreachable(t *testing.T) {
	c := qt.New(t)
	s := Snapshot{Policy: Naive, Endpoints: []Endpoint{{RunTime: 1}, {RunTime: 1, Limit: 1, Busy: 9}, {RunTime: 1}}}
	for random := range uint64(10) {
		var p Plan
		p.Reset(s, random)
		i, ok := p.Next(1, random)
		c.Assert(ok && i == 1, qt.IsTrue)
		i, ok = Choose(s, random)
		c.Assert(ok && i == 1, qt.IsTrue)
	}
	s.Endpoints = s.Endpoints[:1]
	_, ok := Choose(s, 0)
	c.Assert(ok, qt.IsFalse)
}

// TestDelayedFirstSamples guards against a fast endpoint that is never chosen again because
// all samples of its first tasks were delayed, which a process that has just started may cause.
func TestDelayedFirstSamples(t *testing.T) {
	c := qt.New(t)
	runs := []time.Duration{20 * time.Millisecond, 10 * time.Millisecond, 5 * time.Millisecond}
	var k KindRunTimes
	times := make([]EndpointRunTimes, len(runs))
	now, fast, late := time.Unix(0, 0), 0, 0
	const tasks = 1000
	for i := range tasks {
		s := Snapshot{Waiting: 1, Endpoints: make([]Endpoint, len(runs))}
		for j := range runs {
			s.Endpoints[j] = Endpoint{Slots: 8, Limit: 10, RunTime: k.RunTimeForPlacement(&times[j], 35*time.Millisecond, 0, now)}
		}
		chosen, ok := Choose(s, uint64(i))
		c.Assert(ok, qt.IsTrue)
		run := runs[chosen]
		if chosen == 2 {
			if fast++; fast <= minSamples {
				run += 10 * time.Millisecond
			}
			if i >= tasks/2 {
				late++
			}
		}
		k.RecordRunTime(&times[chosen], run, now)
		now = now.Add(100 * time.Millisecond)
	}
	c.Assert(late >= tasks/2*9/10, qt.IsTrue, qt.Commentf("%d of the last %d tasks ran on the fastest endpoint", late, tasks/2))
}
