package executor

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/wire"
)

// Guards against a run that outlives the orphan timeout because its agent extended the lease once more between the time at
// which it had to stop the run and its next tick, and failed then.
func TestLeaseOfLatestRunEndsBeforeOrphanTimeout(t *testing.T) {
	c := quicktest.New(t)
	timing := DefaultTiming(time.Second)
	lease := time.Duration((1 + maxClockDrift) * float64(timing.Lease))
	for name, stop := range map[string]time.Duration{
		"the entry hears nothing": timing.MaxOrderAge, "nothing is heard of the entry": timing.EntryTimeout,
	} {
		c.Check(stop+timing.BusyTickInterval+lease <= timing.OrphanTimeout(), quicktest.IsTrue, quicktest.Commentf("%s", name))
	}
}

// Guards against a run that outlives the orphan timeout because its agent, which was suspended, extended the lease before it
// stopped the run of an entry that it had not heard for too long, and failed again.
func TestLeaseOfOverdueRunIsNotExtendedPastOrphanTimeout(t *testing.T) {
	c := quicktest.New(t)
	timing := DefaultTiming(time.Second)
	clock := time.Hour
	x := New(Config{Timing: timing, Metrics: NewMetrics(prometheus.NewRegistry()), Now: func() time.Duration { return clock }})
	now := time.Now()
	e := &entry{lastReceived: now, echoesInHeartbeats: true, echoedClock: x.clockMillis()}
	x.entries["entry.1"] = e
	x.runs["t"] = &run{id: wire.Run{Task: "t", Number: 1}, entry: "entry.1"}
	c.Check(x.leaseExtension(now), quicktest.Equals, timing.Lease)
	for silent := time.Duration(0); silent < 2*timing.OrphanTimeout(); silent += 10 * time.Millisecond {
		for _, echoes := range []bool{true, false} {
			e.echoesInHeartbeats = echoes
			clock = time.Hour + silent
			d := x.leaseExtension(now.Add(silent))
			c.Check(d >= 0, quicktest.IsTrue)
			c.Check(d == 0 || silent+time.Duration((1+maxClockDrift)*float64(d)) <= timing.OrphanTimeout(), quicktest.IsTrue, quicktest.Commentf("%v after %v", d, silent))
		}
	}
	clock = time.Hour + timing.MaxOrderAge + 100*time.Millisecond
	e.lastReceived, e.echoesInHeartbeats = now, true // heard, but it hears nothing
	c.Check(x.leaseExtension(now), quicktest.Equals, timing.Lease-100*time.Millisecond+timing.BusyTickInterval)
}
