package emulator

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/wire"
)

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
			if !e.faults.Down && !e.down && o.Instance == e.instanceLocked() {
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
	e.scheduleCrashLocked(r, o.Payload)
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
	r.stopTimers()
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
			if !e.faults.Down && !e.down && o.Instance == e.instanceLocked() && e.passFenceLocked(o.FencingToken) {
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
				if !e.faults.Down && !e.down && o.Instance == e.instanceLocked() && e.passFenceLocked(o.FencingToken) {
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
		changed, crashed, timer := e.changed, e.crashed, time.NewTimer(o.MaxWait)
		isReset := false
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-crashed:
			isReset = true
		case <-ctx.Done():
		}
		timer.Stop()
		e.mu.Lock()
		if ctx.Err() != nil || isReset {
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
