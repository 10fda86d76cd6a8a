package emulator

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/coordinator"
	"oriolerelay/event"
	"oriolerelay/executor"
	"oriolerelay/job"
	"oriolerelay/ledger"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/wire"
)

// linkDelay is the one-way delay of a message between an agent and an entry.
const linkDelay = 500 * time.Microsecond

// heartbeatInterval is the time between two announcements of an endpoint.
const heartbeatInterval = 1500 * time.Millisecond

// Timing returns the default timing of the emulated agents.
func Timing() executor.Timing { return executor.DefaultTiming(maxLease) }

// System is a set of emulated endpoints with their agents, and of entries.
type System struct {
	Endpoints []*Endpoint
	// Log receives the log lines of all processes. A nil Log discards them.
	Log io.Writer
	// Store holds the stored jobs. If it is nil, entries take no stored jobs.
	Store *Store
	// AgentTiming is the timing of the agents. If it is zero, they use that of Timing.
	AgentTiming executor.Timing
	// Policy is the policy of all processes.
	Policy policy.Policy

	ctx      context.Context
	timeline timeline
	mu       sync.Mutex
	agents   []*Agent
	entries  []*Entry
}

// Agent is the process that starts runs at an endpoint.
type Agent struct {
	Executor *executor.Executor
	endpoint *Endpoint
	stop     context.CancelFunc
	name     string
	draining bool
}

// Entry is a process that accepts jobs from callers.
type Entry struct {
	Coordinator       *coordinator.Coordinator
	Ledger            *ledger.Ledger
	Router            *router.Router // nil unless the system is routed
	stop              context.CancelFunc
	name              string
	incarnationNumber int
	cut               map[int]bool // agents to which the link is cut
	unheard           map[int]bool // agents whose messages are lost
}

// NewSystem starts an agent for each endpoint and the given number of entries, and connects every
// agent to every entry. All of them stop when ctx is done.
func NewSystem(ctx context.Context, endpoints []*Endpoint, entries int, log io.Writer) *System {
	return newSystem(ctx, endpoints, entries, log, nil)
}

// NewTimedSystem returns a system like NewSystem whose agents use the given timing.
func NewTimedSystem(ctx context.Context, endpoints []*Endpoint, entries int, timing executor.Timing) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, AgentTiming: timing}
	s.startProcesses(entries)
	s.connectAll()
	return s
}

// NewStoredSystem returns a system like NewSystem whose entries keep stored jobs in store.
func NewStoredSystem(ctx context.Context, endpoints []*Endpoint, entries int, log io.Writer, store *Store) *System {
	return newSystem(ctx, endpoints, entries, log, store)
}

func newSystem(ctx context.Context, endpoints []*Endpoint, entries int, log io.Writer, store *Store) *System {
	s := &System{Endpoints: endpoints, ctx: ctx, Log: log, Store: store}
	s.startProcesses(entries)
	s.connectAll()
	return s
}

func (s *System) connectAll() {
	for e := range s.entries {
		for a := range s.agents {
			s.connect(e, a)
		}
	}
}

func (s *System) agentTiming() executor.Timing {
	if s.AgentTiming == (executor.Timing{}) {
		return Timing()
	}
	return s.AgentTiming
}

func (s *System) logger(node string) *event.Logger {
	if s.Log == nil {
		return nil
	}
	return event.NewLogger(s.Log, node)
}

func (s *System) newAgent(i int) *Agent {
	ctx, stop := context.WithCancel(s.ctx)
	e := s.Endpoints[i]
	a := &Agent{endpoint: e, stop: stop, name: "agent-" + e.Name}
	a.Executor = executor.New(executor.Config{
		Endpoint: e, Timing: s.agentTiming(), Policy: s.Policy, Log: s.logger(a.name), Metrics: executor.NewMetrics(prometheus.NewRegistry()),
	})
	go a.Executor.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			s.mu.Lock()
			draining := a.draining
			s.mu.Unlock()
			if !e.announcementLost() {
				a.Executor.Announce(e.Announcement(draining))
			}
			select {
			case <-time.After(heartbeatInterval):
			case <-ctx.Done():
			}
		}
	}()
	return a
}

