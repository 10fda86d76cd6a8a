package load_test

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/load"
)

// Policies are compared on the same arrivals, so a seed must determine the schedule.
func TestScheduleIsDeterministic(t *testing.T) {
	c := qt.New(t)
	p := load.Plan{Workload: load.Veils(), Seed: 7, Rate: 50, Duration: 20 * time.Second}
	a, b := p.Schedule(), p.Schedule()
	c.Assert(len(a), qt.Equals, len(b))
	for i := range a {
		c.Assert(a[i].At, qt.Equals, b[i].At)
		c.Assert(a[i].RunTimes, qt.DeepEquals, b[i].RunTimes)
	}
	p.Seed = 8
	c.Check(p.Schedule()[0].At, qt.Not(qt.Equals), a[0].At)
}

// With a wrong rate, results would be reported at a load that was not offered. The tolerance
// is five standard deviations of a Poisson count.
func TestScheduleArrivalRate(t *testing.T) {
	c := qt.New(t)
	p := load.Plan{
		Workload: load.Sleeves(), Seed: 3, Rate: 100, Duration: 100 * time.Second,
		Bursts: []load.Burst{{At: 50 * time.Second, Duration: 10 * time.Second, Factor: 4}},
	}
	inBurst, outside := 0, 0
	for _, s := range p.Schedule() {
		if s.At >= 50*time.Second && s.At < 60*time.Second {
			inBurst++
		} else {
			outside++
		}
	}
	c.Check(math.Abs(float64(inBurst)-4000) < 5*math.Sqrt(4000), qt.IsTrue, qt.Commentf("%d", inBurst))
	c.Check(math.Abs(float64(outside)-9000) < 5*math.Sqrt(9000), qt.IsTrue, qt.Commentf("%d", outside))
}

// The work in a schedule must match the load that its rate was computed for.
func TestRateForOffersLoad(t *testing.T) {
	c := qt.New(t)
	fleet := load.Fleet{{Speed: 1, Slots: 8}, {Speed: 4, Slots: 8}}
	for _, w := range []load.Workload{load.Veils(), load.Sleeves()} {
		p := load.Plan{Workload: w, Seed: 1, Rate: w.RateFor(0.7, fleet.Capacity()), Duration: 5 * time.Hour}
		work := 0.0
		for _, s := range p.Schedule() {
			work += s.Work().Seconds()
		}
		offered := work / p.Duration.Seconds() / fleet.Capacity()
		c.Check(math.Abs(offered-0.7) < 0.03, qt.IsTrue, qt.Commentf("%s offers %.3f", w.Name, offered))
	}
}

// The workloads must stay within the run times and job sizes that the users state.
func TestWorkloadsMatchSpecification(t *testing.T) {
	c := qt.New(t)
	for _, w := range []load.Workload{load.Veils(), load.Sleeves()} {
		p := load.Plan{Workload: w, Seed: 2, Rate: 100, Duration: time.Minute}
		longTasks, tasks, largest := 0, 0, 0
		for _, s := range p.Schedule() {
			largest = max(largest, len(s.RunTimes))
			c.Assert(len(s.RunTimes) >= 1 && len(s.RunTimes) <= load.MaxTasks, qt.IsTrue)
			c.Assert(!s.Class.Request || len(s.RunTimes) == 1, qt.IsTrue)
			for _, r := range s.RunTimes {
				tasks++
				c.Assert(r >= 50*time.Millisecond && r <= 5*time.Second, qt.IsTrue)
				if r > time.Second {
					longTasks++
				}
			}
		}
		c.Check(largest > 100, qt.IsTrue)
		share := float64(longTasks) / float64(tasks)
		c.Check(share > 0.003 && share < 0.03, qt.IsTrue, qt.Commentf("%s: %.4f tasks over 1 s", w.Name, share))
	}
}

