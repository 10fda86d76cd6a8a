package router

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// forwarder is a connection of an entry that forwards jobs to this one.
type forwarder struct {
	connection   uint64
	incarnation  string
	send         Sender
	lastReceived time.Time
	lastSent     time.Time
	lastNumber   uint64                        // highest number of a received job
	sentLabels   []wire.ServiceLabels          // last sent to it
	sharesSentAt time.Time                     // when share counts were last sent to it
	jobs         map[uint64]context.CancelFunc // cancel the jobs that run for it, by number
	// echoedClock is the newest ClockMillis that it has returned; 0 if it returns none. It is
	// written with Router.mu held.
	echoedClock atomic.Uint64
}

// ForwarderConnected adds a connection of an entry that forwards jobs to this one, and returns
// its number.
func (r *Router) ForwarderConnected(incarnation string, send Sender) (connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConnection++
	f := &forwarder{
		connection: r.lastConnection, incarnation: incarnation, send: send, lastReceived: time.Now(), jobs: make(map[uint64]context.CancelFunc),
	}
	r.forwarders[f.connection] = f
	r.sendLoads(f, r.localLoads(), time.Now())
	return f.connection
}

// ForwarderDisconnected removes a connection of a forwarder that has closed.
func (r *Router) ForwarderDisconnected(connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.forwarders[connection]; f != nil {
		r.dropForwarder(f, "the connection was closed")
	}
}

// dropForwarder removes f and cancels its jobs, whose outcomes can no longer be sent. r.mu must
// be held.
func (r *Router) dropForwarder(f *forwarder, why string) {
	delete(r.forwarders, f.connection)
	if len(f.jobs) > 0 {
		r.cfg.Log.Log(event.ForwarderLost, "entry", f.incarnation, "why", why, "jobs", len(f.jobs),
			"heard_ms_ago", time.Since(f.lastReceived).Milliseconds(), "status_age_ms", r.echoAge(f).Milliseconds())
	}
	for n, cancel := range f.jobs {
		delete(f.jobs, n)
		cancel()
	}
}

// HandleForwarder handles a message of a forwarder. It reports whether the connection is still
// in use; one that was dropped after PeerTimeout is not.
func (r *Router) HandleForwarder(connection uint64, m wire.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.forwarders[connection]
	if f == nil {
		return false
	}
	f.lastReceived = time.Now()
	switch m := m.(type) {
	case *wire.Place:
		f.recordEcho(m.StatusClockMillis)
		r.runJob(f, m)
	case *wire.Heartbeat:
		f.recordEcho(m.StatusClockMillis)
	case *wire.Evacuated:
		r.cfg.Local.SetEvacuated(*m)
	case *wire.Withdraw:
		for _, n := range m.Numbers {
			if cancel := f.jobs[n]; cancel != nil {
				delete(f.jobs, n)
				cancel()
			}
		}
	}
	return true
}

// runJob runs a job that f has forwarded. r.mu must be held.
func (r *Router) runJob(f *forwarder, m *wire.Place) {
	f.lastNumber = max(f.lastNumber, m.Number)
	var s job.Submission
	if err := cbor.Unmarshal(m.Job, &s); err != nil {
		r.sendOutcome(f, m.Number, outcome{err: errkind.New(errkind.InvalidRequest, "decode the job: %w", err)})
		return
	}
	if err := s.Validate(); err != nil {
		r.sendOutcome(f, m.Number, outcome{err: errkind.New(errkind.InvalidRequest, "%w", err)})
		return
	}
	if r.closed {
		r.sendOutcome(f, m.Number, outcome{err: errkind.New(errkind.Draining, "the entry has stopped placing jobs")})
		return
	}
	if r.isStale(f) {
		r.refuseStale(f, m.Number, &s)
		return
	}
	release, failure := r.cfg.Reserve(s.MemoryBytes())
	if failure != nil {
		r.sendOutcome(f, m.Number, outcome{err: failure})
		return
	}
	r.cfg.Metrics.received.Inc()
	r.cfg.Log.Log(event.ForwardedJobAccepted, "job", s.ID, "entry", f.incarnation, "number", m.Number, "elapsed_ms", s.Elapsed.Milliseconds(),
		"status_age_ms", r.echoAge(f).Milliseconds())
	ctx, cancel := context.WithCancel(context.Background())
	f.jobs[m.Number] = cancel
	s.CallerDisconnected = func() bool { return r.isStale(f) }
	go func() {
		defer release()
		defer cancel()
		state, err := r.cfg.Local.Submit(ctx, s)
		r.mu.Lock()
		defer r.mu.Unlock()
		if f.jobs[m.Number] == nil {
			return // withdrawn by the forwarder, or the forwarder was dropped
		}
		delete(f.jobs, m.Number)
		r.sendOutcome(f, m.Number, outcome{state, err})
	}()
}

