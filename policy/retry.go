package policy

import "time"

const (
	// minRetryAfter is the shortest time that the Retry-After header can tell, which has
	// whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the time after which a refused caller may come back: load and
	// capacity change within seconds.
	maxRetryAfter = 5 * time.Second
)

// RetryAfter is the time after which a refused caller finds room: when the jobs that wait,
// and its own, have found it.
func RetryAfter(cores float64, r Releases) time.Duration {
	wait, _ := r.TimeUntilFree(cores)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
