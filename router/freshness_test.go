package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// resubmitDelay is the time after a 502 after which callers send a job again.
const resubmitDelay = 1300 * time.Millisecond

// Guards against a job that a placement entry takes after a freeze, when the caller has sent it again elsewhere.
func TestPlaceDelayedByFreezeIsNotRun(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a, b := newTestEntry(ctx, 1000), newTestEntry(ctx, 0)
		link := connect(ctx, front, a, "a")
		connect(ctx, front, b, "b")
		time.Sleep(time.Second)
		link.hold()
		_, err := front.Submit(ctx, submission("j", 3*time.Second))
		c.Assert(err != nil, qt.IsTrue)
		c.Check(err.Kind, qt.Equals, errkind.HomeLost)
		b.runner.setCapacity(1000)
		time.Sleep(resubmitDelay)
		resent := make(chan job.State, 1)
		go func() {
			state, _ := front.Submit(ctx, submission("j", 3*time.Second))
			resent <- state
		}()
		time.Sleep(500 * time.Millisecond)
		c.Check(b.runner.count(), qt.Equals, 1)
		link.release()
		c.Check(<-resent, qt.Equals, job.Completed)
		c.Check(a.runner.count(), qt.Equals, 0)
	})
}

// Guards against tasks that a placement entry orders after a freeze for a forwarder that has given the job up.
func TestJobOfStaleForwarderCountsAsAbandoned(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		link := connect(ctx, front, a, "a")
		synctest.Wait()
		go front.Submit(ctx, submission("j", 5*time.Second))
		time.Sleep(time.Second)
		c.Assert(a.runner.count(), qt.Equals, 1)
		abandoned := a.runner.submitted[0].CallerDisconnected
		c.Assert(abandoned != nil, qt.IsTrue)
		c.Check(abandoned(), qt.IsFalse)
		link.hold()
		// The checks of a frozen process do not run, so only the function is asked.
		time.Sleep(PeerTimeout - heartbeatInterval)
		c.Check(abandoned(), qt.IsFalse)
		time.Sleep(MaxForwarderAge)
		c.Check(abandoned(), qt.IsTrue)
	})
}

// Guards against a forwarder that is dropped because results of its jobs take the place of statuses.
func TestSteadyForwarderIsNotStale(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		a := newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		synctest.Wait()
		for range 40 {
			_, err := front.Submit(ctx, submission("j", maxLoadInterval-checkInterval))
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
		}
	})
}

// Guards against refusals of jobs that an entry of an older version forwards.
func TestForwarderWithoutEchoIsServed(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C, front *testEntry) {
		front.stripEcho = true
		a := newTestEntry(ctx, 1000)
		connect(ctx, front, a, "a")
		time.Sleep(time.Second)
		state, err := front.Submit(ctx, submission("j", 2*time.Second))
		c.Check(err == nil, qt.IsTrue)
		c.Check(state, qt.Equals, job.Completed)
	})
}