// The ideal is a lower bound: a greedy schedule with known run times never finishes
// earlier. An ideal above a feasible schedule would hide slow answers.
func TestIdealIsLowerBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fleet := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) load.FleetEndpoint {
			return load.FleetEndpoint{Speed: rapid.Float64Range(0.25, 4).Draw(rt, "speed"), Slots: rapid.IntRange(1, 8).Draw(rt, "slots")}
		}), 1, 4).Draw(rt, "fleet")
		run := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond
		}), 1, 60).Draw(rt, "run")
		var slots []slot
		for _, e := range fleet {
			for range e.Slots {
				slots = append(slots, slot{speed: e.Speed})
			}
		}
		finish := 0.0
		for _, r := range run {
			best := 0
			for i := range slots {
				if slots[i].finishTime(r) < slots[best].finishTime(r) {
					best = i
				}
			}
			slots[best].busyUntil = slots[best].finishTime(r)
			finish = max(finish, slots[best].busyUntil)
		}
		ideal := load.Fleet(fleet).Ideal(load.Submission{RunTimes: run}).Seconds()
		if ideal > finish+1e-6 {
			rt.Fatalf("ideal %.6f s is above a feasible schedule of %.6f s", ideal, finish)
		}
	})
}

type slot struct{ speed, busyUntil float64 }

func (s slot) finishTime(r time.Duration) float64 { return s.busyUntil + r.Seconds()/s.speed }

func TestIdealExamples(t *testing.T) {
	c := qt.New(t)
	fleet := load.Fleet{{Speed: 1, Slots: 2}, {Speed: 4, Slots: 1}}
	c.Check(fleet.Ideal(load.Submission{RunTimes: []time.Duration{400 * time.Millisecond}}), qt.Equals, 100*time.Millisecond)
	c.Check(fleet.Ideal(load.Submission{RunTimes: []time.Duration{600 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond}}), qt.Equals, 300*time.Millisecond)
	c.Check(load.Fleet(nil).Ideal(load.Submission{RunTimes: []time.Duration{time.Second}}), qt.Equals, time.Duration(0))
}

func sampleResults() []load.Result {
	var results []load.Result
	for _, l := range []float64{0.5, 0.9} {
		r := load.NewRecorder()
		s := load.Submission{Class: &load.Class{Kind: "k"}, RunTimes: make([]time.Duration, 3)}
		for i := range 100 {
			r.Add(s, load.Complete, "", time.Duration(100+i)*time.Millisecond, 100*time.Millisecond)
		}
		r.Add(s, load.Refused, "queue_full", time.Millisecond, 0)
		r.Add(s, load.Failed, "agent_lost", time.Millisecond, 0)
		res := load.Result{Name: "sample", Policy: "naive", Load: l, Starts: 300, Traffic: load.Traffic{
			Messages: map[string]float64{"start": 300, "result": 300, "heartbeat": 30, "refused": 6},
			Bytes:    map[string]float64{"heartbeat": 1200, "refused": 240},
		}}
		r.FillResult(&res)
		results = append(results, res)
	}
	return results
}

// Refused and failed submissions must not be included in the response times.
func TestRecorder(t *testing.T) {
	c := qt.New(t)
	r := sampleResults()[0]
	c.Check(r.Sent, qt.Equals, 102)
	c.Check(r.Tasks, qt.Equals, 300)
	c.Check(r.Ratio.Count, qt.Equals, int64(100))
	c.Check(math.Abs(r.Ratio.P50-1.49) < 0.02, qt.IsTrue, qt.Commentf("%v", r.Ratio))
	c.Check(math.Abs(r.Ratio.Max-1.99) < 0.02, qt.IsTrue, qt.Commentf("%v", r.Ratio))
	c.Check(r.Verdicts, qt.DeepEquals, map[load.Verdict]int{load.Complete: 100, load.Refused: 1, load.Failed: 1})
	messages, bytes := r.Traffic.Overhead()
	c.Check(messages, qt.Equals, 36.0)
	c.Check(bytes, qt.Equals, 1440.0)
}

func TestReports(t *testing.T) {
	c := qt.New(t)
	results := sampleResults()
	var table, js bytes.Buffer
	c.Assert(load.WriteTable(&table, results), qt.IsNil)
	lines := strings.Split(table.String(), "\n")
	c.Check(strings.Count(lines[0], "|"), qt.Equals, strings.Count(lines[2], "|"))
	c.Check(table.String(), qt.Contains, "heartbeat 0.100")
	c.Assert(load.WriteJSON(&js, results), qt.IsNil)
	var back []load.Result
	c.Assert(json.Unmarshal(js.Bytes(), &back), qt.IsNil)
	c.Check(back, qt.DeepEquals, results)
	path := filepath.Join(t.TempDir(), "ratio.svg")
	c.Assert(load.SavePlot(path, results), qt.IsNil)
	svg, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Check(string(svg), qt.Contains, "naive p99")
	c.Check(load.SavePlot(path, nil), qt.IsNotNil)
}
