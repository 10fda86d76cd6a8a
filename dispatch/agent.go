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

// Timeouts and backoff of agents.
const (
	// reconnectTimeout is how long the tasks of a disconnected agent stay
	// unsettled before they fail. An agent detects a dead connection at the latest
	// after the transport's idle timeout of 2 s, and then dials again.
	reconnectTimeout = 2 * time.Second
	// settleTimeout bounds the time from a failed connection to the outcome of its
	// tasks, for an agent whose new connections fail before anything is settled.
	settleTimeout = 4 * time.Second
	// loadMaxAge is the age at which the reported load of other home entries is no
	// longer counted. Agents report it with each result and with the heartbeat
	// every second, so it rarely gets that old.
	loadMaxAge = 10 * time.Second
	// minBackoff and maxBackoffDoublings bound the exponential backoff after an
	// agent refused tasks; without it the agent would get them again immediately.
	minBackoff          = 5 * time.Millisecond
	maxBackoffDoublings = 6
)

// otherLoadMargin is the share of the reported load of other home entries that is
// counted on top of it at messages_over_response 1. With a share of 1, an entry
// that shares its agents with others found no free slot at 95% load.
const otherLoadMargin = 0.25

// agent is one incarnation of an agent. It is guarded by Dispatcher.mu.
type agent struct {
	id             ids.Incarnation
	hello          wire.Hello
	session        *session // newest connection; nil while disconnected
	disconnectedAt time.Time
	service        *service // nil while no endpoint is announced
	announce       wire.Announce
	draining       bool

	// oldest and newest are the ends of the doubly linked list of tasks with a
	// ref at this agent, ordered by checkedAt.
	oldest, newest *task
	inFlight       int

	otherLoad           int // tasks of other home entries, as of loadReportedAt
	loadReportedAt      time.Time
	consecutiveRefusals int
	backoffUntil        time.Time
	health              limit.Health
	runTimes            []balance.EndpointRunTimes // by kind.index
}

// available reports whether the agent can be given tasks, apart from its load.
func (a *agent) available() bool { return a.session != nil && !a.draining && a.service != nil }

func (a *agent) status(now time.Time) EndpointStatus {
	return EndpointStatus{
		Agent: a.id, Service: a.service.name, Worker: a.hello.Worker, Rack: a.hello.Rack,
		DataCentre: a.hello.DataCentre, Region: a.hello.Region, Slots: int(a.announce.Slots),
		InFlight: a.inFlight, Draining: a.draining, Ejected: a.health.State(now) == limit.Ejected,
	}
}

// estimatedLoad returns the number of tasks at the agent, including those of
// other home entries. The latter are known as of the last report only, and their
// weight decays linearly with its age. messagesOverResponse, from 0 to 1, adds a
// margin to them: fewer tasks are refused and more slots stay idle.
func (a *agent) estimatedLoad(now time.Time, messagesOverResponse float64) int {
	age := now.Sub(a.loadReportedAt)
	if a.otherLoad == 0 || age >= loadMaxAge {
		return a.inFlight
	}
	return a.inFlight + int((1+otherLoadMargin*min(messagesOverResponse, 1))*float64(a.otherLoad)*float64(loadMaxAge-age)/float64(loadMaxAge)+0.5)
}

func (a *agent) recordLoad(load wire.Load, now time.Time) {
	a.otherLoad = max(int(load.Running+load.Queued)-a.inFlight, 0)
	a.loadReportedAt = now
}

// oldestTaskAge returns the time since the oldest task was sent to the agent.
func (a *agent) oldestTaskAge(now time.Time) time.Duration {
	if a.oldest == nil || a.oldest.sentAt.IsZero() {
		return 0
	}
	return now.Sub(a.oldest.sentAt)
}

func (a *agent) runTimesFor(k *kind) *balance.EndpointRunTimes {
	for len(a.runTimes) <= k.index {
		a.runTimes = append(a.runTimes, balance.EndpointRunTimes{})
	}
	return &a.runTimes[k.index]
}

// fits reports whether the worker has the demanded resources. A worker that
// announced no capacity is assumed to fit any demand.
func (a *agent) fits(demand wire.Resources) bool {
	return a.announce.Capacity == (wire.Resources{}) || demand.Fits(a.announce.Capacity)
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

// forEachTask calls f for every task with a ref at the agent. f may release the
// task and, by aborting its job, other tasks; those are then skipped.
func (a *agent) forEachTask(f func(*task)) {
	type attempt struct {
		t   *task
		ref uint64
	}
	attempts := make([]attempt, 0, a.inFlight)
	for t := a.oldest; t != nil; t = t.next {
		attempts = append(attempts, attempt{t, t.ref})
	}
	for _, at := range attempts {
		if at.t.ref == at.ref {
			f(at.t)
		}
	}
}

// assign puts a queued task into the outbox of an agent's session.
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

// release invalidates the ref of t and removes t from its agent's tasks.
func (d *Dispatcher) release(t *task) {
	if t.ref == 0 {
		return
	}
	delete(d.refs, t.ref)
	t.agent.removeTask(t)
	t.ref = 0
}

// handleAnnounce updates the endpoint of an agent. Outdated revisions are
// ignored.
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
		s.health.Add(&a.health)
	}
}

func (d *Dispatcher) removeFromService(a *agent, now time.Time) {
	s := a.service
	if s == nil {
		return
	}
	a.service = nil
	s.health.Remove(&a.health)
	for i, other := range s.agents {
		if other == a {
			s.agents = append(s.agents[:i], s.agents[i+1:]...)
			break
		}
	}
	d.requeueUnsent(a)
	if !s.available() {
		s.unavailableSince = now
	}
}

// requeueUnsent queues again the tasks that are assigned to a but not yet sent.
func (d *Dispatcher) requeueUnsent(a *agent) {
	a.forEachTask(func(t *task) {
		if t.state == taskAssigned {
			d.release(t)
			d.requeue(t)
		}
	})
}

// drainAgent marks an agent as draining, so that it gets no new tasks.
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

// checkAgentTimers applies the timeouts of an agent and of its tasks.
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

// removeAgent removes a disconnected agent. Its tasks fail as may_have_run.
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

// failUnsettled fails a task of which it can't be found out whether it started.
func (d *Dispatcher) failUnsettled(t *task, now time.Time) {
	d.metrics.unsettled.Inc()
	d.handleFailure(t, errkind.New(errkind.AgentLost, "agent %s was lost before the task was settled", t.agent.id), now)
}
