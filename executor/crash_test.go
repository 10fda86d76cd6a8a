package executor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/wire"
)

// Guards against an entry that does not hear which runs an endpoint executed when it crashed, and
// against an announced end of an endpoint that counts as a crash.
func TestCrashIsReportedToAllEntries(t *testing.T) {
	for _, draining := range []bool{false, true} {
		withHookedEndpoint(t, func(c *quicktest.C, x *Executor, e *hookedEndpoint, entry *fakeEntry) {
			crashes := make(map[string][]wire.Crash)
			listen := func(name string) {
				x.Connected(name, func(m wire.Message) error {
					switch m := m.(type) {
					case *wire.Reports:
						crashes[name] = append(crashes[name], m.Status.Crashes...)
					case *wire.Status:
						crashes[name] = append(crashes[name], m.Crashes...)
					}
					return nil
				})
			}
			listen("entry.2")
			x.Handle("entry.1", 1, &wire.Orders{StatusClockMillis: x.clockMillis(), Groups: []wire.OrderGroup{{
				Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 1000, Runs: []wire.Run{{Task: "t", Number: 1}}, Queue: "q",
			}}})
			sendHeartbeats(x, 100*time.Millisecond)
			if draining {
				a := announcementOfLife(1)
				a.Sequence, a.Draining = 2, true
				x.Announce(a)
			}
			e.setObserve(func(context.Context, endpointapi.ObserveRequest) (endpointapi.Observation, error) {
				return endpointapi.Observation{}, &endpointapi.DownError{Err: errors.New("connection refused")}
			})
			sendHeartbeats(x, 100*time.Millisecond)
			listen("entry.3")
			sendHeartbeats(x, 400*time.Millisecond)
			synctest.Wait()
			for _, name := range []string{"entry.2", "entry.3"} {
				if draining {
					c.Check(crashes[name], quicktest.HasLen, 0)
					continue
				}
				c.Assert(crashes[name], quicktest.HasLen, 1, quicktest.Commentf(name))
				c.Assert(crashes[name][0].Runs, quicktest.HasLen, 1)
				run := crashes[name][0].Runs[0]
				c.Check(run.Run, quicktest.Equals, wire.Run{Task: "t", Number: 1})
				c.Check(run.Queue, quicktest.Equals, "q")
				c.Check(run.ElapsedMillis >= 100 && run.ElapsedMillis < 200, quicktest.IsTrue, quicktest.Commentf("%d", run.ElapsedMillis))
			}
		})
	}
}
