package policy

import "time"

// maxWaitShare is the share of its slack for which a job may wait for capacity. The rest is
// reserved for a run that takes longer than expected, and for the caller to try another entry.
const maxWaitShare = 0.5

// ShouldRefuse reports whether a job is refused now: if some of its tasks cannot be placed and
// it has waited for maxWaitShare of its slack, the time that its objective leaves beyond its
// expected run time. A job that can no longer meet its objective has no slack and is refused
// at once, unless it can be placed: a late answer is better than none.
//
// The wait is not predicted from the work ahead: such predictions refuse jobs that could have
// been placed in time, because jobs ahead may be refused themselves before they run.
func (p Policy) ShouldRefuse(j *QueuedJob, now time.Time) bool {
	if j.Started || j.UnplacedCores == 0 || !p.Uses(Patience) {
		return false
	}
	return !now.Before(j.refuseAt())
}

// refuseAt returns the time from which the job is refused unless it can be placed.
func (j *QueuedJob) refuseAt() time.Time {
	slack := max(j.Objective.Sub(j.Arrived)-j.ExpectedRunTime, 0)
	return j.Arrived.Add(time.Duration(maxWaitShare * float64(slack)))
}
