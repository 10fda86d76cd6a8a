package coordinator

import (
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// snapshot returns the endpoints of a service in the form of package policy, and their agents in
// the same order.
func (c *Coordinator) snapshot(service string, now time.Time) ([]policy.Endpoint, []*agent) {
	var endpoints []policy.Endpoint
	var agents []*agent
	for _, a := range c.agents {
		if a.profile == nil || a.profile.Service != service {
			continue
		}
		endpoints = append(endpoints, c.policyEndpoint(a, now))
		agents = append(agents, a)
	}
	c.markConfined(service, endpoints, agents)
	return endpoints, agents
}

// policyEndpoint returns the endpoint of an agent in the form of package policy.
func (c *Coordinator) policyEndpoint(a *agent, now time.Time) policy.Endpoint {
	e := policy.Endpoint{
		Free: policy.NewFreeCapacity(a.profile.Capacity, a.status.Used), Capacity: a.profile.Capacity,
		Slowness:      float64(a.status.SlownessPermille) / 1000,
		Available:     a.send != nil && !a.suspect && a.status.ClosedReason == 0 && !c.evacuated.Has(a.profile.DataCentre),
		RejectsStored: a.status.RejectsStoredRuns,
		Local:         a.profile.DataCentre == c.cfg.DataCentre,
		Labels:        a.profile.Labels,
	}
	if e.Slowness <= 0 {
		e.Slowness = 1
	}
	for _, t := range a.tasks {
		if t.orderSequence > a.status.OrderedRuns {
			e.Free = e.Free.Sub(t.step.Size) // not yet included in the reported use
		}
		if suspect, _ := c.suspicion(t); suspect {
			e.Suspects++
		}
	}
	c.markTrial(&e, a, now)
	if a.onProbation && !a.mayRunTrial(now, c.cfg.Timing.TrialInterval) {
		e.Available = false
	}
	return e
}

func indexOf(agents []*agent, a *agent) int { return slices.Index(agents, a) }

// policyTask returns t in the form of package policy.
func (c *Coordinator) policyTask(t *task, endpoints []policy.Endpoint, agents []*agent, now time.Time) *policy.Task {
	p := &policy.Task{
		Size: t.step.Size, DeclaredRunTime: max(t.step.Estimate, minDeclaredRunTime),
		Budget: t.job.objective.Sub(now),
		Label:  t.step.Label, Stored: t.job.stored != nil, DataRack: t.step.DataRack, FarFactor: c.cfg.Timing.FarFactor,
		MaxPerEndpoint: t.step.MaxPerEndpoint, Job: t.job.spec.ID,
	}
	p.RunTimeFactor = c.plannedFactor(t.job.spec.Queue.Name)
	if p.Suspect, p.Identified = c.suspicion(t); p.Suspect {
		p.SuspectRanks = suspectRanks(t, agents)
	}
	p.Confine(endpoints, c.confinedLimit(t.job.spec.Queue.Name, len(endpoints)))
	for _, a := range t.avoid {
		if i := indexOf(agents, a); i >= 0 {
			p.Avoid = append(p.Avoid, i)
		}
	}
	if p.MaxPerEndpoint > 0 {
		p.PlacedByEndpoint = make(map[int]int)
		for _, o := range t.job.steps[t.id.Step] {
			if i := indexOf(agents, o.agent); o.agent != nil && i >= 0 {
				p.PlacedByEndpoint[i]++
			}
		}
	}
	return p
}

// placeQueuedJobs refuses queued jobs that have waited too long and orders the waiting tasks for
// which there is free capacity.
func (c *Coordinator) placeQueuedJobs(now time.Time) {
	c.queued = slices.DeleteFunc(c.queued, func(j *activeJob) bool {
		if j.tasksLeft == 0 || !j.hasWaitingTask() {
			j.queued = false
			return true
		}
		return false
	})
	if len(c.queued) == 0 {
		return
	}
	c.sortQueue(now)
	views := make(map[string]*serviceView)
	for _, j := range slices.Clone(c.queued) {
		v := views[j.spec.Queue.Service]
		if v == nil {
			v = c.newServiceView(&j.spec.Queue, now)
			views[j.spec.Queue.Service] = v
		}
		c.planReservations(v, j, now)
		if !j.started && (c.refuseIfTooLarge(j, v, now) || c.handOver(j, v, now) || c.refuseIfOverdue(j, v, now)) || c.refuseEarly(j, v, now) {
			continue
		}
		c.placeJob(j, v, now)
		c.observePlacement(j, now)
		v.coresAhead += float64(j.waitingMilliCores()) / 1000
	}
	c.reuseForecastBuffer(views)
}

// serviceView is the state of the endpoints of a service during a placement pass.
type serviceView struct {
	endpoints []policy.Endpoint
	agents    []*agent
	// coresAhead is the demand of the preceding jobs that could not be placed.
	coresAhead float64
	// largestFree is at least the largest free capacity of an endpoint, in each resource.
	largestFree policy.FreeCapacity
	// unplacedCores is the demand of the job judged last that cannot be placed.
	judged        *activeJob
	unplacedCores float64
	releases      *policy.Releases // set when it is first needed
	// reservations is set once a task fits on no endpoint, if the mechanism is enabled.
	reservations *serviceReservations
	forecastView
}

func (c *Coordinator) newServiceView(q *job.Queue, now time.Time) *serviceView {
	v := new(serviceView)
	v.endpoints, v.agents = c.snapshot(q.Service, now)
	v.largestFree = policy.LargestFree(v.endpoints)
	return v
}

// releasesOf returns the expected releases of the service with the view v.
func (c *Coordinator) releasesOf(v *serviceView, service string, now time.Time) policy.Releases {
	if v.releases == nil {
		r, ok := c.releases[service]
		if !ok || now.Sub(r.at) >= releasesInterval {
			r = expectedReleases{c.expectedReleases(service, now), now}
			c.releases[service] = r
		}
		v.releases = &r.Releases
	}
	return *v.releases
}

// releasesInterval is the time for which the expected releases of a service are used again. They are
// computed from all its runs, and forecasts need them in each pass.
const releasesInterval = 5 * time.Millisecond

// expectedReleases are the releases that were expected at a time.
type expectedReleases struct {
	policy.Releases
	at time.Time
}

func (j *activeJob) hasWaitingTask() bool {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.state == taskWaiting {
				return true
			}
		}
	}
	return false
}

