package placement

import (
	"cmp"
	"time"
)

// Waiting is a job that waits for room.
type Waiting struct {
	Priority int
	Arrived  time.Time
	// Objective is when the job should be answered.
	Objective time.Time
	// Needs is the expected run time of its longest task.
	Needs time.Duration
	// Started is set when one of its tasks was ordered: it can not be refused.
	Started bool
}

// late reports whether the job would miss its objective if it began now.
func (w *Waiting) late(now time.Time) bool { return now.Add(w.Needs).After(w.Objective) }

// Compare is the order in which jobs get room: first those that can end in time;
// among them those that have begun, since the results they have are worth nothing
// alone; then by the operator's priority, then by arrival. It is negative when w
// comes before o.
func (w *Waiting) Compare(o *Waiting, now time.Time) int {
	return cmp.Or(
		compareTrueFirst(!w.late(now), !o.late(now)),
		compareTrueFirst(w.Started, o.Started),
		cmp.Compare(w.Priority, o.Priority),
		w.Arrived.Compare(o.Arrived),
	)
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

// Refuse decides whether a job that has no room is refused now: when it has
// waited for its share of the objective, or when it would end too late after the
// work ahead of it. ahead is that work in core-seconds and rate is the number of
// cores that work it off.
func (w *Waiting) Refuse(now time.Time, ahead, rate float64) Refusal {
	if w.Started {
		return NotRefused
	}
	limit := time.Duration(patienceShare * float64(w.Objective.Sub(w.Arrived)))
	switch {
	case w.late(now.Add(waitFor(ahead, rate))):
		return ByForecast
	case now.Sub(w.Arrived) >= limit:
		return ByPatience
	}
	return NotRefused
}

// waitFor is how long work takes at a rate; 0 while the rate is not known.
func waitFor(work, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// RetryAfter is the time after which a refused caller finds room again: the work
// that waits before it, at the rate at which it is worked off. It is bounded, since
// load and capacity change within seconds.
func RetryAfter(ahead, rate float64) time.Duration {
	const lowest, highest = time.Second, 5 * time.Second
	return min(max(waitFor(ahead, rate), lowest), highest)
}

// Straggler is a run that is slower than expected.
type Straggler struct {
	// Remaining is the expected rest of its run time where it runs.
	Remaining time.Duration
	// Elsewhere is the expected run time on the best endpoint with room.
	Elsewhere time.Duration
	// Budget is the time left until the job misses its objective.
	Budget time.Duration
}

// moveGain is how many times sooner a run has to end elsewhere to be moved when its
// job is late in any case.
const moveGain = 3

// moveOverhead is the time that stopping and starting a run takes.
const moveOverhead = 30 * time.Millisecond

// Move decides whether a straggler is stopped and started elsewhere: when that
// makes the job end in time, or ends it much sooner.
func Move(s Straggler) bool {
	elsewhere := s.Elsewhere + moveOverhead
	if s.Remaining <= s.Budget {
		return false
	}
	return elsewhere <= s.Budget || s.Remaining > moveGain*elsewhere
}
