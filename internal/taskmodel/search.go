package taskmodel

import (
	"fmt"
	"hash/maphash"
	"slices"

	"oriolerelay/policy"
)

// faults are the kinds of faults that a search injects.
type faults struct {
	kill, pause, block, crash, mute, reset, lostReset bool
}

// model is the model with its settings.
type model struct {
	bounds bounds
	policy policy.Policy
	draws  [numEntries]float64
	faults faults
	// budget is the greatest number of faults, and attempts that of the submissions of the job.
	budget, attempts uint8
	// promptCaller submits the job again at once after it has given a request up.
	promptCaller bool
	// ownAgents is set where each entry places jobs at an agent of its own, as placement entries do, and
	// anyPlacement where an entry may choose any of them, as after a refusal or with different loads.
	ownAgents, anyPlacement bool
}

// serves reports whether an agent is connected to an entry.
func (m *model) serves(a, i uint8) bool { return !m.ownAgents || a == i }

func newModel(f faults, budget uint8) *model {
	m := &model{bounds: defaultBounds(), faults: f, budget: budget, attempts: 2}
	for i := range m.draws {
		m.draws[i] = policy.JobDraw(jobID, fmt.Sprint("entry-", i))
	}
	return m
}

// initial returns the state in which all processes are connected and no job was submitted.
func (m *model) initial() (s state) {
	s.faultsLeft = m.budget
	for i := range uint8(numEntries) {
		for j := range uint8(numEntries) {
			s.forwards[i][j].up = i != j
		}
		for a := range uint8(numAgents) {
			s.orders[i][a].up = m.serves(a, i)
		}
	}
	return s
}

// visit is called with a state that can follow and the event that leads to it.
type visit func(next *state, event string, args ...any)

// successors visits all states that can follow s.
func (m *model) successors(s *state, v visit) {
	prompt := m.promptEvents(s, v)
	if s.faultsLeft > 0 {
		m.beginFaults(s, v)
	}
	m.endFaults(s, v)
	m.callerEvents(s, v)
	if !prompt {
		next := *s
		m.advance(&next)
		v(&next, "time passes")
	}
}

// promptEvents visits the states after events that happen well within a step, and reports whether
// there are any.
func (m *model) promptEvents(s *state, v visit) (found bool) {
	emit := func(next *state, event string, args ...any) {
		found = true
		v(next, event, args...)
	}
	for i := range uint8(numEntries) {
		m.entryEvents(s, i, emit)
		for j := range uint8(numEntries) {
			m.deliver(s, i, j, emit, func(next *state) *conn { return &next.forwards[i][j] },
				func(next *state, msg message) { m.handleAtPlacementEntry(next, i, j, msg) },
				func(next *state, msg message) { m.handleAtForwarder(next, i, j, msg) })
		}
		for a := range uint8(numAgents) {
			m.deliver(s, i, agentProc(a), emit, func(next *state) *conn { return &next.orders[i][a] },
				func(next *state, msg message) { m.handleAtAgent(next, i, a, msg) },
				func(next *state, msg message) { m.handleAtEntry(next, i, a, msg) })
		}
	}
	return found
}

// entryEvents visits the states after an entry reads a request, notices its end or orders the task.
func (m *model) entryEvents(s *state, i uint8, emit visit) {
	if !s.alive(i) {
		return
	}
	r := s.entries[i].request
	if r.phase == requestUnread {
		for _, j := range m.placementEntries(s, i) {
			next := *s
			m.read(&next, i, j)
			emit(&next, "entry %d reads the request and chooses entry %d", i, j)
		}
	}
	if r.phase == requestPlaced && r.ended && !r.endUnseen {
		next := *s
		m.noticeEnd(&next, i)
		emit(&next, "entry %d notices the end of the request", i)
	}
	agents := m.orderableAgents(s, i)
	if len(agents) == numAgents && m.agentsAreAlike(s) {
		agents = agents[:1] // the order of the agents makes no difference
	}
	for _, a := range agents {
		next := *s
		m.order(&next, i, a)
		emit(&next, "entry %d orders run %s at agent %d", i, runName(next.entries[i].run), a)
	}
}

// agentsAreAlike reports whether the agents and their connections and endpoints are in the same state.
func (m *model) agentsAreAlike(s *state) bool {
	const first, second = numEntries, numEntries + 1
	alike := s.agents[0] == s.agents[1] && s.endpoints[0] == s.endpoints[1] && s.blocked[first] == s.blocked[second] &&
		(s.paused>>first^s.paused>>second)&1 == 0 && (s.dead>>first^s.dead>>second)&1 == 0
	for i := range uint8(numEntries) {
		alike = alike && s.orders[i][0] == s.orders[i][1] && s.open(i, first) == s.open(i, second)
	}
	return alike && s.entries[0].run == 0 && s.entries[1].run == 0
}

