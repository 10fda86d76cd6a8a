package executor

import (
	"context"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

const (
	// stopRetryInterval is the time between two attempts to stop a run.
	stopRetryInterval = 45 * time.Millisecond
	// stragglerFactor is the ratio of the predicted to the declared run time from which a run
	// is reported as a straggler.
	stragglerFactor = 1.7
	// minStragglerPercent is the progress from which the remaining time is extrapolated; below
	// it, whole percents are too coarse.
	minStragglerPercent = 8
	// minStragglerRemaining is the shortest remaining time that is reported.
	minStragglerRemaining = 80 * time.Millisecond
	// minStallTimeout is the shortest time without progress after which a run counts as
	// stalled. stallTimeoutFraction is the same as a fraction of the expected run time, since
	// progress is given in whole percents.
	minStallTimeout      = 90 * time.Millisecond
	stallTimeoutFraction = 0.1
	// minProgressInterval is the time after which a lack of progress is added to the speed.
	minProgressInterval = 40 * time.Millisecond
	// stalledRemaining is the remaining time reported for a run that makes no progress.
	stalledRemaining = 60 * time.Second
)

type runState uint8

const (
	runStarting runState = iota
	runRunning
	runStopping
)

// run is a run of a task at the endpoint. Its resources stay reserved until the endpoint
// lists it as ended or it can no longer exist there.
type run struct {
	id              wire.Run
	entry           string // incarnation of the entry that ordered the run; empty until claimed
	payload         string
	queue           string
	size            wire.Resources
	declaredRunTime time.Duration
	state           runState
	orderedAt       time.Time
	starts          startCalls
	leaseEnd        time.Duration
	startedAt       time.Time
	stored          bool
	rejectReason    wire.RejectReason // set if the start was rejected or got no reply
	// seenAtEndpoint is set when the endpoint has accepted the start or listed the run.
	seenAtEndpoint          bool
	percent                 int
	percentReadAt           time.Time
	percentRoseAt           time.Time
	reportedRemainingMillis uint32
	startUnanswered         bool // a start call ended without a reply
	crashRecorded           bool // the crash of its incarnation is in Executor.crashes
	countsAsLost            bool // once it is stopped, since its endpoint or the lease has ended
	stopSentAt              time.Time
	stopInFlight            bool
	stopAccepted            bool // the endpoint has accepted the stop
	stopAcceptedAt          time.Time
	verifyRequested         bool
	span                    *runSpan // nil for a job that is not traced
}

// acceptOrder starts one run that an entry has ordered, or rejects it.
func (x *Executor) acceptOrder(e *entry, id wire.Run, g *wire.OrderGroup, now time.Time) {
	if reason := x.orderRejection(id, g); reason != 0 {
		x.reject(e, id, reason, 0)
		return
	}
	if left := x.trialLeft(id, g, now); left > 0 {
		x.reject(e, id, wire.RejectTrial, left)
		return
	}
	x.beginTrial(id, g, now)
	r := &run{
		id: id, entry: e.incarnation, payload: g.Payload, queue: g.Queue, size: g.Size, orderedAt: now, stored: g.Stored,
		declaredRunTime: time.Duration(g.EstimateMillis) * time.Millisecond,
	}
	r.span = x.startSpan(r, g.Trace)
	x.runs[id.Task] = r
	x.start(r, now)
}

// start reserves the resources of r, which has been accepted, and sends its start.
func (x *Executor) start(r *run, now time.Time) {
	r.state = runStarting
	x.used = x.used.Plus(r.size)
	x.sendStart(r, now)
}

// orderRejection returns why a run is rejected, or 0.
func (x *Executor) orderRejection(id wire.Run, g *wire.OrderGroup) wire.RejectReason {
	size := g.Size
	if reason := x.closedReason(); reason != 0 {
		return reason
	}
	if x.runs[id.Task] != nil {
		return wire.RejectTaskRunning
	}
	if g.Stored && x.backlogFull {
		return wire.RejectBacklogFull
	}
	if !size.Fits(x.profile.Capacity) || !x.used.Plus(size).Fits(x.profile.Capacity) {
		return wire.RejectCapacity
	}
	if !x.clock.known() {
		return wire.RejectUnreachable
	}
	return 0
}

// extendLease returns the lease end to send with a call that is made now, or 0 while the
// endpoint's clock is unknown.
func (x *Executor) extendLease(now time.Time) time.Duration {
	if !x.clock.known() {
		return 0
	}
	end := x.clock.endpointTime(now, x.leaseExtension(now))
	x.leaseEnd = max(x.leaseEnd, end)
	return end
}

// leaseExtension returns the length of a lease that is extended now. Runs of an entry that has not
// been heard in time keep no more than they would if this process had failed just before it had to
// stop them: it may fail now, after it was suspended, and the entry counts from its last message.
// Inherited runs that wait to be claimed have a deadline instead.
func (x *Executor) leaseExtension(now time.Time) time.Duration {
	d := x.cfg.Timing.Lease
	if !x.adoptDeadline.IsZero() {
		d = min(d, max(x.adoptDeadline.Sub(now), 0)+x.cfg.Timing.AdoptMargin)
	}
	for _, r := range x.runs {
		if e := x.entries[r.entry]; e != nil {
			d = min(d, x.untilTimeout(e, now)+x.cfg.Timing.BusyTickInterval+x.cfg.Timing.Lease)
		}
	}
	return max(d, 0)
}

// stop stops r; reason is set if its start was rejected or got no reply.
func (x *Executor) stop(r *run, reason wire.RejectReason, now time.Time) {
	if r.state != runStopping {
		r.state, r.rejectReason = runStopping, reason
	}
	x.sendStop(r, now)
}

func (x *Executor) sendStop(r *run, now time.Time) {
	if r.stopInFlight || r.stopAccepted || x.profile == nil {
		return
	}
	r.stopInFlight, r.stopSentAt = true, now
	req := endpointapi.StopRequest{Instance: x.profile.Instance, Run: r.id, FencingToken: x.fence.token()}
	go func() {
		ctx, cancel := context.WithTimeout(x.ctx, x.cfg.Timing.CallTimeout)
		defer cancel()
		err := x.cfg.Endpoint.Stop(ctx, req)
		x.loop.Post(func() { x.handleStopReply(r, req, err) })
	}()
}

func (x *Executor) handleStopReply(r *run, req endpointapi.StopRequest, err error) {
	r.stopInFlight = false
	x.recordReply(req.FencingToken, 0, r.stopSentAt, err)
	if x.runs[r.id.Task] != r {
		return
	}
	if err != nil {
		x.cfg.Log.Log(event.StopUnanswered, "task", r.id.Task, "run", r.id.Number, "error", err)
		return // retryStops tries again
	}
	r.stopAccepted, r.stopAcceptedAt = true, time.Now()
	x.wakeObserver()
}

func (x *Executor) retryStops(now time.Time) {
	for _, r := range x.runs {
		if r.state == runStopping && !r.stopAccepted && now.Sub(r.stopSentAt) > stopRetryInterval {
			x.sendStop(r, now)
		}
	}
}

// finish removes r, which has ended or will never start, and reports its final state.
func (x *Executor) finish(r *run, state wire.RunState, reason wire.RejectReason, why string) {
	if x.runs[r.id.Task] != r {
		return
	}
	delete(x.runs, r.id.Task)
	r.starts.cancelQueued()
	x.used = x.used.Minus(r.size)
	x.statusDirty = true
	r.span.end(state, reason, why)
	rep := wire.Report{Run: r.id, State: state, Reason: reason}
	x.recent.add(rep, time.Now())
	x.report(r.entry, rep)
	x.cfg.Metrics.countEnd(state, reason)
	x.cfg.Log.Log(event.RunEnded, "task", r.id.Task, "run", r.id.Number, "state", state, "reason", reason,
		"why", why, "entry", r.entry, "estimate_ms", r.declaredRunTime.Milliseconds(), "percent", r.percent,
		"took_ms", runMillis(r), "waited_ms", startDelayMillis(r), "starts", r.starts.attempts, "unresolved_starts", r.starts.unresolved)
}

func runMillis(r *run) int64 {
	if r.startedAt.IsZero() {
		return 0
	}
	return time.Since(r.startedAt).Milliseconds()
}

func startDelayMillis(r *run) int64 {
	sent := r.sentAt()
	if sent.IsZero() {
		return time.Since(r.orderedAt).Milliseconds()
	}
	return sent.Sub(r.orderedAt).Milliseconds()
}

// reject reports that an order is not accepted; for how long is known only of some reasons.
func (x *Executor) reject(e *entry, id wire.Run, reason wire.RejectReason, remaining time.Duration) {
	x.cfg.Metrics.countEnd(wire.RunRejected, reason)
	x.cfg.Log.Log(event.RunRejected, "task", id.Task, "run", id.Number, "reason", reason, "entry", e.incarnation,
		"used_millicores", x.used.MilliCores)
	x.report(e.incarnation, wire.Report{
		Run: id, State: wire.RunRejected, Reason: reason, RemainingMillis: uint32(remaining.Milliseconds()),
	})
}
