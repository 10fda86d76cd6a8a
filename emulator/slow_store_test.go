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
