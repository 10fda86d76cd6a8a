package coordinator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolerelay/event"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// confinement limits the queues whose tasks crash endpoints to a few endpoints of their service
// (a bulkhead), so that the others keep serving the other queues.
type confinement struct {
	service string
	// crashingJobs holds when a task was given up, within policy.ConfinementWindow, by job.
	crashingJobs map[string]time.Time
	active       bool
	// calm is how long endpoints of the confinement have been in service since the last crash.
	calm time.Duration
	// crashDelay is the time from the start to the crash of the tasks that were given up, the longest
	// of them; agents notice crashes late, so that the shorter one of a task counts.
	crashDelay time.Duration
	// retryAt is when the identified tasks of stored jobs run again, all at once.
	retryAt time.Time
	// needed is the number of endpoints that the other queues use, the greatest of the last seconds.
	needed     float64
	releasedAt time.Time
	// availableAt is when an endpoint of the confinement was last in service.
	availableAt time.Time
	limit       int // number of endpoints
}

// addCrashingJob records that a task was given up, and confines its queue if that was so with
// several jobs.
func (c *Coordinator) addCrashingJob(t *taskCrashes, now time.Time) {
	queue := t.queue
	if queue == "" || t.service == "" || !c.cfg.Policy.Uses(policy.Confinement) {
		return
	}
	f := c.confined[queue]
	if f == nil {
		f = &confinement{service: t.service, crashingJobs: make(map[string]time.Time)}
		c.confined[queue] = f
	}
	f.crashingJobs[t.job] = t.lastAt
	f.expire(now)
	f.crashDelay = max(f.crashDelay, min(time.Duration(slices.Min(t.elapsedMillis()))*time.Millisecond, maxCrashDelay))
	again := !f.releasedAt.IsZero() && now.Sub(f.releasedAt) <= policy.ConfinementWindow
	endpoints, _ := c.snapshot(t.service, now)
	if !f.active && policy.ConfinedEndpoints(len(endpoints), 0, 0) > 0 && (again || len(f.crashingJobs) >= policy.ConfinementJobs) {
		f.active, f.availableAt = true, now
		f.updateNeeded(endpoints, 0)
		c.cfg.Log.Log(event.QueueConfined, "queue", queue, "confined", true, "crashing_jobs", len(f.crashingJobs), "again", again,
			"limit", c.confinedLimit(queue, len(endpoints)), "endpoints", len(endpoints), "needed", f.needed, "crash_delay_ms", f.crashDelay.Milliseconds())
	}
	f.calm, c.replan = 0, true
}

// expire removes the crashing jobs that are older than policy.ConfinementWindow.
func (f *confinement) expire(now time.Time) {
	maps.DeleteFunc(f.crashingJobs, func(_ string, at time.Time) bool { return now.Sub(at) > policy.ConfinementWindow })
}

// recordConfinedCrash restarts the calm time of the confined queues that had runs at an endpoint
// that crashed.
func (c *Coordinator) recordConfinedCrash(w *wire.Crash) {
	for _, r := range w.Runs {
		if f := c.confined[r.Queue]; f != nil && f.active {
			f.calm = 0
		}
	}
}

// confinedLimit returns the number of endpoints to which a queue is limited; 0 if it is not confined.
func (c *Coordinator) confinedLimit(queue string, endpoints int) int {
	if f := c.confined[queue]; f != nil && f.active {
		return policy.ConfinedEndpoints(endpoints, f.needed, f.calm)
	}
	return 0
}

// markConfined sets the rank of each endpoint of a service in the choice of those for confined
// queues, and marks the ones that are in use for them.
func (c *Coordinator) markConfined(service string, endpoints []policy.Endpoint, agents []*agent) {
	limit := 0
	for queue, f := range c.confined {
		if f.service == service {
			limit = max(limit, c.confinedLimit(queue, len(endpoints)))
		}
	}
	if limit == 0 {
		return
	}
	for i, rank := range confinementRanks(agents) {
		endpoints[i].ConfinementRank, endpoints[i].Confined = rank, rank < limit
	}
}

// confinementRanks returns the ranks of the agents in the choice of the endpoints for confined
// queues. All entries that know the same agents choose the same ones.
func confinementRanks(agents []*agent) []int {
	order := make([]int, len(agents))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(agents[a].name), xxhash.Sum64String(agents[b].name)), cmp.Compare(agents[a].name, agents[b].name))
	})
	ranks := make([]int, len(agents))
	for rank, i := range order {
		ranks[i] = rank
	}
	return ranks
}

