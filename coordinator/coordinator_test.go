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

// fakeAgent is an agent with one endpoint that stores the messages of the entry.
type fakeAgent struct {
	c          *Coordinator
	name       string
	connection uint64
	orders     []wire.Run
	groups     []wire.OrderGroup
	confirms   []wire.Run
	stops      []wire.Run
	evacuated  []wire.Evacuated
	count      uint64
	crashes    int
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
			a.confirms = append(a.confirms, m.Runs...)
		case *wire.Evacuated:
			a.evacuated = append(a.evacuated, *m)
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

// newWaiter returns a waiter whose caller keeps waiting.
func newWaiter() waiter {
	return waiter{answer: make(chan outcome, 1), disconnected: func() bool { return false }}
}

// fakeRecorder records progress immediately.
type fakeRecorder struct {
	c          *Coordinator
	reported   map[string]job.Progress
	holdsLease bool
	ends       []wire.Run
}

func (r *fakeRecorder) ReportProgress(id string, p job.Progress) {
	r.reported[id] = p
	r.c.ProgressRecorded(id, p)
}
func (r *fakeRecorder) HoldsLease() bool { return r.holdsLease }
func (r *fakeRecorder) RecordEnd(agent string, run wire.Run) bool {
	r.ends = append(r.ends, run)
	return true
}
func (r *fakeRecorder) JobFinished(string, uint64) bool { return false }

// withCoordinator runs f with a coordinator, an agent and a recorder in a synctest bubble.
func withCoordinator(t *testing.T, f func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		co := New(Config{Timing: DefaultTiming(1300*time.Millisecond, 1.5), Metrics: NewMetrics(prometheus.NewRegistry())})
		r := &fakeRecorder{c: co, reported: make(map[string]job.Progress), holdsLease: true}
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

// Guards against a takeover that runs tasks again although they are recorded as done:
// unblocking a step must not make its completed tasks wait for capacity.
func TestAdoptedJobSkipsDoneTasks(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		var p job.Progress
		p.MarkDone(0, 1)
		co.Adopt(submission("j", 3), p, 2)
		synctest.Wait()
		c.Check(a.orders, quicktest.DeepEquals, []wire.Run{{Task: "j.0.0.0", Number: 2*job.RunNumbersPerEpoch + 1}, {Task: "j.0.0.2", Number: 2*job.RunNumbersPerEpoch + 1}})
		a.report(a.orders[0], wire.RunDone)
		synctest.Wait()
		c.Check(a.confirms, quicktest.HasLen, 0) // the end is not recorded yet
		a.report(a.orders[1], wire.RunDone)
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.Completed)
		c.Check(a.confirms, quicktest.HasLen, 2)
	})
}

// Guards against a task that is run again although an agent kept the end of a run that a former
// owner ordered, whether it is reported before or after the job is adopted.
func TestUnclaimedEndsCountAfterAdoption(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		first, second := wire.Run{Task: "j.0.0.0", Number: 7}, wire.Run{Task: "j.0.0.1", Number: 7}
		a.report(first, wire.RunDone)
		co.Adopt(submission("j", 2), job.Progress{}, 2)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 1)
		a.report(second, wire.RunDone)
		synctest.Wait()
		c.Check(a.stops, quicktest.DeepEquals, a.orders)
		c.Check(r.reported["j"].State, quicktest.Equals, job.Completed)
		c.Check(a.confirms, quicktest.DeepEquals, []wire.Run{first, second})
	})
}

// Guards against a task that is run again because its end was reported before its job changed
// owners more than once, and against failures that are counted twice: by the former owner, and
// from the unclaimed ends of this one.
func TestUnclaimedEndsAreKeptUntilAdoption(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		heartbeats := func(d time.Duration) { // keeps the agent from becoming suspect
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count})
			}
		}
		a.report(wire.Run{Task: "j.0.0.0", Number: 7}, wire.RunDone)
		a.report(wire.Run{Task: "j.0.0.1", Number: 7}, wire.RunFailed) // counted by the former owner
		heartbeats(10 * time.Second)
		a.report(wire.Run{Task: "j.0.0.2", Number: 7}, wire.RunFailed) // not counted yet
		heartbeats(300 * time.Millisecond)
		co.Adopt(submission("j", 3), job.Progress{Failures: map[string]int{"j.0.0.1": 1}}, 2)
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 2)
		c.Assert(a.orders[0].Task, quicktest.Equals, "j.0.0.1")
		a.report(a.orders[0], wire.RunFailed) // the second failure, which fails the job
		synctest.Wait()
		c.Check(r.reported["j"].State, quicktest.Equals, job.Failed)
		c.Check(r.reported["j"].Failures, quicktest.DeepEquals, map[string]int{"j.0.0.1": 2, "j.0.0.2": 1})
	})
}

