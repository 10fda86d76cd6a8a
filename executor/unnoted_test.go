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

// Guards against tasks that run again because their ends were given up while nobody
// could record them: no new run is taken before that (bench: half of the answers of the
// store lost for 5 s, 41 tasks done twice).
func TestUnrecordedEndsStopStoredRuns(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	x := New(Config{Log: event.NewLogger(io.Discard, "agent-1")})
	x.profile = &wire.Profile{Instance: "i", Capacity: wire.Resources{MilliCores: 1000}}
	x.clock.set(time.Second, now)
	first := wire.Run{Task: "j.0.0.0", Number: 1}
	end := func(run wire.Run, sequence uint64) {
		x.lastEnd = sequence
		x.keepEnd(endpointapi.EndedRun{Run: run, Sequence: sequence, End: endpointapi.EndDone}, now)
	}
	end(first, 1)
	x.lastEnd = 1 + closeBacklog
	x.checkBacklog()
	stored, other := &wire.OrderGroup{Stored: true}, &wire.OrderGroup{}
	next := wire.Run{Task: "k.0.0.0", Number: 1}
	c.Check(x.refusal(next, stored), quicktest.Equals, wire.RejectReason(0))
	x.lastEnd++
	x.checkBacklog()
	c.Check(x.refusal(next, stored), quicktest.Equals, wire.RejectUnrecorded)
	c.Check(x.status(&entry{}).Unrecorded, quicktest.IsTrue)
	c.Check(x.refusal(next, other), quicktest.Equals, wire.RejectReason(0)) // needs no note

	// What ran until then still ends, and the end is still kept.
	x.lastEnd = 1 + maxBacklog
	x.expireUnnoted(now)
	c.Check(x.unnoted, quicktest.HasLen, 1)
	c.Check(x.ack(), quicktest.Equals, uint64(0))

	x.statusDirty = false
	x.noted("entry-1", []wire.Run{first})
	c.Check(x.refusal(next, stored), quicktest.Equals, wire.RejectReason(0))
	c.Check(x.statusDirty, quicktest.IsTrue)
	c.Check(x.ack(), quicktest.Equals, uint64(1+maxBacklog))
}
