package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
)

// anonymousBase is the first sequence number of ids that are given to
// submissions without an id. Such a submission has no record, so its id must
// never be accepted as the id of another submission.
const anonymousBase = 1 << 62

// issueMark is the resolution with which issue times are kept.
const issueMark = time.Second

// issuedIDs issues the ids of one home and knows when each was issued. It is
// safe for concurrent use.
type issuedIDs struct {
	home     ids.Incarnation
	lifetime time.Duration
	now      func() time.Time

	mu        sync.Mutex
	next      uint64 // sequence of the next id; sequences start at 1
	anonymous uint64
	// marks holds, in order, the first sequence issued in each period. An id is
	// dated at the end of its period, so it is never accepted for too short a time.
	marks []mark
}

type mark struct {
	first uint64
	at    time.Time
}

func newIssuedIDs(home ids.Incarnation, lifetime time.Duration, now func() time.Time) *issuedIDs {
	return &issuedIDs{home: home, lifetime: lifetime, now: now, next: 1, anonymous: anonymousBase}
}

// issue returns n new ids for callers.
func (i *issuedIDs) issue(n int) []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if len(i.marks) == 0 || now.Sub(i.marks[len(i.marks)-1].at) >= issueMark {
		i.dropOldMarks(now)
		i.marks = append(i.marks, mark{first: i.next, at: now})
	}
	list := make([]string, n)
	for k := range list {
		list[k] = issuedID(i.home, i.next)
		i.next++
	}
	return list
}

// dropOldMarks forgets periods whose ids have all expired. The first mark that
// is kept dates every older id as expired.
func (i *issuedIDs) dropOldMarks(now time.Time) {
	for len(i.marks) > 0 && now.Sub(i.marks[0].at) > i.lifetime+issueMark {
		i.marks = i.marks[1:]
	}
}

// issueAnonymous returns the id of a submission that came without one.
func (i *issuedIDs) issueAnonymous() ids.Submission {
	i.mu.Lock()
	defer i.mu.Unlock()
	raw := issuedID(i.home, i.anonymous)
	i.anonymous++
	return ids.Submission{Raw: raw, Home: i.home}
}

// expiry returns the time until which id is accepted. Its errors are of kind
// SubmissionStale, when the id has expired, and InvalidRequest, when it was
// never issued.
func (i *issuedIDs) expiry(id ids.Submission) (time.Time, error) {
	seq, err := sequence(id)
	if err != nil {
		return time.Time{}, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case seq >= anonymousBase && seq < i.anonymous:
		return time.Time{}, errkind.New(errkind.SubmissionStale, "id %q was given to a submission without an id, which cannot be resubmitted", id.Raw)
	case seq == 0 || seq >= i.next:
		return time.Time{}, invalid("id %q was not issued by this entry", id.Raw)
	}
	now := i.now()
	for k := len(i.marks) - 1; k >= 0; k-- {
		if i.marks[k].first > seq {
			continue
		}
		expires := i.marks[k].at.Add(issueMark + i.lifetime)
		if expires.After(now) {
			return expires, nil
		}
		break
	}
	return time.Time{}, errkind.New(errkind.SubmissionStale, "id %q was issued more than %s ago", id.Raw, i.lifetime)
}

func sequence(id ids.Submission) (uint64, error) {
	seq, err := strconv.ParseUint(id.Raw[strings.LastIndexByte(id.Raw, '.')+1:], 10, 64)
	if err != nil {
		return 0, invalid("id %q has no sequence number", id.Raw)
	}
	return seq, nil
}

func issuedID(home ids.Incarnation, seq uint64) string {
	return "@" + home.String() + "." + strconv.FormatUint(seq, 10)
}
