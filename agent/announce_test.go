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

// announce returns the kind of a refusal, empty when m is accepted.
func (b *bench) announce(m Announcement) errkind.Kind {
	err := b.announced(m, func(m Announcement) runner {
		b.runner = &fakeRunner{announced: m}
		return b.runner
	})
	if err != nil {
		return err.Kind
	}
	return ""
}

// lastAnnounce returns the newest announcement that was sent to the entry.
func lastAnnounce(c *fakeConn) wire.Announce {
	all := messages[*wire.Announce](c)
	if len(all) == 0 {
		return wire.Announce{}
	}
	return *all[len(all)-1]
}

// Guards against tasks for an endpoint that has stopped renewing.
func TestMissedRenewalsWithdrawEndpoint(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(1, nil)
		ctx, stop := context.WithCancel(t.Context())
		go b.watch(ctx)
		l, conn, end := b.connect(testHome)
		defer end()
		m := Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Slots: 3}
		for range 5 {
			qt.Check(t, b.announce(m), qt.Equals, errkind.Kind(""))
			time.Sleep(RenewalPeriod)
		}
		qt.Check(t, lastAnnounce(conn).Slots, qt.Equals, uint32(3))
		time.Sleep(2*RenewalPeriod + 2*watchPeriod)
		qt.Check(t, lastAnnounce(conn), qt.Equals, wire.Announce{Revision: 3})
		b.start(l, starts(1))
		qt.Check(t, ends(conn)[1], qt.Equals, "no_endpoint")
		stop()
	})
}

// Guards against two endpoints that take turns, a restarted endpoint that stays
// shut out, and a late announcement of one that was replaced.
func TestEndpointRestartsAtNewAddress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(1, nil)
		before := Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Slots: 1}
		after := Announcement{Service: "veil-desk", Address: "127.0.0.1:2", Slots: 1}
		qt.Check(t, b.announce(before), qt.Equals, errkind.Kind(""))
		qt.Check(t, b.announce(after), qt.Equals, errkind.IDConflict)
		time.Sleep(takeoverAfter)
		qt.Check(t, b.announce(after), qt.Equals, errkind.Kind(""))
		qt.Check(t, b.announce(before), qt.Equals, errkind.IDConflict)
		before.Leaving = true
		qt.Check(t, b.announce(before), qt.Equals, errkind.Kind(""))
		qt.Check(t, b.endpoint.announcement().Address, qt.Equals, after.Address)
		after.Leaving = true
		qt.Check(t, b.announce(after), qt.Equals, errkind.Kind(""))
		qt.Check(t, b.endpoint, qt.IsNil)
		before.Leaving = false
		qt.Check(t, b.announce(before), qt.Equals, errkind.Kind("")) // at once, since none is announced
	})
}

// Guards against queued tasks that wait for an endpoint which is leaving or
// cannot be reached, and against breaking off those that run.
func TestWithdrawnEndpointFreesQueue(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(1, nil)
		l, conn, end := b.connect(testHome)
		defer end()
		b.start(l, starts(1, 2))
		qt.Check(t, b.announce(Announcement{Service: "veil-desk", Address: "127.0.0.1:1", Leaving: true}), qt.Equals, errkind.Kind(""))
		qt.Check(t, b.serving("127.0.0.1:1"), qt.IsTrue) // its call may not have arrived yet
		time.Sleep(time.Second)
		qt.Check(t, b.serving("127.0.0.1:1"), qt.IsFalse)
		qt.Check(t, ends(conn), qt.DeepEquals, map[uint64]string{1: "done", 2: "no_endpoint"})
		b.runner.run = func(*task) (wire.TaskResult, bool) {
			return wire.TaskResult{Outcome: errkind.NotRun, Kind: errkind.ConnectionRefused}, true
		}
		b.offer()
		b.start(l, starts(3, 4))
		qt.Check(t, ends(conn), qt.DeepEquals, map[uint64]string{3: "not_run", 4: "no_endpoint"})
		qt.Check(t, lastAnnounce(conn).Slots, qt.Equals, uint32(0))
	})
}

