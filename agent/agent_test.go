package agent

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// Checks the whole path: a task from an entry is called on the endpoint and its answer
// is returned to the entry.
func TestTaskRunsOnEndpoint(t *testing.T) {
	c := qt.New(t)
	auth := testAuthority(t)
	e := startEntry(t, auth, "entry-1")
	ag, stop := runAgent(t, auth, nil, e)
	sample, _, _ := runEndpoint(t, ag, 8)
	conn := next(t, e.conns)
	c.Assert(conn.PeerHello.Node, qt.Equals, ag.Node())
	e.waitForSlots(t, 8)
	send(t, conn, &wire.Start{Tasks: []wire.StartTask{newStartTask(1, time.Second, `{"ms":1}`)}})
	r := nextMessage[*wire.Result](t, e)
	c.Assert(r.Tasks, qt.HasLen, 1)
	c.Assert(r.Tasks[0].Outcome, qt.Equals, errkind.Done)
	c.Assert(string(r.Tasks[0].Body), qt.Equals, `{"submission":"order-17","index":1,"payload":{"ms":1}}`)
	c.Assert(sample.Starts("order-17", 1), qt.Equals, 1)
	c.Assert(stop(), qt.IsNil)
}

// Guards against an invalid announcement being accepted.
func TestAnnouncementIsChecked(t *testing.T) {
	c := qt.New(t)
	auth := testAuthority(t)
	ag, _ := runAgent(t, auth, nil, startEntry(t, auth, "entry-1"))
	c.Assert(announce(t, ag, Announcement{Service: "Veil Desk", Address: "127.0.0.1:1", Slots: 1}), qt.Equals, 400)
	c.Assert(announce(t, ag, Announcement{Service: "veil-desk", Address: "host:1", Slots: 1}), qt.Equals, 400)
	c.Assert(announce(t, ag, Announcement{Service: "veil-desk", Address: "127.0.0.1:1"}), qt.Equals, 400)
	c.Assert(announce(t, ag, Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Slots: 1}), qt.Equals, 204)
}
