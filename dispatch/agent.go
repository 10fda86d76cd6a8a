package dispatch

import (
	"time"

	"oriolerelay/balance"
	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/limit"
	"oriolerelay/wire"
)

// Times of the handling of agents.
const (
	// reconnectTime is how long the tasks of an agent without a connection stay
	// unsettled. An agent notices a dead connection within the transport's idle
	// timeout of 2 s, or at once, and dials again.
	reconnectTime = 2 * time.Second
	// settleLimit bounds the time from a lost connection to an outcome, for an
	// agent whose connections fail again before they settle anything.
	settleLimit = 4 * time.Second
	// loadMemory is the age at which the load that an agent reported for other
	// homes is no longer counted. An agent reports it with each result, and with
	// its heartbeat every second otherwise, so that it is rarely that old.
	loadMemory = 10 * time.Second
	// minBackoff and maxBackoffDoublings bound the pause after refusals by an
	// agent, which would otherwise be offered the task again at once.
	minBackoff          = 5 * time.Millisecond
	maxBackoffDoublings = 6
)

// cautionShare is the part of the reported load of other homes that is counted
// in addition at messages_over_response 1. Twice the load made a home with
// others beside it find no free slot at 95% load.
const cautionShare = 0.25

// agent is one incarnation of an agent. The dispatcher's lock guards it.
type agent struct {
	id       ids.Incarnation
	hello    wire.Hello
	session  *session // newest; nil while there is no connection
	lostAt   time.Time
	service  *service // nil while no endpoint is announced
	announce wire.Announce
	draining bool

	// oldest and newest are the ends of the list of tasks with a ref, ordered
	// by their last sign of life.
	oldest, newest *task
	inFlight       int

	otherLoad    int // tasks of other homes, as of loadAt
	loadAt       time.Time
	refusals     int // consecutive
	backoffUntil time.Time
	health       limit.Health
	times        []balance.EndpointRunTimes // by kind.index
}

// live reports whether the agent can be given tasks at all.
func (a *agent) live() bool { return a.session != nil && !a.draining && a.service != nil }

func (a *agent) status(now time.Time) EndpointStatus {
	return EndpointStatus{
		Agent: a.id, Service: a.service.name, Worker: a.hello.Worker, Rack: a.hello.Rack,
		DataCentre: a.hello.DataCentre, Region: a.hello.Region, Slots: int(a.announce.Slots),
		InFlight: a.inFlight, Draining: a.draining, Ejected: a.health.State(now) == limit.Ejected,
	}
}

// busy returns the tasks at the agent, including those of other homes. The
// latter are known as of the last message only; caution, from 0 to 1, counts more
// of them, so that fewer tasks are refused and more slots stay idle.
func (a *agent) busy(now time.Time, caution float64) int {
	age := now.Sub(a.loadAt)
	if a.otherLoad == 0 || age >= loadMemory {
		return a.inFlight
	}
	return a.inFlight + int((1+cautionShare*min(caution, 1))*float64(a.otherLoad)*float64(loadMemory-age)/float64(loadMemory)+0.5)
}

func (a *agent) learnLoad(l wire.Load, now time.Time) {
	a.otherLoad = max(int(l.Running+l.Queued)-a.inFlight, 0)
	a.loadAt = now
}

// waiting returns the age of the oldest task at the agent.
func (a *agent) waiting(now time.Time) time.Duration {
	if a.oldest == nil || a.oldest.sentAt.IsZero() {
		return 0
	}
	return now.Sub(a.oldest.sentAt)
}

func (a *agent) timesOf(k *kind) *balance.EndpointRunTimes {
	for len(a.times) <= k.index {
		a.times = append(a.times, balance.EndpointRunTimes{})
	}
	return &a.times[k.index]
}

// fits reports whether the worker has the demanded resources. A worker that
// announced no capacity at all is not known to be too small.
func (a *agent) fits(r wire.Resources) bool {
	return a.announce.Capacity == (wire.Resources{}) || r.Fits(a.announce.Capacity)
}

func (a *agent) link(t *task) {
	t.prev, t.next = a.newest, nil
	if a.newest != nil {
		a.newest.next = t
	} else {
		a.oldest = t
	}
	a.newest = t
	a.inFlight++
}

