// Package router hands jobs to the entries that place them. Where there are many
// entries, a few of them order the tasks at all endpoints, each at its own part of them:
// an entry that ordered from its own part would have a dozen endpoints, whatever its
// callers need. The others pass their callers' jobs on.
package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// Sender queues a message to a peer without blocking for long. An error means that the
// message is not sent and that the connection is of no more use.
type Sender = func(m wire.Message) error

// JobRunner runs jobs at the endpoints whose agents serve this process.
type JobRunner interface {
	Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error)
	// ServiceLoads returns the room there, and Labels the labels of the endpoints.
	ServiceLoads() []wire.ServiceRoom
	Labels() []wire.ServiceLabels
	// SetEvacuated takes the data centres at which no task may begin.
	SetEvacuated(m wire.Emptied)
}

const (
	// peerTimeout is when jobs at a silent peer are given up, by both sides. Callers send
	// such a job again 1,300 ms later, when its runs must have ended: this time, and the
	// time after which agents stop the runs of a silent entry, have passed by then.
	peerTimeout = 450 * time.Millisecond
	// heartbeatInterval is the longest silence towards a peer while jobs are under way.
	heartbeatInterval = 120 * time.Millisecond
	// minLoadInterval is the shortest time between two statements of the room, and
	// roomIdle the longest. A change by less than roomChange of the capacity waits.
	minLoadInterval = 50 * time.Millisecond
	maxLoadInterval = 80 * time.Millisecond
	minLoadChange   = 0.05
	// suspectTimeout is when a silent peer gets no more jobs. It has missed two statements of
	// its room then.
	suspectTimeout = 200 * time.Millisecond
	// checkInterval is the time between two checks of the peers.
	checkInterval = 25 * time.Millisecond
)

// Config holds what a Router needs.
type Config struct {
	Local   JobRunner
	Region  string
	Policy  policy.Policy
	Log     *event.Logger
	Metrics *Metrics
}

// Router passes the jobs of callers on to the entries that place them, and runs those
// that others pass on to this one. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu               sync.Mutex
	enabled          bool
	draining         bool // this process will stop
	closed           bool // this process places no more jobs
	random           *rand.Rand
	local            *placementEntry            // this process
	lastConnection   uint64                     // of the last connection
	placementEntries map[uint64]*placementEntry // by connection
	clients          map[uint64]*client         // by connection
	changed          chan struct{}              // closed when a placer may have become usable
	sentLoads        []wire.ServiceRoom         // the room that the clients were told last
	loadsSentAt      time.Time                  // when they were told
	evacuated        wire.Emptied
}

// placementEntry is an entry that this one passes jobs on to.
type placementEntry struct {
	connection   uint64
	node         string
	otherRegion  bool
	send         Sender
	lastReceived time.Time
	lastSent     time.Time
	// retired is set when the connection gets no more jobs.
	retired    bool
	loads      wire.Rooms
	labels     []wire.ServiceLabels
	lastNumber uint64 // of the last job
	forwarded  map[uint64]*forwardedJob
}

// forwardedJob is a job that a placer has.
type forwardedJob struct {
	done       chan outcome
	service    string
	milliCores uint64
}

type outcome struct {
	state job.State
	err   *errkind.Error
}

// New returns a Router that passes nothing on until it is enabled.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), local: &placementEntry{node: "local"},
		placementEntries: make(map[uint64]*placementEntry), clients: make(map[uint64]*client), changed: make(chan struct{}),
	}
}

// SetEnabled makes this process pass jobs on, where there are many entries, or place all
// jobs of its callers itself.
func (r *Router) SetEnabled(enabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.enabled == enabled {
		return
	}
	r.enabled = enabled
	r.notify()
	r.cfg.Log.Log(event.RoutingChanged, "enabled", enabled)
}

