// Package coordinator runs jobs on the agents that are connected to an entry: it
// orders tasks, repeats those that were lost or failed, and answers the caller.
// All its state belongs to one loop; decisions are in package policy.
package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/internal/loop"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// Timing holds the times of a Coordinator.
type Timing struct {
	// Heartbeat is the longest silence towards an agent that executes runs. It must
	// be well below the time after which agents stop the runs of a silent entry.
	Heartbeat time.Duration
	// AgentSilence is when an agent that says nothing gets no new task.
	AgentSilence time.Duration
	// OrphanEnd is when the runs of a silent agent have surely ended.
	OrphanEnd time.Duration
	// TrialInterval is the time between two tasks on an endpoint that fails all.
	TrialInterval time.Duration
	Tick          time.Duration
	IdleTick      time.Duration
	// FarFactor is how much longer a task runs away from its data.
	FarFactor float64
}

// DefaultTiming returns the times that fit agents with the given OrphanEnd.
func DefaultTiming(orphanEnd time.Duration, farFactor float64) Timing {
	return Timing{
		Heartbeat:     130 * time.Millisecond,
		AgentSilence:  450 * time.Millisecond,
		OrphanEnd:     orphanEnd,
		TrialInterval: 400 * time.Millisecond,
		Tick:          10 * time.Millisecond,
		IdleTick:      100 * time.Millisecond,
		FarFactor:     farFactor,
	}
}

// Config holds what a Coordinator needs.
type Config struct {
	DataCentre string
	Timing     Timing
	Policy     policy.Policy
	Log        *event.Logger
	Metrics    *Metrics
}

// Coordinator runs jobs. Its fields belong to its loop.
type Coordinator struct {
	cfg     Config
	started time.Time
	loop    *loop.Loop
	random  *rand.Rand
	agents  map[string]*agent // by host name
	jobs    map[string]*run   // by job id
	waiting []*run            // jobs with tasks that wait for room, in order
	// replan is set when room, endpoints or waiting tasks have changed.
	replan  bool
	emptied wire.Evacuated
	// leaving is set when this process will stop.
	leaving bool
	// recorder records stored jobs; nil without a ledger. startedJobs holds the ids
	// of the stored jobs of which a task was ordered, for readers off the loop.
	recorder    Recorder
	startedJobs sync.Map
	strays      map[string][]stray           // by job
	strayCheck  time.Time                    // when old ones were last dropped
	lastHeard   time.Time                    // of any agent
	outOfReach  atomic.Bool                  // no agent is heard
	orders      map[*agent][]wire.OrderGroup // of the present batch
	rooms       atomic.Pointer[[]wire.ServiceLoad]
	roomsAt     time.Time // when rooms was last computed
	labels      atomic.Pointer[[]wire.ServiceLabels]
	patience    map[string]*policy.CallerPatience // by queue
}

// New returns a Coordinator that does not run yet.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg:      cfg,
		started:  time.Now(),
		loop:     loop.New(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		agents:   make(map[string]*agent),
		jobs:     make(map[string]*run),
		strays:   make(map[string][]stray),
		orders:   make(map[*agent][]wire.OrderGroup),
		patience: make(map[string]*policy.CallerPatience),
	}
	c.outOfReach.Store(true) // until one is heard
	return c
}

// Run serves until ctx ends.
func (c *Coordinator) Run(ctx context.Context) { c.loop.Run(ctx, c) }

// Submit runs a job and waits for its end. The end of ctx means that the caller
// has gone: the job is stopped.
func (c *Coordinator) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	w := caller{answer: make(chan outcome, 1), gone: func() bool {
		return ctx.Err() != nil || s.CallerGone != nil && s.CallerGone()
	}}
	if !c.loop.Post(func() { c.submit(s, w, time.Now()) }) {
		return "", errkind.New(errkind.Draining, "the process is stopping")
	}
	select {
	case o := <-w.answer:
		return o.state, o.err
	case <-c.loop.Done():
		return "", errkind.New(errkind.HomeLost, "the process ended before the job")
	case <-ctx.Done():
		c.loop.Post(func() { c.abandon(s.ID, w.answer) })
		return "", errkind.New(errkind.CancelledRunning, "the caller has gone")
	}
}

// Load returns the number of jobs in progress.
func (c *Coordinator) Load() (jobs int) {
	c.loop.Do(func() { jobs = len(c.jobs) })
	return jobs
}

// Pending returns the number of jobs of a queue of which no task has started.
func (c *Coordinator) Pending(queue string) (n int) {
	c.loop.Do(func() {
		for _, j := range c.waiting {
			if j.spec.Queue.Name == queue && !j.started && j.stored == nil {
				n++
			}
		}
	})
	return n
}

// Ready reports whether tasks can be placed: an agent with an endpoint is known.
func (c *Coordinator) Ready() (ready bool) {
	c.loop.Do(func() {
		for _, a := range c.agents {
			ready = ready || a.profile != nil && a.send != nil
		}
	})
	return ready
}

// Tick implements loop.Controller.
func (c *Coordinator) Tick(now time.Time) {
	c.checkReach(now)
	c.checkAgents(now)
	c.checkJobs(now)
	c.forgetStrays(now)
	c.updateLabels()
}

// Settle implements loop.Controller.
func (c *Coordinator) Settle(now time.Time) {
	if c.replan {
		c.replan = false
		c.plan(now)
	}
	c.flush(now)
	c.updateRooms(now)
	c.cfg.Metrics.observe(c)
}

// Next implements loop.Controller.
func (c *Coordinator) Next(time.Time) time.Duration {
	if len(c.jobs) > 0 {
		return c.cfg.Timing.Tick
	}
	return c.cfg.Timing.IdleTick
}
