package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// announce applies m and returns the kind of the refusal, empty when m is accepted.
func (f *fixture) announce(m Announcement) errkind.Kind {
	err := f.applyAnnouncement(m, func(m Announcement) runner {
		f.runner = &fakeRunner{announced: m}
		return f.runner
	})
	if err != nil {
		return err.Kind
	}
	return ""
}

// lastAnnounce returns the newest announcement sent to the entry since the last call.
func lastAnnounce(c *fakeConn) wire.Announce {
	all := takeMessages[*wire.Announce](c)
	if len(all) == 0 {
		return wire.Announce{}
	}
	return *all[len(all)-1]
}

// Guards against tasks being admitted for an endpoint that no longer renews its
// announcement.
func TestMissedRenewalsWithdrawEndpoint(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		ctx, stop := context.WithCancel(t.Context())
		go f.sweepPeriodically(ctx)
		l, conn, end := f.connect(testHome)
		defer end()
		m := Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Slots: 3}
		for range 5 {
			qt.Check(t, f.announce(m), qt.Equals, errkind.Kind(""))
			time.Sleep(RenewalInterval)
		}
		qt.Check(t, lastAnnounce(conn).Slots, qt.Equals, uint32(3))
		time.Sleep(2*RenewalInterval + 2*sweepInterval)
		qt.Check(t, lastAnnounce(conn), qt.Equals, wire.Announce{Revision: 3})
		f.handleStart(l, startMessage(1))
		qt.Check(t, reportedEnds(conn)[1], qt.Equals, "no_endpoint")
		stop()
	})
}

// Guards against two live endpoints that replace each other in turn, against a restarted
// endpoint at a new address that is refused for good, and against a late announcement
// that withdraws the endpoint's replacement.
func TestEndpointRestartsAtNewAddress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		before := Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Slots: 1}
		after := Announcement{Service: "veil-desk", Address: "127.0.0.1:2", Slots: 1}
		qt.Check(t, f.announce(before), qt.Equals, errkind.Kind(""))
		qt.Check(t, f.announce(after), qt.Equals, errkind.IDConflict)
		time.Sleep(replacementTimeout)
		qt.Check(t, f.announce(after), qt.Equals, errkind.Kind(""))
		qt.Check(t, f.announce(before), qt.Equals, errkind.IDConflict)
		before.Leaving = true
		qt.Check(t, f.announce(before), qt.Equals, errkind.Kind(""))
		qt.Check(t, f.endpoint.announcement().Address, qt.Equals, after.Address)
		after.Leaving = true
		qt.Check(t, f.announce(after), qt.Equals, errkind.Kind(""))
		qt.Check(t, f.endpoint, qt.IsNil)
		before.Leaving = false
		qt.Check(t, f.announce(before), qt.Equals, errkind.Kind("")) // accepted at once, since no endpoint is announced
	})
}

// Guards against tasks that stay queued after their endpoint left or became unreachable,
// and against running tasks being interrupted.
func TestWithdrawnEndpointFreesQueue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		f.handleStart(l, startMessage(1, 2))
		qt.Check(t, f.announce(Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Leaving: true}), qt.Equals, errkind.Kind(""))
		qt.Check(t, f.hasActiveCalls("127.0.0.1:1"), qt.IsTrue) // the call may not have reached the endpoint yet
		time.Sleep(time.Second)
		qt.Check(t, f.hasActiveCalls("127.0.0.1:1"), qt.IsFalse)
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{1: "done", 2: "no_endpoint"})
		f.runner.run = func(*task) (wire.TaskResult, bool) {
			return wire.TaskResult{Outcome: errkind.NotRun, Kind: errkind.ConnectionRefused}, true
		}
		f.announceEndpoint()
		f.handleStart(l, startMessage(3, 4))
		qt.Check(t, reportedEnds(conn), qt.DeepEquals, map[uint64]string{3: "not_run", 4: "no_endpoint"})
		qt.Check(t, lastAnnounce(conn).Slots, qt.Equals, uint32(0))
	})
}

