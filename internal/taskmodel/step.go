package taskmodel

// advance advances the time by a step. Messages that can be delivered have been.
func (m *model) advance(s *state) {
	for a := range s.endpoints {
		if e := &s.endpoints[a]; e.run != 0 {
			if e.lease--; e.lease == 0 {
				e.run = 0
			}
		}
	}
	m.grow(s)
	for i := range uint8(numEntries) {
		for j := range uint8(numEntries) {
			if i != j {
				m.exchange(s, i, j, &s.forwards[i][j])
			}
		}
		for a := range uint8(numAgents) {
			if m.serves(a, i) {
				m.exchange(s, i, agentProc(a), &s.orders[i][a])
			}
		}
	}
	for p := range uint8(numProcs) {
		if s.alive(p) {
			m.checkTimeouts(s, p)
		}
	}
}

// grow lets all ages grow by a step.
func (m *model) grow(s *state) {
	b := &m.bounds
	growQueue := func(q *[queueSize]message, limit age) {
		for i := range q {
			if q[i].kind != noMessage {
				q[i].echo.grow(limit)
			}
		}
	}
	growConn := func(c *conn, heardLimit, statusLimit age) {
		c.heard.grow(heardLimit)
		c.statusAge.grow(statusLimit + 1)
		c.silence.grow(b.idleTimeout)
		growQueue(&c.toPeer, statusLimit+1)
		growQueue(&c.toEntry, 0)
	}
	for i := range s.entries {
		e := &s.entries[i]
		e.rejected = false
		for j := range s.entries {
			if e.waiters&(1<<j) != 0 && i != j {
				e.forwarderHeard[j].grow(b.peerTimeout)
				e.echoAges[j].grow(b.maxForwarderAge + 1)
			}
			if i != j {
				growConn(&s.forwards[i][j], b.idleTimeout, b.maxForwarderAge)
			}
		}
		for a := range s.agents {
			growConn(&s.orders[i][a], b.orphanTimeout, b.maxOrderAge)
		}
	}
	for a := range s.agents {
		if x := &s.agents[a]; x.run != 0 {
			x.heard.grow(b.entryTimeout + 1 + b.lease)
			x.echo.grow(b.maxOrderAge + 1 + b.lease)
			x.adoptIn -= min(x.adoptIn, 1)
		}
	}
	s.caller.resendIn -= min(s.caller.resendIn, 1)
}

// exchange exchanges the status of a process and the heartbeat of an entry with interest in it.
// Statuses arrive first, since they are more frequent.
func (m *model) exchange(s *state, i, peer uint8, c *conn) {
	if !c.up {
		if s.open(i, peer) && s.open(peer, i) && s.alive(i) && s.alive(peer) {
			m.connect(s, i, peer, c)
		}
		return
	}
	if !s.alive(i) || !s.alive(peer) {
		return
	}
	if s.open(peer, i) {
		c.heard, c.statusAge = 0, 0
	}
	if !s.open(i, peer) {
		return
	}
	c.silence = 0
	e := &s.entries[i]
	if peer < numEntries {
		p := &s.entries[peer]
		if e.request.phase == requestPlaced && e.request.forwardedTo == peer && p.waiters&(1<<i) != 0 {
			p.forwarderHeard[i], p.echoAges[i] = 0, min(p.echoAges[i], c.statusAge)
		}
		return
	}
	x := &s.agents[peer-numEntries]
	if e.task == taskOrdered && !e.stopping && agentProc(e.agent) == peer && c.heard < m.bounds.agentSuspect &&
		x.run != 0 && runOwner(x.run) == i && x.ownerIncarnation == e.incarnation {
		x.heard, x.echo = 0, min(x.echo, c.statusAge)
	}
}

// connect opens a connection, on which an entry first sends an agent its claim.
func (m *model) connect(s *state, i, peer uint8, c *conn) {
	*c = conn{up: true}
	e := &s.entries[i]
	if peer < numEntries {
		return
	}
	msg := message{kind: claim, incarnation: e.incarnation}
	if (e.task == taskOrdered || e.stopping) && agentProc(e.agent) == peer {
		msg.run = e.run
	}
	push(&c.toPeer, msg)
	if e.stopping && msg.run != 0 {
		push(&c.toPeer, message{kind: stop, run: e.run})
	}
}

