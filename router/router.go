// Package router forwards jobs to placement entries. In a deployment with many entries, only a
// few of them, the placement entries, order tasks, each at its own share of the endpoints.
// The other entries forward the jobs of their callers. If every entry placed jobs, each would
// have about a dozen endpoints, whatever its callers need.
package router

import (
	"cmp"
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
// message was not sent and the connection is unusable.
type Sender = func(m wire.Message) error

// JobRunner runs jobs at the endpoints whose agents are connected to this process.
type JobRunner interface {
	Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error)
	// ServiceLoads returns the load of these endpoints by service, and Labels their labels.
	ServiceLoads() []wire.ServiceLoad
	Labels() []wire.ServiceLabels
	// SetPeers sets the other placement entries and their loads.
	SetPeers(p *policy.Peers)
	// SetEvacuated sets the data centres at which no task may start.
	SetEvacuated(m wire.Evacuated)
}

const (
	// PeerTimeout is the time without a message after which both sides of a connection give
	// up its forwarded jobs. Callers resubmit such a job 1,300 ms later. By then its runs have
	// ended, since both this timeout and the one after which agents stop the runs of an entry
	// have passed.
	PeerTimeout = 450 * time.Millisecond
	// heartbeatInterval is the longest time between two messages to a peer that has jobs of
	// this entry.
	heartbeatInterval = 120 * time.Millisecond
	// minLoadInterval and maxLoadInterval bound the time between two load messages to a
	// forwarder. A change by less than minLoadChange, as a fraction of the capacity, does not
	// cause a message before maxLoadInterval.
	minLoadInterval = 50 * time.Millisecond
	maxLoadInterval = 80 * time.Millisecond
	minLoadChange   = 0.05
	// sharesInterval is the shortest time between two messages with share counts to a placement entry,
	// and groupInterval that for each group in them: the counts of 20 queues, some 70 groups, then use
	// less than 4 KB/s. They stay below the age of a second from which counts are ignored.
	sharesInterval    = 200 * time.Millisecond
	groupInterval     = 8 * time.Millisecond
	maxSharesInterval = 700 * time.Millisecond
	// SuspectTimeout is the time without a message after which a placement entry is suspect
	// and gets no more jobs. It has missed two load messages by then.
	SuspectTimeout = 200 * time.Millisecond
	// checkInterval is the time between two checks of the peers.
	checkInterval = 25 * time.Millisecond
)

// ShareExchange holds the decisions on jobs that placement entries tell each other.
type ShareExchange interface {
	// ShareCounts returns the decisions of this process, and SetShareCounts sets those of another one.
	ShareCounts() []wire.ServiceShares
	SetShareCounts(entry string, counts []wire.ServiceShares, receivedAt time.Time)
}

// Config holds the dependencies and settings of a Router.
type Config struct {
	Local   JobRunner
	Self    string // incarnation of this process, as other entries know it
	Region  string
	Policy  policy.Policy
	Log     *event.Logger
	Metrics *Metrics
	// Shares exchanges decisions with other placement entries; nil if fair shares are disabled.
	Shares ShareExchange
	// Reserve reserves the memory for a forwarded job until release is called; nil for no bound.
	Reserve func(bytes int64) (release func(), failure *errkind.Error)
	// Now returns a clock that also advances while the host is suspended; nil selects the
	// process's own clock.
	Now func() time.Duration
}

// Router forwards the jobs of callers to placement entries, and runs the jobs that other
// entries forward to this one. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu               sync.Mutex
	enabled          bool
	sharedAgents     bool // see SetSharedAgents
	draining         bool // this process is about to stop
	closed           bool // this process places no more jobs
	random           *rand.Rand
	local            *placementEntry            // represents this process
	lastConnection   uint64                     // number of the last connection
	placementEntries map[uint64]*placementEntry // by connection
	forwarders       map[uint64]*forwarder      // by connection
	changed          chan struct{}              // closed when the choice of a placement entry may have changed
	sentLoads        []wire.ServiceLoad         // last sent to the forwarders
	loadsSentAt      time.Time                  // time of the last change of sentLoads
	evacuated        wire.Evacuated
}

// placementEntry is an entry that this one can forward jobs to.
type placementEntry struct {
	connection   uint64
	incarnation  string
	otherRegion  bool
	send         Sender
	lastReceived time.Time
	clockMillis  uint64    // newest that it has sent
	lastEchoed   time.Time // when its clock was last returned to it
	// retired is set when the connection is no longer used for new jobs.
	retired bool
	loads   wire.PlacementStatus
	// loadsReceived is when loads was received.
	loadsReceived time.Time
	labels        []wire.ServiceLabels
	lastNumber    uint64 // of the last forwarded job
	forwarded     map[uint64]*forwardedJob
}

// forwardedJob is a job that was forwarded and has no outcome yet.
type forwardedJob struct {
	done       chan outcome
	service    string
	milliCores uint64
}

type outcome struct {
	state job.State
	err   *errkind.Error
}

// New returns a Router that forwards nothing until it is enabled.
func New(cfg Config) *Router {
	if cfg.Reserve == nil {
		cfg.Reserve = func(int64) (func(), *errkind.Error) { return func() {}, nil }
	}
	if created := time.Now(); cfg.Now == nil {
		cfg.Now = func() time.Duration { return time.Since(created) }
	}
	return &Router{
		cfg: cfg, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), local: &placementEntry{incarnation: cmp.Or(cfg.Self, "local")},
		placementEntries: make(map[uint64]*placementEntry), forwarders: make(map[uint64]*forwarder), changed: make(chan struct{}),
	}
}

