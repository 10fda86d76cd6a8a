package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// reservationTest is a coordinator with agents whose endpoints have eight cores. The agents do not
// acknowledge orders, so that the coordinator counts the capacity in use by itself.
type reservationTest struct {
	*quicktest.C
	co     *Coordinator
	agents []*fakeAgent
}

func withReservations(t *testing.T, agents int, on bool, f func(x *reservationTest)) {
	t.Helper()
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, _ *fakeAgent, _ *fakeRecorder) {
		x := &reservationTest{C: c, co: co}
		co.loop.Do(func() {
			delete(co.agents, "host-1")
			if on {
				co.cfg.Policy, _ = policy.New([]string{string(policy.Reservations)}, nil)
			}
			co.reservations = newReservations(co.cfg.Policy)
		})
		for i := range agents {
			a := &fakeAgent{c: co, name: fmt.Sprintf("agent-%d", i)}
			x.agents = append(x.agents, a)
			a.connect()
			x.profile(a, 8000)
		}
		f(x)
	})
}

func (x *reservationTest) profile(a *fakeAgent, milliCores uint32) {
	capacity := wire.Resources{MilliCores: milliCores, MemoryMiB: 1000}
	x.co.Handle(a.name, a.connection, &wire.Status{Profile: &wire.Profile{Instance: "i-" + a.name, Service: "s", DataCentre: a.name, Capacity: capacity}})
	synctest.Wait()
}

// submit submits a job that can wait long, with the given priority.
func (x *reservationTest) submit(id string, priority, tasks int, milliCores uint32, run time.Duration) *activeJob {
	s := submission(id, tasks)
	s.Queue.Priority, s.Queue.TargetLatency = priority, time.Minute
	s.Steps = []job.Step{{Count: tasks, Size: wire.Resources{MilliCores: milliCores, MemoryMiB: 10}, Estimate: run}}
	x.co.loop.Do(func() { x.co.submit(s, newWaiter(), time.Now()) })
	synctest.Wait()
	return x.co.jobs[id]
}

// pass lets time pass, in which the given agents are heard.
func (x *reservationTest) pass(d time.Duration, agents ...*fakeAgent) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, a := range agents {
			x.co.Handle(a.name, a.connection, &wire.Reports{})
		}
	}
	synctest.Wait()
}

func (x *reservationTest) end(a *fakeAgent, r wire.Run) {
	x.co.Handle(a.name, a.connection, &wire.Reports{Reports: []wire.Report{{Run: r, State: wire.RunDone}}})
	synctest.Wait()
}

// reserved returns the names of the agents on which capacity is reserved.
func (x *reservationTest) reserved() (names []string) {
	for _, r := range x.co.reservations.byService {
		for _, h := range r.held {
			names = append(names, h.agent.name)
		}
	}
	return names
}

func (x *reservationTest) placed(j *activeJob) bool { return j.steps[0][0].agent != nil }

func (x *reservationTest) outcomes(o string) float64 {
	return testutil.ToFloat64(x.co.cfg.Metrics.reservations.outcomes.WithLabelValues(o))
}

