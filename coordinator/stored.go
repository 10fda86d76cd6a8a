package coordinator

import (
	"maps"
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
	// RecordEnd records that a run has done its task, for the owner of its job. It
	// reports whether that is under way.
	RecordEnd(agent string, run wire.Run) bool
	// JobFinished reports whether a job that this process would own has ended or is unknown.
	JobFinished(id string) bool
}

// progressInterval is the time between two records of a job's progress. Its end is
// recorded at once.
const progressInterval = 500 * time.Millisecond

// storedHold is how long a stored task waits, after the runs of its lost agent have
// surely ended, for the agent to return with the end of its run. A task that is run
// again after it was done is worse than one that is late.
const storedHold = 2500 * time.Millisecond

// runsPerEpoch separates the run numbers of one owner of a job from the next.
const runsPerEpoch = 1 << 6

// storedRun is what a run of a stored job has in addition.
type storedRun struct {
	progress job.Progress
	dirty    bool
	reported time.Time
	unnoted  []endedRun
}

// endedRun is a run whose end its agent keeps until it is recorded.
type endedRun struct {
	agent string
	run   wire.Run
	task  *task
	// failure is the number of the task's failure that this end is; 0 for a task that
	// was done.
	failure int
}

// recordedIn reports whether p includes the end.
func (e *endedRun) recordedIn(p job.Progress) bool {
	if e.failure > 0 {
		return p.Failures[e.task.name] >= e.failure
	}
	return p.IsDone(e.task.id.Step, e.task.id.Index)
}

// SetRecorder sets the recorder of stored jobs. It must be called before Run.
func (c *Coordinator) SetRecorder(r Recorder) { c.recorder = r }

// Adopt runs a stored job.
func (c *Coordinator) Adopt(s job.Submission, p job.Progress, epoch uint64) {
	c.loop.Post(func() {
		if c.jobs[s.ID] != nil {
			return
		}
		j := newRun(s, time.Now())
		j.stored = &storedRun{progress: p}
		for si, tasks := range j.steps {
			for i, t := range tasks {
				t.number = uint32(epoch * runsPerEpoch)
				t.counted = p.Failures[t.name]
				t.failures = t.counted
				if p.IsDone(si, i) {
					t.state = taskDone
					j.left--
				}
			}
		}
		c.admit(j, time.Now())
		c.takeStrays(j, time.Now())
		if j.left == 0 {
			c.endStored(j, job.Completed)
		}
	})
}

// StopJob stops a stored job that is cancelled or has another owner.
func (c *Coordinator) StopJob(id string) {
	c.loop.Post(func() {
		if j := c.jobs[id]; j != nil && j.stored != nil {
			c.cfg.Log.Log(event.JobAbandoned, "job", id, "stored", true, "left", j.left)
			if j.stored.dirty && j.stored.progress.State == "" {
				c.recorder.ReportProgress(id, j.stored.progress.Clone()) // for the next owner
			}
			c.forget(j)
		}
	})
}

// Started reports whether a task of a stored job has been ordered.
func (c *Coordinator) Started(id string) bool {
	_, ok := c.startedJobs.Load(id)
	return ok
}

// ProgressRecorded takes note that the progress of a job is recorded.
func (c *Coordinator) ProgressRecorded(id string, p job.Progress) {
	c.loop.Post(func() {
		j := c.jobs[id]
		if j == nil || j.stored == nil {
			return
		}
		kept := j.stored.unnoted[:0]
		for _, e := range j.stored.unnoted {
			if p.State != "" || e.recordedIn(p) {
				c.note(e.agent, e.run)
			} else {
				kept = append(kept, e)
			}
		}
		j.stored.unnoted = kept
		if p.State != "" {
			c.forget(j)
		}
	})
}

// note tells an agent that the end of a run need not be kept.
func (c *Coordinator) note(agentName string, run wire.Run) {
	if a := c.agents[agentName]; a != nil {
		a.notes = append(a.notes, run)
	}
}

// endStored reports the end of a stored job. It is shown to callers, and its runs
// are noted, when it is recorded.
func (c *Coordinator) endStored(j *run, state job.State) {
	if j.stored.progress.State != "" {
		return
	}
	j.stored.progress.State = state
	c.stopRuns(j)
	j.left = 0
	c.cfg.Log.Log(event.JobEnded, "job", j.spec.ID, "queue", j.spec.Queue.Name, "state", state, "stored", true,
		"took_ms", time.Since(j.arrived).Milliseconds())
	c.recorder.ReportProgress(j.spec.ID, j.stored.progress)
}

// recordEnd takes note of an end of a stored run; failure is its number among the
// failures of the task, 0 for a task that was done.
func (j *run) recordEnd(t *task, agentName string, number uint32, failure int) {
	j.stored.dirty = true
	j.stored.unnoted = append(j.stored.unnoted, endedRun{
		agent: agentName, run: wire.Run{Task: t.name, Number: number}, task: t, failure: failure,
	})
}

// recordProgress reports the progress of stored jobs from time to time.
func (c *Coordinator) recordProgress(j *run, now time.Time) {
	if s := j.stored; s != nil && s.dirty && s.progress.State == "" && now.Sub(s.reported) > progressInterval {
		s.dirty, s.reported = false, now
		c.recorder.ReportProgress(j.spec.ID, s.progress.Clone())
	}
}

