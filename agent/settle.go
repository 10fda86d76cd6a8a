package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// settle answers what became of refs. A ref that was never seen is recorded as
// refused before the answer is sent.
func (c *core) settle(l *link, m *wire.Settle) *wire.Settled {
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
				c.report(l.home.entries[ref])
				s = wire.SettledTask{Ref: ref, State: wire.TaskPending}
			}
		}
		reply.Tasks = append(reply.Tasks, s)
	}
	return reply
}

func (c *core) settleRef(h *home, ref uint64, now time.Time) wire.SettledTask {
	e := h.entries[ref]
	switch {
	case e == nil && (ref < h.forgotten || c.record.tombstonesFull()):
		// The past of the key is not known, or a late Start could not be kept
		// from running, so never_seen could be false.
		return settled(wire.TaskResult{Ref: ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "no record of the task is kept"})
	case e == nil:
		c.record.add(&entry{home: h, ref: ref, refused: true, tombstone: true, kind: errkind.Cancelled}, now)
		return wire.SettledTask{Ref: ref, State: wire.TaskNeverSeen}
	case e.task != nil:
		return wire.SettledTask{Ref: ref, State: wire.TaskPending}
	case e.refused:
		return settled(wire.TaskResult{Ref: ref, Outcome: errkind.NotRun, Kind: e.kind})
	}
	return settled(e.report())
}

// report returns the result of a finished task. An answer that is no longer
// kept cannot be reported as done.
func (e *entry) report() wire.TaskResult {
	switch {
	case e.result != nil:
		return *e.result
	case e.outcome == errkind.Done:
		return wire.TaskResult{Ref: e.ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "answer was delivered before and is no longer kept"}
	}
	return wire.TaskResult{Ref: e.ref, Outcome: e.outcome, Kind: e.kind}
}

func settled(r wire.TaskResult) wire.SettledTask {
	return wire.SettledTask{Ref: r.Ref, State: wire.TaskFinished, Result: &r}
}

// cancel withdraws queued tasks; running ones go on.
func (c *core) cancel(l *link, m *wire.Cancel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ref := range m.Refs {
		e := l.home.entries[ref]
		if e != nil && e.task != nil && e.task.position >= 0 {
			t := e.task
			c.queue.remove(t)
			c.refusePending(t, errkind.Cancelled)
		}
	}
	c.checkDrained()
}
