package policy

import "time"

// maxWaitShare is the share of its slack that a job may wait without room. Half of it is
// left for what the run may take longer than expected, and for the caller to go elsewhere.
const maxWaitShare = 0.5

// ShouldRefuse decides whether a job is refused now: when some of its tasks find no room, and it
// has waited for its share of the slack that its objective leaves beyond its expected run
// time. A job that cannot be in time any more has none, and is refused at once. One that has
// room is never refused: also a late answer serves its caller more than none.
//
// A forecast of the wait from the work ahead was tried in two forms and refused jobs that
// would have found room in time: those ahead are refused themselves when they have waited
// for their share.
func (p Policy) ShouldRefuse(w *QueuedJob, now time.Time) bool {
	if w.Started || w.UnplacedCores == 0 || !p.Uses(Patience) {
		return false
	}
	return !now.Before(w.refuseAt())
}

// refuseAt is when the job is refused unless it has room.
func (w *QueuedJob) refuseAt() time.Time {
	slack := max(w.Objective.Sub(w.Arrived)-w.ExpectedRunTime, 0)
	return w.Arrived.Add(time.Duration(maxWaitShare * float64(slack)))
}
