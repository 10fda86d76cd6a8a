// Package emulator emulates the environment of the system in one process: endpoints that run
// tasks under leases, the links between agents and entries, the store, and callers. It follows the
// published rules of the platform, injects faults, and records what an outside observer sees, so
// that tests can check the guarantees of the system. Under testing/synctest it runs on a simulated
// clock.
package emulator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/wire"
)

// stopDelay is the time that an endpoint takes to stop a run.
const stopDelay = 20 * time.Millisecond

// maxLease is the longest lease that an endpoint grants.
const maxLease = time.Second

// Faults holds the injected faults of an endpoint. The zero value injects none.
type Faults struct {
	Fail         bool // every run fails after a millisecond
	Hang         bool // runs make no progress
	Unresponsive bool // calls have no effect and get no reply
	Down         bool // calls fail as if no process listened
	// LoseStartReplies is the number of upcoming start calls that take effect without a reply.
	LoseStartReplies int
	// DelayStarts is the number of upcoming start calls that get no reply and take effect after
	// Delay.
	DelayStarts int
	Delay       time.Duration
	// LoseObservations is the number of upcoming observe calls with a positive MaxWait that get no
	// reply.
	LoseObservations int
	// LossRate is the share of calls that get no reply. Start and stop calls among them take
	// effect after Delay.
	LossRate float64
	// LoseAnnouncements is the number of upcoming announcements that do not arrive.
	LoseAnnouncements int
	// LateGrants makes observations that get no reply take effect after Delay as well. The
	// lease end in a late call then counts from its arrival.
	LateGrants bool
}

// Run is a run as an observer at the endpoint sees it.
type Run struct {
	Endpoint   string
	ID         wire.Run
	Size       wire.Resources
	Start, End time.Time // End is zero during the run
	EndReason  endpointapi.End
	// CrashedEndpoint is set if the endpoint ended because of this run.
	CrashedEndpoint bool
	// Acknowledged is set if the agent acknowledged the end before the lease of the endpoint
	// expired. After an end that is not acknowledged, the task may run again.
	Acknowledged bool
}

// Endpoint is an emulated endpoint. It implements endpointapi.Endpoint.
type Endpoint struct {
	Name string
	// Capacity is the current capacity; SetCapacity changes it.
	Capacity wire.Resources
	// Unenforced is set for an endpoint that starts runs beyond its capacity.
	Unenforced bool
	// Slowness is the ratio of the run time of a task to its work.
	Slowness float64
	// Service is the service of the endpoint. An empty Service means "service".
	Service string
	// Work returns the work and the size of the task with the given payload.
	Work func(task, payload string) (time.Duration, wire.Resources)
	// CrashOf returns the crash that a task causes, and whether it causes one. If it is nil, no
	// task does.
	CrashOf func(task, payload string) (Crash, bool)
	// OnCrash, if set, is called in a goroutine of its own after a crash that a task caused.
	OnCrash func(task string)

	mu             sync.Mutex
	faults         Faults
	lossyCalls     int // number of calls made with a positive LossRate
	instance       int
	startedAt      time.Time
	leaseEnd       time.Time
	crashed        chan struct{} // closed when the incarnation ends
	down           bool          // until the endpoint is back after a crash that a task caused
	running        map[string]*activeRun
	ended          []endpointapi.EndedRun
	unacknowledged map[uint64]*Run // ends that can still be acknowledged, by sequence
	sequence       uint64
	highestRun     map[string]uint32 // highest run number of each task that ended or was stopped
	ackedSequence  uint64
	changed        chan struct{}
	history        []*Run
	pastCapacities []capacityPeriod
	announcements  uint64
	fencingToken   endpointapi.FencingToken // highest of the calls to this incarnation
}

type activeRun struct {
	record    *Run
	work      time.Duration
	workDone  time.Duration // work done until updatedAt
	updatedAt time.Time
	timer     *time.Timer
	crash     *time.Timer // nil if the task crashes no endpoint
}

