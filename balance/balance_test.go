package balance

import (
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
			Run:  time.Duration(rapid.IntRange(1, 400).Draw(t, "run")) * time.Millisecond,
			Skip: rapid.IntRange(0, 5).Draw(t, "skip") == 0,
		})
	}
	return s
}

// TestChooseOpen guards against a choice of an endpoint that is full or
// excluded, and against a task that waits beside open endpoints for no faster one.
func TestChooseOpen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := rapid.SampledFrom([]Policy{TwoChoices, LeastExpectedFinish, ""}).Draw(t, "policy")
		s := drawSnapshot(t, p)
		i, ok := Choose(s, rapid.Uint64().Draw(t, "random"))
		open, fastest := false, time.Duration(0)
		for k := range s.Endpoints {
			open = open || s.Endpoints[k].open()
			if !s.Endpoints[k].Skip && (fastest == 0 || s.Endpoints[k].Run < fastest) {
				fastest = s.Endpoints[k].Run
			}
		}
		switch {
		case ok && !s.Endpoints[i].open():
			t.Fatalf("chose %d, which is not open", i)
		case !ok && open && p == TwoChoices:
			t.Fatal("no choice although an endpoint is open")
		}
		if !ok || p == TwoChoices {
			return
		}
		for k := range s.Endpoints {
			if e := &s.Endpoints[k]; e.open() && e.finish() < s.Endpoints[i].finish() {
				t.Fatalf("chose %d, but %d finishes earlier", i, k)
			}
		}
	})
}

// TestFailingEndpointIsSlow guards against an endpoint that attracts work
// because it fails everything fast.
func TestFailingEndpointIsSlow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var k KindTimes
	var good, bad EndpointTimes
	for range 20 {
		k.Learn(&good, 100*time.Millisecond, now)
	}
	for range 5 {
		k.LearnFailure(&bad, 0, now)
	}
	c.Assert(k.Expect(&bad, 0, 0, now) >= k.Expect(&good, 0, 0, now), qt.IsTrue)
}

// TestLearnedReplacesDeclared guards against declared run times that are wrong
// by ten times in either direction.
func TestLearnedReplacesDeclared(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	for _, declared := range []time.Duration{10 * time.Millisecond, time.Second} {
		var k KindTimes
		var e EndpointTimes
		c.Assert(k.Expect(&e, declared, 0, now), qt.Equals, declared)
		for range minSamples {
			k.Learn(&e, 100*time.Millisecond, now)
		}
		c.Assert(k.Expect(&e, declared, 0, now), qt.Equals, 100*time.Millisecond)
		var fresh EndpointTimes
		c.Assert(k.Expect(&fresh, declared, 0, now), qt.Equals, 100*time.Millisecond)
	}
}

// TestStragglerAndReturn guards against a straggler that keeps getting work
// before its first late result, and against one that is never tried again.
func TestStragglerAndReturn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var k KindTimes
	var e EndpointTimes
	for range 10 {
		k.Learn(&e, 100*time.Millisecond, now)
	}
	c.Assert(k.Expect(&e, 0, 3*time.Second, now), qt.Equals, 3*time.Second)
	for range 20 {
		e.mean.add(float64(4 * time.Second))
	}
	slow := k.Expect(&e, 0, 0, now)
	c.Assert(slow > 3*time.Second, qt.IsTrue)
	later := k.Expect(&e, 0, 0, now.Add(5*time.Minute))
	c.Assert(later < slow/10, qt.IsTrue, qt.Commentf("%v of %v", later, slow))
}
