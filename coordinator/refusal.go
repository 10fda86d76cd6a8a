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
	queued.UnplacedCores = c.unplacedCores(j, v)
	if !c.cfg.Policy.ShouldRefuse(queued, now) {
		return false
	}
	c.observeOutcome(j, false, now)
	c.cfg.Metrics.refusedLate.WithLabelValues(j.spec.Queue.Name).Inc()
	c.refuseForCapacity(j, v, queued.UnplacedCores, now)
	return true
}

// refuseForCapacity refuses a job for lack of capacity. inputs are further inputs of the decision for
// the log.
func (c *Coordinator) refuseForCapacity(j *activeJob, v *serviceView, unplacedCores float64, now time.Time, inputs ...any) {
	need := v.coresAhead + unplacedCores
	err := errkind.New(errkind.QueueFull, "no endpoint has free capacity in time: %.0f cores are needed for this job and those ahead of it", need)
	err.RetryAfter = c.retryAfter(j, v, unplacedCores, now)
	c.refuse(j, err, append([]any{"slack_ms", j.objective.Sub(j.arrived.Add(j.expectedRunTime)).Milliseconds(),
		"ahead_cores", v.coresAhead, "unplaced_cores", unplacedCores, "need_millicores", j.waitingMilliCores(),
		"heard_ms", longestSinceReceived(v.agents, now).Milliseconds(),
		"free_millicores", c.fittingTasks(j, 0, v.endpoints) * int(j.spec.Steps[0].Size.MilliCores)}, inputs...)...)
}

// retryAfter returns the time after which the caller of j should retry. With early refusal each
// caller is told a time of its own, since many are refused at once.
func (c *Coordinator) retryAfter(j *activeJob, v *serviceView, unplacedCores float64, now time.Time) (after time.Duration) {
	if !c.cfg.Policy.Uses(policy.EarlyRefusal) {
		return policy.RetryAfter(v.coresAhead+unplacedCores, c.releasesOf(v, j.spec.Queue.Service, now))
	}
	service, rate := j.spec.Queue.Service, 0.0
	for _, f := range c.forecasts {
		if f.service == service {
			rate += f.flow.CoresPerSecond(now)
		}
	}
	after, c.promises[service] = c.promises[service].RetryAfter(v.coresAhead, unplacedCores, rate, now)
	return after
}

// refuseEarly predicts when j gets its capacity and refuses it if that will be too late. A small
// sample of such jobs is admitted to calibrate the forecast. The jobs of a placement pass must be
// passed in the order of the queue. It reports whether the job was refused.
func (c *Coordinator) refuseEarly(j *activeJob, v *serviceView, now time.Time) bool {
	// A job that is refused may be tried elsewhere at once, where it must not run beside an earlier copy.
	if !c.cfg.Policy.Uses(policy.EarlyRefusal) || c.hasStoppingRun(j) {
		return false
	}
	queued := c.queuedJob(j)
	queued.UnplacedCores = c.unplacedCores(j, v)
	if queued.UnplacedCores == 0 {
		return false
	}
	if !v.hasForecast {
		v.forecast, v.hasForecast = policy.NewForecast(c.releasesOf(v, j.spec.Queue.Service, now), c.forecastBuffer), true
		c.forecastBuffer = nil // until the end of the pass
	}
	c.updateOvertaking(v, &j.spec.Queue, now)
	wait, ok := v.forecast.Add(queued, v.overtaking, queued.LongestWait(now))
	if !ok || queued.Started {
		return false
	}
	f, share := c.forecastOf(j, now), queued.WaitShare(wait, now)
	margin := c.currentMargin(f, j.spec.Queue.Name, now)
	j.forecast.judged, j.forecast.waitShare = true, max(j.forecast.waitShare, share)
	if j.forecast.sampleWeight > 0 || !c.cfg.Policy.RefusesEarly(share, margin) {
		return false
	}
	if c.random.Float64() < margin.SampleShare {
		j.forecast.sampleWeight = 1 / margin.SampleShare
		return false
	}
	c.cfg.Metrics.refusedEarly.WithLabelValues(j.spec.Queue.Name).Inc()
	c.refuseForCapacity(j, v, queued.UnplacedCores, now, "early", true, "forecast_ms", wait.Milliseconds(),
		"wait_share", share, "margin", margin.WaitShare)
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
func (c *Coordinator) unplacedCores(j *activeJob, v *serviceView) (cores float64) {
	if v.judged == j { // none of its tasks was placed since
		return v.unplacedCores
	}
	for si, tasks := range j.steps {
		waiting := 0
		for _, t := range tasks {
			if t.state == taskWaiting {
				waiting++
			}
		}
		st := &j.spec.Steps[si]
		fitting := 0
		if v.largestFree.Fits(st.Size) {
			fitting = c.fittingTasks(j, si, v.endpoints)
		}
		if n := waiting - fitting; n > 0 {
			cores += float64(n) * float64(st.Size.MilliCores) / 1000
		}
	}
	v.judged, v.unplacedCores = j, cores
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
