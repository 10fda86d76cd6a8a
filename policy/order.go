package policy

import (
	"cmp"
	"time"
)

// QueuedJob is a job that waits for room.
type QueuedJob struct {
	Priority int
	Arrived  time.Time
	// Objective is when the job should be answered.
	Objective time.Time
	// ExpectedRunTime is the expected run time of its longest task.
	ExpectedRunTime time.Duration
	// UnplacedCores is what its tasks need that find no room now, in cores.
	UnplacedCores float64
	// Started is set when one of its tasks was ordered: it can not be refused.
	Started bool
}

// wouldMissObjective reports whether the job would miss its objective if it began now.
func (w *QueuedJob) wouldMissObjective(now time.Time) bool {
	return now.Add(w.ExpectedRunTime).After(w.Objective)
}

// Compare is the order in which jobs get room: first those that can end in time;
// among them those that have begun, since the results they have are worth nothing
// alone; then by the operator's priority, then by the time at which they would be
// refused. A job passes only those that can wait longer, and none that came more than
// its own wait before, so that nobody is passed over for good. It is negative when w
// comes before o.
func (p Policy) Compare(w, o *QueuedJob, now time.Time) int {
	inTime, begun := 0, 0
	if p.Uses(InTimeFirst) {
		inTime = compareTrueFirst(!w.wouldMissObjective(now), !o.wouldMissObjective(now))
	}
	if p.Uses(BegunFirst) {
		begun = compareTrueFirst(w.Started, o.Started)
	}
	urgent := 0
	if p.Uses(UrgentFirst) {
		urgent = w.refuseAt().Compare(o.refuseAt())
	}
	return cmp.Or(inTime, begun, cmp.Compare(w.Priority, o.Priority), urgent, w.Arrived.Compare(o.Arrived))
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
