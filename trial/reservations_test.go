package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// mixedLoad returns the jobs of many small tasks, which alone need the whole capacity of eight
// endpoints, and of a few with half to all of the cores of an endpoint, which need 0.4 of it. The
// declared run times are off by 30%.
func mixedLoad(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 0x5e5))
	s := Scenario{Seed: seed, Entries: []uint32{800}}
	for range 8 {
		s.Endpoints = append(s.Endpoints, Endpoint{Service: "s", Capacity: wire.Resources{MilliCores: 16000, MemoryMiB: 16000}, Slowness: 1})
	}
	const smallRate, largeRate = 8 * 16 / (0.75*0.05 + 0.25*0.3), 0.4 * 8 * 16 / (12 * 0.4) // jobs/s
	for at := time.Duration(0); at < 2*time.Second; at += time.Duration(random.ExpFloat64() / (smallRate + largeRate) * float64(time.Second)) {
		queue, priority, milliCores, work := "small", 2, uint32(1000), 50*time.Millisecond
		switch x := random.Float64() * (smallRate + largeRate); {
		case x < largeRate:
			queue, priority, milliCores, work = "large", 1, uint32(8+4*random.IntN(3))*1000, 400*time.Millisecond
		case x < largeRate+smallRate/4:
			work = 300 * time.Millisecond
		}
		s.Arrivals = append(s.Arrivals, Arrival{At: at, Worth: 1, Work: []time.Duration{work}, Job: job.Submission{
			ID: fmt.Sprintf("%016x", random.Uint64()), Ephemeral: true, CallerTimeout: 1500 * time.Millisecond,
			Queue: job.Queue{Name: queue, Service: "s", Priority: priority, Attempts: 3, Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
			Steps: []job.Step{{
				Count: 1, Size: wire.Resources{MilliCores: milliCores, MemoryMiB: 64},
				Estimate: time.Duration(float64(work) * math.Exp(0.3*random.NormFloat64())),
			}},
		}})
	}
	return s
}

// Guards against large jobs that small ones of lower priority starve, since each core that becomes
// free is too little for a large task: with reservations, many more of the large jobs are in time,
// and the small ones lose less than the large ones gain.
func TestReservationsForLargeJobs(t *testing.T) {
	c := qt.New(t)
	on, _ := policy.New([]string{string(policy.Reservations)}, nil)
	const seeds = 3
	var small, large [2]float64
	for k, p := range []policy.Policy{{}, on} {
		for seed := range uint64(seeds) {
			out := Simulate(t, mixedLoad(seed), p)
			c.Check(out.Violations, qt.HasLen, 0)
			small[k] += out.InTimeByQueue["small"] / seeds
			large[k] += out.InTimeByQueue["large"] / seeds
		}
	}
	t.Logf("share in time without and with reservations: large %.3f, small %.3f", large, small)
	gain, loss := large[1]-large[0], small[0]-small[1]
	c.Check(gain > 0.12 && loss < gain, qt.IsTrue)
}
