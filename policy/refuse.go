package policy

import "time"

// patienceShare is the share of its latency objective that a job may wait
// without room. A caller that is refused early can go elsewhere in time.
const patienceShare = 0.25

// Refusal is the reason for which a job is refused.
type Refusal string

// Reasons for a refusal.
const (
	NotRefused Refusal = ""
	// ByPatience: the job has waited for its share of the objective.
	ByPatience Refusal = "patience"
	// ByForecast: it would end too late after the work ahead of it.
	ByForecast Refusal = "forecast"
)

// Refuse decides whether a job is refused now: when it would end too late after the work
// ahead of it, or, while some of its tasks find no room, when it has waited for its share
// of the objective. A job that nothing comes before and that has room is never refused:
// also a late answer serves its caller more than none. ahead is the work before it in
// core-seconds and rate is the number of cores that work it off.
func (p Policy) Refuse(w *Waiting, now time.Time, ahead, rate float64) Refusal {
	if w.Started || w.Unplaced == 0 && ahead == 0 {
		return NotRefused
	}
	limit := time.Duration(patienceShare * float64(w.Objective.Sub(w.Arrived)))
	switch {
	case p.Uses(Forecast) && w.late(now.Add(waitFor(ahead+w.Unplaced, rate))):
		return ByForecast
	case p.Uses(Patience) && w.Unplaced > 0 && now.Sub(w.Arrived) >= limit:
		return ByPatience
	}
	return NotRefused
}
