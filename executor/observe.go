package executor

import (
	"context"
	"errors"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// missesUnreachable is the number of observations in a row without an answer
// after which the endpoint takes no new run.
const missesUnreachable = 3

func (x *Executor) wakeObserver() {
	select {
	case x.observe <- struct{}{}:
	default:
	}
}

// observer observes the endpoint, again and again while something runs there.
func (x *Executor) observer(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		var order endpointapi.ObserveOrder
		var sent time.Time
		active := false
		if !x.loop.Do(func() { sent = time.Now(); order, active = x.nextObservation(sent) }) {
			return
		}
		wake, wait := x.observe, x.cfg.Timing.IdleTick
		if active {
			x.observeOnce(ctx, order, sent)
			wake, wait = nil, x.cfg.Timing.ObserveGap
			if order.Wait == 0 {
				wait = x.cfg.Timing.LookGap // also while the endpoint does not answer
			}
		}
		pause.Reset(wait)
		select {
		case <-pause.C:
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

func (x *Executor) observeOnce(ctx context.Context, order endpointapi.ObserveOrder, sent time.Time) {
	limit := x.cfg.Timing.AnswerTimeout
	if order.Wait > 0 {
		limit = order.Wait + x.cfg.Timing.WaitSlack
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	seen, err := x.cfg.Endpoint.Observe(callCtx, order)
	x.cfg.Metrics.observations.Inc()
	if ctx.Err() == nil {
		x.loop.Do(func() { x.observed(order, sent, seen, err) })
	}
}

// look observes the endpoint beside the observer, whose call may wait for an end.
func (x *Executor) look(now time.Time) {
	if x.looking || x.profile == nil {
		return
	}
	x.looking = true
	order := endpointapi.ObserveOrder{Instance: x.profile.Instance, Ack: x.ack()}
	if !x.unreachable {
		order.LeaseEnd = x.extendLease(now)
	}
	go func() {
		x.observeOnce(x.ctx, order, now)
		x.loop.Post(func() { x.looking = false })
	}()
}

// nextObservation returns the next order; active is false when nothing runs.
func (x *Executor) nextObservation(now time.Time) (o endpointapi.ObserveOrder, active bool) {
	if x.profile == nil {
		return o, false
	}
	o = endpointapi.ObserveOrder{Instance: x.profile.Instance, Ack: x.ack()}
	if len(x.runs) == 0 && x.adopting.IsZero() && !x.unreachable && x.clock.known() &&
		x.ack() == x.acked {
		return o, false
	}
	// The lease of an endpoint that does not answer is left to end: what the calls
	// did is not known, and its runs can be repeated only after their end.
	if x.clock.known() && !x.unreachable {
		o.LeaseEnd = x.extendLease(now)
	}
	if x.misses == 0 && x.adopting.IsZero() {
		o.Wait = x.cfg.Timing.ObserveWait
	}
	return o, true
}

// observed takes the answer to an observation that was sent at the given time.
func (x *Executor) observed(o endpointapi.ObserveOrder, sent time.Time, seen endpointapi.Observation, err error) {
	now := time.Now()
	if x.profile == nil || o.Instance != x.profile.Instance {
		return
	}
	if err != nil {
		x.observationFailed(o, err)
		return
	}
	if seen.Born > 0 && x.born > 0 && seen.Born != x.born {
		if seen.Born > x.born {
			x.endpointDown(&endpointapi.OtherInstanceError{Instance: o.Instance + ", started again"})
		}
		return
	}
	x.acked = max(x.acked, o.Ack)
	if x.unreachable {
		x.cfg.Log.Log(event.EndpointReached, "instance", o.Instance, "misses", x.misses)
		x.unreachable, x.statusDirty = false, true
	}
	x.misses = 0
	if !x.clock.known() {
		x.statusDirty = true // runs can be taken from now on
		x.clock.set(seen.Clock, now)
		x.assumeLease(now)
	}
	x.clock.set(seen.Clock, now)
	for _, e := range seen.Ended {
		x.ended(e, now)
	}
	listed := make(map[wire.Run]bool, len(seen.Running))
	for _, r := range seen.Running {
		listed[r.Run] = true
		x.listed(r, now)
	}
	x.absent(listed, sent, now)
}

func (x *Executor) observationFailed(o endpointapi.ObserveOrder, err error) {
	var down *endpointapi.DownError
	var other *endpointapi.OtherInstanceError
	if errors.As(err, &down) || errors.As(err, &other) {
		x.endpointDown(err)
		return
	}
	x.misses++
	if x.misses == missesUnreachable {
		x.cfg.Log.Log(event.EndpointUnanswered, "instance", o.Instance, "error", err, "runs", len(x.runs))
		x.unreachable, x.statusDirty = true, true
	}
}

// endpointDown takes note that the incarnation of the endpoint has ended, and all
// its runs with it.
func (x *Executor) endpointDown(err error) {
	if !x.unreachable {
		x.cfg.Log.Log(event.EndpointUnreachable, "error", err, "runs", len(x.runs))
		x.unreachable, x.statusDirty = true, true
	}
	x.misses = missesUnreachable
	for _, r := range x.runs {
		x.finish(r, wire.RunLost, 0, "endpoint is down")
	}
}

// assumeLease takes the lease to last as long as an earlier process of this agent may
// have extended it until now.
func (x *Executor) assumeLease(now time.Time) {
	if x.clock.known() {
		x.leaseEnd = max(x.leaseEnd, x.clock.after(now, x.cfg.Timing.leaseEndAfter()))
	}
}

// expireLease gives up the runs whose lease has surely ended.
func (x *Executor) expireLease(now time.Time) {
	if len(x.runs) == 0 || !x.clock.known() || !now.After(x.clock.passed(x.leaseEnd)) {
		return
	}
	for _, r := range x.runs {
		x.finish(r, wire.RunLost, 0, "lease ended")
	}
}

// ended takes an end that the endpoint lists.
func (x *Executor) ended(e endpointapi.EndedRun, now time.Time) {
	if e.Sequence <= x.lastEnd {
		return
	}
	x.lastEnd = e.Sequence
	r := x.runs[e.Run.Task]
	if r == nil || r.id != e.Run {
		// The run of an earlier process of this agent, which may have been a stored one.
		x.recent.add(wire.Report{Run: e.Run, State: endState(e.End)})
		x.keepEnd(e, now)
		return
	}
	if r.stored {
		x.keepEnd(e, now)
	}
	switch e.End {
	case endpointapi.EndDone:
		x.health.success()
		x.progressed(r, 100, now)
	case endpointapi.EndFailed:
		x.health.failure()
	}
	x.finish(r, endState(e.End), 0, "ended")
}

func endState(e endpointapi.End) wire.RunState {
	switch e {
	case endpointapi.EndDone:
		return wire.RunDone
	case endpointapi.EndFailed:
		return wire.RunFailed
	case endpointapi.EndStopped:
		return wire.RunStopped
	}
	return wire.RunLost
}

// listed takes a run that the endpoint executes.
func (x *Executor) listed(row endpointapi.RunningRun, now time.Time) {
	r := x.runs[row.Run.Task]
	if r == nil || r.id != row.Run {
		x.unknownRun(row.Run, now)
		return
	}
	x.running(r, now)
	x.progressed(r, row.Percent, now)
	if row.Percent > r.percent {
		r.percent, r.moved = row.Percent, now
	}
	if r.state == runRunning && !r.started.IsZero() {
		x.checkProgress(r, now)
	}
}

// stallTime is how long r may show no progress before it counts as stalled.
func (x *Executor) stallTime(r *run) time.Duration {
	expected := time.Duration(float64(r.estimate) * x.health.slowness())
	return max(stallMin, time.Duration(stallShare*float64(expected)))
}

// progressed takes note of the progress of r since it was last seen.
func (x *Executor) progressed(r *run, percent int, now time.Time) {
	if r.state != runRunning || r.entry == "" {
		return
	}
	since := r.seen
	if since.IsZero() {
		since = r.started
	}
	if percent > r.percent || now.Sub(since) >= progressGap {
		worked := r.estimate * time.Duration(max(percent-r.percent, 0)) / 100
		x.health.progress(worked, now.Sub(since), now)
		r.seen = now
	}
}

// checkProgress reports a run that will take much longer than expected.
func (x *Executor) checkProgress(r *run, now time.Time) {
	elapsed := now.Sub(r.started)
	var remaining, total time.Duration
	switch {
	case now.Sub(r.moved) > x.stallTime(r):
		remaining = stalledRemaining
	case r.percent >= stragglerPercent:
		// Progress is in whole percents, rounded down: the estimate takes the upper end.
		remaining = elapsed * time.Duration(99-r.percent) / time.Duration(r.percent+1)
		total = elapsed + remaining
	default:
		return
	}
	if remaining < stragglerMin || float64(elapsed+remaining) < stragglerFactor*float64(r.estimate) {
		return
	}
	ms := uint32(remaining.Milliseconds())
	if r.slow > 0 && ms < r.slow*2 && remaining != stalledRemaining {
		return // reported before
	}
	if r.slow == ms {
		return // reported before
	}
	r.slow = ms
	x.statusDirty = true
	x.report(r.entry, wire.Report{Run: r.id, State: wire.RunSlow, RemainingMillis: ms,
		TotalMillis: uint32(total.Milliseconds())})
	x.cfg.Log.Log(event.RunStraggles, "task", r.id.Task, "run", r.id.Number, "elapsed_ms", elapsed.Milliseconds(),
		"percent", r.percent, "remaining_ms", ms, "estimate_ms", r.estimate.Milliseconds())
}

// absent handles runs that the endpoint does not list, in an answer to an
// observation that was sent at the given time.
func (x *Executor) absent(listed map[wire.Run]bool, sent, now time.Time) {
	for _, r := range x.runs {
		started := r.sentAt()
		if listed[r.id] || started.After(sent) {
			continue
		}
		switch {
		case r.state == runStopping && r.stopped && r.stopSent.Before(sent):
			x.finish(r, stoppedState(r), r.reason, "stopped")
		case r.state == runStarting && started.IsZero(): // its start waits for a worker
		case r.state == runStarting && r.looked && now.Sub(started) > x.startTimeout():
			if n := r.starts.made; n > 0 && n < x.maxStarts() { // not a run that an earlier process started
				x.sendStart(r, now)
				continue
			}
			// The start may still be carried out; the stop refuses it in advance.
			x.stop(r, wire.RejectUnanswered, now)
		case r.state == runRunning && r.started.Before(sent):
			// Its end was listed to an earlier process, or has been forgotten.
			x.stop(r, 0, now)
		}
	}
}

func stoppedState(r *run) wire.RunState {
	switch {
	case r.reason != 0:
		return wire.RunRejected
	case r.answered:
		return wire.RunStopped
	}
	return wire.RunLost
}
