// Package executor runs the tasks that entries order, on the endpoint on the same host as
// the agent. It is the only client of that endpoint, keeps the lease of the runs there, and
// reports the state of each run to its entry.
package executor

import (
	"context"
	"errors"
	"reflect"
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
	// otherProfile is the profile in the newest announcement if that differs from profile.
	otherProfile        *wire.Profile
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

// Announce processes an announcement of the endpoint and reports whether it was accepted. An
// announcement that is older than an accepted one is ignored. One that names another
// incarnation is accepted once the endpoint has confirmed that this incarnation runs there:
// announcements may be delayed or come from other software.
func (x *Executor) Announce(a endpointapi.Announcement) (accepted bool) {
	var ctx context.Context
	var known time.Time
	verify := false
	x.loop.Do(func() {
		accepted, verify = x.handleAnnouncement(a, time.Now())
		ctx, known = x.ctx, x.incarnationSince
	})
	if !verify {
		return accepted
	}
	req := endpointapi.ObserveRequest{Instance: a.Profile.Instance, FencingToken: x.fence.token()}
	obs, err := x.queryIncarnation(ctx, req)
	x.loop.Do(func() {
		var fenced *endpointapi.FencedError
		if errors.As(err, &fenced) {
			x.fence.recordRefusal(req.FencingToken)
		}
		if x.incarnationSince == known { // otherwise another announcement was confirmed meanwhile
			accepted = x.handleIncarnationReply(a, obs, err, time.Now())
		}
	})
	return accepted
}

// handleAnnouncement processes a if it announces the known incarnation. verify is set if it
// announces another one, which the endpoint must confirm.
func (x *Executor) handleAnnouncement(a endpointapi.Announcement, now time.Time) (accepted, verify bool) {
	p := x.profile
	switch {
	case p == nil:
		return false, true
	case a.Profile.Instance == p.Instance && a.StartMillis == x.endpointStartMillis:
		// An endpoint that drains does not become ready again, so also a delayed announcement of a
		// drain is true.
		if a.Sequence < x.sequence && !a.Draining && !x.lower.replaceKnown(a.Sequence, now) {
			x.logStale(a)
			return false, false
		}
		x.applyAnnouncement(a)
		return true, false
	case a.StartMillis < x.endpointStartMillis && !x.unreachable:
		x.logStale(a)
		// The clock of the host may have been set back before the endpoint started again: the
		// announcement is verified once the known incarnation turns out to have ended.
		x.observeNow(now)
		return false, false
	}
	return false, true
}

func (x *Executor) logStale(a endpointapi.Announcement) {
	x.cfg.Log.Log(event.AnnouncementStale, "instance", a.Profile.Instance, "born", a.StartMillis,
		"sequence", a.Sequence, "known_instance", x.profile.Instance, "known_born", x.endpointStartMillis, "known_sequence", x.sequence)
}

// applyAnnouncement applies an announcement of the known incarnation.
func (x *Executor) applyAnnouncement(a endpointapi.Announcement) {
	x.sequence, x.lower = a.Sequence, lowerSequences{}
	x.checkProfile(a)
	if a.Draining != x.endpointDraining {
		x.endpointDraining = a.Draining
		x.statusDirty = true
		if a.Draining {
			x.cfg.Log.Log(event.EndpointDraining, "instance", a.Profile.Instance, "runs", len(x.runs), "sequence", a.Sequence)
		}
	}
	a.Profile = *x.profile
	x.save(a)
}

// checkProfile replaces the profile of the known incarnation once two consecutive announcements
// state the same other one. A profile does not change, so that the first one was false.
func (x *Executor) checkProfile(a endpointapi.Announcement) {
	p := a.Profile
	switch {
	case reflect.DeepEqual(p, *x.profile):
		x.otherProfile = nil
	case x.otherProfile == nil || !reflect.DeepEqual(p, *x.otherProfile):
		x.otherProfile = &p
	default:
		x.cfg.Log.Log(event.EndpointAnnounced, "instance", p.Instance, "born", a.StartMillis, "service", p.Service,
			"millicores", p.Capacity.MilliCores, "runs", len(x.runs), "replaced_service", x.profile.Service)
		x.profile, x.otherProfile, x.statusDirty = &p, nil, true
		x.persisted = persistedState{} // the new profile is saved
		for _, e := range x.entries {
			e.profileSent = false
		}
	}
}

// lowerSequences counts the consecutive announcements with rising sequence numbers below the known
// one. The known one is false if they go on, since the endpoint sends newer announcements at
// intervals, while delayed ones arrive together.
type lowerSequences struct {
	count int
	last  uint64
	since time.Time
}

const (
	minLowerSequences      = 3
	minLowerSequencePeriod = 1500 * time.Millisecond
)

// replaceKnown adds the sequence number of an announcement, and reports whether it replaces the
// known one.
func (l *lowerSequences) replaceKnown(sequence uint64, now time.Time) bool {
	if l.count == 0 || sequence <= l.last {
		l.count, l.since = 0, now
	}
	l.count++
	l.last = sequence
	return l.count >= minLowerSequences && now.Sub(l.since) >= minLowerSequencePeriod
}

// incarnationQueryAttempts is the number of calls after which a query about an incarnation is
// given up until the next announcement.
const incarnationQueryAttempts = 3

// queryIncarnation asks the endpoint whether it is the instance that req names.
func (x *Executor) queryIncarnation(ctx context.Context, req endpointapi.ObserveRequest) (obs endpointapi.Observation, err error) {
	for range incarnationQueryAttempts {
		callCtx, cancel := context.WithTimeout(ctx, x.cfg.Timing.CallTimeout)
		obs, err = x.cfg.Endpoint.Observe(callCtx, req)
		cancel()
		x.cfg.Metrics.observations.Inc()
		if err == nil || isEndpointDown(err) || ctx.Err() != nil {
			break
		}
	}
	return obs, err
}

// handleIncarnationReply processes the reply of the endpoint to a query about the incarnation
// that a names.
func (x *Executor) handleIncarnationReply(a endpointapi.Announcement, obs endpointapi.Observation, err error, now time.Time) (accepted bool) {
	if err == nil && obs.StartMillis > 0 && obs.StartMillis != a.StartMillis {
		err = &endpointapi.OtherInstanceError{Instance: a.Profile.Instance + ", started at another time"}
	}
	if err != nil && (x.profile != nil || isEndpointDown(err)) {
		x.cfg.Log.Log(event.AnnouncementRefused, "instance", a.Profile.Instance, "born", a.StartMillis, "why", err)
		return false
	}
	a.Clock = obs.Clock // that of the announcement cannot be checked
	x.newIncarnation(a, now)
	x.unverified = err != nil
	if err == nil {
		x.save(a)
	}
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
		x.newIncarnation(a, time.Now())
		x.unverified = true
	})
}

