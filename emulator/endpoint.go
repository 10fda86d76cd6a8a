// Package emulator stands in for the platform around the system: endpoints that run
// tasks under leases, the links between agents and entries, and callers. It follows
// the platform's published rules, injects faults, and records what an observer
// outside the system sees, so that tests can judge the system's promises. It lives
// in one process; under testing/synctest it runs on a simulated clock.
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

// stopTime is how long an endpoint takes to stop a run.
const stopTime = 20 * time.Millisecond

// maxLease is the longest lease that an endpoint grants.
const maxLease = time.Second

// Faults are the faults of an endpoint. The zero value is a sound endpoint.
type Faults struct {
	Fail bool // everything that it starts fails after a millisecond
	Hang bool // nothing makes progress
	Mute bool // no call gets an answer, and none is carried out
	Down bool // no process listens
	// LoseStarts is the number of coming starts that are carried out and not answered.
	LoseStarts int
	// DelayStarts is the number of coming starts that get no answer and are carried
	// out after DelayBy.
	DelayStarts int
	DelayBy     time.Duration
	// LoseWaits is the number of coming observations that wait for an end and get no
	// answer.
	LoseWaits int
	// LoseShare is the share of calls that get no answer. Starts and stops among them are
	// carried out after DelayBy.
	LoseShare float64
}

// Run is a run as an observer of the endpoint saw it.
type Run struct {
	Endpoint   string
	ID         wire.Run
	Size       wire.Resources
	Began, End time.Time // End is zero while it runs
	How        endpointapi.End
	// Noted is set when the endpoint was told that the end is taken note of, before its
	// lease lapsed. Another end does not count: the task may run again.
	Noted bool
}

// Endpoint implements endpointapi.Endpoint.
type Endpoint struct {
	Name     string
	Capacity wire.Resources
	// Slowness is the run time relative to the work of a task.
	Slowness float64
	// Service is the service of the endpoint; "service" if it is empty.
	Service string
	// Work returns the work and the size of a task; its payload is at hand.
	Work func(task, payload string) (time.Duration, wire.Resources)

	mu        sync.Mutex
	faults    Faults
	calls     int // while some are lost
	instance  int
	born      time.Time
	leaseEnd  time.Time
	running   map[string]*running
	ended     []endpointapi.EndedRun
	unnoted   map[uint64]*Run // ends that can still be noted, by their sequence
	sequence  uint64
	highest   map[string]uint32 // run numbers that have ended or were stopped
	acked     uint64
	changed   chan struct{}
	history   []*Run
	announced uint64
}

type running struct {
	record *Run
	work   time.Duration
	done   time.Duration // work done until since
	since  time.Time
	timer  *time.Timer
}

// NewEndpoint returns a sound endpoint that runs.
func NewEndpoint(name string, capacity wire.Resources, slowness float64) *Endpoint {
	e := &Endpoint{Name: name, Capacity: capacity, Slowness: slowness, changed: make(chan struct{})}
	e.Work = func(string, string) (time.Duration, wire.Resources) {
		return 100 * time.Millisecond, wire.Resources{MilliCores: 1000}
	}
	e.restartLocked()
	return e
}

func (e *Endpoint) restartLocked() {
	e.instance++
	e.born = time.Now()
	e.running, e.highest = make(map[string]*running), make(map[string]uint32)
	e.ended, e.sequence, e.acked, e.announced = nil, 0, 0, 0
	e.unnoted = make(map[uint64]*Run)
	e.leaseEnd = time.Time{}
}

// Crash ends all runs and starts a new incarnation.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		r.timer.Stop()
		r.record.End, r.record.How = time.Now(), endpointapi.EndLeaseExpired
	}
	e.restartLocked()
}

// SetFaults replaces the faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	for task, r := range e.running {
		e.pauseLocked(r)
		e.resumeLocked(task, r)
	}
}

// SetSlowness changes the speed.
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

