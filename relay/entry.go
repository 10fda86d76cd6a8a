package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"oriolerelay/coordinator"
	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/executor"
	"oriolerelay/job"
	"oriolerelay/ledger"
	"oriolerelay/platform"
	"oriolerelay/router"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// balancerNotice is how long new connections may arrive after readiness was
	// withdrawn: the load balancer asks once a second and needs two answers.
	balancerNotice = 2300 * time.Millisecond
	// entryStopMargin is the part of the stop grace that is left for the exit itself, and
	// entryLeaveTime for the last records of stored jobs and the call that hands them to
	// other entries: two calls to the store, of which one may not be answered.
	entryStopMargin = 300 * time.Millisecond
	entryLeaveTime  = 500 * time.Millisecond
	// entryRefresh is the time between two records of this entry in the list. Each is read
	// by all other processes.
	entryRefresh = 5 * time.Minute
	// entryRetry is the time after which a failed record is repeated.
	entryRetry = time.Second
)

// entry is the process that takes callers' jobs.
type entry struct {
	p      *process
	c      *coordinator.Coordinator
	store  *platform.Store
	config atomic.Pointer[job.Config]
	// jobs keeps the stored jobs; nil where the store has no partitions.
	jobs    *ledger.Ledger
	callers *callersServer
	router  *router.Router
	peers   *peers
	// jobsEnd ends the ownership of stored jobs, and jobsEnded is closed after it.
	jobsEnd   context.CancelFunc
	jobsEnded chan struct{}
	draining  atomic.Bool
	unlisted  chan struct{} // wakes publish
	ready     atomic.Bool
}

// RunEntry runs an entry until ctx ends.
func RunEntry(ctx context.Context, path string, out io.Writer, reload <-chan os.Signal) error {
	p, err := newProcess(path, out)
	if err != nil {
		return err
	}
	defer p.close()
	s := &p.settings
	if err := require("entry", map[string]string{
		"callers_address": s.CallersAddress, "ready_address": s.ReadyAddress,
	}); err != nil {
		return err
	}
	orphanEnd := executor.DefaultTiming(s.maxLease()).OrphanEnd()
	e := &entry{
		p: p,
		c: coordinator.New(coordinator.Config{
			DataCentre: s.DataCentre, Policy: s.policy(), Timing: coordinator.DefaultTiming(orphanEnd, s.FarFactor),
			Log: p.log, Metrics: coordinator.NewMetrics(p.registry),
		}),
		store: platform.NewStore(s.StoreAddress, s.StorePartitions),
	}
	e.unlisted = make(chan struct{}, 1)
	e.router = router.New(router.Config{Policy: s.policy(), Local: placedJobs{e.c, p.tracer}, Region: s.Region, Log: p.log, Metrics: router.NewMetrics(p.registry)})
	e.peers = newPeers(p, e.router)
	e.peers.links.setSeeds(s.seedEntries())
	e.callers = newCallersServer(platform.NewCallerHandler(e), p.log)
	if s.StorePartitions > 0 {
		e.jobs = ledger.New(ledger.Config{
			Member: p.node.String(), Partitions: s.StorePartitions, Store: platform.NewJobStore(e.store), Runner: e.c,
			Timing: ledger.DefaultTiming(duration(s.MinMembershipMS), orphanEnd, time.Duration(s.KeepStateS*float64(time.Second))),
			Log:    p.log, Now: boottime, Queue: e.queue,
		})
		e.c.SetRecorder(e.jobs)
	}
	p.log.Log(event.ProcessStarted, "role", "entry", "callers", s.CallersAddress, "store", s.StoreAddress)
	defer p.log.Log(event.ProcessStopped)
	return e.run(ctx, reload)
}

