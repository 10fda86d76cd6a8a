package coordinator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// handleCrashes adds the crashes that an agent reports to the history, and gives up the tasks that
// caused them.
func (c *Coordinator) handleCrashes(a *agent, crashes []wire.Crash, now time.Time) {
	for i := range crashes {
		w := &crashes[i]
		if c.crashes.known(a.name, w) {
			continue
		}
		crash := &endpointCrash{
			agent: a.name, instance: w.Instance, startMillis: w.StartMillis, number: w.Number, at: now.Add(-time.Duration(w.AgeMillis) * time.Millisecond),
			tasks: make(map[string]bool),
		}
		for _, r := range w.Runs {
			crash.tasks[r.Run.Task] = true
		}
		c.crashes.add(crash)
		c.cfg.Metrics.crashes.Inc()
		c.cfg.Log.Log(event.CrashReported, "agent", a.name, "instance", w.Instance, "born", w.StartMillis, "runs", len(w.Runs),
			"age_ms", w.AgeMillis, "widespread", crash.widespread)
		c.recordConfinedCrash(w)
		var tasks []string
		for _, r := range w.Runs {
			if c.addTaskCrash(r, a, crash, now) {
				tasks = append(tasks, r.Run.Task)
			}
		}
		if c.mayGiveUp(tasks) {
			c.holdForVerdict(tasks, now)
		} else {
			c.judgeTasks(tasks, now)
		}
	}
}

// pendingVerdict holds the tasks of a crash that are judged once reports of other crashes at the same
// moment must have arrived.
type pendingVerdict struct {
	tasks []string
	at    time.Time
}

// mayGiveUp reports whether one of the tasks would be given up now.
func (c *Coordinator) mayGiveUp(tasks []string) bool {
	return slices.ContainsFunc(tasks, func(name string) bool {
		return c.cfg.Policy.JudgeTask(c.crashes.tasks[name].policyCrashes()) != policy.Suspected
	})
}

// holdForVerdict delays the judgement of the tasks, and their next runs until then.
func (c *Coordinator) holdForVerdict(tasks []string, now time.Time) {
	v := pendingVerdict{tasks, now.Add(widespreadPeriod)}
	c.crashes.pending = append(c.crashes.pending, v)
	c.hold(v)
}

func (c *Coordinator) hold(v pendingVerdict) {
	for _, name := range v.tasks {
		if t := c.taskNamed(name); t != nil && t.holdUntil.Before(v.at) {
			t.holdUntil = v.at
		}
	}
}

// judgePending judges the tasks whose time has come.
func (c *Coordinator) judgePending(now time.Time) {
	for len(c.crashes.pending) > 0 && !now.Before(c.crashes.pending[0].at) {
		v := c.crashes.pending[0]
		c.crashes.pending, c.replan = c.crashes.pending[1:], true
		c.judgeTasks(slices.DeleteFunc(v.tasks, func(name string) bool { return c.crashes.tasks[name] == nil }), now)
	}
}

// taskNamed returns the task of a job that is in progress here, or nil.
func (c *Coordinator) taskNamed(name string) *task {
	id, err := job.ParseTaskID(name)
	if err != nil || c.jobs[id.Job] == nil {
		return nil
	}
	return c.jobs[id.Job].task(id)
}

// addTaskCrash adds a crash during a run to the history of its task, and to the progress of a
// stored job. It returns false for a run that is known or malformed.
func (c *Coordinator) addTaskCrash(r wire.CrashedRun, a *agent, crash *endpointCrash, now time.Time) bool {
	id, err := job.ParseTaskID(r.Run.Task)
	if err != nil {
		c.cfg.Log.Log(event.RecordIgnored, "read", "crash", "task", r.Run.Task, "error", err)
		return false
	}
	service := ""
	if a.profile != nil {
		service = a.profile.Service
	}
	t := c.crashes.ofTask(r.Run.Task, id.Job, r.Queue, service)
	t.lastAt = crash.at
	if j := c.jobs[id.Job]; len(t.runs) == 0 && j != nil && j.stored != nil {
		for _, r := range j.stored.progress.Crashes[r.Run.Task] { // the history has expired
			t.add(crashedRun{CrashedRun: r})
		}
	}
	run := job.CrashedRun{Agent: a.name, Number: r.Run.Number, ElapsedMillis: r.ElapsedMillis, Unanswered: r.Unanswered}
	f := c.confined[r.Queue]
	cleared := f != nil && f.active && time.Duration(r.ElapsedMillis)*time.Millisecond > policy.ClearedAfter(f.crashDelay)
	if !t.add(crashedRun{CrashedRun: run, crash: crash, cleared: cleared}) {
		return false
	}
	c.recordTaskCrash(id.Job, r.Run.Task, run, now)
	return true
}

// recordTaskCrash records a crash at once in the progress of a stored job that is in progress here.
func (c *Coordinator) recordTaskCrash(id, task string, run job.CrashedRun, now time.Time) {
	j := c.jobs[id]
	if j == nil || j.stored == nil || j.stored.progress.State != "" {
		return
	}
	j.stored.progress.SetCrash(task, run)
	j.stored.dirty, j.stored.reportedAt = false, now
	c.recorder.ReportProgress(id, j.stored.progress.Clone())
}

