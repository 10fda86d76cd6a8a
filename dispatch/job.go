package dispatch

import (
	"context"
	"sort"
	"time"

	"go.opentelemetry.io/otel/trace"

	"oriolerelay/errkind"
	"oriolerelay/limit"
)

// job is a submission that was admitted and is not finished. It is guarded by
// Dispatcher.mu; answer is written once, before done is closed.
type job struct {
	Job
	key          jobKey
	rules        jobRules
	service      *service
	kind         *kind
	ctx          context.Context // holds the span of Do, the parent of the task spans
	tasks        []task
	pending      []*task // tasks to assign; the next one is last
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
	declaredRunTime time.Duration // of the kind; zero if not declared
}

// taskState is the state of a task as its home entry knows it.
type taskState uint8

const (
	taskQueued    taskState = iota // waits in the queue of its service
	taskAssigned                   // in the outbox of a session, not yet sent
	taskSent                       // passed to the transport
	taskUnsettled                  // sent on a connection that failed; the agent must tell its state
	taskFinal
)

// task is one task of a job. ref identifies its current attempt in messages; a
// task with a ref is in Dispatcher.refs and in the task list of its agent.
type task struct {
	job      *job
	index    int
	state    taskState
	ref      uint64
	agent    *agent
	avoid    *agent // the agent at which the last attempt was refused or failed
	attempts int    // failed attempts that may have run
	refusals int
	queuedAt time.Time
	sentAt   time.Time
	// checkedAt is when the task was sent, or last settled or asked about.
	checkedAt      time.Time
	unsettledSince time.Time
	prev           *task // neighbours in the task list of the agent
	next           *task
	span           trace.Span
	result         TaskAnswer
}

func newJob(ctx context.Context, request Job, now time.Time) *job {
	j := &job{Job: request, ctx: ctx, key: jobKey{request.Team, request.Submission.Raw}, unfinished: len(request.Tasks), done: make(chan struct{})}
	j.tasks = make([]task, len(request.Tasks))
	j.pending = make([]*task, len(request.Tasks))
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: i, queuedAt: now}
		j.pending[len(request.Tasks)-1-i] = &j.tasks[i]
		j.payloadBytes += int64(len(request.Tasks[i].Payload))
	}
	// The longest tasks start first, which shortens the time until the last one
	// ends.
	sort.SliceStable(j.pending, func(a, b int) bool {
		return request.Tasks[j.pending[a].index].DeclaredRunTime < request.Tasks[j.pending[b].index].DeclaredRunTime
	})
	return j
}

// peek returns the task to assign next. The job must have pending tasks.
func (j *job) peek() *task { return j.pending[len(j.pending)-1] }

func (j *job) pop() {
	last := len(j.pending) - 1
	j.pending[last] = nil
	j.pending = j.pending[:last]
}

// cancelReason is the reason why a job is cancelled.
type cancelReason uint8

const (
	cancelledByCaller cancelReason = iota
	cancelledByDeadline
)

func (reason cancelReason) error(j *job) *errkind.Error {
	anyStarted := j.startedTasks() > 0
	switch {
	case reason == cancelledByDeadline && anyStarted:
		return errkind.New(errkind.DeadlinePassed, "the deadline passed")
	case reason == cancelledByDeadline:
		return errkind.New(errkind.DeadlineUnmet, "the deadline passed before any task started")
	case anyStarted:
		return errkind.New(errkind.CancelledRunning, "cancelled")
	default:
		return errkind.New(errkind.Cancelled, "cancelled before any task started")
	}
}

// startedTasks returns the number of tasks that started or may have started.
func (j *job) startedTasks() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].outcome() != errkind.NotRun {
			n++
		}
	}
	return n
}

// outcome returns what is known about the execution of a task that has no result
// yet, or the outcome in its result.
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

// cancelJob aborts a job unless it is finished.
func (d *Dispatcher) cancelJob(j *job, reason cancelReason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abortJob(j, reason.error(j), nil)
	d.schedule(j.service, time.Now())
}

// abortJob ends a job with an error and cancels its unfinished tasks. failed is
// the task that caused the error, or nil.
func (d *Dispatcher) abortJob(j *job, err *errkind.Error, failed *task) {
	if j.finished {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		kind := abortedTaskKind(t)
		if t == failed {
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
			t.state = taskFinal // a sent task keeps its ref until its result arrives
		}
		t.result.Body = nil
	}
	j.answer.Started = j.startedTasks()
	j.answer.Err = jobError(err, j.answer.Started)
	d.finishJob(j)
}

// abortedTaskKind returns the error kind of an unfinished task of an aborted job.
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

// jobError adapts an error to the job as a whole. An error that says that one task
// did not run must not make the caller retry a job of which other tasks may have
// run.
func jobError(err *errkind.Error, started int) *errkind.Error {
	jobErr := *err
	if started == 0 {
		jobErr.Outcome = errkind.NotRun
		return &jobErr
	}
	if errkind.Table[err.Kind].Retry != errkind.RetryNever || errkind.Table[err.Kind].Outcome == errkind.NotRun {
		jobErr = *errkind.New(errkind.TaskFailed, "%s", err.Error())
		jobErr.Err = err
	}
	jobErr.RetryAfter = 0
	jobErr.Outcome = errkind.MayHaveRun
	return &jobErr
}

// completeJob finishes a job whose tasks are all done.
func (d *Dispatcher) completeJob(j *job) {
	j.answer.Started = len(j.tasks)
	d.finishJob(j)
}

// finishJob sets the answer of a job and releases what the job occupies.
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
	j.Tasks = nil // frees the payloads although late results keep the job reachable
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