// forgetRestored discards the restored profile of an incarnation that has ended.
func (x *Executor) forgetRestored(err error) {
	x.cfg.Log.Log(event.EndpointUnreachable, "error", err, "runs", len(x.runs))
	x.profile, x.endpointStartMillis, x.unverified, x.statusDirty = nil, 0, false, true
}

// cancelQueuedStarts prevents starts that are queued from being sent with a newer fencing token.
func (x *Executor) cancelQueuedStarts() {
	for _, r := range x.runs {
		r.starts.cancelQueued()
	}
}

// stopRunsOfEndedIncarnation stops all runs and reports each as lost once its stop is confirmed: the
// next incarnation, which has the same id, may have accepted starts that were meant for the one
// that has ended.
func (x *Executor) stopRunsOfEndedIncarnation(now time.Time) {
	for _, r := range x.runs {
		if r.starts.attempts == 1 && r.sentAt().IsZero() {
			x.finish(r, wire.RunLost, 0, "endpoint incarnation ended") // its only start was not sent
			continue
		}
		r.incarnationEnded = true
		if r.state != runStopping {
			x.stop(r, 0, now)
		}
	}
}

// loseRuns reports all runs as lost.
func (x *Executor) loseRuns(why string) {
	for _, r := range x.runs {
		x.finish(r, wire.RunLost, 0, why)
	}
}

// loseClaimedRuns reports the runs as lost that entries have claimed if the endpoint is still
// unknown, or has not answered, when the lease of an earlier process has expired.
func (x *Executor) loseClaimedRuns(now time.Time) {
	if !x.clock.known() && now.Sub(x.startedAt) >= x.cfg.Timing.maxInheritedLease() {
		x.loseRuns("endpoint is unknown")
	}
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

// newIncarnation discards the state of an earlier incarnation of the endpoint. Runs that were
// claimed before the endpoint was known are kept.
func (x *Executor) newIncarnation(a endpointapi.Announcement, now time.Time) {
	x.cfg.Log.Log(event.EndpointAnnounced, "instance", a.Profile.Instance, "born", a.StartMillis,
		"service", a.Profile.Service, "millicores", a.Profile.Capacity.MilliCores, "runs", len(x.runs))
	first := x.profile == nil || x.unverified
	sameID := !first && a.Profile.Instance == x.profile.Instance
	x.unverified = false
	profile := a.Profile
	x.profile, x.endpointStartMillis, x.sequence, x.endpointDraining = &profile, a.StartMillis, a.Sequence, a.Draining
	x.incarnationSince, x.lower, x.otherProfile = now, lowerSequences{}, nil
	x.clock = endpointClock{}
	x.leaseEnd, x.lastEndSequence, x.ackedSequence, x.failedObservations, x.unreachable = 0, 0, 0, 0, false
	x.setClock(a.Clock, now, "first announcement")
	x.unconfirmed = make(map[wire.Run]unconfirmedEnd)
	x.health = health{}
	if !first && !sameID {
		x.loseRuns("endpoint incarnation ended")
	}
	x.cancelQueuedStarts()
	x.fence.startIncarnation()
	if sameID {
		x.stopRunsOfEndedIncarnation(now)
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

// Deregister handles the deregistration of the given endpoint instance. Its runs count as lost
// once a call shows that the endpoint has ended: the message may have been delayed until the
// endpoint has started again under the same id, or come from other software.
func (x *Executor) Deregister(instance string) {
	x.loop.Do(func() {
		if x.profile == nil || x.profile.Instance != instance {
			return
		}
		x.cfg.Log.Log(event.EndpointWithdrawn, "instance", instance, "runs", len(x.runs))
		x.endpointDraining, x.statusDirty = true, true
		x.observeNow(time.Now())
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
	x.loseClaimedRuns(now)
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
