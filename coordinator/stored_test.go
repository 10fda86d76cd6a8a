package coordinator

import (
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"oriolerelay/job"
	"oriolerelay/wire"
)

// Guards against a queued job that is missing from the count of its queue, since its only order was
// rejected.
func TestRejectedOrderDoesNotStartJob(t *testing.T) {
	for state, started := range map[wire.RunState]bool{
		wire.RunRejected: false, wire.RunStarted: true, wire.RunFailed: true, wire.RunStopped: true,
	} {
		withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
			co.Adopt(submission("j", 1), job.Progress{}, 1)
			synctest.Wait()
			c.Check(co.Started("j"), quicktest.IsFalse)
			a.report(a.orders[0], state)
			synctest.Wait()
			c.Check(co.Started("j"), quicktest.Equals, started, quicktest.Commentf("run %v", state))
		})
	}
}
