package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against a task that crashes endpoint after endpoint, and against innocent tasks that are
// given up because endpoints crash for another reason.
func TestJudgeTask(t *testing.T) {
	c := quicktest.New(t)
	at := func(ms ...int) (out []TaskCrash) {
		for _, m := range ms {
			out = append(out, TaskCrash{Elapsed: time.Duration(m) * time.Millisecond})
		}
		return out
	}
	widespread, unanswered := at(10, 10), at(0, 0)
	widespread[1].Widespread, unanswered[0].Unanswered = true, true
	for _, tc := range []struct {
		name    string
		crashes []TaskCrash
		rate    float64
		want    CrashVerdict
	}{
		{"one crash", at(10), 0.1, Suspected},
		{"two crashes equally long after the start", at(10, 25), 0.1, ProbablyGuilty},
		{"two late crashes equally long after the start", at(510, 525), 0.1, ProbablyGuilty},
		{"two crashes at different times", at(10, 60), 0.1, Suspected},
		{"two crashes while all endpoints crash", at(10, 10), 1, Suspected},
		{"a crash of several endpoints at once", widespread, 0.1, Suspected},
		{"a start without a reply", unanswered, 0.1, Suspected},
		{"three crashes", at(10, 60, 900), 1, Guilty},
	} {
		c.Check(Policy{}.JudgeTask(tc.crashes, tc.rate), quicktest.Equals, tc.want, quicktest.Commentf(tc.name))
	}
}

// Guards against confined queues that take most endpoints of a service from the others, and
// against a confinement that does not end.
func TestConfinedEndpoints(t *testing.T) {
	c := quicktest.New(t)
	for _, tc := range []struct {
		endpoints int
		calm      time.Duration
		want      int
	}{
		{1, 0, 0}, {2, 0, 1}, {3, 0, 1}, {11, 0, 3}, {55, 0, 14},
		{11, calmBeforeExpansion, 6}, {3, calmBeforeExpansion, 2}, {2, calmBeforeExpansion, 0}, {11, calmBeforeRelease, 0},
	} {
		c.Check(ConfinedEndpoints(tc.endpoints, tc.calm), quicktest.Equals, tc.want, quicktest.Commentf("%v", tc))
	}
}

// Guards against tasks of a confined queue on other endpoints, against other tasks on its endpoints
// while there is capacity elsewhere, and against a confinement that leaves a task no endpoint.
func TestChooseEndpointWhileQueueIsConfined(t *testing.T) {
	c := quicktest.New(t)
	eps := []Endpoint{testEndpoint(0.5, 0), testEndpoint(1, 0), testEndpoint(2, 0)}
	for i := range eps {
		eps[i].ConfinementRank, eps[i].Confined = 2-i, i == 2
	}
	choose := func(label string, limit int) int {
		task := &Task{Size: taskSize, DeclaredRunTime: 100 * time.Millisecond, Budget: 300 * time.Millisecond, Label: label}
		task.Confine(eps, limit)
		p, ok := Policy{}.ChooseEndpoint(eps, task, 0)
		if !ok {
			return -1
		}
		return p.Index
	}
	c.Check(choose("", 0), quicktest.Equals, 0)
	c.Check(choose("", 1), quicktest.Equals, 2)
	eps[0].Labels = []string{"b"}
	c.Check(choose("b", 1), quicktest.Equals, 0)
	eps[2].Available = false
	c.Check(choose("", 1), quicktest.Equals, -1)
	eps[0].Available, eps[1].Available, eps[2].Available = false, false, true
	c.Check(choose("", 0), quicktest.Equals, 2)
	c.Check(FittingTasks(eps, &Task{Size: taskSize}), quicktest.Equals, 10)
	confined := &Task{Size: taskSize}
	eps[1].Available = true
	confined.Confine(eps, 1)
	c.Check(FittingTasks(eps, confined), quicktest.Equals, 10)
}

// Guards against two suspects that run on one endpoint although others are free: a second crash
// would not tell them apart.
func TestSuspectsRunApart(t *testing.T) {
	eps := []Endpoint{testEndpoint(0.5, 0), testEndpoint(1, 0)}
	eps[0].Suspects = 1
	p, ok := Policy{}.ChooseEndpoint(eps, &Task{Size: taskSize, DeclaredRunTime: 100 * time.Millisecond, Budget: time.Second, Suspect: true}, 0)
	quicktest.New(t).Check(p.Index == 1 && ok, quicktest.IsTrue)
}
