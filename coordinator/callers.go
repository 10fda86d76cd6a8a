package coordinator

import (
	"slices"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// waiter is a request that waits for the end of a job. A waiter that believes a request
// lost sends the job again; both requests get the answer, since the order in which they
// arrive does not tell which of them is still waited for.
type waiter struct {
	answer chan outcome // with room for the answer
	// gone reports, without waiting, whether nobody waits for the answer any more.
	gone func() bool
}

// outcome is the end of a job as its caller learns it.
type outcome struct {
	state job.State
	err   *errkind.Error
}

// answer sends the outcome of j to the callers that wait for it.
func (j *activeJob) answer(o outcome) {
	for _, c := range j.waiters {
		c.answer <- o
	}
	j.waiters = nil
}

// removeWaiter takes note that a caller has gone. It reports whether it was the last one.
func (j *activeJob) removeWaiter(answer chan outcome) (last bool) {
	n := len(j.waiters)
	j.waiters = slices.DeleteFunc(j.waiters, func(c waiter) bool { return c.answer == answer })
	return n > 0 && len(j.waiters) == 0
}

// allCallersGone reports whether nobody waits for the answer to an ephemeral job any more. Its
// caller may have sent it again already, to another entry.
func (j *activeJob) allCallersGone() bool {
	return j.stored == nil && !slices.ContainsFunc(j.waiters, func(c waiter) bool { return !c.gone() })
}
