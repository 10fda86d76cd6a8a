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
	"hash/fnv"
	"slices"
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

	mu             sync.Mutex
	faults         Faults
	lossyCalls     int // number of calls made with a positive LossRate
	instance       int
	startedAt      time.Time
	leaseEnd       time.Time
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
	for _, r := range e.running {
		r.timer.Stop()
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
	case e.faults.Down:
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

// Start implements endpointapi.Endpoint.
func (e *Endpoint) Start(ctx context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.applyFaultsLocked(ctx, o.Instance); err != nil {
		var down *endpointapi.DownError
		var other *endpointapi.OtherInstanceError
		switch {
		case errors.As(err, &down):
			return endpointapi.StartReply{Result: endpointapi.StartEndpointDown, Err: err}
		case errors.As(err, &other):
			return endpointapi.StartReply{Result: endpointapi.StartOtherInstance, Err: err}
		}
		return endpointapi.StartReply{Result: endpointapi.StartUnknown, Err: err}
	}
	if lost := e.loseCallLocked(); lost || e.faults.DelayStarts > 0 {
		if !lost {
			e.faults.DelayStarts--
		}
		late := o
		late.LeaseEnd = e.lateLeaseEndLocked(o.LeaseEnd)
		time.AfterFunc(e.faults.Delay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.expireLeaseLocked()
			if o.Instance == e.instanceLocked() {
				e.startLocked(late)
			}
		})
		return e.noReplyLocked(ctx)
	}
	result := e.startLocked(o)
	if e.faults.LoseStartReplies > 0 {
		e.faults.LoseStartReplies--
		return e.noReplyLocked(ctx)
	}
	return endpointapi.StartReply{Result: result, Clock: e.clockLocked()}
}

// lateLeaseEndLocked returns the lease end of a call that takes effect after Faults.Delay.
func (e *Endpoint) lateLeaseEndLocked(end time.Duration) time.Duration {
	if end > 0 && e.faults.LateGrants {
		return end + e.faults.Delay
	}
	return end
}

// passFenceLocked reports whether a call with the given token may take effect.
func (e *Endpoint) passFenceLocked(token endpointapi.FencingToken) bool {
	if token < e.fencingToken {
		return false
	}
	e.fencingToken = token
	return true
}

// loseCallLocked reports whether the current call gets no reply.
func (e *Endpoint) loseCallLocked() bool {
	if e.faults.LossRate <= 0 {
		return false
	}
	e.lossyCalls++
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, e.Name, e.lossyCalls)
	return float64(h.Sum32()%1000) < 1000*e.faults.LossRate
}

func (e *Endpoint) noReplyLocked(ctx context.Context) endpointapi.StartReply {
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	return endpointapi.StartReply{Result: endpointapi.StartUnknown, Err: errNoReply}
}

func (e *Endpoint) startLocked(o endpointapi.StartRequest) endpointapi.StartResult {
	if !e.passFenceLocked(o.FencingToken) {
		return endpointapi.StartFenced
	}
	if r := e.running[o.Run.Task]; r != nil && r.record.ID == o.Run {
		return endpointapi.StartAccepted
	}
	if e.clockLocked() > o.LeaseEnd {
		return endpointapi.StartLeaseExpired
	}
	e.extendLeaseLocked(o.LeaseEnd)
	if o.Run.Number <= e.highestRun[o.Run.Task] || e.running[o.Run.Task] != nil {
		return endpointapi.StartOldRun
	}
	work, size := e.Work(o.Run.Task, o.Payload)
	var used wire.Resources
	for _, r := range e.running {
		used = used.Plus(r.record.Size)
	}
	if !e.Unenforced && !used.Plus(size).Fits(e.Capacity) {
		return endpointapi.StartNoCapacity
	}
	r := &activeRun{
		record: &Run{Endpoint: e.Name, ID: o.Run, Size: size, Start: time.Now()},
		work:   work, updatedAt: time.Now(),
	}
	e.history = append(e.history, r.record)
	e.running[o.Run.Task] = r
	e.resumeLocked(o.Run.Task, r)
	return endpointapi.StartAccepted
}

// pauseLocked stops the timer of r and adds up the work that r has done.
func (e *Endpoint) pauseLocked(r *activeRun) {
	r.timer.Stop()
	now := time.Now()
	if !e.faults.Hang {
		r.workDone += time.Duration(float64(now.Sub(r.updatedAt)) / e.Slowness)
	}
	r.updatedAt = now
}

