package executor

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/wire"
)

// announceInterval is the time between two announcements of the endpoints of these tests.
const announceInterval = 1500 * time.Millisecond

// announceCapacity announces the endpoint with the given capacity.
func announceCapacity(x *Executor, sequence uint64, milliCores uint32) {
	a := announcement("i-1", bornMillis, sequence)
	a.Profile.Capacity.MilliCores = milliCores
	x.Announce(a)
}

// usableMilliCores returns how many runs of 1000 millicores fit beside the present ones, times 1000.
func usableMilliCores(x *Executor, e *incarnationEndpoint, name string) uint32 {
	before := len(e.runs())
	var runs []wire.Run
	for i := range 10 {
		runs = append(runs, wire.Run{Task: fmt.Sprintf("%s.0.0.%d", name, i), Number: 1})
	}
	sendOrder(x, false, runs...)
	sendHeartbeats(x, 100*time.Millisecond)
	n := len(e.runs()) - before
	for _, r := range runs {
		e.end(r, endpointapi.EndDone)
	}
	sendHeartbeats(x, 100*time.Millisecond)
	return uint32(1000 * n)
}

// Guards against starts over a capacity that has shrunk: a lower capacity counted only once two
// consecutive announcements had stated the same one.
func TestShrunkCapacityIsUsedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name     string
		restored uint32
		stated   []uint32 // by the announcements after the first one; 0 for a lost one
		want     uint32
	}{
		{"one announcement", 0, []uint32{1000}, 1000},
		{"another value in each", 0, []uint32{3000, 2000, 1000}, 1000},
		{"a lost announcement", 0, []uint32{0, 2000}, 2000},
		{"lost ones between two steps", 0, []uint32{3000, 0, 0, 1000}, 1000},
		{"to zero", 0, []uint32{0, 1}, 0},
		{"restored announcement", 4000, []uint32{2000}, 2000},
		{"restored announcement, another value in each", 4000, []uint32{3000, 2000}, 2000},
		{"lower again after a growth", 0, []uint32{1000, 4000, 2000}, 2000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, _ *fakeEntry, _ *savedAnnouncements) {
				if tc.restored > 0 {
					a := announcement("i-1", bornMillis, 7)
					a.Profile.Capacity.MilliCores = tc.restored
					x.Restore(a)
				} else {
					announceCapacity(x, 1, 4000)
				}
				sendHeartbeats(x, announceInterval)
				for i, m := range tc.stated {
					if m > 0 {
						announceCapacity(x, uint64(8+i), m)
					}
					if i < len(tc.stated)-1 {
						sendHeartbeats(x, announceInterval)
					}
				}
				c.Check(usableMilliCores(x, e, "t"), quicktest.Equals, tc.want)
			})
		})
	}
}

// Guards against a capacity that stays low after it has grown, and against one that a false or
// delayed announcement raises.
func TestGrownCapacityIsUsedOnceConfirmed(t *testing.T) {
	type stated struct {
		sequence   uint64
		milliCores uint32
		service    string
	}
	for _, tc := range []struct {
		name   string
		stated []stated
		want   uint32
	}{
		{"one announcement", []stated{{9, 4000, "s"}}, 2000},
		{"two announcements", []stated{{9, 4000, "s"}, {10, 4000, "s"}}, 4000},
		{"another value in each", []stated{{9, 4000, "s"}, {10, 5000, "s"}, {11, 6000, "s"}}, 5000},
		{"the same announcement twice", []stated{{9, 4000, "s"}, {9, 4000, "s"}}, 2000},
		{"lower sequences", []stated{{6, 4000, "s"}, {7, 4000, "s"}}, 2000},
		{"a lower sequence after the first one", []stated{{10, 4000, "s"}, {9, 4000, "s"}}, 2000},
		{"other service", []stated{{9, 4000, "x"}, {10, 2000, "s"}, {11, 4000, "x"}}, 2000},
		{"one higher value", []stated{{9, 4000, "s"}, {10, 2000, "s"}, {11, 4000, "s"}}, 2000},
		{"one lower value", []stated{{9, 1, "s"}, {10, 2000, "s"}, {11, 2000, "s"}}, 2000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, _ *fakeEntry, _ *savedAnnouncements) {
				announceCapacity(x, 8, 2000)
				for _, s := range tc.stated {
					sendHeartbeats(x, announceInterval)
					a := announcement("i-1", bornMillis, s.sequence)
					a.Profile.Service, a.Profile.Capacity.MilliCores = s.service, s.milliCores
					x.Announce(a)
				}
				c.Check(usableMilliCores(x, e, "t"), quicktest.Equals, tc.want)
			})
		})
	}
}

// slowStopEndpoint takes a while to stop a run.
type slowStopEndpoint struct{ *incarnationEndpoint }

