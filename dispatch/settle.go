package dispatch

import (
	"context"
	"errors"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// A task without a reply is checked after overdueFactor times its expected run
// time, and not before minOverdue, so that ordinary slow tasks cost no message.
const (
	overdueFactor = 4
	minOverdue    = 2 * time.Second
)

// checkOverdue asks an agent for its tasks that should have finished long ago.
// A connection that doesn't answer is closed, and the agent dials again.
func (d *Dispatcher) checkOverdue(a *agent, now time.Time) {
	for t := a.oldest; t != nil; {
		next := t.next
		if t.state == taskSent || t.state == taskFinal {
			limit := max(minOverdue, overdueFactor*t.job.kind.times.Typical(0))
			if now.Sub(t.checkedAt) < limit {
				return // the list is ordered by checkedAt
			}
			t.checkedAt = now
			a.unlink(t)
			a.link(t)
			a.session.settles = append(a.session.settles, t.ref)
			a.session.signal()
		}
		t = next
	}
}

// settle asks the agent for the state of tasks. A connection that stays silent
// is closed.
func (s *session) settle(refs []uint64) {
	s.d.metrics.settles.Add(float64(len(refs)))
	ctx, cancel := context.WithTimeout(s.ctx, settleCallTime)
	defer cancel()
	reply, err := s.link.Call(ctx, &wire.Settle{Refs: refs})
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			s.d.cfg.Logger.Log(event.SettleTimedOut, "agent", s.agent.id, "unsettled", len(refs))
			_ = s.link.Close()
		}
		return
	}
	m, ok := reply.(*wire.Settled)
	if !ok {
		_ = s.link.Close()
		return
	}
	s.settled(m)
}

// settled acts on the states of tasks. A state that the agent gave on a
// connection that ended meanwhile is still true, except that the result of a
// pending task doesn't arrive on that connection.
func (s *session) settled(m *wire.Settled) {
	now := time.Now()
	d, a := s.d, s.agent
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range m.Tasks {
		t := d.refs[r.Ref]
		if t == nil || t.agent != a {
			continue
		}
		switch {
		case r.State == wire.TaskNeverSeen:
			d.taskNotRun(t, errkind.New(errkind.ConnectionRefused, "the start did not reach agent %s", a.id), now)
		case r.State == wire.TaskFinished && r.Result != nil:
			d.taskResult(t, r.Result, now)
		case r.State == wire.TaskPending && t.state == taskLost && a.session == s:
			t.state = taskSent
			t.checkedAt = now
		}
	}
	if a.service != nil {
		d.schedule(a.service, now)
	}
}

// notSent takes back tasks that the transport did not accept. No byte of them
// has left, so they did not run.
func (d *Dispatcher) notSent(s *session, tasks []*task, starts []wire.StartTask, err error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, t := range tasks {
		if t.ref != starts[i].Ref {
			continue
		}
		d.taskNotRun(t, errkind.New(errkind.ConnectionRefused, "send to agent %s: %w", s.agent.id, err), now)
	}
}
