package executor

import "time"

// clockSlack is the share by which the endpoint's clock may be slow, from the
// platform's contract, rounded up.
const maxClockDrift = 0.025

// endpointClock maps this process's steady clock to the endpoint's clock.
type endpointClock struct {
	reading time.Duration
	readAt  time.Time
}

// set takes a reading that arrived at the given time. The reading is older than
// that, so that times computed from it err on the early side.
func (c *endpointClock) set(reading time.Duration, at time.Time) {
	if reading > 0 {
		c.reading, c.readAt = reading, at
	}
}

func (c *endpointClock) known() bool { return !c.readAt.IsZero() }

// after returns the endpoint's time d after now.
func (c *endpointClock) endpointTime(now time.Time, d time.Duration) time.Duration {
	return c.reading + now.Sub(c.readAt) + d
}

// passed returns a time by which the endpoint's clock has surely reached t, even
// if it is slow.
func (c *endpointClock) latestLocalTime(t time.Duration) time.Time {
	d := t - c.reading
	return c.readAt.Add(d + time.Duration(maxClockDrift*float64(max(d, 0))))
}