const (
	// maxCrashDelay bounds confinement.crashDelay; other tasks wait at their endpoint that long for
	// one on trial.
	maxCrashDelay = 200 * time.Millisecond
	// neededTimeConstant is the time constant with which confinement.needed falls.
	neededTimeConstant = 2 * time.Second
	// retryDelay is how long the identified tasks of stored jobs wait for others, so that several
	// crash one endpoint together. No caller waits for them.
	retryDelay = 2 * time.Second
	// maxConfinedOutage is how long all endpoints of a confinement may be out of service. Those that
	// have crashed are back after some seconds, others perhaps never.
	maxConfinedOutage = 10 * time.Second
	// trialMargin is the time from an order to the start of its run, and from a crash to its report.
	trialMargin = 20 * time.Millisecond
)

// updateNeeded updates the number of endpoints that the other queues use: they run on those outside
// the confinement. Those that are down count as used.
func (f *confinement) updateNeeded(endpoints []policy.Endpoint, elapsed time.Duration) {
	needed := 0.0
	for i := range endpoints {
		switch e := &endpoints[i]; {
		case e.Confined:
		case e.Available && e.Capacity.MilliCores > 0:
			needed += 1 - float64(e.Free.MilliCores)/float64(e.Capacity.MilliCores)
		default:
			needed++
		}
	}
	f.needed = max(needed, f.needed*math.Exp(-elapsed.Seconds()/neededTimeConstant.Seconds()))
}

// otherEntrysJob stands for a job of another entry in policy.Endpoint.TrialJob.
const otherEntrysJob = "other entry's job"

// trialTime returns how long the runs of t are on trial, 0 if it is not suspect and its queue not
// confined.
func (c *Coordinator) trialTime(t *task) time.Duration {
	if f := c.confined[t.job.spec.Queue.Name]; f != nil && f.active {
		return policy.ClearedAfter(f.crashDelay) + trialMargin
	}
	if suspect, _ := c.suspicion(t); suspect {
		return policy.ClearedAfter(0) + trialMargin
	}
	return 0
}

// markTrial sets the trial job of e, the endpoint of a.
func (c *Coordinator) markTrial(e *policy.Endpoint, a *agent, now time.Time) {
	if len(c.confined) == 0 && len(c.crashes.tasks) == 0 {
		return
	}
	if now.Before(a.otherTrialUntil) {
		e.TrialJob = otherEntrysJob
	}
	for _, t := range a.tasks {
		if now.Sub(t.orderedAt) >= c.trialTime(t) {
			continue
		}
		e.TrialJob = t.job.spec.ID
		_, e.TrialSuspected = c.suspicion(t)
	}
}

// holdIdentified delays the next run of an identified task of a stored job until others can join it.
func (c *Coordinator) holdIdentified(t *task, now time.Time) {
	f := c.confined[t.job.spec.Queue.Name]
	if t.job.stored == nil || f == nil || !f.active {
		return
	}
	if f.retryAt.Before(now) {
		f.retryAt = now.Add(retryDelay)
	}
	if t.holdUntil.Before(f.retryAt) {
		t.holdUntil = f.retryAt
	}
}

// updateConfinements adds the time since the last call to the calm time of the confined queues of
// which an endpoint is in service, and releases those that have been calm for long enough.
func (c *Coordinator) updateConfinements(now time.Time) {
	elapsed := now.Sub(c.confinementsAt)
	c.confinementsAt = now
	c.replan = c.replan || len(c.queued) > 0 && len(c.crashes.tasks) > 0 // a trial may have ended
	for queue, f := range c.confined {
		if !f.active {
			if f.expire(now); len(f.crashingJobs) == 0 && now.Sub(f.releasedAt) > policy.ConfinementWindow {
				delete(c.confined, queue)
			}
			continue
		}
		endpoints, _ := c.snapshot(f.service, now)
		f.updateNeeded(endpoints, elapsed)
		if slices.ContainsFunc(endpoints, func(e policy.Endpoint) bool { return e.Confined && e.Available }) {
			f.calm += elapsed
			f.availableAt = now
		}
		limit := policy.ConfinedEndpoints(len(endpoints), f.needed, f.calm)
		if now.Sub(f.availableAt) > maxConfinedOutage {
			limit = 0
		}
		if limit == f.limit {
			continue
		}
		f.limit, c.replan = limit, true
		if limit == 0 {
			f.active, f.releasedAt = false, now
			c.cfg.Log.Log(event.QueueConfined, "queue", queue, "confined", false, "endpoints", len(endpoints), "calm_ms", f.calm.Milliseconds())
		}
	}
}
