package coordinator

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/event"
	"oriolerelay/policy"
)

const (
	// maxBlockedSteps is the number of steps per service whose tasks are considered for reservations
	// in a placement pass.
	maxBlockedSteps = 8
	// reservationInterval is the least time between two searches for endpoints for new reservations
	// of a service. A search reads the expected ends of all its runs.
	reservationInterval = 10 * time.Millisecond
	// maxRunTimeModels bounds the number of queues whose run times are learned.
	maxRunTimeModels = 256
	// stopTime is the expected time until the end of a run that is being stopped is reported.
	stopTime = 20 * time.Millisecond
)

// Outcomes of reservations, the values of the label of the metric.
const (
	reservationMade     = "made"
	reservationUsed     = "used"
	reservationExpired  = "expired"
	reservationReleased = "released"
)

// reservations is the state of the mechanism policy.Reservations.
type reservations struct {
	enabled   bool
	byService map[string]*serviceReservations
	runTimes  map[string]*policy.RunTimeModel // by queue
}

func newReservations(p policy.Policy) reservations {
	return reservations{
		enabled:   p.Uses(policy.Reservations),
		byService: make(map[string]*serviceReservations),
		runTimes:  make(map[string]*policy.RunTimeModel),
	}
}

// reservation is capacity of an endpoint that is kept for a waiting task.
type reservation struct {
	task  *task
	agent *agent
	// startAt is the time at which the task was promised to start. It is only ever changed to an
	// earlier time.
	startAt   time.Time
	expiresAt time.Time
}

// serviceReservations is the state of a service. The slices are reused by later placement passes.
type serviceReservations struct {
	held       []reservation // at most policy.MaxReservations
	searchedAt time.Time     // when endpoints for new reservations were last searched

	// State of a placement pass.
	blocked     []blockedStep
	planned     int // number of blocked steps for which reservations were planned
	largestFree policy.FreeCapacity
	schedules   []policy.Schedule
	scheduled   []bool // whether the schedule of an endpoint is set
	stopping    []stoppingRun
	endpoints   int // number of endpoints with reservations
	tasks       int // number of tasks with reservations
}

// blockedStep is a step with waiting tasks that fit on no endpoint.
type blockedStep struct {
	first  *task // the first of them
	policy *policy.Task
}

func (r *serviceReservations) find(t *task) int {
	return slices.IndexFunc(r.held, func(h reservation) bool { return h.task == t })
}

// beginPass resets the state of a placement pass.
func (r *serviceReservations) beginPass() {
	clear(r.blocked)
	r.blocked, r.planned, r.endpoints, r.tasks = r.blocked[:0], 0, 0, 0
}

// plannedFactor returns the factor by which the expected run times of a queue are multiplied for
// planning; 0 while the mechanism is disabled.
func (c *Coordinator) plannedFactor(queue string) float64 {
	if !c.reservations.enabled {
		return 0
	}
	return c.reservations.runTimes[queue].Factor()
}

// observeRunTime adds the run time of t, which has succeeded, to the model of its queue.
func (c *Coordinator) observeRunTime(t *task, now time.Time) {
	if !c.reservations.enabled || t.expectedRunTime <= 0 {
		return
	}
	models, queue := c.reservations.runTimes, t.job.spec.Queue.Name
	m := models[queue]
	if m == nil {
		if len(models) >= maxRunTimeModels {
			clear(models) // learned again from the queues in use
		}
		m = new(policy.RunTimeModel)
		models[queue] = m
	}
	m.Observe(now.Sub(t.orderedAt), t.expectedRunTime)
}

// noteBlocked records that t and the later tasks of its step fit on no endpoint.
func (c *Coordinator) noteBlocked(v *serviceView, t *task, p *policy.Task) {
	if !c.reservations.enabled {
		return
	}
	if v.reservations != nil && v.reservations.endpoints > 0 && policy.IsHeldBack(v.endpoints, p) {
		if !t.heldBack {
			t.heldBack = true
			c.cfg.Metrics.reservations.heldBack.Inc()
		}
		return
	}
	r := v.reservations
	if r == nil {
		service := t.job.spec.Queue.Service
		if r = c.reservations.byService[service]; r == nil {
			r = new(serviceReservations)
			c.reservations.byService[service] = r
		}
		r.beginPass()
		r.largestFree = policy.LargestFree(v.endpoints)
		v.reservations = r
	}
	if len(r.blocked) < maxBlockedSteps {
		r.blocked = append(r.blocked, blockedStep{t, p})
	}
}

