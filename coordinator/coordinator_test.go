package coordinator

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// fakeAgent is an agent with one endpoint that keeps what an entry sends.
type fakeAgent struct {
	c          *Coordinator
	name       string
	connection uint64
	orders     []wire.Run
	groups     []wire.OrderGroup
	notes      []wire.Run
	stops      []wire.Run
	emptied    []wire.Evacuated
	count      uint64
}

func (a *fakeAgent) connect() {
	a.connection = a.c.Connected(a.name, func(m wire.Message) error {
		switch m := m.(type) {
		case *wire.Orders:
			a.groups = append(a.groups, m.Groups...)
			for _, g := range m.Groups {
				a.orders = append(a.orders, g.Runs...)
			}
			a.count = m.OrderedRuns
		case *wire.Confirm:
			a.notes = append(a.notes, m.Runs...)
		case *wire.Evacuated:
			a.emptied = append(a.emptied, *m)
		case *wire.Stop:
			a.stops = append(a.stops, m.Runs...)
		}
		return nil
	})
	a.c.Handle(a.name, a.connection, &wire.Status{
		Profile: &wire.Profile{Instance: "i-" + a.name, Service: "s", Capacity: wire.Resources{MilliCores: 32000, MemoryMiB: 1000}},
	})
}

func (a *fakeAgent) report(run wire.Run, state wire.RunState) {
	a.c.Handle(a.name, a.connection, &wire.Reports{
		Reports: []wire.Report{{Run: run, State: state}}, Status: &wire.Status{OrderedRuns: a.count},
	})
}

// waiting returns a caller that waits.
func waiting() caller {
	return caller{answer: make(chan outcome, 1), gone: func() bool { return false }}
}

// fakeRecorder records progress at once.
type fakeRecorder struct {
	c        *Coordinator
	reported map[string]job.Progress
	mayAct   bool
	ends     []wire.Run
}

func (r *fakeRecorder) Report(id string, p job.Progress) {
	r.reported[id] = p
	r.c.Noted(id, p)
}
func (r *fakeRecorder) MayAct() bool { return r.mayAct }
func (r *fakeRecorder) RecordEnd(agent string, run wire.Run) bool {
	r.ends = append(r.ends, run)
	return true
}
func (r *fakeRecorder) Over(string) bool { return false }

// with runs f with a coordinator, an agent and a recorder in a bubble.
func with(t *testing.T, f func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		co := New(Config{Timing: DefaultTiming(1300*time.Millisecond, 1.5), Metrics: NewMetrics(prometheus.NewRegistry())})
		r := &fakeRecorder{c: co, reported: make(map[string]job.Progress), mayAct: true}
		co.SetRecorder(r)
		go co.Run(ctx)
		a := &fakeAgent{c: co, name: "host-1"}
		a.connect()
		synctest.Wait()
		f(quicktest.New(t), co, a, r)
		stop()
		synctest.Wait()
	})
}

func submission(id string, tasks int) job.Submission {
	return job.Submission{
		ID: id, Queue: job.Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
		Steps: []job.Step{{Count: tasks, Size: wire.Resources{MilliCores: 1000}, Estimate: 100 * time.Millisecond}},
	}
}

// Guards against tasks that are recorded as done and run again after their job was
// taken over: the release of the step made all its tasks wait.
func TestAdoptedJobSkipsDoneTasks(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		var p job.Progress
		p.MarkDone(0, 1)
		co.Adopt(submission("j", 3), p, 2)
		synctest.Wait()
		c.Check(a.orders, quicktest.DeepEquals, []wire.Run{{Task: "j.0.0.0", Number: 2*runsPerEpoch + 1}, {Task: "j.0.0.2", Number: 2*runsPerEpoch + 1}})
		a.report(a.orders[0], wire.RunDone)
		synctest.Wait()
		c.Check(a.notes, quicktest.HasLen, 0) // it is not recorded yet
		a.report(a.orders[1], wire.RunDone)
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.Completed)
		c.Check(a.notes, quicktest.HasLen, 2)
	})
}

// Guards against a task that is run again although an agent kept the end of a run
// that a former owner had ordered, reported before or after the job is adopted.
func TestKeptEndsCount(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		first, second := wire.Run{Task: "j.0.0.0", Number: 7}, wire.Run{Task: "j.0.0.1", Number: 7}
		a.report(first, wire.RunDone)
		co.Adopt(submission("j", 2), job.Progress{}, 2)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 1)
		a.report(second, wire.RunDone)
		synctest.Wait()
		c.Check(a.stops, quicktest.DeepEquals, a.orders)
		c.Check(r.reported["j"].State, quicktest.Equals, job.Completed)
		c.Check(a.notes, quicktest.DeepEquals, []wire.Run{first, second})
	})
}

