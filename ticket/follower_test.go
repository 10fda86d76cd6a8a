package ticket

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
)

func validService() *Service {
	return &Service{
		Kinds:     map[string]Kind{"preview": {DeadlineMS: 2000, ExpectedMS: 100, MaxAttempts: 1, QueueLimit: 100}},
		Endpoints: EndpointRules{Policy: policyLeastFinish, Buffer: 2, EjectAfterFailures: 5, EjectMS: 1000},
	}
}

func serviceTicket(number uint64, author string) *Ticket {
	return &Ticket{Number: number, Author: author, Reason: "test", Services: map[string]*Service{"veil-desk": validService()}}
}

// inBubble runs test with a fake clock, a simulated platform and a function that
// starts a follower of its log.
func inBubble(t *testing.T, test func(c *qt.C, server *standin.Server, start func() *Follower)) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		server := standin.New()
		test(c, server, func() *Follower {
			f := NewFollower(logstore.NewClient("http://platform", logstore.WithTransport(server.Transport())), nil)
			go func() { _ = f.Run(ctx) }()
			synctest.Wait()
			return f
		})
		cancel()
		synctest.Wait()
	})
}

// Guards against telling two operators that their tickets with the same number are both
// in force.
func TestConflictingTicketsHaveOneWinner(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *standin.Server, start func() *Follower) {
		first, second := start(), start()
		results := make(chan error, 2)
		for i, f := range []*Follower{first, second} {
			go func() {
				_, err := f.Submit(c.Context(), serviceTicket(1, fmt.Sprintf("operator-%d", i)))
				results <- err
			}()
		}
		a, b := <-results, <-results
		if a != nil {
			a, b = b, a
		}
		c.Assert(a, qt.IsNil)
		c.Assert(errkind.Is(b, errkind.TicketLost), qt.IsTrue, qt.Commentf("%v", b))
		time.Sleep(time.Second)
		c.Assert(first.Load(), qt.DeepEquals, second.Load())
		c.Assert(first.Load().Number, qt.Equals, uint64(1))
	})
}

// Guards against a wrong result when the append took effect but its response was lost.
func TestSubmitReadsBackAfterLostResponse(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		f := start()
		server.SetFaults(standin.Faults{LoseResponses: true})
		v, err := f.Submit(c.Context(), serviceTicket(1, "fraser"))
		c.Assert(err, qt.IsNil)
		c.Assert(v.Status, qt.Equals, StatusAccepted)
		c.Assert(f.Load().Number, qt.Equals, uint64(1))
	})
}

// Guards against reporting a ticket as not sent although it was, and the reverse.
func TestSubmitDuringAnOutage(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		f := start()
		server.SetFaults(standin.Faults{Down: true})
		_, err := f.Submit(c.Context(), serviceTicket(1, "fraser"))
		c.Assert(errkind.Is(err, errkind.LogUnavailable), qt.IsTrue, qt.Commentf("%v", err))
		server.SetFaults(standin.Faults{})
		v, err := f.Submit(c.Context(), serviceTicket(1, "fraser"))
		c.Assert(err, qt.IsNil)
		c.Assert(v.Status, qt.Equals, StatusAccepted)
	})
}

// Guards against an old configuration of a peer that replaces a newer one, also when both
// arrive before either is published, and against a reader that is not notified.
func TestImportConfigNeverGoesBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := standin.New()
		server.SetFaults(standin.Faults{Down: true})
		f := NewFollower(logstore.NewClient("http://platform", logstore.WithTransport(server.Transport())), nil)
		changed := f.Changed()
		c.Assert(f.ImportConfig([]byte(`{"number":2,"teams":{"lace":{"weight":1}}}`)), qt.IsNil)
		c.Assert(f.ImportConfig([]byte(`{"number":1}`)), qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-changed
		c.Assert(f.Load().Number, qt.Equals, uint64(2))
		synctest.Wait()
		c.Assert(f.Load().Number, qt.Equals, uint64(2))
		c.Assert(f.ImportConfig([]byte(`{"number":1}`)), qt.IsNil)
		c.Assert(f.ImportConfig([]byte(`{"number":2}`)), qt.ErrorMatches, "configuration of a peer differs.*")
		c.Assert(f.ImportConfig([]byte(`{`)), qt.IsNotNil)
		synctest.Wait()
		c.Assert(f.Load().Teams, qt.HasLen, 1)
		_, encoded, err := f.ExportConfig()
		c.Assert(err, qt.IsNil)
		c.Assert(f.ImportConfig(encoded), qt.IsNil)
		cancel()
		synctest.Wait()
	})
}

