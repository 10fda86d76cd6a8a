package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/job"
	"oriolerelay/wire"
)

// Guards against a stored job that the next owner gives up for crashes that the former owner could not
// tell from those of another job.
func TestAdoptedJobsThatCannotBeToldApartAreNotGivenUp(t *testing.T) {
	recorded := make(map[string]job.Progress)
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		co.Adopt(submission("k", 1), job.Progress{}, 1)
		synctest.Wait()
		for range 2 {
			j, _ := lastOrder([]*fakeAgent{a}, "j.0.0.0")
			k, _ := lastOrder([]*fakeAgent{a}, "k.0.0.0")
			a.crash("q", 10*time.Millisecond, j, k)
			settle(100 * time.Millisecond)
		}
		recorded["j"], recorded["k"] = r.reported["j"].Clone(), r.reported["k"].Clone()
		c.Assert(recorded["j"].State, quicktest.Equals, job.State(""))
		c.Assert(recorded["k"].State, quicktest.Equals, job.State(""))
		c.Assert(recorded["j"].Crashes["j.0.0.0"], quicktest.HasLen, 2)
	})
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 1), recorded["j"], 2)
		co.Adopt(submission("k", 1), recorded["k"], 2)
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.State(""))
		c.Check(r.reported["k"].State, quicktest.Equals, job.State(""))
	})
}

// Guards against a stored job that the next owner gives up for the failures of two racks.
func TestAdoptedJobIsNotGivenUpForRackFailures(t *testing.T) {
	var recorded job.Progress
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		agents := connectAgents(co, a, 4)
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		synctest.Wait()
		for n := range uint32(2) {
			run, at := lastOrder(agents, "j.0.0.0")
			for _, o := range agents {
				if o != at {
					o.crash("q", 70*time.Millisecond, wire.Run{Task: fmt.Sprintf("%s.0.0.0", o.name), Number: n + 1})
				}
			}
			at.crash("q", time.Duration(40+20*n)*time.Millisecond, run)
			settle(100 * time.Millisecond)
		}
		recorded = r.reported["j"].Clone()
		c.Assert(recorded.State, quicktest.Equals, job.State(""))
		c.Assert(recorded.Crashes["j.0.0.0"], quicktest.HasLen, 2)
	})
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 1), recorded, 2)
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.State(""))
	})
}

// Guards against a rack failure that is held against the task of the endpoint that reports it first.
func TestFirstReportOfRackFailureGivesUpNoJob(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		agents := connectAgents(co, a, 4)
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		synctest.Wait()
		run, at := lastOrder(agents, "j.0.0.0")
		at.crash("q", 40*time.Millisecond, run) // by itself
		settle(100 * time.Millisecond)
		run, at = lastOrder(agents, "j.0.0.0")
		at.crash("q", 60*time.Millisecond, run)
		for _, o := range agents {
			if o != at {
				o.crash("q", 70*time.Millisecond, wire.Run{Task: fmt.Sprintf("%s.0.0.0", o.name), Number: 1})
			}
		}
		c.Check(r.reported["j"].State, quicktest.Equals, job.State(""))
	})
}

// Guards against five crashes with other known causes that count against the task.
func TestFiveRackFailuresGiveUpNoJob(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		agents := connectAgents(co, a, 4)
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		synctest.Wait()
		for n := range uint32(5) {
			run, at := lastOrder(agents, "j.0.0.0")
			for _, o := range agents {
				if o != at {
					o.crash("q", 70*time.Millisecond, wire.Run{Task: fmt.Sprintf("%s.0.0.0", o.name), Number: n + 1})
				}
			}
			at.crash("q", time.Duration(40+100*n)*time.Millisecond, run)
			settle(500 * time.Millisecond)
		}
		c.Check(r.reported["j"].State, quicktest.Equals, job.State(""))
	})
}

// crashTwice submits a job whose task crashes two endpoints.
func crashTwice(co *Coordinator, agents []*fakeAgent, id string) {
	co.loop.Do(func() { co.submit(submission(id, 1), newWaiter(), time.Now()) })
	synctest.Wait()
	for range 2 {
		run, at := lastOrder(agents, id+".0.0.0")
		at.crash("q", 10*time.Millisecond, run)
		settle(100 * time.Millisecond)
	}
}