// planReservations marks the endpoints of v on which capacity is kept for the tasks that come before
// j in the order of the queue and fit on no endpoint. It does nothing if no task of j could use
// that capacity.
func (c *Coordinator) planReservations(v *serviceView, j *activeJob, now time.Time) {
	r := v.reservations
	if r == nil || r.planned == len(r.blocked) || !j.hasWaitingTaskWithin(r.largestFree) {
		return
	}
	if r.planned == 0 {
		r.resetSchedules(len(v.endpoints))
		for _, s := range c.stopping {
			r.stopping = append(r.stopping, *s)
		}
	}
	search := now.Sub(r.searchedAt) >= reservationInterval
	for ; r.planned < len(r.blocked); r.planned++ {
		b := &r.blocked[r.planned]
		for _, t := range b.first.job.steps[b.first.id.Step] {
			if r.tasks >= policy.MaxReservations {
				break
			}
			if t.state != taskWaiting || now.Before(t.holdUntil) || c.stopping[t.name] != nil {
				continue
			}
			if !c.renewReservation(v, t, b.policy, now) && (!search || !c.makeReservation(v, t, b.policy, now)) {
				break // the other tasks of the step have the same requirements
			}
		}
	}
}

// hasWaitingTaskWithin reports whether a waiting task of j fits into the given capacity.
func (j *activeJob) hasWaitingTaskWithin(free policy.FreeCapacity) bool {
	for si, tasks := range j.steps {
		if !free.Fits(j.spec.Steps[si].Size) {
			continue
		}
		if slices.ContainsFunc(tasks, func(t *task) bool { return t.state == taskWaiting }) {
			return true
		}
	}
	return false
}

func (r *serviceReservations) resetSchedules(endpoints int) {
	r.schedules = slices.Grow(r.schedules[:0], endpoints)[:endpoints]
	r.scheduled = slices.Grow(r.scheduled[:0], endpoints)[:endpoints]
	clear(r.scheduled)
	clear(r.stopping)
	r.stopping = r.stopping[:0]
}

// schedule returns what is expected of the runs at an endpoint, including those that are being stopped.
func (c *Coordinator) schedule(v *serviceView, i int, now time.Time) *policy.Schedule {
	r, a := v.reservations, v.agents[i]
	s := &r.schedules[i]
	if r.scheduled[i] {
		return s
	}
	r.scheduled[i] = true
	*s = policy.Schedule{Ends: s.Ends[:0], Excluded: a.onProbation}
	for _, t := range a.tasks {
		planned := time.Duration(c.plannedFactor(t.job.spec.Queue.Name) * float64(t.expectedRunTime))
		after := policy.RemainingRunTime(planned, now.Sub(t.orderedAt))
		if t.state == taskStopping {
			after = stopTime
		}
		s.Ends = append(s.Ends, policy.RunEnd{After: after, Size: t.step.Size})
	}
	for i := range r.stopping {
		if stop := &r.stopping[i]; stop.agent == a {
			s.Ends = append(s.Ends, policy.RunEnd{After: stopTime, Size: stop.task.step.Size})
		}
	}
	s.Sort()
	return s
}

// renewReservation marks the endpoint on which capacity is reserved for t. It reports whether t has a
// reservation.
func (c *Coordinator) renewReservation(v *serviceView, t *task, p *policy.Task, now time.Time) bool {
	r := v.reservations
	k := r.find(t)
	if k < 0 {
		return false
	}
	h := &r.held[k]
	i := indexOf(v.agents, h.agent)
	if i < 0 {
		c.releaseReservation(r, k, "endpoint lost")
		return false
	}
	if !v.endpoints[i].Reservations.Active && r.endpoints >= policy.MaxReservedEndpoints(len(v.endpoints)) {
		return true // not in force in this pass: jobs that come earlier have the reservations
	}
	slot, ok := policy.RenewReservation(&v.endpoints[i], c.schedule(v, i, now), p, i)
	if !ok {
		c.releaseReservation(r, k, "no capacity expected")
		return false
	}
	if startAt := now.Add(slot.Start); startAt.Before(h.startAt) {
		h.startAt = startAt
	}
	r.reserve(v, slot, p, h.startAt.Sub(now))
	return true
}

// makeReservation reserves capacity for t on the endpoint where it is expected to end first. It
// reports whether there is one.
func (c *Coordinator) makeReservation(v *serviceView, t *task, p *policy.Task, now time.Time) bool {
	r := v.reservations
	if len(r.held) >= policy.MaxReservations {
		return false
	}
	r.searchedAt = now
	for i := range v.endpoints {
		s := c.schedule(v, i, now)
		s.Excluded = s.Excluded || slices.Contains(t.job.expiredAt, v.agents[i])
	}
	latest := c.cfg.Policy.TimeToRefusal(c.queuedJob(t.job), now)
	if deadline := t.job.callerDeadline; !deadline.IsZero() {
		latest = min(latest, deadline.Sub(now))
	}
	slot, ok := policy.PlanReservation(v.endpoints, r.schedules, p, latest, r.endpoints < policy.MaxReservedEndpoints(len(v.endpoints)))
	for i := range v.endpoints {
		r.schedules[i].Excluded = v.agents[i].onProbation
	}
	if !ok {
		return false
	}
	e, a := &v.endpoints[slot.Index], v.agents[slot.Index]
	startAt := now.Add(slot.Start)
	r.held = append(r.held, reservation{
		task: t, agent: a, startAt: startAt, expiresAt: startAt.Add(policy.ReservationGrace(p.PlannedRunTime(e))),
	})
	r.reserve(v, slot, p, slot.Start)
	c.cfg.Metrics.reservations.count(reservationMade)
	c.cfg.Log.Log(event.ReservationMade, "task", t.name, "agent", a.name, "start_ms", slot.Start.Milliseconds(),
		"millicores", t.step.Size.MilliCores, "memory_mib", t.step.Size.MemoryMiB, "run_time_factor", p.RunTimeFactor)
	return true
}

