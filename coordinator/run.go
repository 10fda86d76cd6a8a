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

// extraFailures is the number of failures beyond the queue's attempts that a task
// may meet on endpoints that fail everything, before its job is given up.
const extraFailures = 6

// oldRunStep is added to the run number when the endpoint has seen a higher one,
// which another entry has used for the same job.
const oldRunStep = 16

// run is a job in progress.
type run struct {
	spec      job.Submission
	arrived   time.Time
	objective time.Time
	giveUp    time.Time // when the caller stops waiting
	needs     time.Duration
	steps     [][]*task
	left      int // tasks that are not done
	started   bool
	callers   []caller   // of an ephemeral job
	queued    bool       // in Coordinator.waiting
	stored    *storedRun // nil for an ephemeral job
	moves     int
}

// task is one task of a run.
type task struct {
	job      *run
	id       job.TaskID
	name     string
	step     *job.Step
	state    taskState
	number   uint32 // of the newest run
	agent    *agent
	sequence uint64 // of the order on the agent's connection
	ordered  time.Time
	expected time.Duration // time from the order to its end
	failures int
	counted  int      // failures that count against the queue's attempts
	avoid    []*agent // where it has failed or was slow
	// held is until when a stored task waits for news of its last run, whose agent
	// was lost and may keep its end.
	held time.Time
	// failedRuns holds the runs of a stored task whose failure is counted.
	failedRuns map[uint32]bool
}

// minRunTime is the expected run time of a task without a declared one.
const minRunTime = 50 * time.Millisecond

func (c *Coordinator) submit(s job.Submission, w caller, now time.Time) {
	if old := c.jobs[s.ID]; old != nil {
		old.callers = append(old.callers, w)
		c.cfg.Log.Log(event.JobAdmitted, "job", s.ID, "resent", true, "callers", len(old.callers))
		return
	}
	c.admit(newRun(s, now, w), now)
}

// newRun returns a run of s that has not begun.
func newRun(s job.Submission, now time.Time, callers ...caller) *run {
	j := &run{spec: s, arrived: now.Add(-s.Elapsed), callers: callers}
	for si := range s.Steps {
		st := &j.spec.Steps[si]
		tasks := make([]*task, st.Count)
		for i := range tasks {
			id := job.TaskID{Job: s.ID, Step: si, Index: i}
			tasks[i] = &task{job: j, id: id, name: id.String(), step: st}
		}
		j.steps = append(j.steps, tasks)
		j.left += st.Count
	}
	return j
}

// admit takes j among the jobs in progress.
func (c *Coordinator) admit(j *run, now time.Time) {
	s := &j.spec
	endpoints, _ := c.snapshot(&s.Queue, now)
	typical := policy.MeanSlowness(endpoints)
	j.needs = time.Duration(typical * float64(j.chain()))
	if s.Patience > 0 {
		j.giveUp = j.arrived.Add(s.Patience)
	}
	age := c.callerAge(j)
	j.arrived = j.arrived.Add(-age)
	j.objective = j.arrived.Add(s.Queue.Objective(j.needs))
	c.jobs[s.ID] = j
	c.release(j)
	c.enqueue(j)
	c.replan = true
	c.cfg.Metrics.admitted.Inc()
	c.cfg.Log.Log(event.JobAdmitted, "job", s.ID, "queue", s.Queue.Name, "tasks", j.left,
		"objective_ms", j.objective.Sub(now).Milliseconds(), "patience_ms", s.Patience.Milliseconds(),
		"needs_ms", j.needs.Milliseconds(), "stretch", s.Queue.Stretch, "target_ms", s.Queue.TargetLatency.Milliseconds(),
		"age_ms", age.Milliseconds(), "typical_slowness", typical, "endpoints", len(endpoints), "waiting", len(c.waiting))
}

// chain returns the longest chain of declared run times.
func (j *run) chain() time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	var longest time.Duration
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		for _, a := range st.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += max(st.Estimate, minRunTime)
		longest = max(longest, ends[i])
	}
	return longest
}

// release makes the tasks of steps whose predecessors are done wait for room.
func (c *Coordinator) release(j *run) {
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

func (j *run) predecessorsDone(step int) bool {
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
func (c *Coordinator) enqueue(j *run) {
	if !j.queued {
		j.queued = true
		c.waiting = append(c.waiting, j)
	}
	c.replan = true
}

// refuse answers a job none of whose tasks was started. inputs are key-value pairs for the
// log: what decided it.
func (c *Coordinator) refuse(j *run, err *errkind.Error, inputs ...any) {
	c.cfg.Metrics.refused.WithLabelValues(string(err.Kind)).Inc()
	c.cfg.Log.Log(event.JobRefused, append([]any{"job", j.spec.ID, "queue", j.spec.Queue.Name, "kind", err.Kind,
		"why", err.Detail, "waited_ms", time.Since(j.arrived).Milliseconds(), "waiting", len(c.waiting)}, inputs...)...)
	c.forget(j)
	j.answer(outcome{err: err})
}

// forget removes j; its runs are stopped.
func (c *Coordinator) forget(j *run) {
	delete(c.jobs, j.spec.ID)
	c.startedJobs.Delete(j.spec.ID)
	c.stopRuns(j)
	j.left = 0
	c.replan = true
}

// stopRuns stops the runs of j.
func (c *Coordinator) stopRuns(j *run) {
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if t.agent != nil {
				c.stopRun(t)
				c.detach(t)
			}
		}
	}
}

