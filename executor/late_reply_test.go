package executor

import (
	"context"
	"errors"
	"sync"
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

// lateRefusalEndpoint replies to its first start once released, as an endpoint that has ended.
type lateRefusalEndpoint struct {
	*hookedEndpoint
	first   sync.Once
	release chan struct{}
}

func (e *lateRefusalEndpoint) Start(ctx context.Context, o endpointapi.StartRequest) endpointapi.StartReply {
	late := false
	e.first.Do(func() { late = true })
	if late {
		<-e.release
		return endpointapi.StartReply{Result: endpointapi.StartEndpointDown, Err: &endpointapi.DownError{Err: errors.New("connection refused")}}
	}
	return e.hookedEndpoint.Start(ctx, o)
}

// Guards against runs of a restarted endpoint that are reported as lost because a start from before the restart was refused late.
func TestLateRefusalOfStartDoesNotLoseRuns(t *testing.T) {
	withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
		before, run := wire.Run{Task: "t.0.0.0", Number: 1}, wire.Run{Task: "u.0.0.0", Number: 1}
		late := &lateRefusalEndpoint{hookedEndpoint: e, release: make(chan struct{})}
		x.loop.Do(func() { x.cfg.Endpoint = late })
		e.setStop(func(context.Context, endpointapi.StopRequest) error { return context.DeadlineExceeded })
		sendOrder(x, false, before)
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
		e.startMillis = 2
		e.mu.Unlock()
		c.Assert(x.Announce(announcementOfLife(2)), quicktest.IsTrue)
		sendOrder(x, false, run)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Assert(e.runs()[run], quicktest.IsTrue)
		close(late.release)
		sendHeartbeats(x, 100*time.Millisecond)
		c.Check(entry.state(run), quicktest.Not(quicktest.Equals), wire.RunLost)
	})
}
