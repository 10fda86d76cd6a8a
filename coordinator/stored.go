package coordinator

import (
	"cmp"
	"slices"
	"time"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// Recorder records the progress of stored jobs. Its methods must not block.
type Recorder interface {
	// ReportProgress records the progress of a job, and later calls ProgressRecorded.
	ReportProgress(id string, p job.Progress)
	// HoldsLease reports whether this process still owns its stored jobs.
	HoldsLease() bool
	// RecordEnd records, for the owner of its job, that a run has completed its task. It reports
	// whether the record is being written.
	RecordEnd(agent string, run wire.Run) bool
	// JobFinished reports whether a job that this process would own has ended or is unknown. epoch
	// is that of the owner that ordered the runs.
	JobFinished(id string, epoch uint64) bool
}

// progressInterval is the time between two records of a job's progress. The end of a job is
// recorded immediately.
const progressInterval = 500 * time.Millisecond

// storedRetryHold is how long a stored task waits, after the runs of its lost agent must have
// ended, for the agent to return and report the end of its run. Running a completed task again
// is worse than running a task late.
const storedRetryHold = 2500 * time.Millisecond

// storedState is the additional state of an active stored job.
type storedState struct {
	progress    job.Progress
	dirty       bool
	reportedAt  time.Time
	unconfirmed []runEnd
}

// runEnd is the end of a run that its agent keeps until it is recorded.
type runEnd struct {
	agent string
	run   wire.Run
	task  *task
	// failed is set for a failure, and not for a completed task.
	failed bool
}

// recordedIn reports whether p includes the end.
func (e *runEnd) recordedIn(p job.Progress) bool {
	if e.failed {
		return p.HasFailure(e.task.name, e.run.Number)
	}
	return p.IsDone(e.task.id.Step, e.task.id.Index)
}

// SetRecorder sets the recorder of stored jobs. It must be called before Run.
func (c *Coordinator) SetRecorder(r Recorder) { c.recorder = r }

// The ledger calls the methods of ledger.Runner with its lock held, which functions on the loop wait for
// when they call c.recorder. Hence PostNonBlocking.

// Adopt runs a stored job from its recorded progress. epoch rises with each owner of the job.
func (c *Coordinator) Adopt(s job.Submission, p job.Progress, epoch uint64) {
	c.loop.PostNonBlocking(func() {
		if c.jobs[s.ID] != nil {
			return
		}
		j := newActiveJob(s, time.Now())
		j.stored = &storedState{progress: p}
		for si, tasks := range j.steps {
			for i, t := range tasks {
				t.runNumber = uint32(epoch * job.RunNumbersPerEpoch)
				t.adoptedNumber = t.runNumber
				t.countedFailures = p.Failures[t.name]
				t.failures = t.countedFailures
				if p.IsDone(si, i) {
					t.state = taskDone
					j.tasksLeft--
				}
			}
		}
		c.admit(j, time.Now())
		c.applyUnclaimedEnds(j, time.Now())
		if j.tasksLeft == 0 {
			c.finishStored(j, job.Completed)
			return
		}
		if j.hasExhaustedTask() {
			c.finishStored(j, job.Failed)
			return
		}
		c.adoptCrashes(j, time.Now())
		c.failIfGivenUp(j, time.Now())
	})
}

// StopJob stops a stored job that was cancelled or has another owner.
func (c *Coordinator) StopJob(id string) {
	c.loop.PostNonBlocking(func() {
		if j := c.jobs[id]; j != nil && j.stored != nil {
			c.cfg.Log.Log(event.JobAbandoned, "job", id, "stored", true, "left", j.tasksLeft)
			if j.stored.dirty && j.stored.progress.State == "" {
				c.recorder.ReportProgress(id, j.stored.progress.Clone()) // for the next owner
			}
			c.remove(j)
		}
	})
}

// Started reports whether a run of a stored job is known to have started.
func (c *Coordinator) Started(id string) bool {
	_, ok := c.startedJobs.Load(id)
	return ok
}

// ProgressRecorded confirms the ends that the recorded progress of a job includes to their
// agents, and removes the job if it has ended.
func (c *Coordinator) ProgressRecorded(id string, p job.Progress) {
	c.loop.PostNonBlocking(func() {
		j := c.jobs[id]
		if j == nil || j.stored == nil {
			return
		}
		kept := j.stored.unconfirmed[:0]
		for _, e := range j.stored.unconfirmed {
			if p.State != "" || e.recordedIn(p) {
				c.confirm(e.agent, e.run)
			} else {
				kept = append(kept, e)
			}
		}
		j.stored.unconfirmed = kept
		if p.State != "" {
			c.remove(j)
		}
	})
}

// confirm queues a message to an agent that the end of a run is recorded and need not be kept.
func (c *Coordinator) confirm(agentName string, run wire.Run) {
	if a := c.agents[agentName]; a != nil {
		a.pendingConfirms = append(a.pendingConfirms, run)
	}
}

// finishStored reports the end of a stored job to the recorder. Once it is recorded, callers
// see it and the ends of its runs are confirmed.
func (c *Coordinator) finishStored(j *activeJob, state job.State) {
	if j.stored.progress.State != "" {
		return
	}
	j.stored.progress.State = state
	c.stopRuns(j)
	j.tasksLeft = 0
	c.cfg.Log.Log(event.JobEnded, "job", j.spec.ID, "queue", j.spec.Queue.Name, "state", state, "stored", true,
		"took_ms", time.Since(j.arrived).Milliseconds())
	c.recorder.ReportProgress(j.spec.ID, j.stored.progress)
}

// addRunEnd adds the end of a stored run to those that wait to be recorded.
func (j *activeJob) addRunEnd(t *task, agentName string, number uint32, failed bool) {
	j.stored.dirty = true
	j.stored.unconfirmed = append(j.stored.unconfirmed, runEnd{
		agent: agentName, run: wire.Run{Task: t.name, Number: number}, task: t, failed: failed,
	})
}

// reportProgress reports the progress of a stored job, at most once in each progressInterval.
func (c *Coordinator) reportProgress(j *activeJob, now time.Time) {
	if s := j.stored; s != nil && s.dirty && s.progress.State == "" && now.Sub(s.reportedAt) > progressInterval {
		s.dirty, s.reportedAt = false, now
		c.recorder.ReportProgress(j.spec.ID, s.progress.Clone())
	}
}

// handleUnclaimedEnd handles the report of a run that no task waits for: the end of a stored
// run that a former owner of its job ordered.
func (c *Coordinator) handleUnclaimedEnd(a *agent, r wire.Report) {
	if r.State != wire.RunDone && r.State != wire.RunFailed {
		return
	}
	id, err := job.ParseTaskID(r.Run.Task)
	if err != nil || c.recorder == nil { // without a recorder no job is stored, and nobody else confirms the end
		c.confirm(a.name, r.Run)
		return
	}
	j := c.jobs[id.Job]
	switch {
	case j == nil && c.recorder.JobFinished(id.Job, uint64(r.Run.Number)/job.RunNumbersPerEpoch):
		c.confirm(a.name, r.Run)
		return
	case j == nil:
		// The job may be adopted later, and must not run this task again.
		c.keepUnclaimedEnd(id.Job, unclaimedEnd{agent: a.name, report: r}, time.Now())
		return
	case j.stored == nil:
		return
	}
	c.applyRunEnd(j, id, a.name, r)
}

// RunEnded handles the success of a run on the given agent, which another entry has recorded.
func (c *Coordinator) RunEnded(agentName string, run wire.Run) {
	c.loop.PostNonBlocking(func() {
		id, err := job.ParseTaskID(run.Task)
		if err != nil {
			return
		}
		report := wire.Report{Run: run, State: wire.RunDone}
		if j := c.jobs[id.Job]; j != nil && j.stored != nil {
			c.applyRunEnd(j, id, agentName, report)
		}
	})
}

// unclaimedEnd is the reported end of a run whose job is not known here.
type unclaimedEnd struct {
	agent         string
	report        wire.Report
	firstReported time.Time
	lastReported  time.Time
	// recorded is set once RecordEnd writes the end for the owner of its job.
	recorded bool
}

// unclaimedRecordAge is the age from which the end of a completed task is recorded for the
// owner of its job. By then the agent has reported it three times without a confirmation, so the
// owner may be cut off from the agent. It would run the task again 3.8 s after it lost the agent.
const unclaimedRecordAge = 1100 * time.Millisecond

// unclaimedEndTTL is how long the end of a run is kept, after its last report, for a job that may be
// adopted later. The agent may have failed since, and partitions can change owners several times in that
// time.
const unclaimedEndTTL = 20 * time.Second

// keepUnclaimedEnd stores an unclaimed end, or updates the stored one of the same run.
func (c *Coordinator) keepUnclaimedEnd(id string, e unclaimedEnd, now time.Time) {
	e.firstReported, e.lastReported = now, now
	for i := range c.unclaimedEnds[id] {
		known := &c.unclaimedEnds[id][i]
		if known.report.Run != e.report.Run {
			continue
		}
		known.agent, known.report, known.lastReported = e.agent, e.report, now
		if known.report.State == wire.RunDone && !known.recorded && now.Sub(known.firstReported) >= unclaimedRecordAge {
			known.recorded = c.recorder.RecordEnd(e.agent, e.report.Run)
		}
		return
	}
	c.unclaimedEnds[id] = append(c.unclaimedEnds[id], e)
}

// applyUnclaimedEnds applies the ends that were reported before j was adopted.
func (c *Coordinator) applyUnclaimedEnds(j *activeJob, now time.Time) {
	ends := c.unclaimedEnds[j.spec.ID]
	delete(c.unclaimedEnds, j.spec.ID)
	// A failure does not end the job of a task that is done.
	slices.SortStableFunc(ends, func(a, b unclaimedEnd) int { return cmp.Compare(a.report.State, b.report.State) })
	for _, e := range ends {
		id, err := job.ParseTaskID(e.report.Run.Task)
		if err == nil && now.Sub(e.lastReported) <= unclaimedEndTTL {
			c.applyRunEnd(j, id, e.agent, e.report) // even if the agent is unreachable now
		}
	}
}

// unclaimedCheckInterval is the interval at which expired unclaimed ends are removed.
const unclaimedCheckInterval = time.Second

// expireUnclaimedEnds removes the unclaimed ends that have expired.
func (c *Coordinator) expireUnclaimedEnds(now time.Time) {
	if now.Sub(c.unclaimedCheckedAt) < unclaimedCheckInterval {
		return
	}
	c.unclaimedCheckedAt = now
	for id, ends := range c.unclaimedEnds {
		ends = slices.DeleteFunc(ends, func(e unclaimedEnd) bool { return now.Sub(e.lastReported) > unclaimedEndTTL })
		if len(ends) == 0 {
			delete(c.unclaimedEnds, id)
		} else {
			c.unclaimedEnds[id] = ends
		}
	}
}

// applyRunEnd applies the end of a run that a former owner of j ordered.
func (c *Coordinator) applyRunEnd(j *activeJob, id job.TaskID, agentName string, r wire.Report) {
	t := j.task(id)
	if t == nil || j.stored.progress.State != "" || j.stored.hasUnconfirmed(agentName, r.Run) {
		return
	}
	if r.State == wire.RunFailed {
		c.countFailure(t, agentName, r.Run.Number)
		if t.isExhausted() {
			c.finishStored(j, job.Failed)
		}
		return
	}
	if t.state == taskDone {
		j.addRunEnd(t, agentName, r.Run.Number, false)
		return
	}
	if t.agent != nil {
		c.stopRun(t)
		c.detach(t)
	}
	c.completeTask(t, agentName, r.Run.Number, time.Now())
}

func (s *storedState) hasUnconfirmed(agentName string, run wire.Run) bool {
	for _, e := range s.unconfirmed {
		if e.run == run && e.agent == agentName {
			return true
		}
	}
	return false
}

// task returns the task with the given id, or nil.
func (j *activeJob) task(id job.TaskID) *task {
	if id.Step >= len(j.steps) || id.Index >= len(j.steps[id.Step]) || id.Occurrence != 0 {
		return nil
	}
	return j.steps[id.Step][id.Index]
}

// isExhausted reports whether a task has failed as often as its queue allows.
func (t *task) isExhausted() bool {
	return t.state != taskDone && t.countedFailures >= max(t.job.spec.Queue.Attempts, 1)
}

// hasExhaustedTask reports whether a task of j has failed as often as the queue allows.
func (j *activeJob) hasExhaustedTask() bool {
	for _, tasks := range j.steps {
		if slices.ContainsFunc(tasks, (*task).isExhausted) {
			return true
		}
	}
	return false
}

// countFailure counts a failed run of a stored task, once for each run. The reports of a failure that a
// former owner has recorded go on until an owner confirms it.
func (c *Coordinator) countFailure(t *task, agentName string, number uint32) {
	p := &t.job.stored.progress
	if p.HasFailure(t.name, number) {
		if !t.job.stored.hasUnconfirmed(agentName, wire.Run{Task: t.name, Number: number}) {
			c.confirm(agentName, wire.Run{Task: t.name, Number: number})
		}
		return
	}
	// An owner of an earlier version has counted runs without their numbers, which may include this one.
	if unnumbered := p.Failures[t.name] - len(p.FailedRuns[t.name]); unnumbered <= 0 || number > t.adoptedNumber {
		t.countedFailures++
	}
	p.AddFailure(t.name, number, t.countedFailures)
	t.job.addRunEnd(t, agentName, number, true)
}
