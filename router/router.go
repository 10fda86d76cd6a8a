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

// Jobs runs jobs at the endpoints whose agents serve this process.
type Jobs interface {
	Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error)
	// Rooms returns the room there, and Labels the labels of the endpoints.
	Rooms() []wire.ServiceLoad
	Labels() []wire.ServiceLabels
	// SetEmptied takes the data centres at which no task may begin.
	SetEmptied(m wire.Evacuated)
}

const (
	// peerSilence is when jobs at a silent peer are given up, by both sides. Callers send
	// such a job again 1,300 ms later, when its runs must have ended: this time, and the
	// time after which agents stop the runs of a silent entry, have passed by then.
	peerSilence = 450 * time.Millisecond
	// heartbeat is the longest silence towards a peer while jobs are under way.
	heartbeat = 120 * time.Millisecond
	// roomInterval is the shortest time between two statements of the room, and
	// roomIdle the longest. A change by less than roomChange of the capacity waits.
	roomInterval = 50 * time.Millisecond
	roomIdle     = 80 * time.Millisecond
	roomChange   = 0.05
	// peerDoubt is when a silent peer gets no more jobs. It has missed two statements of
	// its room then.
	peerDoubt = 200 * time.Millisecond
	// checkInterval is the time between two checks of the peers.
	checkInterval = 25 * time.Millisecond
)

// Config holds what a Router needs.
type Config struct {
	Local   Jobs
	Region  string
	Policy  policy.Policy
	Log     *event.Logger
	Metrics *Metrics
}

// Router passes the jobs of callers on to the entries that place them, and runs those
// that others pass on to this one. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu      sync.Mutex
	enabled bool
	leaving bool // this process will stop
	closed  bool // this process places no more jobs
	random  *rand.Rand
	local   *placer            // this process
	number  uint64             // of the last connection
	placers map[uint64]*placer // by connection
	clients map[uint64]*client // by connection
	changed chan struct{}      // closed when a placer may have become usable
	stated  []wire.ServiceLoad // the room that the clients were told last
	told    time.Time          // when they were told
	emptied wire.Evacuated
}

// placer is an entry that this one passes jobs on to.
type placer struct {
	connection uint64
	node       string
	far        bool
	send       Sender
	heard      time.Time
	sentAt     time.Time
	// retired is set when the connection gets no more jobs.
	retired bool
	rooms   wire.PlacementStatus
	labels  []wire.ServiceLabels
	number  uint64 // of the last job
	calls   map[uint64]*call
}

// call is a job that a placer has.
type call struct {
	ended      chan outcome
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
		cfg: cfg, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), local: &placer{node: "local"},
		placers: make(map[uint64]*placer), clients: make(map[uint64]*client), changed: make(chan struct{}),
	}
}

// Enable makes this process pass jobs on, where there are many entries, or place all
// jobs of its callers itself.
func (r *Router) Enable(enabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.enabled == enabled {
		return
	}
	r.enabled = enabled
	r.notify()
	r.cfg.Log.Log(event.ForwardingChanged, "enabled", enabled)
}

// SetEmptied takes the data centres at which no task may begin, and tells the entries that
// place jobs, which the store may not serve.
func (r *Router) SetEmptied(m wire.Evacuated) {
	r.cfg.Local.SetEmptied(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.emptied = m
	for _, p := range r.placers {
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
	r.number++
	r.placers[r.number] = &placer{
		connection: r.number, node: node, far: region != r.cfg.Region, send: send, heard: time.Now(),
		calls: make(map[uint64]*call),
	}
	r.cfg.Log.Log(event.PlacementEntryConnected, "entry", node, "connection", r.number)
	if r.emptied.Version > 0 {
		m := r.emptied
		r.sendTo(r.placers[r.number], &m)
	}
	return r.number
}

// Disconnected takes note that a connection has ended.
func (r *Router) Disconnected(connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.placers[connection]; p != nil {
		r.lose(p, "the connection has ended")
	}
}

// lose gives up the jobs that a placer has. r.mu is held.
func (r *Router) lose(p *placer, why string) {
	delete(r.placers, p.connection)
	r.cfg.Log.Log(event.PlacementEntryLost, "entry", p.node, "why", why, "jobs", len(p.calls),
		"heard_ms_ago", time.Since(p.heard).Milliseconds())
	for n, c := range p.calls {
		delete(p.calls, n)
		r.cfg.Metrics.lost.Inc()
		c.ended <- outcome{err: errkind.New(errkind.HomeLost, "the entry that placed the job was lost: %s", why)}
	}
}

// Handle takes a message of an entry that places jobs. It reports whether the connection
// is still in use; one that was silent is not.
func (r *Router) Handle(connection uint64, m wire.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.placers[connection]
	if p == nil {
		return false
	}
	p.heard = time.Now()
	switch m := m.(type) {
	case *wire.PlacementStatus:
		p.rooms = *m
		if m.Labels != nil {
			p.labels = m.Labels
		}
		r.notify()
	case *wire.PlaceResult:
		c := p.calls[m.Number]
		if c != nil { // otherwise its caller has gone
			delete(p.calls, m.Number)
			c.ended <- placedOutcome(m)
		}
	}
	return true
}

func placedOutcome(m *wire.PlaceResult) outcome {
	if m.Kind == "" {
		return outcome{state: job.State(m.State)}
	}
	err := errkind.New(errkind.Kind(m.Kind), "%s", m.Detail)
	err.RetryAfter = time.Duration(m.RetryAfterMillis) * time.Millisecond
	return outcome{err: err}
}

// sendTo sends m to p, which is lost if that fails. r.mu is held.
func (r *Router) sendTo(p *placer, m wire.Message) bool {
	p.sentAt = time.Now()
	if err := p.send(m); err != nil {
		r.lose(p, fmt.Sprintf("it cannot be sent to: %v", err))
		return false
	}
	return true
}

// Ready reports whether an entry that can place jobs is connected.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.placers {
		if !p.rooms.Closed && len(p.rooms.Services) > 0 {
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
		p := r.placers[connection]
		done := p == nil || len(p.calls) == 0
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
			r.checkPlacers(now)
			r.checkClients(now)
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// checkPlacers gives up the jobs at silent placers. r.mu is held.
func (r *Router) checkPlacers(now time.Time) {
	for _, p := range r.placers {
		switch {
		case len(p.calls) == 0:
		case now.Sub(p.heard) > peerSilence:
			r.lose(p, "it is silent")
		case now.Sub(p.sentAt) > heartbeat:
			r.sendTo(p, &wire.Heartbeat{})
		}
	}
}
