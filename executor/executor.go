// Package executor runs the tasks that entries order on the endpoint beside an
// agent. It is the only caller of the endpoint, keeps the lease of what runs
// there, and reports to each entry what became of its runs.
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

// Config holds what an Executor needs.
type Config struct {
	Endpoint endpointapi.Endpoint
	Timing   Timing
	Policy   policy.Policy
	Log      *event.Logger
	Metrics  *Metrics
	// Tracer makes a span for each run of a traced job, and one for its start at the
	// endpoint; nil for none.
	Tracer trace.Tracer
	// Save records an announcement that changes what a process that follows this one
	// has to know. It must not block; it may be nil.
	Save func(a endpointapi.Announcement)
	// Now returns a clock that counts the time in which the host is suspended; nil
	// for the process's own clock.
	Now func() time.Duration
}

// Executor runs tasks on one endpoint. Its fields belong to its loop.
type Executor struct {
	cfg     Config
	loop    *loop.Loop
	starts  chan *startCall
	observe chan struct{} // wakes the observer
	ctx     context.Context
	begun   time.Time // when this process started

	profile  *wire.Profile // nil until the endpoint has announced itself
	born     int64
	sequence uint64 // of the newest announcement
	draining bool
	emptied  wire.Emptied // data centres that the operator empties
	saved    record       // of the last announcement that was recorded
	leaving  bool         // this process is stopping
	// adopting is when the runs that were found at the endpoint are stopped unless
	// an entry has claimed them.
	adopting time.Time

	clock    endpointClock
	leaseEnd time.Duration // the latest that was sent, on the endpoint's clock
	acked    uint64        // the last end that the endpoint was told to forget
	lastEnd  uint64        // the last end that was read
	// unnoted holds the ends that the endpoint must keep, by run.
	unnoted     map[wire.Run]unnotedEnd
	unnotedSent time.Time
	// unrecorded is set while too many of them wait: no stored run is taken.
	unrecorded  bool
	misses      int // observations in a row without an answer
	unreachable bool
	looking     bool // an observation beside the observer's is under way
	health      health

	runs    map[string]*run // by task
	used    wire.Resources
	entries map[string]*entry // by entry incarnation
	recent  recentEnds
	// statusDirty is set when the entries have not been sent the newest status.
	statusDirty bool
	statusSent  time.Time
}

// New returns an Executor that does not run yet.
func New(cfg Config) *Executor {
	if cfg.Tracer == nil {
		cfg.Tracer = noop.NewTracerProvider().Tracer("")
	}
	if created := time.Now(); cfg.Now == nil {
		cfg.Now = func() time.Duration { return time.Since(created) }
	}
	return &Executor{
		cfg:     cfg,
		loop:    loop.New(),
		starts:  make(chan *startCall, startQueue),
		observe: make(chan struct{}, 1),
		runs:    make(map[string]*run),
		unnoted: make(map[wire.Run]unnotedEnd),
		entries: make(map[string]*entry),
	}
}

// Run serves until ctx ends.
func (x *Executor) Run(ctx context.Context) {
	x.ctx, x.begun = ctx, time.Now()
	for range startWorkers {
		go x.startWorker(ctx)
	}
	go x.observer(ctx)
	x.loop.Run(ctx, x)
}

// Announce takes an announcement of the endpoint. It reports whether the
// announcement was taken; one from an older incarnation, or older than one that
// was taken before, is not.
func (x *Executor) Announce(a endpointapi.Announcement) (taken bool) {
	x.loop.Do(func() { taken = x.announced(a, time.Now()) })
	return taken
}

func (x *Executor) announced(a endpointapi.Announcement, now time.Time) bool {
	p := x.profile
	switch {
	case p == nil || a.Profile.Instance != p.Instance && a.Born >= x.born || a.Born > x.born:
		x.newIncarnation(a, now)
	case a.Profile.Instance != p.Instance || a.Born < x.born || a.Sequence < x.sequence:
		x.cfg.Log.Log(event.AnnouncementOld, "instance", a.Profile.Instance, "born", a.Born,
			"sequence", a.Sequence, "known_instance", p.Instance, "known_born", x.born, "known_sequence", x.sequence)
		return false
	}
	x.sequence = a.Sequence
	if !x.clock.known() {
		x.clock.set(a.Clock, now)
	}
	if a.Draining != x.draining {
		x.draining = a.Draining
		x.statusDirty = true
		if a.Draining {
			x.cfg.Log.Log(event.EndpointLeaving, "instance", a.Profile.Instance, "runs", len(x.runs), "sequence", a.Sequence)
		}
	}
	x.save(a)
	return true
}

