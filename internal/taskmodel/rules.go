package taskmodel

import "oriolerelay/policy"

// jobID is the id of the job. Entry 0 comes first in its order of placement entries.
const jobID = "job"

// placementEntries returns the entries that entry i may choose, as router.Router.chooseEntry does
// where agents are shared.
func (m *model) placementEntries(s *state, i uint8) []uint8 {
	var candidates []policy.PlacementCandidate
	var targets []uint8
	for j := range uint8(numEntries) {
		c := &s.forwards[i][j]
		if j == i || c.up && c.heard <= m.bounds.peerSuspect {
			candidates = append(candidates, policy.PlacementCandidate{Capacity: 1, Draw: m.draws[j]})
			targets = append(targets, j)
		}
	}
	if m.anyPlacement {
		return targets
	}
	chosen, _ := m.policy.ChoosePlacementEntry(candidates, -1, nil)
	return targets[chosen : chosen+1]
}

// read makes an entry handle a request of the caller and place the job at entry j, as
// router.Router.Submit does.
func (m *model) read(s *state, i, j uint8) {
	r := &s.entries[i].request
	if r.ended && !r.endUnseen {
		*r = request{}
		return
	}
	r.phase, r.forwardedTo = requestPlaced, j
	if j == i {
		r.forwardedTo = self
		m.admit(s, i, i)
		return
	}
	c := &s.forwards[i][j]
	push(&c.toPeer, message{kind: place, echo: c.statusAge})
}

// admit mirrors coordinator.Coordinator.submit.
func (m *model) admit(s *state, j, waiter uint8) {
	e := &s.entries[j]
	e.waiters |= 1 << waiter
	if e.task == taskNone {
		e.task = taskWaiting
	}
}

// abandon mirrors coordinator.Coordinator.abandon.
func (m *model) abandon(s *state, j, waiter uint8) {
	e := &s.entries[j]
	if e.waiters&(1<<waiter) == 0 {
		return
	}
	e.waiters &^= 1 << waiter
	if waiter != j {
		e.forwarderHeard[waiter], e.echoAges[waiter] = 0, 0
	}
	if e.waiters != 0 {
		return
	}
	if e.task == taskOrdered {
		e.stopping = true
		if c := &s.orders[j][e.agent]; c.up {
			push(&c.toPeer, message{kind: stop, run: e.run})
		}
	}
	e.task = taskNone
}

// noticeEnd makes an entry notice that the caller has given its request up.
func (m *model) noticeEnd(s *state, i uint8) {
	r := s.entries[i].request
	s.entries[i].request = request{}
	switch {
	case r.phase != requestPlaced:
	case r.forwardedTo == self:
		m.abandon(s, i, i)
	case s.forwards[i][r.forwardedTo].up:
		push(&s.forwards[i][r.forwardedTo].toPeer, message{kind: withdraw})
	}
}

// callersDisconnected mirrors coordinator.activeJob.allCallersDisconnected.
func (m *model) callersDisconnected(s *state, j uint8) bool {
	e := &s.entries[j]
	for w := range uint8(numEntries) {
		if e.waiters&(1<<w) == 0 {
			continue
		}
		if w == j && (!e.request.ended || e.request.endUnseen) || w != j && e.echoAges[w] <= m.bounds.maxForwarderAge {
			return false
		}
	}
	return true
}

// orderableAgents returns the agents at which an entry may start the task now, as
// coordinator.Coordinator.placeJob does. An endpoint that answers no calls is closed, and after a
// rejection the task waits for the next step.
func (m *model) orderableAgents(s *state, j uint8) (agents []uint8) {
	e := &s.entries[j]
	if e.task != taskWaiting || e.stopping || e.rejected || m.callersDisconnected(s, j) {
		return nil
	}
	for a := range uint8(numAgents) {
		if c := &s.orders[j][a]; c.up && c.heard < m.bounds.agentSuspect && !s.endpoints[a].mute {
			agents = append(agents, a)
		}
	}
	return agents
}

func (m *model) order(s *state, j, a uint8) {
	e := &s.entries[j]
	e.task, e.agent, e.run = taskOrdered, a, s.newRun(j)
	c := &s.orders[j][a]
	push(&c.toPeer, message{kind: order, run: e.run, echo: c.statusAge, incarnation: e.incarnation})
}

