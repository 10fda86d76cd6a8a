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
	connection uint64
	node       string
	send       Sender
	heard      time.Time
	sentAt     time.Time
	taken      uint64                        // number of the last job
	labels     []wire.ServiceLabels          // as it was told last
	jobs       map[uint64]context.CancelFunc // that run here
}

// ClientConnected takes a connection of an entry that passes jobs on.
func (r *Router) ClientConnected(node string, send Sender) (connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.number++
	c := &client{
		connection: r.number, node: node, send: send, heard: time.Now(), jobs: make(map[uint64]context.CancelFunc),
	}
	r.clients[c.connection] = c
	r.state(c, r.rooms(), time.Now())
	return c.connection
}

// ClientDisconnected takes note that the connection of such an entry has ended.
func (r *Router) ClientDisconnected(connection uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[connection]; c != nil {
		r.loseClient(c, "the connection has ended")
	}
}

// loseClient stops the jobs of an entry whose callers get no answer any more. r.mu is
// held.
func (r *Router) loseClient(c *client, why string) {
	delete(r.clients, c.connection)
	if len(c.jobs) > 0 {
		r.cfg.Log.Log(event.ForwardingEntryLost, "entry", c.node, "why", why, "jobs", len(c.jobs),
			"heard_ms_ago", time.Since(c.heard).Milliseconds())
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
	c.heard = time.Now()
	switch m := m.(type) {
	case *wire.Place:
		r.run(c, m)
	case *wire.Evacuated:
		r.cfg.Local.SetEmptied(*m)
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

// run runs a job for c. r.mu is held.
func (r *Router) run(c *client, m *wire.Place) {
	c.taken = max(c.taken, m.Number)
	var s job.Submission
	if err := cbor.Unmarshal(m.Job, &s); err != nil {
		r.answer(c, m.Number, outcome{err: errkind.New(errkind.InvalidRequest, "decode the job: %w", err)})
		return
	}
	if r.closed {
		r.answer(c, m.Number, outcome{err: errkind.New(errkind.Draining, "the entry has stopped placing jobs")})
		return
	}
	r.cfg.Metrics.taken.Inc()
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
		r.answer(c, m.Number, outcome{state, err})
	}()
}

// answer sends the outcome of a job to c. r.mu is held.
func (r *Router) answer(c *client, number uint64, o outcome) {
	m := &wire.PlaceResult{Number: number, State: string(o.state)}
	if o.err != nil {
		m.Kind, m.Detail, m.RetryAfterMillis = string(o.err.Kind), o.err.Detail, uint32(o.err.RetryAfter.Milliseconds())
	}
	r.sendClient(c, m)
}

func (r *Router) sendClient(c *client, m wire.Message) {
	c.sentAt = time.Now()
	if err := c.send(m); err != nil && r.clients[c.connection] == c {
		r.loseClient(c, "it cannot be sent to")
	}
}

// Leave tells the others that this entry will stop: it places jobs only where no other
// entry can. Its own callers and those of others that stop together with it would be refused
// otherwise, with the endpoints free.
func (r *Router) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.stateAll()
}

// Close tells the others that this entry places no more jobs, and returns when those that
// it has are answered, or ctx ends.
func (r *Router) Close(ctx context.Context) {
	const check = 20 * time.Millisecond
	r.mu.Lock()
	r.closed = true
	r.stateAll()
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

// stateAll tells all clients the room here. r.mu is held.
func (r *Router) stateAll() {
	rooms, now := r.rooms(), time.Now()
	for _, c := range r.clients {
		r.state(c, rooms, now)
	}
}

// rooms returns the room here. r.mu is held.
func (r *Router) rooms() []wire.ServiceLoad {
	if r.closed {
		return nil
	}
	return r.cfg.Local.Rooms()
}

// state tells c the room here. r.mu is held.
func (r *Router) state(c *client, rooms []wire.ServiceLoad, now time.Time) {
	m := &wire.PlacementStatus{Services: rooms, Accepted: c.taken, Closed: r.closed, Draining: r.leaving}
	if labels := r.cfg.Local.Labels(); !sameLabels(labels, c.labels) {
		m.Labels, c.labels = labels, labels
	}
	r.sendClient(c, m)
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
	rooms := r.rooms()
	changed := now.Sub(r.told) >= roomInterval && differ(rooms, r.stated)
	if changed {
		r.stated, r.told = rooms, now
	}
	for _, c := range r.clients {
		switch {
		case len(c.jobs) > 0 && now.Sub(c.heard) > peerSilence:
			r.loseClient(c, "it is silent")
		case changed || now.Sub(c.sentAt) > roomIdle:
			r.state(c, rooms, now)
		}
	}
}

// differ reports whether a difference of the room matters to those that choose by it.
func differ(a, b []wire.ServiceLoad) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		demand := func(s wire.ServiceLoad) float64 { return float64(s.Used + s.Waiting) }
		if a[i].Service != b[i].Service || a[i].Capacity != b[i].Capacity ||
			math.Abs(demand(a[i])-demand(b[i])) > roomChange*float64(a[i].Capacity) {
			return true
		}
	}
	return false
}