func (e *entry) run(ctx context.Context, reload <-chan os.Signal) error {
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, life := errgroup.WithContext(life)
	s := &e.p.settings
	l, err := transport.Listen(s.internalAddress(s.Address), transport.Options{
		IdleTimeout: linkIdleTimeout, ResetSecret: s.Node + s.Address,
		Hello: e.p.hello(wire.RoleEntry), Stats: e.p.stats, Log: e.p.log,
	})
	if err != nil {
		return err
	}
	defer l.Close()
	g.Go(func() error { e.c.Run(life); return nil })
	g.Go(func() error { e.router.Run(life); return nil })
	g.Go(func() error { e.peers.links.run(life); return nil })
	g.Go(func() error { e.store.WatchEntries(life, e.p.log, e.peers.links.pace, e.recorded); return nil })
	jobsLife, jobsEnd := context.WithCancel(life)
	defer jobsEnd()
	e.jobsEnd, e.jobsEnded = jobsEnd, make(chan struct{})
	g.Go(func() error {
		defer close(e.jobsEnded)
		if e.jobs != nil {
			e.jobs.Run(jobsLife)
		}
		return nil
	})
	g.Go(func() error { return l.Serve(life, e.newHandler) })
	g.Go(func() error {
		e.store.WatchOperator(life, e.p.log, platform.OperatorHandler{Config: e.takeConfig, Evacuated: e.router.SetEmptied})
		return nil
	})
	g.Go(func() error { e.publish(life); return nil })
	g.Go(func() error { e.newCensus().run(life); return nil })
	g.Go(func() error { keepLearned(life, s.Node, e.c, e.store, e.p.log); return nil })
	g.Go(func() error { e.p.serveMetrics(life); return nil })
	g.Go(func() error {
		e.p.watchSettings(life, reload, func(s Settings) { e.peers.links.setSeeds(s.seedEntries()) })
		return nil
	})
	g.Go(func() error { return serveHTTP(life, s.ReadyAddress, platform.NewReadyHandler(e.isReady)) })
	g.Go(func() error { return e.serveCallers(ctx, life, stop) })
	return g.Wait()
}

// serveCallers serves callers until the end of ctx and the drain that follows.
func (e *entry) serveCallers(ctx, life context.Context, stop context.CancelFunc) error {
	l, err := net.Listen("tcp", e.p.settings.CallersAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", e.p.settings.CallersAddress, err)
	}
	go func() {
		defer stop()
		select {
		case <-ctx.Done():
			e.drain(life, l)
		case <-life.Done():
			e.callers.close(l)
		}
	}()
	if err := e.callers.serve(l); err != nil {
		return err
	}
	<-life.Done()
	return nil
}

// drain withdraws readiness, serves until the load balancer has noticed, and then
// until the requests in flight are answered. Stored jobs are run until then: the other
// entries may be stopping too, and those that follow may not have started.
func (e *entry) drain(life context.Context, callers net.Listener) {
	begun := time.Now()
	e.draining.Store(true)
	e.router.Leave()
	e.c.Leave()
	e.p.log.Log(event.ProcessDraining, "jobs", e.c.Load())
	ctx, cancel := context.WithTimeout(life, e.p.settings.stopGrace()-entryStopMargin-entryLeaveTime)
	defer cancel()
	if err := e.store.DelistEntry(ctx, e.p.settings.internalAddress(e.p.settings.Address)); err != nil {
		e.p.log.Log(event.EntryListFailed, "error", err)
	}
	e.callers.closeAfterAnswer()
	select {
	case <-time.After(balancerNotice - time.Since(begun)):
	case <-ctx.Done():
	}
	if err := e.callers.shutdown(ctx, callers); err != nil {
		e.p.log.Log(event.EntryDrainIncomplete, "jobs", e.c.Load(), "error", err)
	}
	e.router.Close(ctx)
	e.jobsEnd()
	select {
	case <-e.jobsEnded:
	case <-time.After(entryLeaveTime):
	}
}

// publish keeps this entry in the list of entries.
func (e *entry) publish(ctx context.Context) {
	self := wire.EntryAddress{
		Node: e.p.node, Address: e.peers.self, Region: e.p.settings.Region,
		MilliCores: uint32(1000 * e.p.settings.ProcessorShare),
	}
	for !e.draining.Load() {
		pause := entryRefresh
		if err := e.store.PublishEntry(ctx, self); err != nil && ctx.Err() == nil {
			e.p.log.Log(event.EntryListFailed, "error", err)
			pause = entryRetry
		}
		select {
		case <-time.After(pause):
		case <-e.unlisted:
		case <-ctx.Done():
			return
		}
	}
}

// recorded takes changes of the list of entries. The record of this process may have been
// replaced by a late write of the one before it.
func (e *entry) recorded(changes []platform.EntryChange) {
	for _, ch := range changes {
		if ch.Entry.Address == e.peers.self && (!ch.Present || ch.Entry.Node != e.p.node) {
			replace(e.unlisted, struct{}{})
		}
	}
	e.peers.links.recorded(changes)
}