// SetEnabled enables or disables forwarding. If it is disabled, as in a deployment with one
// entry, this process places all jobs of its callers itself.
func (r *Router) SetEnabled(enabled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.enabled == enabled {
		return
	}
	r.enabled = enabled
	r.notify()
	r.cfg.Log.Log(event.ForwardingChanged, "enabled", enabled)
}

// SetSharedAgents sets whether all entries place jobs at the same endpoints, as in a deployment
// with few entries. Then the id of a job alone decides which of them places it, whatever their
// loads, and a job that one of them has refused for want of capacity is not tried at another one.
func (r *Router) SetSharedAgents(shared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharedAgents = shared
}

// SetEvacuated sets the data centres at which no task may start, and sends them to the
// placement entries, which may be unable to read them from the store.
func (r *Router) SetEvacuated(m wire.Evacuated) {
	r.cfg.Local.SetEvacuated(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = m
	for _, p := range r.placementEntries {
		r.sendTo(p, &m)
	}
}

// notify wakes the jobs that wait for a placement entry. r.mu must be held.
func (r *Router) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Connected adds a connection to an entry that may place jobs, and returns its number.
func (r *Router) Connected(incarnation, region string, send Sender) (connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConnection++
	r.placementEntries[r.lastConnection] = &placementEntry{
		connection: r.lastConnection, incarnation: incarnation, otherRegion: region != r.cfg.Region, send: send, lastReceived: time.Now(),
		forwarded: make(map[uint64]*forwardedJob),
	}
	r.cfg.Log.Log(event.PlacementEntryConnected, "entry", incarnation, "connection", r.lastConnection)
	if r.evacuated.Version > 0 {
		m := r.evacuated
		r.sendTo(r.placementEntries[r.lastConnection], &m)
	}
	return r.lastConnection
}

// Disconnected removes a connection that has closed.
func (r *Router) Disconnected(connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.placementEntries[connection]; p != nil {
		r.dropPlacementEntry(p, "the connection was closed")
	}
}

// dropPlacementEntry removes p and fails the jobs forwarded to it. r.mu must be held.
func (r *Router) dropPlacementEntry(p *placementEntry, why string) {
	delete(r.placementEntries, p.connection)
	r.publishPeers()
	r.cfg.Log.Log(event.PlacementEntryLost, "entry", p.incarnation, "why", why, "jobs", len(p.forwarded),
		"heard_ms_ago", time.Since(p.lastReceived).Milliseconds())
	for n, f := range p.forwarded {
		delete(p.forwarded, n)
		r.cfg.Metrics.lost.Inc()
		f.done <- outcome{err: errkind.New(errkind.HomeLost, "the entry that placed the job was lost: %s", why)}
	}
}

// Handle handles a message of a placement entry. It reports whether the connection is still
// in use; one that was dropped after PeerTimeout is not.
func (r *Router) Handle(connection uint64, m wire.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.placementEntries[connection]
	if p == nil {
		return false
	}
	p.lastReceived = time.Now()
	switch m := m.(type) {
	case *wire.PlacementStatus:
		p.loads, p.loadsReceived = *m, p.lastReceived
		p.clockMillis = max(p.clockMillis, m.ClockMillis)
		if m.Labels != nil {
			p.labels = m.Labels
		}
		if r.cfg.Shares != nil && m.Shares != nil && !p.otherRegion {
			r.cfg.Shares.SetShareCounts(p.incarnation, m.Shares, p.lastReceived)
		}
		r.publishPeers()
		r.notify()
	case *wire.PlaceResult:
		p.clockMillis = max(p.clockMillis, m.ClockMillis)
		f := p.forwarded[m.Number]
		if f != nil { // otherwise its caller has disconnected
			delete(p.forwarded, m.Number)
			f.done <- placedOutcome(m)
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
	if m.HandoverTo != "" {
		err.Err = &job.Returned{To: m.HandoverTo}
	}
	return outcome{err: err}
}

// sendTo sends m to p, and drops p if that fails. It reports whether m was sent. r.mu must be
// held.
func (r *Router) sendTo(p *placementEntry, m wire.Message) bool {
	if err := p.send(m); err != nil {
		r.dropPlacementEntry(p, fmt.Sprintf("sending to it failed: %v", err))
		return false
	}
	return true
}

// Ready reports whether a connected placement entry can place jobs.
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

// Retire stops forwarding jobs over a connection, and returns when the forwarded ones have an
// outcome or ctx ends.
func (r *Router) Retire(ctx context.Context, connection uint64) {
	const pollInterval = 100 * time.Millisecond
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
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Run sends heartbeats and loads, and drops peers that have timed out, until ctx ends.
func (r *Router) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			now := time.Now()
			r.mu.Lock()
			r.checkPlacementEntries(now)
			r.checkForwarders(now)
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// checkPlacementEntries drops placement entries that have jobs and have timed out, and sends
// heartbeats to the others that have jobs. r.mu must be held.
func (r *Router) checkPlacementEntries(now time.Time) {
	for _, p := range r.placementEntries {
		switch {
		case len(p.forwarded) == 0:
		case now.Sub(p.lastReceived) > PeerTimeout:
			r.dropPlacementEntry(p, "no message was received from it in time")
		case now.Sub(p.lastEchoed) > heartbeatInterval:
			p.lastEchoed = now
			r.sendTo(p, &wire.Heartbeat{StatusClockMillis: p.clockMillis})
		}
	}
}