// Restore takes what an earlier process of this agent recorded of the endpoint. It
// counts until the endpoint announces itself; an observation checks at once that
// this incarnation still runs.
func (x *Executor) Restore(a endpointapi.Announcement) {
	x.loop.Do(func() {
		if x.profile != nil {
			return
		}
		a.Sequence, a.Clock = 0, 0
		x.saved = recordOf(a)
		x.announced(a, time.Now())
	})
}

// record is what decides whether an announcement has to be recorded.
type record struct {
	instance string
	born     int64
	draining bool
}

func recordOf(a endpointapi.Announcement) record {
	return record{a.Profile.Instance, a.Born, a.Draining}
}

func (x *Executor) save(a endpointapi.Announcement) {
	if x.saved == recordOf(a) {
		return
	}
	x.saved = recordOf(a)
	if x.cfg.Save != nil {
		x.cfg.Save(a)
	}
}

// newIncarnation forgets what was known of an earlier incarnation of the endpoint.
func (x *Executor) newIncarnation(a endpointapi.Announcement, now time.Time) {
	x.cfg.Log.Log(event.EndpointAnnounced, "instance", a.Profile.Instance, "born", a.Born,
		"service", a.Profile.Service, "millicores", a.Profile.Capacity.MilliCores, "runs", len(x.runs))
	first := x.profile == nil
	profile := a.Profile
	x.profile, x.born, x.sequence, x.draining = &profile, a.Born, a.Sequence, a.Draining
	x.clock = endpointClock{}
	x.clock.set(a.Clock, now)
	x.leaseEnd, x.lastEnd, x.acked, x.misses, x.unreachable = 0, 0, 0, 0, false
	x.assumeLease(now)
	x.unnoted = make(map[wire.Run]unnotedEnd)
	x.health = health{}
	for _, r := range x.runs {
		x.finish(r, wire.RunLost, 0, "incarnation ended")
	}
	if first {
		x.adopting = now.Add(x.cfg.Timing.AdoptWindow)
	}
	for _, e := range x.entries {
		e.profileSent = false
	}
	x.statusDirty = true
	x.checkClaims(now)
	x.wakeObserver()
}

// Deregister takes note that the endpoint of the given instance has said that it ends.
func (x *Executor) Deregister(instance string) {
	x.loop.Do(func() {
		if x.profile == nil || x.profile.Instance != instance {
			return
		}
		x.cfg.Log.Log(event.EndpointWithdrawn, "instance", instance, "runs", len(x.runs))
		for _, r := range x.runs {
			x.finish(r, wire.RunLost, 0, "endpoint left")
		}
		x.draining, x.statusDirty = true, true
	})
}

// Leave makes the executor take no new run, and waits until none is left or ctx
// ends. The lease of what still runs then is extended once more, so that a
// process that follows can adopt it.
func (x *Executor) Leave(ctx context.Context) {
	x.loop.Do(func() { x.leaving, x.statusDirty = true, true })
	for {
		n := 0
		if !x.loop.Do(func() { n = len(x.runs) }) || n == 0 {
			return
		}
		select {
		case <-time.After(x.cfg.Timing.DrainPoll):
		case <-ctx.Done():
			return
		}
	}
}

// closed returns why no new run is taken, or 0.
func (x *Executor) closed() wire.RejectReason {
	switch {
	case x.profile == nil || x.unreachable || !x.clock.known():
		return wire.RejectUnreachable
	case x.draining || x.leaving:
		return wire.RejectDraining
	case x.emptied.Has(x.profile.DataCentre):
		return wire.RejectEmptied
	}
	return 0
}

// Tick implements loop.Controller.
func (x *Executor) Tick(now time.Time) {
	x.expireLease(now)
	x.checkStarts(now)
	x.checkEntries(now)
	x.checkClaims(now)
	x.checkAdopted(now)
	x.checkStops(now)
	x.expireUnnoted(now)
	x.repeatUnnoted(now)
}

// Settle implements loop.Controller: it sends what has changed.
func (x *Executor) Settle(now time.Time) {
	x.sendReports(now)
	x.sendStatus(now)
	x.cfg.Metrics.observe(x)
}

// Next implements loop.Controller.
func (x *Executor) Next(now time.Time) time.Duration {
	if len(x.runs) > 0 || x.statusDirty {
		return x.cfg.Timing.BusyTick
	}
	return x.cfg.Timing.IdleTick
}
