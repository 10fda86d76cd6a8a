package trial

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/emulator"
	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// overload is a load above the capacity of one service, after a second of light load: urgent jobs of
// 60 ms, normal ones of 200 ms and batch jobs of 900 ms, whose declared run times are off by 40%.
type overload struct {
	seed      uint64
	factor    float64 // load as a multiple of the capacity
	length    time.Duration
	endpoints int
	longTasks int // of 100 tasks, which run 7 times as long
	faults    []Fault
	// callersWait is the time for which refused callers return when they are told. It is 0 if they
	// do not return.
	callersWait time.Duration
}

func (o *overload) scenario() Scenario {
	g := generator{Rand: rand.New(rand.NewPCG(o.seed, 7))}
	s := Scenario{Seed: o.seed, Entries: []uint32{800}, Faults: o.faults}
	capacity := 0.0
	for i := range o.endpoints {
		e := Endpoint{Service: "s", Slowness: 1 / 1.2, Capacity: wire.Resources{MilliCores: 16000 + 8000*uint32(i%2), MemoryMiB: 1 << 18}}
		if i%4 == 0 {
			e.Slowness = 1 / 0.55
		}
		capacity += float64(e.Capacity.MilliCores) / 1000 / e.Slowness
		s.Endpoints = append(s.Endpoints, e)
	}
	for priority, k := range []struct {
		queue string
		tasks int
		work  time.Duration
		rate  float64 // jobs/s at which the three queues together use 711 cores
	}{{"urgent", 8, 60 * time.Millisecond, 206}, {"normal", 2, 200 * time.Millisecond, 600}, {"batch", 4, 900 * time.Millisecond, 37.5}} {
		q := job.Queue{Name: k.queue, Service: "s", Priority: priority, Attempts: 3, Stretch: 1.6, TargetLatency: 60 * time.Millisecond}
		for at := time.Duration(0); at < o.length; {
			rate := k.rate * capacity / 711
			if at > time.Second {
				rate *= o.factor
			} else {
				rate *= 0.7
			}
			at += time.Duration(g.ExpFloat64() / rate * float64(time.Second))
			work := time.Duration(float64(k.work) * g.logNormal(0.3))
			a := Arrival{At: at, Job: job.Submission{
				ID: fmt.Sprintf("%016x", g.Uint64()), Queue: q, Ephemeral: true, CallerTimeout: 1500 * time.Millisecond,
				Steps: []job.Step{{Count: k.tasks, Size: wire.Resources{MilliCores: 1500, MemoryMiB: 16}, Estimate: time.Duration(float64(work) * g.logNormal(0.4))}},
			}}
			for range k.tasks {
				factor := time.Duration(1)
				if g.IntN(100) < o.longTasks {
					factor = 7
				}
				a.Work = append(a.Work, work*factor)
			}
			s.Arrivals = append(s.Arrivals, a)
		}
	}
	slices.SortFunc(s.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return s
}

// queueOutcome counts what the callers of a queue got after the second of light load.
type queueOutcome struct {
	jobs, inTime, late, refused int
	refusalTime                 time.Duration // sum
	early, sampled, wrong       int           // by the log of the entry
}

func (q *queueOutcome) meanRefusalTime() time.Duration {
	return q.refusalTime / time.Duration(max(q.refused, 1))
}

var forecastEvent = regexp.MustCompile(`event=(619|601) .* queue=(\w+) (?:in_time=(\w+)|.* early=true)`)

// play returns the outcome of each queue and of all jobs, which is named "all".
func (o *overload) play(t *testing.T, on ...string) map[string]*queueOutcome {
	out := map[string]*queueOutcome{"urgent": {}, "normal": {}, "batch": {}, "all": {}}
	p, err := policy.New(on, nil)
	qt.Assert(t, err, qt.IsNil)
	s, log := o.scenario(), new(bytes.Buffer)
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		system := emulator.NewPolicySystem(ctx, s.newEndpoints(), s.Entries, p, log)
		time.Sleep(2500 * time.Millisecond)
		start := time.Now()
		for _, f := range s.Faults {
			time.AfterFunc(f.At, func() { injectFault(system, &s, f, true) })
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		var answers []emulator.Answer
		for i := range s.Arrivals {
			a := &s.Arrivals[i]
			time.Sleep(time.Until(start.Add(a.At)))
			wg.Go(func() {
				first, sent := time.Now(), time.Now()
				for {
					ctx, cancel := context.WithTimeout(ctx, a.Job.CallerTimeout)
					state, err := submit(ctx, system, a.Entry, a.Job)
					cancel()
					if err != nil && err.Kind == errkind.QueueFull && time.Since(first)+err.RetryAfter < o.callersWait {
						time.Sleep(err.RetryAfter)
						sent = time.Now()
						continue
					}
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, emulator.Answer{Job: a.Job.ID, SentAt: sent, ReceivedAt: time.Now(), State: state, Err: err})
					if a.At > time.Second {
						out[a.Job.Queue.Name].add(a, time.Since(sent), state, err)
						out["all"].add(a, time.Since(sent), state, err)
					}
					return
				}
			})
		}
		wg.Wait()
		qt.Check(t, system.Check(answers), qt.HasLen, 0)
		stop()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
	for _, m := range forecastEvent.FindAllStringSubmatch(log.String(), -1) {
		for _, q := range []*queueOutcome{out[m[2]], out["all"]} {
			switch {
			case m[1] == "601":
				q.early++
			case m[3] == "true":
				q.wrong++
				fallthrough
			default:
				q.sampled++
			}
		}
	}
	for _, name := range []string{"urgent", "normal", "batch", "all"} {
		q := out[name]
		t.Logf("%v %-6s jobs %5d in time %.3f late %4d refused %4d after %3d ms; early %4d sampled %3d wrong %2d", on, name, q.jobs,
			float64(q.inTime)/float64(q.jobs), q.late, q.refused, q.meanRefusalTime().Milliseconds(), q.early, q.sampled, q.wrong)
	}
	return out
}

func (q *queueOutcome) add(a *Arrival, took time.Duration, state job.State, err *errkind.Error) {
	q.jobs++
	switch {
	case err != nil && err.Answer().Outcome == errkind.NotRun:
		q.refused++
		q.refusalTime += took
	case err == nil && state == job.Completed && took <= a.objective():
		q.inTime++
	case err == nil:
		q.late++
	}
}

// Guards against early refusals of jobs that would have got their capacity in time, against fewer
// answers in time than without the forecast, also for callers that return when they are told and after
// the loss of agents, and against a forecast that refuses hardly any of the jobs that wait in vain.
func TestEarlyRefusalInOverload(t *testing.T) {
	sampled, wrong := 0, 0
	for _, o := range []overload{
		{seed: 1, factor: 2, length: 6 * time.Second, endpoints: 16},
		{seed: 2, factor: 1.2, length: 6 * time.Second, endpoints: 8},
		{seed: 3, factor: 1.6, length: 6 * time.Second, endpoints: 8, longTasks: 3},
		{seed: 4, factor: 1.6, length: 6 * time.Second, endpoints: 8, faults: []Fault{{Kind: FaultKillAgent, At: 3 * time.Second, Targets: []int{1, 2}}}},
		{seed: 5, factor: 1.6, length: 6 * time.Second, endpoints: 8, callersWait: 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("seed %d", o.seed), func(t *testing.T) {
			off, on := o.play(t), o.play(t, string(policy.EarlyRefusal))
			c := qt.New(t)
			c.Check(off["all"].early+off["all"].sampled, qt.Equals, 0)
			c.Check(float64(on["all"].inTime) >= 0.95*float64(off["all"].inTime), qt.IsTrue)
			if o.factor == 2 {
				c.Check(on["batch"].early > on["batch"].refused/10, qt.IsTrue)
				c.Check(on["batch"].meanRefusalTime() < off["batch"].meanRefusalTime()*9/10, qt.IsTrue)
			}
			sampled, wrong = sampled+on["all"].sampled, wrong+on["all"].wrong
		})
	}
	// The samples show a share above one in ten if they exceed it by two standard deviations.
	limit := 0.1*float64(sampled) + 2*math.Sqrt(0.1*0.9*float64(sampled))
	qt.Check(t, float64(wrong) <= limit, qt.IsTrue, qt.Commentf("%d of %d", wrong, sampled))
}
