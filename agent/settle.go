package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// handleSettle returns the state of each ref. A ref that was never seen is recorded as
// refused before the reply is sent, so that a late Start cannot run it.
func (c *core) handleSettle(l *link, m *wire.Settle) *wire.Settled {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &wire.Settled{Tasks: make([]wire.SettledTask, 0, len(m.Refs))}
	size := 0
	for _, ref := range m.Refs {
		s := c.settleRef(l.home, ref, now)
		if s.Result != nil {
			if size += len(s.Result.Body); size > maxBatchBytes {
				// The result does not fit into the frame and is sent separately.
				c.queueReport(l.home.records[ref])
				s = wire.SettledTask{Ref: ref, State: wire.TaskPending}
			}
		}
		reply.Tasks = append(reply.Tasks, s)
	}
	return reply
}

func (c *core) settleRef(h *home, ref uint64, now time.Time) wire.SettledTask {
	rec := h.records[ref]
	switch {
	case rec == nil && (ref < h.expiredBelow || c.records.tombstonesFull()):
		// The record may have expired, or there is no room for a tombstone against a
		// late Start, so the reply never_seen could be false.
		return finishedTask(wire.TaskResult{Ref: ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "agent has no record of the task"})
	case rec == nil:
		c.records.add(&taskRecord{home: h, ref: ref, refused: true, tombstone: true, kind: errkind.Cancelled}, now)
		return wire.SettledTask{Ref: ref, State: wire.TaskNeverSeen}
	case rec.task != nil:
		return wire.SettledTask{Ref: ref, State: wire.TaskPending}
	case rec.refused:
		return finishedTask(wire.TaskResult{Ref: ref, Outcome: errkind.NotRun, Kind: rec.kind})
	}
	return finishedTask(rec.reportedResult())
}

// reportedResult returns the result of a finished task. A successful task whose result
// was dropped is reported as may_have_run, because its answer cannot be sent again.
func (rec *taskRecord) reportedResult() wire.TaskResult {
	switch {
	case rec.result != nil:
		return *rec.result
	case rec.outcome == errkind.Done:
		return wire.TaskResult{Ref: rec.ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "answer was delivered earlier and is no longer stored"}
	}
	return wire.TaskResult{Ref: rec.ref, Outcome: rec.outcome, Kind: rec.kind}
}

func finishedTask(r wire.TaskResult) wire.SettledTask {
	return wire.SettledTask{Ref: r.Ref, State: wire.TaskFinished, Result: &r}
}

// handleCancel refuses queued tasks as cancelled; running tasks continue.
func (c *core) handleCancel(l *link, m *wire.Cancel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ref := range m.Refs {
		rec := l.home.records[ref]
		if rec != nil && rec.task != nil && rec.task.position >= 0 {
			t := rec.task
			c.queue.remove(t)
			c.refuseQueued(t, errkind.Cancelled)
		}
	}
	c.checkDrained()
}
