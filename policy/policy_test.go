package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

var (
	hostCapacity = wire.Resources{MilliCores: 32000, MemoryMiB: 100000}
	taskSize     = wire.Resources{MilliCores: 3000, MemoryMiB: 64}
)

func testEndpoint(slowness float64, used int) Endpoint {
	return Endpoint{Free: NewFreeCapacity(hostCapacity, taskSize.Times(used)), Capacity: hostCapacity, Slowness: slowness, Available: true, Local: true}
}

// Guards against tasks that are placed on endpoints that must not, or should not, run them.
func TestChooseEndpoint(t *testing.T) {
	c := quicktest.New(t)
	task := func() *Task {
		return &Task{Size: taskSize, DeclaredRunTime: 100 * time.Millisecond, Budget: 300 * time.Millisecond}
	}
	for _, tc := range []struct {
		name string
		eps  []Endpoint
		edit func(eps []Endpoint, t *Task)
		want int // endpoint index, -1 for none
	}{
		{"the fastest", []Endpoint{testEndpoint(1, 0), testEndpoint(0.5, 0), testEndpoint(2, 0)}, nil, 1},
		{"not an unavailable one", []Endpoint{testEndpoint(1, 0), testEndpoint(0.5, 0)}, func(eps []Endpoint, _ *Task) { eps[1].Available = false }, 0},
		{"not a full one", []Endpoint{testEndpoint(1, 0), testEndpoint(0.5, 11)}, nil, 0},
		{"a slower one rather than waiting for capacity", []Endpoint{testEndpoint(1.5, 0), testEndpoint(0.5, 10)}, nil, 0},
		{"where it has failed only as a last resort", []Endpoint{testEndpoint(2.9, 0), testEndpoint(0.5, 0)}, func(_ []Endpoint, t *Task) { t.Avoid = []int{1} }, 0},
		{"where it has failed if no other has free capacity", []Endpoint{testEndpoint(1, 11), testEndpoint(0.5, 0)}, func(_ []Endpoint, t *Task) { t.Avoid = []int{1} }, 1},
		{"only one that has the label", []Endpoint{testEndpoint(1, 0), testEndpoint(0.5, 0)}, func(eps []Endpoint, t *Task) { t.Label, eps[0].Labels = "b", []string{"b"} }, 0},
		{"in the rack of its data", []Endpoint{testEndpoint(1, 0), testEndpoint(0.8, 0)}, func(eps []Endpoint, t *Task) {
			t.DataRack, t.FarFactor, eps[0].Labels = "r1", 1.5, []string{"r1"}
		}, 0},
		{"not beyond the limit for an endpoint", []Endpoint{testEndpoint(1, 0), testEndpoint(0.5, 0)}, func(_ []Endpoint, t *Task) {
			t.MaxPerEndpoint, t.PlacedByEndpoint = 2, map[int]int{1: 2}
		}, 0},
		{"the less used of two equal ones", []Endpoint{testEndpoint(1, 6), testEndpoint(1, 2)}, nil, 1},
		{"the local one of two equal ones", []Endpoint{testEndpoint(1, 2), testEndpoint(1, 2)}, func(eps []Endpoint, _ *Task) { eps[0].Local = false }, 1},
		{"none", []Endpoint{testEndpoint(1, 11)}, nil, -1},
		{"none that is large enough", []Endpoint{testEndpoint(1, 0)}, func(_ []Endpoint, t *Task) { t.Size.MilliCores = 33000 }, -1},
	} {
		for random := range uint64(3) {
			p := task()
			eps := append([]Endpoint(nil), tc.eps...)
			if tc.edit != nil {
				tc.edit(eps, p)
			}
			choice, ok := (Policy{}).ChooseEndpoint(eps, p, random)
			got := choice.Index
			if !ok {
				got = -1
			}
			c.Check(got, quicktest.Equals, tc.want, quicktest.Commentf("%s", tc.name))
		}
	}
}

// Guards against a job that is kept waiting although it will miss its objective, and against
// the refusal of jobs that could still be served.
func TestShouldRefuse(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	job := QueuedJob{Arrived: now, Objective: now.Add(400 * time.Millisecond), ExpectedRunTime: 200 * time.Millisecond, UnplacedCores: 1}
	after := func(j QueuedJob, ms int) bool {
		return (Policy{}).ShouldRefuse(&j, now.Add(time.Duration(ms)*time.Millisecond))
	}
	c.Check(after(job, 0), quicktest.IsFalse)
	c.Check(after(job, 99), quicktest.IsFalse)
	c.Check(after(job, 100), quicktest.IsTrue) // half of the 200 ms of slack
	pastObjective, placed, started := job, job, job
	pastObjective.ExpectedRunTime = 500 * time.Millisecond
	c.Check(after(pastObjective, 0), quicktest.IsTrue)
	placed.UnplacedCores = 0
	c.Check(after(placed, 3600_000), quicktest.IsFalse)
	started.Started = true
	c.Check(after(started, 3600_000), quicktest.IsFalse)
	releases := NewReleases([]Release{{100 * time.Millisecond, 50}, {50 * time.Millisecond, 50}})
	c.Check(RetryAfter(3000, releases), quicktest.Equals, 3*time.Second)
	c.Check(RetryAfter(0, releases), quicktest.Equals, time.Second)
	c.Check(RetryAfter(1e6, releases), quicktest.Equals, 5*time.Second)
}

