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

	profile *wire.Profile // nil until the endpoint has announced itself
	// otherProfile is the profile in the newest announcement if that differs from profile in more
	// than the capacity.
	otherProfile        *wire.Profile
	statedCapacity      wire.Resources // in the newest announcement with this profile
	announcedAt         time.Duration  // the same one's time on the endpoint's clock; 0 if it was restored
	capacityUnenforced  bool           // the endpoint starts runs beyond its capacity, as the newest order says
	capacityKnown       bool           // result of knowsCapacity at the last tick
	endpointStartMillis int64
	incarnationSince    time.Time // when this incarnation became the known one
	sequence            uint64    // of the newest announcement
	lower               lowerSequences
	endpointDraining    bool
	evacuated           wire.Evacuated // evacuated data centres
	persisted           persistedState // of the last announcement that was saved
	// unverified is set while the endpoint has not confirmed the profile, which was restored or
	// announced. The runs that entries claim then may be those of another incarnation.
	unverified   bool
	shuttingDown bool // of this process
	// adoptDeadline is when inherited runs that no entry has claimed are stopped; zero once
	// that is done.
	adoptDeadline time.Time

	clock           endpointClock
	fence           fence
	leaseEnd        time.Duration // latest one sent, on the endpoint's clock
	ackedSequence   uint64        // of the last end that the endpoint was told to forget
	lastEndSequence uint64        // of the last end that was read
	// unconfirmed holds the ends that the endpoint must keep, by run.
	unconfirmed       map[wire.Run]unconfirmedEnd
	unconfirmedSentAt time.Time
	// backlogFull is set while too many ends are unconfirmed; stored runs are rejected then.
	backlogFull bool
	// endListFullSince is the time since which endListFull is true, so that all runs are rejected;
	// zero while it is false.
	endListFullSince   time.Time
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
	crashes        []crash   // the recent ones, oldest first
	crashCount     uint64    // crashes that were recorded
	crashedAt      time.Time // when the last crash was noticed
	trial          trial
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
	x := &Executor{
		cfg:         cfg,
		loop:        loop.New(),
		startQueue:  make(chan *startCall, startQueueSize),
		observeWake: make(chan struct{}, 1),
		runs:        make(map[string]*run),
		unconfirmed: make(map[wire.Run]unconfirmedEnd),
		entries:     make(map[string]*entry),
	}
	x.fence.init(time.Now())
	return x
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
	case !x.knowsCapacity(time.Now()):
		return wire.RejectCapacityUnknown
	case x.endListFull():
		return wire.RejectBacklogFull
	}
	return 0
}

// Tick implements loop.Controller.
func (x *Executor) Tick(now time.Time) {
	x.expireLease(now)
	x.checkCapacityKnown(now)
	x.loseClaimedRuns(now)
	x.verifyUnansweredStarts(now)
	x.expireEntries(now)
	x.applyPendingClaims(now)
	x.stopUnclaimedRuns(now)
	x.retryStops(now)
	x.releaseUnconfirmed(now)
	x.resendUnconfirmed(now)
	x.expireCrashes(now)
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
