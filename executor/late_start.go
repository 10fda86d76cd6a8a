package executor

import (
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// maxLateExecution bounds the time after which a call without a reply may still be executed. The
// platform says only "seconds later".
const maxLateExecution = 13 * time.Second

// newestUnresolved returns the newest call that was sent and may still be executed, or nil. The
// calls before it have lower fencing tokens.
func (s *startCalls) newestUnresolved() *startCall {
	switch {
	case s.unresolved == 0:
		return nil
	case s.last != nil && s.last.sentAt.Load() != nil:
		return s.last
	case s.beforeLast != nil && s.beforeLast.sentAt.Load() != nil:
		return s.beforeLast // may still be in flight while the last one is queued
	}
	return s.unanswered
}

// mayStartLate reports whether a start of r that got no reply may still be executed by the next
// incarnation of the endpoint, which has seen no fencing token.
func (r *run) mayStartLate(now time.Time) bool {
	call := r.starts.newestUnresolved()
	return call != nil && now.Sub(*call.sentAt.Load()) < maxLateExecution
}

// mayStartAfterLease reports whether a start of r that got no reply may still be executed by the
// known incarnation of the endpoint. Its lease may count from then.
func (x *Executor) mayStartAfterLease(r *run, now time.Time) bool {
	return r.mayStartLate(now) && r.starts.newestUnresolved().request.FencingToken >= x.fence.answered
}

// hasExpirableRuns reports whether the end of the lease changes the state of a run.
func (x *Executor) hasExpirableRuns(now time.Time) bool {
	for _, r := range x.runs {
		if !r.countsAsLost || !r.mayStartLate(now) {
			return true
		}
	}
	return false
}

// expireRuns reports the runs as lost whose lease has ended, but for those that may still be started.
func (x *Executor) expireRuns(now time.Time) {
	for _, r := range x.runs {
		switch {
		case r.countsAsLost && r.mayStartLate(now): // waits for its stop
		case x.mayStartAfterLease(r, now):
			x.stopBeforeLoss(r, "lease expired", now)
		default:
			x.finish(r, wire.RunLost, 0, "lease expired")
		}
	}
}

// loseRunsWithoutLateStart reports the runs of an endpoint that has ended as lost, but for those that
// may still be started: an endpoint that starts again under the same id takes the calls for its own.
func (x *Executor) loseRunsWithoutLateStart(now time.Time) {
	for _, r := range x.runs {
		if r.mayStartLate(now) {
			x.stopBeforeLoss(r, "endpoint is down", now)
		} else {
			x.finish(r, wire.RunLost, 0, "endpoint is down")
		}
	}
}

// stopBeforeLoss stops r, which may still be started by a call that got no reply. It counts as lost
// once the endpoint has confirmed the stop or has another id.
func (x *Executor) stopBeforeLoss(r *run, why string, now time.Time) {
	if !r.countsAsLost {
		x.cfg.Log.Log(event.RunMayStartLate, "task", r.id.Task, "run", r.id.Number, "why", why,
			"starts", r.starts.attempts, "unresolved", r.starts.unresolved)
	}
	r.countsAsLost = true
	if r.state != runStopping {
		x.stop(r, 0, now)
	}
}
