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

// crash reports that the endpoint of a crashed while it executed the runs, and is up again.
func (a *fakeAgent) crash(queue string, elapsed time.Duration, runs ...wire.Run) {
	a.crashes++
	m := &wire.Reports{Status: &wire.Status{OrderedRuns: a.count}}
	crash := wire.Crash{Instance: fmt.Sprintf("i-%s-%d", a.name, a.crashes)}
	for _, r := range runs {
		crash.Runs = append(crash.Runs, wire.CrashedRun{Run: r, Queue: queue, ElapsedMillis: uint32(elapsed.Milliseconds())})
		m.Reports = append(m.Reports, wire.Report{Run: r, State: wire.RunLost})
	}
	m.Status.Crashes = []wire.Crash{crash}
	a.c.Handle(a.name, a.connection, m)
	synctest.Wait()
}

// settle lets d pass and then all goroutines wait.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// lastOrder returns the newest run that was ordered for a task, and its agent.
func lastOrder(agents []*fakeAgent, task string) (run wire.Run, at *fakeAgent) {
	for _, a := range agents {
		for _, r := range a.orders {
			if r.Task == task && r.Number > run.Number {
				run, at = r, a
			}
		}
	}
	return run, at
}

func connectAgents(co *Coordinator, first *fakeAgent, n int) []*fakeAgent {
	agents := []*fakeAgent{first}
	for i := 2; i <= n; i++ {
		a := &fakeAgent{c: co, name: fmt.Sprintf("host-%d", i)}
		a.connect()
		agents = append(agents, a)
	}
	synctest.Wait()
	return agents
}

// Guards against a task that is started again each time that its endpoint crashes under it: six of
// eleven endpoints were gone half a second after the first start.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		agents := connectAgents(co, a, 4)
		w, innocent := newWaiter(), newWaiter()
		co.loop.Do(func() {
			co.submit(submission("j", 1), w, time.Now())
			co.submit(submission("k", 1), innocent, time.Now())
		})
		synctest.Wait()
		for range 2 {
			run, at := lastOrder(agents, "j.0.0.0")
			at.crash("q", 10*time.Millisecond, run)
			settle(100 * time.Millisecond)
		}
		c.Assert(w.answer, quicktest.HasLen, 1)
		c.Check((<-w.answer).state, quicktest.Equals, job.Failed)
		run, _ := lastOrder(agents, "j.0.0.0")
		c.Check(run.Number, quicktest.Equals, uint32(2))
		c.Check(innocent.answer, quicktest.HasLen, 0)

		again := newWaiter()
		co.loop.Do(func() { co.submit(submission("j", 1), again, time.Now()) })
		synctest.Wait()
		c.Check((<-again.answer).state, quicktest.Equals, job.Failed) // without a run
		run, _ = lastOrder(agents, "j.0.0.0")
		c.Check(run.Number, quicktest.Equals, uint32(2))
	})
}

// Guards against an innocent job that is given up because it ran twice beside the same crashing task.
func TestTasksThatCannotBeToldApartRunAgain(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		first, second := newWaiter(), newWaiter()
		co.loop.Do(func() {
			co.submit(submission("j", 1), first, time.Now())
			co.submit(submission("k", 1), second, time.Now())
		})
		synctest.Wait()
		for range 2 { // there is one endpoint, so that both run there again
			j, _ := lastOrder([]*fakeAgent{a}, "j.0.0.0")
			k, _ := lastOrder([]*fakeAgent{a}, "k.0.0.0")
			a.crash("q", 10*time.Millisecond, j, k)
			settle(100 * time.Millisecond)
		}
		c.Check(first.answer, quicktest.HasLen, 0)
		c.Check(second.answer, quicktest.HasLen, 0)
		j, _ := lastOrder([]*fakeAgent{a}, "j.0.0.0")
		a.crash("q", 10*time.Millisecond, j)
		c.Check((<-first.answer).state, quicktest.Equals, job.Failed)
		c.Check(second.answer, quicktest.HasLen, 0)
	})
}

