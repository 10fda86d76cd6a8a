package executor

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/wire"
)

// Guards against two concurrent runs of a task: the runs of a restarted endpoint were reported as
// lost because the refused connection of an observation from before the restart was handled late.
func TestLateErrorOfEarlierIncarnationDoesNotLoseRuns(t *testing.T) {
	withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
		before, run := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "u.0.0.0", Number: 1}
		release := make(chan struct{})
		var held atomic.Bool
		e.setObserve(func(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
			if o.LeaseEnd > 0 && held.CompareAndSwap(false, true) { // not the query about the announced incarnation
				<-release
				return endpointapi.Observation{}, &endpointapi.DownError{Err: errors.New("connection refused")}
			}
			return e.fakeEndpoint.Observe(ctx, o)
		})
		sendOrder(x, false, before)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Assert(held.Load(), quicktest.IsTrue)
		e.mu.Lock()
		e.startMillis, e.running = 2, make(map[wire.Run]bool)
		e.mu.Unlock()
		c.Assert(x.Announce(announcementOfLife(2)), quicktest.IsTrue)
		sendHeartbeats(x, 100*time.Millisecond)
		sendOrder(x, false, run)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Assert(e.runs()[run], quicktest.IsTrue)
		close(release)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
	})
}
