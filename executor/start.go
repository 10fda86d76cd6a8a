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
	// startWorkers bounds the concurrent start calls, and with them the
	// connections to the endpoint.
	startWorkers = 6
	// startQueueSize bounds the starts that wait for a worker; the room of the
	// endpoint bounds them before.
	startQueueSize = 4096
	// maxStarts bounds the attempts to start a run. An order that gets no answer and is not
	// carried out can be lost, or be carried out seconds later; the endpoint takes a run
	// once, however often it is told to start it.
	maxStartAttempts = 4
)

// startTimeout is when a start without an answer is looked up.
func (x *Executor) startTimeout() time.Duration {
	if !x.cfg.Policy.Uses(policy.EarlyLookup) {
		return x.cfg.Timing.CallTimeout
	}
	return x.cfg.Timing.StartTimeout
}

// maxStarts returns the number of times that a run is given to the endpoint.
func (x *Executor) startAttemptLimit() int {
	if !x.cfg.Policy.Uses(policy.RepeatedStarts) {
		return 1
	}
	return maxStartAttempts
}

// startCalls are the start calls of a run. Its fields belong to the executor's loop.
type startCalls struct {
	attempts int
	// open is the number of calls that may still be carried out: those that wait for a
	// worker, are under way, or got no answer.
	unresolved int
	last       *startCall
}

// startCall is one call that starts a run.
type startCall struct {
	order endpointapi.StartOrder
	run   *run
	// sent is when a worker sent it; nil while it waits for one.
	sentAt atomic.Pointer[time.Time]
	// givenUp is set when the run is over: the call is not sent any more.
	cancelled *atomic.Bool
}

// next returns another call for r.
func (s *startCalls) newCall(r *run, o endpointapi.StartOrder) *startCall {
	call := &startCall{order: o, run: r}
	if s.last == nil {
		call.cancelled = new(atomic.Bool)
	} else {
		call.cancelled = s.last.cancelled
	}
	s.attempts++
	s.unresolved++
	s.last = call
	return call
}

// sentAt returns when the newest start of r was sent, the zero time while it waits for a
// worker. Runs that an earlier process started count from when this one heard of them.
func (r *run) sentAt() time.Time {
	if r.starts.last == nil {
		return r.orderedAt
	}
	if sent := r.starts.last.sentAt.Load(); sent != nil {
		return *sent
	}
	return time.Time{}
}

// giveUp keeps the calls that wait for a worker from being sent.
func (s *startCalls) cancelQueued() {
	if s.last != nil {
		s.last.cancelled.Store(true)
	}
}

// sendStart sends a start of r.
func (x *Executor) sendStart(r *run, now time.Time) {
	r.verifyRequested = false
	r.leaseEnd = x.extendLease(now)
	x.startQueue <- r.starts.newCall(r, endpointapi.StartOrder{
		Instance: x.profile.Instance, Run: r.id, Payload: r.payload, LeaseEnd: r.leaseEnd,
	})
	x.wakeObserver()
}

func (x *Executor) startWorker(ctx context.Context) {
	for {
		select {
		case call := <-x.startQueue:
			if call.cancelled.Load() {
				continue
			}
			now := time.Now()
			call.sentAt.Store(&now)
			callCtx, cancel := context.WithTimeout(ctx, x.cfg.Timing.CallTimeout)
			callCtx, endCall := call.run.span.startCallSpan(callCtx, x.cfg.Tracer)
			reply := x.cfg.Endpoint.Start(callCtx, call.order)
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
	if x.profile != nil && call.order.Instance == x.profile.Instance {
		x.clock.set(reply.Clock, now)
	}
	if reply.Result != endpointapi.StartUnknown {
		r.starts.unresolved--
	}
	if x.runs[r.id.Task] != r {
		if reply.Result == endpointapi.StartAccepted && r.state != runRunning {
			x.stopOrphan(r.id) // it was given up while the call was under way
		}
		return
	}
	switch reply.Result {
	case endpointapi.StartAccepted:
		x.markRunning(r, now)
	case endpointapi.StartNoRoom:
		x.rejectStart(r, wire.RejectRoom, "endpoint has no room", now)
	case endpointapi.StartOld:
		if r.starts.attempts > 1 {
			x.verifyStart(r, now) // an earlier call was carried out and the run has ended
			return
		}
		x.rejectStart(r, wire.RejectOldRun, "a later run has ended", now)
	case endpointapi.StartLate:
		x.rejectStart(r, wire.RejectUnanswered, "lease end had passed", now)
	case endpointapi.StartInvalid:
		x.rejectStart(r, wire.RejectInvalid, "endpoint refused the task", now)
	case endpointapi.StartRefused:
		x.health.recordFailure()
		x.rejectStart(r, wire.RejectUnreachable, "endpoint refused the start", now)
	case endpointapi.StartOtherInstance, endpointapi.StartEndpointDown:
		x.handleEndpointDown(reply.Err)
	case endpointapi.StartUnknown:
		x.cfg.Metrics.unansweredStarts.Inc()
		x.verifyStart(r, now)
	}
}

// startRefused ends r, which the endpoint has not started. While another call that starts
// it may be carried out, the run is stopped first, which refuses that call in advance.
func (x *Executor) rejectStart(r *run, reason wire.RejectReason, why string, now time.Time) {
	switch {
	case r.state == runRunning: // another call has started it
	case r.starts.unresolved == 0:
		x.finish(r, wire.RunRejected, reason, why)
	case r.state == runStarting:
		x.stop(r, reason, now)
	}
}

// stopStray stops a run that this process has given up and that executes nevertheless.
func (x *Executor) stopOrphan(id wire.Run) {
	if x.profile == nil {
		return
	}
	x.cfg.Log.Log(event.RunOrphaned, "task", id.Task, "run", id.Number, "why", "its start was carried out late")
	instance := x.profile.Instance
	go func() {
		ctx, cancel := context.WithTimeout(x.ctx, x.cfg.Timing.CallTimeout)
		defer cancel()
		if err := x.cfg.Endpoint.Stop(ctx, instance, id); err != nil {
			x.cfg.Log.Log(event.StopUnanswered, "task", id.Task, "run", id.Number, "error", err)
		}
	}()
}

// running takes note that the endpoint executes r.
func (x *Executor) markRunning(r *run, now time.Time) {
	r.seenAtEndpoint = true
	if r.state != runStarting {
		return
	}
	r.state, r.startedAt, r.percentRoseAt = runRunning, now, now
	x.report(r.entry, wire.Report{Run: r.id, State: wire.RunStarted})
}

// lookUp asks at once whether r runs.
func (x *Executor) verifyStart(r *run, now time.Time) {
	r.verifyRequested = true
	x.observeNow(now)
}

// checkStarts looks up starts without an answer.
func (x *Executor) verifyUnansweredStarts(now time.Time) {
	for _, r := range x.runs {
		sent := r.sentAt()
		if r.state == runStarting && !sent.IsZero() && now.Sub(sent) > x.startTimeout() {
			x.verifyStart(r, now)
		}
	}
}
