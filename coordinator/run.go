package coordinator

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// taskState is the state of a task of a running job.
type taskState uint8

const (
	taskBlocked taskState = iota // an earlier step is not done
	taskWaiting
	taskOrdered
	taskRunning
	taskStopping // stopped here, to be run elsewhere
	taskDone
)

// extraUncountedFailures is the number of failures beyond the queue's attempts that a task
// may meet on endpoints that fail everything, before its job is given up.
const extraUncountedFailures = 6

// runNumberSkip is added to the run number when the endpoint has seen a higher one,
// which another entry has used for the same job.
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
	waiters         []waiter     // of an ephemeral job
	queued          bool         // in Coordinator.waiting
	stored          *storedState // nil for an ephemeral job
	moves           int
}

// task is one task of a run.
type task struct {
	job             *activeJob
	id              job.TaskID
	name            string
	step            *job.Step
	state           taskState
	runNumber       uint32 // of the newest run
	agent           *agent
	orderSequence   uint64 // of the order on the agent's connection
	orderedAt       time.Time
	expectedRunTime time.Duration // time from the order to its end
	failures        int
	countedFailures int      // failures that count against the queue's attempts
	avoid           []*agent // where it has failed or was slow
	// holdUntil is until when a stored task waits for news of its last run, whose agent
	// was lost and may keep its end.
	holdUntil time.Time
	// failedRuns holds the runs of a stored task whose failure is counted.
	failedRuns map[uint32]bool
}

// minDeclaredRunTime is the expected run time of a task without a declared one.
const minDeclaredRunTime = 50 * time.Millisecond

func (c *Coordinator) submit(s job.Submission, w waiter, now time.Time) {
	if old := c.jobs[s.ID]; old != nil {
		old.waiters = append(old.waiters, w)
		c.cfg.Log.Log(event.JobAdmitted, "job", s.ID, "resent", true, "callers", len(old.waiters))
		return
	}
	c.admit(newActiveJob(s, now, w), now)
}

// newActiveJob returns a run of s that has not begun.
func newActiveJob(s job.Submission, now time.Time, callers ...waiter) *activeJob {
	j := &activeJob{spec: s, arrived: now.Add(-s.Elapsed), waiters: callers}
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

// admit takes j among the jobs in progress.
func (c *Coordinator) admit(j *activeJob, now time.Time) {
	s := &j.spec
	endpoints, _ := c.snapshot(&s.Queue, now)
	typical := policy.MeanSlowness(endpoints)
	j.expectedRunTime = time.Duration(typical * float64(j.criticalPath()))
	if s.Patience > 0 {
		j.callerDeadline = j.arrived.Add(s.Patience)
	}
	age := c.callerPriorWait(j)
	j.arrived = j.arrived.Add(-age)
	j.objective = j.arrived.Add(s.Queue.Objective(j.expectedRunTime))
	c.jobs[s.ID] = j
	c.unblockTasks(j)
	c.enqueue(j)
	c.replan = true
	c.cfg.Metrics.admitted.Inc()
	c.cfg.Log.Log(event.JobAdmitted, "job", s.ID, "queue", s.Queue.Name, "tasks", j.tasksLeft,
		"objective_ms", j.objective.Sub(now).Milliseconds(), "patience_ms", s.Patience.Milliseconds(),
		"needs_ms", j.expectedRunTime.Milliseconds(), "stretch", s.Queue.Stretch, "target_ms", s.Queue.TargetLatency.Milliseconds(),
		"age_ms", age.Milliseconds(), "typical_slowness", typical, "endpoints", len(endpoints), "waiting", len(c.waiting))
}

// criticalPath returns the longest criticalPath of declared run times.
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

// unblockTasks makes the tasks of steps whose predecessors are done wait for room.
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

// enqueue puts j among the jobs that wait for room.
func (c *Coordinator) enqueue(j *activeJob) {
	if !j.queued {
		j.queued = true
		c.waiting = append(c.waiting, j)
	}
	c.replan = true
}

// refuse answers a job none of whose tasks was started. inputs are key-value pairs for the
// log: what decided it.
func (c *Coordinator) refuse(j *activeJob, err *errkind.Error, inputs ...any) {
	c.cfg.Metrics.refused.WithLabelValues(string(err.Kind)).Inc()
	c.cfg.Log.Log(event.JobRefused, append([]any{"job", j.spec.ID, "queue", j.spec.Queue.Name, "kind", err.Kind,
		"why", err.Detail, "waited_ms", time.Since(j.arrived).Milliseconds(), "waiting", len(c.waiting)}, inputs...)...)
	c.remove(j)
	j.answer(outcome{err: err})
}

// remove removes j; its runs are stopped.
func (c *Coordinator) remove(j *activeJob) {
	delete(c.jobs, j.spec.ID)
	c.startedJobs.Delete(j.spec.ID)
	c.stopRuns(j)
	j.tasksLeft = 0
	c.replan = true
}

// stopRuns stops the runs of j.
func (c *Coordinator) stopRuns(j *activeJob) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.agent != nil {
				c.stopRun(t)
				c.detach(t)
			}
		}
	}
}