// takeConfig puts a configuration in force unless it is older than the present one.
func (e *entry) takeConfig(encoded []byte) {
	cfg, err := platform.DecodeConfig(encoded)
	if err != nil {
		e.p.log.Log(event.ConfigIgnored, "error", err)
		return
	}
	old := e.config.Load()
	if old != nil && old.Version >= cfg.Version {
		return
	}
	e.config.Store(cfg)
	e.callers.setLimits(cfg.Limits)
	e.p.log.Log(event.QueueConfigured, "version", cfg.Version, "queues", len(cfg.Queues), "services", len(cfg.Services))
}

// isReady reports whether callers can be served.
func (e *entry) isReady() bool {
	ready := !e.draining.Load() && e.config.Load() != nil && (e.c.Ready() || e.router.Ready())
	if e.ready.Swap(ready) != ready {
		e.p.log.Log(event.Readiness, "ready", ready, "draining", e.draining.Load(), "configured", e.config.Load() != nil)
	}
	return ready
}

// Config implements platform.Jobs.
func (e *entry) Config() *job.Config { return e.config.Load() }

// Submit implements platform.Jobs.
func (e *entry) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	if s.Ephemeral {
		s.CallerGone = callerGone(ctx)
	}
	ctx, span := startJobSpan(ctx, e.p.tracer, spanJob, &s)
	state, err := e.submit(ctx, s)
	endJobSpan(span, state, err)
	return state, err
}

func (e *entry) submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	if what := s.Unsupported(); what != "" {
		return "", errkind.New(errkind.NoEndpoint, "this version does not run a %s", what)
	}
	if s.Ephemeral {
		return e.router.Submit(ctx, s)
	}
	if e.jobs == nil {
		return "", errkind.New(errkind.LogUnavailable, "this deployment does not store jobs")
	}
	if err := e.jobs.Accept(ctx, s); err != nil {
		return "", err
	}
	e.p.log.Log(event.JobStored, "job", s.ID, "queue", s.Queue.Name, "tasks", s.Tasks())
	return job.Queued, nil
}

// queue returns the queue in force with the given name.
func (e *entry) queue(name string) (job.Queue, bool) {
	if cfg := e.config.Load(); cfg != nil {
		for _, q := range cfg.Queues {
			if q.Name == name {
				return q, true
			}
		}
	}
	return job.Queue{}, false
}

// boottime is a clock that also counts the time in which the host is suspended.
func boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every kernel that Go supports
	}
	return time.Duration(t.Nano())
}

// State implements platform.Jobs.
func (e *entry) State(ctx context.Context, _ job.Queue, id string) (job.State, *errkind.Error) {
	if e.jobs == nil {
		return "", errkind.New(errkind.JobUnknown, "this deployment does not store jobs")
	}
	return e.jobs.State(ctx, id)
}

// Cancel implements platform.Jobs.
func (e *entry) Cancel(ctx context.Context, _ job.Queue, id string) *errkind.Error {
	if e.jobs == nil {
		return errkind.New(errkind.JobUnknown, "this deployment does not store jobs")
	}
	return e.jobs.Cancel(ctx, id)
}

// Pending implements platform.Jobs.
func (e *entry) Pending(_ context.Context, q job.Queue) (int, *errkind.Error) {
	n := e.c.Pending(q.Name)
	if e.jobs != nil {
		n += e.jobs.Pending(q.Name)
	}
	return n, nil
}

// newHandler returns the handler of a connection of an agent or of another entry.
func (e *entry) newHandler(c *transport.Conn) transport.Handler {
	if c.PeerHello.Role == wire.RoleEntry {
		return newClient(c, e.router)
	}
	h := &entryHandler{e: e, agent: c.PeerHello.Node.Name}
	h.connection = e.c.Connected(h.agent, sender(c))
	return h
}

// entryHandler takes the messages of an agent.
type entryHandler struct {
	e          *entry
	agent      string
	connection uint64
}

// Handle implements transport.Handler.
func (h *entryHandler) Handle(_ *transport.Conn, f wire.Frame) {
	h.e.c.Handle(h.agent, h.connection, f.Body)
}

// Closed implements transport.Handler.
func (h *entryHandler) Closed(_ *transport.Conn, err error) {
	h.e.p.log.Log(event.EntryAgentClosed, "agent", h.agent, "error", err)
	h.e.c.Disconnected(h.agent, h.connection)
}
