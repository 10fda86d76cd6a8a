package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/endpointapi"
	"oriolerelay/executor"
	"oriolerelay/internal/rendezvous"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/wire"
)

// The times after which processes choose other entries, as in package relay.
const (
	playDownTimeout = 150 * time.Millisecond
	playSuspect     = 300 * time.Millisecond
	// playReconcile is also the delay before an attempt to connect is repeated.
	playReconcile    = 100 * time.Millisecond
	playRetirePoll   = 500 * time.Millisecond
	playBalancerTime = 2300 * time.Millisecond // for which a draining entry still gets jobs
)

// playSystem is a system whose processes connect as those of package relay do, over links and on
// hosts that fail.
type playSystem struct {
	*System
	network *network
	listed  []policy.Entry

	mu      sync.Mutex
	agents  []*playAgent
	entries []*playEntry
}

// playAgent is a process of an agent.
type playAgent struct {
	*playProcess
	executor *executor.Executor
}

// playEntry is a process of an entry.
type playEntry struct {
	*playProcess
	*Entry
	routerStop context.CancelFunc
	notReady   bool // guarded by playSystem.mu
}

// playProcess is the part of a process that connects it to entries.
type playProcess struct {
	system  *playSystem
	ctx     context.Context
	stop    context.CancelFunc
	host    string
	gate    *gate
	mu      sync.Mutex
	targets map[string]*playTarget
}

// playTarget is the state of the connection of a process to an entry.
type playTarget struct {
	conn                            *playConn
	incarnation                     string
	maintained, connected, draining bool
	retiring                        bool
	disconnectedAt                  time.Time
	number                          uint64 // of the connection in the process
}

func newPlaySystem(ctx context.Context, endpoints []*Endpoint, milliCores []uint32) *playSystem {
	s := &playSystem{System: &System{Endpoints: endpoints, ctx: ctx}, network: newNetwork()}
	for i, m := range milliCores {
		s.listed = append(s.listed, policy.Entry{Address: fmt.Sprintf("entry-%d", i), MilliCores: m})
	}
	s.agents, s.entries = make([]*playAgent, len(endpoints)), make([]*playEntry, len(milliCores))
	for i := range milliCores {
		s.startEntry(i, 1)
	}
	for i := range endpoints {
		s.startAgent(i, nil)
	}
	return s
}

func (s *playSystem) newProcess(host string) *playProcess {
	ctx, stop := context.WithCancel(s.ctx)
	return &playProcess{system: s, ctx: ctx, stop: stop, host: host, gate: &gate{}, targets: make(map[string]*playTarget)}
}

func (s *playSystem) startEntry(i, incarnation int) {
	n := &playEntry{playProcess: s.newProcess(fmt.Sprintf("entry-%d", i)), Entry: s.newEntry(i, incarnation)}
	n.Router = router.New(router.Config{Local: n.Coordinator, Self: n.incarnation(), Metrics: router.NewMetrics(prometheus.NewRegistry())})
	n.Router.SetSharedAgents(len(s.listed) <= policy.SmallDeploymentEntries)
	n.Router.SetEnabled(len(s.listed) > 1)
	n.runRouter()
	s.mu.Lock()
	s.entries[i] = n
	s.mu.Unlock()
	if len(s.listed) > 1 {
		go n.manage(n.chooseEntries, n.connectTo, func(string) bool { return false }, n.retire)
	}
}

// runRouter starts the checks of the router, which stop while the process is frozen.
func (n *playEntry) runRouter() {
	ctx, stop := context.WithCancel(n.playProcess.ctx)
	n.routerStop = stop
	go n.Router.Run(ctx)
}