// Guards against a reservation on an endpoint that gets no tasks any more or for a job that has ended:
// the task would wait for the endpoint in vain, and others would be held back for it.
func TestReservationOnFailedEndpointIsPlannedAgain(t *testing.T) {
	for name, fault := range map[string]func(x *reservationTest, a *fakeAgent){
		"connection lost": func(x *reservationTest, a *fakeAgent) { x.co.Disconnected(a.name, a.connection) },
		"agent silent": func(x *reservationTest, _ *fakeAgent) {
			x.co.loop.Do(func() { x.co.cfg.Timing.SuspectTimeout = 20 * time.Millisecond })
		},
		"agent gone": func(x *reservationTest, a *fakeAgent) {
			x.co.loop.Do(func() { x.co.cfg.Timing.OrphanTimeout = 20 * time.Millisecond })
			x.co.Disconnected(a.name, a.connection)
			for _, other := range x.agents {
				x.profile(other, 14000) // one core is left beside the tasks that run again
			}
		},
		"endpoint closed": status(wire.Status{ClosedReason: wire.RejectDraining}),
		"on probation":    status(wire.Status{FailedPermille: 900}),
		"capacity shrunk": func(x *reservationTest, a *fakeAgent) { x.profile(a, 7999) },
		"data centre closed": func(x *reservationTest, a *fakeAgent) {
			x.co.SetEvacuated(wire.Evacuated{Version: 1, DataCentres: []string{a.name}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			withReservations(t, 2, true, func(x *reservationTest) {
				x.submit("running", 1, 12, 1000, 100*time.Millisecond)
				large := x.submit("large", 0, 1, 8000, 100*time.Millisecond)
				small := x.submit("small", 2, 1, 1000, 200*time.Millisecond) // has capacity planned
				reserved, other := x.agents[0], x.agents[1]
				if small.steps[0][0].agent.name == reserved.name {
					reserved, other = other, reserved
				}
				x.Assert(x.reserved(), quicktest.DeepEquals, []string{reserved.name})
				x.pass(15*time.Millisecond, other)
				fault(x, reserved)
				x.pass(45*time.Millisecond, other)
				x.Check(x.outcomes(reservationReleased), quicktest.Equals, 1.0)
				held := x.submit("held", 3, 1, 1000, time.Minute)
				x.Check(x.reserved(), quicktest.DeepEquals, []string{other.name})
				x.Check(x.placed(held) && held.steps[0][0].agent.name == other.name, quicktest.IsFalse)
				x.Check(x.placed(large), quicktest.IsFalse)
				x.co.loop.Do(func() { x.co.remove(large) })
				x.pass(15*time.Millisecond, other)
				x.Check(x.placed(held) && len(x.reserved()) == 0, quicktest.IsTrue)
			})
		})
	}
}

func status(s wire.Status) func(*reservationTest, *fakeAgent) {
	return func(x *reservationTest, a *fakeAgent) { x.co.Handle(a.name, a.connection, &s) }
}

// Guards against capacity that is kept for good for a task that cannot use it, because runs take
// longer than planned, and against a delay of a job that comes earlier.
func TestReservationExpires(t *testing.T) {
	withReservations(t, 1, true, func(x *reservationTest) {
		x.submit("running", 1, 5, 1000, 400*time.Millisecond)
		large := x.submit("large", 1, 1, 8000, 100*time.Millisecond)
		held := x.submit("held", 2, 1, 1000, time.Minute)
		x.Check(x.placed(x.submit("earlier", 0, 1, 1000, 100*time.Millisecond)), quicktest.IsTrue)
		x.pass(570*time.Millisecond, x.agents...) // 560 ms are planned for the runs, and 140 ms for the large task
		short := x.submit("short", 2, 1, 1000, 50*time.Millisecond)
		x.pass(50*time.Millisecond, x.agents...)
		x.Check(x.placed(held) || x.placed(short), quicktest.IsFalse)
		x.Check(testutil.ToFloat64(x.co.cfg.Metrics.reservations.heldBack), quicktest.Equals, 2.0)
		x.pass(30*time.Millisecond, x.agents...)
		x.Check(x.placed(held), quicktest.IsTrue)
		x.pass(time.Second, x.agents...)
		x.Check(x.outcomes(reservationExpired), quicktest.Equals, 1.0)
		x.Check(x.outcomes(reservationMade), quicktest.Equals, 1.0, quicktest.Commentf("no other one there for the job"))
		x.Check(x.placed(large), quicktest.IsFalse)
	})
}

// Guards against an endpoint that counts as full for good because a run there is being stopped.
func TestReservationAfterStoppedRun(t *testing.T) {
	withReservations(t, 1, true, func(x *reservationTest) {
		a, gone := x.agents[0], x.submit("gone", 1, 2, 1000, time.Minute)
		x.co.loop.Do(func() { x.co.remove(gone) })
		x.co.Handle(a.name, a.connection, &wire.Status{OrderedRuns: a.count, Used: wire.Resources{MilliCores: 2000, MemoryMiB: 20}})
		x.submit("large", 1, 1, 8000, 100*time.Millisecond)
		x.Check(x.placed(x.submit("held", 2, 1, 1000, time.Minute)), quicktest.IsFalse)
		x.Check(x.reserved(), quicktest.HasLen, 1)
	})
}

// Guards against a large job that small ones of lower priority starve: they take each core as it
// becomes free, so that the endpoint is never idle.
func TestManySmallJobsDoNotStarveLargeOne(t *testing.T) {
	for _, on := range []bool{false, true} {
		withReservations(t, 1, on, func(x *reservationTest) {
			a, n, waited := x.agents[0], 0, time.Duration(0)
			var large *activeJob
			for ; waited < 3*time.Second && (large == nil || !x.placed(large)); waited += 10 * time.Millisecond {
				for _, t := range slices.Collect(maps.Values(x.co.agents[a.name].tasks)) {
					if time.Since(t.orderedAt) >= 100*time.Millisecond {
						x.end(a, t.runID())
					}
				}
				x.submit(fmt.Sprint("small-", n), 2, 1, 1000, 100*time.Millisecond)
				if n++; n == 20 {
					waited, large = 0, x.submit("large", 1, 1, 8000, 100*time.Millisecond)
				}
				x.pass(10*time.Millisecond, a)
			}
			x.Check(x.placed(large), quicktest.Equals, on)
			x.Check(on && (waited > 200*time.Millisecond || x.outcomes(reservationUsed) != 1), quicktest.IsFalse, quicktest.Commentf("%v", waited))
			x.Check(len(x.co.reservations.runTimes) > 0, quicktest.Equals, on) // nothing is learned while it is disabled
		})
	}
}

// Guards against a wide job of which some tasks run while the rest waits behind later jobs.
func TestReservationForRestOfWideJob(t *testing.T) {
	withReservations(t, 1, true, func(x *reservationTest) {
		x.submit("running", 1, 1, 1000, 100*time.Millisecond)
		wide := x.submit("wide", 1, 4, 2000, time.Second) // three fit, and one core is left
		x.Check(x.placed(x.submit("held", 2, 1, 500, time.Minute)), quicktest.IsFalse)
		x.Check(x.placed(x.submit("before", 2, 1, 500, 50*time.Millisecond)), quicktest.IsTrue)
		x.Check(x.reserved(), quicktest.HasLen, 1)
		for _, task := range []string{"running.0.0.0", "before.0.0.0"} {
			x.end(x.agents[0], wire.Run{Task: task, Number: 1})
		}
		x.Check(wide.steps[0][3].agent != nil && len(x.reserved()) == 0, quicktest.IsTrue)
	})
}
