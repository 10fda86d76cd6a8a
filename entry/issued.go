package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
)

// firstAnonymousSequence is the first sequence number of ids that are assigned to
// submissions without an id. Such a submission has no record, so its id must never
// be accepted as the id of another submission.
const firstAnonymousSequence = 1 << 62

// issuePeriodLength is the resolution of the recorded issue times.
const issuePeriodLength = time.Second

// idIssuer issues the ids of one home and tracks when each was issued. It is safe
// for concurrent use.
type idIssuer struct {
	home     ids.Incarnation
	lifetime time.Duration
	now      func() time.Time

	mu            sync.Mutex
	nextSequence  uint64 // sequence number of the next id; sequence numbers start at 1
	nextAnonymous uint64
	// periods holds, in order, the first sequence number issued in each period. An id
	// counts as issued at the end of its period, so that it does not expire early.
	periods []issuePeriod
}

type issuePeriod struct {
	firstSequence uint64
	start         time.Time
}

func newIDIssuer(home ids.Incarnation, lifetime time.Duration, now func() time.Time) *idIssuer {
	return &idIssuer{home: home, lifetime: lifetime, now: now, nextSequence: 1, nextAnonymous: firstAnonymousSequence}
}

// issue returns n new ids for callers.
func (i *idIssuer) issue(n int) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if len(i.periods) == 0 || now.Sub(i.periods[len(i.periods)-1].start) >= issuePeriodLength {
		i.dropExpiredPeriods(now)
		i.periods = append(i.periods, issuePeriod{firstSequence: i.nextSequence, start: now})
	}
	list := make([]string, n)
	for k := range list {
		list[k] = formatIssuedID(i.home, i.nextSequence)
		i.nextSequence++
	}
	return list
}

// dropExpiredPeriods removes the periods whose ids have all expired. An id before
// the first remaining period is treated as expired.
func (i *idIssuer) dropExpiredPeriods(now time.Time) {
	for len(i.periods) > 0 && now.Sub(i.periods[0].start) > i.lifetime+issuePeriodLength {
		i.periods = i.periods[1:]
	}
}

// issueAnonymous returns a new id for a submission that has none.
func (i *idIssuer) issueAnonymous() ids.Submission {
	i.mu.Lock()
	defer i.mu.Unlock()
	raw := formatIssuedID(i.home, i.nextAnonymous)
	i.nextAnonymous++
	return ids.Submission{Raw: raw, Home: i.home}
}

// expiry returns the time until which id is accepted. Its errors are of kind
// SubmissionStale if the id has expired and InvalidRequest if it was never issued.
func (i *idIssuer) expiry(id ids.Submission) (time.Time, error) {
	seq, err := parseSequence(id)
	if err != nil {
		return time.Time{}, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case seq >= firstAnonymousSequence && seq < i.nextAnonymous:
		return time.Time{}, errkind.New(errkind.SubmissionStale, "id %q was assigned to a submission without an id, which cannot be resubmitted", id.Raw)
	case seq == 0 || seq >= i.nextSequence:
		return time.Time{}, invalid("id %q was not issued by this entry", id.Raw)
	}
	now := i.now()
	for k := len(i.periods) - 1; k >= 0; k-- {
		if i.periods[k].firstSequence > seq {
			continue
		}
		expires := i.periods[k].start.Add(issuePeriodLength + i.lifetime)
		if expires.After(now) {
			return expires, nil
		}
		break
	}
	return time.Time{}, errkind.New(errkind.SubmissionStale, "id %q was issued more than %s ago", id.Raw, i.lifetime)
}

func parseSequence(id ids.Submission) (uint64, error) {
	seq, err := strconv.ParseUint(id.Raw[strings.LastIndexByte(id.Raw, '.')+1:], 10, 64)
	if err != nil {
		return 0, invalid("id %q has no sequence number", id.Raw)
	}
	return seq, nil
}

func formatIssuedID(home ids.Incarnation, seq uint64) string {
	return "@" + home.String() + "." + strconv.FormatUint(seq, 10)
}
