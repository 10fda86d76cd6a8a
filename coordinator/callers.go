package coordinator

import (
	"slices"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// caller is a request that waits for the end of a job. A caller that believes a request
// lost sends the job again; both requests get the answer, since the order in which they
// arrive does not tell which of them is still waited for.
type caller struct {
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
func (j *run) answer(o outcome) {
	for _, c := range j.callers {
		c.answer <- o
	}
	j.callers = nil
}

// leave takes note that a caller has gone. It reports whether it was the last one.
func (j *run) leave(answer chan outcome) (last bool) {
	n := len(j.callers)
	j.callers = slices.DeleteFunc(j.callers, func(c caller) bool { return c.answer == answer })
	return n > 0 && len(j.callers) == 0
}

// callersGone reports whether nobody waits for the answer to an ephemeral job any more. Its
// caller may have sent it again already, to another entry.
func (j *run) callersGone() bool {
	return j.stored == nil && !slices.ContainsFunc(j.callers, func(c caller) bool { return !c.gone() })
}
