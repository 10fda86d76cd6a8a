package tests

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/proctest"
	"oriolerelay/load"
)

// Guards against incompatible programs: entries, agents, endpoints and the platform together
// must serve jobs, requests and tickets.
func TestProgramsServeJobsRequestsAndTickets(t *testing.T) {
	s := newSystem(t, defaultSpec())
	for entry := range s.Entries {
		a := s.submit(entry, submission{kind: "lace-preview", ms: []int{20, 5, 60, 1, 30}})
		s.assertComplete(a)
		s.c.Assert(a.Tasks, qt.HasLen, 5)
		for i, task := range a.Tasks {
			var echo struct {
				Submission string `json:"submission"`
				Index      int    `json:"index"`
			}
			s.c.Assert(json.Unmarshal(task.Body, &echo), qt.IsNil)
			s.c.Check(echo.Index, qt.Equals, i)
			s.c.Check(echo.Submission, qt.Equals, a.ID)
		}
		s.assertComplete(s.stockCheck(entry, 10))
	}
	next := load.NewTicket(2, "two_choices", veils)
	status, body, err := s.target().SubmitTicket(s.ctx, 1, next)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(status/100, qt.Equals, 2, qt.Commentf("%s", body))
	s.c.Assert(s.target().WaitTicketInForce(s.ctx, 2), qt.IsNil)
	s.assertComplete(s.stockCheck(0, 10))
	s.assertNoDoubleStart()
}

// A request with an invalid token, kind, field or path must be refused and reported as not run.
func TestRefusedSubmissionsAreNotRun(t *testing.T) {
	s := newSystem(t, defaultSpec())
	for name, a := range map[string]answer{
		"unauthenticated": s.call(http.MethodPost, s.EntryHTTP[0]+"/v1/requests", "no-such-token", map[string]any{}),
		"unknown_kind":    s.submit(0, submission{kind: "no-such-kind", request: true, ms: []int{1}}),
		"unknown_field":   s.call(http.MethodPost, s.EntryHTTP[0]+"/v1/requests", proctest.VeilsToken, map[string]any{"servise": "x"}),
		"not_found":       s.call(http.MethodGet, s.EntryHTTP[0]+"/v1/no-such-path", proctest.VeilsToken, nil),
		"invalid_request": s.call(http.MethodGet, s.EntryHTTP[0]+"/v1/jobs/without-submitted-at", proctest.VeilsToken, nil),
	} {
		s.c.Check(a.kind(), qt.Equals, name, qt.Commentf("%s", a.rawBody))
		if a.Error != nil {
			s.c.Check(a.Error.Outcome, qt.Equals, "not_run", qt.Commentf("%s", a.rawBody))
		}
	}
	all, err := s.target().CountStarts(s.ctx)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(all, qt.HasLen, 0)
}
