package trial

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	kitlog "github.com/go-kit/log"

	"oriolerelay/emulator"
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
	endpoints int
	periods   int // length, in arrivalPeriod
	longTasks int // of 100 tasks, which run 7 times as long
	faults    []Fault
}

func (o *overload) scenario() Scenario {
	g := generator{Rand: rand.New(rand.NewPCG(o.seed, 7)), scenario: Scenario{Entries: []uint32{800}, Faults: o.faults}}
	for i := range o.endpoints {
		g.scenario.Endpoints = append(g.scenario.Endpoints, Endpoint{
			Service: serviceName(0), Slowness: []float64{1 / 0.55, 1 / 1.2, 1 / 1.2, 1 / 1.2}[i%4],
			Capacity: wire.Resources{MilliCores: 16000 + 8000*uint32(i%2), MemoryMiB: 1 << 18},
		})
	}
	kinds := []jobKind{
		{queue: job.Queue{Name: "urgent", Priority: 0}, work: 60 * time.Millisecond, tasks: 8, share: 206},
		{queue: job.Queue{Name: "normal", Priority: 1}, work: 200 * time.Millisecond, tasks: 2, share: 600},
		{queue: job.Queue{Name: "batch", Priority: 2}, work: 900 * time.Millisecond, tasks: 4, share: 37.5},
	}
	for i := range kinds {
		k := &kinds[i]
		k.queue.Service, k.queue.Attempts, k.queue.Stretch, k.queue.TargetLatency = serviceName(0), 3, 1.6, 60*time.Millisecond
		k.milliCores, k.declaredSigma = 1500, 0.4
	}
	for period := range time.Duration(o.periods) {
		first := len(g.scenario.Arrivals)
		g.addArrivals(kinds, o.factor*g.capacity(0), 16000, 1, func(at time.Duration) float64 {
			if period == 0 && at < time.Second {
				return 0.7 / o.factor
			}
			return 1
		})
		for i := range g.scenario.Arrivals[first:] {
			g.scenario.Arrivals[first+i].At += period * arrivalPeriod
		}
	}
	for _, a := range g.scenario.Arrivals {
		for i := range a.Work {
			if g.IntN(100) < o.longTasks {
				a.Work[i] *= 7
			}
		}
	}
	return g.scenario
}

// queueCounts counts the refusals and samples of a queue in the log of the entry.
type queueCounts struct {
	refused, early, sampled, wrong int
	waited                         float64 // mean time to a refusal in milliseconds
}

var refusedLine = regexp.MustCompile(`event=601 .* queue=(\w+) .* waited_ms=(\d+) .*?(early=true|\n)`)
var sampledLine = regexp.MustCompile(`event=619 .* queue=(\w+) in_time=(\w+)`)

// play returns the answers that callers get, and counts by queue.
func (o *overload) play(t *testing.T, on ...string) (out Outcome, queues map[string]*queueCounts) {
	p, err := policy.New(on, nil)
	qt.Assert(t, err, qt.IsNil)
	s, log := o.scenario(), new(bytes.Buffer)
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		system := emulator.NewPolicySystem(ctx, s.newEndpoints(), s.Entries, p, kitlog.NewSyncWriter(log))
		time.Sleep(2500 * time.Millisecond) // until the agents are connected
		out = s.simulate(ctx, system)
		stop()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
	qt.Check(t, out.Violations, qt.HasLen, 0)
	queues = map[string]*queueCounts{"urgent": {}, "normal": {}, "batch": {}}
	for _, m := range refusedLine.FindAllStringSubmatch(log.String(), -1) {
		q := queues[m[1]]
		ms, _ := strconv.ParseFloat(m[2], 64)
		q.refused++
		q.waited += (ms - q.waited) / float64(q.refused)
		if m[3] == "early=true" {
			q.early++
		}
	}
	for _, m := range sampledLine.FindAllStringSubmatch(log.String(), -1) {
		queues[m[1]].sampled++
		if m[2] == "true" {
			queues[m[1]].wrong++
		}
	}
	t.Logf("%v: in time %d, late %d, refused %d of %d; normal %+v, batch %+v", on, out.InTime, out.Late, out.Refused, out.Jobs, *queues["normal"], *queues["batch"])
	return out, queues
}

// Guards against early refusals of jobs that would have got their capacity in time, against fewer
// answers in time than without the forecast, also after the loss of an agent, and against a forecast
// that refuses hardly any of the jobs that wait in vain.
func TestEarlyRefusalInOverload(t *testing.T) {
	sampled, wrong := 0, 0
	for _, o := range []overload{
		{seed: 1, factor: 2, endpoints: 12, periods: 2},
		{seed: 2, factor: 1.2, endpoints: 8, periods: 1},
		{seed: 3, factor: 1.6, endpoints: 8, periods: 1, longTasks: 3, faults: []Fault{{Kind: FaultKillAgent, At: 3 * time.Second, Targets: []int{1}}}},
	} {
		t.Run(fmt.Sprintf("seed %d", o.seed), func(t *testing.T) {
			c := qt.New(t)
			off, offQueues := o.play(t)
			on, queues := o.play(t, string(policy.EarlyRefusal))
			c.Check(float64(on.InTime) >= 0.95*float64(off.InTime), qt.IsTrue)
			for name, q := range queues {
				c.Check(offQueues[name].early+offQueues[name].sampled, qt.Equals, 0)
				sampled, wrong = sampled+q.sampled, wrong+q.wrong
			}
			if o.factor == 2 {
				c.Check(queues["batch"].early > queues["batch"].refused/10, qt.IsTrue)
				c.Check(queues["batch"].waited < 0.9*offQueues["batch"].waited, qt.IsTrue)
			}
		})
	}
	// The samples show a share above one in ten if they exceed it by two standard deviations.
	limit := 0.1*float64(sampled) + 2*math.Sqrt(0.1*0.9*float64(sampled))
	qt.Check(t, float64(wrong) <= limit, qt.IsTrue, qt.Commentf("%d of %d", wrong, sampled))
}