// finish answers j.
func (c *Coordinator) finish(j *activeJob, o outcome, now time.Time) {
	c.remove(j)
	inTime := !now.After(j.objective)
	kind := errkind.Kind("")
	if o.err != nil {
		kind = o.err.Kind
	}
	c.cfg.Metrics.observeJobEnd(o, now.Sub(j.arrived), inTime)
	c.cfg.Log.Log(event.JobEnded, "job", j.spec.ID, "queue", j.spec.Queue.Name, "state", o.state, "kind", kind,
		"took_ms", now.Sub(j.arrived).Milliseconds(), "objective_ms", j.objective.Sub(j.arrived).Milliseconds(),
		"in_time", inTime, "moves", j.moves)
	j.answer(o)
}

// abandon stops a job whose caller has gone.
func (c *Coordinator) abandon(id string, answer chan outcome) {
	j := c.jobs[id]
	if j == nil || !j.removeWaiter(answer) {
		return
	}
	c.cfg.Metrics.abandoned.Inc()
	c.cfg.Log.Log(event.JobAbandoned, "job", id, "waited_ms", time.Since(j.arrived).Milliseconds(), "left", j.tasksLeft)
	c.remove(j)
}

// checkJobs refuses jobs that have waited too long and gives up those whose
// caller has stopped waiting.
func (c *Coordinator) checkJobs(now time.Time) {
	for _, j := range c.jobs {
		c.reportProgress(j, now)
		if j.stored != nil && j.queued {
			c.replan = true // tasks that are held become free with time
		}
		switch {
		case j.stored != nil:
		case !j.callerDeadline.IsZero() && now.After(j.callerDeadline):
			if j.started {
				c.finish(j, outcome{err: errkind.New(errkind.DeadlinePassed, "the job did not end within the caller's deadline")}, now)
			} else {
				c.refuse(j, errkind.New(errkind.DeadlineUnmet, "no room was found before the caller's deadline"))
			}
		case j.queued && !j.started:
			c.replan = true // which refuses jobs that have waited too long
		}
	}
}

func (c *Coordinator) queuedJob(j *activeJob) *policy.QueuedJob {
	return &policy.QueuedJob{
		Priority: j.spec.Queue.Priority, Arrived: j.arrived, Objective: j.objective,
		ExpectedRunTime: j.expectedRunTime, Started: j.started || j.stored != nil,
	}
}

// handleDone takes note that t has ended well.
func (c *Coordinator) handleDone(t *task, now time.Time) {
	a, number := t.agent, t.runNumber
	a.trialSuccesses++
	c.detach(t)
	c.completeTask(t, a.name, number, now)
}

// completeTask takes note that t is done by the given run.
func (c *Coordinator) completeTask(t *task, agentName string, number uint32, now time.Time) {
	j := t.job
	t.state = taskDone
	j.tasksLeft--
	if j.stored != nil {
		j.stored.progress.MarkDone(t.id.Step, t.id.Index)
		j.addRunEnd(t, agentName, number, 0)
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

// handleFailed takes note that a run of t has handleFailed. Failures on endpoints that fail
// most of what they run say nothing about the task.
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
	if t.job.stored != nil && t.countedFailures >= attempts {
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

// detach ends the relation between t and its agent.
func (c *Coordinator) detach(t *task) {
	if t.agent == nil {
		return
	}
	delete(t.agent.tasks, t.name)
	t.agent = nil
	c.replan = true
}

func (t *task) runID() wire.Run { return wire.Run{Task: t.name, Number: t.runNumber} }
