package coordinator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
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

// Guards against a resent job that is returned while the run of its first copy is still being stopped here,
// and against targets that are kept for good once there are many.
func TestHandOverWaitsForStoppedRuns(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		qt := quicktest.New(t)
		p, err := policy.New([]string{string(policy.Handover)}, nil)
		qt.Assert(err, quicktest.IsNil)
		c := New(Config{Policy: p, Timing: DefaultTiming(time.Second, 1), Metrics: NewMetrics(prometheus.NewRegistry())})
		go c.Run(t.Context())
		a := &fakeAgent{c: c, name: "host-1"}
		a.connect()
		synctest.Wait()
		c.loop.Do(func() {
			c.handover.targets = make(map[string]handedOver)
			for i := range maxHandedOver {
				c.handover.targets[fmt.Sprint("old-", i)] = handedOver{"b", time.Now(), 1}
			}
		})
		s := submission("j", 1)
		s.Ephemeral, s.Steps[0].Size.MilliCores = true, 20000
		ctx, cancel := context.WithCancel(t.Context())
		go c.Submit(ctx, s)
		synctest.Wait()
		a.c.Handle(a.name, a.connection, &wire.Reports{
			Reports: []wire.Report{{Run: a.orders[0], State: wire.RunStarted}},
			Status:  &wire.Status{OrderedRuns: a.count, Used: wire.Resources{MilliCores: 20000}},
		})
		cancel() // the caller disconnects and resends the job
		synctest.Wait()
		qt.Assert(a.stops, quicktest.HasLen, 1)
		c.SetPeers(&policy.Peers{Self: "a", Entries: []policy.PeerStatus{{
			Incarnation: "b", ReceivedAt: time.Now(), Services: []wire.ServiceLoad{{Service: "s", Capacity: 90000, Usable: 90000, LargestFree: 90000}},
		}}})
		again, other := newWaiter(), newWaiter()
		c.loop.Do(func() { c.submit(s, again, time.Now()) })
		s.ID = "other"
		c.loop.Do(func() { c.submit(s, other, time.Now()) })
		synctest.Wait()
		qt.Check(again.answer, quicktest.HasLen, 0)
		qt.Check(other.answer, quicktest.HasLen, 1)
	})
}