// sendOutcome sends the outcome of a job to f. r.mu must be held.
func (r *Router) sendOutcome(f *forwarder, number uint64, o outcome) {
	m := &wire.PlaceResult{Number: number, State: string(o.state), ClockMillis: r.clockMillis()}
	if o.err != nil {
		m.Kind, m.Detail, m.RetryAfterMillis = string(o.err.Kind), o.err.Detail, uint32(o.err.RetryAfter.Milliseconds())
		m.HandoverTo = returnedTo(o.err)
	}
	r.sendToForwarder(f, m)
}

func (r *Router) sendToForwarder(f *forwarder, m wire.Message) {
	f.lastSent = time.Now()
	if err := f.send(m); err != nil && r.forwarders[f.connection] == f {
		r.dropForwarder(f, "sending to it failed")
	}
}

// StartDraining tells the forwarders that this entry is about to stop. It still places jobs that no
// other entry can place. Otherwise, when all entries stop together, the jobs of their callers
// would be refused although the endpoints have free capacity.
func (r *Router) StartDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.sendLoadsToAll()
}

// Close tells the forwarders that this entry places no more jobs, and returns when the jobs that
// it runs for them have an outcome or ctx ends.
func (r *Router) Close(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	r.mu.Lock()
	r.closed = true
	r.sendLoadsToAll()
	r.mu.Unlock()
	for {
		r.mu.Lock()
		n := 0
		for _, f := range r.forwarders {
			n += len(f.jobs)
		}
		r.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// sendLoadsToAll sends the loads of this process to all forwarders. r.mu must be held.
func (r *Router) sendLoadsToAll() {
	loads, now := r.localLoads(), time.Now()
	for _, f := range r.forwarders {
		r.sendLoads(f, loads, now)
	}
}

// localLoads returns the loads of this process; none if it is closed. r.mu must be held.
func (r *Router) localLoads() []wire.ServiceLoad {
	if r.closed {
		return nil
	}
	return r.cfg.Local.ServiceLoads()
}

// sendLoads sends the given loads to f, with the labels if they have changed. r.mu must be held.
func (r *Router) sendLoads(f *forwarder, loads []wire.ServiceLoad, now time.Time) {
	m := &wire.PlacementStatus{Services: loads, Accepted: f.lastNumber, Closed: r.closed, Draining: r.draining, ClockMillis: r.clockMillis()}
	if labels := r.cfg.Local.Labels(); !sameLabels(labels, f.sentLabels) {
		m.Labels, f.sentLabels = labels, labels
	}
	if r.cfg.Shares != nil && now.Sub(f.sharesSentAt) >= sharesInterval && r.isPlacementEntry(f) {
		if counts := r.cfg.Shares.ShareCounts(); now.Sub(f.sharesSentAt) >= intervalOf(counts) {
			m.Shares, f.sharesSentAt = counts, now
		}
	}
	r.sendToForwarder(f, m)
}

// intervalOf returns the shortest time between two messages with the given share counts.
func intervalOf(counts []wire.ServiceShares) time.Duration {
	groups := 0
	for i := range counts {
		groups += len(counts[i].Queues) + len(counts[i].DataCentres)
	}
	return min(max(sharesInterval, time.Duration(groups)*groupInterval), maxSharesInterval)
}

// isPlacementEntry reports whether f places jobs itself in this region. r.mu must be held.
func (r *Router) isPlacementEntry(f *forwarder) bool {
	for _, p := range r.placementEntries {
		if p.incarnation == f.incarnation && !p.otherRegion {
			return true
		}
	}
	return false
}

// sameLabels reports whether a and b share their elements. JobRunner returns another slice when
// the labels change.
func sameLabels(a, b []wire.ServiceLabels) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// checkForwarders drops forwarders that have jobs and have timed out, and sends loads to the
// others. r.mu must be held.
func (r *Router) checkForwarders(now time.Time) {
	if len(r.forwarders) == 0 {
		return
	}
	loads := r.localLoads()
	changed := now.Sub(r.loadsSentAt) >= minLoadInterval && loadsDiffer(loads, r.sentLoads)
	if changed {
		r.sentLoads, r.loadsSentAt = loads, now
	}
	for _, f := range r.forwarders {
		switch {
		case len(f.jobs) > 0 && now.Sub(f.lastReceived) > PeerTimeout:
			r.dropForwarder(f, "no message was received from it in time")
		case len(f.jobs) > 0 && r.isStale(f):
			r.dropForwarder(f, "its messages are out of date")
		case changed || now.Sub(f.lastSent) > maxLoadInterval:
			r.sendLoads(f, loads, now)
		}
	}
}

// loadsDiffer reports whether a and b differ enough to affect the choice of a placement entry.
func loadsDiffer(a, b []wire.ServiceLoad) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		demand := func(s wire.ServiceLoad) float64 { return float64(s.Used + s.Waiting) }
		if a[i].Service != b[i].Service || a[i].Capacity != b[i].Capacity ||
			math.Abs(demand(a[i])-demand(b[i])) > minLoadChange*float64(a[i].Capacity) {
			return true
		}
	}
	return false
}
