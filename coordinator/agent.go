package coordinator

import (
	"time"

	"oriolerelay/event"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// Sender sends a message to an agent without blocking for long. An error means that the
// connection has ended.
type Sender func(m wire.Message) error

// agent is what this entry knows of an agent and its endpoint.
type agent struct {
	name            string
	connection      uint64 // number of the connection; calls for an older one are ignored
	send            Sender // nil while not connected
	lastReceived    time.Time
	lastEchoed      time.Time // when its clock was last returned to it
	profile         *wire.Profile
	status          wire.Status
	orderCount      uint64 // runs ordered on this connection
	tasks           map[string]*task
	suspect         bool // no message was received for SuspectTimeout
	onProbation     bool
	lastTrial       time.Time // when the last trial task was ordered
	otherTrialUntil time.Time // end of the trial of another entry's job at its endpoint
	trialSuccesses  int       // trial tasks that succeeded since the last failure
	pendingStops    []wire.Run
	pendingConfirms []wire.Run // runs whose ends are recorded and are to be confirmed
}

// Connected registers a connection from the agent on the named host. The returned number
// identifies the connection.
func (c *Coordinator) Connected(name string, send Sender) (connection uint64) {
	c.loop.Do(func() {
		now := time.Now()
		a := c.agents[name]
		if a == nil {
			a = &agent{name: name, tasks: make(map[string]*task)}
			c.agents[name] = a
		}
		c.lastConnection++
		a.connection, connection = c.lastConnection, c.lastConnection
		a.send, a.lastReceived, a.orderCount, a.pendingStops = send, now, 0, nil
		a.status = wire.Status{ClosedReason: wire.RejectUnreachable} // until its first status
		c.cfg.Log.Log(event.AgentConnected, "agent", name, "connection", connection, "runs", len(a.tasks))
		c.sendTo(a, c.expectedRuns(a))
		c.sendEvacuated(a)
		if c.draining {
			c.sendTo(a, &wire.EntryDraining{})
		}
	})
	return connection
}

// expectedRuns returns a claim that lists the runs which this entry believes to be at a. Those
// that are being stopped are listed as well, so that a reports their ends, and are stopped again.
func (c *Coordinator) expectedRuns(a *agent) *wire.Claim {
	m := &wire.Claim{}
	add := func(t *task) {
		group := t.orderGroup()
		group.Payload, group.Trace = "", "" // the agent starts none of these runs
		if last := len(m.Groups) - 1; last >= 0 && m.Groups[last].EqualExceptRuns(&group) {
			m.Groups[last].Runs = append(m.Groups[last].Runs, t.runID())
			return
		}
		group.Runs = []wire.Run{t.runID()}
		m.Groups = append(m.Groups, group)
	}
	for _, t := range a.tasks {
		t.orderSequence = 0
		add(t)
	}
	for _, s := range c.stopping {
		if s.agent == a {
			add(s.task)
			a.pendingStops = append(a.pendingStops, s.task.runID())
		}
	}
	return m
}

// Disconnected handles the end of a connection.
func (c *Coordinator) Disconnected(name string, connection uint64) {
	c.loop.Post(func() {
		a := c.agents[name]
		if a == nil || a.connection != connection {
			return
		}
		a.send = nil
		c.cfg.Log.Log(event.AgentDisconnected, "agent", name, "connection", connection, "runs", len(a.tasks),
			"heard_ms_ago", time.Since(a.lastReceived).Milliseconds())
	})
}

// Handle processes a message from an agent.
func (c *Coordinator) Handle(name string, connection uint64, m wire.Message) {
	c.loop.Post(func() {
		a := c.agents[name]
		if a == nil || a.connection != connection {
			return
		}
		now := time.Now()
		a.lastReceived = now
		if a.suspect {
			a.suspect = false
			c.cfg.Log.Log(event.AgentStateChanged, "agent", name, "silent", false)
		}
		switch m := m.(type) {
		case *wire.Status:
			c.handleStatus(a, m)
		case *wire.Reports:
			if m.Status != nil {
				c.handleStatus(a, m.Status)
			}
			for _, r := range m.Reports {
				c.handleReport(a, r, now)
			}
		}
	})
}

func (c *Coordinator) handleStatus(a *agent, s *wire.Status) {
	if s.Profile != nil {
		a.profile = s.Profile
		c.cfg.Log.Log(event.AgentStateChanged, "agent", a.name, "instance", s.Profile.Instance, "service", s.Profile.Service,
			"millicores", s.Profile.Capacity.MilliCores)
	}
	if s.ClosedReason != a.status.ClosedReason {
		c.cfg.Log.Log(event.AgentStateChanged, "agent", a.name, "closed", s.ClosedReason)
	}
	a.status = *s
	if d := c.cfg.Policy.OnProbation(a.onProbation, a.failedShare()); d != a.onProbation {
		a.onProbation, a.trialSuccesses = d, 0
		c.cfg.Log.Log(event.AgentStateChanged, "agent", a.name, "distrusted", a.onProbation, "failed_share", a.failedShare())
	}
	c.replan = true
	c.handleCrashes(a, s.Crashes, time.Now())
}

// mayRunTrial reports whether an endpoint on probation may get a trial task now.
func (a *agent) mayRunTrial(now time.Time, interval time.Duration) bool {
	return len(a.tasks) < policy.TrialTasks(a.trialSuccesses) && (a.trialSuccesses > 0 || now.Sub(a.lastTrial) >= interval)
}

// failedShare returns the share of the endpoint's latest runs that failed.
func (a *agent) failedShare() float64 { return float64(a.status.FailedPermille) / 1000 }

func (c *Coordinator) handleReport(a *agent, r wire.Report, now time.Time) {
	t := a.tasks[r.Run.Task]
	if t == nil || t.runNumber != r.Run.Number {
		c.runStopped(a, r)
		c.handleUnclaimedEnd(a, r)
		return
	}
	if t.job.stored != nil && r.State != wire.RunRejected && r.State != wire.RunLost {
		c.startedJobs.Store(t.job.spec.ID, struct{}{})
	}
	switch r.State {
	case wire.RunStarted:
		if t.state == taskOrdered {
			t.state = taskRunning
		}
	case wire.RunDone:
		c.handleDone(t, now)
	case wire.RunFailed:
		c.handleFailed(t, now)
	case wire.RunRejected:
		if r.Reason == wire.RejectTrial {
			a.otherTrialUntil = now.Add(time.Duration(r.RemainingMillis) * time.Millisecond)
		}
		c.handleRejected(t, r.Reason)
	case wire.RunStopped:
		c.requeue(t, "stopped")
	case wire.RunLost:
		c.requeue(t, "lost")
	case wire.RunSlow:
		c.handleSlow(t, r, now)
	}
}

func (c *Coordinator) handleRejected(t *task, reason wire.RejectReason) {
	switch reason {
	case wire.RejectTrial:
		t.runNumber-- // no start was sent; an owner has few numbers
	case wire.RejectOldRun:
		t.runNumber += runNumberSkip
	case wire.RejectInvalid:
		c.handleFailed(t, time.Now())
		return
	case wire.RejectUnreachable, wire.RejectStartUnanswered:
		t.avoid = append(t.avoid, t.agent)
	}
	c.requeue(t, reason.String())
}

// handleSlow decides whether a slow run is moved to another endpoint.
func (c *Coordinator) handleSlow(t *task, r wire.Report, now time.Time) {
	if t.state != taskRunning && t.state != taskOrdered {
		return // the run is already being stopped
	}
	remaining := time.Duration(r.RemainingMillis) * time.Millisecond
	endpoints, agents := c.snapshot(t.job.spec.Queue.Service, now)
	pt := c.policyTask(t, endpoints, agents, now)
	here := indexOf(agents, t.agent)
	if here < 0 {
		return
	}
	pt.Avoid = append(pt.Avoid, here)
	if r.TotalMillis > 0 {
		// The agent's estimate is more accurate than the declared run time.
		total := time.Duration(r.TotalMillis) * time.Millisecond
		pt.DeclaredRunTime = time.Duration(float64(total) / endpoints[here].Slowness)
	}
	choice, ok := c.cfg.Policy.ChooseEndpoint(endpoints, pt, 0)
	if !ok || agents[choice.Index] == t.agent {
		return
	}
	s := policy.Straggler{Remaining: remaining, RunTimeElsewhere: choice.RunTime, Budget: pt.Budget}
	if !c.cfg.Policy.ShouldMove(s) {
		return
	}
	c.cfg.Metrics.moved.Inc()
	c.cfg.Log.Log(event.TaskMoved, "task", t.name, "run", t.runNumber, "agent", t.agent.name,
		"remaining_ms", remaining.Milliseconds(), "elsewhere_ms", choice.RunTime.Milliseconds(),
		"budget_ms", pt.Budget.Milliseconds())
	t.job.moves++
	t.state = taskStopping
	t.avoid = append(t.avoid, t.agent)
	c.stopRun(t)
}

// stopRun queues a request to the agent of t to stop its run.
func (c *Coordinator) stopRun(t *task) {
	t.agent.pendingStops = append(t.agent.pendingStops, t.runID())
}

// checkAgents marks agents as suspect, requeues the tasks of runs that must have ended, and sends
// heartbeats.
func (c *Coordinator) checkAgents(now time.Time) {
	for name, a := range c.agents {
		sinceReceived := now.Sub(a.lastReceived)
		if !a.suspect && sinceReceived > c.cfg.Timing.SuspectTimeout {
			a.suspect, c.replan = true, true
			c.cfg.Log.Log(event.AgentSuspect, "agent", name, "silent_ms", sinceReceived.Milliseconds(), "runs", len(a.tasks))
		}
		if sinceReceived > c.cfg.Timing.OrphanTimeout {
			c.requeueLostRuns(a)
			c.forgetStoppingRuns(a)
			if a.send == nil {
				delete(c.agents, name)
				c.agentLostAt = now
			}
			continue
		}
		// Agents of versions that do not look at the clock count any message as a sign of life.
		if a.send != nil && !a.suspect && len(a.tasks) > 0 && now.Sub(a.lastEchoed) > c.cfg.Timing.HeartbeatInterval {
			a.lastEchoed = now
			c.sendTo(a, &wire.Heartbeat{StatusClockMillis: a.status.ClockMillis})
		}
	}
}

// requeueLostRuns requeues the tasks on an agent from which no message was received for so long
// that its runs must have ended.
func (c *Coordinator) requeueLostRuns(a *agent) {
	if len(a.tasks) == 0 {
		return
	}
	c.cfg.Log.Log(event.AgentRunsLost, "agent", a.name, "runs", len(a.tasks), "silent_ms", time.Since(a.lastReceived).Milliseconds())
	for _, t := range a.tasks {
		if t.job.stored != nil {
			t.holdUntil = time.Now().Add(storedRetryHold)
		}
		c.requeue(t, "agent lost")
	}
}

func (c *Coordinator) sendTo(a *agent, m wire.Message) {
	if a.send == nil {
		return
	}
	if err := a.send(m); err != nil {
		c.cfg.Log.Log(event.AgentDisconnected, "agent", a.name, "connection", a.connection, "error", err)
		a.send = nil
	}
}