// strayReport takes the report of a run that no task waits for: the end of a stored
// run that a former owner of its job ordered.
func (c *Coordinator) strayReport(a *agent, r wire.Report) {
	if c.recorder == nil || r.State != wire.RunDone && r.State != wire.RunFailed {
		return
	}
	id, err := job.ParseTaskID(r.Run.Task)
	if err != nil {
		c.note(a.name, r.Run)
		return
	}
	j := c.jobs[id.Job]
	switch {
	case j == nil && c.recorder.JobFinished(id.Job):
		c.note(a.name, r.Run)
		return
	case j == nil:
		// The job may be adopted later, and must not run this task again then.
		c.keepStray(id.Job, stray{agent: a.name, report: r}, time.Now())
		return
	case j.stored == nil:
		return
	}
	c.takeStray(j, id, a.name, r)
}

// Ended takes note that a run on the given agent has done its task, as another entry
// has recorded.
func (c *Coordinator) RunEnded(agentName string, run wire.Run) {
	c.loop.Post(func() {
		id, err := job.ParseTaskID(run.Task)
		if err != nil {
			return
		}
		report := wire.Report{Run: run, State: wire.RunDone}
		if j := c.jobs[id.Job]; j != nil && j.stored != nil {
			c.takeStray(j, id, agentName, report)
		}
	})
}

// stray is the report of an end whose job is not known here.
type stray struct {
	agent  string
	report wire.Report
	first  time.Time // when it was first reported
	at     time.Time // when it was last reported
	// recorded is set when it is recorded for the owner of its job.
	recorded bool
}

// recordAge is the age from which the end of a task that is done is recorded for the
// owner of its job, which may be cut off from the agent: it has not noted the end in
// three of the agent's reports, and would run the task again 3.8 s after it lost the agent.
const recordAge = 1100 * time.Millisecond

const (
	// doneMemory is how long an end of a task that is done is remembered for a job that
	// may be adopted later. Agents keep such an end for 15 s at most, and partitions can
	// change hands several times meanwhile.
	doneMemory = 20 * time.Second
	// failedMemory is the same for a failure. The owner before may have counted it, and
	// agents repeat every 400 ms those that nobody has counted.
	failedMemory = 600 * time.Millisecond
)

func (s *stray) memory() time.Duration {
	if s.report.State == wire.RunDone {
		return doneMemory
	}
	return failedMemory
}

// keepStray remembers a stray, or renews the memory of it.
func (c *Coordinator) keepStray(id string, s stray, now time.Time) {
	s.first, s.at = now, now
	for i := range c.strays[id] {
		known := &c.strays[id][i]
		if known.report.Run != s.report.Run {
			continue
		}
		known.agent, known.report, known.at = s.agent, s.report, now
		if known.report.State == wire.RunDone && !known.recorded && now.Sub(known.first) >= recordAge {
			known.recorded = c.recorder.RecordEnd(s.agent, s.report.Run)
		}
		return
	}
	c.strays[id] = append(c.strays[id], s)
}

// takeStrays applies the ends that were reported before j was adopted.
func (c *Coordinator) takeStrays(j *run, now time.Time) {
	strays := c.strays[j.spec.ID]
	delete(c.strays, j.spec.ID)
	for _, s := range strays {
		id, err := job.ParseTaskID(s.report.Run.Task)
		if err == nil && now.Sub(s.at) <= s.memory() {
			c.takeStray(j, id, s.agent, s.report) // also if the agent is out of reach now
		}
	}
}

// strayCheckInterval is the time between two searches for strays that are too old.
const strayCheckInterval = time.Second

// forgetStrays drops strays that are too old.
func (c *Coordinator) forgetStrays(now time.Time) {
	if now.Sub(c.strayCheck) < strayCheckInterval {
		return
	}
	c.strayCheck = now
	for id, strays := range c.strays {
		strays = slices.DeleteFunc(strays, func(s stray) bool { return now.Sub(s.at) > s.memory() })
		if len(strays) == 0 {
			delete(c.strays, id)
		} else {
			c.strays[id] = strays
		}
	}
}

// takeStray applies the end of a run that a former owner of j ordered.
func (c *Coordinator) takeStray(j *run, id job.TaskID, agentName string, r wire.Report) {
	t := j.task(id)
	if t == nil || j.stored.progress.State != "" || j.stored.knows(agentName, r.Run) {
		return
	}
	if r.State == wire.RunFailed {
		c.countFailure(t, agentName, r.Run.Number)
		return
	}
	if t.state == taskDone {
		j.recordEnd(t, agentName, r.Run.Number, 0)
		return
	}
	if t.agent != nil {
		c.stopRun(t)
		c.detach(t)
	}
	c.finishTask(t, agentName, r.Run.Number, time.Now())
}

func (s *storedRun) knows(agentName string, run wire.Run) bool {
	for _, e := range s.unnoted {
		if e.run == run && e.agent == agentName {
			return true
		}
	}
	return false
}

// task returns the task with the given id, or nil.
func (j *run) task(id job.TaskID) *task {
	if id.Step >= len(j.steps) || id.Index >= len(j.steps[id.Step]) || id.Occurrence != 0 {
		return nil
	}
	return j.steps[id.Step][id.Index]
}

// countFailure records a failed run of a stored task.
func (c *Coordinator) countFailure(t *task, agentName string, number uint32) {
	j := t.job
	if t.failedRuns[number] {
		return // reported again
	}
	if t.failedRuns == nil {
		t.failedRuns = make(map[uint32]bool)
	}
	t.failedRuns[number] = true
	if j.stored.progress.Failures == nil {
		j.stored.progress.Failures = make(map[string]int)
	}
	t.counted++
	j.stored.progress.Failures = maps.Clone(j.stored.progress.Failures)
	j.stored.progress.Failures[t.name] = t.counted
	j.recordEnd(t, agentName, number, t.counted)
}
