package entry

import "time"

// monotonicClock returns wall-clock times that never decrease. If the clock
// stepped back, a submission could be accepted again after its record expired.
type monotonicClock struct{ start time.Time }

func newMonotonicClock() monotonicClock { return monotonicClock{start: time.Now()} }

// now returns the wall-clock time at start plus the monotonic time elapsed since
// then. Round strips the monotonic reading of the result, so that comparisons use
// its wall-clock time.
func (c monotonicClock) now() time.Time {
	return c.start.Add(time.Since(c.start)).Round(0)
}
