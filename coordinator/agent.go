package coordinator

import (
	"time"

	"oriolerelay/event"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// Sender sends a message to an agent without blocking for long. An error means
// that the connection has ended.
type Sender func(m wire.Message) error

// agent is what this entry knows of an agent and its endpoint.
type agent struct {
	name       string
	connection uint64 // number of the connection, so that an old one's end is ignored
	send       Sender // nil while not connected
	heard      time.Time
	sentAt     time.Time
	profile    *wire.Profile
	status     wire.Status
	ordered    uint64 // runs ordered on this connection
	tasks      map[string]*task
	silent     bool
	distrusted bool
	trial      time.Time // when the last trial task was ordered
	passed     int       // trial tasks that ended well since the last one that failed
	stops      []wire.Run
	notes      []wire.Run // ends that the agent need not keep
}

// Connected takes a connection from the agent on the named host. The returned
// number identifies it.
func (c *Coordinator) Connected(name string, send Sender) (connection uint64) {
	c.loop.Do(func() {
		now := time.Now()
		a := c.agents[name]
		if a == nil {
			a = &agent{name: name, tasks: make(map[string]*task)}
			c.agents[name] = a
		}
		a.connection++
		connection = a.connection
		a.send, a.heard, a.ordered, a.stops = send, now, 0, nil
		a.status = wire.Status{ClosedReason: wire.RejectUnreachable} // until it says more
		c.cfg.Log.Log(event.AgentConnected, "agent", name, "connection", connection, "runs", len(a.tasks))
		c.sendTo(a, a.claim(), now)
		c.tellEmptied(a, now)
		if c.leaving {
			c.sendTo(a, &wire.EntryDraining{}, now)
		}
	})
	return connection
}

// claim lists the runs that were ordered from a.
func (a *agent) claim() *wire.Claim {
	m := &wire.Claim{}
	for _, t := range a.tasks {
		t.sequence = 0
		group := t.orderGroup()
		group.Runs = []wire.Run{t.runID()}
		m.Groups = append(m.Groups, group)
	}
	return m
}

// Disconnected takes note of the end of a connection.
func (c *Coordinator) Disconnected(name string, connection uint64) {
	c.loop.Post(func() {
		a := c.agents[name]
		if a == nil || a.connection != connection {
			return
		}
		a.send = nil
		c.cfg.Log.Log(event.AgentDisconnected, "agent", name, "connection", connection, "runs", len(a.tasks),
			"heard_ms_ago", time.Since(a.heard).Milliseconds())
	})
}

// Handle takes a message of an agent.
func (c *Coordinator) Handle(name string, connection uint64, m wire.Message) {
	c.loop.Post(func() {
		a := c.agents[name]
		if a == nil || a.connection != connection {
			return
		}
		now := time.Now()
		a.heard = now
		if a.silent {
			a.silent = false
			c.cfg.Log.Log(event.AgentStateChanged, "agent", name, "silent", false)
		}
		switch m := m.(type) {
		case *wire.Status:
			c.takeStatus(a, m)
		case *wire.Reports:
			if m.Status != nil {
				c.takeStatus(a, m.Status)
			}
			for _, r := range m.Reports {
				c.takeReport(a, r, now)
			}
		}
	})
}

func (c *Coordinator) takeStatus(a *agent, s *wire.Status) {
	if s.Profile != nil {
		a.profile = s.Profile
		c.cfg.Log.Log(event.AgentStateChanged, "agent", a.name, "instance", s.Profile.Instance, "service", s.Profile.Service,
			"millicores", s.Profile.Capacity.MilliCores)
	}
	if s.ClosedReason != a.status.ClosedReason {
		c.cfg.Log.Log(event.AgentStateChanged, "agent", a.name, "closed", s.ClosedReason)
	}
	a.status = *s
	if d := c.cfg.Policy.Distrust(a.distrusted, a.failedShare()); d != a.distrusted {
		a.distrusted, a.passed = d, 0
		c.cfg.Log.Log(event.AgentStateChanged, "agent", a.name, "distrusted", a.distrusted, "failed_share", a.failedShare())
	}
	c.replan = true
}

// mayTry reports whether an endpoint that is not trusted may get a trial task.
func (a *agent) mayTry(now time.Time, interval time.Duration) bool {
	return len(a.tasks) < policy.TrialTasks(a.passed) && (a.passed > 0 || now.Sub(a.trial) >= interval)
}

// failedShare is the share of the endpoint's last runs that failed.
func (a *agent) failedShare() float64 { return float64(a.status.FailedPermille) / 1000 }

func (c *Coordinator) takeReport(a *agent, r wire.Report, now time.Time) {
	t := a.tasks[r.Run.Task]
	if t == nil || t.number != r.Run.Number {
		c.strayReport(a, r)
		return
	}
	switch r.State {
	case wire.RunStarted:
		if t.state == taskOrdered {
			t.state = taskRunning
		}
	case wire.RunDone:
		c.done(t, now)
	case wire.RunFailed:
		c.failed(t, now)
	case wire.RunRejected:
		c.rejected(t, r.Reason)
	case wire.RunStopped:
		c.again(t, "stopped")
	case wire.RunLost:
		c.again(t, "lost")
	case wire.RunSlow:
		c.straggles(t, r, now)
	}
}

func (c *Coordinator) rejected(t *task, reason wire.RejectReason) {
	switch reason {
	case wire.RejectOldRun:
		t.number += oldRunStep
	case wire.RejectInvalid:
		c.failed(t, time.Now())
		return
	case wire.RejectUnreachable, wire.RejectStartUnanswered:
		t.avoid = append(t.avoid, t.agent)
	}
	c.again(t, reason.String())
}

// straggles decides what to do with a slow run.
func (c *Coordinator) straggles(t *task, r wire.Report, now time.Time) {
	if t.state != taskRunning && t.state != taskOrdered {
		return // it is stopped already
	}
	remaining := time.Duration(r.RemainingMillis) * time.Millisecond
	endpoints, agents := c.snapshot(&t.job.spec.Queue, now)
	pt := c.placementTask(t, agents, now)
	here := indexOf(agents, t.agent)
	if here < 0 {
		return
	}
	pt.Avoid = append(pt.Avoid, here)
	if r.TotalMillis > 0 {
		// The run time so far tells more of the task's work than the declared one.
		total := time.Duration(r.TotalMillis) * time.Millisecond
		pt.Declared = time.Duration(float64(total) / endpoints[here].Slowness)
	}
	choice, ok := c.cfg.Policy.ChooseEndpoint(endpoints, pt, 0)
	if !ok || agents[choice.Index] == t.agent {
		return
	}
	s := policy.Straggler{Remaining: remaining, Elsewhere: choice.RunTime, Budget: pt.Budget}
	if !c.cfg.Policy.Move(s) {
		return
	}
	c.cfg.Metrics.moved.Inc()
	c.cfg.Log.Log(event.TaskMoved, "task", t.name, "run", t.number, "agent", t.agent.name,
		"remaining_ms", remaining.Milliseconds(), "elsewhere_ms", choice.RunTime.Milliseconds(),
		"budget_ms", pt.Budget.Milliseconds())
	t.job.moves++
	t.state = taskStopping
	t.avoid = append(t.avoid, t.agent)
	c.stopRun(t)
}

// stopRun asks the agent of t to stop its run.
func (c *Coordinator) stopRun(t *task) { t.agent.stops = append(t.agent.stops, t.runID()) }

// checkAgents notices silent agents and gives up the runs that ended with them.
func (c *Coordinator) checkAgents(now time.Time) {
	for name, a := range c.agents {
		silence := now.Sub(a.heard)
		if !a.silent && silence > c.cfg.Timing.AgentSilence {
			a.silent, c.replan = true, true
			c.cfg.Log.Log(event.AgentSuspect, "agent", name, "silent_ms", silence.Milliseconds(), "runs", len(a.tasks))
		}
		if silence > c.cfg.Timing.OrphanEnd {
			c.loseRuns(a)
			if a.send == nil {
				delete(c.agents, name)
			}
			continue
		}
		if a.send != nil && len(a.tasks) > 0 && now.Sub(a.sentAt) > c.cfg.Timing.Heartbeat {
			c.sendTo(a, &wire.Heartbeat{}, now)
		}
	}
}

// loseRuns gives up the runs on an agent that has been silent so long that they
// have ended.
func (c *Coordinator) loseRuns(a *agent) {
	if len(a.tasks) == 0 {
		return
	}
	c.cfg.Log.Log(event.AgentRunsLost, "agent", a.name, "runs", len(a.tasks), "silent_ms", time.Since(a.heard).Milliseconds())
	for _, t := range a.tasks {
		if t.job.stored != nil {
			t.held = time.Now().Add(storedHold)
		}
		c.again(t, "agent lost")
	}
}

func (c *Coordinator) sendTo(a *agent, m wire.Message, now time.Time) {
	if a.send == nil {
		return
	}
	a.sentAt = now
	if err := a.send(m); err != nil {
		c.cfg.Log.Log(event.AgentDisconnected, "agent", a.name, "connection", a.connection, "error", err)
		a.send = nil
	}
}