// deliver visits the states after the delivery of the next message in each direction of a connection.
func (m *model) deliver(s *state, i, peer uint8, emit visit, connOf func(*state) *conn, atPeer, atEntry func(*state, message)) {
	c := connOf(s)
	if c.toPeer[0].kind != noMessage && s.alive(peer) && s.open(i, peer) {
		next := *s
		msg := pop(&connOf(&next).toPeer)
		connOf(&next).silence = 0
		atPeer(&next, msg)
		emit(&next, "%s gets %v from entry %d", procName(peer), msg, i)
	}
	if c.toEntry[0].kind != noMessage && s.alive(i) && s.open(peer, i) {
		next := *s
		msg := pop(&connOf(&next).toEntry)
		atEntry(&next, msg)
		emit(&next, "entry %d gets %v from %s", i, msg, procName(peer))
	}
}

// callerEvents visits the states after the caller submits the job.
func (m *model) callerEvents(s *state, v visit) {
	c := &s.caller
	if c.phase != callerIdle && (c.phase != callerPausing || c.resendIn > 0) || c.attempts == m.attempts {
		return
	}
	for i := range uint8(numEntries) {
		if s.dead&(1<<i) != 0 || s.entries[i].request.phase != requestNone {
			continue
		}
		next := *s
		next.caller = caller{phase: callerWaiting, attempts: c.attempts + 1, entry: i}
		next.entries[i].request = request{phase: requestUnread}
		v(&next, "the caller submits the job to entry %d", i)
	}
}

// beginFaults visits the states after the beginning of a fault.
func (m *model) beginFaults(s *state, v visit) {
	emit := func(event string, apply func(next *state), args ...any) {
		next := *s
		next.faultsLeft--
		apply(&next)
		v(&next, event, args...)
	}
	for p := range uint8(numProcs) {
		if s.dead&(1<<p) != 0 {
			continue
		}
		if m.faults.kill {
			emit("%s is killed", func(next *state) { m.kill(next, p) }, procName(p))
		}
		if m.faults.pause && s.alive(p) {
			emit("%s is paused", func(next *state) { m.pause(next, p) }, procName(p))
		}
	}
	if m.faults.block {
		for from := range uint8(numProcs) {
			for to := range uint8(numProcs) {
				if from != to && min(from, to) < numEntries && s.open(from, to) {
					emit("messages from %s to %s are held up", func(next *state) { next.blocked[from] |= 1 << to }, procName(from), procName(to))
				}
			}
		}
	}
	for a := range uint8(numAgents) {
		if m.faults.crash && s.endpoints[a].run != 0 {
			emit("endpoint %d crashes", func(next *state) { next.endpoints[a].run, next.endpoints[a].lease = 0, 0 }, a)
		}
		if m.faults.mute && !s.endpoints[a].mute {
			emit("endpoint %d answers no calls", func(next *state) { next.endpoints[a].mute = true }, a)
		}
	}
	if c := &s.caller; c.phase == callerWaiting && c.attempts < m.attempts {
		if m.faults.reset {
			emit("the request at entry %d is reset", func(next *state) { m.reset(next, false) }, c.entry)
		}
		if m.faults.lostReset {
			emit("the request at entry %d is reset, and its host does not know", func(next *state) { m.reset(next, true) }, c.entry)
		}
	}
}

func (m *model) reset(s *state, unseen bool) {
	r := &s.entries[s.caller.entry].request
	if r.phase != requestNone {
		r.ended, r.endUnseen = true, unseen
	}
	s.caller.phase, s.caller.resendIn = callerPausing, m.bounds.callerResend
	if m.promptCaller {
		s.caller.resendIn = 0
	}
}

// extendLeaseAtEnd extends the lease of a run as its agent may do at the end of the step, just
// before it fails.
func (m *model) extendLeaseAtEnd(s *state, p uint8) {
	if p < numEntries || !s.alive(p) {
		return
	}
	x, e := &s.agents[p-numEntries], &s.endpoints[p-numEntries]
	if x.run != 0 && e.run == x.run && !x.stopping && !e.mute {
		e.lease = max(e.lease, m.leaseExtension(x, 1))
	}
}

func (m *model) pause(s *state, p uint8) {
	m.extendLeaseAtEnd(s, p)
	s.paused |= 1 << p
}