// Guards against a confinement to endpoints that stay out of service, which serves nothing and does not end.
func TestConfinementToClosedEndpointsEnds(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		agents := connectAgents(co, a, 8)
		crashTwice(co, agents, "a")
		crashTwice(co, agents, "b")
		closed := make(map[string]bool) // the quarter that the queue is limited to while the others are in use
		co.loop.Do(func() {
			c.Assert(co.confined["q"].active, quicktest.IsTrue)
			endpoints, byIndex := co.snapshot("s", time.Now())
			for i, e := range endpoints {
				if e.ConfinementRank < 2 {
					closed[byIndex[i].name] = true
				}
			}
		})
		announce := func() {
			for _, a := range agents {
				m := &wire.Status{OrderedRuns: a.count, Used: wire.Resources{MilliCores: 24000, MemoryMiB: 1}}
				if closed[a.name] {
					m.ClosedReason, m.Used = wire.RejectUnreachable, wire.Resources{}
				}
				a.c.Handle(a.name, a.connection, m)
			}
			settle(200 * time.Millisecond)
		}
		for range 3 {
			announce()
		}
		co.Adopt(submission("late", 1), job.Progress{}, 1)
		for range 150 {
			announce()
		}
		_, at := lastOrder(agents, "late.0.0.0")
		c.Check(at, quicktest.IsNotNil, quicktest.Commentf("no order within 30 s while %d of 8 endpoints are closed", len(closed)))
		co.loop.Do(func() { c.Check(co.confined["q"] != nil && co.confined["q"].active, quicktest.IsFalse) })
	})
}

// Guards against a queue that stays on trial for good where the service has one endpoint.
func TestConfinementOfSingleEndpointEnds(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		agents := []*fakeAgent{a}
		crashTwice(co, agents, "a")
		crashTwice(co, agents, "b")
		for range 150 {
			a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count})
			settle(200 * time.Millisecond)
		}
		co.loop.Do(func() { co.submit(submission("late", 1), newWaiter(), time.Now()) })
		synctest.Wait()
		c.Assert(a.groups, quicktest.Not(quicktest.HasLen), 0)
		c.Check(a.groups[len(a.groups)-1].TrialMillis, quicktest.Equals, uint32(0))
		co.loop.Do(func() { c.Check(co.confined["q"] != nil && co.confined["q"].active, quicktest.IsFalse) })
	})
}

// Guards against a crash that is taken for a known one since another entry, at which the job was submitted
// before, has numbered its run alike.
func TestCrashesOfRunsNumberedAlikeCount(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		a.crash("q", 10*time.Millisecond, wire.Run{Task: "j.0.0.0", Number: 1})
		w := newWaiter()
		co.loop.Do(func() { co.submit(submission("j", 1), w, time.Now()) })
		synctest.Wait()
		a.crash("q", 10*time.Millisecond, a.orders[0])
		settle(100 * time.Millisecond)
		c.Check(a.orders, quicktest.HasLen, 1)
		c.Check(w.answer, quicktest.HasLen, 1)
	})
}

// Guards against crashes of a stored job that are forgotten while the job is in progress.
func TestRecordedCrashesOutlastHistory(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		synctest.Wait()
		crashes := 0
		for range 8 {
			run := a.orders[len(a.orders)-1]
			a.crash("q", time.Duration(150+60*crashes)*time.Millisecond, run)
			var state job.State
			co.loop.Do(func() { state = r.reported["j"].State })
			if state != "" {
				break
			}
			if crashes++; crashes == 3 {
				for range 320 {
					a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count})
					settle(200 * time.Millisecond)
				}
			}
			settle(100 * time.Millisecond)
		}
		c.Check(len(a.orders) <= 5, quicktest.IsTrue, quicktest.Commentf("%d starts, %d recorded crashes", len(a.orders), len(r.reported["j"].Crashes["j.0.0.0"])))
	})
}

