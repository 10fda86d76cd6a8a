package policy

// Shares of failed runs from which an endpoint is put on probation, and below which its
// probation ends.
const (
	probationFailedShare = 0.5
	recoveredFailedShare = 0.3
)

// OnProbation reports whether an endpoint gets only trial tasks, by the share of its latest runs
// that failed. Between the two thresholds its current state does not change.
func (p Policy) OnProbation(current bool, failedShare float64) bool {
	if !p.Uses(Trust) {
		return false
	}
	if current {
		return failedShare >= recoveredFailedShare
	}
	return failedShare >= probationFailedShare
}

// maxTrialDoublings limits the number of concurrent trial tasks. The probation of an endpoint
// that works has ended before it reaches this limit.
const maxTrialDoublings = 5

// TrialTasks returns the number of concurrent tasks allowed on an endpoint on probation after
// the given number of consecutive successes. It doubles with each success, so that a recovered
// endpoint regains its load within a few run times, while one that keeps failing wastes only
// one task at a time.
func TrialTasks(successes int) int { return 1 << min(successes, maxTrialDoublings) }

// CountsAsTaskFailure reports whether a failure on an endpoint with this share of failed runs
// counts against the task. A failure on an endpoint that fails most runs says nothing about
// the task.
func (p Policy) CountsAsTaskFailure(failedShare float64) bool {
	return failedShare < recoveredFailedShare
}
