package emulator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/job"
)

// Guards against stored jobs that never start while the store responds late, because each owner
// loses its lease before a renewal is answered.
func TestStoredJobsRunWhileStoreIsSlow(t *testing.T) {
	for _, delay := range []time.Duration{100, 240, 320, 450} {
		delay *= time.Millisecond
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			withStoredSystem(t, 4, func(ctx context.Context, c *quicktest.C, s *System) {
				s.Store.SetFaults(StoreFaults{Delay: delay})
				var jobs []job.Submission
				for i := range 8 {
					j := storedJob(0x510000+i, 2, 400*time.Millisecond)
					for s.Ledger(i%2).Accept(ctx, j) != nil {
						time.Sleep(200 * time.Millisecond)
					}
					jobs = append(jobs, j)
				}
				time.Sleep(12 * time.Second)
				for _, j := range jobs {
					c.Check(s.firstStart(j.ID).IsZero(), quicktest.IsFalse, quicktest.Commentf("job %s has not started", j.ID))
				}
				s.Store.SetFaults(StoreFaults{})
				time.Sleep(12 * time.Second)
				c.Check(s.CheckStored(jobs), quicktest.HasLen, 0)
			})
		})
	}
}

// Guards against an owner that goes on with its runs while the next owner starts the same tasks,
// because its renewals wait for a store that was slow and now does not respond at all.
func TestSlowStoreThatFailsHasOneOwner(t *testing.T) {
	for _, delay := range []time.Duration{240, 450, 800} {
		delay *= time.Millisecond
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			withStoredSystem(t, 4, func(ctx context.Context, c *quicktest.C, s *System) {
				var jobs []job.Submission
				for i := range 12 {
					j := storedJob(0x520000+i, 2, 5*time.Second)
					c.Assert(s.Ledger(i%2).Accept(ctx, j) == nil, quicktest.IsTrue)
					jobs = append(jobs, j)
				}
				s.Store.SetFaults(StoreFaults{Delay: delay})
				time.Sleep(3 * time.Second)
				s.Store.SetFaults(StoreFaults{Unresponsive: true})
				time.Sleep(1600 * time.Millisecond)
				s.Store.Rebalance()
				s.Store.SetFaults(StoreFaults{Delay: delay})
				time.Sleep(10 * time.Second)
				s.Store.SetFaults(StoreFaults{})
				time.Sleep(20 * time.Second)
				c.Check(s.CheckStored(jobs), quicktest.HasLen, 0)
			})
		})
	}
}