// Guards against a task that is run again because its end was reported before its job
// changed hands more than once, and against failures that are counted twice: by the
// former owner, and from the memory of this one.
func TestEndsAreRememberedUntilAdoption(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		beat := func(d time.Duration) { // the agent stays heard
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count})
			}
		}
		a.report(wire.Run{Task: "j.0.0.0", Number: 7}, wire.RunDone)
		a.report(wire.Run{Task: "j.0.0.1", Number: 7}, wire.RunFailed) // counted by the former owner
		beat(10 * time.Second)
		a.report(wire.Run{Task: "j.0.0.2", Number: 7}, wire.RunFailed) // counted by nobody
		beat(300 * time.Millisecond)
		co.Adopt(submission("j", 3), job.Progress{Failures: map[string]int{"j.0.0.1": 1}}, 2)
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 2)
		c.Assert(a.orders[0].Task, quicktest.Equals, "j.0.0.1")
		a.report(a.orders[0], wire.RunFailed) // its second failure, which the queue does not allow
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.Failed)
		c.Check(r.reported["j"].Failures, quicktest.DeepEquals, map[string]int{"j.0.0.1": 2, "j.0.0.2": 1})
	})
}

// Guards against orders of an owner whose membership has lapsed while it was frozen.
func TestLapsedOwnerOrdersNothing(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		r.mayAct = false
		co.Adopt(submission("j", 2), job.Progress{}, 2)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 0)
	})
}

// Guards against a job that fails too late or too early: the queue allows two failed
// runs of a task.
func TestAttempts(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		co.Adopt(submission("j", 1), job.Progress{}, 1)
		synctest.Wait()
		a.report(a.orders[0], wire.RunFailed)
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 2)
		c.Check(r.reported["j"].State, quicktest.Equals, job.State(""))
		a.report(a.orders[1], wire.RunFailed)
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.Failed)
		c.Check(a.orders, quicktest.HasLen, 2)
	})
}

// Guards against a stored task that is ordered as one that need not be kept, or with
// another priority, because it shares a message with a task of the same payload and
// size: its agent forgot the end at once, and the next owner of the job ran the task
// again (soak seed 114).
func TestOrdersOfOneBatchKeepTheirJobs(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		urgent := submission("b", 1)
		urgent.Queue.Priority = -1
		// All are placed in one batch, as the agent has room again.
		a.c.Handle(a.name, a.connection, &wire.Status{ClosedReason: wire.RejectDraining})
		co.loop.Post(func() { co.submit(submission("a", 1), waiting(), time.Now()) })
		co.loop.Post(func() { co.submit(urgent, waiting(), time.Now()) })
		co.Adopt(submission("c", 1), job.Progress{}, 2)
		a.c.Handle(a.name, a.connection, &wire.Status{})
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 3)
		for _, g := range a.groups {
			for _, run := range g.Runs {
				c.Check(g.Stored, quicktest.Equals, run.Task == "c.0.0.0", quicktest.Commentf("%s", run.Task))
			}
		}
		before := func(x, y string) bool {
			at := func(task string) int {
				return slices.IndexFunc(a.orders, func(r wire.Run) bool { return r.Task == task })
			}
			return at(x) < at(y)
		}
		c.Check(before("b.0.0.0", "a.0.0.0"), quicktest.IsTrue) // by its priority
	})
}

// Guards against orders to the endpoints of a data centre that the operator empties, and
// against agents that are not told of it.
func TestEmptiedDataCentreGetsNoOrder(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		a.c.Handle(a.name, a.connection, &wire.Status{
			Profile: &wire.Profile{Instance: "i", Service: "s", DataCentre: "north", Capacity: wire.Resources{MilliCores: 32000, MemoryMiB: 1000}},
		})
		co.SetEmptied(wire.Evacuated{Version: 3, DataCentres: []string{"north"}})
		co.SetEmptied(wire.Evacuated{Version: 2})
		go func() { _, _ = co.Submit(context.Background(), submission("a", 1)) }()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 0)
		c.Check(a.emptied, quicktest.DeepEquals, []wire.Evacuated{{Version: 3, DataCentres: []string{"north"}}})
		a.connect()
		synctest.Wait()
		c.Check(a.emptied, quicktest.HasLen, 2) // a new connection is told as well
		co.SetEmptied(wire.Evacuated{Version: 4})
		go func() { _, _ = co.Submit(context.Background(), submission("b", 1)) }()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		c.Check(len(a.orders) > 0, quicktest.IsTrue)
	})
}

// Guards against a refusal by the share of the objective that a job has waited although it
// has room: one that another entry passed on, or that a slow process got to late (34 of 262
// refusals of a day named no work ahead).
func TestJobWithRoomIsNotRefused(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		s := submission("a", 1)
		s.Elapsed = s.Queue.Objective(s.LongestTask()) * 9 / 10
		answered := make(chan error, 1)
		go func() {
			_, err := co.Submit(context.Background(), s)
			answered <- err
		}()
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 1)
		c.Check(answered, quicktest.HasLen, 0)
	})
}

