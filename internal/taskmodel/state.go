// Package taskmodel models who may start one task of an ephemeral job: the caller that submits
// the job, the entries that forward and place it, the agents and their endpoints. Its test
// searches all orders of events for a small number of faults. Time advances in steps; within a
// step, messages and process events happen in any order. The rules call package policy and the
// time bounds of the code; the others name the function that they mirror.
//
// Runs do not end by themselves, since longer ones overlap more. Not modelled are stored jobs,
// drains, stragglers, agents that change entries, entries that restart within a step, and calls
// to endpoints that are executed late.
package taskmodel

import "fmt"

const (
	numEntries = 2
	numAgents  = 2
	numProcs   = numEntries + numAgents // entries come first
	// self is the waiter and the forwarding target that stand for the own callers of an entry.
	self = numEntries
	none = 0xff
)

// age is a number of steps.
type age uint8

// grow adds a step, up to the least age that makes no difference any more.
func (a *age) grow(limit age) { *a = min(*a+1, limit) }

// state is a state of the system. It is comparable, so that states can be recognized.
type state struct {
	caller    caller
	entries   [numEntries]entry
	agents    [numAgents]agent
	endpoints [numAgents]endpoint
	// forwards holds the connections by forwarding and placing entry, orders those by entry and agent.
	forwards [numEntries][numEntries]conn
	orders   [numEntries][numAgents]conn
	// paused and dead are sets of processes, blocked holds the receivers of the blocked links by sender.
	paused, dead uint8
	blocked      [numProcs]uint8
	faultsLeft   uint8
}

type callerPhase uint8

const (
	callerIdle callerPhase = iota
	callerWaiting
	callerPausing // before it submits the job again
	callerFinished
)

type caller struct {
	phase    callerPhase
	attempts uint8
	entry    uint8 // of the current attempt
	resendIn age
}

type requestPhase uint8

const (
	requestNone    requestPhase = iota
	requestUnread               // its entry has not read it yet
	requestWaiting              // for a placement entry
	requestPlaced               // here or at forwardedTo
)

// request is an attempt of the caller at an entry.
type request struct {
	phase       requestPhase
	forwardedTo uint8
	// ended is set when the caller has given the request up, and endUnseen while the entry's host does
	// not know.
	ended, endUnseen bool
}

type taskPhase uint8

const (
	taskNone taskPhase = iota
	taskWaiting
	taskOrdered
)

type entry struct {
	incarnation uint8 // modulo 4
	request     request
	// waiters is the set of entries whose callers wait for the job that is placed here.
	waiters uint8
	// echoAges are the ages of the newest statuses that the forwarders of these have returned.
	echoAges, forwarderHeard [numEntries]age
	task                     taskPhase
	run                      uint8 // current or stopping run
	agent                    uint8
	stopping                 bool // run is a stopped run of a removed job
	rejected                 bool // the last run, in this step
}

// queueSize bounds the messages that wait on a link.
const queueSize = 3

// conn is a connection of an entry to a process that sends it statuses.
type conn struct {
	up bool
	// heard is the time since the entry has received a message, statusAge the age of the newest
	// status that it has handled, and silence the time since the other end received a packet.
	heard, statusAge, silence age
	toPeer, toEntry           [queueSize]message
}

type messageKind uint8

const (
	noMessage messageKind = iota
	place
	withdraw
	placeRefused
	placeLost
	order
	stop
	claim
	runEnded
	runRejected
)

var messageNames = [...]string{"", "Place", "Withdraw", "PlaceResult refused", "PlaceResult lost", "Orders", "Stop", "Claim", "Report ended", "Report rejected"}

// message is a message whose order matters. Statuses and heartbeats are exchanged in each step.
type message struct {
	kind messageKind
	run  uint8
	echo age // of the status that the message returns
	// incarnation is that of the entry that has sent an order or a claim.
	incarnation uint8
}

func (m message) String() string {
	if m.run == 0 {
		return messageNames[m.kind]
	}
	return fmt.Sprintf("%s of run %s", messageNames[m.kind], runName(m.run))
}

// newRun returns the identity of the next run that an entry orders; 0 is no run. The number of a
// run that nothing refers to any more is used again, which keeps the number of states finite.
func (s *state) newRun(entry uint8) uint8 {
	for number := uint8(1); ; number++ {
		if run := number<<1 | entry; !s.refersTo(run) {
			return run
		}
	}
}

func (s *state) refersTo(run uint8) bool {
	for i := range s.entries {
		if s.entries[i].run == run {
			return true
		}
		for a := range s.agents {
			c := &s.orders[i][a]
			for k := range c.toPeer {
				if c.toPeer[k].run == run || c.toEntry[k].run == run {
					return true
				}
			}
		}
	}
	for a := range s.agents {
		if s.agents[a].run == run || s.endpoints[a].run == run {
			return true
		}
	}
	return false
}

func runOwner(run uint8) uint8 { return run & 1 }

func runName(run uint8) string { return fmt.Sprintf("%d of entry %d", run>>1, runOwner(run)) }

type agent struct {
	run              uint8
	ownerIncarnation uint8
	// heard is the time since the owner of the run was heard, and echo the age of the newest status
	// that it has returned.
	heard, echo age
	inherited   bool // by a restart, and not claimed yet
	adoptIn     age
	stopping    bool // its stop is repeated until the endpoint answers
}

type endpoint struct {
	run   uint8
	lease age // remaining
	mute  bool
}

// runs returns the number of endpoints that execute the task.
func (s *state) runs() (n int) {
	for _, e := range s.endpoints {
		if e.run != 0 {
			n++
		}
	}
	return n
}

func (s *state) alive(p uint8) bool { return (s.paused|s.dead)&(1<<p) == 0 }

func (s *state) open(from, to uint8) bool { return s.blocked[from]&(1<<to) == 0 }

// push appends m to a queue. A full queue is a fault of the model.
func push(q *[queueSize]message, m message) {
	for i := range q {
		if q[i].kind == noMessage {
			q[i] = m
			return
		}
	}
	panic("taskmodel: queue is full")
}

func pop(q *[queueSize]message) message {
	m := q[0]
	copy(q[:], q[1:])
	q[queueSize-1] = message{}
	return m
}

func agentProc(a uint8) uint8 { return numEntries + a }

func procName(p uint8) string {
	if p < numEntries {
		return fmt.Sprintf("entry %d", p)
	}
	return fmt.Sprintf("agent %d", p-numEntries)
}
