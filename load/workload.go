package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 150

// RunTimeDistribution is a distribution of run times on an endpoint of speed 1: uniform
// between TailMin and TailMax with probability TailProbability, otherwise log-uniform
// between Min and Max.
type RunTimeDistribution struct {
	Min, Max         time.Duration
	TailProbability  float64
	TailMin, TailMax time.Duration
}

func (r RunTimeDistribution) sample(rng *rand.Rand) time.Duration {
	if r.TailProbability > 0 && rng.Float64() < r.TailProbability {
		return r.TailMin + time.Duration(rng.Float64()*float64(r.TailMax-r.TailMin))
	}
	return time.Duration(float64(r.Min) * math.Pow(float64(r.Max)/float64(r.Min), rng.Float64()))
}

// Class is one kind of submission of a workload.
type Class struct {
	Kind       string
	Weight     float64 // share of arrivals relative to the other classes
	Request    bool    // a single request instead of a job
	Idempotent bool
	// The number of tasks of a job is log-uniform between MinTasks and MaxTasks.
	MinTasks, MaxTasks int
	RunTime            RunTimeDistribution
	// PayloadBytes is the length of the padding in the payload of each task.
	PayloadBytes int
	Deadline     time.Duration
}

// Workload is the mix of submissions of one user.
type Workload struct {
	Name    string
	Service string
	Team    string
	Classes []Class
}

// typicalRunTimes are the run times that both users state: most tasks take 50 ms to 1 s
// and a few take several seconds.
var typicalRunTimes = RunTimeDistribution{Min: 50 * time.Millisecond, Max: time.Second, TailProbability: 0.01, TailMin: 2 * time.Second, TailMax: 5 * time.Second}

var shortRunTimes = RunTimeDistribution{Min: 50 * time.Millisecond, Max: 300 * time.Millisecond}

// Veils is the workload of Gwenllian Veils & Lace Ltd.
func Veils() Workload {
	return Workload{Name: "veils", Service: "veil-desk", Team: "veils", Classes: []Class{
		{Kind: "lace-preview", Weight: 3, Idempotent: true, MinTasks: 2, MaxTasks: 40, RunTime: typicalRunTimes, PayloadBytes: 600, Deadline: 30 * time.Second},
		{Kind: "layout-render", Weight: 1, MinTasks: 10, MaxTasks: MaxTasks, RunTime: typicalRunTimes, PayloadBytes: 900, Deadline: 60 * time.Second},
		{Kind: "stock-check", Weight: 6, Request: true, RunTime: shortRunTimes, PayloadBytes: 120, Deadline: 5 * time.Second},
	}}
}

// Sleeves is the workload of Fraser Sleeve Collective.
func Sleeves() Workload {
	return Workload{Name: "sleeves", Service: "sleeve-desk", Team: "sleeves", Classes: []Class{
		{Kind: "quote-check", Weight: 6, Request: true, Idempotent: true, RunTime: shortRunTimes, PayloadBytes: 200, Deadline: 5 * time.Second},
		{Kind: "artwork-proof", Weight: 2, MinTasks: 4, MaxTasks: MaxTasks, RunTime: typicalRunTimes, PayloadBytes: 800, Deadline: 60 * time.Second},
		{Kind: "stock-hold", Weight: 2, Request: true, RunTime: shortRunTimes, PayloadBytes: 120, Deadline: 5 * time.Second},
	}}
}

// WorkloadByName returns the workload with the given name.
func WorkloadByName(name string) (Workload, error) {
	for _, w := range []Workload{Veils(), Sleeves()} {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("workload %q is not veils or sleeves", name)
}

// Scaled returns w with run times multiplied by factor and jobs of at most maxTasks
// tasks, for short test runs. Deadlines are not scaled.
func (w Workload) Scaled(factor float64, maxTasks int) Workload {
	w.Classes = slices.Clone(w.Classes)
	for i := range w.Classes {
		c := &w.Classes[i]
		for _, d := range []*time.Duration{&c.RunTime.Min, &c.RunTime.Max, &c.RunTime.TailMin, &c.RunTime.TailMax} {
			*d = time.Duration(float64(*d) * factor)
		}
		c.MaxTasks = min(c.MaxTasks, maxTasks)
		c.MinTasks = min(c.MinTasks, c.MaxTasks)
	}
	return w
}

// Submission is one scheduled arrival.
type Submission struct {
	At       time.Duration // since the start of the run
	Class    *Class
	RunTimes []time.Duration // of each task, at speed 1
}

// Work returns the total run time of all tasks at speed 1.
func (s Submission) Work() time.Duration {
	var sum time.Duration
	for _, r := range s.RunTimes {
		sum += r
	}
	return sum
}

func (w Workload) sample(rng *rand.Rand) Submission {
	total := 0.0
	for _, c := range w.Classes {
		total += c.Weight
	}
	threshold := rng.Float64() * total
	i := 0
	for ; i < len(w.Classes)-1 && threshold >= w.Classes[i].Weight; i++ {
		threshold -= w.Classes[i].Weight
	}
	c := &w.Classes[i]
	n := 1
	if !c.Request {
		low, high := float64(c.MinTasks), float64(c.MaxTasks)+1
		n = min(int(low*math.Pow(high/low, rng.Float64())), c.MaxTasks)
	}
	s := Submission{Class: c, RunTimes: make([]time.Duration, n)}
	for j := range s.RunTimes {
		s.RunTimes[j] = c.RunTime.sample(rng)
	}
	return s
}

// meanWorkSamples gives a standard error of the mean work below 1%.
const meanWorkSamples = 50_000

// MeanWork returns the expected work of one submission, estimated with a fixed seed.
func (w Workload) MeanWork() time.Duration {
	rng := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range meanWorkSamples {
		sum += float64(w.sample(rng).Work())
	}
	return time.Duration(sum / meanWorkSamples)
}
