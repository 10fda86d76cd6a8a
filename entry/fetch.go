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

// fetchRequest asks for the answer of a submission or cancels the submission.
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
			return nil, invalid("submitted_at is not allowed with an issued id")
		}
		return req, nil
	}
	req.submittedAt, err = strconv.ParseInt(submittedAt, 10, 64)
	if err != nil || req.submittedAt <= 0 || req.submittedAt > maxSubmittedAtMS {
		return nil, invalid("a caller-chosen id requires the query parameter submitted_at in Unix milliseconds")
	}
	return req, nil
}

// fetch forwards req to the home of the submission, or answers it if this entry
// is the home.
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

// fetchLocal answers from the submission table. Its records are keyed by team, so
// a caller cannot reach a submission of another team.
func (s *Server) fetchLocal(ctx context.Context, req *fetchRequest) httpResponse {
	record := s.submissionTable.Lookup(req.key())
	if record == nil {
		return errorResponse(s.missingRecordError(req))
	}
	if req.action == wire.FetchCancel {
		s.runningJobs.cancel(req.key())
		answer, err := record.Wait(ctx)
		if err != nil {
			return errorResponse(errkind.New(errkind.Internal, "the caller disconnected: %w", err))
		}
		return httpResponse(answer)
	}
	answer, ok := record.Answer()
	if !ok {
		return jsonResponse(http.StatusAccepted, responseBody{ID: req.id.Raw, Status: statusRunning})
	}
	return httpResponse(answer)
}

// missingRecordError returns the error for a submission without a record at its
// home. A record may have expired, so a submission has certainly not run only if
// its id would still be accepted.
func (s *Server) missingRecordError(req *fetchRequest) error {
	err := s.checkAge(&incomingSubmission{team: req.team, id: req.id, body: &submissionBody{SubmittedAt: req.submittedAt}})
	if errkind.Is(err, errkind.SubmissionStale) {
		return err
	}
	return errkind.New(errkind.NotFound, "submission %q is unknown at its home", req.id.Raw)
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

// postSubmissionIDs issues submission ids whose home is this entry.
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
		return errorResponse(errDraining()) // the home of the new ids would soon stop
	}
	return jsonResponse(http.StatusOK, map[string][]string{"ids": s.idIssuer.issue(n)})
}

func decodeCount(raw []byte) (int, error) {
	var m issueRequest
	if err := decodeObject(raw, &m, checkIssueFields); err != nil {
		return 0, err
	}
	if m.Count < 1 || m.Count > MaxIssuedIDs {
		return 0, invalid("count is %d; it must be between 1 and %d", m.Count, MaxIssuedIDs)
	}
	return m.Count, nil
}
