package coordinator

import (
	"slices"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// snapshot returns the endpoints of the queue's service as package policy sees
// them, and the agents in the same order.
func (c *Coordinator) snapshot(q *job.Queue, now time.Time) ([]policy.Endpoint, []*agent) {
	var endpoints []policy.Endpoint
	var agents []*agent
	for _, a := range c.agents {
		if a.profile == nil || a.profile.Service != q.Service {
			continue
		}
		endpoints = append(endpoints, c.endpoint(a, now))
		agents = append(agents, a)
	}
	return endpoints, agents
}

// endpoint describes the endpoint of an agent to package policy.
func (c *Coordinator) endpoint(a *agent, now time.Time) policy.Endpoint {
	e := policy.Endpoint{
		Free: policy.RoomLeft(a.profile.Capacity, a.status.Used), Capacity: a.profile.Capacity,
		Slowness: float64(a.status.SlownessPermille) / 1000,
		Open:     a.send != nil && !a.silent && a.status.ClosedReason == 0 && !c.emptied.Has(a.profile.DataCentre),
		NoStored: a.status.RejectsStoredRuns,
		Local:    a.profile.DataCentre == c.cfg.DataCentre,
		Labels:   a.profile.Labels,
	}
	if e.Slowness <= 0 {
		e.Slowness = 1
	}
	for _, t := range a.tasks {
		if t.sequence > a.status.OrderedRuns {
			e.Free = e.Free.Less(t.step.Size) // not yet included in Used
		}
	}
	if a.distrusted && !a.mayTry(now, c.cfg.Timing.TrialInterval) {
		e.Open = false
	}
	return e
}

func indexOf(agents []*agent, a *agent) int { return slices.Index(agents, a) }

// placementTask describes t to package policy.
func (c *Coordinator) placementTask(t *task, agents []*agent, now time.Time) *policy.Task {
	p := &policy.Task{
		Size: t.step.Size, Declared: max(t.step.Estimate, minRunTime),
		Budget: t.job.objective.Sub(now),
		Label:  t.step.Label, Stored: t.job.stored != nil, DataRack: t.step.DataRack, FarFactor: c.cfg.Timing.FarFactor,
		PerEndpoint: t.step.MaxPerEndpoint,
	}
	for _, a := range t.avoid {
		if i := indexOf(agents, a); i >= 0 {
			p.Avoid = append(p.Avoid, i)
		}
	}
	if p.PerEndpoint > 0 {
		p.Placed = make(map[int]int)
		for _, o := range t.job.steps[t.id.Step] {
			if i := indexOf(agents, o.agent); o.agent != nil && i >= 0 {
				p.Placed[i]++
			}
		}
	}
	return p
}

// plan orders the waiting tasks that find room.
func (c *Coordinator) plan(now time.Time) {
	c.waiting = slices.DeleteFunc(c.waiting, func(j *run) bool {
		if j.left == 0 || !j.hasWaiting() {
			j.queued = false
			return true
		}
		return false
	})
	if len(c.waiting) == 0 {
		return
	}
	slices.SortStableFunc(c.waiting, func(a, b *run) int {
		return c.cfg.Policy.Compare(c.candidate(a), c.candidate(b), now)
	})
	views := make(map[string]*serviceView)
	for _, j := range slices.Clone(c.waiting) {
		v := views[j.spec.Queue.Service]
		if v == nil {
			v = c.view(&j.spec.Queue, now)
			views[j.spec.Queue.Service] = v
		}
		if !j.started {
			if j.callersGone() {
				c.dropUnheard(j, now)
				continue
			}
			if c.refuseWaiting(j, v, now) {
				continue
			}
		}
		c.placeJob(j, v.endpoints, v.agents, now)
		v.ahead += float64(j.waitingMilliCores()) / 1000
	}
}

// serviceView is what is known of the endpoints of a service while jobs are placed there.
type serviceView struct {
	endpoints []policy.Endpoint
	agents    []*agent
	// ahead is what the jobs need that came before and found no room, in cores.
	ahead    float64
	releases policy.Releases
}

func (c *Coordinator) view(q *job.Queue, now time.Time) *serviceView {
	v := &serviceView{releases: c.releases(q.Service, now)}
	v.endpoints, v.agents = c.snapshot(q, now)
	return v
}

// dropUnheard forgets a job for whose answer nobody waits any more.
func (c *Coordinator) dropUnheard(j *run, now time.Time) {
	c.cfg.Log.Log(event.CallerDisconnected, "job", j.spec.ID, "queue", j.spec.Queue.Name, "waited_ms", now.Sub(j.arrived).Milliseconds())
	c.cfg.Metrics.abandoned.Inc()
	c.forget(j)
	j.answer(outcome{err: errkind.New(errkind.CancelledRunning, "the caller has gone")})
}

// refuseWaiting refuses a job that has not begun and has waited for too long. It reports
// whether it did.
func (c *Coordinator) refuseWaiting(j *run, v *serviceView, now time.Time) bool {
	w := c.candidate(j)
	w.Unplaced = unplaced(j, v.endpoints)
	if !c.cfg.Policy.Refuse(w, now) {
		return false
	}
	need := v.ahead + w.Unplaced
	err := errkind.New(errkind.QueueFull, "no endpoint has room in time: %.0f cores are needed for it and those before it", need)
	err.RetryAfter = policy.RetryAfter(need, v.releases)
	c.refuse(j, err, "slack_ms", j.objective.Sub(j.arrived.Add(j.needs)).Milliseconds(),
		"ahead_cores", v.ahead, "unplaced_cores", w.Unplaced, "need_millicores", j.waitingMilliCores(),
		"heard_ms", oldestNews(v.agents, now).Milliseconds(),
		"free_millicores", policy.Places(v.endpoints, j.spec.Steps[0].Size)*int(j.spec.Steps[0].Size.MilliCores))
	return true
}

// oldestNews returns the age of the oldest status among those of agents that are connected.
func oldestNews(agents []*agent, now time.Time) (oldest time.Duration) {
	for _, a := range agents {
		if a.send != nil && !a.silent {
			oldest = max(oldest, now.Sub(a.heard))
		}
	}
	return oldest
}

// unplaced returns what the waiting tasks of j need that find no room now, in cores. The
// tasks of each step are as large as the step says.
func unplaced(j *run, endpoints []policy.Endpoint) (cores float64) {
	for si, tasks := range j.steps {
		waiting := 0
		for _, t := range tasks {
			if t.state == taskWaiting {
				waiting++
			}
		}
		st := &j.spec.Steps[si]
		if n := waiting - policy.Places(endpoints, st.Size); n > 0 {
			cores += float64(n) * float64(st.Size.MilliCores) / 1000
		}
	}
	return cores
}

// releases returns when the runs of this entry at the endpoints of a service are expected
// to end. Other entries that order there use and free room in proportion.
func (c *Coordinator) releases(service string, now time.Time) policy.Releases {
	var ends []policy.Release
	for _, a := range c.agents {
		for _, t := range a.tasks {
			if t.job.spec.Queue.Service == service {
				ends = append(ends, policy.Release{
					After: policy.Remaining(t.expected, now.Sub(t.ordered)), Cores: float64(t.step.Size.MilliCores) / 1000,
				})
			}
		}
	}
	return policy.NewReleases(ends)
}

func (j *run) hasWaiting() bool {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.state == taskWaiting {
				return true
			}
		}
	}
	return false
}

