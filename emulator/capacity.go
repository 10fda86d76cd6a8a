package emulator

import (
	"fmt"
	"slices"
	"time"

	"oriolerelay/policy"
	"oriolerelay/wire"
)

// stabilityWindow and heartbeatInterval together are the time for which a capacity counts after
// it has shrunk.
const stabilityWindow = 3 * time.Second

// capacityPeriod is a time during which an endpoint had the given capacity.
type capacityPeriod struct {
	capacity wire.Resources
	end      time.Time
}

// SetCapacity changes the capacity. Later announcements state it; current runs continue.
func (e *Endpoint) SetCapacity(capacity wire.Resources) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pastCapacities = append(e.pastCapacities, capacityPeriod{e.Capacity, time.Now()})
	e.Capacity = capacity
}

// allowedCapacity returns the capacity that a start at the given time must not exceed: the
// largest of those that the endpoint had at that time or shortly before.
func (e *Endpoint) allowedCapacity(at time.Time) wire.Resources {
	e.mu.Lock()
	defer e.mu.Unlock()
	var allowed wire.Resources
	begin := time.Time{}
	for _, p := range append(slices.Clone(e.pastCapacities), capacityPeriod{e.Capacity, at.Add(time.Second)}) {
		if !begin.After(at) && p.end.After(at.Add(-stabilityWindow-heartbeatInterval)) {
			allowed.MilliCores = max(allowed.MilliCores, p.capacity.MilliCores)
			allowed.MemoryMiB = max(allowed.MemoryMiB, p.capacity.MemoryMiB)
			allowed.Accelerators = max(allowed.Accelerators, p.capacity.Accelerators)
		}
		begin = p.end
	}
	return allowed
}

// checkCapacity finds the first start that brings an endpoint over its capacity. Runs count until
// they have ended, also while they are being stopped.
func checkCapacity(e *Endpoint, runs []Run) []string {
	type change struct {
		at    time.Time
		run   *Run
		begin bool
	}
	var changes []change
	for i := range runs {
		r := &runs[i]
		changes = append(changes, change{r.Start, r, true})
		if !r.End.IsZero() {
			changes = append(changes, change{r.End, r, false})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		if n := a.at.Compare(b.at); n != 0 || a.begin == b.begin {
			return n
		}
		if b.begin {
			return -1 // a run that ends when another one begins does not count
		}
		return 1
	})
	// A run that ends as it begins is subtracted first, so the use may be negative for a moment.
	free := policy.FreeCapacity{}
	for _, c := range changes {
		if !c.begin {
			free = free.Add(c.run.Size)
			continue
		}
		free = free.Sub(c.run.Size)
		if allowed := e.allowedCapacity(c.at); !free.Add(allowed).Fits(wire.Resources{}) {
			return []string{fmt.Sprintf("run %d of task %s, which begins at %v, brings the use of endpoint %s to %d millicores and %d MiB of %d and %d",
				c.run.ID.Number, c.run.ID.Task, c.at, e.Name, -free.MilliCores, -free.MemoryMiB, allowed.MilliCores, allowed.MemoryMiB)}
		}
	}
	return nil
}
