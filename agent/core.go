package agent

import (
	"context"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// maxBudget bounds the deadline that a Start may carry.
const maxBudget = 10 * time.Minute

// task is an admitted task that has not ended.
type task struct {
	entry    *entry
	spec     wire.StartTask
	arrived  time.Time
	deadline time.Time
	order    uint64 // of admission; decides between equal deadlines
	position int    // in the queue, -1 when it is not queued
}

// core is the state of an agent: endpoint, queue, record and load. Its methods
// may be called from any goroutine and never block on a peer.
type core struct {
	cfg Config

	mu       sync.Mutex
	endpoint *backend // nil while none is announced
	revision uint64   // of the announcement
	rules    rules
	queue    taskQueue
	running  int
	orders   uint64
	record   *record
	links    map[*link]struct{}
	draining bool
	drained  chan struct{} // closed when draining and nothing is left
	expiry   *time.Timer   // fires at the earliest deadline in the queue
}

func newCore(cfg Config) *core {
	c := &core{
		cfg:     cfg,
		record:  newRecord(cfg.MaxRecords, cfg.RecordAge),
		links:   make(map[*link]struct{}),
		drained: make(chan struct{}),
	}
	c.rules.buffer = cfg.Buffer
	c.expiry = time.AfterFunc(time.Hour, c.dropExpired)
	c.expiry.Stop()
	return c
}

func (c *core) load() wire.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadLocked()
}

func (c *core) loadLocked() wire.Load {
	return wire.Load{Running: uint32(c.running), Queued: uint32(c.queue.len())}
}

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
		// A duplicate joins the first Start; a finished task is reported again.
		if e.task == nil {
			c.report(e)
		}
		return
	}
	if kind := c.admit(h, spec); kind != "" {
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
func (c *core) admit(h *home, spec *wire.StartTask) errkind.Kind {
	budget := time.Duration(spec.BudgetMicros) * time.Microsecond
	switch {
	case c.draining:
		return errkind.Draining
	case spec.BudgetMicros <= 0:
		return errkind.DeadlinePassed
	case spec.BudgetMicros > maxBudget.Microseconds() || budget > maxBudget:
		return errkind.InvalidRequest
	case spec.Ref <= h.forgotten:
		// The key may have been recorded before, so it must not run now.
		return errkind.Cancelled
	case c.endpoint == nil || c.endpoint.service != spec.Service:
		return errkind.NoEndpoint
	case c.running+c.queue.len() >= c.endpoint.slots+c.rules.buffer:
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
	c.report(e)
}

// dispatch starts queued tasks while slots are free.
func (c *core) dispatch(now time.Time) {
	for c.queue.len() > 0 && (c.endpoint == nil || c.running < c.endpoint.slots) {
		t := c.queue.pop()
		t.position = -1
		switch {
		case !now.Before(t.deadline):
			c.refusePending(t, errkind.DeadlinePassed)
		case c.endpoint == nil:
			c.refusePending(t, errkind.NoEndpoint)
		default:
			c.running++
			go c.run(t, c.endpoint)
		}
	}
	if h := c.queue.head(); h != nil {
		c.expiry.Reset(h.deadline.Sub(now))
	}
	c.checkDrained()
}

func (c *core) refusePending(t *task, kind errkind.Kind) {
	t.entry.refuse(kind)
	c.report(t.entry)
}

// dropExpired refuses queued tasks whose deadline has passed.
func (c *core) dropExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for h := c.queue.head(); h != nil && !now.Before(h.deadline); h = c.queue.head() {
		c.queue.pop()
		c.refusePending(h, errkind.DeadlinePassed)
	}
	c.dispatch(now)
}

// run calls the endpoint for t and reports the end.
func (c *core) run(t *task, b *backend) {
	begin := time.Now()
	result := b.call(t)
	end := time.Now()
	result.Ref = t.spec.Ref
	result.QueueMicros = begin.Sub(t.arrived).Microseconds()
	result.RunMicros = end.Sub(begin).Microseconds()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	e := t.entry
	e.task = nil
	e.outcome, e.kind, e.result = result.Outcome, result.Kind, &result
	c.report(e)
	c.dispatch(end)
}

// report hands the end of a task to the newest connection of its home, or keeps
// it for the next one.
func (c *core) report(e *entry) {
	h := e.home
	if h.link == nil {
		h.undelivered = append(h.undelivered, e)
		return
	}
	h.link.out = append(h.link.out, e)
	h.link.signal()
}

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
	case e == nil && (ref <= h.forgotten || c.record.tombstonesFull()):
		// The past of the key is not known or a late Start could not be kept
		// from running, so never_seen could be false.
		return finished(wire.TaskResult{Ref: ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "record of the task has expired"})
	case e == nil:
		e = &entry{home: h, ref: ref, refused: true, tombstone: true, kind: errkind.Cancelled}
		c.record.add(e, now)
		return wire.SettledTask{Ref: ref, State: wire.TaskNeverSeen}
	case e.task != nil:
		return wire.SettledTask{Ref: ref, State: wire.TaskPending}
	case e.refused:
		return finished(wire.TaskResult{Ref: ref, Outcome: errkind.NotRun, Kind: e.kind})
	case e.result == nil && e.outcome == errkind.Done:
		return finished(wire.TaskResult{Ref: ref, Outcome: errkind.MayHaveRun, Kind: errkind.AgentLost, Detail: "answer was delivered before and is no longer kept"})
	case e.result == nil:
		return finished(wire.TaskResult{Ref: ref, Outcome: e.outcome, Kind: e.kind})
	}
	return finished(*e.result)
}

func finished(r wire.TaskResult) wire.SettledTask {
	return wire.SettledTask{Ref: r.Ref, State: wire.TaskFinished, Result: &r}
}

// cancel withdraws queued tasks; running ones go on.
func (c *core) cancel(l *link, m *wire.Cancel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ref := range m.Refs {
		e := l.home.entries[ref]
		if e != nil && e.task != nil && e.task.position >= 0 {
			c.queue.remove(e.task)
			c.refusePending(e.task, errkind.Cancelled)
		}
	}
	c.checkDrained()
}

// drain refuses new tasks from now on and waits until none is left.
func (c *core) drain() {
	c.mu.Lock()
	c.draining = true
	for l := range c.links {
		l.drain = true
		l.signal()
	}
	c.checkDrained()
	c.mu.Unlock()
	<-c.drained
}

// flushed waits until every connection has taken what was queued on it.
func (c *core) flushed(ctx context.Context) {
	for {
		c.mu.Lock()
		pending := false
		for l := range c.links {
			pending = pending || len(l.out) > 0 || len(l.replies) > 0 || l.drain
		}
		c.mu.Unlock()
		if !pending || ctx.Err() != nil {
			return
		}
		sleep(ctx, 2*time.Millisecond)
	}
}

func (c *core) checkDrained() {
	if !c.draining || c.running > 0 || c.queue.len() > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

// watchEndpoint withdraws an endpoint that has stopped renewing and expires
// records until ctx ends.
func (c *core) watchEndpoint(ctx context.Context) {
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (c *core) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.endpoint; b != nil && now.Sub(b.renewed) >= renewalsMissed*RenewalPeriod {
		c.cfg.Log.Log(event.EndpointWithdrawn, "service", b.service, "address", b.address)
		c.withdraw(now)
	}
	for l := range c.links {
		l.release(now)
	}
	c.record.expire(now)
}
