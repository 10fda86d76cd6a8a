package policy

import (
	"math"
	"slices"
	"time"

	"oriolerelay/wire"
)

// Endpoint is what is known of an endpoint when a task is placed.
type Endpoint struct {
	Free     Room
	Capacity wire.Resources
	// Slowness is the expected run time relative to the declared one; 1 if not known.
	Slowness float64
	// Open is false while the endpoint takes no task.
	Open bool
	// NoStored endpoints take no task of a stored job.
	NoStored bool
	// Local endpoints are in the data centre of this process.
	Local  bool
	Labels []string
}

// Room is free room. It is negative where more was ordered than there is room for.
type Room struct{ MilliCores, MemoryMiB, Accelerators int64 }

// RoomLeft returns what is left of a capacity.
func RoomLeft(capacity, used wire.Resources) Room {
	return Room{
		int64(capacity.MilliCores), int64(capacity.MemoryMiB), int64(capacity.Accelerators),
	}.Less(used)
}

// Less returns r without the given resources.
func (r Room) Less(o wire.Resources) Room {
	return Room{
		r.MilliCores - int64(o.MilliCores), r.MemoryMiB - int64(o.MemoryMiB), r.Accelerators - int64(o.Accelerators),
	}
}

// Fits reports whether a task of the given size has room.
func (r Room) Fits(size wire.Resources) bool {
	return int64(size.MilliCores) <= r.MilliCores && int64(size.MemoryMiB) <= r.MemoryMiB &&
		int64(size.Accelerators) <= r.Accelerators
}

// Task is a task to be placed.
type Task struct {
	Size     wire.Resources
	Declared time.Duration
	// Budget is the time left until the job misses its objective.
	Budget   time.Duration
	Label    string
	Stored   bool // the job is stored
	DataRack string
	// FarFactor is the factor on the run time outside DataRack.
	FarFactor float64
	// Avoid holds endpoints that should not be chosen while another is open.
	Avoid []int
	// PerEndpoint bounds the tasks of the step on one endpoint, Placed counts them.
	PerEndpoint int
	Placed      map[int]int
}

// Allowed reports whether t may run on e at all.
func (t *Task) Allowed(e *Endpoint) bool {
	return t.Size.Fits(e.Capacity) && !(t.Stored && e.NoStored) && (t.Label == "" || slices.Contains(e.Labels, t.Label))
}

// RunTime is the expected run time of t on e.
func (t *Task) RunTime(e *Endpoint) time.Duration {
	d := float64(t.Declared) * e.Slowness
	if t.DataRack != "" && t.FarFactor > 1 && !slices.Contains(e.Labels, t.DataRack) {
		d *= t.FarFactor
	}
	return time.Duration(d)
}

// Choice is the outcome of ChooseEndpoint.
type Choice struct {
	Index int
	// RunTime is the expected run time there.
	RunTime time.Duration
	// InTime is set when the task is expected to end within its budget.
	InTime bool
}

// ChooseEndpoint returns the endpoint for t among those with room: the one where it is
// expected to end first, those where it ends in time before the others. ok is false when
// none has room for it. random breaks ties.
func (p Policy) ChooseEndpoint(endpoints []Endpoint, t *Task, random uint64) (best Choice, ok bool) {
	bestCost := 0.0
	n := len(endpoints)
	for k := range n {
		i := int((random + uint64(k)) % uint64(n))
		e := &endpoints[i]
		if !e.Open || !t.Allowed(e) || !e.Free.Fits(t.Size) || t.full(i) {
			continue
		}
		c := Choice{Index: i, RunTime: t.RunTime(e)}
		c.InTime = c.RunTime <= t.Budget
		cost := p.cost(t, e, i, c)
		if !ok || cost < bestCost {
			best, bestCost, ok = c, cost, true
		}
	}
	return best, ok
}

func (t *Task) full(i int) bool { return t.PerEndpoint > 0 && t.Placed[i] >= t.PerEndpoint }

// Costs are in milliseconds of expected run time.
const (
	lateCost  = 1e6 // ends after the objective
	avoidCost = 1e7 // has failed there, or was slow there
	// spreadCost is added for a fully used endpoint, so that equal ones share work.
	spreadCost = 10.0
	// remoteCost is the price of a data centre border.
	remoteCost = 1.0
)

func (p Policy) cost(t *Task, e *Endpoint, i int, c Choice) float64 {
	ms := float64(c.RunTime) / float64(time.Millisecond)
	cost := ms
	if !c.InTime {
		cost += lateCost
	}
	if p.Uses(Avoid) && slices.Contains(t.Avoid, i) {
		cost += avoidCost
	}
	if p.Uses(Spread) && e.Capacity.MilliCores > 0 {
		cost += spreadCost * (1 - float64(e.Free.MilliCores)/float64(e.Capacity.MilliCores))
	}
	if p.Uses(Local) && !e.Local {
		cost += remoteCost
	}
	return cost
}

// Places returns how many tasks of the given size find room now.
func Places(endpoints []Endpoint, size wire.Resources) int {
	n := int64(0)
	for i := range endpoints {
		if e := &endpoints[i]; e.Open {
			n += e.Free.places(size)
		}
	}
	return int(n)
}

// places returns how many tasks of the given size fit.
func (r Room) places(size wire.Resources) int64 {
	n := int64(math.MaxInt32)
	for _, d := range [][2]int64{
		{r.MilliCores, int64(size.MilliCores)}, {r.MemoryMiB, int64(size.MemoryMiB)}, {r.Accelerators, int64(size.Accelerators)},
	} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return n
}
