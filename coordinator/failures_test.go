package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/job"
	"oriolerelay/wire"
)

// Guards against a job that is shown as failed too early (review case 4): a failure that the former
// owner has recorded, but not confirmed to its agent, is reported to the next owner and was counted
// again.
func TestRecordedFailureIsNotCountedByNextOwner(t *testing.T) {
	for name, reportedBefore := range map[string]bool{"reported before the adoption": true, "reported after it": false} {
		t.Run(name, func(t *testing.T) {
			withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
				s := submission("j", 1)
				s.Queue.Attempts = 3
				co.Adopt(s, job.Progress{}, 1)
				synctest.Wait()
				failed := a.orders[0]
				a.report(failed, wire.RunFailed)
				co.StopJob("j")
				synctest.Wait()
				recorded := r.reported["j"]
				c.Assert(recorded.Failures, quicktest.DeepEquals, map[string]int{"j.0.0.0": 1})
				if reportedBefore {
					a.report(failed, wire.RunFailed)
				}
				a.confirms = nil
				co.Adopt(s, recorded, 2)
				a.report(failed, wire.RunFailed)
				synctest.Wait()
				c.Check(a.confirms, quicktest.Contains, failed)
				a.report(a.orders[len(a.orders)-1], wire.RunFailed)
				settle(time.Second)
				c.Check(r.reported["j"].Failures, quicktest.DeepEquals, map[string]int{"j.0.0.0": 2})
				c.Check(r.reported["j"].State, quicktest.Equals, job.State(""))
			})
		})
	}
}

// Guards against failures that an owner of an earlier version has recorded without run numbers and that
// are counted again, and against failures of the present owner that are taken for one of those.
func TestFailuresWithoutRunNumbersAreNotCountedAgain(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		s := submission("j", 1)
		s.Queue.Attempts = 3
		co.Adopt(s, job.Progress{Failures: map[string]int{"j.0.0.0": 1}}, 2)
		a.report(wire.Run{Task: "j.0.0.0", Number: 7}, wire.RunFailed)
		settle(time.Second)
		c.Check(r.reported["j"].Failures, quicktest.DeepEquals, map[string]int{"j.0.0.0": 1})
		a.report(a.orders[0], wire.RunFailed)
		settle(time.Second)
		c.Check(r.reported["j"].Failures, quicktest.DeepEquals, map[string]int{"j.0.0.0": 2})
	})
}

// Guards against a task that starts again although it has failed as often as its queue allows (review
// case 5): the last failure was reported to the next owner of its job, which did not compare the count.
func TestAdoptedTaskIsNotStartedAfterItsLastAttempt(t *testing.T) {
	for name, reportedBefore := range map[string]bool{"reported before the adoption": true, "reported after it": false} {
		t.Run(name, func(t *testing.T) {
			withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
				var recorded job.Progress
				recorded.AddFailure("j.0.0.0", job.RunNumbersPerEpoch+1, 1)
				last := wire.Run{Task: "j.0.0.0", Number: job.RunNumbersPerEpoch + 2}
				if reportedBefore {
					a.report(last, wire.RunFailed)
				}
				co.Adopt(submission("j", 1), recorded, 2)
				synctest.Wait()
				if !reportedBefore {
					a.report(last, wire.RunFailed)
					synctest.Wait()
				}
				c.Check(r.reported["j"].State, quicktest.Equals, job.Failed)
				c.Check(a.confirms, quicktest.Contains, last)
				c.Check(len(a.stops), quicktest.Equals, len(a.orders)) // what was ordered before the report is stopped
				c.Check(len(a.orders) == 0 || !reportedBefore, quicktest.IsTrue)
			})
		})
	}
}
