// Package executor runs the tasks that entries order, on the endpoint on the same host as
// the agent. It is the only client of that endpoint, keeps the lease of the runs there, and
// reports the state of each run to its entry.
package executor

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/internal/loop"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// Config holds the dependencies and settings of an Executor.
type Config struct {
	Endpoint endpointapi.Endpoint
	Timing   Timing
	Policy   policy.Policy
	Log      *event.Logger
	Metrics  *Metrics
	// Tracer creates a span for each run of a traced job and one for its start call; nil
	// disables tracing.
	Tracer trace.Tracer
	// Save stores an announcement that changes what a later process of this agent must know.
	// It must not block; it may be nil.
	Save func(a endpointapi.Announcement)
	// Now returns a clock that also advances while the host is suspended; nil selects the
	// process's own clock.
	Now func() time.Duration
}

// Executor runs tasks on one endpoint. Its fields are owned by its loop.
type Executor struct {
	cfg         Config
	loop        *loop.Loop
	startQueue  chan *startCall
	observeWake chan struct{} // wakes observeLoop
	ctx         context.Context
	startedAt   time.Time // of this process

	profile             *wire.Profile // nil until the endpoint has announced itself
	endpointStartMillis int64
	sequence            uint64 // of the newest announcement
	endpointDraining    bool
	evacuated           wire.Evacuated // evacuated data centres
	persisted           persistedState // of the last announcement that was saved
	shuttingDown        bool           // of this process
	// adoptDeadline is when inherited runs that no entry has claimed are stopped; zero once
	// that is done.
	adoptDeadline time.Time

	clock           endpointClock
	leaseEnd        time.Duration // latest one sent, on the endpoint's clock
	ackedSequence   uint64        // of the last end that the endpoint was told to forget
	lastEndSequence uint64        // of the last end that was read
	// unconfirmed holds the ends that the endpoint must keep, by run.
	unconfirmed       map[wire.Run]unconfirmedEnd
	unconfirmedSentAt time.Time
	// backlogFull is set while too many ends are unconfirmed; stored runs are rejected then.
	backlogFull        bool
	failedObservations int // consecutive
	unreachable        bool
	observingNow       bool // an observation outside observeLoop is in flight
	health             health

	runs    map[string]*run // by task
	used    wire.Resources
	entries map[string]*entry // by incarnation
	// lastConnection is the number of the newest connection to an entry.
	lastConnection uint64
	recent         recentOutcomes
	// statusDirty is set while the newest status has not been sent to the entries.
	statusDirty  bool
	statusSentAt time.Time
}

// New returns an Executor, which Run starts.
func New(cfg Config) *Executor {
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if created := time.Now(); cfg.Now == nil {
		cfg.Now = func() time.Duration { return time.Since(created) }
	}
	return &Executor{
		cfg:         cfg,
		loop:        loop.New(),
		startQueue:  make(chan *startCall, startQueueSize),
		observeWake: make(chan struct{}, 1),
		runs:        make(map[string]*run),
		unconfirmed: make(map[wire.Run]unconfirmedEnd),
		entries:     make(map[string]*entry),
	}
}

// Run executes the loop of the executor until ctx is done.
func (x *Executor) Run(ctx context.Context) {
	x.ctx, x.startedAt = ctx, time.Now()
	for range startWorkers {
		go x.startWorker(ctx)
	}
	go x.observeLoop(ctx)
	x.loop.Run(ctx, x)
}

// Announce processes an announcement of the endpoint and reports whether it was accepted. An
// announcement of an older incarnation, or one that is older than an accepted one, is
// ignored.
func (x *Executor) Announce(a endpointapi.Announcement) (accepted bool) {
	x.loop.Do(func() { accepted = x.handleAnnouncement(a, time.Now()) })
	return accepted
}

func (x *Executor) handleAnnouncement(a endpointapi.Announcement, now time.Time) bool {
	p := x.profile
	switch {
	case p == nil || a.Profile.Instance != p.Instance && a.StartMillis >= x.endpointStartMillis || a.StartMillis > x.endpointStartMillis:
		x.newIncarnation(a, now)
	case a.Profile.Instance != p.Instance || a.StartMillis < x.endpointStartMillis || a.Sequence < x.sequence:
		x.cfg.Log.Log(event.AnnouncementStale, "instance", a.Profile.Instance, "born", a.StartMillis,
			"sequence", a.Sequence, "known_instance", p.Instance, "known_born", x.endpointStartMillis, "known_sequence", x.sequence)
		return false
	}
	x.sequence = a.Sequence
	if !x.clock.known() {
		x.setClock(a.Clock, now, "announcement")
	}
	if a.Draining != x.endpointDraining {
		x.endpointDraining = a.Draining
		x.statusDirty = true
		if a.Draining {
			x.cfg.Log.Log(event.EndpointDraining, "instance", a.Profile.Instance, "runs", len(x.runs), "sequence", a.Sequence)
		}
	}
	x.save(a)
	return true
}