func (s *playSystem) startAgent(i int, saved *endpointapi.Announcement) {
	e := s.Endpoints[i]
	a := &playAgent{playProcess: s.newProcess("agent-" + e.Name)}
	a.executor = executor.New(executor.Config{
		Endpoint: &gatedEndpoint{e, a.gate}, Timing: Timing(), Metrics: executor.NewMetrics(prometheus.NewRegistry()),
	})
	s.mu.Lock()
	s.agents[i] = a
	s.mu.Unlock()
	go a.executor.Run(a.ctx)
	go func() {
		if saved != nil {
			a.executor.Restore(*saved)
			time.Sleep(time.Duration(rand.Int64N(int64(heartbeatInterval))))
		}
		for a.ctx.Err() == nil {
			if !e.announcementLost() {
				announcement := e.Announcement(false)
				if !a.gate.wait() { // it waits in a buffer while the agent is frozen
					return
				}
				a.executor.Announce(announcement)
			}
			select {
			case <-time.After(heartbeatInterval):
			case <-a.ctx.Done():
			}
		}
	}()
	go a.manage(a.chooseEntries, a.connectTo, func(incarnation string) bool { return a.executor.IsSuspect(incarnation, playSuspect) }, a.retire)
}

// gatedEndpoint is the endpoint as seen by an agent that may be frozen.
type gatedEndpoint struct {
	*Endpoint
	gate *gate
}

// pass waits while the agent is frozen. A call that has waited may be sent after its timeout.
func (g *gatedEndpoint) pass(ctx context.Context) (context.Context, bool) {
	if !g.gate.wait() {
		return ctx, false
	}
	if ctx.Err() != nil && rand.IntN(2) == 0 {
		return ctx, false
	}
	return ctx, true
}

var errNotSent = errors.New("the call was not sent")

func (g *gatedEndpoint) Start(ctx context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	if _, ok := g.pass(ctx); !ok {
		return endpointapi.StartReply{Result: endpointapi.StartUnknown, Err: errNotSent}
	}
	r := g.Endpoint.Start(ctx, o)
	g.gate.wait()
	return r
}

func (g *gatedEndpoint) Stop(ctx context.Context, o endpointapi.StopRequest) error {
	if _, ok := g.pass(ctx); !ok {
		return errNotSent
	}
	err := g.Endpoint.Stop(ctx, o)
	g.gate.wait()
	return err
}

func (g *gatedEndpoint) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	if _, ok := g.pass(ctx); !ok {
		return endpointapi.Observation{}, errNotSent
	}
	observation, err := g.Endpoint.Observe(ctx, o)
	g.gate.wait()
	return observation, err
}

func (a *playAgent) chooseEntries(down map[string]bool) []string {
	candidates := policy.PlacementEntries(a.system.listed, "", down)
	if len(a.system.listed) <= policy.SmallDeploymentEntries {
		return candidates
	}
	return rendezvous.Choose(a.host, candidates, down, 1, len(candidates))
}

func (n *playEntry) chooseEntries(down map[string]bool) []string {
	candidates := others(policy.PlacementEntries(n.system.listed, "", down), n.host)
	return rendezvous.Choose(n.host, candidates, down, forwardTargets, len(candidates))
}

// manage connects the process to the chosen entries, as relay.entryConns does.
func (p *playProcess) manage(choose func(down map[string]bool) []string, connect func(t *playTarget, to *playEntry),
	isSuspect func(incarnation string) bool, retire func(t *playTarget)) {
	for p.ctx.Err() == nil {
		if !p.gate.wait() {
			return
		}
		p.reconcile(choose, connect, isSuspect, retire)
		time.Sleep(playReconcile)
	}
}

func (p *playProcess) reconcile(choose func(down map[string]bool) []string, connect func(t *playTarget, to *playEntry),
	isSuspect func(incarnation string) bool, retire func(t *playTarget)) {
	now := time.Now()
	down, open := make(map[string]bool), make(map[string]string)
	p.mu.Lock()
	for _, e := range p.system.listed {
		t := p.targets[e.Address]
		if t == nil {
			t = &playTarget{}
			p.targets[e.Address] = t
		}
		down[e.Address] = t.draining || t.maintained && !t.connected && now.Sub(t.disconnectedAt) > playDownTimeout
		if t.connected {
			open[e.Address] = t.incarnation
		}
	}
	p.mu.Unlock()
	for address, incarnation := range open {
		down[address] = down[address] || isSuspect(incarnation)
	}
	chosen := choose(down)
	for _, e := range p.system.listed {
		p.mu.Lock()
		t := p.targets[e.Address]
		wanted := slices.Contains(chosen, e.Address)
		if wanted && !t.maintained {
			t.maintained, t.retiring, t.disconnectedAt = true, false, now
		}
		retireNow := !wanted && t.maintained && !t.retiring
		switch {
		case retireNow && t.connected:
			t.retiring = true
		case retireNow:
			t.maintained, retireNow = false, false
		}
		dial := t.maintained && !t.connected && !t.retiring
		p.mu.Unlock()
		if retireNow {
			go retire(t)
		}
		if dial {
			p.dial(t, e.Address, connect)
		}
	}
}