// Guards against the loss of what is known of a task with the entry that ordered it: an entry that
// has only heard of the crashes does not start the task again.
func TestCrashesSurviveEntry(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		for n := range uint32(2) {
			a.crash("q", 10*time.Millisecond, wire.Run{Task: "j.0.0.0", Number: n + 1})
		}
		w := newWaiter()
		co.loop.Do(func() { co.submit(submission("j", 1), w, time.Now()) })
		synctest.Wait()
		c.Check((<-w.answer).state, quicktest.Equals, job.Failed)
		c.Check(a.orders, quicktest.HasLen, 0)
	})
}

// Guards against an owner of a stored job that does not record the crashes of its tasks, or starts a
// task again that a former owner has seen crash endpoints.
func TestRecordedCrashesSurviveOwner(t *testing.T) {
	var recorded job.Progress
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 2), job.Progress{}, 1)
		synctest.Wait()
		a.crash("q", 10*time.Millisecond, a.orders[0])
		recorded = r.reported["j"]
		c.Check(recorded.Crashes, quicktest.DeepEquals, map[string][]job.CrashedRun{
			"j.0.0.0": {{Agent: "host-1", Number: job.RunNumbersPerEpoch + 1, ElapsedMillis: 10, Alone: true}},
		})
	})
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 2), recorded, 2)
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 2)
		a.crash("q", 12*time.Millisecond, a.orders[0])
		settle(100 * time.Millisecond)
		c.Check(r.reported["j"].State, quicktest.Equals, job.Failed)
		run, _ := lastOrder([]*fakeAgent{a}, "j.0.0.0")
		c.Check(run, quicktest.Equals, a.orders[0])
	})
	recorded.SetCrash("j.0.0.0", job.CrashedRun{Agent: "host-2", Number: 2 * job.RunNumbersPerEpoch, ElapsedMillis: 11})
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 2), recorded, 3)
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.Failed)
		for _, r := range a.orders {
			c.Check(r.Task, quicktest.Not(quicktest.Equals), "j.0.0.0")
		}
	})
}

// Guards against a new owner that gives up a job which the former one could not tell from another.
func TestOwnerDoesNotGiveUpSuspectOfFormerOwner(t *testing.T) {
	var recorded job.Progress
	for n := range uint32(2) {
		recorded.SetCrash("j.0.0.0", job.CrashedRun{Agent: "host-2", Number: job.RunNumbersPerEpoch + n, ElapsedMillis: 11})
	}
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 1), recorded, 2)
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.State(""))
		c.Check(a.orders, quicktest.HasLen, 1)
	})
}

// Guards against a queue whose jobs crash one endpoint after the other until none is left for the
// other queues, and against a queue that stays confined.
func TestQueueOfCrashingTasksIsConfined(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		agents := connectAgents(co, a, 8)
		crashTwice := func(id string) {
			co.loop.Do(func() { co.submit(submission(id, 1), newWaiter(), time.Now()) })
			synctest.Wait()
			for range 2 {
				run, at := lastOrder(agents, id+".0.0.0")
				at.crash("q", 10*time.Millisecond, run)
				settle(100 * time.Millisecond)
			}
		}
		usedBy := func(id, queue string) map[string]bool {
			s := submission(id, 40)
			s.Queue.Name = queue
			w := newWaiter()
			co.loop.Do(func() { co.submit(s, w, time.Now()) })
			synctest.Wait()
			used := make(map[string]bool)
			for _, a := range agents {
				for _, r := range a.orders {
					if taskID, err := job.ParseTaskID(r.Task); err == nil && taskID.Job == id {
						used[a.name] = true
						a.report(r, wire.RunDone)
					}
				}
			}
			synctest.Wait()
			return used
		}
		crashTwice("a")
		c.Check(len(usedBy("b", "q")) > 2, quicktest.IsTrue) // one job may be a coincidence
		crashTwice("c")
		confined, others := usedBy("d", "q"), usedBy("e", "other")
		c.Check(confined, quicktest.HasLen, 2)
		for name := range confined {
			c.Check(others[name], quicktest.IsFalse, quicktest.Commentf(name))
		}
		for range 15 { // longer than the calm time before the release
			time.Sleep(200 * time.Millisecond)
			for _, a := range agents {
				a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count})
			}
			synctest.Wait()
		}
		c.Check(len(usedBy("f", "q")) > 2, quicktest.IsTrue)
		crashTwice("g")
		c.Check(usedBy("h", "q"), quicktest.HasLen, 2) // once more after one job
	})
}
