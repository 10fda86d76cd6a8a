package coordinator

import (
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/policy"
	"oriolerelay/wire"
)

// Guards against copies of a returned job that run at two entries, a job that is returned twice, and one
// that is returned to an entry of which nothing was received for a while.
func TestHandOver(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p, err := policy.New([]string{string(policy.Handover)}, nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		c := New(Config{Policy: p, Timing: DefaultTiming(time.Second, 1), Metrics: NewMetrics(prometheus.NewRegistry())})
		go c.Run(t.Context())
		c.SetPeers(&policy.Peers{Self: "a", Entries: []policy.PeerStatus{{
			Incarnation: "b", ReceivedAt: time.Now(), Services: []wire.ServiceLoad{{Service: "s", Capacity: 9000, Usable: 9000, LargestFree: 9000}},
		}}})
		check := func(id, returnedBy string, kind errkind.Kind, to string) {
			t.Helper()
			s := job.Submission{
				ID: id, ReturnedBy: returnedBy, Queue: job.Queue{Name: "q", Service: "s", Stretch: 1.6, TargetLatency: 60 * time.Millisecond},
				Ephemeral: true, Steps: []job.Step{{Count: 2, Size: wire.Resources{MilliCores: 1500}, Estimate: 100 * time.Millisecond}},
			}
			_, got := c.Submit(t.Context(), s)
			quicktest.Assert(t, got, quicktest.IsNotNil)
			var returned job.Returned
			if r := (*job.Returned)(nil); errors.As(got, &r) {
				returned = *r
			}
			quicktest.Check(t, got.Kind, quicktest.Equals, kind)
			quicktest.Check(t, returned.To, quicktest.Equals, to)
		}
		check("once", "b", errkind.QueueFull, "") // b has returned it: it waits here and is refused
		check("unreachable", "", errkind.QueueFull, "b")
		check("unreachable", "a", errkind.QueueFull, "") // b could not be reached
		check("copied", "", errkind.QueueFull, "b")
		time.Sleep(time.Second) // the status is stale
		check("stale", "", errkind.QueueFull, "")
		check("copied", "", errkind.QueueFull, "b") // joins the first copy
		check("copied", "a", errkind.HomeUnreachable, "")
		check("copied", "b", errkind.HomeUnreachable, "")
		time.Sleep(handedOverTime)
		check("copied", "", errkind.QueueFull, "")
	})
}