// dial connects to the current process of an entry if it can be reached.
func (p *playProcess) dial(t *playTarget, address string, connect func(t *playTarget, to *playEntry)) {
	to := p.system.entryAt(address)
	there, _ := p.system.network.state(p.host, address)
	back, _ := p.system.network.state(address, p.host)
	if to == nil || !there || !back || !to.gate.runs() {
		return
	}
	conn := newPlayConn(p.system.ctx, p.system.network, p.system.timeline.newConnection(), p.host, address, p.gate, to.gate)
	p.mu.Lock()
	t.conn, t.incarnation, t.connected, t.draining = conn, to.incarnation(), true, false
	p.mu.Unlock()
	connect(t, to)
}

// markClosed records that a connection has ended.
func (p *playProcess) markClosed(t *playTarget, conn *playConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.conn != conn {
		return
	}
	t.connected, t.disconnectedAt = false, time.Now()
	if t.retiring {
		t.maintained, t.retiring = false, false
	}
}

func (p *playProcess) markDraining(t *playTarget, conn *playConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.conn == conn && t.connected {
		t.draining = true
	}
}

func (s *playSystem) entryAt(address string) *playEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		if e != nil && e.host == address {
			return e
		}
	}
	return nil
}

func (a *playAgent) connectTo(t *playTarget, to *playEntry) {
	conn, incarnation, s := t.conn, to.incarnation(), a.system
	number := a.executor.Connected(incarnation, conn.sender(0))
	conn.start(0, func(m wire.Message) {
		s.timeline.addMessage(conn.number, incarnation, a.host, m)
		if _, ok := m.(*wire.EntryDraining); ok {
			a.markDraining(t, conn)
			return
		}
		a.executor.Handle(incarnation, number, m)
	}, func() {
		a.markClosed(t, conn)
		a.executor.Disconnected(incarnation, number)
	})
	go func() {
		name := a.host
		n := to.Coordinator.Connected(name, conn.sender(1))
		conn.start(1, func(m wire.Message) {
			s.timeline.addMessage(conn.number, name, incarnation, m)
			to.Coordinator.Handle(name, n, m)
		}, func() { to.Coordinator.Disconnected(name, n) })
	}()
}

func (a *playAgent) retire(t *playTarget) {
	a.mu.Lock()
	conn, incarnation := t.conn, t.incarnation
	a.mu.Unlock()
	a.executor.Retire(incarnation)
	for !conn.isClosed(0) && a.ctx.Err() == nil {
		time.Sleep(playRetirePoll)
		if !a.gate.wait() {
			return
		}
		if a.executor.Outstanding(incarnation) == 0 {
			conn.closeEnd(0, true)
		}
	}
}

func (n *playEntry) connectTo(t *playTarget, to *playEntry) {
	conn, s := t.conn, n.system
	number := n.Router.Connected(to.incarnation(), "", conn.sender(0))
	n.mu.Lock()
	t.number = number
	n.mu.Unlock()
	conn.start(0, func(m wire.Message) {
		s.timeline.addMessage(conn.number, to.incarnation(), n.incarnation(), m)
		if status, ok := m.(*wire.PlacementStatus); ok && (status.Draining || status.Closed) {
			n.markDraining(t, conn)
		}
		if !n.Router.Handle(number, m) {
			conn.closeEnd(0, true)
		}
	}, func() {
		n.markClosed(t, conn)
		n.Router.Disconnected(number)
	})
	go func() {
		forwarder := to.Router.ForwarderConnected(n.incarnation(), conn.sender(1))
		conn.start(1, func(m wire.Message) {
			s.timeline.addMessage(conn.number, n.incarnation(), to.incarnation(), m)
			if !to.Router.HandleForwarder(forwarder, m) {
				conn.closeEnd(1, true)
			}
		}, func() { to.Router.ForwarderDisconnected(forwarder) })
	}()
}

