// Package trial simulates randomly generated deployments, loads and faults, and compares
// policies on the same arrivals. No deployment of a customer is among them, so that a mechanism
// that helps here helps in general.
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

// Jobs arrive during arrivalPeriod, and each caller waits up to answerTimeout for its answer.
const (
	arrivalPeriod = 5 * time.Second
	answerTimeout = 15 * time.Second
)

// maxTasks is the approximate limit of tasks in a scenario. It limits the time of a simulation.
const maxTasks = 9000

// Scenario is a deployment with a load and faults.
type Scenario struct {
	Seed uint64
	// Groups names the properties of the scenario by which results are grouped.
	Groups    []string
	Entries   []uint32 // processor share of each entry in millicores
	Endpoints []Endpoint
	Arrivals  []Arrival
	Faults    []Fault
}

// Endpoint is an endpoint of a scenario.
type Endpoint struct {
	Service  string
	Capacity wire.Resources
	Slowness float64
}

// Arrival is the submission of a job by a caller.
type Arrival struct {
	At    time.Duration
	Entry int
	Job   job.Submission
	// Work is the true run time of each task at an endpoint of slowness 1. The declared run
	// time differs from it.
	Work []time.Duration
	// Worth is the worth of an answer in time, relative to the mean of all jobs.
	Worth float64
	// PriorWait is the time for which the caller has tried to submit the job before.
	PriorWait time.Duration
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	FaultSlow       FaultKind = "slow endpoints"
	FaultHang       FaultKind = "endpoints that stand still"
	FaultFail       FaultKind = "failing endpoints"
	FaultCrash      FaultKind = "crashing endpoints"
	FaultLoseOrders FaultKind = "lost orders"
	FaultKillAgent  FaultKind = "killed agents"
	FaultKillEntry  FaultKind = "killed entries"
)

// Fault affects its targets from At for Duration.
type Fault struct {
	Kind         FaultKind
	At, Duration time.Duration
	Targets      []int // indexes of endpoints or entries
	// Strength is the factor by which endpoints become slower, or the share of lost calls.
	Strength float64
}

// generator draws the parts of a scenario at random.
type generator struct {
	*rand.Rand
	scenario Scenario
}

// Generate returns the scenario of a seed. It is deterministic.
func Generate(seed uint64) Scenario {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 0x0421)), scenario: Scenario{Seed: seed}}
	g.addEntries()
	services := 1 + g.IntN(3)
	if g.IntN(2) == 0 {
		services = 1
	}
	g.addEndpoints(services)
	g.addLoad(services)
	g.addFaults()
	return g.scenario
}

func (g *generator) addGroup(name string) { g.scenario.Groups = append(g.scenario.Groups, name) }

// logUniform returns a value between two bounds, uniformly distributed on a logarithmic scale.
func (g *generator) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, g.Float64())
}

// logNormal returns a log-normally distributed factor with mean 1.
func (g *generator) logNormal(sigma float64) float64 {
	return math.Exp(sigma*g.NormFloat64() - sigma*sigma/2)
}

