package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/logstore/standin"
	"oriolerelay/members"
	"oriolerelay/transport"
)

// TestCallerChosenIDsDuringOutage guards against caller-chosen ids that are refused
// while only the log is unavailable, against a second start by a resubmission
// during the outage, and against an entry that acts as home without the
// peer statement of every member.
func TestCallerChosenIDsDuringOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	keys, err := transport.NewAuthority(time.Hour)
	c.Assert(err, qt.IsNil)
	server, platform := testPlatform(t)
	a := startDaemon(t, keys, "entry-1", platform)
	b := startDaemon(t, keys, "entry-2", platform, a.InternalAddress())
	entries := []*testDaemon{a, b}
	sample := startEndpoint(t, keys, "worker-1", 8, a.InternalAddress(), b.InternalAddress())
	eventually(t, 15*time.Second, "both entries are members and have an agent", func() bool {
		for _, e := range entries {
			if len(e.members.Addresses()) != 2 || len(e.dispatcher.Endpoints()) != 1 {
				return false
			}
		}
		return true
	})
	status, body := a.call(t, "POST", "/v1/tickets", "operator-secret", firstTicket)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", body))
	post := func(e *testDaemon, id string, at time.Time) (int, string) {
		return e.call(t, "POST", "/v1/requests", "veil-secret", requestWithID(id, at, `1`))
	}
	probe := 0
	served := func() bool {
		for _, e := range entries {
			probe++
			if status, _ := post(e, fmt.Sprintf("probe-%d", probe), time.Now()); status != 200 {
				return false
			}
		}
		return true
	}
	eventually(t, 15*time.Second, "caller-chosen ids are served", served)

	server.SetFaults(standin.Faults{Down: true})
	down := time.Now()
	eventually(t, 20*time.Second, "the log is unavailable for longer than the former limit", func() bool {
		return time.Since(down) > 11*time.Second
	})
	homes := map[string]bool{}
	for i := range 20 {
		id, at := fmt.Sprintf("order-%d", i), time.Now()
		status, first := post(entries[i%2], id, at)
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", first))
		status, again := post(entries[(i+1)%2], id, at)
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", again))
		c.Assert(again, qt.Equals, first)
		c.Assert(sample.Starts(id, 0), qt.Equals, 1)
		sub, err := ids.ParseSubmission(id)
		c.Assert(err, qt.IsNil)
		home, err := a.members.Home(sub, "veil", at)
		c.Assert(err, qt.IsNil)
		homes[home.Name] = true
	}
	c.Assert(homes, qt.HasLen, 2)

	b.stop()
	c.Assert(<-b.done, qt.IsNil)
	stopped := time.Now()
	// While the last statement of the stopped member is valid, the member remains a known
	// home, and its ids fail with home_unreachable. The home may be unknown for a moment
	// before that: while b tries to leave, it states that an append is in progress, and it
	// withdraws this when the append has failed. A statement is valid for
	// ActivationDelayMS, so one made before the stop has certainly expired after that time.
	sub, err := ids.ParseSubmission("late")
	c.Assert(err, qt.IsNil)
	eventually(t, 10*time.Second, "the statements of the stopped member have expired", func() bool {
		_, err := a.members.Home(sub, "veil", time.Now())
		return time.Since(stopped) > (members.ActivationDelayMS+10)*time.Millisecond && errkind.Is(err, errkind.HomeUnknown)
	})
	for i := range 20 {
		status, body := post(a, fmt.Sprintf("late-%d", i), time.Now())
		c.Assert(status, qt.Equals, 503)
		c.Assert(errorKind(t, body), qt.Equals, errkind.HomeUnknown)
	}
}
