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

// client is an entry that passes jobs on to this one.
type client struct {
	connection   uint64
	node         string
	send         Sender
	lastReceived time.Time
	lastSent     time.Time
	lastNumber   uint64                        // number of the last job
	sentLabels   []wire.ServiceLabels          // as it was told last
	jobs         map[uint64]context.CancelFunc // that run here
}

// ClientConnected takes a connection of an entry that passes jobs on.
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

// ClientDisconnected takes note that the connection of such an entry has ended.
func (r *Router) ClientDisconnected(connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[connection]; c != nil {
		r.dropClient(c, "the connection has ended")
	}
}

// dropClient stops the jobs of an entry whose callers get no answer any more. r.mu is
// held.
func (r *Router) dropClient(c *client, why string) {
	delete(r.clients, c.connection)
	if len(c.jobs) > 0 {
		r.cfg.Log.Log(event.ClientLost, "entry", c.node, "why", why, "jobs", len(c.jobs),
			"heard_ms_ago", time.Since(c.lastReceived).Milliseconds())
	}
	for n, cancel := range c.jobs {
		delete(c.jobs, n)
		cancel()
	}
}

// HandleClient takes a message of an entry that passes jobs on. It reports whether the
// connection is still in use; one that was silent is not.
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
	case *wire.Emptied:
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

// runJob runs a job for c. r.mu is held.
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
	r.cfg.Log.Log(event.JobTaken, "job", s.ID, "entry", c.node, "number", m.Number, "elapsed_ms", s.Elapsed.Milliseconds())
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

// sendOutcome sends the outcome of a job to c. r.mu is held.
func (r *Router) sendOutcome(c *client, number uint64, o outcome) {
	m := &wire.Placed{Number: number, State: string(o.state)}
	if o.err != nil {
		m.Kind, m.Detail, m.RetryAfterMillis = string(o.err.Kind), o.err.Detail, uint32(o.err.RetryAfter.Milliseconds())
	}
	r.sendToClient(c, m)
}

func (r *Router) sendToClient(c *client, m wire.Message) {
	c.lastSent = time.Now()
	if err := c.send(m); err != nil && r.clients[c.connection] == c {
		r.dropClient(c, "it cannot be sent to")
	}
}

// StartDraining tells the others that this entry will stop: it places jobs only where no other
// entry can. Its own callers and those of others that stop together with it would be refused
// otherwise, with the endpoints free.
func (r *Router) StartDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.sendLoadsToAll()
}

// Close tells the others that this entry places no more jobs, and returns when those that
// it has are answered, or ctx ends.
func (r *Router) Close(ctx context.Context) {
	const check = 20 * time.Millisecond
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
		case <-time.After(check):
		case <-ctx.Done():
			return
		}
	}
}

// sendLoadsToAll tells all clients the room here. r.mu is held.
func (r *Router) sendLoadsToAll() {
	rooms, now := r.localLoads(), time.Now()
	for _, c := range r.clients {
		r.sendLoads(c, rooms, now)
	}
}

// localLoads returns the room here. r.mu is held.
func (r *Router) localLoads() []wire.ServiceRoom {
	if r.closed {
		return nil
	}
	return r.cfg.Local.ServiceLoads()
}

// sendLoads tells c the room here. r.mu is held.
func (r *Router) sendLoads(c *client, rooms []wire.ServiceRoom, now time.Time) {
	m := &wire.Rooms{Services: rooms, Taken: c.lastNumber, Closed: r.closed, Leaving: r.draining}
	if labels := r.cfg.Local.Labels(); !sameLabels(labels, c.sentLabels) {
		m.Labels, c.sentLabels = labels, labels
	}
	r.sendToClient(c, m)
}

// sameLabels reports whether a and b are one value, which is replaced when it changes.
func sameLabels(a, b []wire.ServiceLabels) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// checkClients stops the jobs of silent entries and tells the others of changes. r.mu is
// held.
func (r *Router) checkClients(now time.Time) {
	if len(r.clients) == 0 {
		return
	}
	rooms := r.localLoads()
	changed := now.Sub(r.loadsSentAt) >= minLoadInterval && loadsDiffer(rooms, r.sentLoads)
	if changed {
		r.sentLoads, r.loadsSentAt = rooms, now
	}
	for _, c := range r.clients {
		switch {
		case len(c.jobs) > 0 && now.Sub(c.lastReceived) > peerTimeout:
			r.dropClient(c, "it is silent")
		case changed || now.Sub(c.lastSent) > maxLoadInterval:
			r.sendLoads(c, rooms, now)
		}
	}
}

// loadsDiffer reports whether a difference of the room matters to those that choose by it.
func loadsDiffer(a, b []wire.ServiceRoom) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		demand := func(s wire.ServiceRoom) float64 { return float64(s.Used + s.Waiting) }
		if a[i].Service != b[i].Service || a[i].Capacity != b[i].Capacity ||
			math.Abs(demand(a[i])-demand(b[i])) > minLoadChange*float64(a[i].Capacity) {
			return true
		}
	}
	return false
}
