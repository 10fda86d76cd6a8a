package policy

import "time"

// RetryAfter is the time after which a refused caller finds room again: the work
// that waits before it, at the rate at which it is worked off. It is bounded, since
// load and capacity change within seconds.
func RetryAfter(ahead, rate float64) time.Duration {
	const lowest, highest = time.Second, 5 * time.Second
	return min(max(waitFor(ahead, rate), lowest), highest)
}