// Guards against a process that keeps a peer's configuration and does not continue with
// the log when it is available again.
func TestLogContinuesAfterPeerConfig(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		first := start()
		_, err := first.Submit(c.Context(), serviceTicket(1, "fraser"))
		c.Assert(err, qt.IsNil)
		server.SetFaults(standin.Faults{Down: true})
		second := start()
		_, encoded, err := first.ExportConfig()
		c.Assert(err, qt.IsNil)
		c.Assert(second.ImportConfig(encoded), qt.IsNil)
		synctest.Wait()
		c.Assert(second.Load().Number, qt.Equals, uint64(1))
		server.SetFaults(standin.Faults{})
		_, err = second.Submit(c.Context(), serviceTicket(2, "gwenllian"))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(first.Load(), qt.DeepEquals, second.Load())
	})
}

// failingWrites fails every write with a connection error before it takes effect.
type failingWrites struct{ http.RoundTripper }

func (w failingWrites) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method != http.MethodGet {
		return nil, io.ErrUnexpectedEOF
	}
	return w.RoundTripper.RoundTrip(r)
}

// Guards against reporting a ticket as accepted, or as not sent, when the connection
// failed during its append and the log does not contain it: it may still be added.
func TestFailedAppendIsUnknown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		transport := failingWrites{standin.New().Transport()}
		f := NewFollower(logstore.NewClient("http://platform", logstore.WithTransport(transport)), nil)
		go func() { _ = f.Run(ctx) }()
		_, err := f.Submit(ctx, serviceTicket(1, "fraser"))
		c.Assert(errkind.Is(err, errkind.TicketUnknown), qt.IsTrue, qt.Commentf("%v", err))
		cancel()
		synctest.Wait()
	})
}

// Guards against a system that never accepts a ticket again after all tickets expired
// while no process was running, and against followers that then have different
// configurations.
func TestRestartAfterAllTicketsWereLost(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		for range 3 {
			server.Append(Stream, []byte("{}"))
		}
		server.SetFaults(standin.Faults{ExpireBefore: map[string]uint64{Stream: 2}})
		followers := []*Follower{start(), start()}
		_, err := followers[0].Submit(c.Context(), serviceTicket(1, "fraser"))
		c.Assert(errkind.Is(err, errkind.LogUnavailable), qt.IsTrue, qt.Commentf("%v", err))

		answers := make(chan error, len(followers))
		for i, f := range followers {
			go func() {
				ticket := serviceTicket(uint64(40+i), fmt.Sprintf("operator-%d", i))
				ticket.Restart = true
				_, err := f.Submit(c.Context(), ticket)
				answers <- err
			}()
		}
		first, second := <-answers, <-answers
		c.Assert((first == nil) != (second == nil), qt.IsTrue, qt.Commentf("%v and %v", first, second))

		late := start()
		last := late.Load().Number
		c.Assert(last >= 40, qt.IsTrue)
		_, err = late.Submit(c.Context(), serviceTicket(last+1, "fraser"))
		c.Assert(err, qt.IsNil)
		again := serviceTicket(last+2, "gwenllian")
		again.Restart = true
		_, err = late.Submit(c.Context(), again)
		c.Assert(errkind.Is(err, errkind.TicketInvalid), qt.IsTrue, qt.Commentf("%v", err))
		server.Append(Stream, encodeTicket(c, again)) // bypasses the check in Submit
		time.Sleep(time.Second)
		for _, f := range append(followers, late, start()) {
			c.Assert(f.Load(), qt.DeepEquals, late.Load())
			c.Assert(f.Load().Number, qt.Equals, last+1)
		}
	})
}

func encodeTicket(c *qt.C, t *Ticket) []byte {
	b, err := json.Marshal(record{Type: recordType, Ticket: t})
	c.Assert(err, qt.IsNil)
	return b
}
