package policy

import "time"

const (
	// minRetryAfter is the shortest non-zero value of the Retry-After header, which has a
	// resolution of one second.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the time after which a refused caller retries, since load and
	// capacity change within seconds.
	maxRetryAfter = 5 * time.Second
)

// RetryAfter returns the time after which a refused caller should retry: when enough capacity
// has become free for the given cores, the demand of the jobs ahead and its own.
func RetryAfter(cores float64, r Releases) time.Duration {
	wait, _ := r.TimeUntilFree(cores)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
