package entry

import "time"

// steadyClock returns wall-clock times that never go back. A clock that went
// back would accept a submission again after its record has expired.
type monotonicClock struct{ start time.Time }

func newMonotonicClock() monotonicClock { return monotonicClock{start: time.Now()} }

// now returns the wall time at the start plus the monotonic time since then.
// Round strips the monotonic part, so that later comparisons use the result.
func (c monotonicClock) now() time.Time {
	return c.start.Add(time.Since(c.start)).Round(0)
}
