package tests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// maxActivationDelay is the bound of invariant 8 of docs/design.md, within which an accepted
// ticket is in force at every entry.
const maxActivationDelay = 4 * time.Second

func (s *system) postTicket(entry int, token string, t load.Ticket) answer {
	return s.call(http.MethodPost, s.EntryHTTP[entry]+"/v1/tickets", token, t)
}

func (s *system) setPlatformFaults(f map[string]any) {
	s.c.Helper()
	a := s.call(http.MethodPut, s.PlatformHTTP+"/v1/faults", "", f)
	s.c.Assert(a.status/100, qt.Equals, 2, qt.Commentf("%s %v", a.rawBody, a.err))
}

// stateAt returns the configuration in force at an entry as JSON with sorted keys.
func (s *system) stateAt(entry int) string {
	s.c.Helper()
	a := s.call(http.MethodGet, s.EntryHTTP[entry]+"/v1/state", proctest.OperatorToken, nil)
	s.c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.rawBody))
	var v any
	s.c.Assert(json.Unmarshal([]byte(a.rawBody), &v), qt.IsNil)
	b, err := json.Marshal(v)
	s.c.Assert(err, qt.IsNil)
	return string(b)
}

// Of two operators who submit tickets with the same number, exactly one may succeed and the
// other must be told so. Both entries must end with the same configuration.
func TestTicketRace(t *testing.T) {
	s := newSystem(t, defaultSpec())
	for round := range 5 {
		number := uint64(round + 2)
		mine := load.NewTicket(number, "two_choices", veils)
		mine.Author, mine.Reason = "gwenllian", fmt.Sprintf("round %d", round)
		theirs := load.NewTicket(number, "naive", veils)
		theirs.Author, theirs.Reason = "fraser", fmt.Sprintf("round %d", round)
		got := make(chan answer, 2)
		go func() { got <- s.postTicket(0, proctest.OperatorToken, mine) }()
		go func() { got <- s.postTicket(1, proctest.SecondOperatorToken, theirs) }()
		accepted := 0
		for range 2 {
			switch a := <-got; {
			case a.status/100 == 2:
				accepted++
			default:
				s.c.Check(a.kind(), qt.Equals, "ticket_lost", qt.Commentf("%s %v", a.rawBody, a.err))
			}
		}
		s.c.Assert(accepted, qt.Equals, 1)
		s.c.Assert(s.target().WaitTicketInForce(s.ctx, number), qt.IsNil)
		s.c.Assert(s.stateAt(0), qt.Equals, s.stateAt(1))
	}
}

// A ticket that is resent after a lost reply must get the result of the first submission, and
// may be reported as accepted only when it is in the log.
func TestTicketResent(t *testing.T) {
	s := newSystem(t, defaultSpec())
	s.setPlatformFaults(map[string]any{"lose_answers": true})
	next := load.NewTicket(2, "two_choices", veils)
	first := s.postTicket(0, proctest.OperatorToken, next)
	s.c.Check(first.status/100 == 2 || first.kind() == "ticket_unknown" || first.kind() == "log_unavailable", qt.IsTrue, qt.Commentf("%s %v", first.rawBody, first.err))
	s.setPlatformFaults(map[string]any{})
	s.eventually(10*time.Second, "the resend is accepted", func() error {
		if a := s.postTicket(1, proctest.OperatorToken, next); a.status/100 != 2 {
			return fmt.Errorf("answer %d %s %w", a.status, a.rawBody, a.err)
		}
		return nil
	})
	s.c.Assert(s.target().WaitTicketInForce(s.ctx, 2), qt.IsNil)
}

// During an outage of the log the configuration in force must not change, tickets are
// refused, requests are served, and an entry that starts gets the configuration from its peers.
func TestLogOutage(t *testing.T) {
	s := newSystem(t, defaultSpec())
	before := s.stateAt(0)
	s.setPlatformFaults(map[string]any{"down": true})
	a := s.postTicket(0, proctest.OperatorToken, load.NewTicket(2, "naive", veils))
	s.c.Check(a.kind() == "log_unavailable" || a.kind() == "ticket_unknown", qt.IsTrue, qt.Commentf("%s %v", a.rawBody, a.err))
	for entry := range s.Entries {
		s.assertComplete(s.stockCheck(entry, 10))
	}
	s.Entries[1].Kill()
	s.c.Assert(s.Entries[1].Start(), qt.IsNil)
	s.eventually(10*time.Second, "the entry that started in the outage is ready", func() error {
		return proctest.GetOK(s.ctx, s.EntryHTTP[1]+"/readyz")
	})
	s.c.Check(s.stateAt(1), qt.Equals, before)
	s.c.Assert(s.WaitEndpoints(s.ctx, 1, veils.Service, 3), qt.IsNil)
	s.assertComplete(s.stockCheck(1, 10))
	s.setPlatformFaults(map[string]any{})
	s.eventually(10*time.Second, "tickets are accepted again", func() error {
		number, err := s.target().TicketInForce(s.ctx, 0)
		if err != nil {
			return err
		}
		if a := s.postTicket(1, proctest.OperatorToken, load.NewTicket(number+1, "two_choices", veils)); a.status/100 != 2 {
			return fmt.Errorf("answer %d %s %w", a.status, a.rawBody, a.err)
		}
		return nil
	})
	s.assertNoDoubleStart()
}

// An accepted ticket must be in force at every entry within 4 s.
func TestTicketInForceWithinBound(t *testing.T) {
	s := newSystem(t, defaultSpec())
	for number := uint64(2); number <= 6; number++ {
		a := s.postTicket(int(number)%2, proctest.OperatorToken, load.NewTicket(number, "two_choices", veils))
		accepted := time.Now()
		s.c.Assert(a.status/100, qt.Equals, 2, qt.Commentf("%s %v", a.rawBody, a.err))
		s.c.Assert(s.target().WaitTicketInForce(s.ctx, number), qt.IsNil)
		s.c.Check(time.Since(accepted) < maxActivationDelay, qt.IsTrue, qt.Commentf("ticket %d took %s", number, time.Since(accepted)))
	}
}