func (n *playEntry) retire(t *playTarget) {
	n.mu.Lock()
	conn, number := t.conn, t.number
	n.mu.Unlock()
	n.Router.Retire(n.playProcess.ctx, number)
	if n.gate.wait() {
		conn.closeEnd(0, true)
	}
}

// freezeLoop blocks the event loop to which connect adds a connection, until the process is thawed.
func freezeLoop(g *gate, connect func(send func(wire.Message) error)) {
	go connect(func(wire.Message) error {
		for {
			frozen, _, _ := g.state()
			if frozen == nil {
				return errConnClosed
			}
			<-frozen
		}
	})
}

func (s *playSystem) freezeAgent(i int, d time.Duration) {
	s.mu.Lock()
	a := s.agents[i]
	s.mu.Unlock()
	s.timeline.addFault("%s is frozen for %v", a.host, d)
	a.gate.freeze()
	freezeLoop(a.gate, func(send func(wire.Message) error) { a.executor.Connected("frozen", send) })
	time.AfterFunc(d, func() {
		s.timeline.addFault("%s is thawed", a.host)
		a.gate.thaw()
	})
}

func (s *playSystem) freezeEntry(i int, d time.Duration) {
	s.mu.Lock()
	n := s.entries[i]
	s.mu.Unlock()
	s.timeline.addFault("%s is frozen for %v", n.host, d)
	n.gate.freeze()
	n.routerStop()
	freezeLoop(n.gate, func(send func(wire.Message) error) { n.Coordinator.Connected("frozen", send) })
	time.AfterFunc(d, func() {
		s.timeline.addFault("%s is thawed", n.host)
		n.gate.thaw()
		time.Sleep(rand.N(maxThawDelay))
		n.runRouter()
	})
}

// killEntry ends the process of an entry and starts another one after the given time.
func (s *playSystem) killEntry(i int, restart time.Duration) {
	s.mu.Lock()
	n := s.entries[i]
	s.mu.Unlock()
	s.timeline.addFault("%s is killed, restart after %v", n.host, restart)
	n.end()
	time.AfterFunc(restart, func() { s.startEntry(i, n.incarnationNumber+1) })
}

func (n *playEntry) end() {
	n.gate.kill()
	n.playProcess.stop()
	n.Entry.stop()
}

func (s *playSystem) killAgent(i int, restart time.Duration) {
	s.mu.Lock()
	a := s.agents[i]
	s.mu.Unlock()
	s.timeline.addFault("%s is killed, restart after %v", a.host, restart)
	a.gate.kill()
	a.stop()
	var saved *endpointapi.Announcement
	if rand.IntN(2) == 0 {
		announcement := s.Endpoints[i].Announcement(false)
		saved = &announcement
	}
	time.AfterFunc(restart, func() { s.startAgent(i, saved) })
}

// drainEntry tells an entry to stop and starts another process once its jobs have ended.
func (s *playSystem) drainEntry(i int) {
	s.mu.Lock()
	n := s.entries[i]
	n.notReady = true
	s.mu.Unlock()
	s.timeline.addFault("%s drains", n.host)
	go func() {
		n.Router.StartDraining()
		n.Coordinator.Drain()
		time.Sleep(playBalancerTime)
		ctx, cancel := context.WithTimeout(n.playProcess.ctx, 3*time.Second)
		defer cancel()
		n.Router.Close(ctx)
		for ctx.Err() == nil && n.Coordinator.ActiveJobs() > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		if n.playProcess.ctx.Err() != nil {
			return // killed meanwhile
		}
		s.killEntry(i, 300*time.Millisecond)
	}()
}