// disconnect closes a connection. Messages on their way to a paused process still wait there.
func (m *model) disconnect(s *state, i, peer uint8, c *conn) {
	toPeer, toEntry := c.toPeer, c.toEntry
	*c = conn{heard: c.heard, statusAge: c.statusAge}
	if s.paused&(1<<peer) != 0 && s.open(i, peer) {
		c.toPeer = toPeer
	}
	if s.paused&(1<<i) != 0 && s.open(peer, i) {
		c.toEntry = toEntry
	}
}

// checkTimeouts runs the periodic checks of a process.
func (m *model) checkTimeouts(s *state, p uint8) {
	if p >= numEntries {
		for i := range uint8(numEntries) {
			if c := &s.orders[i][p-numEntries]; c.up && c.silence >= m.bounds.idleTimeout {
				m.disconnect(s, i, p, c)
			}
		}
		m.checkAgent(s, p-numEntries)
		return
	}
	for a := range uint8(numAgents) {
		m.checkConnToAgent(s, p, a)
	}
	for j := range uint8(numEntries) {
		if j != p {
			m.checkForward(s, p, j)
			m.checkForwarder(s, j, p)
		}
	}
}

// checkAgent mirrors executor.Executor.expireEntries, its observations and stopUnclaimedRuns.
func (m *model) checkAgent(s *state, a uint8) {
	x, e := &s.agents[a], &s.endpoints[a]
	if x.run == 0 {
		return
	}
	switch {
	case e.run != x.run:
		m.endRun(s, a)
	case x.stopping, x.inherited && x.adoptIn == 0,
		!x.inherited && (x.heard >= m.bounds.entryTimeout || x.echo >= m.bounds.maxOrderAge):
		m.stopRun(s, a)
	}
	if x.run != 0 && !e.mute {
		e.lease = max(e.lease, m.leaseExtension(x, 0))
	}
}

// leaseExtension mirrors executor.Executor.leaseExtension for a call that is made the given time
// later. The ticks of the agent count as a step.
func (m *model) leaseExtension(x *agent, later age) age {
	b := &m.bounds
	if x.inherited {
		return min(b.lease, x.adoptIn) + later
	}
	latest := min(b.entryTimeout+1+b.lease-x.heard, b.maxOrderAge+1+b.lease-x.echo)
	return min(b.lease+later, latest)
}

// checkConnToAgent mirrors coordinator.Coordinator.checkAgents.
func (m *model) checkConnToAgent(s *state, i, a uint8) {
	e, c := &s.entries[i], &s.orders[i][a]
	if c.up && c.heard >= m.bounds.idleTimeout {
		m.disconnect(s, i, agentProc(a), c)
	}
	if c.heard < m.bounds.orphanTimeout || e.agent != a || e.run == 0 {
		return
	}
	switch {
	case e.stopping:
		e.stopping, e.run = false, 0
	case e.task == taskOrdered:
		e.requeue()
	}
}

// checkForward mirrors router.Router.checkPlacementEntries.
func (m *model) checkForward(s *state, i, j uint8) {
	c, r := &s.forwards[i][j], &s.entries[i].request
	forwarded := r.phase == requestPlaced && r.forwardedTo == j
	if c.up && (forwarded && c.heard >= m.bounds.peerTimeout || c.heard >= m.bounds.idleTimeout) {
		m.disconnect(s, i, j, c)
	}
	if forwarded && !c.up {
		m.answer(s, i, m.bounds.callerResend)
	}
}

// checkForwarder mirrors router.Router.checkForwarders.
func (m *model) checkForwarder(s *state, i, j uint8) {
	e, c := &s.entries[j], &s.forwards[i][j]
	waits := e.waiters&(1<<i) != 0
	if c.up && (waits && (e.forwarderHeard[i] >= m.bounds.peerTimeout || e.echoAges[i] >= m.bounds.maxForwarderAge) || c.silence >= m.bounds.idleTimeout) {
		m.disconnect(s, i, j, c)
	}
	if waits && !c.up {
		m.abandon(s, j, i)
	}
}
