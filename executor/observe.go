package executor

import (
	"context"
	"errors"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// unreachableAfterFailures is the number of consecutive failed observations after which the
// endpoint counts as unreachable and new runs are rejected.
const unreachableAfterFailures = 3

func (x *Executor) wakeObserver() {
	select {
	case x.observeWake <- struct{}{}:
	default:
	}
}

// observeLoop observes the endpoint repeatedly while runs execute there.
func (x *Executor) observeLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var req endpointapi.ObserveRequest
		var sent time.Time
		active := false
		if !x.loop.Do(func() { sent = time.Now(); req, active = x.nextObservation(sent) }) {
			return
		}
		wake, wait := x.observeWake, x.cfg.Timing.IdleTickInterval
		if active {
			x.observeOnce(ctx, req, sent)
			wake, wait = nil, x.cfg.Timing.MinObserveInterval
			if req.MaxWait == 0 {
				wait = x.cfg.Timing.PollInterval // also while the endpoint does not reply
			}
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

func (x *Executor) observeOnce(ctx context.Context, req endpointapi.ObserveRequest, sent time.Time) {
	timeout := x.cfg.Timing.CallTimeout
	if req.MaxWait > 0 {
		timeout = req.MaxWait + x.cfg.Timing.ObserveWaitMargin
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	obs, err := x.cfg.Endpoint.Observe(callCtx, req)
	x.cfg.Metrics.observations.Inc()
	if ctx.Err() == nil {
		x.loop.Do(func() { x.handleObservation(req, sent, obs, err) })
	}
}

// observeNow observes the endpoint concurrently with observeLoop, whose call may be waiting
// for a run to end.
func (x *Executor) observeNow(now time.Time) {
	if x.observingNow || x.profile == nil {
		return
	}
	x.observingNow = true
	req := endpointapi.ObserveRequest{Instance: x.profile.Instance, AckedSequence: x.ackableSequence(), FencingToken: x.fence.token()}
	if !x.unreachable {
		req.LeaseEnd = x.extendLease(now)
	}
	go func() {
		x.observeOnce(x.ctx, req, now)
		x.loop.Post(func() { x.observingNow = false })
	}()
}

// nextObservation returns the next request; active is false if there is nothing to observe.
func (x *Executor) nextObservation(now time.Time) (req endpointapi.ObserveRequest, active bool) {
	if x.profile == nil {
		return req, false
	}
	req = endpointapi.ObserveRequest{Instance: x.profile.Instance, AckedSequence: x.ackableSequence(), FencingToken: x.fence.token()}
	if len(x.runs) == 0 && x.adoptDeadline.IsZero() && !x.unreachable && x.clock.known() &&
		x.ackableSequence() == x.ackedSequence && !x.fence.isPending() {
		return req, false
	}
	// The lease of an unreachable endpoint is left to expire: whether it has executed the calls
	// is unknown, and its tasks can run elsewhere only after their runs have ended.
	if x.clock.known() && !x.unreachable {
		req.LeaseEnd = x.extendLease(now)
	}
	if x.failedObservations == 0 && x.adoptDeadline.IsZero() {
		req.MaxWait = x.cfg.Timing.ObserveWait
	}
	return req, true
}

// recordReply records the outcome of a stop or an observation for the fence. leaseEnd is the
// lease end that the call sent, if any.
func (x *Executor) recordReply(token endpointapi.FencingToken, leaseEnd time.Duration, sent time.Time, err error) {
	var fenced *endpointapi.FencedError
	switch {
	case err == nil:
		x.fence.recordAnswer(token)
	case errors.As(err, &fenced):
		x.fence.recordRefusal(token)
	case leaseEnd > 0:
		x.fence.recordLostGrant(token, sent)
	default:
		x.fence.recordNoReply(token)
	}
}

// handleObservation processes the reply to an observation that was sent at the given time.
func (x *Executor) handleObservation(req endpointapi.ObserveRequest, sent time.Time, obs endpointapi.Observation, err error) {
	now := time.Now()
	if x.profile == nil || req.Instance != x.profile.Instance {
		return
	}
	if err != nil {
		x.handleObserveError(req, sent, err)
		return
	}
	x.recordReply(req.FencingToken, req.LeaseEnd, sent, nil)
	if obs.StartMillis > 0 && x.endpointStartMillis > 0 && obs.StartMillis != x.endpointStartMillis {
		err := &endpointapi.OtherInstanceError{Instance: req.Instance + ", started at another time"}
		switch {
		case x.unverified:
			x.forgetRestored(err)
		case !sent.Before(x.incarnationSince): // otherwise the reply may be that of an earlier incarnation
			x.markEndpointDown(err)
			x.stopRunsOfEndedIncarnation(now)
			listed := make(map[wire.Run]bool, len(obs.Running))
			for _, r := range obs.Running {
				listed[r.Run] = true
				if known := x.runs[r.Run.Task]; known == nil || known.id != r.Run {
					x.stopOrphan(r.Run)
				}
			}
			x.handleUnlistedRuns(listed, sent, now)
		}
		return
	}
	x.unverified = false
	x.endpointStartMillis = max(x.endpointStartMillis, obs.StartMillis)
	x.ackedSequence = max(x.ackedSequence, req.AckedSequence)
	if x.unreachable {
		x.cfg.Log.Log(event.EndpointAnswering, "instance", req.Instance, "misses", x.failedObservations)
		x.unreachable, x.statusDirty = false, true
	}
	x.failedObservations = 0
	x.setClock(obs.Clock, sent, now, "observation")
	for _, e := range obs.Ended {
		x.handleEndedRun(e, now)
	}
	listed := make(map[wire.Run]bool, len(obs.Running))
	for _, r := range obs.Running {
		listed[r.Run] = true
		x.handleRunningRun(r, sent, now)
	}
	x.handleUnlistedRuns(listed, sent, now)
}

func (x *Executor) handleObserveError(req endpointapi.ObserveRequest, sent time.Time, err error) {
	if isEndpointDown(err) {
		if !sent.Before(x.incarnationSince) { // otherwise the call was made to an earlier incarnation
			x.handleEndpointDown(err)
		}
		return
	}
	x.recordReply(req.FencingToken, req.LeaseEnd, sent, err)
	x.failedObservations++
	if x.failedObservations == unreachableAfterFailures {
		x.cfg.Log.Log(event.EndpointNotAnswering, "instance", req.Instance, "error", err, "runs", len(x.runs))
		x.unreachable, x.statusDirty = true, true
	}
}

// isEndpointDown reports whether err means that the incarnation that was called has ended.
func isEndpointDown(err error) bool {
	var down *endpointapi.DownError
	var other *endpointapi.OtherInstanceError
	return errors.As(err, &down) || errors.As(err, &other)
}

// handleEndpointDown records that the incarnation of the endpoint has ended, and all its runs
// with it.
func (x *Executor) handleEndpointDown(err error) {
	var other *endpointapi.OtherInstanceError
	if !errors.As(err, &other) {
		x.markEndpointDown(err)
		x.loseRunsWithoutLateStart(time.Now())
		return
	}
	if x.unverified {
		x.forgetRestored(err)
		return
	}
	x.markEndpointDown(err)
	x.loseRuns("endpoint is down")
}

// markEndpointDown rejects new runs until another incarnation is known.
func (x *Executor) markEndpointDown(err error) {
	x.recordCrash(time.Now())
	if !x.unreachable {
		x.cfg.Log.Log(event.EndpointUnreachable, "error", err, "runs", len(x.runs))
		x.unreachable, x.statusDirty = true, true
		x.cancelQueuedStarts()
		x.fence.raise() // the next incarnation may get calls that were made to this one
	}
	x.failedObservations = unreachableAfterFailures
}

// setClock stores a reading of the endpoint's clock from the reply to a call sent at the given time.
// With the first one it assumes that an earlier process of this agent extended the lease just now;
// until then no lease end is known.
func (x *Executor) setClock(reading time.Duration, sent, now time.Time, source string) {
	first := !x.clock.known()
	x.clock.set(reading, now)
	if reading > 0 {
		x.clock.calledAt = sent
	}
	if !first || !x.clock.known() {
		return
	}
	x.statusDirty = true // runs are accepted from now on
	x.leaseEnd = max(x.leaseEnd, x.clock.endpointTime(now, x.cfg.Timing.maxInheritedLease()))
	x.cfg.Log.Log(event.EndpointClockKnown, "source", source, "clock_ms", reading.Milliseconds(),
		"lease_end_ms", x.leaseEnd.Milliseconds(), "runs", len(x.runs))
}

// expireLease reports the runs as lost once their lease has certainly expired.
func (x *Executor) expireLease(now time.Time) {
	if !x.clock.known() || !x.hasExpirableRuns(now) {
		return
	}
	if !x.leaseLapsed(now) {
		return
	}
	x.cfg.Log.Log(event.LeaseExpired, "lease_end_ms", x.leaseEnd.Milliseconds(), "clock_ms", x.clock.reading.Milliseconds(),
		"clock_age_ms", now.Sub(x.clock.readAt).Milliseconds(), "failed_observations", x.failedObservations, "runs", len(x.runs))
	x.expireRuns(now)
}

// leaseLapsed reports whether the lease at the endpoint has certainly expired.
func (x *Executor) leaseLapsed(now time.Time) bool {
	end := x.clock.latestLocalTime(x.leaseEnd)
	return x.clock.known() && now.After(x.fence.latestLeaseEnd(end, x.cfg.Timing.maxInheritedLease()))
}

// handleEndedRun processes a run that the endpoint lists as ended.
func (x *Executor) handleEndedRun(e endpointapi.EndedRun, now time.Time) {
	if e.Sequence <= x.lastEndSequence {
		return
	}
	x.lastEndSequence = e.Sequence
	r := x.runs[e.Run.Task]
	if r == nil || r.id != e.Run {
		// An earlier process of this agent started the run, which may be a stored one.
		x.recent.add(wire.Report{Run: e.Run, State: endState(e.End)}, now)
		x.retainEnd(e, now)
		return
	}
	if r.stored {
		x.retainEnd(e, now)
	}
	switch e.End {
	case endpointapi.EndDone:
		x.health.recordSuccess()
		x.recordProgress(r, 100, now)
	case endpointapi.EndFailed:
		x.health.recordFailure()
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

// handleRunningRun processes a run that the endpoint lists as running.
func (x *Executor) handleRunningRun(running endpointapi.RunningRun, sent, now time.Time) {
	r := x.runs[running.Run.Task]
	if r == nil || r.id != running.Run {
		x.handleUnknownRun(running.Run, sent, now)
		return
	}
	x.markRunning(r, now)
	x.recordProgress(r, running.Percent, now)
	if running.Percent > r.percent {
		r.percent, r.percentRoseAt = running.Percent, now
	}
	if r.state == runRunning && !r.startedAt.IsZero() {
		x.reportStraggler(r, now)
	}
}

// stallTimeout returns how long r may make no progress before it counts as stalled.
func (x *Executor) stallTimeout(r *run) time.Duration {
	expected := time.Duration(float64(r.declaredRunTime) * x.health.slowness())
	return max(minStallTimeout, time.Duration(stallTimeoutFraction*float64(expected)))
}

// recordProgress adds the progress of r since its last reading to the speed of the endpoint.
func (x *Executor) recordProgress(r *run, percent int, now time.Time) {
	if r.state != runRunning || r.entry == "" {
		return
	}
	since := r.percentReadAt
	if since.IsZero() {
		since = r.startedAt
	}
	if percent > r.percent || now.Sub(since) >= minProgressInterval {
		worked := r.declaredRunTime * time.Duration(max(percent-r.percent, 0)) / 100
		x.health.recordWork(worked, now.Sub(since), now)
		r.percentReadAt = now
	}
}

// reportStraggler reports r if it will take much longer than expected.
func (x *Executor) reportStraggler(r *run, now time.Time) {
	elapsed := now.Sub(r.startedAt)
	var remaining, total time.Duration
	switch {
	case now.Sub(r.percentRoseAt) > x.stallTimeout(r):
		remaining = stalledRemaining
	case r.percent >= minStragglerPercent:
		// Progress is in whole percents, rounded down: the estimate assumes the upper end.
		remaining = elapsed * time.Duration(99-r.percent) / time.Duration(r.percent+1)
		total = elapsed + remaining
	default:
		return
	}
	if remaining < minStragglerRemaining || float64(elapsed+remaining) < stragglerFactor*float64(r.declaredRunTime) {
		return
	}
	ms := uint32(remaining.Milliseconds())
	if r.reportedRemainingMillis > 0 && ms < r.reportedRemainingMillis*2 && remaining != stalledRemaining {
		return // already reported
	}
	if r.reportedRemainingMillis == ms {
		return // already reported
	}
	r.reportedRemainingMillis = ms
	x.statusDirty = true
	x.report(r.entry, wire.Report{Run: r.id, State: wire.RunSlow, RemainingMillis: ms,
		TotalMillis: uint32(total.Milliseconds())})
	x.cfg.Log.Log(event.RunSlow, "task", r.id.Task, "run", r.id.Number, "elapsed_ms", elapsed.Milliseconds(),
		"percent", r.percent, "remaining_ms", ms, "estimate_ms", r.declaredRunTime.Milliseconds())
}

// handleUnlistedRuns handles the runs that are missing from the reply to an observation sent
// at the given time.
func (x *Executor) handleUnlistedRuns(listed map[wire.Run]bool, sent, now time.Time) {
	for _, r := range x.runs {
		started := r.sentAt()
		if listed[r.id] || started.After(sent) {
			continue
		}
		switch {
		case r.state == runStopping && r.stopAccepted && !sent.Before(r.stopAcceptedAt):
			// An observation sent before the reply to the stop may have been executed before the
			// start, and the run may still be stopping.
			x.finish(r, stoppedState(r), r.rejectReason, "stopped")
		case r.state == runStarting && started.IsZero(): // its start is queued
		case r.state == runStarting && r.verifyRequested && now.Sub(started) > x.startTimeout():
			if n := r.starts.attempts; n > 0 && n < x.startAttemptLimit() { // only runs that this process started
				x.sendStart(r, now)
				continue
			}
			// The start may still be executed; the stop makes the endpoint reject it.
			x.stop(r, wire.RejectStartUnanswered, now)
		case r.state == runRunning && r.startedAt.Before(sent):
			// Its end was listed to an earlier process, or the endpoint has forgotten it.
			x.stop(r, 0, now)
		}
	}
}

func stoppedState(r *run) wire.RunState {
	switch {
	case r.countsAsLost:
		return wire.RunLost
	case r.rejectReason != 0:
		return wire.RunRejected
	case r.seenAtEndpoint:
		return wire.RunStopped
	}
	return wire.RunLost
}
