// Package trial plays generated deployments, loads and faults in simulated time, with one
// policy or another on the same arrivals. No deployment of a user is among them, so that a
// mechanism that helps here helps in general.
package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oriolerelay/job"
	"oriolerelay/wire"
)

// length is how long jobs arrive in a trial, and drain how long the last ones may take.
const (
	length = 5 * time.Second
	drain  = 15 * time.Second
)

// mostTasks bounds the tasks of a trial, for the time that it takes to play.
const mostTasks = 9000

// Scenario is a deployment with its load and faults.
type Scenario struct {
	Seed uint64
	// Groups name the properties by which results are compared.
	Groups    []string
	Entries   []uint32 // processor share of each, in thousandths of a core
	Endpoints []Endpoint
	Arrivals  []Arrival
	Faults    []Fault
}

// Endpoint is one endpoint of a scenario.
type Endpoint struct {
	Service  string
	Capacity wire.Resources
	Slowness float64
}

// Arrival is a job that a caller hands in.
type Arrival struct {
	At    time.Duration
	Entry int
	Job   job.Submission
	// Work is the true run time of each task at an endpoint of slowness 1; the caller has
	// declared another one.
	Work []time.Duration
	// Worth is what its answer in time is worth, relative to the mean of all jobs.
	Worth float64
	// Waited is how long the caller has tried in vain to hand the job in.
	Waited time.Duration
}

// FaultKind is a kind of trouble.
type FaultKind string

// Kinds of trouble.
const (
	FaultSlow      FaultKind = "slow endpoints"
	FaultHang      FaultKind = "endpoints that stand still"
	FaultFail      FaultKind = "failing endpoints"
	FaultCrash     FaultKind = "crashing endpoints"
	FaultLose      FaultKind = "lost orders"
	FaultKillAgent FaultKind = "killed agents"
	FaultKillEntry FaultKind = "killed entries"
)

// Fault is one trouble: it strikes the targets at a time, and ends after a while.
type Fault struct {
	Kind    FaultKind
	At, For time.Duration
	Targets []int // endpoints, or entries
	// Strength is the factor of slowness, or the share of orders that are lost.
	Strength float64
}

// generator draws the parts of a scenario.
type generator struct {
	*rand.Rand
	s Scenario
}

// Generate returns the scenario of a seed.
func Generate(seed uint64) Scenario {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 0x0421)), s: Scenario{Seed: seed}}
	g.entries()
	services := 1 + g.IntN(3)
	if g.IntN(2) == 0 {
		services = 1
	}
	g.endpoints(services)
	g.load(services)
	g.faults()
	return g.s
}

func (g *generator) group(name string) { g.s.Groups = append(g.s.Groups, name) }

// between returns a value between two bounds, uniform on a logarithmic scale.
func (g *generator) between(low, high float64) float64 {
	return low * math.Pow(high/low, g.Float64())
}

// spread returns a factor of mean 1 with a log-normal spread.
func (g *generator) spread(sigma float64) float64 {
	return math.Exp(sigma*g.NormFloat64() - sigma*sigma/2)
}