// resumeLocked starts the timer for the end of r.
func (e *Endpoint) resumeLocked(task string, r *activeRun) {
	left, reason := time.Duration(float64(r.work-r.workDone)*e.Slowness), endpointapi.EndDone
	switch {
	case e.faults.Hang:
		left = time.Hour
	case e.faults.Fail:
		left, reason = time.Millisecond, endpointapi.EndFailed
	}
	r.timer = time.AfterFunc(max(left, 0), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[task] != r {
			return
		}
		e.expireLeaseLocked()
		if e.running[task] == r {
			e.endLocked(task, r, reason, time.Now())
		}
	})
}

func (e *Endpoint) endLocked(task string, r *activeRun, reason endpointapi.End, at time.Time) {
	r.timer.Stop()
	delete(e.running, task)
	r.record.End, r.record.EndReason = at, reason
	e.highestRun[task] = max(e.highestRun[task], r.record.ID.Number)
	e.sequence++
	e.unacknowledged[e.sequence] = r.record
	e.ended = append(e.ended, endpointapi.EndedRun{Sequence: e.sequence, Run: r.record.ID, End: reason})
	close(e.changed)
	e.changed = make(chan struct{})
}

// Stop implements endpointapi.Endpoint.
func (e *Endpoint) Stop(ctx context.Context, o endpointapi.StopRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.applyFaultsLocked(ctx, o.Instance); err != nil {
		return err
	}
	if e.loseCallLocked() {
		time.AfterFunc(e.faults.Delay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if o.Instance == e.instanceLocked() && e.passFenceLocked(o.FencingToken) {
				e.stopLocked(o.Run)
			}
		})
		return e.noReplyLocked(ctx).Err
	}
	if !e.passFenceLocked(o.FencingToken) {
		return &endpointapi.FencedError{}
	}
	e.stopLocked(o.Run)
	return nil
}

func (e *Endpoint) stopLocked(run wire.Run) {
	e.highestRun[run.Task] = max(e.highestRun[run.Task], run.Number)
	if r := e.running[run.Task]; r != nil && r.record.ID.Number <= run.Number {
		time.AfterFunc(stopDelay, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.running[run.Task] == r {
				e.endLocked(run.Task, r, endpointapi.EndStopped, time.Now())
			}
		})
	}
}

// Observe implements endpointapi.Endpoint.
func (e *Endpoint) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.applyFaultsLocked(ctx, o.Instance); err != nil {
		return endpointapi.Observation{}, err
	}
	if e.loseCallLocked() {
		if e.faults.LateGrants {
			end := e.lateLeaseEndLocked(o.LeaseEnd)
			time.AfterFunc(e.faults.Delay, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.expireLeaseLocked()
				if o.Instance == e.instanceLocked() && e.passFenceLocked(o.FencingToken) {
					e.extendLeaseLocked(end)
				}
			})
		}
		return endpointapi.Observation{}, e.noReplyLocked(ctx).Err
	}
	if !e.passFenceLocked(o.FencingToken) {
		return endpointapi.Observation{}, &endpointapi.FencedError{}
	}
	e.extendLeaseLocked(o.LeaseEnd)
	e.ackedSequence = max(e.ackedSequence, o.AckedSequence)
	for sequence, r := range e.unacknowledged {
		if sequence <= e.ackedSequence {
			r.Acknowledged = true
			delete(e.unacknowledged, sequence)
		}
	}
	e.ended = slices.DeleteFunc(e.ended, func(r endpointapi.EndedRun) bool { return r.Sequence <= e.ackedSequence })
	if o.MaxWait > 0 && e.faults.LoseObservations > 0 {
		e.faults.LoseObservations--
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return endpointapi.Observation{}, errNoReply
	}
	if o.MaxWait > 0 && len(e.ended) == 0 {
		changed, timer := e.changed, time.NewTimer(o.MaxWait)
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		e.mu.Lock()
		if ctx.Err() != nil {
			return endpointapi.Observation{}, errNoReply
		}
		e.expireLeaseLocked()
	}
	observation := endpointapi.Observation{Clock: e.clockLocked(), StartMillis: e.startedAt.UnixMilli(), Ended: slices.Clone(e.ended)}
	for _, r := range e.running {
		done := r.workDone
		if !e.faults.Hang {
			done += time.Duration(float64(time.Since(r.updatedAt)) / e.Slowness)
		}
		percent := 0
		if r.work > 0 {
			percent = min(int(100*done/r.work), 99)
		}
		observation.Running = append(observation.Running, endpointapi.RunningRun{Run: r.record.ID, Percent: percent})
	}
	return observation, nil
}
