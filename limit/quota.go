// Package limit holds the rules that protect the system and its callers from
// overload and from failing endpoints: team quotas, admission by deadline, the
// retry budget, endpoint ejection and fair sharing between teams. Its types are
// not safe for concurrent use; their owner serialises the calls.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"oriolerelay/errkind"
	"oriolerelay/ticket"
)

// minBurst lets a job of the largest size through a low rate: the rate is kept
// on average, and the following jobs wait.
const minBurst = 150

// Quotas enforces the share of this entry in each team's quota. A quota is
// divided by the number of entries, since entries share no counters.
type Quotas struct {
	teams map[string]*teamUsage
}

type teamUsage struct {
	inFlight int
	starts   *rate.Limiter
}

// NewQuotas returns empty counters.
func NewQuotas() *Quotas { return &Quotas{teams: make(map[string]*teamUsage)} }

// Admit takes n tasks of team into account or returns a QuotaExceeded error
// and changes nothing. A zero limit in rules means none. Release must be called
// for admitted tasks.
func (q *Quotas) Admit(team string, rules ticket.Team, entries, n int, now time.Time) *errkind.Error {
	u := q.teams[team]
	if u == nil {
		u = &teamUsage{}
		q.teams[team] = u
	}
	if share := inFlightShare(rules, entries); share > 0 && u.inFlight+n > share {
		return errkind.New(errkind.QuotaExceeded, "team %s has %d tasks in flight and may have %d at this entry, the job has %d",
			team, u.inFlight, share, n)
	}
	if wait := u.reserveStarts(rules, entries, n, now); wait > 0 {
		err := errkind.New(errkind.QuotaExceeded, "team %s may start %.4g tasks per second at this entry",
			team, rules.StartsPerSecond/float64(max(entries, 1)))
		err.RetryAfter = wait
		return err
	}
	u.inFlight += n
	return nil
}

// Release returns n admitted tasks of team.
func (q *Quotas) Release(team string, n int) {
	if u := q.teams[team]; u != nil {
		u.inFlight = max(u.inFlight-n, 0)
	}
}

// InFlight returns the admitted tasks of team.
func (q *Quotas) InFlight(team string) int {
	if u := q.teams[team]; u != nil {
		return u.inFlight
	}
	return 0
}

// inFlightShare rounds up, so that a small quota never becomes zero.
func inFlightShare(rules ticket.Team, entries int) int {
	entries = max(entries, 1)
	return (rules.MaxInFlight + entries - 1) / entries
}

// reserveStarts takes n starts from the token bucket, or returns how long to
// wait for them and takes nothing.
func (u *teamUsage) reserveStarts(rules ticket.Team, entries, n int, now time.Time) time.Duration {
	if rules.StartsPerSecond <= 0 {
		u.starts = nil
		return 0
	}
	perSecond := rate.Limit(rules.StartsPerSecond / float64(max(entries, 1)))
	burst := max(minBurst, int(math.Ceil(float64(perSecond))))
	switch {
	case u.starts == nil:
		u.starts = rate.NewLimiter(perSecond, burst)
	case u.starts.Limit() != perSecond:
		u.starts.SetLimitAt(now, perSecond)
		u.starts.SetBurstAt(now, burst)
	}
	r := u.starts.ReserveN(now, n)
	if !r.OK() {
		return time.Minute
	}
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