// Announcement returns what the endpoint says of itself.
func (e *Endpoint) Announcement(draining bool) endpointapi.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announced++
	return endpointapi.Announcement{
		Profile: wire.Profile{
			Instance: e.instanceLocked(), Service: cmp.Or(e.Service, "service"), Address: e.Name, DataCentre: "centre", Capacity: e.Capacity,
		},
		StartMillis: e.born.UnixMilli(), Sequence: e.announced, Draining: draining, Clock: e.clockLocked(),
	}
}

func (e *Endpoint) instanceLocked() string { return fmt.Sprintf("%s-%d", e.Name, e.instance) }

func (e *Endpoint) clockLocked() time.Duration { return time.Since(e.born) + time.Second }

// Settle records the ends of runs whose lease has ended; they are seen otherwise
// with the next call.
func (e *Endpoint) Settle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapseLocked()
}

// History returns the runs that the endpoint has begun.
func (e *Endpoint) History() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.history))
	for i, r := range e.history {
		out[i] = *r
	}
	return out
}

var errNoAnswer = errors.New("no answer")

// reachLocked applies the faults that concern every call.
func (e *Endpoint) reachLocked(ctx context.Context, instance string) error {
	switch {
	case e.faults.Down:
		return &endpointapi.DownError{Err: errors.New("connection refused")}
	case e.faults.Mute:
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return errNoAnswer
	case instance != "" && instance != e.instanceLocked():
		return &endpointapi.OtherInstanceError{Instance: e.instanceLocked()}
	}
	e.lapseLocked()
	return nil
}

// lapseLocked ends everything that runs when the lease has ended.
func (e *Endpoint) lapseLocked() {
	if time.Now().Before(e.leaseEnd) {
		return
	}
	clear(e.unnoted)
	for task, r := range e.running {
		e.endLocked(task, r, endpointapi.EndLeaseExpired, e.leaseEnd)
	}
}

func (e *Endpoint) extendLocked(end time.Duration) {
	if end <= 0 {
		return
	}
	t := e.born.Add(end - time.Second)
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
	if err := e.reachLocked(ctx, o.Instance); err != nil {
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
	if lost := e.loseLocked(); lost || e.faults.DelayStarts > 0 {
		if !lost {
			e.faults.DelayStarts--
		}
		time.AfterFunc(e.faults.DelayBy, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.lapseLocked()
			if o.Instance == e.instanceLocked() {
				e.startLocked(o)
			}
		})
		return e.noAnswerLocked(ctx)
	}
	result := e.startLocked(o)
	if e.faults.LoseStarts > 0 {
		e.faults.LoseStarts--
		return e.noAnswerLocked(ctx)
	}
	return endpointapi.StartReply{Result: result, Clock: e.clockLocked()}
}

// loseLocked reports whether the present call gets no answer.
func (e *Endpoint) loseLocked() bool {
	if e.faults.LoseShare <= 0 {
		return false
	}
	e.calls++
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, e.Name, e.calls)
	return float64(h.Sum32()%1000) < 1000*e.faults.LoseShare
}

func (e *Endpoint) noAnswerLocked(ctx context.Context) endpointapi.StartReply {
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	return endpointapi.StartReply{Result: endpointapi.StartUnknown, Err: errNoAnswer}
}

func (e *Endpoint) startLocked(o endpointapi.StartRequest) endpointapi.StartResult {
	if r := e.running[o.Run.Task]; r != nil && r.record.ID == o.Run {
		return endpointapi.StartAccepted
	}
	if e.clockLocked() > o.LeaseEnd {
		return endpointapi.StartLeaseExpired
	}
	e.extendLocked(o.LeaseEnd)
	if o.Run.Number <= e.highest[o.Run.Task] || e.running[o.Run.Task] != nil {
		return endpointapi.StartOldRun
	}
	work, size := e.Work(o.Run.Task, o.Payload)
	var used wire.Resources
	for _, r := range e.running {
		used = used.Plus(r.record.Size)
	}
	if !used.Plus(size).Fits(e.Capacity) {
		return endpointapi.StartNoCapacity
	}
	r := &running{
		record: &Run{Endpoint: e.Name, ID: o.Run, Size: size, Began: time.Now()},
		work:   work, since: time.Now(),
	}
	e.history = append(e.history, r.record)
	e.running[o.Run.Task] = r
	e.resumeLocked(o.Run.Task, r)
	return endpointapi.StartAccepted
}