// Guards against orders of an owner whose lease ended while its process was suspended.
func TestOwnerWithoutLeaseOrdersNothing(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
		r.holdsLease = false
		co.Adopt(submission("j", 2), job.Progress{}, 2)
		time.Sleep(time.Second)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 0)
	})
}

// Guards against a job that fails too late or too early: the queue allows two failed runs of a
// task.
func TestAttempts(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, r *fakeRecorder) {
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

// Guards against a stored task that is ordered as an ephemeral one, or with another priority,
// because it shares a message with a task of the same payload and size. Its agent would drop
// the end immediately, and the next owner of the job would run the task again (soak seed 114).
func TestBatchedOrdersKeepJobAttributes(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		urgent := submission("b", 1)
		urgent.Queue.Priority = -1
		// All are placed in one batch when the agent accepts tasks again.
		a.c.Handle(a.name, a.connection, &wire.Status{ClosedReason: wire.RejectDraining})
		co.loop.Post(func() { co.submit(submission("a", 1), newWaiter(), time.Now()) })
		co.loop.Post(func() { co.submit(urgent, newWaiter(), time.Now()) })
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
		c.Check(before("b.0.0.0", "a.0.0.0"), quicktest.IsTrue) // because of its priority
	})
}

// Guards against orders to the endpoints of an evacuated data centre, and against agents that
// are not informed of the evacuation.
func TestEvacuatedDataCentreGetsNoOrder(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		a.c.Handle(a.name, a.connection, &wire.Status{
			Profile: &wire.Profile{Instance: "i", Service: "s", DataCentre: "north", Capacity: wire.Resources{MilliCores: 32000, MemoryMiB: 1000}},
		})
		co.SetEvacuated(wire.Evacuated{Version: 3, DataCentres: []string{"north"}})
		co.SetEvacuated(wire.Evacuated{Version: 2})
		go func() { _, _ = co.Submit(context.Background(), submission("a", 1)) }()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 0)
		c.Check(a.evacuated, quicktest.DeepEquals, []wire.Evacuated{{Version: 3, DataCentres: []string{"north"}}})
		a.connect()
		synctest.Wait()
		c.Check(a.evacuated, quicktest.HasLen, 2) // a new connection is informed as well
		co.SetEvacuated(wire.Evacuated{Version: 4})
		go func() { _, _ = co.Submit(context.Background(), submission("b", 1)) }()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		c.Check(len(a.orders) > 0, quicktest.IsTrue)
	})
}

// Guards against the refusal of a job that can be placed but has waited for its share of the
// slack: because another entry forwarded it, or because a slow process handled it late. 34 of
// 262 refusals in a day had no work ahead of them.
func TestJobWithFreeCapacityIsNotRefused(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
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

// Guards against jobs that are refused because of the backlog of another service, and against
// demand that is computed from the size of the first step only.
func TestBacklogIsCountedPerService(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		other := &fakeAgent{c: co, name: "other"}
		other.connect()
		co.Handle(other.name, other.connection, &wire.Status{
			Profile: &wire.Profile{Instance: "i-other", Service: "t", Capacity: wire.Resources{MilliCores: 1000, MemoryMiB: 1000}},
		})
		submit := func(id, service string, tasks int, runs time.Duration) {
			s := submission(id, tasks)
			s.Queue.Service, s.Steps[0].Estimate = service, runs
			if service == "t" {
				s.Queue.Stretch = 1000 // its jobs can wait long
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
		j := newActiveJob(s, time.Now())
		for _, tasks := range j.steps {
			for _, t := range tasks {
				t.state = taskWaiting
			}
		}
		c.Check(co.unplacedCores(j, new(serviceView)), quicktest.Equals, 9.0)
		four := policy.Endpoint{Available: true, Free: policy.FreeCapacity{MilliCores: 4000}, Capacity: wire.Resources{MilliCores: 4000}}
		c.Check(co.unplacedCores(j, &serviceView{endpoints: []policy.Endpoint{four}, largestFree: four.Free}), quicktest.Equals, 4.0)
	})
}

// Guards against the refusal of new callers while the capacity goes to those that have already
// waited at other entries for longer than their objective: the burst of retries after an
// outage. Also guards against a process that ignores the learned state of an earlier one, and
// against a model of few jobs that replaces one of many.
func TestReturningCallersAreServedLast(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		job := func(id string, timeout time.Duration) job.Submission {
			s := submission(id, 20)
			s.CallerTimeout = timeout
			return s
		}
		co.ImportLearned(LearnedState{CallerTimeouts: map[string]policy.CallerTimeoutModel{"q": {Weight: 100, MeanLogRunTime: math.Log(0.1), MeanLogTimeout: math.Log(2), VarLogTimeout: 0.01}}})
		co.ImportLearned(LearnedState{CallerTimeouts: map[string]policy.CallerTimeoutModel{"q": {Weight: 50}}})
		c.Check(co.ExportLearned().CallerTimeouts["q"].Weight, quicktest.Equals, 100.0)
		a.c.Handle(a.name, a.connection, &wire.Status{ClosedReason: wire.RejectDraining})
		for _, s := range []struct {
			id      string
			timeout time.Duration
		}{{"old", 500 * time.Millisecond}, {"new", 2 * time.Second}} {
			co.loop.Post(func() { co.submit(job(s.id, s.timeout), newWaiter(), time.Now()) })
		}
		synctest.Wait()
		a.c.Handle(a.name, a.connection, &wire.Status{}) // 32 cores: capacity for one and a half jobs
		synctest.Wait()
		c.Assert(len(a.orders) >= 20, quicktest.IsTrue, quicktest.Commentf("%d", len(a.orders)))
		for _, run := range a.orders[:20] {
			c.Check(run.Task[:3], quicktest.Equals, "new")
		}
	})
}

