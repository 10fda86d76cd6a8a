package dispatch

import (
	"context"
	"sort"
	"time"

	"go.opentelemetry.io/otel/trace"

	"oriolerelay/errkind"
	"oriolerelay/limit"
)

// job is a running submission. The dispatcher's lock guards it; answer is
// written once before done is closed.
type job struct {
	Job
	key          jobKey
	rules        jobRules
	service      *service
	kind         *kind
	ctx          context.Context // carries the span of Do to the spans of the tasks
	tasks        []task
	pending      []*task // to be started; the next one is last
	unfinished   int
	payloadBytes int64
	queueItem    *limit.FairItem[*job]
	finished     bool
	answer       Answer
	done         chan struct{}
}

// jobRules are the rules in force when the job was submitted.
type jobRules struct {
	retryable       bool // a single request of an idempotent kind
	maxAttempts     int
	declaredRunTime time.Duration // declared for the kind; zero when not declared
}

// taskState is the state of a task at its home.
type taskState uint8

const (
	taskQueued    taskState = iota // waits at the home
	taskAssigned                   // in the outbox of a session; no byte was sent
	taskSent                       // given to the transport
	taskUnsettled                  // sent on a connection that failed; to be settled
	taskFinal
)

// task is one task of a job. A task with a ref is in Dispatcher.refs and
// occupies a place at its agent.
type task struct {
	job      *job
	index    int
	state    taskState
	ref      uint64
	agent    *agent
	avoid    *agent // the agent that refused or failed the last attempt
	attempts int    // attempts that may have run
	refusals int
	queuedAt time.Time
	sentAt   time.Time
	// checkedAt is the time of the last sign that the agent knows the task.
	checkedAt      time.Time
	unsettledSince time.Time
	prev           *task // neighbours in the agent's list of tasks
	next           *task
	span           trace.Span
	result         TaskAnswer
}

func newJob(ctx context.Context, r Job, now time.Time) *job {
	j := &job{Job: r, ctx: ctx, key: jobKey{r.Team, r.Submission.Raw}, unfinished: len(r.Tasks), done: make(chan struct{})}
	j.tasks = make([]task, len(r.Tasks))
	j.pending = make([]*task, len(r.Tasks))
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: i, queuedAt: now}
		j.pending[len(r.Tasks)-1-i] = &j.tasks[i]
		j.payloadBytes += int64(len(r.Tasks[i].Payload))
	}
	// The longest tasks start first, so that none of them is the last to run.
	sort.SliceStable(j.pending, func(a, b int) bool {
		return r.Tasks[j.pending[a].index].DeclaredRunTime < r.Tasks[j.pending[b].index].DeclaredRunTime
	})
	return j
}

// peek returns the task to start next. The job has pending tasks.
func (j *job) peek() *task { return j.pending[len(j.pending)-1] }

func (j *job) pop() {
	last := len(j.pending) - 1
	j.pending[last] = nil
	j.pending = j.pending[:last]
}

// cancelReason says why a job is withdrawn.
type cancelReason uint8

const (
	cancelledByCaller cancelReason = iota
	cancelledByDeadline
)

func (w cancelReason) error(j *job) *errkind.Error {
	started := j.startedTasks() > 0
	switch {
	case w == cancelledByDeadline && started:
		return errkind.New(errkind.DeadlinePassed, "the deadline passed")
	case w == cancelledByDeadline:
		return errkind.New(errkind.DeadlineUnmet, "the deadline passed before any task started")
	case started:
		return errkind.New(errkind.CancelledRunning, "cancelled")
	default:
		return errkind.New(errkind.Cancelled, "cancelled before any task started")
	}
}

// startedTasks counts the tasks that startedTasks or may have startedTasks.
func (j *job) startedTasks() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].outcome() != errkind.NotRun {
			n++
		}
	}
	return n
}

// outcome returns what is known of a task if it is given up now.
func (t *task) outcome() errkind.Outcome {
	switch {
	case t.state == taskFinal:
		return t.result.Outcome
	case t.state == taskSent || t.state == taskUnsettled || t.attempts > 0:
		return errkind.MayHaveRun
	default:
		return errkind.NotRun
	}
}

// cancelJob gives up a job that is still running.
func (d *Dispatcher) cancelJob(j *job, why cancelReason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abortJob(j, why.error(j), nil)
	d.schedule(j.service, time.Now())
}

// abortJob ends a job with a failure and withdraws its other tasks. culprit is
// the task that failed, or nil.
func (d *Dispatcher) abortJob(j *job, err *errkind.Error, culprit *task) {
	if j.finished {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		kind := abortedTaskKind(t)
		if t == culprit {
			kind = err.Kind
		}
		outcome := t.outcome()
		switch t.state {
		case taskAssigned:
			d.release(t)
		case taskSent:
			t.agent.session.queueCancel(t.ref)
		case taskUnsettled:
			d.release(t)
		}
		if t.state != taskFinal {
			t.result = TaskAnswer{Outcome: outcome, Kind: kind}
			t.state = taskFinal // a sent task keeps its ref until its reply arrives
		}
		t.result.Body = nil
	}
	j.answer.Started = j.startedTasks()
	j.answer.Err = jobError(err, j.answer.Started)
	d.finishJob(j)
}

func abortedTaskKind(t *task) errkind.Kind {
	switch {
	case t.outcome() == errkind.NotRun:
		return errkind.Cancelled
	case t.state == taskUnsettled:
		return errkind.AgentLost
	default:
		return errkind.CancelledRunning
	}
}

// jobError makes the error of a job state the truth about the whole job: a
// failure of one task that did not run must not invite the caller to repeat a
// job of which other tasks may have run.
func jobError(err *errkind.Error, started int) *errkind.Error {
	whole := *err
	if started == 0 {
		whole.Outcome = errkind.NotRun
		return &whole
	}
	if errkind.Table[err.Kind].Retry != errkind.RetryNever || errkind.Table[err.Kind].Outcome == errkind.NotRun {
		whole = *errkind.New(errkind.TaskFailed, "%s", err.Error())
		whole.Err = err
	}
	whole.RetryAfter = 0
	whole.Outcome = errkind.MayHaveRun
	return &whole
}

// completeJob ends a job whose tasks are all done.
func (d *Dispatcher) completeJob(j *job) {
	j.answer.Started = len(j.tasks)
	d.finishJob(j)
}

func (d *Dispatcher) finishJob(j *job) {
	j.finished = true
	j.answer.Tasks = make([]TaskAnswer, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		j.answer.Tasks[i] = t.result
		t.result.Body = nil
		if t.span != nil {
			endTaskSpan(t)
		}
	}
	j.service.queue.Remove(j.queueItem)
	j.kind.queued -= len(j.pending)
	j.service.queued -= len(j.pending)
	j.pending = nil
	j.Tasks = nil // frees the payloads while late results are awaited
	d.inFlightBytes -= j.payloadBytes
	d.quotas.Release(j.Team, len(j.tasks))
	delete(d.jobs, j.key)
	d.metrics.countFinished(j)
	close(j.done)
	d.checkDrained()
}

func refusedAnswer(err *errkind.Error, tasks int) Answer {
	a := Answer{Err: err, Tasks: make([]TaskAnswer, tasks)}
	for i := range a.Tasks {
		a.Tasks[i] = TaskAnswer{Outcome: errkind.NotRun, Kind: err.Kind}
	}
	return a
}
