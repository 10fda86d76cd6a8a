package dispatch

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/limit"
	"oriolerelay/wire"
)

// maxRefusals bounds how often one task is reassigned after a refusal, so that
// it doesn't circulate forever among agents that refuse everything.
const maxRefusals = 8

// handleResult processes the results of tasks at an agent.
func (d *Dispatcher) handleResult(a *agent, m *wire.Result, now time.Time) {
	for i := range m.Tasks {
		r := &m.Tasks[i]
		if t := d.refs[r.Ref]; t != nil && t.agent == a {
			d.finishAttempt(t, r, now)
		}
	}
	a.recordLoad(m.Load, now)
}

// handleRefused processes the refusals of an agent. The agent gets no new tasks
// during a backoff, unless all refused tasks belong to finished jobs.
func (d *Dispatcher) handleRefused(a *agent, m *wire.Refused, now time.Time) {
	allFinished := true
	for _, ref := range m.Refs {
		t := d.refs[ref]
		if t == nil || t.agent != a {
			continue
		}
		allFinished = allFinished && t.job.finished
		d.metrics.agentRefusals.Inc()
		d.handleNotRun(t, &errkind.Error{Kind: m.Kind, Detail: m.Detail}, now)
	}
	a.recordLoad(m.Load, now)
	if m.Kind == errkind.Draining {
		d.drainAgent(a, now)
	}
	if !allFinished {
		a.backoffUntil = now.Add(minBackoff << min(a.consecutiveRefusals, maxBackoffDoublings))
		a.consecutiveRefusals++
	}
}

// finishAttempt processes the result of one attempt of a task. If the job is
// already finished, the result only removes the task from its agent.
func (d *Dispatcher) finishAttempt(t *task, result *wire.TaskResult, now time.Time) {
	a := t.agent
	switch result.Outcome {
	case errkind.Done:
		a.consecutiveRefusals = 0
		t.job.kind.runTimes.RecordRunTime(a.runTimesFor(t.job.kind), t.slotTime(result, now), now)
		if a.service != nil {
			a.service.health.RecordSuccess(&a.health, now)
		}
		d.release(t)
		if !t.job.finished {
			d.completeTask(t, result.Body)
		}
	case errkind.NotRun:
		if result.Kind == errkind.ConnectionRefused {
			d.recordFailure(t, now)
		}
		d.handleNotRun(t, &errkind.Error{Kind: result.Kind, Detail: result.Detail}, now)
	default:
		d.handleFailure(t, &errkind.Error{Kind: result.Kind, Detail: result.Detail}, now)
	}
}

// slotTime returns how long the task occupied a slot as the home entry observes
// it: the run time plus the round trip, which delays the next start.
func (t *task) slotTime(result *wire.TaskResult, now time.Time) time.Duration {
	runTime := time.Duration(result.RunMicros) * time.Microsecond
	if !t.unsettledSince.IsZero() || t.sentAt.IsZero() {
		return runTime // the time until a task is settled says nothing about the endpoint
	}
	return max(runTime, now.Sub(t.sentAt)-time.Duration(result.QueueMicros)*time.Microsecond)
}

func (d *Dispatcher) completeTask(t *task, body []byte) {
	t.state = taskFinal
	t.result = TaskAnswer{Outcome: errkind.Done, Body: body}
	endTaskSpan(t)
	j := t.job
	j.unfinished--
	if j.unfinished == 0 {
		d.completeJob(j)
	}
}

// handleNotRun handles an attempt that certainly did not run. The task is
// reassigned if another agent may accept it.
func (d *Dispatcher) handleNotRun(t *task, err *errkind.Error, now time.Time) {
	a := t.agent
	d.release(t)
	if t.job.finished {
		return
	}
	endTaskSpan(t)
	t.state = taskQueued
	t.avoid = a
	t.refusals++
	switch {
	case t.refusals > maxRefusals, !reassignable(err.Kind):
		d.abortJob(t.job, err, t)
	default:
		d.requeue(t)
	}
}

// reassignable reports whether another agent may accept a task that was refused
// with the given error kind.
func reassignable(k errkind.Kind) bool {
	switch k {
	case errkind.DeadlineUnmet, errkind.DeadlinePassed, errkind.Cancelled, errkind.InvalidRequest, errkind.BodyTooLarge:
		return false
	}
	return true
}

// handleFailure handles an attempt that may have run and returned no result. A
// task of a job is never retried, and a request only if its kind is idempotent
// and attempts, time and retry budget are left.
func (d *Dispatcher) handleFailure(t *task, err *errkind.Error, now time.Time) {
	a, j := t.agent, t.job
	if err.Kind != errkind.AnswerTooLarge {
		d.recordFailure(t, now)
	}
	d.release(t)
	if j.finished {
		return
	}
	endTaskSpan(t)
	t.attempts++
	t.state = taskQueued
	t.avoid = a
	if j.rules.retryable && t.attempts < j.rules.maxAttempts && j.service.available() &&
		now.Add(j.kind.runTimes.TypicalRunTime(j.Tasks[t.index].DeclaredRunTime)).Before(j.Deadline) && j.service.retries.TryRetry() {
		d.metrics.retries.Inc()
		d.requeue(t)
		return
	}
	d.abortJob(j, err, t)
}

// requeue makes a task the next one of its job to be assigned. It ignores tasks
// of finished jobs.
func (d *Dispatcher) requeue(t *task) {
	j := t.job
	if j.finished {
		return
	}
	t.state = taskQueued
	t.queuedAt = time.Now()
	j.pending = append(j.pending, t)
	j.kind.queued++
	j.service.queued++
	j.service.queue.Push(j.queueItem)
}

// recordFailure counts a failed attempt against its endpoint, which may eject
// it.
func (d *Dispatcher) recordFailure(t *task, now time.Time) {
	a, k := t.agent, t.job.kind
	if a.service == nil {
		return
	}
	k.runTimes.RecordFailure(a.runTimesFor(k), 0, now)
	rules := d.endpointRules(a.service.name)
	if a.service.health.RecordFailure(&a.health, rules, now) {
		d.metrics.ejections.Inc()
		d.cfg.Logger.Log(event.EndpointEjected, "agent", a.id, "service", a.service.name)
	}
}

// taskLimit returns how many tasks may be at an agent.
func (a *agent) taskLimit(now time.Time) int {
	if !a.available() || now.Before(a.backoffUntil) {
		return 0
	}
	switch a.health.State(now) {
	case limit.Ejected:
		return 0
	case limit.Probation:
		return 1
	}
	return int(a.announce.Slots + a.announce.Buffer)
}