// judgeTasks gives up those of the tasks that were at an endpoint when it crashed that count as
// the cause, and ends their jobs.
func (c *Coordinator) judgeTasks(names []string, now time.Time) {
	probable, suspected := make(map[string][]string), make(map[string][]string) // tasks by job
	known := false                                                              // the cause of the crash
	for _, name := range names {
		t := c.crashes.tasks[name]
		if t.isSuspicious() {
			suspected[t.job] = append(suspected[t.job], name)
		}
		switch c.cfg.Policy.JudgeTask(t.policyCrashes()) {
		case policy.Guilty:
			known = true
			c.giveUp(name, t, now)
		case policy.ProbablyGuilty:
			if t.identified {
				known = true
				c.giveUp(name, t, now)
				continue
			}
			probable[t.job] = append(probable[t.job], name)
		}
	}
	if len(suspected) == 1 {
		for _, names := range suspected {
			for _, name := range names {
				c.identify(name, now)
			}
		}
	}
	if known || len(probable) != 1 {
		return // one task caused the crash; of several, it cannot be told which
	}
	for _, names := range probable {
		c.giveUp(names[0], c.crashes.tasks[names[0]], now)
	}
}

// identify records that only the job of a task can have caused the latest crash under it.
func (c *Coordinator) identify(name string, now time.Time) {
	t := c.crashes.tasks[name]
	run := &t.runs[len(t.runs)-1]
	t.identified, run.Alone = true, true
	c.recordTaskCrash(t.job, name, run.CrashedRun, now)
	if task := c.taskNamed(name); task != nil {
		c.holdIdentified(task, now)
	}
}

// giveUp gives up a task and ends its job if it is in progress here.
func (c *Coordinator) giveUp(name string, t *taskCrashes, now time.Time) {
	if !t.givenUp {
		t.givenUp = true
		c.cfg.Metrics.givenUp.Inc()
		c.cfg.Log.Log(event.TaskGivenUp, "task", name, "queue", t.queue, "crashes", len(t.runs),
			"elapsed_ms", fmt.Sprint(t.elapsedMillis()))
		for _, r := range t.runs {
			if r.crash != nil && r.crash.culprit == "" {
				r.crash.culprit = t.job
			}
		}
		c.addCrashingJob(t, now)
	}
	if j := c.jobs[t.job]; j != nil {
		c.failGivenUpJob(j, name, now)
	}
}

// failGivenUpJob ends a job of which a task was given up.
func (c *Coordinator) failGivenUpJob(j *activeJob, task string, now time.Time) {
	if j.tasksLeft == 0 {
		return
	}
	c.cfg.Log.Log(event.TaskRetried, "task", task, "why", "given up", "stored", j.stored != nil)
	if j.stored != nil {
		c.finishStored(j, job.Failed)
		return
	}
	c.finish(j, outcome{state: job.Failed}, now)
}

// failIfGivenUp ends j, which was admitted, if a task of it was given up, and holds those that are to be
// judged.
func (c *Coordinator) failIfGivenUp(j *activeJob, now time.Time) {
	if len(c.crashes.tasks) == 0 {
		return
	}
	for _, v := range c.crashes.pending {
		c.hold(v)
	}
	for _, tasks := range j.steps {
		for _, t := range tasks {
			if h := c.crashes.tasks[t.name]; h != nil && h.givenUp && t.state != taskDone {
				c.failGivenUpJob(j, t.name, now)
				return
			}
		}
	}
}

// adoptCrashes adds the recorded crashes of an adopted job to the history. Of the tasks that the former
// owner did not give up, only those count as the cause that it could tell from others.
func (c *Coordinator) adoptCrashes(j *activeJob, now time.Time) {
	for name, runs := range j.stored.progress.Crashes {
		t := c.crashes.ofTask(name, j.spec.ID, j.spec.Queue.Name, j.spec.Queue.Service)
		t.lastAt = now
		for _, r := range runs {
			t.add(crashedRun{CrashedRun: r})
			t.identified = t.identified || r.Alone
		}
		verdict := c.cfg.Policy.JudgeTask(t.policyCrashes())
		if verdict == policy.Guilty || verdict == policy.ProbablyGuilty && t.identified {
			c.giveUp(name, t, now)
		}
	}
	for name, t := range c.crashes.tasks { // those that the former owner did not record
		if t.job == j.spec.ID {
			for _, r := range t.runs {
				j.stored.progress.SetCrash(name, r.CrashedRun)
				j.stored.dirty = true
			}
		}
	}
}

// suspicion reports whether t may have caused a crash whose cause is not known, and whether only its job
// can have caused it.
func (c *Coordinator) suspicion(t *task) (suspect, identified bool) {
	h := c.crashes.tasks[t.name]
	if h == nil {
		return false, false
	}
	suspect = slices.ContainsFunc(h.policyCrashes(), func(c policy.TaskCrash) bool { return !c.Cleared })
	return suspect, suspect && h.identified
}

// suspectRanks returns the ranks of the endpoints of the agents for a suspect task.
func suspectRanks(t *task, agents []*agent) []float64 {
	ranks := make([]float64, len(agents))
	for i, a := range agents {
		ranks[i] = float64(xxhash.Sum64String(t.name+"|"+a.name)) / math.MaxUint64
	}
	return ranks
}
