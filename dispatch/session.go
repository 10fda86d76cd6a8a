package dispatch

import (
	"context"
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// Limits and intervals of a session.
const (
	// maxStartBytes bounds the payload bytes of one Start, so that its frame stays
	// well below wire.MaxFrameBytes even with the largest payloads of 64 KiB.
	maxStartBytes = 512 << 10
	// settleCallTimeout is how long an agent may take to answer a Settle before
	// the connection is considered dead and closed.
	settleCallTimeout = time.Second
	// heartbeatInterval is the longest time in which a home entry sends neither a
	// Start nor a heartbeat on a session.
	heartbeatInterval = time.Second
)

// agentConn is the subset of transport.Conn that a session uses.
type agentConn interface {
	Send(ctx context.Context, m wire.Message) error
	Call(ctx context.Context, m wire.Message) (wire.Message, error)
	Reply(ctx context.Context, callID uint64, m wire.Message) error
	Close() error
}

// session is one connection to an agent. The fields from outbox on are guarded by
// Dispatcher.mu.
type session struct {
	d     *Dispatcher
	agent *agent
	conn  agentConn
	ctx   context.Context // ends with the connection
	stop  context.CancelFunc
	wake  chan struct{}

	outbox     []*task
	cancels    []uint64
	settles    []uint64
	acks       []uint64
	sendConfig bool
	lastSent   time.Time
}

// attach replaces the session of an agent by one for a new connection. Tasks that
// were sent on an older connection are settled on the new one.
func (d *Dispatcher) attach(c agentConn, hello wire.Hello) *session {
	ctx, stop := context.WithCancel(context.Background())
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.agents[hello.Node]
	if a == nil {
		a = &agent{id: hello.Node}
		d.agents[hello.Node] = a
		d.removeOlderIncarnations(a, now)
	}
	a.hello = hello
	s := &session{d: d, agent: a, conn: c, ctx: ctx, stop: stop, wake: make(chan struct{}, 1), lastSent: now}
	previous := a.session
	a.session = s
	s.sendConfig = d.pushedConfig != nil
	if previous != nil {
		s.outbox, previous.outbox = previous.outbox, nil
		previous.close()
	}
	d.markUnsettled(a, now)
	d.settleAll(a)
	s.wakeSender()
	d.cfg.Logger.Log(event.AgentConnected, "agent", a.id, "data_centre", hello.DataCentre, "to_settle", len(s.settles))
	go s.sendLoop()
	return s
}

// removeOlderIncarnations removes other disconnected incarnations of the agent.
func (d *Dispatcher) removeOlderIncarnations(a *agent, now time.Time) {
	for id, other := range d.agents {
		if id.Name == a.id.Name && other != a && other.session == nil {
			d.removeAgent(other, now)
		}
	}
}

// markUnsettled marks the tasks that were sent on a closed connection as
// unsettled and releases those of finished jobs.
func (d *Dispatcher) markUnsettled(a *agent, now time.Time) {
	a.forEachTask(func(t *task) {
		switch {
		case t.state == taskAssigned || t.state == taskUnsettled:
		case t.job.finished:
			d.release(t)
		default:
			t.state = taskUnsettled
			t.unsettledSince = now
		}
	})
}

// settleAll asks the agent for the state of its unsettled tasks.
func (d *Dispatcher) settleAll(a *agent) {
	a.forEachTask(func(t *task) {
		if t.state == taskUnsettled {
			a.session.settles = append(a.session.settles, t.ref)
		}
	})
}

// wakeSender wakes the sender goroutine. It doesn't block.
func (s *session) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) close() {
	s.stop()
	go func() { _ = s.conn.Close() }() // Close may block on the transport, and the caller holds Dispatcher.mu
}

func (s *session) queueCancel(ref uint64) {
	s.cancels = append(s.cancels, ref)
	s.wakeSender()
}

func (s *session) keepAlive(now time.Time) {
	if now.Sub(s.lastSent) >= heartbeatInterval {
		s.wakeSender()
	}
}

// sendLoop sends the messages of the session until the connection ends.
func (s *session) sendLoop() {
	for {
		select {
		case <-s.wake:
			s.flush()
		case <-s.ctx.Done():
			return
		}
	}
}

// batch holds the messages that one flush sends.
type batch struct {
	tasks     []*task
	starts    []wire.StartTask
	cancels   []uint64
	settles   []uint64
	acks      []uint64
	config    *wire.Config
	heartbeat *wire.Heartbeat
}

