package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// Guards against further tasks of a started job that are ordered after its last caller has disconnected.
func TestStartedJobOfDisconnectedCallerGetsNoOrders(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		disconnected := false
		w := newWaiter()
		w.disconnected = func() bool { return disconnected }
		s := submission("j", 2)
		s.Steps[0].Size.MilliCores = 20000 // one task at a time
		s.Queue.TargetLatency = 10 * time.Second
		co.loop.Do(func() { co.submit(s, w, time.Now()) })
		synctest.Wait()
		c.Assert(a.orders, quicktest.HasLen, 1)
		disconnected = true
		a.report(a.orders[0], wire.RunDone)
		synctest.Wait()
		c.Check(a.orders, quicktest.HasLen, 1)
	})
}

// Guards against a late disconnect that ends the first connection to an agent after it was removed as lost and has connected again.
func TestConnectionNumbersAreNotReused(t *testing.T) {
	withCoordinator(t, func(c *quicktest.C, co *Coordinator, a *fakeAgent, _ *fakeRecorder) {
		first := a.connection
		co.Disconnected(a.name, first)
		time.Sleep(2 * co.cfg.Timing.OrphanTimeout)
		removed := false
		co.loop.Do(func() { removed = co.agents[a.name] == nil })
		c.Assert(removed, quicktest.IsTrue)
		a.connect()
		c.Check(a.connection, quicktest.Not(quicktest.Equals), first)
	})
}
