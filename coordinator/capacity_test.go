package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// setCapacity reports another capacity of the agent's endpoint.
func (a *fakeAgent) setCapacity(milliCores uint32) {
	a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count, Profile: &wire.Profile{
		Instance: "i-" + a.name, Service: "s", Capacity: wire.Resources{MilliCores: milliCores, MemoryMiB: 1000},
	}})
	synctest.Wait()
}

// largeJob returns a job whose second step has tasks of the given size, and 10 s to its objective.
func largeJob(id string, milliCores uint32) job.Submission {
	s := submission(id, 1)
	s.Queue.TargetLatency = 10 * time.Second
	s.Steps = append(s.Steps, job.Step{Count: 1, After: []int{0}, Size: wire.Resources{MilliCores: milliCores}, Estimate: 100 * time.Millisecond})
	return s
}

// Guards against a job that waits for an endpoint although its tasks exceed the capacity of each of
// them since that has shrunk, and against one that is refused although it fits elsewhere.
func TestJobAboveAllCapacitiesIsRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name        string
		first       uint32 // capacity of the first endpoint after the shrink
		second      uint32 // of the second endpoint; 0 for none
		connectTime time.Duration
		refused     bool
	}{
		{"too large", 4000, 0, connectTime, true},
		{"too large for both", 4000, 7999, connectTime, true},
		{"fits exactly", 8000, 0, connectTime, false},
		{"fits on the other one", 0, 8000, connectTime, false},
		{"agents may not have connected", 4000, 0, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
				time.Sleep(tc.connectTime)
				a.setCapacity(tc.first)
				if tc.second > 0 {
					other := &fakeAgent{c: co, name: "host-2"}
					other.connect()
					other.setCapacity(tc.second)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				defer cancel()
				sent := time.Now()
				_, err := co.Submit(ctx, largeJob("j", 8000))
				c.Assert(err, quicktest.Not(quicktest.IsNil))
				c.Check(err.Kind == errkind.QueueFull, quicktest.Equals, tc.refused, quicktest.Commentf("%v", err))
				if tc.refused {
					c.Check(time.Since(sent), quicktest.Equals, time.Duration(0))
					c.Check(err.Answer().Outcome, quicktest.Equals, errkind.NotRun)
					c.Check(err.Answer().RetryAfter, quicktest.Equals, growthDelay)
				}
			})
		})
	}
}

// Guards against a stored job that ends or is forgotten while its tasks exceed all capacities.
func TestStoredJobWaitsForCapacity(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		time.Sleep(connectTime)
		a.setCapacity(500)
		co.Adopt(submission("j", 1), job.Progress{}, 2)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			a.setCapacity(500)
		}
		c.Check(a.orders, quicktest.HasLen, 0)
		a.setCapacity(1000)
		c.Check(a.orders, quicktest.HasLen, 1)
	})
}

// Guards against orders beyond a capacity that has shrunk below what runs.
func TestNoOrderWhileUseExceedsCapacity(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		co.Adopt(submission("j", 4), job.Progress{}, 2)
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 4)
		used := func(milliCores, memory uint32) {
			a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count, Used: wire.Resources{MilliCores: milliCores, MemoryMiB: memory}})
			synctest.Wait()
		}
		a.setCapacity(2000)
		used(4000, 0)
		co.Adopt(submission("k", 1), job.Progress{}, 2)
		synctest.Wait()
		used(2000, 0)
		c.Check(a.orders, quicktest.HasLen, 4)
		c.Check(a.stops, quicktest.HasLen, 0)
		used(1000, 1001) // no memory is left for a task that needs none
		c.Check(a.orders, quicktest.HasLen, 4)
		used(1000, 1000)
		c.Check(a.orders, quicktest.HasLen, 5)
	})
}
