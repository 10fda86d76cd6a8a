package relay

import (
	"context"
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
	"oriolerelay/httplimit"
	"oriolerelay/job"
	"oriolerelay/ledger"
	"oriolerelay/platform"
	"oriolerelay/policy"
	"oriolerelay/router"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

const (
	// balancerDetectionDelay is how long new connections may arrive after the entry reports
	// that it is not ready: the load balancer polls once a second and acts on the second
	// such response.
	balancerDetectionDelay = 2300 * time.Millisecond
	// entryExitMargin is the part of the stop grace period that is reserved for the exit
	// of the process, and jobHandoverTimeout the part for the last records of stored jobs
	// and the call that hands these to other entries: two store calls, one of which may
	// get no reply.
	entryExitMargin    = 300 * time.Millisecond
	jobHandoverTimeout = 500 * time.Millisecond
	// entryPublishInterval is the time between two writes of this entry's record to the
	// entry list. Every other process reads each of them.
	entryPublishInterval = 5 * time.Minute
	// entryPublishRetryDelay is the delay before a failed write is repeated.
	entryPublishRetryDelay = time.Second
)

// entry is the process that accepts callers' jobs.
type entry struct {
	process     *process
	coordinator *coordinator.Coordinator
	store       *platform.Store
	config      atomic.Pointer[job.Config]
	configReads configReads
	// jobs manages the stored jobs; nil if the store has no partitions.
	jobs    *ledger.Ledger
	callers *callersServer
	router  *router.Router
	peers   *peerConns
	// stopJobs ends the ownership of stored jobs; jobsStopped is closed afterwards.
	stopJobs    context.CancelFunc
	jobsStopped chan struct{}
	draining    atomic.Bool
	republish   chan struct{} // makes publish write the record now
	ready       atomic.Bool
	fairShare   bool // policy.FairShare is enabled
	started     time.Time
}

// RunEntry runs an entry with the settings file at path until ctx is done and the entry has
// drained. It logs to out and reloads the settings after each signal on reload.
func RunEntry(ctx context.Context, path string, out io.Writer, reload <-chan os.Signal) error {
	p, err := newProcess(path, out)
	if err != nil {
		return err
	}
	defer p.close()
	s := &p.settings
	if err := requireSettings("entry", map[string]string{
		"callers_address": s.CallersAddress, "ready_address": s.ReadyAddress,
	}); err != nil {
		return err
	}
	orphanTimeout := executor.DefaultTiming(s.maxLease()).OrphanTimeout()
	e := &entry{
		process: p, started: time.Now(),
		coordinator: coordinator.New(coordinator.Config{
			DataCentre: s.DataCentre, Policy: s.policy(), Timing: coordinator.DefaultTiming(orphanTimeout, s.FarFactor),
			Log: p.log, Metrics: coordinator.NewMetrics(p.registry),
		}),
		store: platform.NewStore(s.StoreAddress, s.StorePartitions),
	}
	var shares router.ShareExchange
	if e.fairShare = s.policy().Uses(policy.FairShare); e.fairShare {
		shares = e.coordinator
	}
	e.registerConfigMetrics()
	e.republish = make(chan struct{}, 1)
	e.router = router.New(router.Config{
		Policy: s.policy(), Local: tracedCoordinator{e.coordinator, p.tracer}, Self: p.incarnation.String(), Region: s.Region, Log: p.log,
		Metrics: router.NewMetrics(p.registry), Shares: shares, Reserve: p.limiter.Reserve, Now: boottime,
	})
	e.peers = newPeerConns(p, e.router)
	e.peers.conns.setSeeds(s.seedEntries())
	e.callers = newCallersServer(platform.NewCallerHandler(e), p.log)
	if s.StorePartitions > 0 {
		e.store.LimitReplies(p.budgets.replies)
		e.jobs = ledger.New(ledger.Config{
			Member: p.incarnation.String(), Partitions: s.StorePartitions, Store: platform.NewJobStore(e.store), Runner: e.coordinator,
			Timing: ledger.DefaultTiming(durationFromMS(s.MinMembershipMS), orphanTimeout, time.Duration(s.KeepStateS*float64(time.Second))),
			Log:    p.log, Now: boottime, Queue: e.findQueue, Admits: e.admitsStored, MaxRecordBytes: s.MaxRecordBytes,
		})
		e.coordinator.SetRecorder(e.jobs)
	}
	p.log.Log(event.ProcessStarted, "role", "entry", "callers", s.CallersAddress, "store", s.StoreAddress)
	defer p.log.Log(event.ProcessStopped)
	return e.run(ctx, reload)
}

// run starts the goroutines of the entry and waits for all of them.
func (e *entry) run(ctx context.Context, reload <-chan os.Signal) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	s := &e.process.settings
	l, err := transport.Listen(s.internalAddress(s.Address), transport.Options{
		IdleTimeout: connIdleTimeout, StatelessResetSecret: s.Node + s.Address,
		MaxConns: e.process.budgets.peerConns, FrameBytes: e.process.budgets.frames,
		Hello: e.process.hello(wire.RoleEntry), Stats: e.process.stats, Log: e.process.log,
	})
	if err != nil {
		return err
	}
	defer l.Close()
	g.Go(func() error { e.coordinator.Run(runCtx); return nil })
	g.Go(func() error { e.router.Run(runCtx); return nil })
	g.Go(func() error { e.peers.conns.run(runCtx); return nil })
	g.Go(func() error {
		e.store.WatchEntries(runCtx, e.process.log, e.peers.conns.listPollDelay, e.applyListChanges)
		return nil
	})
	jobsCtx, stopJobs := context.WithCancel(runCtx)
	defer stopJobs()
	e.stopJobs, e.jobsStopped = stopJobs, make(chan struct{})
	g.Go(func() error {
		defer close(e.jobsStopped)
		if e.jobs != nil {
			e.jobs.Run(jobsCtx)
		}
		return nil
	})
	g.Go(func() error { return l.Serve(runCtx, e.newHandler) })
	g.Go(func() error { e.watchOperator(runCtx); return nil })
	g.Go(func() error { e.logConfigAge(runCtx); return nil })
	g.Go(func() error { e.publish(runCtx); return nil })
	g.Go(func() error { e.newEntryProber().run(runCtx); return nil })
	g.Go(func() error { syncLearned(runCtx, s.Node, e.coordinator, e.store, e.process.log); return nil })
	g.Go(func() error { e.process.serveMetrics(runCtx); return nil })
	g.Go(func() error { e.process.limiter.Run(runCtx); return nil })
	g.Go(func() error {
		e.process.watchSettings(runCtx, reload, func(s Settings) { e.peers.conns.setSeeds(s.seedEntries()) })
		return nil
	})
	g.Go(func() error { return e.process.serveHTTP(runCtx, s.ReadyAddress, platform.NewReadyHandler(e.isReady)) })
	g.Go(func() error { return e.serveCallers(ctx, runCtx, stop) })
	return g.Wait()
}

