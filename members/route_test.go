package members

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/logstore/standin"
	"oriolerelay/wire"
)

// Guards against an entry that started during an outage of the log and acts on the view
// of a peer, and against one that does not use that view to route requests.
func TestPeerViewIsUsedForRoutingOnly(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		server.SetFaults(standin.Faults{Down: true})
		f := start()
		self, other := testMember("entry-a", 1), testMember("entry-b", 2)
		f.mu.Lock()
		f.self, f.node = self, self.Node
		f.mu.Unlock()
		sub := mustParse(c, "order-1")
		_, ok := f.Route(sub, "lace")
		c.Assert(ok, qt.IsFalse)
		f.OfferView(7, []wire.EntryAddress{{Node: other.Node, Address: other.Address}})
		f.OfferView(6, []wire.EntryAddress{{Node: self.Node, Address: self.Address}}) // older
		home, ok := f.Route(sub, "lace")
		c.Assert(ok, qt.IsTrue)
		c.Assert(home, qt.Equals, other.Node)
		f.ReceiveStatement(other.Node, wire.MemberStatement{Next: 0, AtMS: time.Now().UnixMilli(), NoPendingAppend: true})
		_, err := f.Home(sub, "lace", time.Now())
		c.Assert(errkind.Is(err, errkind.HomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// Guards against a takeover while a member replies, even if it refuses to sponsor, and
// against a process that never becomes a member after all others have gone.
func TestTakeoverAfterTenMinutesWithoutReply(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		lastMember := start()
		c.Assert(lastMember.Join(c.Context(), testMember("entry-a", 1)), qt.IsNil)
		f, m := start(), testMember("entry-b", 2)
		go func() { _ = f.Join(c.Context(), m) }()
		lastMember.ReportSuspects([]ids.Incarnation{m.Node}) // so that it refuses to sponsor m
		time.Sleep(2 * takeoverTimeout)
		c.Assert(f.HasLeft(m.Node) || len(f.Addresses()) != 1, qt.IsFalse)
		c.Assert(f.Addresses()[0].Node, qt.Equals, ids.Incarnation{Name: "entry-a", Number: 1})
		// From now on no member replies.
		lastMember.mu.Lock()
		lastMember.self, lastMember.node = Member{}, ids.Incarnation{}
		lastMember.mu.Unlock()
		time.Sleep(takeoverTimeout - 5*time.Second)
		c.Assert(f.Addresses()[0].Node.Name, qt.Equals, "entry-a")
		time.Sleep(15 * time.Second)
		c.Assert(f.Addresses(), qt.HasLen, 1)
		c.Assert(f.Addresses()[0].Node, qt.Equals, m.Node)
	})
}
