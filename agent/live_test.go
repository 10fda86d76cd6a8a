package agent

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/internal/udprelay"
	"oriolerelay/wire"
)

// Guards against a lost result, or a task that runs twice, when the connection stops
// delivering packets while the task runs.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	auth := testAuthority(t)
	e := startEntry(t, auth, "entry-1")
	relay, err := udprelay.New(e.listener.Address())
	c.Assert(err, qt.IsNil)
	defer relay.Close()
	ag, _ := runAgent(t, auth, func(cfg *Config) { cfg.Seeds = []string{relay.Address()} })
	sample, _, _ := runEndpoint(t, ag, 2)
	conn := next(t, e.conns)
	e.waitForSlots(t, 2)
	send(t, conn, &wire.Start{Tasks: []wire.StartTask{newStartTask(1, testTimeout, `{"ms":100}`)}})
	eventually(t, func() bool { return sample.Starts("order-17", 1) > 0 })
	relay.Blackhole()
	again := next(t, e.conns)
	r := nextMessage[*wire.Result](t, e)
	c.Assert(r.Tasks[0].Ref, qt.Equals, uint64(1))
	c.Assert(r.Tasks[0].Outcome, qt.Equals, errkind.Done)
	reply, err := again.Call(t.Context(), &wire.Settle{Refs: []uint64{1, 2}})
	c.Assert(err, qt.IsNil)
	settled := reply.(*wire.Settled).Tasks
	c.Assert(settled[0].State, qt.Equals, wire.TaskFinished)
	c.Assert(settled[1].State, qt.Equals, wire.TaskNeverSeen)
	c.Assert(sample.Starts("order-17", 1), qt.Equals, 1)
}

// Guards against a drain that loses the last results, or that does not answer a task
// that was in transit when the agent began to drain.
func TestDrainOverConnection(t *testing.T) {
	c := qt.New(t)
	auth := testAuthority(t)
	e := startEntry(t, auth, "entry-1")
	e.lateStart.Store(&wire.Start{Tasks: []wire.StartTask{newStartTask(9, testTimeout, `{}`)}})
	ag, stop := runAgent(t, auth, nil, e)
	runEndpoint(t, ag, 4)
	conn := next(t, e.conns)
	e.waitForSlots(t, 4)
	// The answers exceed the flow-control window, so closing the connection abruptly would
	// lose some of them.
	payload := fmt.Sprintf(`{"ms":300,"pad":%q}`, strings.Repeat("x", 60<<10))
	for ref := range uint64(4) {
		send(t, conn, &wire.Start{Tasks: []wire.StartTask{newStartTask(ref, testTimeout, payload)}})
	}
	eventually(t, func() bool { return ag.Load().Running == 4 })
	c.Assert(stop(), qt.IsNil)
	c.Assert(nextMessage[*wire.Refused](t, e).Refs, qt.DeepEquals, []uint64{9})
	for done := 0; done < 4; {
		for _, r := range nextMessage[*wire.Result](t, e).Tasks {
			c.Assert(r.Outcome, qt.Equals, errkind.Done)
			done++
		}
	}
}

// Guards against leaving a task unanswered that arrives after the last task has ended and
// before the connection is closed.
func TestIdleDrainRefusesLateStart(t *testing.T) {
	auth := testAuthority(t)
	e := startEntry(t, auth, "entry-1")
	e.lateStart.Store(&wire.Start{Tasks: []wire.StartTask{newStartTask(9, testTimeout, `{}`)}})
	_, stop := runAgent(t, auth, nil, e)
	next(t, e.conns)
	nextMessage[*wire.Announce](t, e)
	qt.Assert(t, stop(), qt.IsNil)
	qt.Assert(t, nextMessage[*wire.Refused](t, e).Refs, qt.DeepEquals, []uint64{9})
}

// Guards against an endpoint that interrupts its tasks when it stops, and against an agent
// that still announces it to entries.
func TestEndpointDrains(t *testing.T) {
	c := qt.New(t)
	auth := testAuthority(t)
	e := startEntry(t, auth, "entry-1")
	ag, _ := runAgent(t, auth, nil, e)
	_, _, stop := runEndpoint(t, ag, 2)
	conn := next(t, e.conns)
	e.waitForSlots(t, 2)
	send(t, conn, &wire.Start{Tasks: []wire.StartTask{newStartTask(1, testTimeout, `{"ms":200}`)}})
	eventually(t, func() bool { return ag.Load().Running > 0 })
	c.Assert(stop(), qt.IsNil)
	e.waitForSlots(t, 0)
	c.Assert(nextMessage[*wire.Result](t, e).Tasks[0].Outcome, qt.Equals, errkind.Done)
}

// Guards against an agent that connects only to its seeds, and against one that does not
// dial an entry again after its connection was lost.
func TestEntriesAreLearnedAndReplaced(t *testing.T) {
	auth := testAuthority(t)
	first, second := startEntry(t, auth, "entry-1"), startEntry(t, auth, "entry-2")
	first.listedEntry.Store(&wire.EntryAddress{Node: second.node, Address: second.listener.Address()})
	runAgent(t, auth, nil, first)
	next(t, second.conns)
	qt.Assert(t, next(t, first.conns).Close(), qt.IsNil)
	next(t, first.conns)
}
