// Package coordinator runs jobs on the agents that are connected to an entry: it orders the
// runs of their tasks, runs tasks again whose run was lost or failed, and answers the callers.
// All its state is owned by one event loop; the decisions are in package policy.
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

// Timing holds the intervals and timeouts of a Coordinator.
type Timing struct {
	// HeartbeatInterval is the longest time without a message to an agent that executes runs. It
	// must be well below the entry timeout of the agents, after which they stop the runs of an
	// entry.
	HeartbeatInterval time.Duration
	// SuspectTimeout is the time without a message from an agent after which it gets no new task
	// and no heartbeat.
	SuspectTimeout time.Duration
	// OrphanTimeout is the time without a message from an agent after which its runs must have
	// ended.
	OrphanTimeout time.Duration
	// TrialInterval is the time between two trial tasks on an endpoint that fails every run.
	TrialInterval    time.Duration
	TickInterval     time.Duration
	IdleTickInterval time.Duration
	// FarFactor multiplies the run time of a task outside the rack of its data.
	FarFactor float64
}

// DefaultTiming returns the default timing for agents with the given orphan timeout.
func DefaultTiming(orphanTimeout time.Duration, farFactor float64) Timing {
	return Timing{
		HeartbeatInterval: 130 * time.Millisecond,
		SuspectTimeout:    450 * time.Millisecond,
		OrphanTimeout:     orphanTimeout,
		TrialInterval:     400 * time.Millisecond,
		TickInterval:      10 * time.Millisecond,
		IdleTickInterval:  100 * time.Millisecond,
		FarFactor:         farFactor,
	}
}

// Config configures a Coordinator.
type Config struct {
	DataCentre string
	Timing     Timing
	Policy     policy.Policy
	Log        *event.Logger
	Metrics    *Metrics
}

// Coordinator runs jobs. Its fields are owned by its event loop.
type Coordinator struct {
	cfg     Config
	started time.Time
	loop    *loop.Loop
	random  *rand.Rand
	agents  map[string]*agent // by host name
	// lastConnection is the number of the newest connection to an agent.
	lastConnection uint64
	jobs           map[string]*activeJob // by job id
	queued         []*activeJob          // jobs with tasks that wait for capacity, in placement order
	agentLostAt    time.Time             // when an agent was last forgotten
	// replan is set when capacity, endpoints or waiting tasks have changed.
	replan        bool
	nextPlacement time.Time // earliest time of the next placement pass
	evacuated     wire.Evacuated
	// draining is set when this process will stop.
	draining bool
	// recorder records stored jobs; nil without a ledger. startedJobs holds the ids of the stored
	// jobs of which a run has started; it is read outside the loop.
	recorder           Recorder
	startedJobs        sync.Map
	unclaimedEnds      map[string][]unclaimedEnd    // by job id
	unclaimedCheckedAt time.Time                    // when expired ones were last removed
	lastAgentMessage   time.Time                    // from any agent
	agentsUnreachable  atomic.Bool                  // no message from an agent for a while; see checkReachability
	pendingOrders      map[*agent][]wire.OrderGroup // of the current batch
	stopping           map[string]*stoppingRun      // by task
	serviceLoads       atomic.Pointer[[]wire.ServiceLoad]
	serviceLoadsAt     time.Time // when serviceLoads was last updated
	serviceLabels      atomic.Pointer[[]wire.ServiceLabels]
	callerTimeouts     map[string]*policy.CallerTimeoutModel // by queue
	crashes            crashHistory
	confined           map[string]*confinement    // by queue
	confinementsAt     time.Time                  // when confined was last updated
	forecasts          map[string]*queueForecast  // by queue
	promises           map[string]policy.Promises // by service
	forecastBuffer     []policy.Release           // memory of the last forecast
	handover           handover
	peers              atomic.Pointer[policy.Peers]
	releases           map[string]expectedReleases // by service
	wanted             wantedState
	publishedWanted    atomic.Pointer[[]wire.TaskRequirement]
	wantedChanged      chan struct{}
	shares             *shares // nil unless policy.FairShare is enabled
	reservations       reservations
}