// placeJob orders the waiting tasks of j that find room.
func (c *Coordinator) placeJob(j *run, endpoints []policy.Endpoint, agents []*agent, now time.Time) {
	if len(endpoints) == 0 || j.stored != nil && !c.recorder.MayAct() {
		return
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.state != taskWaiting || now.Before(t.held) {
				continue
			}
			p := c.placementTask(t, agents, now)
			choice, ok := c.cfg.Policy.ChooseEndpoint(endpoints, p, c.random.Uint64())
			if !ok {
				break // the other tasks of the step are alike
			}
			e, a := &endpoints[choice.Index], agents[choice.Index]
			e.Free = e.Free.Less(t.step.Size)
			t.expected = choice.RunTime
			c.order(t, a, now)
			if a.distrusted {
				a.trial = now
				e.Open = a.mayTry(now, c.cfg.Timing.TrialInterval)
			}
		}
	}
}

// order sends t to a with the present batch.
func (c *Coordinator) order(t *task, a *agent, now time.Time) {
	t.number++
	t.state, t.agent, t.ordered = taskOrdered, a, now
	t.job.started = true
	if t.job.stored != nil {
		c.startedJobs.Store(t.job.spec.ID, struct{}{})
	}
	a.tasks[t.name] = t
	a.ordered++
	t.sequence = a.ordered
	groups, group := c.orders[a], t.orderGroup()
	if last := len(groups) - 1; last >= 0 && groups[last].EqualExceptRuns(&group) {
		groups[last].Runs = append(groups[last].Runs, t.runID())
	} else {
		group.Runs = []wire.Run{t.runID()}
		groups = append(groups, group)
	}
	c.orders[a] = groups
	c.cfg.Metrics.ordered.Inc()
	c.cfg.Log.Log(event.TaskPlaced, "task", t.name, "run", t.number, "agent", a.name,
		"waited_ms", now.Sub(t.job.arrived).Milliseconds(), "heard_ms_ago", now.Sub(a.heard).Milliseconds(),
		"slowness", a.status.SlownessPermille)
}

// orderGroup describes t to its agent, without its run.
func (t *task) orderGroup() wire.OrderGroup {
	return wire.OrderGroup{
		Payload: t.job.spec.Payload, Size: t.step.Size, EstimateMillis: uint32(t.step.Estimate.Milliseconds()),
		Stored: t.job.stored != nil,
		Trace:  t.job.spec.Trace,
	}
}

// flush sends the orders and stops of the present batch.
func (c *Coordinator) flush(now time.Time) {
	for a, groups := range c.orders {
		delete(c.orders, a)
		c.sendTo(a, &wire.Orders{Groups: groups, OrderedRuns: a.ordered, StatusClockMillis: a.status.ClockMillis}, now)
	}
	for _, a := range c.agents {
		if len(a.stops) > 0 {
			c.sendTo(a, &wire.Stop{Runs: a.stops}, now)
			a.stops = nil
		}
		if len(a.notes) > 0 {
			c.sendTo(a, &wire.Confirm{Runs: a.notes}, now)
			a.notes = nil
		}
	}
}