func (g *generator) addEntries() {
	n := 1 + g.IntN(3)
	if g.IntN(2) == 0 {
		n = 4 + g.IntN(9)
	}
	for range n {
		g.scenario.Entries = append(g.scenario.Entries, uint32(g.logUniform(140, 900)))
	}
	if n <= 3 {
		g.addGroup("few entries")
	} else {
		g.addGroup("many entries")
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

func (g *generator) addEndpoints(services int) {
	n := int(g.logUniform(4, 40))
	fastShare, speedup := g.Float64()*0.6, g.logUniform(1, 3)
	if speedup < 1.3 {
		g.addGroup("even speeds")
	} else {
		g.addGroup("uneven speeds")
	}
	cores := uint32(g.logUniform(8000, 96000))
	for i := range max(n, services) {
		e := Endpoint{
			Service: serviceName(i % services), Slowness: 1.2,
			Capacity: wire.Resources{MilliCores: cores, MemoryMiB: 1 << 18},
		}
		if g.Float64() < fastShare {
			e.Slowness /= speedup
		}
		if g.IntN(4) == 0 {
			e.Capacity.MilliCores = e.Capacity.MilliCores * 3 / 2
		}
		g.scenario.Endpoints = append(g.scenario.Endpoints, e)
	}
}

// jobKind is a kind of job with the distributions of its properties.
type jobKind struct {
	queue         job.Queue
	work          time.Duration
	tasks         float64
	milliCores    uint32
	share         float64 // share of all jobs
	declaredSigma float64 // sigma of the declared run time relative to the work
	taskSigma     float64 // sigma of the work among the tasks of a job
}

func (g *generator) jobKinds(services int, smallestCores uint32) []jobKind {
	var kinds []jobKind
	declaredSigma := g.Float64() * 0.6
	if declaredSigma < 0.2 {
		g.addGroup("declared well")
	} else {
		g.addGroup("declared badly")
	}
	for service := range services {
		for i := range 1 + g.IntN(3) {
			kinds = append(kinds, jobKind{
				queue: job.Queue{
					Name: fmt.Sprintf("queue-%d-%d", service, i), Service: serviceName(service), Priority: g.IntN(3),
					Attempts: 3, Stretch: 1.3 + 1.2*g.Float64(), TargetLatency: time.Duration(g.logUniform(40, 200)) * time.Millisecond,
				},
				work: time.Duration(g.logUniform(30, 1500)) * time.Millisecond, tasks: g.logUniform(1, 14),
				milliCores: uint32(g.logUniform(0.02, 0.25) * float64(smallestCores)), share: g.logUniform(0.1, 1),
				declaredSigma: declaredSigma, taskSigma: g.Float64() * 0.3,
			})
		}
	}
	return kinds
}

// addLoad draws the arrivals. The offered load is a random share of the capacity of the
// endpoints.
func (g *generator) addLoad(services int) {
	smallest := slices.MinFunc(g.scenario.Endpoints, func(a, b Endpoint) int { return int(a.Capacity.MilliCores) - int(b.Capacity.MilliCores) })
	kinds := g.jobKinds(services, smallest.Capacity.MilliCores)
	offered := g.logUniform(0.3, 2.5)
	burstFactor, from := 1.0, time.Duration(0)
	if g.IntN(3) == 0 {
		g.addGroup("burst")
		burstFactor, from = g.logUniform(1.5, 3), time.Duration(g.logUniform(0.5, 3)*float64(time.Second))
		offered = min(offered, 0.9)
	}
	for service := range services {
		serviceKinds := slices.DeleteFunc(slices.Clone(kinds), func(k jobKind) bool { return k.queue.Service != serviceName(service) })
		g.addArrivals(serviceKinds, offered*g.capacity(service), smallest.Capacity.MilliCores, services, func(at time.Duration) float64 {
			if at >= from && at < from+2*time.Second {
				return burstFactor
			}
			return 1
		})
	}
	g.addLoadGroup(services)
	g.addOutage()
	slices.SortFunc(g.scenario.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	mean := 0.0
	for _, a := range g.scenario.Arrivals {
		mean += a.Worth / float64(len(g.scenario.Arrivals))
	}
	for i := range g.scenario.Arrivals {
		g.scenario.Arrivals[i].Worth /= mean
	}
}

// addOutage sometimes adds an outage: callers that arrive during it submit their jobs shortly
// after its end, except those whose caller timeout has passed by then.
func (g *generator) addOutage() {
	if g.IntN(4) > 0 {
		return
	}
	g.addGroup("returning callers")
	from := time.Duration(g.logUniform(1, 2.5) * float64(time.Second))
	until := from + time.Duration(g.logUniform(0.4, 1.5)*float64(time.Second))
	kept := g.scenario.Arrivals[:0]
	for _, a := range g.scenario.Arrivals {
		if a.At >= from && a.At < until {
			a.PriorWait = until - a.At
			a.At = until + time.Duration(g.Float64()*float64(200*time.Millisecond))
			if a.Job.CallerTimeout -= a.PriorWait; a.Job.CallerTimeout <= 0 {
				continue
			}
		}
		kept = append(kept, a)
	}
	g.scenario.Arrivals = kept
}

// addLoadGroup adds the group of the load, which depends on the ratio of the drawn work to the
// capacity.
func (g *generator) addLoadGroup(services int) {
	var work, capacity float64
	for _, a := range g.scenario.Arrivals {
		for _, w := range a.Work {
			work += w.Seconds() * float64(a.Job.Steps[0].Size.MilliCores) / 1000
		}
	}
	for service := range services {
		capacity += g.capacity(service)
	}
	switch load := work / arrivalPeriod.Seconds() / capacity; {
	case load < 0.7:
		g.addGroup("light load")
	case load < 1.05:
		g.addGroup("near capacity")
	default:
		g.addGroup("overload")
	}
}

// capacity returns the capacity of the endpoints of a service in cores of slowness 1.
func (g *generator) capacity(service int) (cores float64) {
	for _, e := range g.scenario.Endpoints {
		if e.Service == serviceName(service) {
			cores += float64(e.Capacity.MilliCores) / 1000 / e.Slowness
		}
	}
	return cores
}

// addArrivals draws jobs of the given kinds. Their work is offeredCores on average, times
// rateFactor at the time of arrival. The smallest endpoint has smallestCores millicores.
func (g *generator) addArrivals(kinds []jobKind, offeredCores float64, smallestCores uint32, services int, rateFactor func(at time.Duration) float64) {
	var workSum, shareSum, taskSum float64 // sums over the kinds, weighted by share
	for _, k := range kinds {
		workSum += k.share * k.tasks * k.work.Seconds() * float64(k.milliCores) / 1000
		taskSum += k.share * k.tasks
		shareSum += k.share
	}
	rate := offeredCores * shareSum / workSum // jobs per second
	if maxTaskRate := maxTasks / float64(services) / arrivalPeriod.Seconds(); rate*taskSum/shareSum > maxTaskRate {
		// Use fewer, larger tasks to stay below maxTasks.
		scale := rate * taskSum / shareSum / maxTaskRate
		for i := range kinds {
			kinds[i].milliCores = uint32(min(float64(kinds[i].milliCores)*scale, 0.5*float64(smallestCores)))
		}
		rate /= scale
	}
	for at := time.Duration(0); at < arrivalPeriod; {
		at += time.Duration(g.ExpFloat64() / (rate * rateFactor(at)) * float64(time.Second))
		g.scenario.Arrivals = append(g.scenario.Arrivals, g.newArrival(at, g.pickKind(kinds, shareSum)))
	}
}

func (g *generator) pickKind(kinds []jobKind, totalShare float64) jobKind {
	x := g.Float64() * totalShare
	for _, k := range kinds {
		if x -= k.share; x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

func (g *generator) newArrival(at time.Duration, k jobKind) Arrival {
	work := time.Duration(float64(k.work) * g.logNormal(0.4))
	n := max(1, int(k.tasks*g.logNormal(0.4)+0.5))
	a := Arrival{At: at, Entry: g.IntN(len(g.scenario.Entries)), Job: job.Submission{
		ID: fmt.Sprintf("%016x", g.Uint64()), Queue: k.queue, Ephemeral: true,
		Steps: []job.Step{{
			Count: n, Size: wire.Resources{MilliCores: k.milliCores, MemoryMiB: 64},
			Estimate: time.Duration(float64(work) * g.logNormal(k.declaredSigma)),
		}},
	}}
	for range n {
		a.Work = append(a.Work, time.Duration(float64(work)*g.logNormal(k.taskSigma)))
	}
	// Callers wait longer for larger jobs.
	a.Job.CallerTimeout = 1500*time.Millisecond + 3*a.objective()
	a.Worth = 0.3 + 0.7*float64(n)*work.Seconds()/(k.tasks*k.work.Seconds())
	return a
}

// objective returns the time within which the job should be answered, by its true work.
func (a *Arrival) objective() time.Duration {
	return a.Job.Queue.Objective(slices.Max(a.Work))
}

func (g *generator) addFaults() {
	if g.IntN(3) == 0 {
		g.addGroup("no fault")
		return
	}
	for range 1 + g.IntN(2) {
		f := Fault{
			At:       time.Duration(g.logUniform(0.3, 3) * float64(time.Second)),
			Duration: time.Duration(g.logUniform(0.5, 2) * float64(time.Second)),
		}
		f.Kind = []FaultKind{FaultSlow, FaultHang, FaultFail, FaultCrash, FaultLoseOrders, FaultKillAgent, FaultKillEntry}[g.IntN(7)]
		n := len(g.scenario.Endpoints)
		switch f.Kind {
		case FaultKillEntry:
			if n = len(g.scenario.Entries); n == 1 || n > 3 {
				continue // the only entry, or one whose peers the emulator would not reconnect
			}
		case FaultSlow:
			f.Strength = g.logUniform(2, 8)
		case FaultLoseOrders:
			f.Strength = g.logUniform(0.03, 0.3)
		}
		for range max(1, int(g.logUniform(0.05, 0.3)*float64(n))) {
			f.Targets = append(f.Targets, g.IntN(n))
		}
		g.addGroup(string(f.Kind))
		g.scenario.Faults = append(g.scenario.Faults, f)
	}
}