// takeBatch empties the outbox and returns the messages to send. From here on the
// tasks in it count as possibly run.
func (s *session) takeBatch(now time.Time) batch {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if s.agent.session != s {
		return batch{}
	}
	b := batch{cancels: s.cancels, settles: s.settles, acks: s.acks}
	s.cancels, s.settles, s.acks = nil, nil, nil
	if s.sendConfig {
		b.config, s.sendConfig = s.d.pushedConfig, false
	}
	for _, t := range s.outbox {
		// The task may have been released and assigned again since it was queued here.
		if t.state != taskAssigned || t.agent != s.agent || !t.job.Deadline.After(now) {
			continue
		}
		s.d.startTaskSpan(t, now)
		b.tasks = append(b.tasks, t)
		b.starts = append(b.starts, newStartTask(t, now))
		t.state, t.sentAt, t.checkedAt = taskSent, now, now
		s.d.metrics.queueWait.Observe(now.Sub(t.queuedAt).Seconds())
	}
	clear(s.outbox)
	s.outbox = s.outbox[:0]
	if now.Sub(s.lastSent) >= heartbeatInterval && len(b.starts) == 0 {
		b.heartbeat = &wire.Heartbeat{Ticket: s.d.pushedTicket()}
	}
	if len(b.starts) > 0 || b.heartbeat != nil {
		s.lastSent = now
	}
	return b
}

func (d *Dispatcher) pushedTicket() uint64 {
	if d.pushedConfig == nil {
		return 0
	}
	return d.pushedConfig.Ticket
}

func newStartTask(t *task, now time.Time) wire.StartTask {
	j := t.job
	return wire.StartTask{
		Ref: t.ref, Submission: j.Submission.Raw, Index: uint32(t.index), Team: j.Team, Service: j.Service,
		Kind: j.Kind, BudgetMicros: j.Deadline.Sub(now).Microseconds(), Payload: j.Tasks[t.index].Payload,
		TraceParent: t.traceParent(),
	}
}

// flush sends all pending messages. A Start is sent before any Cancel or Settle of
// its tasks, so that these never overtake it on one connection, and before the Ack
// of a Drain, after which an agent may close the connection.
func (s *session) flush() {
	b := s.takeBatch(time.Now())
	if b.config != nil {
		_ = s.conn.Send(s.ctx, b.config)
	}
	s.sendStarts(b)
	if len(b.cancels) > 0 {
		_ = s.conn.Send(s.ctx, &wire.Cancel{Refs: b.cancels})
	}
	if len(b.settles) > 0 {
		go s.settleTasks(b.settles)
	}
	for _, id := range b.acks {
		_ = s.conn.Reply(s.ctx, id, &wire.Ack{}) // an error ends the connection and with it the session
	}
	if b.heartbeat != nil {
		_ = s.conn.Send(s.ctx, b.heartbeat)
	}
}

func (s *session) sendStarts(b batch) {
	for first := 0; first < len(b.starts); {
		end, size := first, 0
		for end < len(b.starts) && (end == first || size+len(b.starts[end].Payload) <= maxStartBytes) {
			size += len(b.starts[end].Payload)
			end++
		}
		if err := s.conn.Send(s.ctx, &wire.Start{Tasks: b.starts[first:end]}); err != nil {
			s.d.handleSendFailure(s, b.tasks[first:], b.starts[first:], err)
			return
		}
		first = end
	}
}

// handleFrame processes one message of the agent. It doesn't block on the network.
func (s *session) handleFrame(f wire.Frame) {
	now := time.Now()
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	a := s.agent
	switch m := f.Body.(type) {
	case *wire.Announce:
		s.d.handleAnnounce(a, *m, now)
	case *wire.Heartbeat:
		a.recordLoad(m.Load, now)
		if m.Ticket < s.d.pushedTicket() {
			s.sendConfig = true
			s.wakeSender()
		}
	case *wire.Result:
		s.d.handleResult(a, m, now)
	case *wire.Refused:
		s.d.handleRefused(a, m, now)
	case *wire.Drain:
		s.d.drainAgent(a, now)
	}
	if f.CallID != 0 {
		s.acks = append(s.acks, f.CallID)
		s.wakeSender()
	}
	if a.service != nil {
		s.d.schedule(a.service, now)
	}
}

// handleClosed processes the end of the connection. Tasks that were not sent are
// queued again; the others wait for a new connection of the same incarnation.
func (s *session) handleClosed(err error) {
	s.stop()
	now := time.Now()
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	a := s.agent
	if a.session != s {
		return
	}
	a.session = nil
	a.disconnectedAt = now
	s.d.cfg.Logger.Log(event.AgentDisconnected, "agent", a.id, "in_flight", a.inFlight, "error", err)
	s.d.requeueUnsent(a)
	s.d.markUnsettled(a, now)
	if a.service != nil {
		if !a.service.available() {
			a.service.unavailableSince = now
		}
		s.d.schedule(a.service, now)
	}
}
