package executor

import (
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// maxLateExecution bounds the time after which a call without a reply may still be executed. The
// platform says only "seconds later".
const maxLateExecution = 13 * time.Second

// mayStartLate reports whether a start of r that got no reply may still be executed.
func (r *run) mayStartLate(now time.Time) bool {
	if r.starts.unresolved == 0 {
		return false
	}
	sent := r.starts.unansweredSentAt
	if r.starts.last != nil {
		if t := r.starts.last.sentAt.Load(); t != nil {
			sent = *t
		}
	}
	return !sent.IsZero() && now.Sub(sent) < maxLateExecution
}

// awaitsLateStart reports whether r has ended with its endpoint, but may still be started by a call
// that got no reply.
func (r *run) awaitsLateStart(now time.Time) bool { return r.countsAsLost && r.mayStartLate(now) }

// hasExpirableRuns reports whether a run ends with its lease.
func (x *Executor) hasExpirableRuns(now time.Time) bool {
	for _, r := range x.runs {
		if !r.awaitsLateStart(now) {
			return true
		}
	}
	return false
}

// loseRunsWithoutLateStart reports the runs of an endpoint that has ended as lost, but for those that
// may still be started by a call that got no reply: an endpoint that starts again under the same id
// takes the call for its own. These runs are stopped, and count as lost once the endpoint has
// confirmed that or has another id.
func (x *Executor) loseRunsWithoutLateStart(now time.Time) {
	for _, r := range x.runs {
		if !r.mayStartLate(now) {
			x.finish(r, wire.RunLost, 0, "endpoint is down")
			continue
		}
		if !r.countsAsLost {
			x.cfg.Log.Log(event.RunMayStartLate, "task", r.id.Task, "run", r.id.Number,
				"starts", r.starts.attempts, "unresolved", r.starts.unresolved)
		}
		r.countsAsLost = true
		if r.state != runStopping {
			x.stop(r, 0, now)
		}
	}
}
