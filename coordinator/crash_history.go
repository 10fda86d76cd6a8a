package coordinator

import (
	"slices"
	"time"

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
	pending []pendingVerdict        // in order of time
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

// policyCrashes returns the crashes that have no other known cause in the form of package policy.
func (t *taskCrashes) policyCrashes() (out []policy.TaskCrash) {
	for _, r := range t.runs {
		if t.isCause(r) {
			out = append(out, policy.TaskCrash{Elapsed: time.Duration(r.ElapsedMillis) * time.Millisecond, Cleared: r.cleared || r.Unanswered})
		}
	}
	return out
}

// isCause reports whether the task may have caused the crash during r.
func (t *taskCrashes) isCause(r crashedRun) bool {
	return r.crash == nil || !r.crash.widespread && (r.crash.culprit == "" || r.crash.culprit == t.job)
}

// isSuspicious reports whether the task may have caused the newest crash and began before it.
func (t *taskCrashes) isSuspicious() bool {
	r := t.runs[len(t.runs)-1]
	return t.isCause(r) && !r.cleared && !r.Unanswered
}

// elapsedMillis returns the times from the starts of the runs to the crashes.
func (t *taskCrashes) elapsedMillis() (ms []uint32) {
	for _, r := range t.runs {
		ms = append(ms, r.ElapsedMillis)
	}
	return ms
}

// add adds a run unless it is known: one that was read from the recorded progress gets its crash. Runs
// of an ephemeral job have the same numbers at each entry that orders them.
func (t *taskCrashes) add(r crashedRun) (added bool) {
	for i := range t.runs {
		if o := &t.runs[i]; o.Number == r.Number && o.Agent == r.Agent && (o.crash == nil || r.crash == nil) {
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