// Guards against a stored task whose orders are rejected for a trial until its run numbers are those
// of the next owner.
func TestTrialRejectionsKeepRunNumbersOfEpoch(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		synctest.Wait()
		for range 70 {
			run := a.orders[len(a.orders)-1]
			a.c.Handle(a.name, a.connection, &wire.Reports{
				Reports: []wire.Report{{Run: run, State: wire.RunRejected, Reason: wire.RejectTrial, RemainingMillis: 60}},
				Status:  &wire.Status{OrderedRuns: a.count},
			})
			settle(100 * time.Millisecond)
		}
		last := a.orders[len(a.orders)-1]
		c.Check(last.Number < job.RunNumbersPerEpoch+64, quicktest.IsTrue, quicktest.Commentf("run %d of owner 1", last.Number))
	})
}

// Guards against an identified task of a stored job that waits for three seconds beside free endpoints.
func TestIdentifiedTaskRunsAgainInTime(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		agents := connectAgents(co, a, 8)
		crashTwice(co, agents, "a")
		crashTwice(co, agents, "b")
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		synctest.Wait()
		run, at := lastOrder(agents, "j.0.0.0")
		c.Assert(at, quicktest.IsNotNil)
		at.crash("q", 10*time.Millisecond, run)
		crashed := time.Now()
		for range 100 {
			if again, _ := lastOrder(agents, "j.0.0.0"); again != run {
				break
			}
			for _, a := range agents {
				a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count})
			}
			settle(100 * time.Millisecond)
		}
		c.Check(time.Since(crashed) < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("ordered again after %v", time.Since(crashed)))
	})
}

// Guards against an innocent job that counts as the only cause of a crash since its start got no reply
// and is reported apart from the other runs there.
func TestUnansweredStartDoesNotIdentifyJob(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		j, k := newWaiter(), newWaiter()
		co.loop.Do(func() {
			co.submit(submission("j", 1), j, time.Now())
			co.submit(submission("k", 1), k, time.Now())
		})
		synctest.Wait()
		run := func(task string) wire.Run { r, _ := lastOrder([]*fakeAgent{a}, task); return r }
		a.crashes++
		innocent, other := run("j.0.0.0"), run("k.0.0.0")
		a.c.Handle(a.name, a.connection, &wire.Reports{
			Reports: []wire.Report{{Run: innocent, State: wire.RunLost}, {Run: other, State: wire.RunLost}},
			Status: &wire.Status{OrderedRuns: a.count, Crashes: []wire.Crash{
				{Instance: "i", Number: 1, Runs: []wire.CrashedRun{{Run: other, Queue: "q", ElapsedMillis: 900}}},
				{Instance: "i", Number: 2, Runs: []wire.CrashedRun{{Run: innocent, Queue: "q", Unanswered: true}}},
			}},
		})
		synctest.Wait()
		settle(100 * time.Millisecond)
		co.loop.Do(func() { c.Check(co.crashes.tasks["j.0.0.0"].identified, quicktest.IsFalse) })
		for range 2 {
			a.crash("q", 10*time.Millisecond, run("j.0.0.0"), run("k.0.0.0"))
			settle(100 * time.Millisecond)
		}
		c.Check(j.answer, quicktest.HasLen, 0)
	})
}

// Guards against a job that is refused as too large while the agent of the only endpoint that is large
// enough restarts.
func TestJobIsNotRefusedWhileAgentOfLargestEndpointRestarts(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		large := &fakeAgent{c: co, name: "host-2"}
		large.connect()
		beat := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); settle(100 * time.Millisecond) {
				a.setCapacity(4000)
			}
		}
		beat(3 * time.Second)
		co.Disconnected(large.name, large.connection)
		beat(2 * time.Second)
		w := newWaiter()
		co.loop.Do(func() { co.submit(largeJob("j", 8000), w, time.Now()) })
		synctest.Wait()
		beat(500 * time.Millisecond)
		large.connect()
		synctest.Wait()
		c.Check(w.answer, quicktest.HasLen, 0)
		c.Assert(a.orders, quicktest.HasLen, 1) // of the first step
		a.report(a.orders[0], wire.RunDone)
		synctest.Wait()
		c.Check(large.orders, quicktest.HasLen, 1)
	})
}