// newState returns a configuration with the given ticket number, buffer and deadline.
func newState(t testing.TB, number uint64, buffer int, deadline time.Duration) *wire.State {
	b, err := json.Marshal(ticket.Config{Number: number, Services: map[string]ticket.Service{"veil-desk": {
		Kinds:     map[string]ticket.Kind{"preview": {DeadlineMS: deadline.Milliseconds()}},
		Endpoints: ticket.EndpointRules{Buffer: buffer},
	}}})
	qt.Assert(t, err, qt.IsNil)
	return &wire.State{Ticket: number, JSON: b}
}

// Guards against an older or malformed configuration replacing the one in force, and
// against an entry that keeps an older configuration although the agent has a newer one.
func TestStateNeverReverts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		l, conn, end := f.connect(testHome)
		defer end()
		f.applyState(newState(t, 7, 5, time.Minute))
		qt.Check(t, lastAnnounce(conn).Buffer, qt.Equals, uint32(5))
		f.applyState(newState(t, 6, 9, time.Minute))
		f.applyState(&wire.State{Ticket: 8, JSON: []byte("{")})
		f.applyState(&wire.State{Ticket: 8, JSON: newState(t, 9, 9, time.Minute).JSON})
		qt.Check(t, lastAnnounce(conn), qt.Equals, wire.Announce{})
		qt.Check(t, f.heartbeat().Ticket, qt.Equals, uint64(7))
		qt.Check(t, f.records.age, qt.Equals, time.Minute+settleWindow)
		for i, want := range []int{1, 0} { // offered once
			l.handle(wire.Frame{Body: &wire.Heartbeat{Ticket: 6}})
			qt.Check(t, takeMessages[*wire.State](conn), qt.HasLen, want, qt.Commentf("heartbeat %d", i))
		}
		_, fresh, endFresh := f.connect(testHome) // the Hello of this connection has no ticket
		defer endFresh()
		qt.Check(t, takeMessages[*wire.State](fresh), qt.HasLen, 1)
	})
}

// fakeLeaseClient returns the error that was set last from each renewal.
type fakeLeaseClient struct {
	mu  sync.Mutex
	err error
}

func (f *fakeLeaseClient) answer(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeLeaseClient) Renew(context.Context, string, string, time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *fakeLeaseClient) Release(context.Context, string, string) error { return nil }

// Guards against an agent that stops while the platform is unavailable, that admits
// tasks while a predecessor holds the lease, or that continues after another process has
// taken it.
func TestLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFixture(1, nil)
		leases := &fakeLeaseClient{err: errors.New("platform is down")}
		a := &Agent{cfg: Config{Leases: leases}, core: f.core}
		lost := make(chan struct{})
		go a.maintainLease(t.Context(), func() { close(lost) })
		held := func() bool {
			time.Sleep(leaseRenewInterval)
			synctest.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.buildAnnounce().Slots > 0
		}
		qt.Check(t, held(), qt.IsTrue) // the platform has not responded yet
		leases.answer(ErrLeaseHeld)
		qt.Check(t, held(), qt.IsFalse) // held by a predecessor
		leases.answer(nil)
		qt.Check(t, held(), qt.IsTrue)
		leases.answer(errors.New("platform is down"))
		qt.Check(t, held(), qt.IsTrue)
		leases.answer(ErrLeaseHeld)
		<-lost
	})
}

// Guards against a renewal that the platform refuses being treated as an outage, which
// would keep an agent running on a worker that another process holds.
func TestPlatformLeases(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(standin.New())
	defer srv.Close()
	leases := PlatformLeaseClient{logstore.NewClient(srv.URL)}
	c.Assert(leases.Renew(t.Context(), "worker-1", "agent-1.1", time.Minute), qt.IsNil)
	c.Assert(leases.Renew(t.Context(), "worker-1", "agent-2.1", time.Minute), qt.ErrorIs, ErrLeaseHeld)
	c.Assert(leases.Release(t.Context(), "worker-1", "agent-1.1"), qt.IsNil)
	c.Assert(leases.Renew(t.Context(), "worker-1", "agent-2.1", time.Minute), qt.IsNil)
	srv.Close()
	err := leases.Renew(t.Context(), "worker-1", "agent-2.1", time.Minute)
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(errors.Is(err, ErrLeaseHeld), qt.IsFalse)
}