// serveCallers serves callers until ctx is done and the entry has drained.
func (e *entry) serveCallers(ctx, runCtx context.Context, stop context.CancelFunc) error {
	limiter := e.process.limiter
	callers := limiter.Group(limiter.MaxConns())
	callers.WriteTimeout = callerWriteTimeout
	l, err := callers.Listen(e.process.settings.CallersAddress)
	if err != nil {
		return err
	}
	go func() {
		defer stop()
		select {
		case <-ctx.Done():
			e.drain(runCtx, l, callers)
		case <-runCtx.Done():
			e.callers.close(l)
		}
	}()
	if err := e.callers.serve(l); err != nil {
		return err
	}
	<-runCtx.Done()
	return nil
}

// drain reports that the entry is not ready, accepts connections until the load balancer has
// detected that, and then waits for the requests in flight. Stored jobs are run until the end of
// the drain, since the other entries may be stopping too and their successors may not have
// started.
func (e *entry) drain(runCtx context.Context, callers net.Listener, conns *httplimit.Group) {
	drainStart := time.Now()
	e.draining.Store(true)
	e.router.StartDraining()
	e.coordinator.Drain()
	e.process.log.Log(event.ProcessDraining, "jobs", e.coordinator.ActiveJobs())
	ctx, cancel := context.WithTimeout(runCtx, e.process.settings.stopGrace()-entryExitMargin-jobHandoverTimeout)
	defer cancel()
	if err := e.store.DelistEntry(ctx, e.process.settings.internalAddress(e.process.settings.Address)); err != nil {
		e.process.log.Log(event.EntryListFailed, "error", err)
	}
	e.callers.disableKeepAlives()
	select {
	case <-time.After(balancerDetectionDelay - time.Since(drainStart)):
	case <-ctx.Done():
	}
	shutdownCtx, endShutdown := context.WithCancel(ctx)
	go conns.Drain(shutdownCtx)
	if err := e.callers.shutdown(ctx, callers); err != nil {
		e.process.log.Log(event.EntryDrainIncomplete, "jobs", e.coordinator.ActiveJobs(), "error", err)
	}
	endShutdown()
	e.router.Close(ctx)
	e.stopJobs()
	select {
	case <-e.jobsStopped:
	case <-time.After(jobHandoverTimeout):
	}
}