// announcementLost reports whether the next announcement does not arrive at the agent.
func (e *Endpoint) announcementLost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.LoseAnnouncements > 0 {
		e.faults.LoseAnnouncements--
		return true
	}
	return e.faults.Down || e.down || e.faults.Unresponsive
}

func (s *System) newEntry(i, incarnationNumber int) *Entry {
	ctx, stop := context.WithCancel(s.ctx)
	n := &Entry{stop: stop, name: fmt.Sprintf("entry-%d", i), incarnationNumber: incarnationNumber, cut: make(map[int]bool), unheard: make(map[int]bool)}
	n.Coordinator = coordinator.New(coordinator.Config{
		DataCentre: "centre", Policy: s.Policy, Timing: coordinator.DefaultTiming(Timing().OrphanTimeout(), 1.5),
		Log: s.logger(n.name), Metrics: coordinator.NewMetrics(prometheus.NewRegistry()),
	})
	if s.Store != nil {
		n.Ledger = ledger.New(ledger.Config{
			Member: fmt.Sprintf("%s.%d", n.name, incarnationNumber), Partitions: s.Store.Partitions, Store: s.Store, Runner: n.Coordinator,
			Timing: ledger.DefaultTiming(time.Second, Timing().OrphanTimeout(), time.Minute), Log: s.logger(n.name),
			Now:   func() time.Duration { return time.Since(time.Unix(0, 0)) },
			Queue: func(string) (job.Queue, uint64, bool) { return job.Queue{}, 0, false },
		})
		n.Coordinator.SetRecorder(n.Ledger)
		go n.Ledger.Run(ctx)
	}
	go n.Coordinator.Run(ctx)
	return n
}

// incarnation returns the identity of the process.
func (e *Entry) incarnation() string { return fmt.Sprintf("%s.%d", e.name, e.incarnationNumber) }

// Entry returns the coordinator of an entry.
func (s *System) Entry(i int) *coordinator.Coordinator {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i].Coordinator
}

// Ledger returns the ledger of an entry.
func (s *System) Ledger(i int) *ledger.Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i].Ledger
}

// Submit submits a job to an entry as a caller does and waits for the answer. If ctx ends first, the
// caller has disconnected.
func (s *System) Submit(ctx context.Context, entry int, j job.Submission) Answer {
	s.mu.Lock()
	e := s.entries[entry]
	s.mu.Unlock()
	return s.submitTo(ctx, e, j)
}

func (s *System) submitTo(ctx context.Context, e *Entry, j job.Submission) Answer {
	submit := e.Coordinator.Submit
	if e.Router != nil {
		submit = e.Router.Submit
	}
	a := Answer{Job: j.ID, SentAt: time.Now()}
	s.timeline.addSubmission(j.ID, "caller to %s: submits the job", e.incarnation())
	a.State, a.Err = submit(ctx, j)
	a.ReceivedAt, a.Disconnected = time.Now(), ctx.Err() != nil
	s.timeline.addSubmission(j.ID, "%s to caller: %s %v, disconnected %v", e.incarnation(), a.State, a.Err, a.Disconnected)
	return a
}

// Drain makes the endpoint of an agent announce that it is draining.
func (s *System) Drain(agent int) {
	s.mu.Lock()
	a := s.agents[agent]
	a.draining = true
	s.mu.Unlock()
	a.Executor.Announce(a.endpoint.Announcement(true))
}

// KillEntry stops an entry and starts a new incarnation of it.
func (s *System) KillEntry(i int) {
	s.timeline.addFault("entry %d is killed", i)
	s.mu.Lock()
	old := s.entries[i]
	old.stop()
	s.entries[i] = s.newEntry(i, old.incarnationNumber+1)
	s.mu.Unlock()
	for a := range s.agents {
		s.connect(i, a)
	}
}