// Guards against jobs that are refused for the backlog of another service, and against work
// that is counted by the size of the first step.
func TestBacklogIsThatOfTheService(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		other := &fakeAgent{c: co, name: "other"}
		other.connect()
		co.Handle(other.name, other.connection, &wire.Status{
			Profile: &wire.Profile{Instance: "i-other", Service: "t", Capacity: wire.Resources{MilliCores: 1000, MemoryMiB: 1000}},
		})
		submit := func(id, service string, tasks int, runs time.Duration) {
			s := submission(id, tasks)
			s.Queue.Service, s.Steps[0].Estimate = service, runs
			if service == "t" {
				s.Queue.Stretch = 1000 // its jobs may wait
			}
			go func() { _, _ = co.Submit(context.Background(), s) }()
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		time.Sleep(10 * time.Millisecond)
		a.c.Handle(a.name, a.connection, &wire.Status{})
		other.c.Handle(other.name, other.connection, &wire.Status{})
		for i := range 8 {
			submit(fmt.Sprintf("t%d", i), "t", 1, 10*time.Second) // one core, so that seven wait
		}
		submit("s", "s", 33, 100*time.Millisecond) // 32 cores: one task waits
		var refused []string
		co.loop.Do(func() {
			if co.jobs["s"] == nil {
				refused = append(refused, "s")
			}
		})
		c.Check(refused, quicktest.HasLen, 0)
		c.Check(len(a.orders) >= 32, quicktest.IsTrue, quicktest.Commentf("%d", len(a.orders)))

		s := job.Submission{Steps: []job.Step{
			{Count: 1, Size: wire.Resources{MilliCores: 1000}, Estimate: time.Second},
			{Count: 2, Size: wire.Resources{MilliCores: 4000}, Estimate: time.Second},
		}}
		j := newRun(s, time.Now())
		for _, tasks := range j.steps {
			for _, t := range tasks {
				t.state = taskWaiting
			}
		}
		c.Check(unplaced(j, nil), quicktest.Equals, 9.0)
		four := policy.Endpoint{Open: true, Free: policy.Room{MilliCores: 4000}, Capacity: wire.Resources{MilliCores: 4000}}
		c.Check(unplaced(j, []policy.Endpoint{four}), quicktest.Equals, 4.0)
	})
}

// Guards against callers who come for the first time and are refused, while the room goes to
// those who have waited elsewhere for longer than their objective: the crowd that returns
// after an outage. Also guards against a process that has to learn anew what an earlier one
// knew, and against knowledge of few jobs that replaces that of many.
func TestReturningCallersComeLast(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		job := func(id string, patience time.Duration) job.Submission {
			s := submission(id, 20)
			s.CallerTimeout = patience
			return s
		}
		co.Learn(Learned{Patience: map[string]policy.CallerPatience{"q": {Weight: 100, Needs: math.Log(0.1), Stated: math.Log(2), StatedSpread: 0.01}}})
		co.Learn(Learned{Patience: map[string]policy.CallerPatience{"q": {Weight: 50}}})
		c.Check(co.Learned().Patience["q"].Weight, quicktest.Equals, 100.0)
		a.c.Handle(a.name, a.connection, &wire.Status{ClosedReason: wire.RejectDraining})
		for _, s := range []struct {
			id       string
			patience time.Duration
		}{{"old", 500 * time.Millisecond}, {"new", 2 * time.Second}} {
			co.loop.Post(func() { co.submit(job(s.id, s.patience), waiting(), time.Now()) })
		}
		synctest.Wait()
		a.c.Handle(a.name, a.connection, &wire.Status{}) // 32 cores: room for one and a half
		synctest.Wait()
		c.Assert(len(a.orders) >= 20, quicktest.IsTrue, quicktest.Commentf("%d", len(a.orders)))
		for _, run := range a.orders[:20] {
			c.Check(run.Task[:3], quicktest.Equals, "new")
		}
	})
}

// Guards against an endpoint that fails no more and gets a task each 400 ms for seconds, and
// against one that fails on and gets several at once.
func TestEndpointThatWorksAgainGetsItsLoadBack(t *testing.T) {
	with(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		a.c.Handle(a.name, a.connection, &wire.Status{FailedPermille: 900})
		s := submission("j", 30)
		s.Queue.Stretch, s.Queue.Attempts = 100, 100
		co.loop.Post(func() { co.submit(s, waiting(), time.Now()) })
		answer := func(run wire.Run, state wire.RunState) {
			a.c.Handle(a.name, a.connection, &wire.Reports{
				Reports: []wire.Report{{Run: run, State: state}},
				Status:  &wire.Status{OrderedRuns: a.count, FailedPermille: 900},
			})
			synctest.Wait()
		}
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 1)
		answer(a.orders[0], wire.RunFailed)
		c.Check(a.orders, quicktest.HasLen, 1)
		time.Sleep(co.cfg.Timing.TrialInterval)
		a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count, FailedPermille: 900})
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 2)
		answer(a.orders[1], wire.RunDone)
		c.Assert(a.orders, quicktest.HasLen, 4, quicktest.Commentf("two at once"))
		answer(a.orders[2], wire.RunDone)
		answer(a.orders[3], wire.RunDone)
		c.Assert(a.orders, quicktest.HasLen, 4+8)
		answer(a.orders[4], wire.RunFailed)
		for _, run := range a.orders[5:12] {
			answer(run, wire.RunFailed)
		}
		c.Check(a.orders, quicktest.HasLen, 12, quicktest.Commentf("one at a time after a failure"))
	})
}
