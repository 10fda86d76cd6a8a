package policy

import (
	"math"
	"slices"
	"time"

	"oriolerelay/wire"
)

// Endpoint is the state of an endpoint as known when a task is placed.
type Endpoint struct {
	Free     FreeCapacity
	Capacity wire.Resources
	// Slowness is the expected run time relative to the declared one; 1 if not known.
	Slowness float64
	// Available is false while the endpoint accepts no task.
	Available bool
	// RejectsStored is set while the endpoint accepts no task of a stored job.
	RejectsStored bool
	// Local is set for an endpoint in the data centre of this process.
	Local  bool
	Labels []string
	// Suspects counts the tasks there during whose runs other endpoints have crashed.
	Suspects int
	// TrialJob is the job, a suspect or of a confined queue, whose tasks have run there for too short a
	// time to be cleared of a crash; empty if there is none. TrialSuspected is set if it is an
	// identified one.
	TrialJob       string
	TrialSuspected bool
	// Confined is set for the endpoints that are left to the confined queues of the service; they
	// are those of the lowest ConfinementRank.
	Confined        bool
	ConfinementRank int
	Reservations    EndpointReservations
}

// FreeCapacity is the part of a capacity that no task uses. It is negative where more was
// ordered than the endpoint has capacity for.
type FreeCapacity struct{ MilliCores, MemoryMiB, Accelerators int64 }

// NewFreeCapacity returns capacity less the resources in use.
func NewFreeCapacity(capacity, used wire.Resources) FreeCapacity {
	return FreeCapacity{
		int64(capacity.MilliCores), int64(capacity.MemoryMiB), int64(capacity.Accelerators),
	}.Sub(used)
}

// Sub returns f less the given resources.
func (f FreeCapacity) Sub(o wire.Resources) FreeCapacity {
	return FreeCapacity{
		f.MilliCores - int64(o.MilliCores), f.MemoryMiB - int64(o.MemoryMiB), f.Accelerators - int64(o.Accelerators),
	}
}

// Add returns f plus the given resources.
func (f FreeCapacity) Add(o wire.Resources) FreeCapacity {
	return FreeCapacity{
		f.MilliCores + int64(o.MilliCores), f.MemoryMiB + int64(o.MemoryMiB), f.Accelerators + int64(o.Accelerators),
	}
}

// Fits reports whether a task of the given size fits into f.
func (f FreeCapacity) Fits(size wire.Resources) bool {
	return int64(size.MilliCores) <= f.MilliCores && int64(size.MemoryMiB) <= f.MemoryMiB &&
		int64(size.Accelerators) <= f.Accelerators
}

// Task is a task to be placed.
type Task struct {
	Size            wire.Resources
	DeclaredRunTime time.Duration
	// RunTimeFactor multiplies the expected run time where the end of the run is planned.
	RunTimeFactor float64
	// Budget is the time left until the job misses its objective.
	Budget   time.Duration
	Label    string
	Stored   bool // the task belongs to a stored job
	DataRack string
	// FarFactor multiplies the run time outside DataRack.
	FarFactor float64
	// Avoid holds the indexes of endpoints that are chosen only if no other is available.
	Avoid []int
	// MaxPerEndpoint limits the tasks of the step on one endpoint (0 for no limit), and
	// PlacedByEndpoint counts those that are already placed, by endpoint index.
	MaxPerEndpoint   int
	PlacedByEndpoint map[int]int
	// Suspect is set if an endpoint has crashed during a run of the task.
	Suspect bool
	// SuspectRanks orders the endpoints for a suspect, from 0 to 1, by endpoint index. Each task has an
	// order of its own, so that the suspects of several entries do not meet again.
	SuspectRanks []float64
	// Identified is set if a crash can have been caused by this task's job only. It is certain to
	// crash another endpoint, and several such jobs share one.
	Identified bool
	Job        string
	// confinedTo is the number of endpoints to which the queue is limited; 0 if it is not.
	confinedTo int
}

// Confine limits t to the given number of endpoints, those of the lowest ConfinementRank, unless
// none of them can run it.
func (t *Task) Confine(endpoints []Endpoint, limit int) {
	t.confinedTo = limit
	if limit > 0 && !slices.ContainsFunc(endpoints, func(e Endpoint) bool { return t.CanRunOn(&e) }) {
		t.confinedTo = 0
	}
}

// CanRunOn reports whether t may run on e, regardless of its current load.
func (t *Task) CanRunOn(e *Endpoint) bool {
	return t.Size.Fits(e.Capacity) && !(t.Stored && e.RejectsStored) && (t.Label == "" || slices.Contains(e.Labels, t.Label)) &&
		t.mayUse(e)
}

// mayUse reports whether the confinement of the queue, if any, includes e.
func (t *Task) mayUse(e *Endpoint) bool { return t.confinedTo == 0 || e.ConfinementRank < t.confinedTo }

// RunTime is the expected run time of t on e.
func (t *Task) RunTime(e *Endpoint) time.Duration {
	d := float64(t.DeclaredRunTime) * e.Slowness
	if t.DataRack != "" && t.FarFactor > 1 && !slices.Contains(e.Labels, t.DataRack) {
		d *= t.FarFactor
	}
	return time.Duration(d)
}

// Placement is the outcome of ChooseEndpoint.
type Placement struct {
	Index int
	// RunTime is the expected run time on that endpoint.
	RunTime time.Duration
	// InTime is set when the task is expected to end within its budget.
	InTime bool
	// Speed says how SpeedMatch has changed the choice.
	Speed SpeedDecision
}

