package entry

import "time"

// steadyClock returns wall-clock times that never go back. A clock that went
// back would accept a submission again after its record has expired.
type steadyClock struct{ start time.Time }

func newSteadyClock() steadyClock { return steadyClock{start: time.Now()} }

// now returns the wall time at the start plus the monotonic time since then.
// Round strips the monotonic part, so that later comparisons use the result.
func (c steadyClock) now() time.Time {
	return c.start.Add(time.Since(c.start)).Round(0)
}