// requeue makes a task wait again after its run has ended or must have ended.
func (e *entry) requeue() { e.task, e.run = taskWaiting, 0 }

// handleAtEntry mirrors coordinator.Coordinator.handleReport.
func (m *model) handleAtEntry(s *state, j, a uint8, msg message) {
	e, c := &s.entries[j], &s.orders[j][a]
	c.heard = 0
	switch {
	case e.run != msg.run || e.agent != a:
	case e.stopping:
		e.stopping, e.run = false, 0
	case e.task == taskOrdered:
		e.requeue()
		e.rejected = msg.kind == runRejected
	}
}

// handleAtAgent mirrors executor.Executor.Handle.
func (m *model) handleAtAgent(s *state, j, a uint8, msg message) {
	x, c := &s.agents[a], &s.orders[j][a]
	reply := func(kind messageKind, run uint8) {
		if c.up {
			push(&c.toEntry, message{kind: kind, run: run})
		}
	}
	isOwner := x.run != 0 && runOwner(x.run) == j && (x.ownerIncarnation == msg.incarnation || x.inherited)
	switch msg.kind {
	case order:
		if msg.echo > m.bounds.maxOrderAge || x.run != 0 || s.endpoints[a].mute || s.endpoints[a].run != 0 {
			reply(runRejected, msg.run)
			return
		}
		*x = agent{run: msg.run, ownerIncarnation: msg.incarnation, echo: msg.echo}
		s.endpoints[a].run, s.endpoints[a].lease = msg.run, m.leaseExtension(x, 1)
	case stop:
		if x.run != msg.run {
			reply(runEnded, msg.run)
			return
		}
		x.heard = 0
		m.stopRun(s, a)
	case claim:
		switch {
		case isOwner && x.run == msg.run:
			x.inherited, x.ownerIncarnation, x.heard, x.echo = false, msg.incarnation, 0, 0
		case isOwner:
			m.stopRun(s, a)
			fallthrough
		default:
			if msg.run != 0 && x.run != msg.run {
				reply(runEnded, msg.run)
			}
		}
	}
}

// stopRun stops the run of an agent, at once if the endpoint answers.
func (m *model) stopRun(s *state, a uint8) {
	x, e := &s.agents[a], &s.endpoints[a]
	x.stopping = true
	if e.mute {
		return
	}
	if e.run == x.run {
		e.run, e.lease = 0, 0
	}
	m.endRun(s, a)
}

// endRun reports the end of the run of an agent to its owner.
func (m *model) endRun(s *state, a uint8) {
	x := &s.agents[a]
	owner := runOwner(x.run)
	if c := &s.orders[owner][a]; c.up && s.entries[owner].incarnation == x.ownerIncarnation {
		push(&c.toEntry, message{kind: runEnded, run: x.run})
	}
	*x = agent{}
}

// handleAtPlacementEntry mirrors router.Router.HandleForwarder.
func (m *model) handleAtPlacementEntry(s *state, i, j uint8, msg message) {
	e, c := &s.entries[j], &s.forwards[i][j]
	switch msg.kind {
	case place:
		if msg.echo > m.bounds.maxForwarderAge {
			if c.up {
				push(&c.toEntry, message{kind: placeRefused})
			}
			return
		}
		e.forwarderHeard[i], e.echoAges[i] = 0, msg.echo
		m.admit(s, j, i)
	case withdraw:
		m.abandon(s, j, i)
	}
}

// handleAtForwarder mirrors router.Router.Handle.
func (m *model) handleAtForwarder(s *state, i, j uint8, msg message) {
	s.forwards[i][j].heard = 0
	if r := s.entries[i].request; r.phase == requestPlaced && r.forwardedTo == j && msg.kind == placeRefused {
		m.answer(s, i, 0)
	}
}

// answer ends the request at an entry with an error after which the caller submits its job again
// after the given time.
func (m *model) answer(s *state, i uint8, resendIn age) {
	r := s.entries[i].request
	s.entries[i].request = request{}
	if r.ended || s.caller.phase != callerWaiting || s.caller.entry != i {
		return
	}
	s.caller.phase, s.caller.resendIn = callerPausing, resendIn
}
