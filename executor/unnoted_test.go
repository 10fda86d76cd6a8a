package executor

import (
	"io"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// Guards against tasks that run twice because their ends were dropped while no entry could
// record them: stored runs must be rejected before that. With half of the answers of the store
// lost for 5 s, 41 tasks were done twice.
func TestUnconfirmedBacklogRejectsStoredRuns(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	x := New(Config{Log: event.NewLogger(io.Discard, "agent-1")})
	x.profile = &wire.Profile{Instance: "i", Capacity: wire.Resources{MilliCores: 1000}}
	x.clock.set(time.Second, now)
	first := wire.Run{Task: "j.0.0.0", Number: 1}
	end := func(run wire.Run, sequence uint64) {
		x.lastEndSequence = sequence
		x.retainEnd(endpointapi.EndedRun{Run: run, Sequence: sequence, End: endpointapi.EndDone}, now)
	}
	end(first, 1)
	x.lastEndSequence = 1 + backlogRejectThreshold
	x.checkBacklog()
	stored, other := &wire.OrderGroup{Stored: true}, &wire.OrderGroup{}
	next := wire.Run{Task: "k.0.0.0", Number: 1}
	c.Check(x.orderRejection(next, stored), quicktest.Equals, wire.RejectReason(0))
	x.lastEndSequence++
	x.checkBacklog()
	c.Check(x.orderRejection(next, stored), quicktest.Equals, wire.RejectBacklogFull)
	c.Check(x.status(&entry{}).RejectsStoredRuns, quicktest.IsTrue)
	c.Check(x.orderRejection(next, other), quicktest.Equals, wire.RejectReason(0)) // needs no confirmation

	// Runs accepted until then still end, and the unconfirmed end is kept.
	x.lastEndSequence = 1 + backlogExpireThreshold
	x.expireUnconfirmed(now)
	c.Check(x.unconfirmed, quicktest.HasLen, 1)
	c.Check(x.ackableSequence(), quicktest.Equals, uint64(0))

	x.statusDirty = false
	x.confirmEnds("entry-1", []wire.Run{first})
	c.Check(x.orderRejection(next, stored), quicktest.Equals, wire.RejectReason(0))
	c.Check(x.statusDirty, quicktest.IsTrue)
	c.Check(x.ackableSequence(), quicktest.Equals, uint64(1+backlogExpireThreshold))
}