// Restore applies the announcement that an earlier process of this agent saved. It is used
// until the endpoint announces itself; an observation checks at once that this incarnation
// still runs.
func (x *Executor) Restore(a endpointapi.Announcement) {
	x.loop.Do(func() {
		if x.profile != nil {
			return
		}
		a.Sequence, a.Clock = 0, 0
		x.persisted = persistedStateOf(a)
		x.handleAnnouncement(a, time.Now())
	})
}

// persistedState is the part of an announcement that is saved whenever it changes.
type persistedState struct {
	instance    string
	startMillis int64
	draining    bool
}

func persistedStateOf(a endpointapi.Announcement) persistedState {
	return persistedState{a.Profile.Instance, a.StartMillis, a.Draining}
}

func (x *Executor) save(a endpointapi.Announcement) {
	if x.persisted == persistedStateOf(a) {
		return
	}
	x.persisted = persistedStateOf(a)
	if x.cfg.Save != nil {
		x.cfg.Save(a)
	}
}

// newIncarnation discards the state of an earlier incarnation of the endpoint.
func (x *Executor) newIncarnation(a endpointapi.Announcement, now time.Time) {
	x.cfg.Log.Log(event.EndpointAnnounced, "instance", a.Profile.Instance, "born", a.StartMillis,
		"service", a.Profile.Service, "millicores", a.Profile.Capacity.MilliCores, "runs", len(x.runs))
	first := x.profile == nil
	profile := a.Profile
	x.profile, x.endpointStartMillis, x.sequence, x.endpointDraining = &profile, a.StartMillis, a.Sequence, a.Draining
	x.clock = endpointClock{}
	x.leaseEnd, x.lastEndSequence, x.ackedSequence, x.failedObservations, x.unreachable = 0, 0, 0, 0, false
	x.setClock(a.Clock, now, "first announcement")
	x.unconfirmed = make(map[wire.Run]unconfirmedEnd)
	x.health = health{}
	for _, r := range x.runs {
		x.finish(r, wire.RunLost, 0, "endpoint incarnation ended")
	}
	if first {
		x.adoptDeadline = now.Add(x.cfg.Timing.AdoptWindow)
	}
	for _, e := range x.entries {
		e.profileSent = false
	}
	x.statusDirty = true
	x.applyPendingClaims(now)
	x.wakeObserver()
}

// Deregister handles the deregistration of the given endpoint instance.
func (x *Executor) Deregister(instance string) {
	x.loop.Do(func() {
		if x.profile == nil || x.profile.Instance != instance {
			return
		}
		x.cfg.Log.Log(event.EndpointWithdrawn, "instance", instance, "runs", len(x.runs))
		for _, r := range x.runs {
			x.finish(r, wire.RunLost, 0, "endpoint deregistered")
		}
		x.endpointDraining, x.statusDirty = true, true
	})
}

// Drain makes the executor reject new runs, and waits until none is left or ctx is done. The
// lease of the remaining runs is still extended until Run ends, so that a later process of
// this agent can adopt them.
func (x *Executor) Drain(ctx context.Context) {
	x.loop.Do(func() { x.shuttingDown, x.statusDirty = true, true })
	for {
		n := 0
		if !x.loop.Do(func() { n = len(x.runs) }) || n == 0 {
			return
		}
		select {
		case <-time.After(x.cfg.Timing.DrainPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// closedReason returns why no new run is accepted, or 0.
func (x *Executor) closedReason() wire.RejectReason {
	switch {
	case x.profile == nil || x.unreachable || !x.clock.known():
		return wire.RejectUnreachable
	case x.endpointDraining || x.shuttingDown:
		return wire.RejectDraining
	case x.evacuated.Has(x.profile.DataCentre):
		return wire.RejectEvacuated
	}
	return 0
}

// Tick implements loop.Controller.
func (x *Executor) Tick(now time.Time) {
	x.expireLease(now)
	x.verifyUnansweredStarts(now)
	x.expireEntries(now)
	x.applyPendingClaims(now)
	x.stopUnclaimedRuns(now)
	x.retryStops(now)
	x.expireUnconfirmed(now)
	x.resendUnconfirmed(now)
}

// AfterBatch implements loop.Controller. It sends queued reports and a changed status.
func (x *Executor) AfterBatch(now time.Time) {
	x.sendUrgentReports(now)
	x.sendStatus(now)
	x.cfg.Metrics.update(x)
}

// TickInterval implements loop.Controller.
func (x *Executor) TickInterval(now time.Time) time.Duration {
	if len(x.runs) > 0 || x.statusDirty {
		return x.cfg.Timing.BusyTickInterval
	}
	return x.cfg.Timing.IdleTickInterval
}
