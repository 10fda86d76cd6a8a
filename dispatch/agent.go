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
	// reconnectTimeout is how long the tasks of an agent without a connection stay
	// unsettled. An agent notices a dead connection within the transport's idle
	// timeout of 2 s, or at once, and dials again.
	reconnectTimeout = 2 * time.Second
	// settleTimeout bounds the time from a lost connection to an outcome, for an
	// agent whose connections fail again before they settle anything.
	settleTimeout = 4 * time.Second
	// loadMaxAge is the age at which the load that an agent reported for other
	// homes is no longer counted. An agent reports it with each result, and with
	// its heartbeat every second otherwise, so that it is rarely that old.
	loadMaxAge = 10 * time.Second
	// minBackoff and maxBackoffDoublings bound the pause after refusals by an
	// agent, which would otherwise be offered the task again at once.
	minBackoff          = 5 * time.Millisecond
	maxBackoffDoublings = 6
)

// otherLoadMargin is the part of the reported load of other homes that is counted
// in addition at messages_over_response 1. Twice the load made a home with
// others beside it find no free slot at 95% load.
const otherLoadMargin = 0.25

// agent is one incarnation of an agent. The dispatcher's lock guards it.
type agent struct {
	id             ids.Incarnation
	hello          wire.Hello
	session        *session // newest; nil while there is no connection
	disconnectedAt time.Time
	service        *service // nil while no endpoint is announced
	announce       wire.Announce
	draining       bool

	// oldest and newest are the ends of the list of tasks with a ref, ordered
	// by their last sign of life.
	oldest, newest *task
	inFlight       int

	otherLoad           int // tasks of other homes, as of loadAt
	loadReportedAt      time.Time
	consecutiveRefusals int // consecutive
	backoffUntil        time.Time
	health              limit.Health
	runTimes            []balance.EndpointTimes // by kind.index
}

// available reports whether the agent can be given tasks at all.
func (a *agent) available() bool { return a.session != nil && !a.draining && a.service != nil }

func (a *agent) status(now time.Time) EndpointStatus {
	return EndpointStatus{
		Agent: a.id, Service: a.service.name, Worker: a.hello.Worker, Rack: a.hello.Rack,
		DataCentre: a.hello.DataCentre, Region: a.hello.Region, Slots: int(a.announce.Slots),
		InFlight: a.inFlight, Draining: a.draining, Ejected: a.health.State(now) == limit.Ejected,
	}
}

// estimatedLoad returns the tasks at the agent, including those of other homes. The
// latter are known as of the last message only; caution, from 0 to 1, counts more
// of them, so that fewer tasks are refused and more slots stay idle.
func (a *agent) estimatedLoad(now time.Time, caution float64) int {
	age := now.Sub(a.loadReportedAt)
	if a.otherLoad == 0 || age >= loadMaxAge {
		return a.inFlight
	}
	return a.inFlight + int((1+otherLoadMargin*min(caution, 1))*float64(a.otherLoad)*float64(loadMaxAge-age)/float64(loadMaxAge)+0.5)
}

func (a *agent) recordLoad(l wire.Load, now time.Time) {
	a.otherLoad = max(int(l.Running+l.Queued)-a.inFlight, 0)
	a.loadReportedAt = now
}

// oldestTaskAge returns the age of the oldest task at the agent.
func (a *agent) oldestTaskAge(now time.Time) time.Duration {
	if a.oldest == nil || a.oldest.sentAt.IsZero() {
		return 0
	}
	return now.Sub(a.oldest.sentAt)
}

func (a *agent) runTimesFor(k *kind) *balance.EndpointTimes {
	for len(a.runTimes) <= k.index {
		a.runTimes = append(a.runTimes, balance.EndpointTimes{})
	}
	return &a.runTimes[k.index]
}

// fits reports whether the worker has the demanded resources. A worker that
// announced no capacity at all is not known to be too small.
func (a *agent) fits(r wire.Resources) bool {
	return a.announce.Capacity == (wire.Resources{}) || r.Fits(a.announce.Capacity)
}

