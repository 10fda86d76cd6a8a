package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// handleSettle answers what became of refs. A ref that was never seen is recorded as
// refused before the answer is sent.
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
				// The answer would not fit into the frame; the result follows.
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
		// The past of the key is not known, or a late Start could not be kept
		// from running, so never_seen could be false.
		return finishedTask(wire.TaskResult{Ref: ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "no record of the task is kept"})
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

// reportedResult returns the result of a finished task. An answer that is no longer
// kept cannot be reported as done.
func (rec *taskRecord) reportedResult() wire.TaskResult {
	switch {
	case rec.result != nil:
		return *rec.result
	case rec.outcome == errkind.Done:
		return wire.TaskResult{Ref: rec.ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "answer was delivered before and is no longer kept"}
	}
	return wire.TaskResult{Ref: rec.ref, Outcome: rec.outcome, Kind: rec.kind}
}

func finishedTask(r wire.TaskResult) wire.SettledTask {
	return wire.SettledTask{Ref: r.Ref, State: wire.TaskFinished, Result: &r}
}

// handleCancel withdraws queued tasks; running ones go on.
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