// reserve marks the endpoint of a slot.
func (r *serviceReservations) reserve(v *serviceView, slot policy.Slot, p *policy.Task, from time.Duration) {
	e := &v.endpoints[slot.Index]
	if !e.Reservations.Active {
		r.endpoints++
	}
	r.tasks++
	e.Reserve(&r.schedules[slot.Index], slot, p.Size, from)
	if p.MaxPerEndpoint > 0 {
		p.PlacedByEndpoint[slot.Index]++
	}
}

// placedOn ends the reservation of t, which was ordered from a.
func (c *Coordinator) placedOn(t *task, a *agent, now time.Time) {
	r := c.reservations.byService[t.job.spec.Queue.Service]
	if r == nil {
		return
	}
	k := r.find(t)
	if k < 0 {
		return
	}
	if h := r.held[k]; h.agent != a {
		c.releaseReservation(r, k, "placed elsewhere")
		return
	}
	c.cfg.Metrics.reservations.count(reservationUsed)
	c.cfg.Log.Log(event.ReservationUsed, "task", t.name, "agent", a.name, "late_ms", now.Sub(r.held[k].startAt).Milliseconds())
	r.held = slices.Delete(r.held, k, k+1)
}

// releaseReservation removes a reservation that was not used. Its task is planned again in the next
// placement pass.
func (c *Coordinator) releaseReservation(r *serviceReservations, k int, why string) {
	h := r.held[k]
	c.cfg.Metrics.reservations.count(reservationReleased)
	c.cfg.Log.Log(event.ReservationReleased, "task", h.task.name, "agent", h.agent.name, "why", why)
	r.held = slices.Delete(r.held, k, k+1)
	r.searchedAt = time.Time{}
	c.replan = true
}

// checkReservations removes the reservations that have expired, whose tasks do not wait any more, or
// whose endpoints get no tasks.
func (c *Coordinator) checkReservations(now time.Time) {
	for service, r := range c.reservations.byService {
		for k := len(r.held) - 1; k >= 0; k-- {
			h := r.held[k]
			why := c.reservationFault(&h)
			switch {
			case why != "":
				c.releaseReservation(r, k, why)
			case now.After(h.expiresAt):
				h.task.job.expiredAt = append(h.task.job.expiredAt, h.agent)
				c.cfg.Metrics.reservations.count(reservationExpired)
				c.cfg.Log.Log(event.ReservationExpired, "task", h.task.name, "agent", h.agent.name, "late_ms", now.Sub(h.startAt).Milliseconds(),
					"runs", len(h.agent.tasks))
				r.held = slices.Delete(r.held, k, k+1)
				r.searchedAt = time.Time{}
				c.replan = true
			}
		}
		if len(r.held) == 0 && len(c.queued) == 0 {
			delete(c.reservations.byService, service)
		}
	}
}

// reservationFault returns why a reservation cannot be used; empty if it can.
func (c *Coordinator) reservationFault(h *reservation) string {
	a := h.agent
	switch {
	case h.task.job.tasksLeft == 0:
		return "job ended"
	case h.task.state != taskWaiting:
		return "task does not wait"
	case c.agents[a.name] != a || a.send == nil || a.suspect:
		return "agent lost"
	case a.status.ClosedReason != 0:
		return "endpoint closed"
	case c.evacuated.Has(a.profile.DataCentre):
		return "data centre evacuated"
	case a.onProbation:
		return "endpoint on probation"
	case a.profile.Service != h.task.job.spec.Queue.Service || !h.task.step.Size.Fits(a.profile.Capacity):
		return "capacity changed"
	}
	return ""
}

// reservationMetrics holds the metrics of the mechanism.
type reservationMetrics struct {
	outcomes             *prometheus.CounterVec
	backfilled, heldBack prometheus.Counter
}

func newReservationMetrics(reg prometheus.Registerer) reservationMetrics {
	m := reservationMetrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "oriole_reservations_total", Help: "Reservations of capacity for waiting tasks that were made, and their outcomes.",
		}, []string{"outcome"}),
		backfilled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_tasks_backfilled_total", Help: "Tasks that were ordered from an endpoint on which capacity was reserved for others.",
		}),
		heldBack: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "oriole_tasks_held_back_total", Help: "Tasks that were not ordered since the free capacity was reserved; the first of each step.",
		}),
	}
	reg.MustRegister(m.outcomes, m.backfilled, m.heldBack)
	return m
}

func (m *reservationMetrics) count(outcome string) { m.outcomes.WithLabelValues(outcome).Inc() }