// ChooseEndpoint returns the endpoint with the least cost for t among those with enough free
// capacity: the one where it is expected to end first, with those where it ends within its
// budget before the others. ok is false if no endpoint has capacity for it, or if it waits for a
// faster one. random breaks ties.
func (p Policy) ChooseEndpoint(endpoints []Endpoint, t *Task, random uint64) (best Placement, ok bool) {
	bestCost := 0.0
	n := len(endpoints)
	speed := p.speedMatch(endpoints, t)
	for k := range n {
		i := int((random + uint64(k)) % uint64(n))
		e := &endpoints[i]
		if !e.Available || !t.CanRunOn(e) || !t.fitsNow(e) || t.atEndpointLimit(i) || t.conflictsWithTrial(e) {
			continue
		}
		c := Placement{Index: i, RunTime: t.RunTime(e)}
		c.InTime = c.RunTime <= t.Budget
		cost := p.costMillis(t, e, i, c) + speed.costMillis(e, c)
		if !ok || cost < bestCost {
			best, bestCost, ok = c, cost, true
		}
	}
	if ok {
		best.Speed = speed.decision(endpoints, t, best)
	}
	return best, ok && best.Speed != SpeedWait
}

// conflictsWithTrial reports whether t, a suspect or of a confined queue, must not run on e yet: a
// crash would not tell it from the tasks of the trial job there.
func (t *Task) conflictsWithTrial(e *Endpoint) bool {
	return (t.confinedTo > 0 || t.Suspect) && e.TrialJob != "" && e.TrialJob != t.Job && !(t.Identified && e.TrialSuspected)
}

// IsConfined reports whether t is limited to a few endpoints.
func (t *Task) IsConfined() bool { return t.confinedTo > 0 }

func (t *Task) atEndpointLimit(i int) bool {
	return t.MaxPerEndpoint > 0 && t.PlacedByEndpoint[i] >= t.MaxPerEndpoint
}

// Placement costs, in milliseconds of expected run time.
const (
	lateCostMillis  = 1e6 // the task would end after the objective
	avoidCostMillis = 1e7 // the task has failed or was slow on this endpoint
	// confinedCostMillis is the cost of an endpoint that is left to confined queues: it crashes
	// often, but may be the only one with free capacity.
	confinedCostMillis = 1e8
	// suspectCostMillis is the cost of an endpoint for a suspect task for each other one there, so
	// that a second crash tells them apart.
	suspectCostMillis = 1000.0
	// trialCostMillis is the gain of an endpoint where the job, or another identified one, is on trial.
	trialCostMillis = 1000.0
	// suspectSpreadMillis is the cost of a fully used endpoint for a suspect task, so that another
	// crash ends few other runs.
	suspectSpreadMillis = 200.0
	// spreadCostMillis is the cost of a fully used endpoint, in proportion for others, so that
	// equal endpoints share the load.
	spreadCostMillis = 10.0
	// remoteCostMillis is the cost of an endpoint in another data centre.
	remoteCostMillis = 1.0
)

func (p Policy) costMillis(t *Task, e *Endpoint, i int, c Placement) float64 {
	ms := float64(c.RunTime) / float64(time.Millisecond)
	cost := ms
	if !c.InTime {
		cost += lateCostMillis
	}
	if p.Uses(Avoid) && slices.Contains(t.Avoid, i) {
		cost += avoidCostMillis
	}
	if p.Uses(Spread) && e.Capacity.MilliCores > 0 {
		cost += spreadCostMillis * (1 - float64(e.Free.MilliCores)/float64(e.Capacity.MilliCores))
	}
	if e.Confined && t.confinedTo == 0 {
		cost += confinedCostMillis
	}
	if t.IsConfined() && e.TrialJob == t.Job {
		cost -= trialCostMillis // the job crashes one endpoint rather than several
	}
	if t.Identified && e.TrialSuspected {
		cost -= trialCostMillis
	}
	if t.Suspect && !t.Identified {
		cost += suspectCostMillis*float64(e.Suspects) + suspectSpreadMillis*t.SuspectRanks[i]
		if e.Capacity.MilliCores > 0 {
			cost += suspectSpreadMillis * (1 - float64(e.Free.MilliCores)/float64(e.Capacity.MilliCores))
		}
	}
	if p.Uses(Local) && !e.Local {
		cost += remoteCostMillis
	}
	return cost
}

// FitsWhenIdle reports whether a task fits into the whole capacity of an endpoint that has the label
// it requires. It is true if no endpoint has that label, so that nothing is known of their capacity.
func FitsWhenIdle(endpoints []Endpoint, size wire.Resources, label string) bool {
	hasLabel := false
	for i := range endpoints {
		e := &endpoints[i]
		if label != "" && !slices.Contains(e.Labels, label) {
			continue
		}
		if size.Fits(e.Capacity) {
			return true
		}
		hasLabel = true
	}
	return !hasLabel
}

// FittingTasks returns how many tasks like t the available endpoints can take now.
func FittingTasks(endpoints []Endpoint, t *Task) int {
	n := int64(0)
	for i := range endpoints {
		if e := &endpoints[i]; e.Available && t.mayUse(e) {
			fitting := e.Free.fittingTasks(t.Size)
			if e.Reservations.Active && !t.endsBeforeReservation(e) {
				fitting = min(fitting, e.Reservations.Beside.fittingTasks(t.Size))
			}
			n += fitting
		}
	}
	return int(n)
}

// fittingTasks returns how many tasks of the given size fit into f.
func (f FreeCapacity) fittingTasks(size wire.Resources) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{
		{f.MilliCores, int64(size.MilliCores)}, {f.MemoryMiB, int64(size.MemoryMiB)}, {f.Accelerators, int64(size.Accelerators)},
	} {
		switch {
		case d[0] < d[1]:
			return 0
		case d[1] > 0:
			n = min(n, d[0]/d[1])
		}
	}
	return n
}
