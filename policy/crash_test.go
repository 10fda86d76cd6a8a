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
	cleared := at(10, 12, 10, 14)
	cleared[0].Cleared, cleared[1].Cleared = true, true
	for _, tc := range []struct {
		name    string
		crashes []TaskCrash
		want    CrashVerdict
	}{
		{"one crash", at(10), Suspected},
		{"two crashes equally long after the start", at(10, 25), ProbablyGuilty},
		{"two crashes at different times", at(10, 60), Suspected},
		{"two late crashes", at(510, 525), Suspected},
		{"three late crashes at a regular interval", at(510, 530, 525), Suspected},
		{"four late crashes", at(510, 528, 925, 615), Guilty},
		{"three crashes, two of them alike", at(10, 900, 28), ProbablyGuilty},
		{"three crashes at different times", at(10, 60, 900), Suspected},
		{"two crashes with another cause", cleared[:2], Suspected},
		{"two crashes with another cause, and one without", cleared[:3], Suspected},
		{"two crashes with another cause, and two without", cleared, Guilty},
		{"four crashes at different times", at(10, 60, 200, 900), Guilty},
	} {
		c.Check(Policy{}.JudgeTask(tc.crashes), quicktest.Equals, tc.want, quicktest.Commentf(tc.name))
	}
}

// Guards against confined queues that take most endpoints of a service from the others, and
// against a confinement that does not end.
func TestConfinedEndpoints(t *testing.T) {
	c := quicktest.New(t)
	for _, tc := range []struct {
		endpoints int
		needed    float64
		calm      time.Duration
		want      int
	}{
		{1, 0, 0, 0}, {2, 1, 0, 1}, {3, 2, 0, 1}, {11, 8, 0, 3}, {55, 50, 0, 14}, // a quarter
		{11, 4, 0, 5}, {11, 0, 0, 8}, {8, 3, 0, 3}, // the others need little
		{11, 8, calmBeforeExpansion, 6}, {3, 2, calmBeforeExpansion, 2}, {2, 1, calmBeforeExpansion, 0}, {11, 8, calmBeforeRelease, 0},
	} {
		c.Check(ConfinedEndpoints(tc.endpoints, tc.needed, tc.calm), quicktest.Equals, tc.want, quicktest.Commentf("%v", tc))
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
	task := &Task{Size: taskSize, DeclaredRunTime: 100 * time.Millisecond, Budget: time.Second, Suspect: true, SuspectRanks: []float64{0, 1}}
	p, ok := Policy{}.ChooseEndpoint(eps, task, 0)
	quicktest.New(t).Check(p.Index == 1 && ok, quicktest.IsTrue)
	eps[0].Suspects, eps[1].Slowness = 0, 0.5
	for i, ranks := range [][]float64{{0.2, 0.8}, {0.8, 0.2}} { // of the suspects of two entries
		task.SuspectRanks = ranks
		p, _ = Policy{}.ChooseEndpoint(eps, task, 0)
		quicktest.New(t).Check(p.Index, quicktest.Equals, i)
	}
}
