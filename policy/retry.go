package policy

import "time"

// Bounds of the time after which a refused caller may come back. Load and capacity change
// within seconds.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
)

// RetryAfter is the time after which a refused caller finds room: when the jobs that wait,
// and its own, have found it.
func RetryAfter(cores float64, r Releases) time.Duration {
	wait, _ := r.Until(cores)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