func state(t testing.TB, number uint64, buffer int, deadline time.Duration) *wire.State {
	b, err := json.Marshal(ticket.Config{Number: number, Services: map[string]ticket.Service{"veil-desk": {
		Kinds:     map[string]ticket.Kind{"preview": {DeadlineMS: deadline.Milliseconds()}},
		Endpoints: ticket.EndpointRules{Buffer: buffer},
	}}})
	qt.Assert(t, err, qt.IsNil)
	return &wire.State{Ticket: number, JSON: b}
}

// Guards against a configuration that reverts or is taken from a broken message,
// and against an entry that stays behind although the agent has newer state.
func TestStateNeverReverts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(1, nil)
		l, conn, end := b.connect(testHome)
		defer end()
		b.setState(state(t, 7, 5, time.Minute))
		qt.Check(t, lastAnnounce(conn).Buffer, qt.Equals, uint32(5))
		b.setState(state(t, 6, 9, time.Minute))
		b.setState(&wire.State{Ticket: 8, JSON: []byte("{")})
		b.setState(&wire.State{Ticket: 8, JSON: state(t, 9, 9, time.Minute).JSON})
		qt.Check(t, lastAnnounce(conn), qt.Equals, wire.Announce{})
		qt.Check(t, b.heartbeat().Ticket, qt.Equals, uint64(7))
		qt.Check(t, b.record.age, qt.Equals, time.Minute+settleTime)
		for i, want := range []int{1, 0} { // offered once
			l.handle(wire.Frame{Body: &wire.Heartbeat{Ticket: 6}})
			qt.Check(t, messages[*wire.State](conn), qt.HasLen, want, qt.Commentf("heartbeat %d", i))
		}
		_, fresh, endFresh := b.connect(testHome) // its Hello has no ticket
		defer endFresh()
		qt.Check(t, messages[*wire.State](fresh), qt.HasLen, 1)
	})
}

// fakeLeaser answers renewals with the error of the moment.
type fakeLeaser struct {
	mu  sync.Mutex
	err error
}

func (f *fakeLeaser) answer(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeLeaser) Renew(context.Context, string, string, time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *fakeLeaser) Release(context.Context, string, string) error { return nil }

// Guards against an agent that stops while the platform is unavailable, that
// takes tasks while a predecessor holds the lease, or that goes on after another
// holder has taken it.
func TestLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newBench(1, nil)
		leases := &fakeLeaser{err: errors.New("platform is down")}
		a := &Agent{cfg: Config{Leases: leases}, core: b.core}
		lost := make(chan struct{})
		go a.keepLease(t.Context(), func() { close(lost) })
		held := func() bool {
			time.Sleep(leaseRenewal)
			synctest.Wait()
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.announcement().Slots > 0
		}
		qt.Check(t, held(), qt.IsTrue) // not answered yet
		leases.answer(ErrLeaseHeld)
		qt.Check(t, held(), qt.IsFalse) // by a predecessor
		leases.answer(nil)
		qt.Check(t, held(), qt.IsTrue)
		leases.answer(errors.New("platform is down"))
		qt.Check(t, held(), qt.IsTrue)
		leases.answer(ErrLeaseHeld)
		<-lost
	})
}

// Guards against the platform's refusal being taken for an outage, which would
// keep an agent on a worker that another holds.
func TestPlatformLeases(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer(standin.New())
	defer srv.Close()
	leases := PlatformLeases{logstore.NewClient(srv.URL)}
	c.Assert(leases.Renew(t.Context(), "worker-1", "agent-1.1", time.Minute), qt.IsNil)
	c.Assert(leases.Renew(t.Context(), "worker-1", "agent-2.1", time.Minute), qt.ErrorIs, ErrLeaseHeld)
	c.Assert(leases.Release(t.Context(), "worker-1", "agent-1.1"), qt.IsNil)
	c.Assert(leases.Renew(t.Context(), "worker-1", "agent-2.1", time.Minute), qt.IsNil)
	srv.Close()
	err := leases.Renew(t.Context(), "worker-1", "agent-2.1", time.Minute)
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(errors.Is(err, ErrLeaseHeld), qt.IsFalse)
}
