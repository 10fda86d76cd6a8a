package dispatch

import (
	"context"
	"errors"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// A task without a result is settled after overdueFactor times its expected run
// time, but not before minOverdueAge, so that ordinary slow tasks cost no message.
const (
	overdueFactor = 4
	minOverdueAge = 2 * time.Second
)

// settleOverdue asks an agent for the state of tasks that should have finished
// long ago. A connection that doesn't answer is closed, and the agent dials again.
func (d *Dispatcher) settleOverdue(a *agent, now time.Time) {
	for t := a.oldest; t != nil; {
		next := t.next
		if t.state == taskSent || t.state == taskFinal {
			limit := max(minOverdueAge, overdueFactor*t.job.kind.runTimes.TypicalRunTime(0))
			if now.Sub(t.checkedAt) < limit {
				return // the list is ordered by checkedAt
			}
			t.checkedAt = now
			a.removeTask(t)
			a.addTask(t)
			a.session.settles = append(a.session.settles, t.ref)
			a.session.wakeSender()
		}
		t = next
	}
}

// settleTasks asks the agent for the state of tasks. It closes the connection if
// the agent doesn't answer in time.
func (s *session) settleTasks(refs []uint64) {
	s.d.metrics.settles.Add(float64(len(refs)))
	ctx, cancel := context.WithTimeout(s.ctx, settleCallTimeout)
	defer cancel()
	reply, err := s.conn.Call(ctx, &wire.Settle{Refs: refs})
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			s.d.cfg.Logger.Log(event.SettleTimedOut, "agent", s.agent.id, "unsettled", len(refs))
			_ = s.conn.Close()
		}
		return
	}
	m, ok := reply.(*wire.Settled)
	if !ok {
		_ = s.conn.Close()
		return
	}
	s.handleSettled(m)
}

// handleSettled processes the states of tasks. States from a connection that has
// ended meanwhile are still valid, except that the result of a pending task won't
// arrive on that connection.
func (s *session) handleSettled(m *wire.Settled) {
	now := time.Now()
	d, a := s.d, s.agent
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, settled := range m.Tasks {
		t := d.refs[settled.Ref]
		if t == nil || t.agent != a {
			continue
		}
		switch {
		case settled.State == wire.TaskNeverSeen:
			d.handleNotRun(t, errkind.New(errkind.ConnectionRefused, "the Start message did not reach agent %s", a.id), now)
		case settled.State == wire.TaskFinished && settled.Result != nil:
			d.finishAttempt(t, settled.Result, now)
		case settled.State == wire.TaskPending && t.state == taskUnsettled && a.session == s:
			t.state = taskSent
			t.checkedAt = now
		}
	}
	if a.service != nil {
		d.schedule(a.service, now)
	}
}

// handleSendFailure handles tasks whose Start the transport did not accept. No
// byte was sent, so they did not run.
func (d *Dispatcher) handleSendFailure(s *session, tasks []*task, starts []wire.StartTask, err error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, t := range tasks {
		if t.ref != starts[i].Ref {
			continue
		}
		d.handleNotRun(t, errkind.New(errkind.ConnectionRefused, "send to agent %s: %w", s.agent.id, err), now)
	}
}
