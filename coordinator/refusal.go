package coordinator

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/policy"
)

// dropAbandoned removes a job for whose answer no caller waits any more.
func (c *Coordinator) dropAbandoned(j *activeJob, now time.Time) {
	c.cfg.Log.Log(event.CallerDisconnected, "job", j.spec.ID, "queue", j.spec.Queue.Name, "waited_ms", now.Sub(j.arrived).Milliseconds())
	c.cfg.Metrics.abandoned.Inc()
	c.remove(j)
	j.answer(outcome{err: errkind.New(errkind.QueueFull, "the caller disconnected before the job was started")})
}

// refuseIfOverdue refuses a job that has not started and has waited too long. It reports
// whether the job was refused.
func (c *Coordinator) refuseIfOverdue(j *activeJob, v *serviceView, now time.Time) bool {
	queued := c.queuedJob(j)
	queued.UnplacedCores = c.unplacedCores(j, v.endpoints)
	if !c.cfg.Policy.ShouldRefuse(queued, now) {
		return false
	}
	need := v.coresAhead + queued.UnplacedCores
	err := errkind.New(errkind.QueueFull, "no endpoint has free capacity in time: %.0f cores are needed for this job and those ahead of it", need)
	err.RetryAfter = policy.RetryAfter(need, c.releasesOf(v, j.spec.Queue.Service, now))
	c.refuse(j, err, "slack_ms", j.objective.Sub(j.arrived.Add(j.expectedRunTime)).Milliseconds(),
		"ahead_cores", v.coresAhead, "unplaced_cores", queued.UnplacedCores, "need_millicores", j.waitingMilliCores(),
		"heard_ms", longestSinceReceived(v.agents, now).Milliseconds(),
		"free_millicores", c.fittingTasks(j, 0, v.endpoints)*int(j.spec.Steps[0].Size.MilliCores))
	return true
}

// longestSinceReceived returns the longest time since a message from one of the agents that are
// connected and not suspect.
func longestSinceReceived(agents []*agent, now time.Time) (longest time.Duration) {
	for _, a := range agents {
		if a.send != nil && !a.suspect {
			longest = max(longest, now.Sub(a.lastReceived))
		}
	}
	return longest
}

// unplacedCores returns the demand of the waiting tasks of j that fit on no endpoint now. All
// tasks of a step have the size that the step declares.
func (c *Coordinator) unplacedCores(j *activeJob, endpoints []policy.Endpoint) (cores float64) {
	for si, tasks := range j.steps {
		waiting := 0
		for _, t := range tasks {
			if t.state == taskWaiting {
				waiting++
			}
		}
		st := &j.spec.Steps[si]
		if n := waiting - c.fittingTasks(j, si, endpoints); n > 0 {
			cores += float64(n) * float64(st.Size.MilliCores) / 1000
		}
	}
	return cores
}

// fittingTasks returns how many tasks of a step the available endpoints can take now.
func (c *Coordinator) fittingTasks(j *activeJob, step int, endpoints []policy.Endpoint) int {
	st := &j.spec.Steps[step]
	t := policy.Task{Size: st.Size, DeclaredRunTime: max(st.Estimate, minDeclaredRunTime), RunTimeFactor: c.plannedFactor(j.spec.Queue.Name)}
	t.Confine(endpoints, c.confinedLimit(j.spec.Queue.Name, len(endpoints)))
	return policy.FittingTasks(endpoints, &t)
}

// expectedReleases returns when the runs of this entry at the endpoints of a service are
// expected to end. Other entries that place tasks there take and release capacity in
// proportion.
func (c *Coordinator) expectedReleases(service string, now time.Time) policy.Releases {
	var ends []policy.Release
	for _, a := range c.agents {
		for _, t := range a.tasks {
			if t.job.spec.Queue.Service == service {
				ends = append(ends, policy.Release{
					After: policy.RemainingRunTime(t.expectedRunTime, now.Sub(t.orderedAt)), Cores: float64(t.step.Size.MilliCores) / 1000,
				})
			}
		}
	}
	return policy.NewReleases(ends)
}
