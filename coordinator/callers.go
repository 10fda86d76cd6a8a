package coordinator

import (
	"slices"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// waiter is a request that waits for the end of a job. A caller that assumes its request is
// lost resends the job; both requests get the answer, since their order of arrival does not
// show which one the caller still waits for.
type waiter struct {
	answer chan outcome // buffered, so that sending the answer does not block
	// disconnected reports, without blocking, whether the caller no longer waits for the answer.
	disconnected func() bool
}

// outcome is the end of a job as reported to its caller.
type outcome struct {
	state job.State
	err   *errkind.Error
}

// answer sends the outcome of j to all its waiters.
func (j *activeJob) answer(o outcome) {
	for _, c := range j.waiters {
		c.answer <- o
	}
	j.waiters = nil
}

// removeWaiter removes the waiter with the given answer channel. It reports whether it was the
// last one.
func (j *activeJob) removeWaiter(answer chan outcome) (last bool) {
	n := len(j.waiters)
	j.waiters = slices.DeleteFunc(j.waiters, func(c waiter) bool { return c.answer == answer })
	return n > 0 && len(j.waiters) == 0
}

// allCallersDisconnected reports whether j is ephemeral and no caller waits for its answer any
// more. The caller may already have resent the job to another entry.
func (j *activeJob) allCallersDisconnected() bool {
	return j.stored == nil && !slices.ContainsFunc(j.waiters, func(c waiter) bool { return !c.disconnected() })
}
