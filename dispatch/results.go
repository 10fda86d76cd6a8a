package dispatch

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/limit"
	"oriolerelay/wire"
)

// maxRefusals bounds how often one task is sent to another agent after it was
// refused, so that agents that refuse everything can't keep it circulating.
const maxRefusals = 8

// results takes over the final states of tasks at an agent.
func (d *Dispatcher) results(a *agent, m *wire.Result, now time.Time) {
	for i := range m.Tasks {
		r := &m.Tasks[i]
		if t := d.refs[r.Ref]; t != nil && t.agent == a {
			d.taskResult(t, r, now)
		}
	}
	a.learnLoad(m.Load, now)
}

// refused takes over the refusals of an agent.
func (d *Dispatcher) refused(a *agent, m *wire.Refused, now time.Time) {
	withdrawn := true
	for _, ref := range m.Refs {
		t := d.refs[ref]
		if t == nil || t.agent != a {
			continue
		}
		withdrawn = withdrawn && t.job.finished
		d.metrics.agentRefusals.Inc()
		d.taskNotRun(t, &errkind.Error{Kind: m.Kind, Detail: m.Detail}, now)
	}
	a.learnLoad(m.Load, now)
	if m.Kind == errkind.Draining {
		d.drain(a, now)
	}
	if !withdrawn {
		a.backoffUntil = now.Add(minBackoff << min(a.refusals, maxBackoffDoublings))
		a.refusals++
	}
}

// taskResult ends one attempt of a task. The reply for a withdrawn task only
// frees its place.
func (d *Dispatcher) taskResult(t *task, r *wire.TaskResult, now time.Time) {
	a := t.agent
	switch r.Outcome {
	case errkind.Done:
		a.refusals = 0
		t.job.kind.times.RecordRunTime(a.timesOf(t.job.kind), t.occupied(r, now), now)
		if a.service != nil {
			a.service.health.RecordSuccess(&a.health, now)
		}
		d.release(t)
		if !t.job.finished {
			d.taskDone(t, r.Body)
		}
	case errkind.NotRun:
		if r.Kind == errkind.ConnectionRefused {
			d.countFailure(t, now)
		}
		d.taskNotRun(t, &errkind.Error{Kind: r.Kind, Detail: r.Detail}, now)
	default:
		d.taskFailed(t, &errkind.Error{Kind: r.Kind, Detail: r.Detail}, now)
	}
}

// occupied returns how long the task kept a slot from the home's point of view:
// its run time and the round trip, which delays the next start.
func (t *task) occupied(r *wire.TaskResult, now time.Time) time.Duration {
	run := time.Duration(r.RunMicros) * time.Microsecond
	if !t.lostAt.IsZero() || t.sentAt.IsZero() {
		return run // the time until a settled result says nothing about the endpoint
	}
	return max(run, now.Sub(t.sentAt)-time.Duration(r.QueueMicros)*time.Microsecond)
}

func (d *Dispatcher) taskDone(t *task, body []byte) {
	t.state = taskFinal
	t.result = TaskAnswer{Outcome: errkind.Done, Body: body}
	endTaskSpan(t)
	j := t.job
	j.unfinished--
	if j.unfinished == 0 {
		d.complete(j)
	}
}

// taskNotRun handles a task that certainly did not run at its agent. It may go
// to another agent.
func (d *Dispatcher) taskNotRun(t *task, err *errkind.Error, now time.Time) {
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
	case t.refusals > maxRefusals, !resendable(err.Kind):
		d.giveUp(t.job, err, t)
	default:
		d.requeue(t)
	}
}

// resendable reports whether another agent may accept a task that was refused
// with the given kind.
func resendable(k errkind.Kind) bool {
	switch k {
	case errkind.DeadlineUnmet, errkind.DeadlinePassed, errkind.Cancelled, errkind.InvalidRequest, errkind.BodyTooLarge:
		return false
	}
	return true
}

// taskFailed handles a task that may have run and gave no result. A task of a
// job is never started again, and a request only if its kind allows it.
func (d *Dispatcher) taskFailed(t *task, err *errkind.Error, now time.Time) {
	a, j := t.agent, t.job
	if err.Kind != errkind.AnswerTooLarge {
		d.countFailure(t, now)
	}
	d.release(t)
	if j.finished {
		return
	}
	endTaskSpan(t)
	t.starts++
	t.state = taskQueued
	t.avoid = a
	if j.rules.retryable && t.starts < j.rules.maxAttempts && j.service.served() &&
		now.Add(j.kind.times.TypicalRunTime(j.Tasks[t.index].Expected)).Before(j.Deadline) && j.service.retries.TryRetry() {
		d.metrics.retries.Inc()
		d.requeue(t)
		return
	}
	d.giveUp(j, err, t)
}

// requeue puts a task first in its job's order. Tasks of a finished job are not
// queued.
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
	j.service.queue.Push(j.item)
}

// countFailure counts a failed task against its endpoint.
func (d *Dispatcher) countFailure(t *task, now time.Time) {
	a, k := t.agent, t.job.kind
	if a.service == nil {
		return
	}
	k.times.RecordFailure(a.timesOf(k), 0, now)
	rules := d.endpointRules(a.service.name)
	if a.service.health.RecordFailure(&a.health, rules, now) {
		d.metrics.ejections.Inc()
		d.cfg.Logger.Log(event.EndpointEjected, "agent", a.id, "service", a.service.name)
	}
}

// tasksAllowed returns how many tasks may be at an agent.
func (a *agent) tasksAllowed(now time.Time) int {
	if !a.live() || now.Before(a.backoffUntil) {
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