// Guards against a recovered endpoint that gets only one task per 400 ms for seconds, and
// against one that keeps failing but gets several tasks at once.
func TestRecoveredEndpointRegainsLoad(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		a.c.Handle(a.name, a.connection, &wire.Status{FailedPermille: 900})
		s := submission("j", 30)
		s.Queue.Stretch, s.Queue.Attempts = 100, 100
		co.loop.Post(func() { co.submit(s, newWaiter(), time.Now()) })
		report := func(run wire.Run, state wire.RunState) {
			a.c.Handle(a.name, a.connection, &wire.Reports{
				Reports: []wire.Report{{Run: run, State: state}},
				Status:  &wire.Status{OrderedRuns: a.count, FailedPermille: 900},
			})
			synctest.Wait()
		}
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 1)
		report(a.orders[0], wire.RunFailed)
		c.Check(a.orders, quicktest.HasLen, 1)
		time.Sleep(co.cfg.Timing.TrialInterval)
		a.c.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count, FailedPermille: 900})
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 2)
		report(a.orders[1], wire.RunDone)
		c.Assert(a.orders, quicktest.HasLen, 4, quicktest.Commentf("two at once"))
		report(a.orders[2], wire.RunDone)
		report(a.orders[3], wire.RunDone)
		c.Assert(a.orders, quicktest.HasLen, 4+8)
		report(a.orders[4], wire.RunFailed)
		for _, run := range a.orders[5:12] {
			report(run, wire.RunFailed)
		}
		c.Check(a.orders, quicktest.HasLen, 12, quicktest.Commentf("one at a time after a failure"))
	})
}

// Guards against a stored model that no entry has learned and that makes every job of its queue
// look too late: it was refused as soon as it had to wait, at all entries and for good.
func TestFalseLearnedStateIsIgnored(t *testing.T) {
	for name, m := range map[string]policy.CallerTimeoutModel{
		"none":                 {},
		"largest numbers":      {Weight: math.MaxFloat64, MeanLogTimeout: math.MaxFloat64, VarLogRunTime: math.MaxFloat64, VarLogTimeout: math.MaxFloat64, Covariance: math.MaxFloat64},
		"timeout overflows":    {Weight: 500, MeanLogTimeout: 1000},
		"weight too large":     {Weight: 501, MeanLogTimeout: 5},
		"negative weight":      {Weight: -1},
		"negative variance":    {Weight: 500, MeanLogTimeout: 5, VarLogTimeout: -1},
		"slope too large":      {Weight: 500, VarLogRunTime: 1e-300, Covariance: -10},
		"covariance too large": {Weight: 500, MeanLogTimeout: 5, VarLogRunTime: 1, VarLogTimeout: 1, Covariance: 2},
	} {
		t.Run(name, func(t *testing.T) {
			withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
				if name != "none" {
					co.ImportLearned(LearnedState{CallerTimeouts: map[string]policy.CallerTimeoutModel{"q": m}})
				}
				c.Check(co.ExportLearned().CallerTimeouts, quicktest.HasLen, 0)
				a.c.Handle(a.name, a.connection, &wire.Status{ClosedReason: wire.RejectDraining})
				s, w := submission("j", 2), newWaiter()
				s.CallerTimeout = 2 * time.Second
				co.loop.Post(func() { co.submit(s, w, time.Now()) })
				time.Sleep(20 * time.Millisecond)
				a.c.Handle(a.name, a.connection, &wire.Status{})
				synctest.Wait()
				c.Check(a.orders, quicktest.HasLen, 2)
			})
		})
	}
}

// Guards against ends that an agent keeps for good where no jobs are stored: a restarted agent does not
// know whether the runs that it finds are stored ones, and would reject all runs once the kept ends hold
// up too many others.
func TestEndsAreConfirmedWithoutRecorder(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		co.loop.Do(func() { co.recorder = nil })
		run := wire.Run{Task: "j.0.0.0", Number: 1}
		a.report(run, wire.RunDone)
		synctest.Wait()
		c.Check(a.confirms, quicktest.DeepEquals, []wire.Run{run})
	})
}
