package coordinator

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// taskState is the state of a task of an active job.
type taskState uint8

const (
	taskBlocked taskState = iota // an earlier step is not done
	taskWaiting
	taskOrdered
	taskRunning
	taskStopping // its run is being stopped, to be moved to another endpoint
	taskDone
)

// extraUncountedFailures is the number of failures beyond the queue's attempts that a task may
// have on endpoints that fail most of their runs, before its job fails.
const extraUncountedFailures = 6

// runNumberSkip is added to the run number when the endpoint has seen a higher one, which
// another entry has used for the same job.
const runNumberSkip = 16

// activeJob is a job in progress.
type activeJob struct {
	spec            job.Submission
	arrived         time.Time
	objective       time.Time
	callerDeadline  time.Time // when the caller stops waiting
	expectedRunTime time.Duration
	steps           [][]*task
	tasksLeft       int // tasks that are not done
	started         bool
	waiters         []waiter         // of an ephemeral job
	queued          bool             // in Coordinator.queued
	sortKey         policy.QueuedJob // in the current placement pass
	stored          *storedState     // nil for an ephemeral job
	moves           int
	expiredAt       []*agent // agents where a reservation for the job has expired
	forecast        jobForecast
	activeAt        time.Time // when it was admitted, or a task was last ordered or completed
	shares          *jobShares
}

// task is a task of an active job.
type task struct {
	job             *activeJob
	id              job.TaskID
	name            string
	step            *job.Step
	state           taskState
	runNumber       uint32 // of the latest run
	agent           *agent
	orderSequence   uint64 // of the order on the agent's connection
	orderedAt       time.Time
	expectedRunTime time.Duration // from the order to the end of the run
	waitsForSpeed   bool          // it has waited for a faster endpoint than those with free capacity
	failures        int
	countedFailures int      // failures that count against the queue's attempts
	avoid           []*agent // agents where it has failed or was slow
	// holdUntil is the time until which a stored task waits for a report of its last run, whose
	// agent was lost and may have kept its end.
	holdUntil time.Time
	// adoptedNumber is the run number below which runs of a stored task were ordered by former owners.
	adoptedNumber uint32
	heldBack      bool // it was not ordered at least once since the free capacity was reserved
}

// minDeclaredRunTime is the run time that is assumed for a task that declares none or a shorter
// one.
const minDeclaredRunTime = 50 * time.Millisecond

func (c *Coordinator) submit(s job.Submission, w waiter, now time.Time) {
	if old := c.jobs[s.ID]; old != nil {
		old.waiters = append(old.waiters, w)
		c.cfg.Log.Log(event.JobAdmitted, "job", s.ID, "resent", true, "callers", len(old.waiters))
		return
	}
	if c.answerCopy(&s, w, now) {
		return
	}
	j := newActiveJob(s, now, w)
	c.joinGroups(j, now)
	c.admit(j, now)
	c.failIfGivenUp(j, now)
}

// newActiveJob returns an active job for s of which no task is ordered.
func newActiveJob(s job.Submission, now time.Time, waiters ...waiter) *activeJob {
	j := &activeJob{spec: s, arrived: now.Add(-s.Elapsed), waiters: waiters, activeAt: now}
	for si := range s.Steps {
		st := &j.spec.Steps[si]
		tasks := make([]*task, st.Count)
		for i := range tasks {
			id := job.TaskID{Job: s.ID, Step: si, Index: i}
			tasks[i] = &task{job: j, id: id, name: id.String(), step: st}
		}
		j.steps = append(j.steps, tasks)
		j.tasksLeft += st.Count
	}
	return j
}

// admit adds j to the jobs in progress.
func (c *Coordinator) admit(j *activeJob, now time.Time) {
	s := &j.spec
	endpoints, _ := c.snapshot(s.Queue.Service, now)
	typical := policy.MeanSlowness(endpoints)
	j.expectedRunTime = time.Duration(typical * float64(j.criticalPath()))
	if s.CallerTimeout > 0 {
		j.callerDeadline = j.arrived.Add(s.CallerTimeout)
	}
	priorWait := c.callerPriorWait(j)
	j.arrived = j.arrived.Add(-priorWait)
	j.objective = j.arrived.Add(s.Queue.Objective(j.expectedRunTime))
	c.jobs[s.ID] = j
	c.skipUsedRunNumbers(j)
	c.unblockTasks(j)
	c.enqueue(j)
	c.replan = true
	c.cfg.Metrics.admitted.Inc()
	c.cfg.Log.Log(event.JobAdmitted, "job", s.ID, "queue", s.Queue.Name, "tasks", j.tasksLeft,
		"objective_ms", j.objective.Sub(now).Milliseconds(), "patience_ms", s.CallerTimeout.Milliseconds(),
		"needs_ms", j.expectedRunTime.Milliseconds(), "stretch", s.Queue.Stretch, "target_ms", s.Queue.TargetLatency.Milliseconds(),
		"age_ms", priorWait.Milliseconds(), "typical_slowness", typical, "endpoints", len(endpoints), "waiting", len(c.queued))
}

