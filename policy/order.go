package policy

import (
	"cmp"
	"time"
)

// QueuedJob is a job that waits for free capacity.
type QueuedJob struct {
	Priority int
	Arrived  time.Time
	// Objective is the time by which the job should be answered.
	Objective time.Time
	// ExpectedRunTime is the expected run time of the job's critical path.
	ExpectedRunTime time.Duration
	// UnplacedCores is the demand of its tasks that fit on no endpoint now.
	UnplacedCores float64
	// Started is set once one of its tasks was ordered; the job cannot be refused any more.
	Started bool
	// Shares is its precedence as a member of promoted groups; zero without FairShare.
	Shares SharePrecedence
}

// wouldMissObjective reports whether the job would miss its objective if it started now.
func (j *QueuedJob) wouldMissObjective(now time.Time) bool {
	return now.Add(j.ExpectedRunTime).After(j.Objective)
}

// Compare orders jobs by precedence for free capacity: jobs that can still meet their
// objective come first; among them those that have started, since their partial results are
// useless alone; then those of groups that get less than their share (see FairShare); then by the
// operator's priority, and then by the time at which they would be refused. A job overtakes only jobs that can wait longer, and none that arrived earlier by
// more than its own maximum wait, so no job starves. The result is negative if a comes
// before b.
func (p Policy) Compare(a, b *QueuedJob, now time.Time) int {
	inTime, started := 0, 0
	if p.Uses(InTimeFirst) {
		inTime = compareTrueFirst(!a.wouldMissObjective(now), !b.wouldMissObjective(now))
	}
	if p.Uses(BegunFirst) {
		started = compareTrueFirst(a.Started, b.Started)
	}
	urgent := 0
	if p.Uses(UrgentFirst) {
		urgent = a.refuseAt().Compare(b.refuseAt())
	}
	return cmp.Or(inTime, started, a.Shares.compare(b.Shares), cmp.Compare(a.Priority, b.Priority), urgent, a.Arrived.Compare(b.Arrived))
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
