package executor

import "time"

// maxClockDrift is the fraction by which the endpoint's clock may run slow. It is the bound of
// the platform's contract, rounded up.
const maxClockDrift = 0.025

// endpointClock maps this process's monotonic clock to the endpoint's clock.
type endpointClock struct {
	reading time.Duration
	readAt  time.Time
	// calledAt is when the call was sent whose reply had the reading.
	calledAt time.Time
}

// set stores a reading that arrived at the given time. The reading was taken earlier, so that
// times computed from it err on the early side.
func (c *endpointClock) set(reading time.Duration, at time.Time) {
	if reading > 0 {
		c.reading, c.readAt = reading, at
	}
}

func (c *endpointClock) known() bool { return !c.readAt.IsZero() }

// endpointTime returns the time on the endpoint's clock at d after now.
func (c *endpointClock) endpointTime(now time.Time, d time.Duration) time.Duration {
	return c.reading + now.Sub(c.readAt) + d
}

// latestEndpointTime returns a time that the endpoint's clock has not passed, although the reply
// with the reading may have waited in a buffer.
func (c *endpointClock) latestEndpointTime(now time.Time) time.Duration {
	return c.reading + now.Sub(c.calledAt)
}

// latestLocalTime returns a time by which the endpoint's clock has reached t even if it runs
// slow.
func (c *endpointClock) latestLocalTime(t time.Duration) time.Time {
	d := t - c.reading
	return c.readAt.Add(d + time.Duration(maxClockDrift*float64(max(d, 0))))
}
