package policy

import "time"

// patienceShare is the share of its slack that a job may wait without room. Half of it is
// left for what the run may take longer than expected, and for the caller to go elsewhere.
const patienceShare = 0.5

// Refuse decides whether a job is refused now: when some of its tasks find no room, and it
// has waited for its share of the slack that its objective leaves beyond its expected run
// time. A job that cannot be in time any more has none, and is refused at once. One that has
// room is never refused: also a late answer serves its caller more than none.
//
// A forecast of the wait from the work ahead was tried in two forms and refused jobs that
// would have found room in time: those ahead are refused themselves when they have waited
// for their share.
func (p Policy) Refuse(w *Waiting, now time.Time) bool {
	if w.Started || w.Unplaced == 0 || !p.Uses(Patience) {
		return false
	}
	return !now.Before(w.refusedAt())
}

// refusedAt is when the job is refused unless it has room.
func (w *Waiting) refusedAt() time.Time {
	slack := max(w.Objective.Sub(w.Arrived)-w.Needs, 0)
	return w.Arrived.Add(time.Duration(patienceShare * float64(slack)))
}
