package executor

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// heartbeats makes the entry send heartbeats for d. clock returns the clock that they return.
func heartbeats(x *Executor, d time.Duration, clock func() uint64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		x.Handle("entry.1", 1, &wire.Heartbeat{StatusClockMillis: clock()})
	}
}

// Guards against runs that continue because of the heartbeats of an entry that hears nothing of the agent.
func TestRunsOfEntryThatHearsNothingAreStopped(t *testing.T) {
	run := wire.Run{Task: "j.0.0.0", Number: 1}
	for name, tt := range map[string]struct {
		clock func(x *Executor) uint64
		runs  int
	}{
		"returns the current clock":           {func(x *Executor) uint64 { return x.clockMillis() }, 1},
		"returns an old clock":                {func(*Executor) uint64 { return 1 }, 0},
		"older version that returns no clock": {func(*Executor) uint64 { return 0 }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withExecutor(t, func(c *quicktest.C, x *Executor, e *fakeEndpoint, _ *fakeEntry) {
				sendOrder(x, false, run)
				heartbeats(x, x.cfg.Timing.MaxOrderAge+200*time.Millisecond, func() uint64 { return tt.clock(x) })
				c.Check(e.runs(), quicktest.HasLen, tt.runs)
			})
		})
	}
}
