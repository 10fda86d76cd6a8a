package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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

// Guards against a deadlock: the ledger stops the jobs of all its partitions with its lock held, for which
// the loop waits when it places a task.
func TestRunnerDoesNotBlockWhileTheLoopIsBusy(t *testing.T) {
	c := New(Config{}) // its loop does not run
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 10_000 {
			id := fmt.Sprintf("%016x", i)
			c.Adopt(job.Submission{ID: id}, job.Progress{}, 1)
			c.RunEnded("agent", wire.Run{Task: id + ".0.0.0", Number: 1})
			c.ProgressRecorded(id, job.Progress{})
			c.StopJob(id)
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Error("a method of ledger.Runner blocks")
	}
}
