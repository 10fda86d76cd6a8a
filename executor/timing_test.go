package executor

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
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