// kill ends a process. Its packets that wait in the network are lost.
func (m *model) kill(s *state, p uint8) {
	m.extendLeaseAtEnd(s, p)
	s.dead |= 1 << p
	s.paused &^= 1 << p
	for i := range uint8(numEntries) {
		for j := range uint8(numEntries) {
			if i == p || j == p {
				m.disconnect(s, i, j, &s.forwards[i][j])
			}
		}
		for a := range uint8(numAgents) {
			if i == p || agentProc(a) == p {
				m.disconnect(s, i, agentProc(a), &s.orders[i][a])
			}
		}
	}
	if p >= numEntries {
		s.agents[p-numEntries] = agent{}
		return
	}
	if c := &s.caller; c.phase == callerWaiting && c.entry == p {
		c.phase, c.resendIn = callerPausing, m.bounds.callerResend
	}
	e := &s.entries[p]
	*e = entry{incarnation: (e.incarnation + 1) % 4}
}

// endFaults visits the states after the end of a fault.
func (m *model) endFaults(s *state, v visit) {
	for p := range uint8(numProcs) {
		if s.dead&(1<<p) != 0 {
			next := *s
			m.restart(&next, p)
			v(&next, "%s starts again", procName(p))
		}
		if s.paused&(1<<p) != 0 {
			m.resume(s, p, v)
		}
		for to := range uint8(numProcs) {
			if !s.open(p, to) {
				next := *s
				next.blocked[p] &^= 1 << to
				v(&next, "messages from %s to %s arrive again", procName(p), procName(to))
			}
		}
	}
	for a := range s.endpoints {
		if s.endpoints[a].mute {
			next := *s
			next.endpoints[a].mute = false
			v(&next, "endpoint %d answers again", a)
		}
	}
}

func (m *model) restart(s *state, p uint8) {
	s.dead &^= 1 << p
	if p < numEntries {
		return
	}
	a := p - numEntries
	if run := s.endpoints[a].run; run != 0 {
		s.agents[a] = agent{run: run, ownerIncarnation: none, inherited: true, adoptIn: m.bounds.adoptWindow + 1}
	}
}

// resume visits the states after the end of a pause: the process handles the messages that have
// waited first, or its timers, or an entry handles statuses that have waited.
func (m *model) resume(s *state, p uint8, v visit) {
	resumed := *s
	resumed.paused &^= 1 << p
	v(&resumed, "%s resumes", procName(p))
	timers := resumed
	m.checkTimeouts(&timers, p)
	v(&timers, "%s resumes and runs its timers first", procName(p))
	if p < numEntries {
		statuses := resumed
		for a := range statuses.agents {
			statuses.orders[p][a].heard = 0
		}
		for j := range statuses.entries {
			statuses.forwards[p][j].heard = 0
		}
		v(&statuses, "%s resumes and handles statuses that have waited", procName(p))
	}
}

// result is the result of a search.
type result struct {
	states int
	// complete is false if the search has ended at its limit of states.
	complete bool
	// counterexample holds the events that lead to a violation, in order; empty if there is none.
	counterexample []string
}

// search visits all states in the order of their number of events, and stops at the first in which
// two endpoints execute the task, or at the given number of states.
func (m *model) search(limit int) (r result) {
	v := newVisited(m.initial())
	for at := 0; at < len(v.states); at++ {
		current, violation := v.states[at], false
		m.successors(&current, func(next *state, _ string, _ ...any) {
			if !violation && v.add(next, int32(at)) {
				violation = next.runs() > 1
			}
		})
		r.states = len(v.states)
		if violation {
			r.counterexample = m.events(v, len(v.states)-1)
			return r
		}
		if r.states > limit {
			return r
		}
	}
	r.complete = true
	return r
}

// events returns the events that lead to a state.
func (m *model) events(v *visited, at int) (events []string) {
	for ; at > 0; at = int(v.parents[at]) {
		target, from, name := v.states[at], v.states[v.parents[at]], ""
		m.successors(&from, func(next *state, event string, args ...any) {
			if *next == target && name == "" {
				name = fmt.Sprintf(event, args...)
			}
		})
		events = append(events, name)
	}
	slices.Reverse(events)
	return events
}

// visited is the set of visited states, each with the one from which it was first reached.
type visited struct {
	states  []state
	parents []int32
	index   map[uint64]int32 // by hash; after a collision the next number is used
	seed    maphash.Seed
}

func newVisited(first state) *visited {
	v := &visited{index: make(map[uint64]int32), seed: maphash.MakeSeed()}
	v.add(&first, -1)
	return v
}

// add adds a state and reports whether it is new.
func (v *visited) add(s *state, parent int32) bool {
	hash := maphash.Comparable(v.seed, *s)
	for {
		at, ok := v.index[hash]
		if !ok {
			break
		}
		if v.states[at] == *s {
			return false
		}
		hash++
	}
	v.index[hash] = int32(len(v.states))
	v.states, v.parents = append(v.states, *s), append(v.parents, parent)
	return true
}