// end answers j.
func (c *Coordinator) end(j *run, o outcome, now time.Time) {
	c.forget(j)
	inTime := !now.After(j.objective)
	kind := errkind.Kind("")
	if o.err != nil {
		kind = o.err.Kind
	}
	c.cfg.Metrics.ended(o, now.Sub(j.arrived), inTime)
	c.cfg.Log.Log(event.JobEnded, "job", j.spec.ID, "queue", j.spec.Queue.Name, "state", o.state, "kind", kind,
		"took_ms", now.Sub(j.arrived).Milliseconds(), "objective_ms", j.objective.Sub(j.arrived).Milliseconds(),
		"in_time", inTime, "moves", j.moves)
	j.answer(o)
}

// abandon stops a job whose caller has gone.
func (c *Coordinator) abandon(id string, answer chan outcome) {
	j := c.jobs[id]
	if j == nil || !j.leave(answer) {
		return
	}
	c.cfg.Metrics.abandoned.Inc()
	c.cfg.Log.Log(event.JobAbandoned, "job", id, "waited_ms", time.Since(j.arrived).Milliseconds(), "left", j.left)
	c.forget(j)
}

// checkJobs refuses jobs that have waited too long and gives up those whose
// caller has stopped waiting.
func (c *Coordinator) checkJobs(now time.Time) {
	for _, j := range c.jobs {
		c.recordProgress(j, now)
		if j.stored != nil && j.queued {
			c.replan = true // tasks that are held become free with time
		}
		switch {
		case j.stored != nil:
		case !j.giveUp.IsZero() && now.After(j.giveUp):
			if j.started {
				c.end(j, outcome{err: errkind.New(errkind.DeadlinePassed, "the job did not end within the caller's deadline")}, now)
			} else {
				c.refuse(j, errkind.New(errkind.DeadlineUnmet, "no room was found before the caller's deadline"))
			}
		case j.queued && !j.started:
			c.replan = true // which refuses jobs that have waited too long
		}
	}
}

func (c *Coordinator) candidate(j *run) *policy.QueuedJob {
	return &policy.QueuedJob{
		Priority: j.spec.Queue.Priority, Arrived: j.arrived, Objective: j.objective,
		ExpectedRunTime: j.needs, Started: j.started || j.stored != nil,
	}
}

// done takes note that t has ended well.
func (c *Coordinator) done(t *task, now time.Time) {
	a, number := t.agent, t.number
	a.passed++
	c.detach(t)
	c.finishTask(t, a.name, number, now)
}

// finishTask takes note that t is done by the given run.
func (c *Coordinator) finishTask(t *task, agentName string, number uint32, now time.Time) {
	j := t.job
	t.state = taskDone
	j.left--
	if j.stored != nil {
		j.stored.progress.MarkDone(t.id.Step, t.id.Index)
		j.recordEnd(t, agentName, number, 0)
	}
	switch {
	case j.left == 0 && j.stored != nil:
		c.endStored(j, job.Completed)
		return
	case j.left == 0:
		c.end(j, outcome{state: job.Completed}, now)
		return
	}
	c.release(j)
	c.enqueue(j)
}

// failed takes note that a run of t has failed. Failures on endpoints that fail
// most of what they run say nothing about the task.
func (c *Coordinator) failed(t *task, now time.Time) {
	a := t.agent
	a.passed = 0
	t.failures++
	switch {
	case t.job.stored != nil:
		c.countFailure(t, a.name, t.number)
	case c.cfg.Policy.CountsAsTaskFailure(a.failedShare()):
		t.counted++
	}
	attempts := max(t.job.spec.Queue.Attempts, 1)
	if t.job.stored != nil && t.counted >= attempts {
		c.detach(t)
		t.state = taskWaiting
		c.endStored(t.job, job.Failed)
		return
	}
	if t.job.stored == nil && (t.counted >= attempts || t.failures >= attempts+extraFailures) {
		c.end(t.job, outcome{state: job.Failed}, now)
		return
	}
	t.avoid = append(t.avoid, a)
	c.again(t, "failed")
}

// again makes t wait for another run.
func (c *Coordinator) again(t *task, why string) {
	c.cfg.Metrics.repeated.WithLabelValues(why).Inc()
	c.cfg.Log.Log(event.TaskRetried, "task", t.name, "run", t.number, "why", why, "failures", t.failures,
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

func (t *task) runID() wire.Run { return wire.Run{Task: t.name, Number: t.number} }
