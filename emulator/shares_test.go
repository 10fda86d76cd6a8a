package emulator

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

var (
	sharesSeeds  = flag.Int("shares.seeds", 1, "number of plays of sustained overload")
	sharesLoad   = flag.Float64("shares.load", 1.3, "work per capacity in sustained overload")
	sharesDelay  = flag.Duration("shares.delay", 0, "time that jobs of one data centre take to their entry")
	sharesLength = flag.Duration("shares.length", 5*time.Second, "simulated time of the overload")
)

// overload is a play of sustained overload with three queues and the callers of three data centres.
type overload struct {
	seed   uint64
	load   float64
	policy policy.Policy
}

// decided is a job of the overload with what its caller got.
type decided struct {
	queue, origin string
	coreSeconds   float64 // declared
	worth         float64
	inTime, late  bool
}

// served holds what callers got.
type served []decided

// share returns the share of the matching jobs that were answered in time.
func (s served) share(match func(d *decided) bool) float64 {
	jobs, inTime := 0.0, 0.0
	for i := range s {
		if match(&s[i]) {
			jobs++
			if s[i].inTime {
				inTime++
			}
		}
	}
	return inTime / max(jobs, 1)
}

// worst returns the lowest share relative to the highest one of the jobs with the given values of a
// property.
func (s served) worst(property func(d *decided) string, values ...string) float64 {
	shares := make([]float64, len(values))
	for i, v := range values {
		shares[i] = s.share(func(d *decided) bool { return property(d) == v })
	}
	return slices.Min(shares) / slices.Max(shares)
}

func queueOf(d *decided) string  { return d.queue }
func originOf(d *decided) string { return d.origin }

// large returns the share in time of the largest tenth of the jobs of a queue relative to the others.
func (s served) large(queue string) float64 {
	var sizes []float64
	for i := range s {
		if s[i].queue == queue {
			sizes = append(sizes, s[i].coreSeconds)
		}
	}
	slices.Sort(sizes)
	bound := sizes[len(sizes)*9/10]
	of := func(large bool) float64 {
		return s.share(func(d *decided) bool { return d.queue == queue && (d.coreSeconds > bound) == large })
	}
	return of(true) / of(false)
}

func (s served) String() string {
	text := ""
	for _, q := range []string{"p0", "p1", "p2"} {
		ofQueue := func(d *decided) bool { return d.queue == q }
		answered := s.share(func(d *decided) bool { return ofQueue(d) && (d.inTime || d.late) })
		text += fmt.Sprintf("%s %.3f (of answered %.3f, large %.3f)  ", q, s.share(ofQueue), answered, s.large(q))
	}
	return fmt.Sprintf("%squeues %.3f  data centres %.3f  utility %.3f", text, s.worst(queueOf, "p0", "p1", "p2"),
		s.worst(originOf, "north", "south", "west"), s.utility())
}

// utility returns the part of the worth of all jobs that those answered in time have.
func (s served) utility() float64 {
	worth, earned := 0.0, 0.0
	for i := range s {
		worth += s[i].worth
		if s[i].inTime {
			earned += s[i].worth
		}
	}
	return earned / worth
}

var overloadKinds = []JobKind{
	{"p0", 206, 8, 60 * time.Millisecond, wire.Resources{MilliCores: 1500, MemoryMiB: 64}, 0, 4, 1.6, 60 * time.Millisecond, 0.0291},
	{"p2", 37.5, 4, 900 * time.Millisecond, wire.Resources{MilliCores: 1500, MemoryMiB: 64}, 2, 2, 1.6, 60 * time.Millisecond, 0.16},
	{"p1", 600, 2, 200 * time.Millisecond, wire.Resources{MilliCores: 1500, MemoryMiB: 64}, 1, 2, 1.6, 60 * time.Millisecond, 0.01},
}

