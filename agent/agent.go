// Package agent implements the agent, the process that runs on the same host as an
// endpoint and calls it. The agent receives the endpoint's announcements, keeps
// connections to entries, and admits, queues and runs tasks. It records started tasks,
// so that an entry can settle a task whose reply was lost.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"

	"oriolerelay/event"
	"oriolerelay/httplimit"
	"oriolerelay/ids"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// gcMemoryFraction is the fraction of the memory limit that is the soft limit of the Go runtime.
	gcMemoryFraction = 0.6
	// Timeouts of the port for announcements and metrics, which may be read once a minute.
	announcementIdleTimeout  = 2 * time.Minute
	announcementWriteTimeout = 30 * time.Second
)

// Config is the configuration of an agent. MaxRecords, MaxResultBytes and RecordAge
// take the defaults of Settings when they are zero.
type Config struct {
	Node       ids.Incarnation
	Region     string
	DataCentre string
	Rack       string
	Worker     string
	Listen     string   // HTTP address for announcements, ip:port
	Seeds      []string // internal addresses of entries

	TLS   *tls.Config
	Keys  *transport.TLSFiles // checked for errors and expiry; may be nil
	Log   *event.Logger       // may be nil
	Stats *transport.Stats    // may be nil
	// Metrics registers the agent's metrics and Gatherer is served at /metrics;
	// both may be nil.
	Metrics  prometheus.Registerer
	Gatherer prometheus.Gatherer
	// Traces receives the agent's spans; nil means the global provider.
	Traces trace.TracerProvider
	// Leases renews the worker's lease; nil means that the worker has none.
	Leases LeaseClient

	Buffer         int
	MaxRecords     int
	MaxResultBytes int64
	RecordAge      time.Duration
	// MemoryMiB and MaxOpenFiles are the limits of the process; 0 for none.
	MemoryMiB, MaxOpenFiles int
}

func (c *Config) setDefaults() {
	if c.MaxRecords == 0 {
		c.MaxRecords = defaultMaxRecords
	}
	if c.MaxResultBytes == 0 {
		c.MaxResultBytes = defaultResultBytes
	}
	if c.RecordAge == 0 {
		c.RecordAge = defaultRecordAge
	}
}

// Agent runs tasks on one endpoint. Run may be called once.
type Agent struct {
	cfg        Config
	core       *core
	listener   net.Listener
	limiter    *httplimit.Limiter
	entryConns *entryConns
}

// New listens on the HTTP address for announcements. The agent serves nothing before
// Run is called; a caller that does not call Run must call Close.
func New(cfg Config) (*Agent, error) {
	cfg.setDefaults()
	if cfg.Node.IsZero() {
		return nil, errors.New("agent: node is not set")
	}
	if cfg.TLS == nil {
		return nil, errors.New("agent: TLS configuration is not set")
	}
	limiter := httplimit.New(httplimit.Config{MemoryMiB: cfg.MemoryMiB, MaxOpenFiles: cfg.MaxOpenFiles, Log: cfg.Log, Registerer: cfg.Metrics})
	l, err := limiter.Group(httplimit.OtherConns).Listen(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for announcements: %w", err)
	}
	if cfg.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(cfg.MemoryMiB) * (1 << 20)))
	}
	a := &Agent{cfg: cfg, listener: l, limiter: limiter, core: newCore(cfg)}
	a.entryConns = newEntryConns(cfg, a.core)
	return a, nil
}

// Close closes the listener of an agent on which Run was not called.
func (a *Agent) Close() error { return a.listener.Close() }

// Address returns the HTTP address for announcements, ip:port.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Node returns the agent's incarnation.
func (a *Agent) Node() ids.Incarnation { return a.cfg.Node }

// Load returns the current numbers of running and queued tasks.
func (a *Agent) Load() wire.Load { return a.core.load() }

// Run serves until ctx ends and then drains: it refuses new tasks, finishes and reports
// the admitted ones, and returns. It also drains when another process takes the worker's
// lease, and then returns ErrLeaseLost, or when the announcement server fails.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	srv := &http.Server{
		Handler: httplimit.Handler(a.handler()), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: announcementIdleTimeout,
		WriteTimeout: announcementWriteTimeout, ConnState: httplimit.TrackState, ConnContext: httplimit.ContextWithConn,
	}
	failed := make(chan error, 2)
	var wg sync.WaitGroup
	wg.Go(func() { a.entryConns.run(work) })
	wg.Go(func() { a.core.sweepPeriodically(work) })
	wg.Go(func() { a.watchKeyFiles(work) })
	wg.Go(func() { a.limiter.Run(work) })
	if a.cfg.Leases != nil {
		wg.Go(func() { a.maintainLease(work, func() { failed <- ErrLeaseLost }) })
		defer a.releaseLease()
	}
	go func() { failed <- fmt.Errorf("announcement server: %w", srv.Serve(a.listener)) }()
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	a.cfg.Log.Log(event.ProcessDraining)
	a.core.drain()
	a.cfg.Log.Log(event.AgentDrained)
	a.entryConns.close()
	stop()
	_ = srv.Close()
	wg.Wait()
	return err
}
