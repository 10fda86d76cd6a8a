package policy

// Shares of failed runs from which an endpoint gets only trial tasks, and below
// which it is trusted again.
const (
	probationFailedShare = 0.5
	recoveredFailedShare = 0.3
)

// OnProbation decides whether an endpoint gets only trial tasks, by the share of its last runs
// that failed. Between two shares it stays as it was.
func (p Policy) OnProbation(distrusted bool, failed float64) bool {
	if !p.Uses(Trust) {
		return false
	}
	if distrusted {
		return failed >= recoveredFailedShare
	}
	return failed >= probationFailedShare
}

// maxTrialDoublings bounds the trial tasks at once; by then an endpoint is trusted again.
const maxTrialDoublings = 5

// TrialTasks is the number of tasks that an endpoint without trust may run at once when the
// given number of them ended well in a row. It doubles with each: an endpoint that works again
// has its load back after a few run times, and one that fails on costs a task at a time.
func TrialTasks(passed int) int { return 1 << min(passed, maxTrialDoublings) }

// CountsAsTaskFailure reports whether a failure on an endpoint with this share of failed runs counts
// against the task. An endpoint that fails most of what it runs says nothing about it.
func (p Policy) CountsAsTaskFailure(failed float64) bool { return failed < recoveredFailedShare }
