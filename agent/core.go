package agent

import (
	"context"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// task is an admitted task that is queued or running.
type task struct {
	record       *taskRecord
	spec         wire.StartTask
	arrived      time.Time
	deadline     time.Time
	admissionSeq uint64 // order of admission; breaks ties between equal deadlines
	position     int    // index in the queue, -1 when it is not queued
}

// core is the state of an agent: the endpoint, the queue, the task records, the
// load and the links to entries. Its methods may be called from any goroutine and
// never block on sending to a peer.
type core struct {
	cfg     Config
	metrics *metrics

	mu           sync.Mutex
	endpoint     runner    // nil while none is announced
	lastRenewal  time.Time // time of the endpoint's last announcement
	leaseValid   bool      // false while another process holds the worker's lease
	revision     uint64    // of the newest announcement to entries
	rules        rules
	queue        taskQueue
	running      int
	activeCalls  map[string]int // number of calls in progress by endpoint address
	admissionSeq uint64
	records      *recordTable
	links        map[*link]struct{}
	draining     bool
	drained      chan struct{} // closed when the core drains and no task is left
	expiry       *time.Timer   // fires at the earliest deadline in the queue
}

// runner runs tasks on one announced endpoint.
type runner interface {
	announcement() Announcement
	// slots returns the number of tasks that may run concurrently.
	slots() int
	// call runs t within its deadline. It reports unreachable when no connection
	// to the endpoint could be opened; the endpoint is then withdrawn.
	call(t *task) (result wire.TaskResult, unreachable bool)
	// close closes idle connections; calls in progress continue.
	close()
}

func newCore(cfg Config) *core {
	c := &core{
		cfg:         cfg,
		leaseValid:  true,
		records:     newRecordTable(cfg),
		links:       make(map[*link]struct{}),
		activeCalls: make(map[string]int),
		drained:     make(chan struct{}),
	}
	c.metrics = newMetrics(cfg.Metrics, c)
	c.expiry = time.AfterFunc(time.Hour, c.refuseExpired)
	c.expiry.Stop()
	return c
}

func (c *core) load() wire.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadLocked()
}

func (c *core) loadLocked() wire.Load {
	return wire.Load{Running: uint32(c.running), Queued: uint32(c.queue.len())}
}

// startQueued starts queued tasks while slots are free. Without an endpoint it
// refuses them, so that their home entries can place them on another agent.
func (c *core) startQueued(now time.Time) {
	for c.queue.len() > 0 && (c.endpoint == nil || c.running < c.endpoint.slots()) {
		t := c.queue.pop()
		switch {
		case !now.Before(t.deadline):
			c.refuseQueued(t, errkind.DeadlinePassed)
		case c.endpoint == nil:
			c.refuseQueued(t, errkind.NoEndpoint)
		default:
			c.running++
			c.activeCalls[c.endpoint.announcement().Address]++
			go c.runTask(t, c.endpoint)
		}
	}
	if h := c.queue.head(); h != nil {
		c.expiry.Reset(h.deadline.Sub(now))
	}
	c.checkDrained()
}

// refuseQueued refuses an admitted task that was removed from the queue.
func (c *core) refuseQueued(t *task, kind errkind.Kind) {
	c.records.refuse(t.record, kind)
	c.metrics.countRefused(kind)
	c.queueReport(t.record)
}

// refuseExpired refuses the queued tasks whose deadline has passed and starts
// others while slots are free.
func (c *core) refuseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for h := c.queue.head(); h != nil && !now.Before(h.deadline); h = c.queue.head() {
		c.refuseQueued(c.queue.pop(), errkind.DeadlinePassed)
	}
	c.startQueued(now)
}

// runTask calls the endpoint for t, records the result and queues its report.
func (c *core) runTask(t *task, r runner) {
	begin := time.Now()
	result, unreachable := r.call(t)
	end := time.Now()
	result.Ref = t.spec.Ref
	result.QueueMicros = begin.Sub(t.arrived).Microseconds()
	result.RunMicros = end.Sub(begin).Microseconds()
	c.metrics.observeFinished(&result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	c.callEnded(r.announcement().Address)
	c.records.finish(t.record, &result)
	c.queueReport(t.record)
	if unreachable && c.endpoint == r {
		m := r.announcement()
		c.cfg.Log.Log(event.EndpointUnreachable, "service", m.Service, "address", m.Address, "detail", result.Detail)
		c.setEndpoint(nil)
	}
	c.startQueued(end)
}

func (c *core) callEnded(address string) {
	if c.activeCalls[address]--; c.activeCalls[address] == 0 {
		delete(c.activeCalls, address)
	}
}

// hasActiveCalls reports whether tasks are running on the endpoint at address.
func (c *core) hasActiveCalls(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeCalls[address] > 0
}

// queueReport queues the report of an ended task on the newest link of its home
// entry. Without a link it is kept until the home entry is connected again.
func (c *core) queueReport(rec *taskRecord) {
	h := rec.home
	if h.link == nil {
		h.undelivered = append(h.undelivered, rec)
		return
	}
	h.link.unsent = append(h.link.unsent, rec)
	h.link.signal()
}

// setEndpoint replaces the endpoint, or withdraws it when r is nil, and announces
// the change to all entries. The caller then calls startQueued.
func (c *core) setEndpoint(r runner) {
	if c.endpoint != nil {
		c.endpoint.close()
	}
	c.endpoint = r
	c.announceAll()
}

// announceAll queues a new announcement on every link.
func (c *core) announceAll() {
	c.revision++
	for l := range c.links {
		l.announcePending = true
		l.signal()
	}
}

// buildAnnounce returns the announcement of the endpoint to entries. It has no slots
// while there is no endpoint or another process holds the worker's lease.
func (c *core) buildAnnounce() *wire.Announce {
	m := &wire.Announce{Revision: c.revision}
	if c.endpoint != nil && c.leaseValid {
		a := c.endpoint.announcement()
		m.Service, m.Slots, m.Capacity = a.Service, uint32(c.endpoint.slots()), a.Capacity
		m.Buffer = uint32(c.buffer(a.Service))
	}
	return m
}

// sweepPeriodically calls sweep every sweepInterval until ctx ends.
func (c *core) sweepPeriodically(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// sweep withdraws an endpoint that no longer renews its announcement, drops results
// that were delivered and removes expired task records.
func (c *core) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endpoint != nil && now.Sub(c.lastRenewal) >= maxMissedRenewals*RenewalInterval {
		m := c.endpoint.announcement()
		c.cfg.Log.Log(event.EndpointWithdrawn, "service", m.Service, "address", m.Address)
		c.setEndpoint(nil)
		c.startQueued(now)
	}
	for l := range c.links {
		c.dropDeliveredResults(l, now)
	}
	c.records.expire(now)
}