// Guards against predictions that derive the rate of release from the number of used cores
// alone: long runs keep their cores while short jobs wait.
func TestReleases(t *testing.T) {
	c := quicktest.New(t)
	long := NewReleases([]Release{{time.Second, 90}, {100 * time.Millisecond, 10}})
	until := func(r Releases, cores float64) time.Duration {
		after, ok := r.TimeUntilFree(cores)
		c.Assert(ok, quicktest.IsTrue)
		return after
	}
	c.Check(until(long, 0), quicktest.Equals, time.Duration(0))
	c.Check(until(long, 10), quicktest.Equals, 100*time.Millisecond)
	c.Check(until(long, 11), quicktest.Equals, time.Second)
	c.Check(until(long, 205), quicktest.Equals, 2100*time.Millisecond)
	_, ok := Releases{}.TimeUntilFree(1)
	c.Check(ok, quicktest.IsFalse)
	c.Check(RemainingRunTime(time.Second, 300*time.Millisecond), quicktest.Equals, 700*time.Millisecond)
	c.Check(RemainingRunTime(time.Second, 2*time.Second), quicktest.Equals, 250*time.Millisecond)
}

// Guards against an order that starves jobs that can meet their objective, or urgent jobs.
func TestCompare(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	base := QueuedJob{Priority: 1, Arrived: now, Objective: now.Add(time.Second), ExpectedRunTime: 100 * time.Millisecond}
	late, started, urgent, older := base, base, base, base
	late.Objective = now
	started.Started = true
	urgent.Priority = 0
	older.Arrived = now.Add(-time.Millisecond)
	for i, first := range []QueuedJob{base, started, urgent, older} {
		c.Check((Policy{}).Compare(&first, &late, now) < 0, quicktest.IsTrue, quicktest.Commentf("%d", i))
	}
	for i, first := range []QueuedJob{started, urgent, older} {
		c.Check((Policy{}).Compare(&first, &base, now) < 0, quicktest.IsTrue, quicktest.Commentf("%d", i))
		c.Check((Policy{}).Compare(&base, &first, now) > 0, quicktest.IsTrue, quicktest.Commentf("%d", i))
	}
	c.Check((Policy{}).Compare(&started, &urgent, now) < 0, quicktest.IsTrue)
}

// Guards against a job that can wait long but takes the capacity that a short job needs, which
// arrived a moment later and is refused, and against short jobs that starve a long one.
func TestUrgentJobsComeFirst(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	long := QueuedJob{Arrived: now, Objective: now.Add(ms(2000)), ExpectedRunTime: ms(1000)}
	short := QueuedJob{Arrived: now.Add(ms(5)), Objective: now.Add(ms(305)), ExpectedRunTime: ms(100)}
	at := now.Add(ms(10))
	c.Check((Policy{}).Compare(&short, &long, at) < 0, quicktest.IsTrue)
	c.Check((Policy{}).Compare(&long, &short, at) > 0, quicktest.IsTrue)
	byArrival, err := Without(string(UrgentFirst))
	c.Assert(err, quicktest.IsNil)
	c.Check(byArrival.Compare(&long, &short, at) < 0, quicktest.IsTrue)
	later := short
	later.Arrived, later.Objective = now.Add(ms(450)), now.Add(ms(750))
	c.Check((Policy{}).Compare(&long, &later, now.Add(ms(460))) < 0, quicktest.IsTrue)
}

// Guards against moves that discard work without a benefit for the caller.
func TestShouldMove(t *testing.T) {
	c := quicktest.New(t)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	c.Check((Policy{}).ShouldMove(Straggler{Remaining: ms(200), RunTimeElsewhere: ms(50), Budget: ms(300)}), quicktest.IsFalse) // meets the objective where it runs
	c.Check((Policy{}).ShouldMove(Straggler{Remaining: ms(400), RunTimeElsewhere: ms(100), Budget: ms(300)}), quicktest.IsTrue)
	c.Check((Policy{}).ShouldMove(Straggler{Remaining: ms(400), RunTimeElsewhere: ms(290), Budget: ms(300)}), quicktest.IsFalse) // misses the objective on the other endpoint too
	c.Check((Policy{}).ShouldMove(Straggler{Remaining: time.Minute, RunTimeElsewhere: ms(500), Budget: ms(300)}), quicktest.IsTrue)
}