// SetEvacuated takes the data centres at which no task may begin, and tells the entries that
// place jobs, which the store may not serve.
func (r *Router) SetEvacuated(m wire.Emptied) {
	r.cfg.Local.SetEvacuated(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = m
	for _, p := range r.placementEntries {
		r.sendTo(p, &m)
	}
}

// notify wakes the jobs that wait for a placer. r.mu is held.
func (r *Router) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Connected takes a connection to an entry that may place jobs.
func (r *Router) Connected(node, region string, send Sender) (connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConnection++
	r.placementEntries[r.lastConnection] = &placementEntry{
		connection: r.lastConnection, node: node, otherRegion: region != r.cfg.Region, send: send, lastReceived: time.Now(),
		forwarded: make(map[uint64]*forwardedJob),
	}
	r.cfg.Log.Log(event.PlacerConnected, "entry", node, "connection", r.lastConnection)
	if r.evacuated.Version > 0 {
		m := r.evacuated
		r.sendTo(r.placementEntries[r.lastConnection], &m)
	}
	return r.lastConnection
}

// Disconnected takes note that a connection has ended.
func (r *Router) Disconnected(connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.placementEntries[connection]; p != nil {
		r.dropPlacementEntry(p, "the connection has ended")
	}
}

// dropPlacementEntry gives up the jobs that a placer has. r.mu is held.
func (r *Router) dropPlacementEntry(p *placementEntry, why string) {
	delete(r.placementEntries, p.connection)
	r.cfg.Log.Log(event.PlacerLost, "entry", p.node, "why", why, "jobs", len(p.forwarded),
		"heard_ms_ago", time.Since(p.lastReceived).Milliseconds())
	for n, c := range p.forwarded {
		delete(p.forwarded, n)
		r.cfg.Metrics.lost.Inc()
		c.done <- outcome{err: errkind.New(errkind.HomeLost, "the entry that placed the job was lost: %s", why)}
	}
}

// Handle takes a message of an entry that places jobs. It reports whether the connection
// is still in use; one that was silent is not.
func (r *Router) Handle(connection uint64, m wire.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.placementEntries[connection]
	if p == nil {
		return false
	}
	p.lastReceived = time.Now()
	switch m := m.(type) {
	case *wire.Rooms:
		p.loads = *m
		if m.Labels != nil {
			p.labels = m.Labels
		}
		r.notify()
	case *wire.Placed:
		c := p.forwarded[m.Number]
		if c != nil { // otherwise its caller has gone
			delete(p.forwarded, m.Number)
			c.done <- placedOutcome(m)
		}
	}
	return true
}

func placedOutcome(m *wire.Placed) outcome {
	if m.Kind == "" {
		return outcome{state: job.State(m.State)}
	}
	err := errkind.New(errkind.Kind(m.Kind), "%s", m.Detail)
	err.RetryAfter = time.Duration(m.RetryAfterMillis) * time.Millisecond
	return outcome{err: err}
}

// sendTo sends m to p, which is lost if that fails. r.mu is held.
func (r *Router) sendTo(p *placementEntry, m wire.Message) bool {
	p.lastSent = time.Now()
	if err := p.send(m); err != nil {
		r.dropPlacementEntry(p, fmt.Sprintf("it cannot be sent to: %v", err))
		return false
	}
	return true
}

// Ready reports whether an entry that can place jobs is connected.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.placementEntries {
		if !p.loads.Closed && len(p.loads.Services) > 0 {
			return true
		}
	}
	return false
}

// Retire sends no more jobs by a connection, and returns when those that were sent are
// answered.
func (r *Router) Retire(ctx context.Context, connection uint64) {
	const check = 100 * time.Millisecond
	for {
		r.mu.Lock()
		p := r.placementEntries[connection]
		done := p == nil || len(p.forwarded) == 0
		if p != nil {
			p.retired = true
		}
		r.mu.Unlock()
		if done {
			return
		}
		select {
		case <-time.After(check):
		case <-ctx.Done():
			return
		}
	}
}

// Run keeps the connections alive and states the room until ctx ends.
func (r *Router) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			now := time.Now()
			r.mu.Lock()
			r.checkPlacementEntries(now)
			r.checkClients(now)
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// checkPlacementEntries gives up the jobs at silent placers. r.mu is held.
func (r *Router) checkPlacementEntries(now time.Time) {
	for _, p := range r.placementEntries {
		switch {
		case len(p.forwarded) == 0:
		case now.Sub(p.lastReceived) > peerTimeout:
			r.dropPlacementEntry(p, "it is silent")
		case now.Sub(p.lastSent) > heartbeatInterval:
			r.sendTo(p, &wire.Heartbeat{})
		}
	}
}