func (e slowStopEndpoint) Stop(ctx context.Context, o endpointapi.StopRequest) error {
	time.AfterFunc(50*time.Millisecond, func() { _ = e.incarnationEndpoint.Stop(ctx, o) })
	return nil
}

// Guards against starts beside runs that use more than a capacity that has shrunk, or that are
// being stopped, and against a shrink that ends runs.
func TestRunsContinueOverShrunkCapacity(t *testing.T) {
	withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, entry *fakeEntry, _ *savedAnnouncements) {
		x.cfg.Endpoint = slowStopEndpoint{e}
		announceCapacity(x, 1, 4000)
		sendHeartbeats(x, 100*time.Millisecond)
		run := func(i int) wire.Run { return wire.Run{Task: fmt.Sprintf("t.0.0.%d", i), Number: 1} }
		sendOrder(x, false, run(0), run(1), run(2), run(3))
		sendHeartbeats(x, 100*time.Millisecond)
		announceCapacity(x, 2, 2000)
		sendHeartbeats(x, announceInterval)
		c.Check(e.runs(), quicktest.HasLen, 4)
		x.Handle("entry.1", 1, &wire.Stop{Runs: []wire.Run{run(0), run(1), run(2)}})
		sendOrder(x, false, run(10))
		sendHeartbeats(x, 150*time.Millisecond)
		c.Check(entry.state(run(10)), quicktest.Equals, wire.RunRejected)
		c.Check(e.runs()[run(3)], quicktest.IsTrue)
		c.Check(usableMilliCores(x, e, "next"), quicktest.Equals, uint32(1000))
	})
}

// Guards against an entry that orders by a capacity that the agent knows to have changed.
func TestEntriesLearnChangedCapacity(t *testing.T) {
	withIncarnations(t, func(c *quicktest.C, x *Executor, _ *incarnationEndpoint, _ *fakeEntry, saved *savedAnnouncements) {
		var mu sync.Mutex
		var learned []uint32
		x.Connected("entry.1", func(m wire.Message) error {
			mu.Lock()
			defer mu.Unlock()
			s, _ := m.(*wire.Status)
			if r, ok := m.(*wire.Reports); ok {
				s = r.Status
			}
			if s != nil && s.Profile != nil {
				learned = append(learned, s.Profile.Capacity.MilliCores)
			}
			return nil
		})
		for i, m := range []uint32{4000, 3000, 1000, 2000, 2000} {
			announceCapacity(x, uint64(1+i), m)
			time.Sleep(50 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		c.Check(learned, quicktest.DeepEquals, []uint32{4000, 3000, 1000, 2000})
		saved.mu.Lock()
		defer saved.mu.Unlock()
		c.Check(saved.list[len(saved.list)-1].Profile.Capacity.MilliCores, quicktest.Equals, uint32(2000))
	})
}

// Guards against starts by an old capacity at an endpoint that does not enforce it, against entries
// that go on ordering there, and against an endpoint that enforces its capacity and is closed.
func TestUnenforcedCapacityNeedsRecentAnnouncement(t *testing.T) {
	for _, unenforced := range []bool{false, true} {
		withIncarnations(t, func(c *quicktest.C, x *Executor, e *incarnationEndpoint, entry *fakeEntry, _ *savedAnnouncements) {
			closed := func() (reason wire.RejectReason) {
				x.loop.Do(func() { reason = x.closedReason() })
				return reason
			}
			order := func(task string) wire.Run {
				r := wire.Run{Task: task, Number: 1}
				x.Handle("entry.1", 1, &wire.Orders{StatusClockMillis: x.clockMillis(), Groups: []wire.OrderGroup{{
					Size: wire.Resources{MilliCores: 1000}, EstimateMillis: 100, Runs: []wire.Run{r}, CapacityUnenforced: unenforced,
				}}})
				sendHeartbeats(x, 100*time.Millisecond)
				return r
			}
			x.Announce(announcement("i-1", bornMillis, 1))
			sendHeartbeats(x, time.Second)
			first := order("first.0.0.0")
			c.Check(e.runs()[first], quicktest.IsTrue)
			e.end(first, endpointapi.EndDone)
			sendHeartbeats(x, 4*time.Second)
			late := order("late.0.0.0")
			c.Check(e.runs()[late], quicktest.Equals, !unenforced)
			c.Check(entry.state(late) == wire.RunRejected, quicktest.Equals, unenforced)
			c.Check(closed() == wire.RejectCapacityUnknown, quicktest.Equals, unenforced)
			x.Announce(announcement("i-1", bornMillis, 2))
			sendHeartbeats(x, 50*time.Millisecond)
			c.Check(closed(), quicktest.Equals, wire.RejectReason(0))
			next := order("next.0.0.0")
			c.Check(e.runs()[next], quicktest.IsTrue)
		})
	}
}
