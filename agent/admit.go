package agent

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// maxBudget bounds the deadline that a Start may carry.
const maxBudget = 10 * time.Minute

// start handles the tasks of a Start from l's peer.
func (c *core) start(l *link, m *wire.Start) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range m.Tasks {
		c.startTask(l, &m.Tasks[i], now)
	}
	c.dispatch(now)
}

func (c *core) startTask(l *link, spec *wire.StartTask, now time.Time) {
	h := l.home
	if e := h.entries[spec.Ref]; e != nil {
		// A duplicate joins the first Start; a task that has ended is reported again.
		if e.task == nil {
			c.report(e)
		}
		return
	}
	if spec.Ref < h.forgotten {
		// The key may have been recorded and run before, so it must neither run
		// now nor be reported as not run.
		c.report(&entry{home: h, ref: spec.Ref, outcome: errkind.MayHaveRun, kind: errkind.AgentLost})
		return
	}
	if kind := c.admit(l, spec); kind != "" {
		c.refuseArrival(h, spec.Ref, kind, now)
		return
	}
	c.orders++
	t := &task{
		spec: *spec, arrived: now, order: c.orders,
		deadline: now.Add(time.Duration(spec.BudgetMicros) * time.Microsecond),
	}
	t.entry = &entry{home: h, ref: spec.Ref, task: t}
	c.record.add(t.entry, now)
	c.queue.push(t)
}

// admit returns why a new task is refused, or an empty kind.
func (c *core) admit(l *link, spec *wire.StartTask) errkind.Kind {
	switch {
	case c.draining || l.retired:
		return errkind.Draining
	case spec.BudgetMicros <= 0:
		return errkind.DeadlinePassed
	case spec.BudgetMicros > maxBudget.Microseconds():
		return errkind.InvalidRequest
	case !c.held || c.endpoint == nil || c.endpoint.announcement().Service != spec.Service:
		return errkind.NoEndpoint
	case c.running+c.queue.len() >= c.endpoint.slots()+c.buffer(spec.Service):
		return errkind.QueueFull
	case c.record.full():
		return errkind.RecordFull
	}
	return ""
}

// refuseArrival refuses a task that was not recorded before. The tombstone
// keeps a later duplicate from running after this refusal.
func (c *core) refuseArrival(h *home, ref uint64, kind errkind.Kind, now time.Time) {
	e := &entry{home: h, ref: ref, refused: true, tombstone: true, kind: kind}
	if !c.record.tombstonesFull() {
		c.record.add(e, now)
	}
	c.metrics.refused(kind)
	c.report(e)
}
