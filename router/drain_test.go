package router

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// Guards against jobs that are refused despite free capacity while all entries drain: each still
// accepted jobs of callers, but none placed them. In a rolling restart of six entries 0.5 s
// apart, 190 of 256 jobs were refused.
func TestJobsArePlacedWhileAllEntriesDrain(t *testing.T) {
	for _, n := range []int{2, 4, 6, 12} {
		t.Run(fmt.Sprintf("%d entries", n), func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
				numPlacement := min(n, 2)
				var nodes []*testEntry
				for i := range n {
					capacity := uint64(0)
					if i < numPlacement {
						capacity = 1000
					}
					nodes = append(nodes, newTestEntry(ctx, capacity))
				}
				for i, from := range nodes {
					for k, to := range nodes[:numPlacement] {
						if i != k {
							connect(ctx, from, to, fmt.Sprint("entry-", k))
						}
					}
				}
				synctest.Wait()
				for _, n := range nodes {
					n.StartDraining()
				}
				synctest.Wait()
				for i, n := range nodes {
					state, err := n.Submit(ctx, submission("j", 10*time.Millisecond))
					c.Check(err == nil, qt.IsTrue, qt.Commentf("entry %d: %v", i, err))
					c.Check(state, qt.Equals, job.Completed)
					c.Check(n.Ready(), qt.Equals, i >= numPlacement || numPlacement > 1)
				}
			})
		})
	}
}

// Guards against jobs that are lost with a stopping entry. At the end of its drain the entry
// refuses new jobs, reports that they have not run, and waits for those that it runs.
func TestClosedEntryRefusesNewJobsAndFinishesOthers(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		synctest.Wait()
		var wg sync.WaitGroup
		wg.Go(func() {
			state, err := front.Submit(ctx, submission("j", 300*time.Millisecond))
			c.Check(err == nil, qt.IsTrue)
			c.Check(state, qt.Equals, job.Completed)
		})
		time.Sleep(10 * time.Millisecond)
		begun := time.Now()
		a.StartDraining()
		a.Close(ctx)
		c.Check(time.Since(begun) >= 280*time.Millisecond, qt.IsTrue, qt.Commentf("closed after %v", time.Since(begun)))
		synctest.Wait()
		_, err := front.Submit(ctx, submission("k", 10*time.Millisecond))
		c.Assert(err != nil, qt.IsTrue)
		c.Check(err.Answer().Outcome, qt.Equals, errkind.NotRun)
		c.Check(a.runner.count(), qt.Equals, 1)
		wg.Wait()
	})
}
