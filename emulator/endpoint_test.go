package emulator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// Guards the check for tasks that run again: an end counts as acknowledged only if the
// acknowledgement reached the endpoint before its lease expired.
func TestEndIsAcknowledgedBeforeLeaseExpiry(t *testing.T) {
	for name, tc := range map[string]struct {
		pause        time.Duration
		acknowledged bool
	}{
		"in time":                 {100 * time.Millisecond, true},
		"after the lease expired": {900 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				e := NewEndpoint("endpoint", wire.Resources{MilliCores: 4000}, 1)
				clock := func() time.Duration {
					observation, err := e.Observe(t.Context(), endpointapi.ObserveRequest{})
					c.Assert(err, quicktest.IsNil)
					return observation.Clock
				}
				run := wire.Run{Task: "t.0.0.0", Number: 1}
				reply := e.Start(t.Context(), endpointapi.StartRequest{Run: run, LeaseEnd: clock() + 700*time.Millisecond})
				c.Assert(reply.Result, quicktest.Equals, endpointapi.StartAccepted)
				time.Sleep(150 * time.Millisecond) // the run takes 100 ms
				time.Sleep(tc.pause)
				_, err := e.Observe(t.Context(), endpointapi.ObserveRequest{LeaseEnd: clock() + 700*time.Millisecond, AckedSequence: 1})
				c.Assert(err, quicktest.IsNil)
				c.Assert(e.History(), quicktest.HasLen, 1)
				c.Check(e.History()[0].EndReason, quicktest.Equals, endpointapi.EndDone)
				c.Check(e.History()[0].Acknowledged, quicktest.Equals, tc.acknowledged)
			})
		})
	}
}

// Guards against an emulated endpoint that lets an unanswered call take effect after a call with a
// higher fencing token, or that remembers tokens of an earlier incarnation.
func TestFencedCallHasNoEffect(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		e := NewEndpoint("endpoint", wire.Resources{MilliCores: 4000}, 1)
		start := func(task string, token endpointapi.FencingToken) endpointapi.StartResult {
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
			defer cancel()
			return e.Start(ctx, endpointapi.StartRequest{
				Instance: "endpoint-1", Run: wire.Run{Task: task, Number: 1}, LeaseEnd: e.clockLocked() + 700*time.Millisecond, FencingToken: token,
			}).Result
		}
		e.SetFaults(Faults{DelayStarts: 2, Delay: 3 * time.Second, LateGrants: true})
		c.Check(start("fenced.0.0.0", 1), quicktest.Equals, endpointapi.StartUnknown)
		c.Check(start("late.0.0.0", 3), quicktest.Equals, endpointapi.StartUnknown)
		_, err := e.Observe(t.Context(), endpointapi.ObserveRequest{FencingToken: 2})
		c.Check(err, quicktest.IsNil)
		time.Sleep(4 * time.Second)
		c.Assert(e.History(), quicktest.HasLen, 1)
		c.Check(e.History()[0].ID.Task, quicktest.Equals, "late.0.0.0")
		c.Check(start("low.0.0.0", 2), quicktest.Equals, endpointapi.StartFenced)
		var fenced *endpointapi.FencedError
		c.Check(errors.As(e.Stop(t.Context(), endpointapi.StopRequest{FencingToken: 2}), &fenced), quicktest.IsTrue)
		_, err = e.Observe(t.Context(), endpointapi.ObserveRequest{FencingToken: 2})
		c.Check(errors.As(err, &fenced), quicktest.IsTrue)
		e.CrashKeepingID()
		c.Check(start("reborn.0.0.0", 2), quicktest.Equals, endpointapi.StartAccepted)
	})
}

// Guards against an emulated endpoint whose late calls have no lease: one that takes effect seconds
// later extends the lease of the runs from then on, as the platform's endpoints do.
func TestLateGrantExtendsLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		e := NewEndpoint("endpoint", wire.Resources{MilliCores: 4000}, 1)
		e.Work = func(string, string) (time.Duration, wire.Resources) {
			return time.Hour, wire.Resources{MilliCores: 1000}
		}
		e.SetFaults(Faults{LossRate: 1, Delay: 3 * time.Second, LateGrants: true})
		ctx, cancel := context.WithTimeout(t.Context(), 40*time.Millisecond)
		defer cancel()
		_, err := e.Observe(ctx, endpointapi.ObserveRequest{Instance: "endpoint-1", LeaseEnd: e.clockLocked() + 700*time.Millisecond})
		c.Check(err, quicktest.Not(quicktest.IsNil))
		time.Sleep(2900 * time.Millisecond)
		e.SetFaults(Faults{})
		reply := e.Start(t.Context(), endpointapi.StartRequest{Run: wire.Run{Task: "t.0.0.0", Number: 1}, LeaseEnd: e.clockLocked() + 500*time.Millisecond})
		c.Check(reply.Result, quicktest.Equals, endpointapi.StartAccepted)
		time.Sleep(time.Second)
		e.ExpireLease()
		c.Assert(e.History(), quicktest.HasLen, 1)
		c.Check(e.History()[0].EndReason, quicktest.Equals, endpointapi.EndLeaseExpired)
		c.Check(e.History()[0].End.Sub(e.History()[0].Start).Round(time.Millisecond), quicktest.Equals, 760*time.Millisecond)
	})
}

// Guards against an emulated endpoint whose runs end with a later crash rather than with their lease.
func TestCrashAfterLeaseEnd(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		e := NewEndpoint("endpoint", wire.Resources{MilliCores: 4000}, 1)
		e.Work = func(string, string) (time.Duration, wire.Resources) {
			return time.Hour, wire.Resources{MilliCores: 1000}
		}
		reply := e.Start(t.Context(), endpointapi.StartRequest{
			Instance: "endpoint-1", Run: wire.Run{Task: "t.0.0.0", Number: 1}, LeaseEnd: e.clockLocked() + 700*time.Millisecond,
		})
		c.Assert(reply.Result, quicktest.Equals, endpointapi.StartAccepted)
		time.Sleep(2 * time.Second)
		e.Crash()
		r := e.History()[0]
		c.Check(r.End.Sub(r.Start), quicktest.Equals, 700*time.Millisecond)
	})
}
