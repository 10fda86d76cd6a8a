// Package limit implements overload protection and fault isolation: team quotas,
// deadline-based admission, retry budgets, ejection of failing endpoints and fair
// queueing between teams. Its types are not safe for concurrent use; the caller
// must serialise access.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"oriolerelay/errkind"
	"oriolerelay/ticket"
)

// minBurst is the number of tasks of the largest job. A bucket of this size admits such a
// job even at a low rate; later jobs then wait, so that the rate holds on average.
const minBurst = 150

// Quotas enforces this entry's share of each team's quota. A quota is divided by
// the number of entries, because entries share no counters.
type Quotas struct {
	teams map[string]*teamUsage
}

type teamUsage struct {
	inFlight int
	starts   *rate.Limiter
}

// NewQuotas returns quotas without any use.
func NewQuotas() *Quotas { return &Quotas{teams: make(map[string]*teamUsage)} }

// Admit counts n tasks of team against its quota, or returns a QuotaExceeded error
// and changes nothing. A limit of zero in rules means no limit. The caller must
// call Release when admitted tasks end.
func (q *Quotas) Admit(team string, rules ticket.Team, entries, n int, now time.Time) *errkind.Error {
	u := q.teams[team]
	if u == nil {
		u = &teamUsage{}
		q.teams[team] = u
	}
	if share := inFlightShare(rules, entries); share > 0 && u.inFlight+n > share {
		return errkind.New(errkind.QuotaExceeded, "team %s has %d tasks in flight at this entry, the limit is %d, and the job adds %d",
			team, u.inFlight, share, n)
	}
	if wait := u.reserveStarts(rules, entries, n, now); wait > 0 {
		err := errkind.New(errkind.QuotaExceeded, "team %s exceeds the limit of %.4g task starts per second at this entry",
			team, rules.StartsPerSecond/float64(max(entries, 1)))
		err.RetryAfter = wait
		return err
	}
	u.inFlight += n
	return nil
}

// Release ends n admitted tasks of team.
func (q *Quotas) Release(team string, n int) {
	if u := q.teams[team]; u != nil {
		u.inFlight = max(u.inFlight-n, 0)
	}
}

// InFlight returns the number of admitted tasks of team that were not released.
func (q *Quotas) InFlight(team string) int {
	if u := q.teams[team]; u != nil {
		return u.inFlight
	}
	return 0
}

// inFlightShare returns the entry's share of the limit of tasks in flight. It rounds
// up, so that the share of a small quota is never zero, which means no limit.
func inFlightShare(rules ticket.Team, entries int) int {
	entries = max(entries, 1)
	return (rules.MaxInFlight + entries - 1) / entries
}

// reserveStarts takes n tokens from the token bucket, or returns the time until they
// are available and takes none.
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
