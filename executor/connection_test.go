package executor

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// Guards against a run for a job that its entry has removed: orders of an earlier connection are handled after the entry's Claim.
func TestOrdersOfReplacedConnectionAreIgnored(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, entry *fakeEntry) {
		first := wire.Run{Task: "j.0.0.0", Number: 1}
		connection := x.Connected("entry.1", entry.send)
		x.Handle("entry.1", connection, &wire.Claim{})
		sendOrder(x, false, first) // over the first connection
		time.Sleep(50 * time.Millisecond)
		c.Check(e.runs(), quicktest.HasLen, 0)
		x.Handle("entry.1", connection, &wire.Orders{StatusClockMillis: x.clockMillis(), Groups: []wire.OrderGroup{{
			Size: wire.Resources{MilliCores: 1000}, Runs: []wire.Run{first},
		}}})
		time.Sleep(50 * time.Millisecond)
		c.Check(e.runs()[first], quicktest.IsTrue)
	})
}

// Guards against an agent that hears an entry but sends it nothing, so that it runs the tasks on while the entry runs them elsewhere.
func TestLateDisconnectKeepsNewConnection(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, _ *fakeEndpoint, entry *fakeEntry) {
		run := wire.Run{Task: "t.0.0.0", Number: 1}
		connection := x.Connected("entry.1", entry.send)
		x.Disconnected("entry.1", connection-1)
		x.Handle("entry.1", connection, &wire.Orders{StatusClockMillis: x.clockMillis(), Groups: []wire.OrderGroup{{
			Size: wire.Resources{MilliCores: 1000}, Runs: []wire.Run{run},
		}}})
		time.Sleep(80 * time.Millisecond)
		c.Check(entry.state(run), quicktest.Equals, wire.RunStarted)
	})
}

// Guards against a late disconnect that ends the first connection to an entry after it was removed as disconnected and has connected again.
func TestConnectionNumbersAreNotReused(t *testing.T) {
	withExecutor(t, func(c *quicktest.C, x *Executor, _ *fakeEndpoint, entry *fakeEntry) {
		x.Disconnected("entry.1", 1)
		time.Sleep(2 * x.cfg.Timing.EntryTimeout)
		removed := false
		x.loop.Do(func() { removed = x.entries["entry.1"] == nil })
		c.Assert(removed, quicktest.IsTrue)
		c.Check(x.Connected("entry.1", entry.send), quicktest.Not(quicktest.Equals), uint64(1))
	})
}
