package router

import (
	"context"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// client is an entry that forwards jobs to this one.
type client struct {
	connection   uint64
	node         string
	send         Sender
	lastReceived time.Time
	lastSent     time.Time
	lastNumber   uint64                        // highest number of a received job
	sentLabels   []wire.ServiceLabels          // last sent to it
	jobs         map[uint64]context.CancelFunc // running for it, by number
}

// ClientConnected adds a connection of an entry that forwards jobs, and returns its number.
func (r *Router) ClientConnected(node string, send Sender) (connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastConnection++
	c := &client{
		connection: r.lastConnection, node: node, send: send, lastReceived: time.Now(), jobs: make(map[uint64]context.CancelFunc),
	}
	r.clients[c.connection] = c
	r.sendLoads(c, r.localLoads(), time.Now())
	return c.connection
}

// ClientDisconnected removes a connection of such an entry that has closed.
func (r *Router) ClientDisconnected(connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[connection]; c != nil {
		r.dropClient(c, "the connection was closed")
	}
}

// dropClient removes c and cancels its jobs, whose outcomes can no longer be sent. r.mu must
// be held.
func (r *Router) dropClient(c *client, why string) {
	delete(r.clients, c.connection)
	if len(c.jobs) > 0 {
		r.cfg.Log.Log(event.ForwardingEntryLost, "entry", c.node, "why", why, "jobs", len(c.jobs),
			"heard_ms_ago", time.Since(c.lastReceived).Milliseconds())
	}
	for n, cancel := range c.jobs {
		delete(c.jobs, n)
		cancel()
	}
}

// HandleClient handles a message of an entry that forwards jobs. It reports whether the
// connection is still in use; one that was dropped as unresponsive is not.
func (r *Router) HandleClient(connection uint64, m wire.Message) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.clients[connection]
	if c == nil {
		return false
	}
	c.lastReceived = time.Now()
	switch m := m.(type) {
	case *wire.Place:
		r.runJob(c, m)
	case *wire.Evacuated:
		r.cfg.Local.SetEvacuated(*m)
	case *wire.Withdraw:
		for _, n := range m.Numbers {
			if cancel := c.jobs[n]; cancel != nil {
				delete(c.jobs, n)
				cancel()
			}
		}
	}
	return true
}

// runJob runs a job that c has forwarded. r.mu must be held.
func (r *Router) runJob(c *client, m *wire.Place) {
	c.lastNumber = max(c.lastNumber, m.Number)
	var s job.Submission
	if err := cbor.Unmarshal(m.Job, &s); err != nil {
		r.sendOutcome(c, m.Number, outcome{err: errkind.New(errkind.InvalidRequest, "decode the job: %w", err)})
		return
	}
	if r.closed {
		r.sendOutcome(c, m.Number, outcome{err: errkind.New(errkind.Draining, "the entry has stopped placing jobs")})
		return
	}
	r.cfg.Metrics.received.Inc()
	r.cfg.Log.Log(event.ForwardedJobAccepted, "job", s.ID, "entry", c.node, "number", m.Number, "elapsed_ms", s.Elapsed.Milliseconds())
	ctx, cancel := context.WithCancel(context.Background())
	c.jobs[m.Number] = cancel
	go func() {
		defer cancel()
		state, err := r.cfg.Local.Submit(ctx, s)
		r.mu.Lock()
		defer r.mu.Unlock()
		if c.jobs[m.Number] == nil {
			return // withdrawn
		}
		delete(c.jobs, m.Number)
		r.sendOutcome(c, m.Number, outcome{state, err})
	}()
}

// sendOutcome sends the outcome of a job to c. r.mu must be held.
func (r *Router) sendOutcome(c *client, number uint64, o outcome) {
	m := &wire.PlaceResult{Number: number, State: string(o.state)}
	if o.err != nil {
		m.Kind, m.Detail, m.RetryAfterMillis = string(o.err.Kind), o.err.Detail, uint32(o.err.RetryAfter.Milliseconds())
	}
	r.sendToClient(c, m)
}

func (r *Router) sendToClient(c *client, m wire.Message) {
	c.lastSent = time.Now()
	if err := c.send(m); err != nil && r.clients[c.connection] == c {
		r.dropClient(c, "sending to it failed")
	}
}

// StartDraining tells the clients that this entry is about to stop. It still places jobs that no
// other entry can place. Otherwise, when all entries stop together, the jobs of their callers
// would be refused although the endpoints have free capacity.
func (r *Router) StartDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.sendLoadsToAll()
}

// Close tells the clients that this entry places no more jobs, and returns when the jobs that
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
		for _, c := range r.clients {
			n += len(c.jobs)
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

// sendLoadsToAll sends the loads of this process to all clients. r.mu must be held.
func (r *Router) sendLoadsToAll() {
	loads, now := r.localLoads(), time.Now()
	for _, c := range r.clients {
		r.sendLoads(c, loads, now)
	}
}

// localLoads returns the loads of this process; none if it is closed. r.mu must be held.
func (r *Router) localLoads() []wire.ServiceLoad {
	if r.closed {
		return nil
	}
	return r.cfg.Local.ServiceLoads()
}

// sendLoads sends the given loads to c, with the labels if they have changed. r.mu must be held.
func (r *Router) sendLoads(c *client, loads []wire.ServiceLoad, now time.Time) {
	m := &wire.PlacementStatus{Services: loads, Accepted: c.lastNumber, Closed: r.closed, Draining: r.draining}
	if labels := r.cfg.Local.Labels(); !sameLabels(labels, c.sentLabels) {
		m.Labels, c.sentLabels = labels, labels
	}
	r.sendToClient(c, m)
}

// sameLabels reports whether a and b share their elements. JobRunner returns another slice when
// the labels change.
func sameLabels(a, b []wire.ServiceLabels) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// checkClients drops unresponsive clients that have jobs, and sends loads to the others. r.mu
// must be held.
func (r *Router) checkClients(now time.Time) {
	if len(r.clients) == 0 {
		return
	}
	loads := r.localLoads()
	changed := now.Sub(r.loadsSentAt) >= minLoadInterval && loadsDiffer(loads, r.sentLoads)
	if changed {
		r.sentLoads, r.loadsSentAt = loads, now
	}
	for _, c := range r.clients {
		switch {
		case len(c.jobs) > 0 && now.Sub(c.lastReceived) > peerTimeout:
			r.dropClient(c, "the entry is unresponsive")
		case changed || now.Sub(c.lastSent) > maxLoadInterval:
			r.sendLoads(c, loads, now)
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