func (a *agent) unlink(t *task) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		a.oldest = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		a.newest = t.prev
	}
	t.prev, t.next = nil, nil
	a.inFlight--
}

// each calls f for every task with a ref at the agent. f may release the task
// and, by giving up its job, other tasks; those are left out.
func (a *agent) each(f func(*task)) {
	type attempt struct {
		t   *task
		ref uint64
	}
	all := make([]attempt, 0, a.inFlight)
	for t := a.oldest; t != nil; t = t.next {
		all = append(all, attempt{t, t.ref})
	}
	for _, x := range all {
		if x.t.ref == x.ref {
			f(x.t)
		}
	}
}

// assign gives a queued task to an agent.
func (d *Dispatcher) assign(t *task, a *agent) {
	d.lastRef++
	t.ref = d.lastRef
	t.state = taskAssigned
	t.agent = a
	t.sentAt, t.lostAt = time.Time{}, time.Time{}
	d.refs[t.ref] = t
	a.link(t)
	a.session.outbox = append(a.session.outbox, t)
	a.session.signal()
}

// release ends the occupation of a place at an agent by t.
func (d *Dispatcher) release(t *task) {
	if t.ref == 0 {
		return
	}
	delete(d.refs, t.ref)
	t.agent.unlink(t)
	t.ref = 0
}

// announced takes over the state of the endpoint beside an agent.
func (d *Dispatcher) announced(a *agent, m wire.Announce, now time.Time) {
	if m.Revision < a.announce.Revision {
		return
	}
	if a.service != nil && (m.Slots == 0 || m.Service != a.service.name) {
		d.leaveService(a, now)
	}
	a.announce = m
	if m.Slots > 0 && a.service == nil {
		s := d.serviceOf(m.Service)
		a.service = s
		a.times = nil
		a.health = limit.Health{}
		s.agents = append(s.agents, a)
		s.health.Add(&a.health)
	}
}

func (d *Dispatcher) leaveService(a *agent, now time.Time) {
	s := a.service
	if s == nil {
		return
	}
	a.service = nil
	s.health.Remove(&a.health)
	for i, o := range s.agents {
		if o == a {
			s.agents = append(s.agents[:i], s.agents[i+1:]...)
			break
		}
	}
	d.recallUnsent(a)
	if !s.served() {
		s.unservedSince = now
	}
}

// recallUnsent queues the tasks again that are assigned to a, of which no byte
// was sent.
func (d *Dispatcher) recallUnsent(a *agent) {
	a.each(func(t *task) {
		if t.state == taskAssigned {
			d.release(t)
			d.requeue(t)
		}
	})
}

// drain stops new work for an agent.
func (d *Dispatcher) drain(a *agent, now time.Time) {
	if a.draining {
		return
	}
	a.draining = true
	d.cfg.Logger.Log(event.AgentDraining, "agent", a.id, "in_flight", a.inFlight)
	d.recallUnsent(a)
	if a.service != nil && !a.service.served() {
		a.service.unservedSince = now
	}
}

// checkAgent acts on the timers of an agent.
func (d *Dispatcher) checkAgent(a *agent, now time.Time) {
	if a.session == nil {
		if now.Sub(a.lostAt) >= reconnectTime {
			d.forget(a, now)
		}
		return
	}
	a.session.keepAlive(now)
	a.each(func(t *task) {
		if t.state == taskLost && now.Sub(t.lostAt) >= settleLimit {
			d.unsettled(t, now)
		}
	})
	d.checkOverdue(a, now)
}

// forget gives up an agent that has no connection. Its tasks may have run.
func (d *Dispatcher) forget(a *agent, now time.Time) {
	if d.agents[a.id] == a {
		delete(d.agents, a.id)
	}
	d.cfg.Logger.Log(event.AgentLost, "agent", a.id, "in_flight", a.inFlight)
	s := a.service
	d.leaveService(a, now)
	a.each(func(t *task) { d.unsettled(t, now) })
	if s != nil {
		d.schedule(s, now)
	}
}

// unsettled decides a task about whose start nothing can be found out.
func (d *Dispatcher) unsettled(t *task, now time.Time) {
	d.metrics.unsettled.Inc()
	d.taskFailed(t, errkind.New(errkind.AgentLost, "agent %s was lost", t.agent.id), now)
}