// skipUsedRunNumbers makes the tasks of j begin after the numbers of their stopping runs, which
// their endpoints would reject.
func (c *Coordinator) skipUsedRunNumbers(j *activeJob) {
	if len(c.stopping) == 0 {
		return
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if s := c.stopping[t.name]; s != nil {
				t.runNumber = max(t.runNumber, s.task.runNumber)
			}
		}
	}
}

// criticalPath returns the declared run time of the longest chain of dependent steps.
func (j *activeJob) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	var longest time.Duration
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += max(st.Estimate, minDeclaredRunTime)
		longest = max(longest, ends[i])
	}
	return longest
}

// unblockTasks makes the tasks of the steps whose predecessors are done wait for capacity.
func (c *Coordinator) unblockTasks(j *activeJob) {
	for i, tasks := range j.steps {
		if !j.predecessorsDone(i) {
			continue
		}
		for _, t := range tasks {
			if t.state == taskBlocked {
				t.state = taskWaiting
			}
		}
	}
}

func (j *activeJob) predecessorsDone(step int) bool {
	for _, a := range j.spec.Steps[step].After {
		for _, t := range j.steps[a] {
			if t.state != taskDone {
				return false
			}
		}
	}
	return true
}

// enqueue adds j to the queued jobs.
func (c *Coordinator) enqueue(j *activeJob) {
	if !j.queued {
		j.queued = true
		c.queued = append(c.queued, j)
	}
	c.replan = true
}

// refuse answers a job of which no task was ordered with an error. inputs are key-value pairs
// for the log: the values on which the decision is based.
func (c *Coordinator) refuse(j *activeJob, err *errkind.Error, inputs ...any) {
	c.cfg.Metrics.refused.WithLabelValues(string(err.Kind)).Inc()
	c.countRefused(j, err.Kind, time.Now())
	c.cfg.Log.Log(event.JobRefused, append([]any{"job", j.spec.ID, "queue", j.spec.Queue.Name, "kind", err.Kind,
		"why", err.Detail, "waited_ms", time.Since(j.arrived).Milliseconds(), "waiting", len(c.queued)}, inputs...)...)
	c.remove(j)
	j.answer(outcome{err: err})
}

// remove removes j and stops its runs.
func (c *Coordinator) remove(j *activeJob) {
	delete(c.jobs, j.spec.ID)
	c.startedJobs.Delete(j.spec.ID)
	c.stopRuns(j)
	j.tasksLeft = 0
	c.replan = true
}

// stopRuns stops all runs of j and detaches their tasks.
func (c *Coordinator) stopRuns(j *activeJob) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.agent != nil {
				c.stopping[t.name] = &stoppingRun{task: t, agent: t.agent}
				c.stopRun(t)
				c.detach(t)
			}
		}
	}
}

// stoppingRun is the run of a removed job that was asked to stop and has not ended as far as is
// known. A caller may submit the job again at once; the task must not run elsewhere until then.
type stoppingRun struct {
	task  *task
	agent *agent
}

// hasStoppingRun reports whether a run of an earlier copy of j may not have ended. Another entry that gets
// the job would run the task at the same time.
func (c *Coordinator) hasStoppingRun(j *activeJob) bool {
	if len(c.stopping) == 0 || j.started {
		return false
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if c.stopping[t.name] != nil {
				return true
			}
		}
	}
	return false
}

// runStopped handles a report of a run that no task waits for.
func (c *Coordinator) runStopped(a *agent, r wire.Report) {
	s := c.stopping[r.Run.Task]
	if s == nil || s.agent != a || s.task.runNumber != r.Run.Number || r.State == wire.RunStarted || r.State == wire.RunSlow {
		return
	}
	delete(c.stopping, r.Run.Task)
	c.replan = true
}

// forgetStoppingRuns removes the stopping runs at an agent, which must have ended.
func (c *Coordinator) forgetStoppingRuns(a *agent) {
	for name, s := range c.stopping {
		if s.agent == a {
			delete(c.stopping, name)
			c.replan = true
		}
	}
}

