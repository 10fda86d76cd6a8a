package emulator

import (
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