// KillAgent stops an agent and starts a new incarnation of it.
func (s *System) KillAgent(i int) {
	s.timeline.addFault("agent %d is killed", i)
	s.mu.Lock()
	s.agents[i].stop()
	s.agents[i] = s.newAgent(i)
	s.mu.Unlock()
	for e := range s.entries {
		s.connect(e, i)
	}
}

// Cut drops all messages between an entry and an agent, or connects them again if cut is false.
func (s *System) Cut(entry, agent int, cut bool) {
	s.timeline.addFault("link between entry %d and agent %d: cut %v", entry, agent, cut)
	s.mu.Lock()
	s.entries[entry].cut[agent] = cut
	s.mu.Unlock()
	if !cut {
		s.connect(entry, agent)
	}
}

// CutFromAgent drops the messages from an agent to an entry, while those of the entry arrive, or
// connects the two again if cut is false.
func (s *System) CutFromAgent(entry, agent int, cut bool) {
	s.timeline.addFault("link from agent %d to entry %d: cut %v", agent, entry, cut)
	s.mu.Lock()
	s.entries[entry].unheard[agent] = cut
	s.mu.Unlock()
	if !cut {
		s.connect(entry, agent)
	}
}

// hears reports whether messages from an agent are delivered to an entry.
func (s *System) hears(e *Entry, a *Agent) bool {
	if !s.connected(e, a) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !e.unheard[slices.Index(s.agents, a)]
}

// connected reports whether messages are delivered between an entry and an agent.
func (s *System) connected(e *Entry, a *Agent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, known := range s.agents {
		if known == a {
			return !e.cut[i]
		}
	}
	return false
}

// connect makes a connection between an entry and an agent, unless their link is cut.
func (s *System) connect(entry, agent int) {
	s.mu.Lock()
	e, a := s.entries[entry], s.agents[agent]
	s.mu.Unlock()
	if !s.connected(e, a) {
		return
	}
	incarnation := e.incarnation()
	toAgent, toEntry := newLink(s.ctx), newLink(s.ctx)
	entryConnection := a.Executor.Connected(incarnation, func(m wire.Message) error {
		toEntry.send(m)
		return nil
	})
	connection := e.Coordinator.Connected(a.name, func(m wire.Message) error {
		toAgent.send(m)
		return nil
	})
	isConnected := func() bool { return s.connected(e, a) }
	number := s.timeline.newConnection()
	go toAgent.deliver(isConnected, func(m wire.Message) {
		s.timeline.addMessage(number, incarnation, a.name, m)
		a.Executor.Handle(incarnation, entryConnection, m)
	})
	go toEntry.deliver(func() bool { return s.hears(e, a) }, func(m wire.Message) {
		s.timeline.addMessage(number, a.name, incarnation, m)
		e.Coordinator.Handle(a.name, connection, m)
	})
}

// link delivers messages in one direction, in order and after linkDelay.
type link struct {
	ctx context.Context
	c   chan queuedMessage
}

type queuedMessage struct {
	message wire.Message
	sentAt  time.Time
}

func newLink(ctx context.Context) *link { return &link{ctx: ctx, c: make(chan queuedMessage, 4096)} }

func (l *link) send(m wire.Message) {
	select {
	case l.c <- queuedMessage{encodeDecode(m), time.Now()}:
	case <-l.ctx.Done():
	}
}

// deliver passes each message to handle, and drops those that arrive while isOpen returns false.
func (l *link) deliver(isOpen func() bool, handle func(wire.Message)) {
	for {
		select {
		case m := <-l.c:
			time.Sleep(time.Until(m.sentAt.Add(linkDelay)))
			if isOpen() {
				handle(m.message)
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// encodeDecode returns a copy of m that was encoded and decoded as on a connection.
func encodeDecode(m wire.Message) wire.Message {
	b, err := wire.Encode(wire.Frame{Body: m})
	if err != nil {
		panic(err)
	}
	f, err := wire.Decode(b)
	if err != nil {
		panic(err)
	}
	return f.Body
}