// publish keeps the record of this entry in the entry list.
func (e *entry) publish(ctx context.Context) {
	record := wire.EntryRecord{EntryAddress: wire.EntryAddress{
		Node: e.process.incarnation, Address: e.peers.selfAddress, Region: e.process.settings.Region,
		MilliCores: uint32(1000 * e.process.settings.ProcessorShare),
	}}
	for !e.draining.Load() {
		record.Wanted = e.coordinator.Wanted()
		delay := entryPublishInterval
		if err := e.store.PublishEntry(ctx, record); err != nil && ctx.Err() == nil {
			e.process.log.Log(event.EntryListFailed, "error", err)
			delay = entryPublishRetryDelay
		}
		select {
		case <-time.After(delay):
		case <-e.republish:
		case <-e.coordinator.WantedChanged():
		case <-ctx.Done():
			return
		}
	}
}

// applyListChanges applies changes of the entry list. It has the record of this process
// written again if a late write of the previous process has replaced it.
func (e *entry) applyListChanges(changes []platform.EntryChange) {
	for _, ch := range changes {
		if ch.Entry.Address == e.peers.selfAddress && (!ch.Present || ch.Entry.Node != e.process.incarnation) {
			setLatest(e.republish, struct{}{})
		}
	}
	e.peers.conns.applyListChanges(changes)
}

// applyConfig puts a configuration into effect if it is newer than the current one.
func (e *entry) applyConfig(encoded []byte) {
	cfg, err := platform.DecodeConfig(encoded)
	if err != nil {
		e.process.log.Log(event.ConfigIgnored, "error", err)
		return
	}
	old := e.config.Load()
	if old != nil && old.Version >= cfg.Version {
		return
	}
	e.config.Store(cfg)
	e.callers.setLimits(cfg.Limits)
	e.process.log.Log(event.ConfigApplied, "version", cfg.Version, "queues", len(cfg.Queues), "services", len(cfg.Services))
}

// isReady reports whether callers can be served.
func (e *entry) isReady() bool {
	ready := !e.draining.Load() && e.config.Load() != nil && (e.coordinator.Ready() || e.router.Ready())
	if e.ready.Swap(ready) != ready {
		e.process.log.Log(event.ReadinessChanged, "ready", ready, "draining", e.draining.Load(), "configured", e.config.Load() != nil)
	}
	return ready
}

// Config implements platform.JobBackend.
func (e *entry) Config() *job.Config { return e.config.Load() }

// Submit implements platform.JobBackend.
func (e *entry) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	if s.Ephemeral {
		s.CallerDisconnected = callerDisconnected(ctx)
		if e.fairShare {
			s.Origin = e.process.settings.DataCentre
		}
	}
	ctx, span := startJobSpan(ctx, e.process.tracer, spanJob, &s)
	state, err := e.submit(ctx, s)
	endJobSpan(span, state, err)
	return state, err
}

// submit forwards or places an ephemeral job and waits for its outcome, or stores a job.
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
	e.process.log.Log(event.JobStored, "job", s.ID, "queue", s.Queue.Name, "tasks", s.Tasks())
	return job.Queued, nil
}

// boottime returns the time since the host was started, including the time for which it was
// suspended.
func boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every kernel that Go supports
	}
	return time.Duration(t.Nano())
}

// State implements platform.JobBackend.
func (e *entry) State(ctx context.Context, _ job.Queue, id string) (job.State, *errkind.Error) {
	if e.jobs == nil {
		return "", errkind.New(errkind.JobUnknown, "this deployment does not store jobs")
	}
	return e.jobs.State(ctx, id)
}

// Cancel implements platform.JobBackend.
func (e *entry) Cancel(ctx context.Context, _ job.Queue, id string) *errkind.Error {
	if e.jobs == nil {
		return errkind.New(errkind.JobUnknown, "this deployment does not store jobs")
	}
	return e.jobs.Cancel(ctx, id)
}

// Pending implements platform.JobBackend.
func (e *entry) Pending(_ context.Context, q job.Queue) (int, *errkind.Error) {
	n := e.coordinator.Pending(q.Name)
	if e.jobs != nil {
		n += e.jobs.Pending(q.Name)
	}
	return n, nil
}

// newHandler returns the handler for a connection from an agent or from another entry.
func (e *entry) newHandler(c *transport.Conn) transport.Handler {
	if c.PeerHello.Role == wire.RoleEntry {
		return newForwarderMessageHandler(c, e.router)
	}
	h := &agentMessageHandler{entry: e, agent: c.PeerHello.Node.Name}
	h.connection = e.coordinator.Connected(h.agent, newSender(c))
	return h
}

// agentMessageHandler handles the messages of an agent.
type agentMessageHandler struct {
	entry      *entry
	agent      string
	connection uint64
}

// Handle implements transport.Handler.
func (h *agentMessageHandler) Handle(_ *transport.Conn, f wire.Frame) {
	h.entry.coordinator.Handle(h.agent, h.connection, f.Body)
}

// Closed implements transport.Handler.
func (h *agentMessageHandler) Closed(_ *transport.Conn, err error) {
	h.entry.process.log.Log(event.EntryAgentClosed, "agent", h.agent, "error", err)
	h.entry.coordinator.Disconnected(h.agent, h.connection)
}
