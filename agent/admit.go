package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// maxBudget is the longest time until the deadline that a Start may carry.
const maxBudget = 10 * time.Minute

// handleStart admits or refuses the tasks of a Start from l's peer.
func (c *core) handleStart(l *link, m *wire.Start) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range m.Tasks {
		c.receiveTask(l, &m.Tasks[i], now)
	}
	c.startQueued(now)
}

// receiveTask admits or refuses one task of a Start, unless its key was received before.
func (c *core) receiveTask(l *link, spec *wire.StartTask, now time.Time) {
	h := l.home
	if rec := h.records[spec.Ref]; rec != nil {
		// A duplicate of a task in progress shares its result; the end of a
		// finished or refused task is reported again.
		if rec.task == nil {
			c.queueReport(rec)
		}
		return
	}
	if spec.Ref < h.expiredBelow {
		// The record of the key may have expired after the task ran, so the task
		// must neither run now nor be reported as not run.
		c.queueReport(&taskRecord{home: h, ref: spec.Ref, outcome: errkind.MayHaveRun, kind: errkind.AgentLost})
		return
	}
	if kind := c.checkAdmission(l, spec); kind != "" {
		c.refuseNew(h, spec.Ref, kind, now)
		return
	}
	c.admissionSeq++
	t := &task{
		spec: *spec, arrived: now, admissionSeq: c.admissionSeq,
		deadline: now.Add(time.Duration(spec.BudgetMicros) * time.Microsecond),
	}
	t.record = &taskRecord{home: h, ref: spec.Ref, task: t}
	c.records.add(t.record, now)
	c.queue.push(t)
}

// checkAdmission returns the reason to refuse a new task, or an empty kind to admit it.
func (c *core) checkAdmission(l *link, spec *wire.StartTask) errkind.Kind {
	switch {
	case c.draining || l.retired:
		return errkind.Draining
	case spec.BudgetMicros <= 0:
		return errkind.DeadlinePassed
	case spec.BudgetMicros > maxBudget.Microseconds():
		return errkind.InvalidRequest
	case !c.leaseValid || c.endpoint == nil || c.endpoint.announcement().Service != spec.Service:
		return errkind.NoEndpoint
	case c.running+c.queue.len() >= c.endpoint.slots()+c.buffer(spec.Service):
		return errkind.QueueFull
	case c.records.full():
		return errkind.RecordFull
	}
	return ""
}

// refuseNew refuses a task that has no record. The tombstone prevents a later
// duplicate of the Start from running after this refusal.
func (c *core) refuseNew(h *home, ref uint64, kind errkind.Kind, now time.Time) {
	rec := &taskRecord{home: h, ref: ref, refused: true, tombstone: true, kind: kind}
	if !c.records.tombstonesFull() {
		c.records.add(rec, now)
	}
	c.metrics.countRefused(kind)
	c.queueReport(rec)
}
