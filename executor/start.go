package executor

import (
	"context"
	"sync/atomic"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

const (
	// startWorkers bounds the concurrent start calls, and thus the connections to the
	// endpoint.
	startWorkers = 6
	// startQueueSize bounds the queued start calls; the capacity of the endpoint is normally
	// the tighter bound.
	startQueueSize = 4096
	// maxStartAttempts bounds the start calls for a run. A call that gets no reply may be
	// lost, or be executed seconds later. Repeating it is safe: the endpoint starts a run once,
	// however many calls it receives.
	maxStartAttempts = 4
)

// startTimeout returns the time after which an unanswered start is verified.
func (x *Executor) startTimeout() time.Duration {
	if !x.cfg.Policy.Uses(policy.EarlyLookup) {
		return x.cfg.Timing.CallTimeout
	}
	return x.cfg.Timing.StartTimeout
}

// startAttemptLimit returns the greatest number of start calls for a run.
func (x *Executor) startAttemptLimit() int {
	if !x.cfg.Policy.Uses(policy.RepeatedStarts) {
		return 1
	}
	return maxStartAttempts
}

// startCalls holds the start calls of a run. Its fields are owned by the executor's loop.
type startCalls struct {
	attempts int
	// unresolved is the number of calls that may still be executed: those that are queued, in
	// flight or unanswered.
	unresolved int
	unanswered *startCall // the newest call without a reply
	last       *startCall
	beforeLast *startCall // nil for the first call
}

// startCall is one call that starts a run.
type startCall struct {
	request endpointapi.StartRequest
	run     *run
	// sentAt is when a worker sent the call; nil while it is queued.
	sentAt atomic.Pointer[time.Time]
	// cancelled is set when the run is over, so that the call is not sent any more. All calls
	// of a run share it.
	cancelled *atomic.Bool
}

// newCall returns another start call for r.
func (s *startCalls) newCall(r *run, req endpointapi.StartRequest) *startCall {
	call := &startCall{request: req, run: r}
	if s.last == nil {
		call.cancelled = new(atomic.Bool)
	} else {
		call.cancelled = s.last.cancelled
	}
	s.attempts++
	s.unresolved++
	s.beforeLast, s.last = s.last, call
	return call
}

// sentAt returns when the newest start of r was sent, or the zero time while it is queued.
// For an inherited run it returns when this process learned of the run.
func (r *run) sentAt() time.Time {
	if r.starts.last == nil {
		return r.orderedAt
	}
	if sent := r.starts.last.sentAt.Load(); sent != nil {
		return *sent
	}
	return time.Time{}
}

// cancelQueued prevents queued calls from being sent.
func (s *startCalls) cancelQueued() {
	if s.last != nil {
		s.last.cancelled.Store(true)
	}
}

// sendStart queues a start call for r.
func (x *Executor) sendStart(r *run, now time.Time) {
	r.verifyRequested = false
	r.leaseEnd = x.extendLease(now)
	x.startQueue <- r.starts.newCall(r, endpointapi.StartRequest{
		Instance: x.profile.Instance, Run: r.id, Payload: r.payload, LeaseEnd: r.leaseEnd,
	})
	x.wakeObserver()
}

func (x *Executor) startWorker(ctx context.Context) {
	for {
		select {
		case call := <-x.startQueue:
			// The token is read first: a call that is not seen as cancelled has a lower token than
			// the calls made after its cancellation.
			call.request.FencingToken = x.fence.token()
			if call.cancelled.Load() {
				continue
			}
			now := time.Now()
			call.sentAt.Store(&now)
			callCtx, cancel := context.WithTimeout(ctx, x.cfg.Timing.CallTimeout)
			callCtx, endCall := call.run.span.startCallSpan(callCtx, x.cfg.Tracer)
			reply := x.cfg.Endpoint.Start(callCtx, call.request)
			endCall(reply)
			cancel()
			x.loop.Post(func() { x.handleStartReply(call, reply, time.Now()) })
		case <-ctx.Done():
			return
		}
	}
}

func (x *Executor) handleStartReply(call *startCall, reply endpointapi.StartReply, now time.Time) {
	r := call.run
	// A reply to a call from before the endpoint restarted says nothing of this incarnation.
	current := x.profile != nil && call.request.Instance == x.profile.Instance && !call.sentAt.Load().Before(x.incarnationSince)
	if current {
		x.setClock(reply.Clock, *call.sentAt.Load(), now, "start")
	}
	switch reply.Result {
	case endpointapi.StartUnknown:
		x.recordUnansweredStart(r, *call.sentAt.Load(), now)
		r.starts.unanswered = call
		x.fence.recordLostGrant(call.request.FencingToken, *call.sentAt.Load())
	case endpointapi.StartAccepted:
		x.fence.recordAnswer(call.request.FencingToken)
	case endpointapi.StartFenced:
		x.fence.recordRefusal(call.request.FencingToken)
	}
	if reply.Result != endpointapi.StartUnknown {
		r.starts.unresolved--
	}
	if x.runs[r.id.Task] != r {
		if reply.Result == endpointapi.StartAccepted && r.state != runRunning {
			x.stopOrphan(r.id) // the run was given up while the call was in flight
		}
		return
	}
	switch reply.Result {
	case endpointapi.StartAccepted:
		x.markRunning(r, now)
	case endpointapi.StartNoCapacity:
		x.rejectStart(r, wire.RejectCapacity, "endpoint has no free capacity", now)
	case endpointapi.StartOldRun:
		if r.starts.attempts > 1 {
			x.verifyStart(r, now) // an earlier call was executed and the run has ended
			return
		}
		x.rejectStart(r, wire.RejectOldRun, "this or a later run has ended", now)
	case endpointapi.StartLeaseExpired:
		x.rejectStart(r, wire.RejectStartUnanswered, "start arrived after its lease end", now)
	case endpointapi.StartInvalid:
		x.rejectStart(r, wire.RejectInvalid, "endpoint rejected the task as invalid", now)
	case endpointapi.StartRejected:
		x.health.recordFailure()
		x.rejectStart(r, wire.RejectUnreachable, "endpoint rejected the start", now)
	case endpointapi.StartOtherInstance, endpointapi.StartEndpointDown:
		if current {
			x.handleEndpointDown(reply.Err)
			return
		}
		x.verifyStart(r, now)
	case endpointapi.StartFenced:
		if r.state == runStarting && r.starts.attempts < maxStartAttempts {
			x.sendStart(r, now)
			return
		}
		x.rejectStart(r, wire.RejectStartUnanswered, "endpoint ignored the start", now)
	case endpointapi.StartUnknown:
		x.cfg.Metrics.unansweredStarts.Inc()
		x.verifyStart(r, now)
	}
}

// rejectStart ends r, which the endpoint has not started. If another start call may still be
// executed, the run is stopped first, which makes the endpoint reject that call.
func (x *Executor) rejectStart(r *run, reason wire.RejectReason, why string, now time.Time) {
	switch {
	case r.state == runRunning: // another call has started the run
	case r.starts.unresolved == 0 && r.countsAsLost:
		x.finish(r, wire.RunLost, 0, why)
	case r.starts.unresolved == 0:
		x.finish(r, wire.RunRejected, reason, why)
	case r.state == runStarting:
		x.stop(r, reason, now)
	}
}

// stopOrphan stops a run that executes although this process has given it up.
func (x *Executor) stopOrphan(id wire.Run) {
	if x.profile == nil {
		return
	}
	x.cfg.Log.Log(event.RunOrphaned, "task", id.Task, "run", id.Number, "why", "start was executed after the run was given up")
	req := endpointapi.StopRequest{Instance: x.profile.Instance, Run: id, FencingToken: x.fence.token()}
	go func() {
		ctx, cancel := context.WithTimeout(x.ctx, x.cfg.Timing.CallTimeout)
		defer cancel()
		err := x.cfg.Endpoint.Stop(ctx, req)
		if err != nil {
			x.cfg.Log.Log(event.StopUnanswered, "task", id.Task, "run", id.Number, "error", err)
		}
		x.loop.Post(func() { x.recordReply(req.FencingToken, 0, time.Time{}, err) })
	}()
}

// markRunning records that the endpoint executes r.
func (x *Executor) markRunning(r *run, now time.Time) {
	r.seenAtEndpoint = true
	if r.state != runStarting {
		return
	}
	r.state, r.startedAt, r.percentRoseAt = runRunning, now, now
	x.report(r.entry, wire.Report{Run: r.id, State: wire.RunStarted})
}

// verifyStart observes the endpoint at once to find out whether r executes.
func (x *Executor) verifyStart(r *run, now time.Time) {
	r.verifyRequested = true
	x.observeNow(now)
}

// verifyUnansweredStarts verifies the starts that got no reply in time.
func (x *Executor) verifyUnansweredStarts(now time.Time) {
	for _, r := range x.runs {
		sent := r.sentAt()
		if r.state == runStarting && !sent.IsZero() && now.Sub(sent) > x.startTimeout() {
			x.verifyStart(r, now)
		}
	}
}