func BenchmarkChooseEndpoint(b *testing.B) {
	eps := make([]Endpoint, 74)
	for i := range eps {
		eps[i] = testEndpoint(0.6+0.02*float64(i), i%11)
	}
	task := &Task{Size: taskSize, DeclaredRunTime: 100 * time.Millisecond, Budget: time.Second}
	b.ReportAllocs()
	for i := range b.N {
		(Policy{}).ChooseEndpoint(eps, task, uint64(i))
	}
}

// Guards against stored tasks on an endpoint that rejects them because the ends of its runs are
// not recorded.
func TestStoredTasksSkipEndpointsThatRejectThem(t *testing.T) {
	c := quicktest.New(t)
	size := wire.Resources{MilliCores: 1000}
	e := Endpoint{Free: FreeCapacity{MilliCores: 4000}, Capacity: wire.Resources{MilliCores: 4000}, Slowness: 1, Available: true, RejectsStored: true}
	_, ok := (Policy{}).ChooseEndpoint([]Endpoint{e}, &Task{Size: size, Stored: true}, 0)
	c.Check(ok, quicktest.IsFalse)
	_, ok = (Policy{}).ChooseEndpoint([]Endpoint{e}, &Task{Size: size}, 0)
	c.Check(ok, quicktest.IsTrue)
}

// Guards against a misspelt name that leaves a mechanism enabled without an error, and against
// mechanisms that are disabled by default.
func TestMechanisms(t *testing.T) {
	c := quicktest.New(t)
	for _, m := range Mechanisms() {
		c.Check((Policy{}).Uses(m), quicktest.IsTrue)
		p, err := Without(string(m))
		c.Assert(err, quicktest.IsNil)
		for _, other := range Mechanisms() {
			c.Check(p.Uses(other), quicktest.Equals, other != m)
		}
	}
	_, err := Without("moves", "move")
	c.Check(err, quicktest.ErrorMatches, `"move" is not a mechanism of the policy; valid names are moves, patience, .*`)
}

// Guards against mechanisms that stay in effect after they are disabled.
func TestDisabledMechanisms(t *testing.T) {
	c := quicktest.New(t)
	without := func(m Mechanism) Policy {
		p, err := Without(string(m))
		c.Assert(err, quicktest.IsNil)
		return p
	}
	now := time.Unix(1000, 0)
	job := QueuedJob{Arrived: now, Objective: now.Add(400 * time.Millisecond), ExpectedRunTime: 200 * time.Millisecond, UnplacedCores: 1}
	c.Check(without(Patience).ShouldRefuse(&job, now.Add(time.Hour)), quicktest.IsFalse)
	late, started := job, job
	late.Objective, late.Arrived = now, now.Add(-time.Second)
	started.Started, started.Arrived = true, now.Add(time.Second)
	c.Check(without(InTimeFirst).Compare(&late, &job, now) < 0, quicktest.IsTrue)
	c.Check(without(BegunFirst).Compare(&started, &job, now) > 0, quicktest.IsTrue)
	c.Check(without(Trust).OnProbation(false, 1), quicktest.IsFalse)
	c.Check(without(Moves).ShouldMove(Straggler{Remaining: time.Minute}), quicktest.IsFalse)
	task := &Task{Size: taskSize, DeclaredRunTime: time.Second, Budget: time.Minute}
	task.Avoid = []int{0}
	choice, _ := without(Avoid).ChooseEndpoint([]Endpoint{testEndpoint(0.5, 0), testEndpoint(1, 0)}, task, 0)
	c.Check(choice.Index, quicktest.Equals, 0)
	task = &Task{Size: taskSize, DeclaredRunTime: time.Microsecond, Budget: time.Minute}
	far := testEndpoint(1, 0)
	far.Local = false
	choice, _ = without(Local).ChooseEndpoint([]Endpoint{far, testEndpoint(1, 1)}, task, 0)
	c.Check(choice.Index, quicktest.Equals, 0)
	choice, _ = without(Spread).ChooseEndpoint([]Endpoint{far, testEndpoint(1, 1)}, task, 0)
	c.Check(choice.Index, quicktest.Equals, 1)
}

// Guards against a recovered endpoint that regains its load too slowly, and against an endpoint
// that keeps failing but gets more than one task at a time.
func TestTrialTasks(t *testing.T) {
	c := quicktest.New(t)
	c.Check(TrialTasks(0), quicktest.Equals, 1)
	c.Check(TrialTasks(1), quicktest.Equals, 2)
	c.Check(TrialTasks(3), quicktest.Equals, 8)
	c.Check(TrialTasks(1000), quicktest.Equals, 1<<maxTrialDoublings)
}
