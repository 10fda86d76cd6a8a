package coordinator

import (
	"maps"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// An entry orders the tasks of its stored jobs only at agents that are connected to it. Where agents
// serve one of several placement entries, the endpoints that can run a task may all be connected to
// others. The entry then publishes what the task needs, and agents that can run it connect to the
// entry as well.

const (
	// wantedDelay is the time without an endpoint for a task after which its requirement is wanted.
	// Agents that have lost a connection are back within that time.
	wantedDelay = 400 * time.Millisecond
	// starvedDelay is the time without a run after which a waiting job wants more endpoints, although
	// connected ones could run it.
	starvedDelay = 2 * time.Second
	// wantedRetention is the time for which a requirement is wanted after the last job with it. Each
	// change is a write to the store that all processes read.
	wantedRetention = 10 * time.Second
	// wantedCheckInterval is the time between two updates of what is wanted.
	wantedCheckInterval = 100 * time.Millisecond
	// maxWanted bounds the length of a published record. Beyond it any endpoint of the service is
	// wanted.
	maxWanted = 16
)

// wantedState holds what the stored jobs of this entry need of agents that are not connected to it.
type wantedState struct {
	checkedAt time.Time
	// lackingSince holds when the requirements that no connected endpoint meets were first seen.
	lackingSince map[wire.TaskRequirement]time.Time
	neededAt     map[wire.TaskRequirement]time.Time // when a job last had the requirement, for each wanted one
}

// Wanted returns what agents that are not connected to this entry are wanted for.
func (c *Coordinator) Wanted() []wire.TaskRequirement {
	if w := c.publishedWanted.Load(); w != nil {
		return *w
	}
	return nil
}

// WantedChanged returns a channel that signals changes of Wanted.
func (c *Coordinator) WantedChanged() <-chan struct{} { return c.wantedChanged }

// updateWanted updates what is wanted.
func (c *Coordinator) updateWanted(now time.Time) {
	w := &c.wanted
	if now.Sub(w.checkedAt) < wantedCheckInterval {
		return
	}
	w.checkedAt = now
	lacking := make(map[wire.TaskRequirement]time.Time)
	for _, j := range c.queued {
		if j.stored != nil && c.recorder.HoldsLease() {
			c.addWanted(j, lacking, now)
		}
	}
	w.lackingSince = lacking
	if len(w.neededAt) == 0 {
		return
	}
	for _, j := range c.jobs {
		if j.stored == nil {
			continue
		}
		for i := range j.spec.Steps {
			r := j.requirement(i)
			for _, known := range []wire.TaskRequirement{r, {Service: r.Service}} {
				if _, ok := w.neededAt[known]; ok {
					w.neededAt[known] = now
				}
			}
		}
	}
	maps.DeleteFunc(w.neededAt, func(_ wire.TaskRequirement, at time.Time) bool { return now.Sub(at) > wantedRetention })
	c.publishWanted()
}

// addWanted adds the requirements of the waiting tasks of j that have been without an endpoint for too
// long, and collects those that no connected endpoint meets in lacking.
func (c *Coordinator) addWanted(j *activeJob, lacking map[wire.TaskRequirement]time.Time, now time.Time) {
	starved := now.Sub(j.activeAt) > starvedDelay && !j.hasRun()
	for i, tasks := range j.steps {
		if !slices.ContainsFunc(tasks, func(t *task) bool { return t.state == taskWaiting && !now.Before(t.holdUntil) }) {
			continue
		}
		r := j.requirement(i)
		if !c.hasEndpointFor(r) {
			since, ok := c.wanted.lackingSince[r]
			if !ok {
				since = now
			}
			lacking[r] = since
			if now.Sub(since) < wantedDelay {
				continue
			}
		} else if !starved {
			continue
		}
		if _, ok := c.wanted.neededAt[r]; !ok && len(c.wanted.neededAt) >= maxWanted {
			r = wire.TaskRequirement{Service: r.Service}
		}
		c.wanted.neededAt[r] = now
	}
}

// requirement returns what the tasks of a step need.
func (j *activeJob) requirement(step int) wire.TaskRequirement {
	st := &j.spec.Steps[step]
	return wire.TaskRequirement{Service: j.spec.Queue.Service, Size: st.Size, Label: st.Label}
}

// hasRun reports whether a run of j is ordered or under way.
func (j *activeJob) hasRun() bool {
	for _, tasks := range j.steps {
		if slices.ContainsFunc(tasks, func(t *task) bool { return t.agent != nil }) {
			return true
		}
	}
	return false
}

// hasEndpointFor reports whether a connected endpoint meets r and accepts tasks.
func (c *Coordinator) hasEndpointFor(r wire.TaskRequirement) bool {
	for _, a := range c.agents {
		if a.send != nil && a.profile != nil && !a.suspect && a.status.ClosedReason == 0 && r.IsMetBy(a.profile) {
			return true
		}
	}
	return false
}

// publishWanted publishes what is wanted if it has changed.
func (c *Coordinator) publishWanted() {
	wanted := slices.SortedFunc(maps.Keys(c.wanted.neededAt), wire.TaskRequirement.Compare)
	if slices.Equal(wanted, c.Wanted()) {
		return
	}
	c.publishedWanted.Store(&wanted)
	c.cfg.Log.Log(event.WantedChanged, "requirements", len(wanted))
	select {
	case c.wantedChanged <- struct{}{}:
	default:
	}
}