// placeJob orders the waiting tasks of j for which there is free capacity.
func (c *Coordinator) placeJob(j *activeJob, v *serviceView, now time.Time) {
	endpoints, agents := v.endpoints, v.agents
	if len(endpoints) == 0 || j.stored != nil && !c.recorder.HoldsLease() {
		return
	}
	checked := false // whether the callers are still connected
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.state != taskWaiting || now.Before(t.holdUntil) || c.stopping[t.name] != nil {
				continue
			}
			if !v.largestFree.Fits(t.step.Size) && !c.reservations.enabled {
				break
			}
			p := c.policyTask(t, endpoints, agents, now)
			choice, ok := c.cfg.Policy.ChooseEndpoint(endpoints, p, c.random.Uint64())
			c.noteSpeedDecision(t, choice, now)
			if !ok {
				c.noteBlocked(v, t, p)
				v.largestFree = policy.LargestFree(endpoints)
				break // the other tasks of the step have the same requirements
			}
			if !choice.InTime && c.waitsForTimelyStart(j, p, endpoints, now) {
				break
			}
			// The check makes a system call, so it is not made for jobs that keep waiting.
			if !checked && j.allCallersDisconnected() {
				if !j.started {
					c.dropAbandoned(j, now)
				}
				return // a started job is abandoned when its last caller is
			}
			checked = true
			e, a := &endpoints[choice.Index], agents[choice.Index]
			if e.Reservations.Active {
				c.cfg.Metrics.reservations.backfilled.Inc()
			}
			e.Take(p)
			c.placedOn(t, a, now)
			if p.Suspect {
				e.Suspects++
			}
			if p.IsConfined() || p.Suspect {
				e.TrialJob, e.TrialSuspected = p.Job, p.Identified
			}
			t.expectedRunTime = choice.RunTime
			c.orderTask(t, a, now)
			if a.onProbation {
				a.lastTrial = now
				e.Available = a.mayRunTrial(now, c.cfg.Timing.TrialInterval)
			}
		}
	}
}

// orderTask adds an order for t to the current batch for a.
func (c *Coordinator) orderTask(t *task, a *agent, now time.Time) {
	t.runNumber++
	t.state, t.agent, t.orderedAt = taskOrdered, a, now
	if !t.job.started {
		c.countStarted(t.job, now)
	}
	t.job.started, t.job.activeAt = true, now
	a.tasks[t.name] = t
	a.orderCount++
	t.orderSequence = a.orderCount
	groups, group := c.pendingOrders[a], t.orderGroup()
	group.TrialMillis = uint32(c.trialTime(t).Milliseconds())
	_, group.TrialShared = c.suspicion(t)
	if last := len(groups) - 1; last >= 0 && groups[last].EqualExceptRuns(&group) {
		groups[last].Runs = append(groups[last].Runs, t.runID())
	} else {
		group.Runs = []wire.Run{t.runID()}
		groups = append(groups, group)
	}
	c.pendingOrders[a] = groups
	c.cfg.Metrics.ordered.Inc()
	c.observeOrder(t, now)
	c.noteSize(t)
	c.cfg.Log.Log(event.TaskPlaced, "task", t.name, "run", t.runNumber, "agent", a.name,
		"waited_ms", now.Sub(t.job.arrived).Milliseconds(), "heard_ms_ago", now.Sub(a.lastReceived).Milliseconds(),
		"slowness", a.status.SlownessPermille)
}

// orderGroup returns the order group for t, without its run.
func (t *task) orderGroup() wire.OrderGroup {
	return wire.OrderGroup{
		Payload: t.job.spec.Payload, Size: t.step.Size, EstimateMillis: uint32(t.step.Estimate.Milliseconds()),
		Stored: t.job.stored != nil,
		Trace:  t.job.spec.Trace, Queue: t.job.spec.Queue.Name, CapacityUnenforced: t.job.spec.Queue.CapacityUnenforced,
	}
}

// sendPending sends the orders, stops and confirmations of the current batch.
func (c *Coordinator) sendPending(now time.Time) {
	for a, groups := range c.pendingOrders {
		delete(c.pendingOrders, a)
		a.lastEchoed = now
		c.sendTo(a, &wire.Orders{Groups: groups, OrderedRuns: a.orderCount, StatusClockMillis: a.status.ClockMillis})
	}
	for _, a := range c.agents {
		if len(a.pendingStops) > 0 {
			c.sendTo(a, &wire.Stop{Runs: a.pendingStops})
			a.pendingStops = nil
		}
		if len(a.pendingConfirms) > 0 {
			c.sendTo(a, &wire.Confirm{Runs: a.pendingConfirms})
			a.pendingConfirms = nil
		}
	}
}