// finish removes j and answers it with the given outcome.
func (c *Coordinator) finish(j *activeJob, o outcome, now time.Time) {
	c.remove(j)
	inTime := !now.After(j.objective)
	kind := errkind.Kind("")
	if o.err != nil {
		kind = o.err.Kind
	}
	c.cfg.Metrics.observeJobEnd(j.spec.Queue.Name, o, now.Sub(j.arrived), inTime)
	c.cfg.Log.Log(event.JobEnded, "job", j.spec.ID, "queue", j.spec.Queue.Name, "state", o.state, "kind", kind,
		"took_ms", now.Sub(j.arrived).Milliseconds(), "objective_ms", j.objective.Sub(j.arrived).Milliseconds(),
		"in_time", inTime, "moves", j.moves)
	j.answer(o)
}

// abandon removes the waiter of a caller that disconnected, and stops the job if it was the
// last one.
func (c *Coordinator) abandon(id string, answer chan outcome) {
	j := c.jobs[id]
	if j == nil || !j.removeWaiter(answer) {
		return
	}
	c.cfg.Metrics.abandoned.Inc()
	c.cfg.Log.Log(event.JobAbandoned, "job", id, "waited_ms", time.Since(j.arrived).Milliseconds(), "left", j.tasksLeft)
	c.remove(j)
}

// checkJobs reports the progress of stored jobs, ends jobs whose caller's deadline has passed,
// and triggers a placement pass where a refusal may be due.
func (c *Coordinator) checkJobs(now time.Time) {
	for _, j := range c.jobs {
		c.reportProgress(j, now)
		if j.stored != nil && j.queued {
			c.replan = true // the hold of a task may have expired
		}
		switch {
		case j.stored != nil:
		case !j.callerDeadline.IsZero() && now.After(j.callerDeadline):
			if j.started {
				c.finish(j, outcome{err: errkind.New(errkind.DeadlinePassed, "the job did not end before the caller's deadline")}, now)
			} else {
				c.observeOutcome(j, false, now)
				c.refuse(j, errkind.New(errkind.DeadlineUnmet, "the job could not be placed before the caller's deadline"))
			}
		case j.queued && (!j.started || c.shares != nil || c.cfg.Policy.Uses(policy.SpeedMatch)):
			c.replan = true // placement refuses jobs that have waited too long, and places tasks whose wait has ended
		}
	}
}

// handleDone handles the success of the run of t.
func (c *Coordinator) handleDone(t *task, now time.Time) {
	a, number := t.agent, t.runNumber
	a.trialSuccesses++
	c.observeRunTime(t, now)
	c.detach(t)
	c.completeTask(t, a.name, number, now)
}

// completeTask marks t as done by the given run.
func (c *Coordinator) completeTask(t *task, agentName string, number uint32, now time.Time) {
	j := t.job
	t.state = taskDone
	j.tasksLeft--
	j.activeAt = now
	if j.stored != nil {
		j.stored.progress.MarkDone(t.id.Step, t.id.Index)
		j.addRunEnd(t, agentName, number, false)
	}
	switch {
	case j.tasksLeft == 0 && j.stored != nil:
		c.finishStored(j, job.Completed)
		return
	case j.tasksLeft == 0:
		c.finish(j, outcome{state: job.Completed}, now)
		return
	}
	c.unblockTasks(j)
	c.enqueue(j)
}

// handleFailed handles the failure of the run of t. For ephemeral jobs, failures on endpoints
// that fail most of their runs are not counted, since they say nothing about the task.
func (c *Coordinator) handleFailed(t *task, now time.Time) {
	a := t.agent
	a.trialSuccesses = 0
	t.failures++
	switch {
	case t.job.stored != nil:
		c.countFailure(t, a.name, t.runNumber)
	case c.cfg.Policy.CountsAsTaskFailure(a.failedShare()):
		t.countedFailures++
	}
	attempts := max(t.job.spec.Queue.Attempts, 1)
	if t.job.stored != nil && t.isExhausted() {
		c.detach(t)
		t.state = taskWaiting
		c.finishStored(t.job, job.Failed)
		return
	}
	if t.job.stored == nil && (t.countedFailures >= attempts || t.failures >= attempts+extraUncountedFailures) {
		c.finish(t.job, outcome{state: job.Failed}, now)
		return
	}
	t.avoid = append(t.avoid, a)
	c.requeue(t, "failed")
}

// requeue makes t wait for another run.
func (c *Coordinator) requeue(t *task, why string) {
	c.cfg.Metrics.repeated.WithLabelValues(why).Inc()
	c.cfg.Log.Log(event.TaskRetried, "task", t.name, "run", t.runNumber, "why", why, "failures", t.failures,
		"agent", t.agent.name)
	c.detach(t)
	t.state = taskWaiting
	c.enqueue(t.job)
}

// detach removes t from its agent.
func (c *Coordinator) detach(t *task) {
	if t.agent == nil {
		return
	}
	delete(t.agent.tasks, t.name)
	t.agent = nil
	c.replan = true
}

func (t *task) runID() wire.Run { return wire.Run{Task: t.name, Number: t.runNumber} }
