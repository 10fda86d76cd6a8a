package router

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// newSharingEntries returns connected entries that all place jobs at the same endpoints.
func newSharingEntries(ctx context.Context, n int) (entries []*testEntry) {
	name := func(i int) string { return fmt.Sprint("entry-", i) }
	for i := range n {
		e := &testEntry{runner: &fakeRunner{capacity: 1000}}
		e.Router = New(Config{Local: e.runner, Self: name(i), Region: "r", Metrics: NewMetrics(prometheus.NewRegistry())})
		e.SetSharedAgents(true)
		e.SetEnabled(true)
		go e.Run(ctx)
		entries = append(entries, e)
	}
	for i, from := range entries {
		for k, to := range entries {
			if i != k {
				connect(ctx, from, to, name(k))
			}
		}
	}
	return entries
}

// Guards against copies of a job that run at two entries which share the endpoints and report different loads.
func TestCopiesOfJobMeetWhereAgentsAreShared(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, _ *testEntry) {
		entries := newSharingEntries(ctx, 3)
		entries[1].runner.setCapacity(700)
		time.Sleep(100 * time.Millisecond)
		const jobs = 60
		for i := range jobs {
			before := counts(entries)
			for _, e := range entries {
				state, err := e.Submit(ctx, submission(fmt.Sprint("j", i), time.Millisecond))
				c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(state, qt.Equals, job.Completed)
			}
			met := 0
			for k, n := range counts(entries) {
				if n-before[k] == len(entries) {
					met++
				}
			}
			c.Check(met, qt.Equals, 1, qt.Commentf("job %d: %v, %v", i, before, counts(entries)))
		}
		for _, n := range counts(entries) {
			c.Check(n > jobs/2, qt.IsTrue, qt.Commentf("%v", counts(entries)))
		}
	})
}

func counts(entries []*testEntry) (out []int) {
	for _, e := range entries {
		out = append(out, e.runner.count())
	}
	return out
}

// Guards against a copy of a job that runs elsewhere after a refusal, while the next copy runs at the entry that refused.
func TestRefusedJobStaysWhereAgentsAreShared(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, _ *testEntry) {
		entries := newSharingEntries(ctx, 2)
		synctest.Wait()
		entries[1].runner.full = true
		refused := 0
		for i := range 20 {
			if _, err := entries[0].Submit(ctx, submission(fmt.Sprint("j", i), time.Millisecond)); err != nil {
				c.Check(err.Kind, qt.Equals, errkind.QueueFull)
				refused++
			}
		}
		c.Check(refused, qt.Equals, entries[1].runner.count())
		c.Check(refused > 0 && refused < 20, qt.IsTrue)
	})
}

// Guards against refused jobs while one of the entries that share the endpoints stops.
func TestJobOfClosedEntryRunsWhereAgentsAreShared(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, _ *testEntry) {
		entries := newSharingEntries(ctx, 2)
		synctest.Wait()
		entries[1].mu.Lock()
		entries[1].closed = true // before its status arrives at the other one
		entries[1].mu.Unlock()
		for i := range 20 {
			state, err := entries[0].Submit(ctx, submission(fmt.Sprint("j", i), time.Millisecond))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			c.Check(state, qt.Equals, job.Completed)
		}
		c.Check(counts(entries), qt.DeepEquals, []int{20, 0})
	})
}