func (g *generator) entries() {
	n := 1 + g.IntN(3)
	if g.IntN(2) == 0 {
		n = 4 + g.IntN(9)
	}
	for range n {
		g.s.Entries = append(g.s.Entries, uint32(g.between(140, 900)))
	}
	if n <= 3 {
		g.group("few entries")
	} else {
		g.group("many entries")
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

func (g *generator) endpoints(services int) {
	n := int(g.between(4, 40))
	fast, factor := g.Float64()*0.6, g.between(1, 3)
	if factor < 1.3 {
		g.group("even speeds")
	} else {
		g.group("uneven speeds")
	}
	cores := uint32(g.between(8000, 96000))
	for i := range max(n, services) {
		e := Endpoint{
			Service: serviceName(i % services), Slowness: 1.2,
			Capacity: wire.Resources{MilliCores: cores, MemoryMiB: 1 << 18},
		}
		if g.Float64() < fast {
			e.Slowness /= factor
		}
		if g.IntN(4) == 0 {
			e.Capacity.MilliCores = e.Capacity.MilliCores * 3 / 2
		}
		g.s.Endpoints = append(g.s.Endpoints, e)
	}
}

// kind is a kind of job.
type kind struct {
	queue    job.Queue
	work     time.Duration
	width    float64
	cores    uint32
	share    float64 // of the jobs
	declared float64 // spread of what is declared around the work
	uneven   float64 // spread between the tasks of a job
}

func (g *generator) kinds(services int, least uint32) []kind {
	var kinds []kind
	declared := g.Float64() * 0.6
	if declared < 0.2 {
		g.group("declared well")
	} else {
		g.group("declared badly")
	}
	for service := range services {
		for i := range 1 + g.IntN(3) {
			kinds = append(kinds, kind{
				queue: job.Queue{
					Name: fmt.Sprintf("queue-%d-%d", service, i), Service: serviceName(service), Priority: g.IntN(3),
					Attempts: 3, Stretch: 1.3 + 1.2*g.Float64(), TargetLatency: time.Duration(g.between(40, 200)) * time.Millisecond,
				},
				work: time.Duration(g.between(30, 1500)) * time.Millisecond, width: g.between(1, 14),
				cores: uint32(g.between(0.02, 0.25) * float64(least)), share: g.between(0.1, 1),
				declared: declared, uneven: g.Float64() * 0.3,
			})
		}
	}
	return kinds
}

// load draws the arrivals: their work is a share of what the endpoints can do.
func (g *generator) load(services int) {
	least := slices.MinFunc(g.s.Endpoints, func(a, b Endpoint) int { return int(a.Capacity.MilliCores) - int(b.Capacity.MilliCores) })
	kinds := g.kinds(services, least.Capacity.MilliCores)
	offered := g.between(0.3, 2.5)
	burst, from := 1.0, time.Duration(0)
	if g.IntN(3) == 0 {
		g.group("burst")
		burst, from = g.between(1.5, 3), time.Duration(g.between(0.5, 3)*float64(time.Second))
		offered = min(offered, 0.9)
	}
	for service := range services {
		own := slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool { return k.queue.Service != serviceName(service) })
		g.arrive(own, offered*g.capacity(service), least.Capacity.MilliCores, services, func(at time.Duration) float64 {
			if at >= from && at < from+2*time.Second {
				return burst
			}
			return 1
		})
	}
	g.loadGroup(services)
	g.outage()
	slices.SortFunc(g.s.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	mean := 0.0
	for _, a := range g.s.Arrivals {
		mean += a.Worth / float64(len(g.s.Arrivals))
	}
	for i := range g.s.Arrivals {
		g.s.Arrivals[i].Worth /= mean
	}
}

// outage makes the callers of some seconds come together after them. Those who have no
// patience left stay away.
func (g *generator) outage() {
	if g.IntN(4) > 0 {
		return
	}
	g.group("returning callers")
	from := time.Duration(g.between(1, 2.5) * float64(time.Second))
	until := from + time.Duration(g.between(0.4, 1.5)*float64(time.Second))
	kept := g.s.Arrivals[:0]
	for _, a := range g.s.Arrivals {
		if a.At >= from && a.At < until {
			a.Waited = until - a.At
			a.At = until + time.Duration(g.Float64()*float64(200*time.Millisecond))
			if a.Job.CallerTimeout -= a.Waited; a.Job.CallerTimeout <= 0 {
				continue
			}
		}
		kept = append(kept, a)
	}
	g.s.Arrivals = kept
}

// loadGroup names the group of the load, by the work that was drawn.
func (g *generator) loadGroup(services int) {
	var work, capacity float64
	for _, a := range g.s.Arrivals {
		for _, w := range a.Work {
			work += w.Seconds() * float64(a.Job.Steps[0].Size.MilliCores) / 1000
		}
	}
	for service := range services {
		capacity += g.capacity(service)
	}
	switch load := work / length.Seconds() / capacity; {
	case load < 0.7:
		g.group("light load")
	case load < 1.05:
		g.group("near capacity")
	default:
		g.group("overload")
	}
}

// capacity returns the work that the endpoints of a service do, in cores.
func (g *generator) capacity(service int) (cores float64) {
	for _, e := range g.s.Endpoints {
		if e.Service == serviceName(service) {
			cores += float64(e.Capacity.MilliCores) / 1000 / e.Slowness
		}
	}
	return cores
}

// arrive draws jobs of the given kinds whose work is offered by the second, for endpoints
// of which the smallest has the cores of largest.
func (g *generator) arrive(kinds []kind, offered float64, largest uint32, services int, factor func(at time.Duration) float64) {
	var work, total, tasks float64 // means of a job
	for _, k := range kinds {
		work += k.share * k.width * k.work.Seconds() * float64(k.cores) / 1000
		tasks += k.share * k.width
		total += k.share
	}
	perS := offered * total / work
	if most := mostTasks / float64(services) / length.Seconds(); perS*tasks/total > most {
		// Larger tasks in the place of more of them.
		scale := perS * tasks / total / most
		for i := range kinds {
			kinds[i].cores = uint32(min(float64(kinds[i].cores)*scale, 0.5*float64(largest)))
		}
		perS /= scale
	}
	for at := time.Duration(0); at < length; {
		at += time.Duration(g.ExpFloat64() / (perS * factor(at)) * float64(time.Second))
		g.s.Arrivals = append(g.s.Arrivals, g.arrival(at, g.pick(kinds, total)))
	}
}

func (g *generator) pick(kinds []kind, total float64) kind {
	x := g.Float64() * total
	for _, k := range kinds {
		if x -= k.share; x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

func (g *generator) arrival(at time.Duration, k kind) Arrival {
	work := time.Duration(float64(k.work) * g.spread(0.4))
	n := max(1, int(k.width*g.spread(0.4)+0.5))
	a := Arrival{At: at, Entry: g.IntN(len(g.s.Entries)), Job: job.Submission{
		ID: fmt.Sprintf("%016x", g.Uint64()), Queue: k.queue, Ephemeral: true,
		Steps: []job.Step{{
			Count: n, Size: wire.Resources{MilliCores: k.cores, MemoryMiB: 64},
			Estimate: time.Duration(float64(work) * g.spread(k.declared)),
		}},
	}}
	for range n {
		a.Work = append(a.Work, time.Duration(float64(work)*g.spread(k.uneven)))
	}
	// Callers wait longer for larger jobs.
	a.Job.CallerTimeout = 1500*time.Millisecond + 3*a.objective()
	a.Worth = 0.3 + 0.7*float64(n)*work.Seconds()/(k.width*k.work.Seconds())
	return a
}

// objective is the time in which the job should be answered, by its true work.
func (a *Arrival) objective() time.Duration {
	return a.Job.Queue.Objective(slices.Max(a.Work))
}

func (g *generator) faults() {
	if g.IntN(3) == 0 {
		g.group("no fault")
		return
	}
	for range 1 + g.IntN(2) {
		f := Fault{
			At:  time.Duration(g.between(0.3, 3) * float64(time.Second)),
			For: time.Duration(g.between(0.5, 2) * float64(time.Second)),
		}
		f.Kind = []FaultKind{FaultSlow, FaultHang, FaultFail, FaultCrash, FaultLose, FaultKillAgent, FaultKillEntry}[g.IntN(7)]
		n := len(g.s.Endpoints)
		switch f.Kind {
		case FaultKillEntry:
			if n = len(g.s.Entries); n == 1 || n > 3 {
				continue // the only one, or one whose peers this model does not connect again
			}
		case FaultSlow:
			f.Strength = g.between(2, 8)
		case FaultLose:
			f.Strength = g.between(0.03, 0.3)
		}
		for range max(1, int(g.between(0.05, 0.3)*float64(n))) {
			f.Targets = append(f.Targets, g.IntN(n))
		}
		g.group(string(f.Kind))
		g.s.Faults = append(g.s.Faults, f)
	}
}
