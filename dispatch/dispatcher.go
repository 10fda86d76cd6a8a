package dispatch

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/limit"
	"oriolerelay/ticket"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// Config configures a Dispatcher. Self and State are required.
type Config struct {
	Self ids.Incarnation
	// State returns the configuration in force, or nil when there is none yet.
	State func() *ticket.Config
	// Entries returns the number of entries in the view, by which quotas are
	// divided. Nil means one.
	Entries    func() int
	Logger     *event.Logger
	Registerer prometheus.Registerer // nil means no metrics
	Tracer     trace.Tracer          // nil means no spans
	// MaxQueuedBytes bounds the payloads of queued and running tasks; zero
	// means DefaultMaxQueuedBytes.
	MaxQueuedBytes int64
}

// DefaultMaxQueuedBytes bounds the payloads held by one dispatcher.
const DefaultMaxQueuedBytes = 64 << 20

// tickPeriod is the period of the timers that are not tied to one job: overdue
// tasks, lost agents, ended ejections. A tick costs less than 0.1 ms at 256
// agents.
const tickPeriod = 50 * time.Millisecond

// Dispatcher runs jobs at their home. It is safe for concurrent use.
//
// One lock guards all state. It is held for the handling of one event, at most
// one pass of the scheduler, and never while a message is sent: each session
// has a sender goroutine that takes its messages under the lock and sends them
// without it.
type Dispatcher struct {
	cfg     Config
	metrics *metrics
	tracer  trace.Tracer

	mu          sync.Mutex
	random      *rand.Rand
	lastRef     uint64
	refs        map[uint64]*task // every task that is assigned, sent or unsettled
	jobs        map[jobKey]*job
	services    map[string]*service
	agents      map[ids.Incarnation]*agent
	quotas      *limit.Quotas
	queuedBytes int64
	state       *wire.State // newest pushed
	draining    bool
	drained     chan struct{} // closed when draining and no job is left
}

type jobKey struct{ team, id string }

// New returns a dispatcher. Run must be called once.
func New(c Config) *Dispatcher {
	if c.Entries == nil {
		c.Entries = func() int { return 1 }
	}
	if c.MaxQueuedBytes <= 0 {
		c.MaxQueuedBytes = DefaultMaxQueuedBytes
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("")
	}
	d := &Dispatcher{
		cfg:      c,
		tracer:   c.Tracer,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		refs:     make(map[uint64]*task),
		jobs:     make(map[jobKey]*job),
		services: make(map[string]*service),
		agents:   make(map[ids.Incarnation]*agent),
		quotas:   limit.NewQuotas(),
		drained:  make(chan struct{}),
	}
	d.metrics = newMetrics(c.Registerer, d)
	return d
}

// Run serves timers until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.tick(time.Now())
		}
	}
}

// Do runs a job and returns its answer. It returns at once when the job is
// refused, given up, cancelled or when ctx ends; the tasks that are still
// queued or running are then withdrawn.
func (d *Dispatcher) Do(ctx context.Context, request Job) Answer {
	ctx, span := d.startSpan(ctx, &request)
	defer span.End()
	j, refusal := d.submit(ctx, request, time.Now())
	if refusal != nil {
		d.metrics.refused(refusal.Kind)
		endSpan(span, refusal)
		return refusedAnswer(refusal, len(request.Tasks))
	}
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case <-j.done:
	case <-ctx.Done():
		d.withdraw(j, withdrawnByCaller)
	case <-timer.C:
		d.withdraw(j, withdrawnByDeadline)
	}
	<-j.done
	endSpan(span, j.answer.Err)
	return j.answer
}

// Cancel withdraws the running job of a team with the given submission id. It
// reports whether the job was running; Do returns the answer.
func (d *Dispatcher) Cancel(team, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[jobKey{team, id}]
	if j == nil {
		return false
	}
	d.giveUp(j, withdrawnByCaller.error(j), nil)
	d.scheduleAll(time.Now())
	return true
}

// AgentHandler returns the handler of a connection whose peer is an agent.
func (d *Dispatcher) AgentHandler(c *transport.Conn) transport.Handler {
	return connHandler{d.attach(c, c.PeerHello)}
}

type connHandler struct{ s *session }

func (h connHandler) Handle(_ *transport.Conn, f wire.Frame) { h.s.handle(f) }
func (h connHandler) Closed(_ *transport.Conn, err error)    { h.s.closed(err) }

// Endpoints returns the endpoints of all known agents, ordered by agent name.
func (d *Dispatcher) Endpoints() []EndpointStatus {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]EndpointStatus, 0, len(d.agents))
	for _, a := range d.agents {
		if a.service != nil {
			all = append(all, a.status(now))
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Agent.String() < all[j].Agent.String() })
	return all
}

// PushState sends the configuration in force to all connected agents, and to
// each that connects later. A state with a lower ticket number is ignored.
func (d *Dispatcher) PushState(s wire.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != nil && s.Ticket < d.state.Ticket {
		return
	}
	d.state = &s
	for _, a := range d.agents {
		if a.session != nil {
			a.session.sendState = true
			a.session.signal()
		}
	}
}

// Drain refuses new jobs and waits until the running ones are answered or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	if !d.draining {
		d.draining = true
		d.checkDrained()
	}
	d.mu.Unlock()
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Dispatcher) checkDrained() {
	if !d.draining || len(d.jobs) > 0 {
		return
	}
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}

func (d *Dispatcher) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		d.checkAgent(a, now)
	}
	for _, s := range d.services {
		d.checkUnserved(s, now)
		d.schedule(s, now)
	}
}

func (d *Dispatcher) scheduleAll(now time.Time) {
	for _, s := range d.services {
		d.schedule(s, now)
	}
}
