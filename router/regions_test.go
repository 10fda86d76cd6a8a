package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/job"
)

// Guards against copies of a job that run at two entries which share the endpoints and are in two regions.
func TestCopiesOfJobMeetAcrossRegionsWhereAgentsAreShared(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, _ *testEntry) {
		entries := newSharingEntries(ctx, 2)
		time.Sleep(100 * time.Millisecond)
		for _, e := range entries {
			e.mu.Lock()
			for _, p := range e.placementEntries {
				p.otherRegion = true // as Connected sets it for a peer in another region
			}
			e.mu.Unlock()
		}
		met := 0
		for i := range 20 {
			before := counts(entries)
			for _, e := range entries {
				state, err := e.Submit(ctx, submission(fmt.Sprint("j", i), time.Millisecond))
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(state, qt.Equals, job.Completed)
			}
			for k, n := range counts(entries) {
				if n-before[k] == len(entries) {
					met++
				}
			}
		}
		c.Check(met, qt.Equals, 20)
	})
}
