package policy

// Shares of failed runs from which an endpoint gets only trial tasks, and below
// which it is trusted again.
const (
	failingShare = 0.5
	trustedShare = 0.3
)

// Distrust decides whether an endpoint gets only trial tasks, by the share of its last runs
// that failed. Between two shares it stays as it was.
func (p Policy) Distrust(distrusted bool, failed float64) bool {
	if !p.Uses(Trust) {
		return false
	}
	if distrusted {
		return failed >= trustedShare
	}
	return failed >= failingShare
}

// Blames reports whether a failure on an endpoint with this share of failed runs counts
// against the task. An endpoint that fails most of what it runs says nothing about it.
func (p Policy) Blames(failed float64) bool { return failed < trustedShare }