// New returns a Coordinator. It does nothing until Run is called.
func New(cfg Config) *Coordinator {
	c := &Coordinator{
		cfg:            cfg,
		started:        time.Now(),
		loop:           loop.New(),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		agents:         make(map[string]*agent),
		jobs:           make(map[string]*activeJob),
		unclaimedEnds:  make(map[string][]unclaimedEnd),
		pendingOrders:  make(map[*agent][]wire.OrderGroup),
		stopping:       make(map[string]*stoppingRun),
		callerTimeouts: make(map[string]*policy.CallerTimeoutModel),
		crashes:        crashHistory{tasks: make(map[string]*taskCrashes)},
		confined:       make(map[string]*confinement),
		forecasts:      make(map[string]*queueForecast),
		promises:       make(map[string]policy.Promises),
		releases:       make(map[string]expectedReleases),
		wanted:         wantedState{neededAt: make(map[wire.TaskRequirement]time.Time)},
		wantedChanged:  make(chan struct{}, 1),
		reservations:   newReservations(cfg.Policy),
	}
	if cfg.Policy.Uses(policy.FairShare) {
		c.shares = newShares()
	}
	c.agentsUnreachable.Store(true) // until the first message from an agent
	return c
}

// Run runs the event loop until ctx ends.
func (c *Coordinator) Run(ctx context.Context) { c.loop.Run(ctx, c) }

// Submit runs a job and waits for its end. If ctx ends first, the caller has disconnected and
// the job is stopped.
func (c *Coordinator) Submit(ctx context.Context, s job.Submission) (job.State, *errkind.Error) {
	w := waiter{answer: make(chan outcome, 1), disconnected: func() bool {
		return ctx.Err() != nil || s.CallerDisconnected != nil && s.CallerDisconnected()
	}}
	if !c.loop.Post(func() { c.submit(s, w, time.Now()) }) {
		return "", errkind.New(errkind.Draining, "the process is stopping")
	}
	select {
	case o := <-w.answer:
		return o.state, o.err
	case <-c.loop.Done():
		return "", errkind.New(errkind.HomeLost, "the process stopped before the job ended")
	case <-ctx.Done():
		c.loop.Post(func() { c.abandon(s.ID, w.answer) })
		return "", errkind.New(errkind.CancelledRunning, "the caller disconnected")
	}
}

// ActiveJobs returns the number of jobs in progress.
func (c *Coordinator) ActiveJobs() (jobs int) {
	c.loop.Do(func() { jobs = len(c.jobs) })
	return jobs
}

// Pending returns the number of ephemeral jobs of a queue of which no task was ordered.
func (c *Coordinator) Pending(queue string) (n int) {
	c.loop.Do(func() {
		for _, j := range c.queued {
			if j.spec.Queue.Name == queue && !j.started && j.stored == nil {
				n++
			}
		}
	})
	return n
}

// Ready reports whether tasks can be placed: a connected agent has reported the profile of its
// endpoint.
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
	c.checkReachability(now)
	c.checkAgents(now)
	c.checkJobs(now)
	c.expireUnclaimedEnds(now)
	c.crashes.expire(now)
	c.updateConfinements(now)
	c.checkReservations(now)
	c.expireForecasts(now)
	c.updateLabels()
	c.updateWanted(now)
}

// AfterBatch implements loop.Controller.
func (c *Coordinator) AfterBatch(now time.Time) {
	c.judgePending(now) // before the tasks that wait for it are placed
	c.judgeShares(now)
	if c.replan && !now.Before(c.nextPlacement) {
		c.replan = false
		c.placeQueuedJobs(now)
		c.nextPlacement = nextPlacement(c.waitingJobs(), now, time.Now())
	}
	c.sendPending(now)
	c.updateServiceLoads(now)
	c.cfg.Metrics.updateGauges(c)
}

// waitingJobs returns the number of queued jobs with tasks that wait for capacity.
func (c *Coordinator) waitingJobs() (n int) {
	for _, j := range c.queued {
		if j.tasksLeft > 0 && j.hasWaitingTask() {
			n++
		}
	}
	return n
}

const (
	// placementPause is the time between two placement passes over a long queue, as a multiple of the
	// time that the earlier one took. In overload every message asks for a pass, and without a pause
	// the passes delay the messages that release capacity.
	placementPause = 2
	// maxPlacementPause bounds the pause if the process was not scheduled during a pass.
	maxPlacementPause = 5 * time.Millisecond
	// pausedQueueLength is the number of waiting jobs from which on passes are paused. So many jobs
	// wait only while messages arrive all the time, which end the pause.
	pausedQueueLength = 16
)

// nextPlacement returns the earliest time of the placement pass after one that began and ended at the
// given times and left a number of jobs waiting.
func nextPlacement(waiting int, began, ended time.Time) time.Time {
	if waiting < pausedQueueLength {
		return ended
	}
	return ended.Add(min(placementPause*ended.Sub(began), maxPlacementPause))
}

// TickInterval implements loop.Controller.
func (c *Coordinator) TickInterval(time.Time) time.Duration {
	if len(c.jobs) > 0 {
		return c.cfg.Timing.TickInterval
	}
	return c.cfg.Timing.IdleTickInterval
}
