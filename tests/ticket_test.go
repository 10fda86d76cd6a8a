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

// inForceLimit is invariant 8 of docs/design.md.
const inForceLimit = 4 * time.Second

func (s *system) ticket(entry int, token string, t load.Ticket) answer {
	return s.call(http.MethodPost, s.EntryHTTP[entry]+"/v1/tickets", token, t)
}

func (s *system) faults(f map[string]any) {
	s.c.Helper()
	a := s.call(http.MethodPut, s.PlatformHTTP+"/v1/faults", "", f)
	s.c.Assert(a.status/100, qt.Equals, 2, qt.Commentf("%s %v", a.text, a.err))
}

// stateAt returns the state in force at an entry as canonical JSON.
func (s *system) stateAt(entry int) string {
	s.c.Helper()
	a := s.call(http.MethodGet, s.EntryHTTP[entry]+"/v1/state", proctest.OperatorToken, nil)
	s.c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.text))
	var v any
	s.c.Assert(json.Unmarshal([]byte(a.text), &v), qt.IsNil)
	b, err := json.Marshal(v)
	s.c.Assert(err, qt.IsNil)
	return string(b)
}

// Of two operators who race for one number exactly one may win, the other must
// learn of it, and both entries must end with the same state.
func TestTicketRace(t *testing.T) {
	s := newSystem(t, spec())
	for round := range 5 {
		number := uint64(round + 2)
		mine := load.NewTicket(number, "two_choices", veils)
		mine.Author, mine.Reason = "gwenllian", fmt.Sprintf("round %d", round)
		theirs := load.NewTicket(number, "naive", veils)
		theirs.Author, theirs.Reason = "fraser", fmt.Sprintf("round %d", round)
		got := make(chan answer, 2)
		go func() { got <- s.ticket(0, proctest.OperatorToken, mine) }()
		go func() { got <- s.ticket(1, proctest.SecondOperatorToken, theirs) }()
		won := 0
		for range 2 {
			switch a := <-got; {
			case a.status/100 == 2:
				won++
			default:
				s.c.Check(a.kind(), qt.Equals, "ticket_lost", qt.Commentf("%s %v", a.text, a.err))
			}
		}
		s.c.Assert(won, qt.Equals, 1)
		s.c.Assert(s.target().WaitInForce(s.ctx, number), qt.IsNil)
		s.c.Assert(s.stateAt(0), qt.Equals, s.stateAt(1))
	}
}

// A resend after a lost reply must get the verdict of the first, and an operator is told
// "accepted" only when the ticket is in the log.
func TestTicketResent(t *testing.T) {
	s := newSystem(t, spec())
	s.faults(map[string]any{"lose_answers": true})
	next := load.NewTicket(2, "two_choices", veils)
	first := s.ticket(0, proctest.OperatorToken, next)
	s.c.Check(first.status/100 == 2 || first.kind() == "ticket_unknown" || first.kind() == "log_unavailable", qt.IsTrue, qt.Commentf("%s %v", first.text, first.err))
	s.faults(map[string]any{})
	s.eventually(10*time.Second, "the resend is accepted", func() error {
		if a := s.ticket(1, proctest.OperatorToken, next); a.status/100 != 2 {
			return fmt.Errorf("answer %d %s %w", a.status, a.text, a.err)
		}
		return nil
	})
	s.c.Assert(s.target().WaitInForce(s.ctx, 2), qt.IsNil)
}

// During an outage of the log what is in force stays in force, tickets are
// refused, requests are served, and an entry that starts gets the state from its peers.
func TestLogOutage(t *testing.T) {
	s := newSystem(t, spec())
	before := s.stateAt(0)
	s.faults(map[string]any{"down": true})
	a := s.ticket(0, proctest.OperatorToken, load.NewTicket(2, "naive", veils))
	s.c.Check(a.kind() == "log_unavailable" || a.kind() == "ticket_unknown", qt.IsTrue, qt.Commentf("%s %v", a.text, a.err))
	for entry := range s.Entries {
		s.mustComplete(s.stockCheck(entry, 10))
	}
	s.Entries[1].Kill()
	s.c.Assert(s.Entries[1].Start(), qt.IsNil)
	s.eventually(10*time.Second, "the entry that started in the outage is ready", func() error {
		return proctest.GetOK(s.ctx, s.EntryHTTP[1]+"/readyz")
	})
	s.c.Check(s.stateAt(1), qt.Equals, before)
	s.c.Assert(s.WaitEndpoints(s.ctx, 1, veils.Service, 3), qt.IsNil)
	s.mustComplete(s.stockCheck(1, 10))
	s.faults(map[string]any{})
	s.eventually(10*time.Second, "tickets are accepted again", func() error {
		number, err := s.target().InForce(s.ctx, 0)
		if err != nil {
			return err
		}
		if a := s.ticket(1, proctest.OperatorToken, load.NewTicket(number+1, "two_choices", veils)); a.status/100 != 2 {
			return fmt.Errorf("answer %d %s %w", a.status, a.text, a.err)
		}
		return nil
	})
	s.assertNoDoubleStart()
}

// An accepted ticket must be in force everywhere within 4 s.
func TestTicketInForceWithinBound(t *testing.T) {
	s := newSystem(t, spec())
	for number := uint64(2); number <= 6; number++ {
		a := s.ticket(int(number)%2, proctest.OperatorToken, load.NewTicket(number, "two_choices", veils))
		accepted := time.Now()
		s.c.Assert(a.status/100, qt.Equals, 2, qt.Commentf("%s %v", a.text, a.err))
		s.c.Assert(s.target().WaitInForce(s.ctx, number), qt.IsNil)
		s.c.Check(time.Since(accepted) < inForceLimit, qt.IsTrue, qt.Commentf("ticket %d took %s", number, time.Since(accepted)))
	}
}