func (a *agent) addTask(t *task) {
	t.prev, t.next = a.newest, nil
	if a.newest != nil {
		a.newest.next = t
	} else {
		a.oldest = t
	}
	a.newest = t
	a.inFlight++
}

func (a *agent) removeTask(t *task) {
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

// forEachTask calls f for every task with a ref at the agent. f may release the task
// and, by giving up its job, other tasks; those are left out.
func (a *agent) forEachTask(f func(*task)) {
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
	t.sentAt, t.unsettledSince = time.Time{}, time.Time{}
	d.refs[t.ref] = t
	a.addTask(t)
	a.session.outbox = append(a.session.outbox, t)
	a.session.wakeSender()
}

// release ends the occupation of a place at an agent by t.
func (d *Dispatcher) release(t *task) {
	if t.ref == 0 {
		return
	}
	delete(d.refs, t.ref)
	t.agent.removeTask(t)
	t.ref = 0
}

// handleAnnounce takes over the state of the endpoint beside an agent.
func (d *Dispatcher) handleAnnounce(a *agent, m wire.Announce, now time.Time) {
	if m.Revision < a.announce.Revision {
		return
	}
	if a.service != nil && (m.Slots == 0 || m.Service != a.service.name) {
		d.removeFromService(a, now)
	}
	a.announce = m
	if m.Slots > 0 && a.service == nil {
		s := d.getOrCreateService(m.Service)
		a.service = s
		a.runTimes = nil
		a.health = limit.Health{}
		s.agents = append(s.agents, a)
		s.health.Join(&a.health)
	}
}

func (d *Dispatcher) removeFromService(a *agent, now time.Time) {
	s := a.service
	if s == nil {
		return
	}
	a.service = nil
	s.health.Leave(&a.health)
	for i, o := range s.agents {
		if o == a {
			s.agents = append(s.agents[:i], s.agents[i+1:]...)
			break
		}
	}
	d.requeueUnsent(a)
	if !s.available() {
		s.unavailableSince = now
	}
}

// requeueUnsent queues the tasks again that are assigned to a, of which no byte
// was sent.
func (d *Dispatcher) requeueUnsent(a *agent) {
	a.forEachTask(func(t *task) {
		if t.state == taskAssigned {
			d.release(t)
			d.requeue(t)
		}
	})
}

// drainAgent stops new work for an agent.
func (d *Dispatcher) drainAgent(a *agent, now time.Time) {
	if a.draining {
		return
	}
	a.draining = true
	d.cfg.Logger.Log(event.AgentDraining, "agent", a.id, "in_flight", a.inFlight)
	d.requeueUnsent(a)
	if a.service != nil && !a.service.available() {
		a.service.unavailableSince = now
	}
}

// checkAgentTimers acts on the timers of an agent.
func (d *Dispatcher) checkAgentTimers(a *agent, now time.Time) {
	if a.session == nil {
		if now.Sub(a.disconnectedAt) >= reconnectTimeout {
			d.removeAgent(a, now)
		}
		return
	}
	a.session.keepAlive(now)
	a.forEachTask(func(t *task) {
		if t.state == taskUnsettled && now.Sub(t.unsettledSince) >= settleTimeout {
			d.failUnsettled(t, now)
		}
	})
	d.settleOverdue(a, now)
}

// removeAgent gives up an agent that has no connection. Its tasks may have run.
func (d *Dispatcher) removeAgent(a *agent, now time.Time) {
	if d.agents[a.id] == a {
		delete(d.agents, a.id)
	}
	d.cfg.Logger.Log(event.AgentLost, "agent", a.id, "in_flight", a.inFlight)
	s := a.service
	d.removeFromService(a, now)
	a.forEachTask(func(t *task) { d.failUnsettled(t, now) })
	if s != nil {
		d.schedule(s, now)
	}
}

// failUnsettled decides a task about whose start nothing can be found out.
func (d *Dispatcher) failUnsettled(t *task, now time.Time) {
	d.metrics.unsettled.Inc()
	d.handleFailure(t, errkind.New(errkind.AgentLost, "agent %s was lost", t.agent.id), now)
}