// pauseLocked books the work that r has done.
func (e *Endpoint) pauseLocked(r *running) {
	r.timer.Stop()
	now := time.Now()
	if !e.faults.Hang {
		r.done += time.Duration(float64(now.Sub(r.since)) / e.Slowness)
	}
	r.since = now
}

// resumeLocked arms the end of r.
func (e *Endpoint) resumeLocked(task string, r *running) {
	left, how := time.Duration(float64(r.work-r.done)*e.Slowness), endpointapi.EndDone
	switch {
	case e.faults.Hang:
		left = time.Hour
	case e.faults.Fail:
		left, how = time.Millisecond, endpointapi.EndFailed
	}
	r.timer = time.AfterFunc(max(left, 0), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[task] != r {
			return
		}
		e.lapseLocked()
		if e.running[task] == r {
			e.endLocked(task, r, how, time.Now())
		}
	})
}

func (e *Endpoint) endLocked(task string, r *running, how endpointapi.End, at time.Time) {
	r.timer.Stop()
	delete(e.running, task)
	r.record.End, r.record.How = at, how
	e.highest[task] = max(e.highest[task], r.record.ID.Number)
	e.sequence++
	e.unnoted[e.sequence] = r.record
	e.ended = append(e.ended, endpointapi.EndedRun{Sequence: e.sequence, Run: r.record.ID, End: how})
	close(e.changed)
	e.changed = make(chan struct{})
}

// Stop implements endpointapi.Endpoint.
func (e *Endpoint) Stop(ctx context.Context, instance string, run wire.Run) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.reachLocked(ctx, instance); err != nil {
		return err
	}
	if e.loseLocked() {
		time.AfterFunc(e.faults.DelayBy, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if instance == e.instanceLocked() {
				e.stopLocked(run)
			}
		})
		return e.noAnswerLocked(ctx).Err
	}
	e.stopLocked(run)
	return nil
}

func (e *Endpoint) stopLocked(run wire.Run) {
	e.highest[run.Task] = max(e.highest[run.Task], run.Number)
	if r := e.running[run.Task]; r != nil && r.record.ID.Number <= run.Number {
		time.AfterFunc(stopTime, func() {
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
	if err := e.reachLocked(ctx, o.Instance); err != nil {
		return endpointapi.Observation{}, err
	}
	if e.loseLocked() {
		return endpointapi.Observation{}, e.noAnswerLocked(ctx).Err
	}
	e.extendLocked(o.LeaseEnd)
	e.acked = max(e.acked, o.AckedSequence)
	for sequence, r := range e.unnoted {
		if sequence <= e.acked {
			r.Noted = true
			delete(e.unnoted, sequence)
		}
	}
	e.ended = slices.DeleteFunc(e.ended, func(r endpointapi.EndedRun) bool { return r.Sequence <= e.acked })
	if o.MaxWait > 0 && e.faults.LoseWaits > 0 {
		e.faults.LoseWaits--
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return endpointapi.Observation{}, errNoAnswer
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
			return endpointapi.Observation{}, errNoAnswer
		}
		e.lapseLocked()
	}
	seen := endpointapi.Observation{Clock: e.clockLocked(), Ended: slices.Clone(e.ended)}
	for _, r := range e.running {
		done := r.done
		if !e.faults.Hang {
			done += time.Duration(float64(time.Since(r.since)) / e.Slowness)
		}
		percent := 0
		if r.work > 0 {
			percent = min(int(100*done/r.work), 99)
		}
		seen.Running = append(seen.Running, endpointapi.RunningRun{Run: r.record.ID, Percent: percent})
	}
	return seen, nil
}
