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
	// EntryCount returns the number of entries in the current membership, by
	// which team quotas are divided. Nil means one.
	EntryCount func() int
	Logger     *event.Logger
	Registerer prometheus.Registerer // nil means no metrics
	Tracer     trace.Tracer          // nil means no spans
	// MaxInFlightBytes bounds the payload bytes of queued and running tasks; zero
	// means DefaultMaxInFlightBytes.
	MaxInFlightBytes int64
}

// DefaultMaxInFlightBytes is the default limit on the payload bytes of queued
// and running tasks.
const DefaultMaxInFlightBytes = 64 << 20

// tickInterval is the interval of the checks that belong to no single job:
// overdue tasks, lost agents, expired ejections. A tick takes less than 0.1 ms
// with 256 agents.
const tickInterval = 50 * time.Millisecond

// Dispatcher runs the jobs of which this entry is the home entry. It is safe for
// concurrent use.
//
// A single mutex guards all state. It is held while one event is handled, which
// includes at most one scheduler pass, and never while a message is sent: each
// session has a sender goroutine that collects messages under the lock and sends
// them without it.
type Dispatcher struct {
	cfg     Config
	metrics *metrics
	tracer  trace.Tracer

	mu            sync.Mutex
	rng           *rand.Rand
	lastRef       uint64
	refs          map[uint64]*task // tasks that are assigned, sent or unsettled
	jobs          map[jobKey]*job
	services      map[string]*service
	agents        map[ids.Incarnation]*agent
	quotas        *limit.Quotas
	inFlightBytes int64
	pushedState   *wire.State // configuration pushed last; nil before the first PushState
	draining      bool
	drained       chan struct{} // closed when draining and no job is left
}

type jobKey struct{ team, id string }

// New returns a dispatcher. The caller must call Run exactly once.
func New(config Config) *Dispatcher {
	if config.EntryCount == nil {
		config.EntryCount = func() int { return 1 }
	}
	if config.MaxInFlightBytes <= 0 {
		config.MaxInFlightBytes = DefaultMaxInFlightBytes
	}
	if config.Tracer == nil {
		config.Tracer = noop.NewTracerProvider().Tracer("")
	}
	d := &Dispatcher{
		cfg:      config,
		tracer:   config.Tracer,
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		refs:     make(map[uint64]*task),
		jobs:     make(map[jobKey]*job),
		services: make(map[string]*service),
		agents:   make(map[ids.Incarnation]*agent),
		quotas:   limit.NewQuotas(),
		drained:  make(chan struct{}),
	}
	d.metrics = newMetrics(config.Registerer, d)
	return d
}

// Run checks timers periodically until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
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

// Do runs a job and returns its answer. It returns immediately when the job is
// refused, aborted or cancelled, when its deadline passes, or when ctx is done;
// tasks that are still queued or running are then cancelled.
func (d *Dispatcher) Do(ctx context.Context, request Job) Answer {
	ctx, span := d.startSpan(ctx, &request)
	defer span.End()
	j, refusal := d.submit(ctx, request, time.Now())
	if refusal != nil {
		d.metrics.countRefusal(refusal.Kind)
		endSpan(span, refusal)
		return refusedAnswer(refusal, len(request.Tasks))
	}
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case <-j.done:
	case <-ctx.Done():
		d.cancelJob(j, cancelledByCaller)
	case <-timer.C:
		d.cancelJob(j, cancelledByDeadline)
	}
	<-j.done
	endSpan(span, j.answer.Err)
	return j.answer
}

// Cancel aborts the job of a team with the given submission ID. It reports
// whether there was such a job; Do returns its answer.
func (d *Dispatcher) Cancel(team, id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[jobKey{team, id}]
	if j == nil {
		return false
	}
	d.abortJob(j, cancelledByCaller.error(j), nil)
	d.scheduleAll(time.Now())
	return true
}

// AgentHandler returns the frame handler of a connection to an agent.
func (d *Dispatcher) AgentHandler(c *transport.Conn) transport.Handler {
	return connHandler{d.attach(c, c.PeerHello)}
}

type connHandler struct{ s *session }

func (h connHandler) Handle(_ *transport.Conn, f wire.Frame) { h.s.handleFrame(f) }
func (h connHandler) Closed(_ *transport.Conn, err error)    { h.s.handleClosed(err) }

// Endpoints returns the endpoints of all known agents, ordered by agent name.
func (d *Dispatcher) Endpoints() []EndpointStatus {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	endpoints := make([]EndpointStatus, 0, len(d.agents))
	for _, a := range d.agents {
		if a.service != nil {
			endpoints = append(endpoints, a.status(now))
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].Agent.String() < endpoints[j].Agent.String() })
	return endpoints
}

// PushState sends the configuration in force to all connected agents, and to
// agents that connect later. A state with a lower ticket number is ignored.
func (d *Dispatcher) PushState(s wire.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pushedState != nil && s.Ticket < d.pushedState.Ticket {
		return
	}
	d.pushedState = &s
	for _, a := range d.agents {
		if a.session != nil {
			a.session.sendState = true
			a.session.wakeSender()
		}
	}
}

// Drain refuses new jobs and waits until the running jobs are answered or ctx is
// done.
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
		d.checkAgentTimers(a, now)
	}
	for _, s := range d.services {
		d.abortIfUnavailable(s, now)
		d.schedule(s, now)
	}
}

func (d *Dispatcher) scheduleAll(now time.Time) {
	for _, s := range d.services {
		d.schedule(s, now)
	}
}
