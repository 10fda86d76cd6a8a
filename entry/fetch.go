package entry

import (
	"context"
	"net/http"
	"strconv"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/submission"
	"oriolerelay/wire"
)

// inquiry asks for the answer of a submission or cancels it.
type fetchRequest struct {
	team        string
	id          ids.Submission
	submittedAt int64
	action      wire.FetchAction
}

func (req *fetchRequest) key() submission.Key { return submission.Key{Team: req.team, ID: req.id.Raw} }

func (s *Server) submissionByID(action wire.FetchAction) handlerFunc {
	return func(r *http.Request) httpResponse {
		team, err := s.creds.caller(r)
		if err != nil {
			return errorResponse(err)
		}
		req, err := newFetchRequest(team, r.PathValue("id"), r.URL.Query().Get("submitted_at"), action)
		if err != nil {
			return errorResponse(err)
		}
		return s.fetch(r.Context(), req)
	}
}

func newFetchRequest(team, rawID, submittedAt string, action wire.FetchAction) (*fetchRequest, error) {
	id, err := ids.ParseSubmission(rawID)
	if err != nil {
		return nil, invalid("id: %w", err)
	}
	req := &fetchRequest{team: team, id: id, action: action}
	if id.Issued() {
		if submittedAt != "" {
			return nil, invalid("submitted_at is given with an issued id")
		}
		return req, nil
	}
	req.submittedAt, err = strconv.ParseInt(submittedAt, 10, 64)
	if err != nil || req.submittedAt <= 0 || req.submittedAt > maxSubmittedAtMS {
		return nil, invalid("a caller-chosen id needs the query submitted_at in Unix milliseconds")
	}
	return req, nil
}

// inquire asks the home of a submission.
func (s *Server) fetch(ctx context.Context, req *fetchRequest) httpResponse {
	home, err := s.locateHome(req.team, req.id, req.submittedAt)
	if err != nil {
		return errorResponse(err)
	}
	if home == s.self {
		return s.fetchLocal(ctx, req)
	}
	return s.callHome(ctx, home, fetchTimeout, &wire.Fetch{
		Team:        req.team,
		Submission:  req.id.Raw,
		SubmittedAt: req.submittedAt,
		Action:      req.action,
		Hops:        1,
	})
}

// inquireHere answers from the record. Records are kept by team, so no caller
// reaches a submission of another team.
func (s *Server) fetchLocal(ctx context.Context, req *fetchRequest) httpResponse {
	record := s.submissionTable.Lookup(req.key())
	if record == nil {
		return errorResponse(s.missingRecordError(req))
	}
	if req.action == wire.FetchCancel {
		s.runningJobs.cancel(req.key())
		answer, err := record.Wait(ctx)
		if err != nil {
			return errorResponse(errkind.New(errkind.Internal, "the caller left: %w", err))
		}
		return httpResponse(answer)
	}
	answer, ok := record.Answer()
	if !ok {
		return jsonResponse(http.StatusAccepted, responseBody{ID: req.id.Raw, Status: statusRunning})
	}
	return httpResponse(answer)
}

// absent returns the answer for a submission that is not recorded at its home.
// A record may have expired, so only an id that is still accepted has not run.
func (s *Server) missingRecordError(req *fetchRequest) error {
	err := s.checkAge(&incomingSubmission{team: req.team, id: req.id, body: &submissionBody{SubmittedAt: req.submittedAt}})
	if errkind.Is(err, errkind.SubmissionStale) {
		return err
	}
	return errkind.New(errkind.NotFound, "submission %q was not received", req.id.Raw)
}

func (s *Server) serveFetch(m *wire.Fetch) *wire.Forwarded {
	at := ""
	if m.SubmittedAt != 0 {
		at = strconv.FormatInt(m.SubmittedAt, 10)
	}
	req, err := newFetchRequest(m.Team, m.Submission, at, m.Action)
	if err != nil {
		return forwardedPart(errorResponse(err), 0)
	}
	home, err := s.locateHome(req.team, req.id, req.submittedAt)
	switch {
	case err != nil:
		return forwardedPart(errorResponse(err), 0)
	case home == s.self:
		return forwardedPart(s.fetchLocal(context.Background(), req), m.Offset)
	case m.Hops >= maxHops:
		return forwardedPart(errorResponse(errHomeDisagreement(req.id)), 0)
	}
	next := *m
	next.Hops++
	return s.relay(home, fetchTimeout, &next)
}

type issueRequest struct {
	Count int `json:"count"`
}

// postSubmissionIDs issues ids whose home is this entry.
func (s *Server) postSubmissionIDs(r *http.Request) httpResponse {
	if _, err := s.creds.caller(r); err != nil {
		return errorResponse(err)
	}
	raw, err := readBody(r)
	if err != nil {
		return errorResponse(err)
	}
	n, err := decodeCount(raw)
	if err != nil {
		return errorResponse(err)
	}
	if s.draining.Load() {
		return errorResponse(errDraining()) // the ids would soon lose their home
	}
	return jsonResponse(http.StatusOK, map[string][]string{"ids": s.idIssuer.issue(n)})
}

func decodeCount(raw []byte) (int, error) {
	var m issueRequest
	if err := decodeObject(raw, &m, checkIssueFields); err != nil {
		return 0, err
	}
	if m.Count < 1 || m.Count > MaxIssuedIDs {
		return 0, invalid("count is %d, it must be 1 to %d", m.Count, MaxIssuedIDs)
	}
	return m.Count, nil
}