// NewEndpoint returns a running endpoint without faults.
func NewEndpoint(name string, capacity wire.Resources, slowness float64) *Endpoint {
	e := &Endpoint{Name: name, Capacity: capacity, Slowness: slowness, changed: make(chan struct{})}
	e.Work = func(string, string) (time.Duration, wire.Resources) {
		return 100 * time.Millisecond, wire.Resources{MilliCores: 1000}
	}
	e.instance = 1
	e.restartLocked()
	return e
}

func (e *Endpoint) restartLocked() {
	e.startedAt = time.Now()
	e.crashed = make(chan struct{})
	e.fencingToken = 0
	e.running, e.highestRun = make(map[string]*activeRun), make(map[string]uint32)
	e.ended, e.sequence, e.ackedSequence, e.announcements = nil, 0, 0, 0
	e.unacknowledged = make(map[uint64]*Run)
	e.leaseEnd = time.Time{}
}

// Crash ends all runs and starts a new instance of the endpoint.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance++
	e.crashLocked()
}

// CrashKeepingID is like Crash, but the new incarnation has the same instance id.
func (e *Endpoint) CrashKeepingID() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Endpoint) crashLocked() {
	e.expireLeaseLocked()
	close(e.crashed)
	for _, r := range e.running {
		r.stopTimers()
		r.record.End, r.record.EndReason = time.Now(), endpointapi.EndLeaseExpired
	}
	e.restartLocked()
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	for task, r := range e.running {
		e.pauseLocked(r)
		e.resumeLocked(task, r)
	}
}

// Faults returns the injected faults.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetSlowness changes the slowness, also of the current runs.
func (e *Endpoint) SetSlowness(s float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		e.pauseLocked(r)
	}
	e.Slowness = s
	for task, r := range e.running {
		e.resumeLocked(task, r)
	}
}

// Announcement returns the next announcement of the endpoint.
func (e *Endpoint) Announcement(draining bool) endpointapi.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcements++
	return endpointapi.Announcement{
		Profile: wire.Profile{
			Instance: e.instanceLocked(), Service: cmp.Or(e.Service, "service"), Address: e.Name, DataCentre: "centre", Capacity: e.Capacity,
		},
		StartMillis: e.startedAt.UnixMilli(), Sequence: e.announcements, Draining: draining, Clock: e.clockLocked(),
	}
}

func (e *Endpoint) instanceLocked() string { return fmt.Sprintf("%s-%d", e.Name, e.instance) }

// clockLocked returns the time on the clock of the endpoint, which starts at one second.
func (e *Endpoint) clockLocked() time.Duration { return time.Since(e.startedAt) + time.Second }

// ExpireLease ends all runs if the lease of the endpoint has expired. The endpoint otherwise ends
// them at the next call or when the work of a run is done.
func (e *Endpoint) ExpireLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeaseLocked()
}

// History returns all runs that the endpoint has started.
func (e *Endpoint) History() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.history))
	for i, r := range e.history {
		out[i] = *r
	}
	return out
}

var errNoReply = errors.New("no reply")

// applyFaultsLocked applies the faults that affect every call.
func (e *Endpoint) applyFaultsLocked(ctx context.Context, instance string) error {
	switch {
	case e.faults.Down || e.down:
		return &endpointapi.DownError{Err: errors.New("connection refused")}
	case e.faults.Unresponsive:
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return errNoReply
	case instance != "" && instance != e.instanceLocked():
		return &endpointapi.OtherInstanceError{Instance: e.instanceLocked()}
	}
	e.expireLeaseLocked()
	return nil
}

// expireLeaseLocked ends all runs if the lease has expired.
func (e *Endpoint) expireLeaseLocked() {
	if time.Now().Before(e.leaseEnd) {
		return
	}
	clear(e.unacknowledged)
	for task, r := range e.running {
		e.endLocked(task, r, endpointapi.EndLeaseExpired, e.leaseEnd)
	}
}

func (e *Endpoint) extendLeaseLocked(end time.Duration) {
	if end <= 0 {
		return
	}
	t := e.startedAt.Add(end - time.Second)
	if latest := time.Now().Add(maxLease); t.After(latest) {
		t = latest
	}
	if t.After(e.leaseEnd) {
		e.leaseEnd = t
	}
}