func (o overload) play(t *testing.T) (got served) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		cores, slowness := 0.0, make([]float64, 24)
		for i := range slowness {
			slowness[i] = 1 / 1.2
			if i%4 == 0 {
				slowness[i] = 1 / 0.55
			}
			cores += 16 / slowness[i]
		}
		size := overloadKinds[0].Size
		fleet := Fleet(wire.Resources{MilliCores: 16000, MemoryMiB: 1 << 17}, size, slowness...)
		s := NewPolicySystem(ctx, fleet, []uint32{800, 700, 300, 300, 300, 200, 200, 200, 144, 144, 144}, o.policy, nil)
		time.Sleep(1600 * time.Millisecond)
		work := 0.0
		for _, k := range overloadKinds {
			work += k.Rate * float64(k.Tasks) * k.Work.Seconds() * float64(size.MilliCores) / 1000
		}
		got = o.submit(ctx, s, o.load*cores/work)
		stop()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
	return got
}

// submit submits the jobs of the load at the given multiple of the rates and waits for the answers.
func (o overload) submit(ctx context.Context, s *System, scale float64) served {
	random := rand.New(rand.NewPCG(o.seed, 3))
	total := 0.0
	for _, k := range overloadKinds {
		total += k.Rate
	}
	var got served
	var mu sync.Mutex
	var wg sync.WaitGroup
	for start, n := time.Now(), 0; time.Since(start) < *sharesLength; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / (total * scale) * float64(time.Second)))
		k := Load{Kinds: overloadKinds}.pickKind(random, total)
		d := decided{queue: k.Name, worth: k.Worth, origin: "north"}
		if x := random.Float64(); x < 0.25 {
			d.origin = "west"
		} else if x < 0.5 {
			d.origin = "south"
		}
		declared := time.Duration(float64(k.Work) * math.Exp(0.4*random.NormFloat64()))
		j := job.Submission{
			ID: fmt.Sprintf("%016x", random.Uint64()), Queue: k.Queue(), Ephemeral: true, Origin: d.origin,
			Payload: k.Work.String(), CallerTimeout: 1500 * time.Millisecond,
			Steps: []job.Step{{Count: k.Tasks/2 + random.IntN(k.Tasks+1), Size: k.Size, Estimate: declared}},
		}
		if d.origin == "north" {
			j.Elapsed = *sharesDelay
		}
		d.coreSeconds = float64(j.MilliCores()) / 1000 * declared.Seconds()
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, j.CallerTimeout)
			defer cancel()
			a := s.Submit(ctx, n%len(s.entries), j)
			objective := time.Duration(k.Stretch*float64(k.Work)) + k.TargetLatency
			d.inTime = a.Err == nil && !a.Disconnected && a.ReceivedAt.Sub(a.SentAt) <= objective
			d.late = !d.inTime && (a.Err == nil || a.Disconnected)
			mu.Lock()
			defer mu.Unlock()
			got = append(got, d)
		})
	}
	wg.Wait()
	return got
}

// Guards against overload in which the queue of the lowest priority, the callers of one data centre or
// the largest jobs get little while others are served nearly as without overload, and against a division
// that costs more than it gives. The bounds leave room for chance: the play is shorter and smaller than a
// customer's overload.
func TestOverloadIsShared(t *testing.T) {
	fair, err := policy.New([]string{string(policy.FairShare)}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range *sharesSeeds {
		o := overload{seed: uint64(i + 1), load: *sharesLoad}
		without := o.play(t)
		t.Logf("seed %d off: %v", o.seed, without)
		o.policy = fair
		with := o.play(t)
		t.Logf("seed %d on:  %v", o.seed, with)
		for name, low := range map[string]bool{
			"queues": with.worst(queueOf, "p0", "p1", "p2") < 0.72, "data centres": with.worst(originOf, "north", "south", "west") < 0.85,
			"large jobs of p0": with.large("p0") < 0.75, "large jobs of p1": with.large("p1") < 0.75, "large jobs of p2": with.large("p2") < 0.5,
			"utility": with.utility() < without.utility(),
		} {
			if low {
				t.Errorf("seed %d: %s got too little", o.seed, name)
			}
		}
	}
}
