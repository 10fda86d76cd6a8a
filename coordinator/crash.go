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

const (
	// crashHistoryTTL is how long the crashes of a task are remembered after the last one. The
	// copies of an ephemeral job that callers submit again, and owners of a stored one, follow one
	// another within a few seconds.
	crashHistoryTTL = time.Minute
	// maxCrashHistory bounds the tasks whose crashes are remembered.
	maxCrashHistory     = 4096
	crashExpiryInterval = time.Second
	// widespreadCrashes is the number of endpoints that crash within widespreadPeriod, without a task
	// in common, if the cause is a common one such as the power of a rack.
	widespreadCrashes = 3
	widespreadPeriod  = 40 * time.Millisecond
)

// crashHistory holds the recent crashes of endpoints as reported by their agents. Each entry that
// an agent serves gets its reports, so that the history outlives the entry that ordered the runs.
type crashHistory struct {
	tasks   map[string]*taskCrashes // by task
	crashes []*endpointCrash        // of the last crashHistoryTTL
	// expiredAt is when expired entries were last removed.
	expiredAt time.Time
}

// endpointCrash is a crash of an endpoint.
type endpointCrash struct {
	agent, instance string
	startMillis     int64
	number          uint64
	at              time.Time
	tasks           map[string]bool // that the endpoint may have executed
	widespread      bool            // other endpoints crashed at the same moment
	culprit         string          // the job of the task that was given up for it; empty if none was
}

// taskCrashes holds the crashes of endpoints during runs of one task.
type taskCrashes struct {
	job     string
	queue   string
	service string // of the endpoints
	runs    []crashedRun
	lastAt  time.Time
	givenUp bool
	// identified is set if only this task's job can have caused one of the crashes.
	identified bool
}

// crashedRun is a run during which the endpoint crashed. crash is nil if the run was read from the
// recorded progress of its job.
type crashedRun struct {
	job.CrashedRun
	crash   *endpointCrash
	cleared bool // by its elapsed time
}

// policyCrashes returns the crashes in the form of package policy.
func (t *taskCrashes) policyCrashes() []policy.TaskCrash {
	out := make([]policy.TaskCrash, len(t.runs))
	for i, r := range t.runs {
		otherCause := r.crash != nil && (r.crash.widespread || r.crash.culprit != "" && r.crash.culprit != t.job)
		out[i] = policy.TaskCrash{
			Elapsed: time.Duration(r.ElapsedMillis) * time.Millisecond, Cleared: r.cleared || r.Unanswered || otherCause,
		}
	}
	return out
}

// elapsedMillis returns the times from the starts of the runs to the crashes.
func (t *taskCrashes) elapsedMillis() (ms []uint32) {
	for _, r := range t.runs {
		ms = append(ms, r.ElapsedMillis)
	}
	return ms
}

// add adds a run unless it is known. One that was read from the recorded progress gets its crash.
func (t *taskCrashes) add(r crashedRun) (added bool) {
	for i := range t.runs {
		if o := &t.runs[i]; o.Number == r.Number && o.Agent == r.Agent {
			if o.crash == nil {
				o.crash = r.crash
			}
			return false
		}
	}
	t.runs = append(t.runs, r)
	return true
}

func (h *crashHistory) known(agent string, c *wire.Crash) bool {
	return slices.ContainsFunc(h.crashes, func(o *endpointCrash) bool {
		return o.agent == agent && o.instance == c.Instance && o.startMillis == c.StartMillis && o.number == c.Number
	})
}

// add adds a crash. It marks the crashes within widespreadPeriod as widespread if they are many and
// share no task, which would be the likelier cause.
func (h *crashHistory) add(c *endpointCrash) {
	h.crashes = append(h.crashes, c)
	var together []*endpointCrash
	for _, o := range h.crashes {
		if c.at.Sub(o.at).Abs() <= widespreadPeriod && (o == c || o.agent != c.agent && !o.sharesTask(c)) {
			together = append(together, o)
		}
	}
	if len(together) >= widespreadCrashes {
		for _, o := range together {
			o.widespread = true
		}
	}
}

func (c *endpointCrash) sharesTask(o *endpointCrash) bool {
	for task := range c.tasks {
		if o.tasks[task] {
			return true
		}
	}
	return false
}

// ofTask returns the crashes of a task, which may be empty.
func (h *crashHistory) ofTask(name, job, queue, service string) *taskCrashes {
	t := h.tasks[name]
	if t == nil {
		t = &taskCrashes{job: job, queue: queue, service: service}
		h.tasks[name] = t
	}
	return t
}

// expire removes what is no longer needed.
func (h *crashHistory) expire(now time.Time) {
	if now.Sub(h.expiredAt) < crashExpiryInterval {
		return
	}
	h.expiredAt = now
	h.crashes = slices.DeleteFunc(h.crashes, func(c *endpointCrash) bool { return now.Sub(c.at) > crashHistoryTTL })
	for name, t := range h.tasks {
		if now.Sub(t.lastAt) > crashHistoryTTL || len(h.tasks) > maxCrashHistory && !t.givenUp {
			delete(h.tasks, name)
		}
	}
}

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
		c.judgeTasks(tasks, now)
	}
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
	for _, name := range names {
		t := c.crashes.tasks[name]
		crashes := t.policyCrashes()
		if !crashes[len(crashes)-1].Cleared {
			suspected[t.job] = append(suspected[t.job], name)
		}
		switch c.cfg.Policy.JudgeTask(crashes) {
		case policy.Guilty:
			c.giveUp(name, t, now)
		case policy.ProbablyGuilty:
			if t.identified {
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
	if len(probable) != 1 {
		return // one task caused the crash, and it cannot be told which
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
	if id, err := job.ParseTaskID(name); err == nil && c.jobs[t.job] != nil {
		if task := c.jobs[t.job].task(id); task != nil {
			c.holdIdentified(task, now)
		}
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

// failIfGivenUp ends j if a task of it was given up.
func (c *Coordinator) failIfGivenUp(j *activeJob, now time.Time) {
	if len(c.crashes.tasks) == 0 {
		return
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
