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
type inquiry struct {
	team        string
	id          ids.Submission
	submittedAt int64
	action      wire.FetchAction
}

func (q *inquiry) key() submission.Key { return submission.Key{Team: q.team, ID: q.id.Raw} }

func (s *Server) submissionByID(action wire.FetchAction) handlerFunc {
	return func(r *http.Request) reply {
		team, err := s.creds.caller(r)
		if err != nil {
			return errorReply(err)
		}
		q, err := newInquiry(team, r.PathValue("id"), r.URL.Query().Get("submitted_at"), action)
		if err != nil {
			return errorReply(err)
		}
		return s.inquire(r.Context(), q)
	}
}

func newInquiry(team, rawID, submittedAt string, action wire.FetchAction) (*inquiry, error) {
	id, err := ids.ParseSubmission(rawID)
	if err != nil {
		return nil, invalid("id: %w", err)
	}
	q := &inquiry{team: team, id: id, action: action}
	if id.Issued() {
		if submittedAt != "" {
			return nil, invalid("submitted_at is given with an issued id")
		}
		return q, nil
	}
	q.submittedAt, err = strconv.ParseInt(submittedAt, 10, 64)
	if err != nil || q.submittedAt <= 0 || q.submittedAt > maxSubmittedAtMS {
		return nil, invalid("a caller-chosen id needs the query submitted_at in Unix milliseconds")
	}
	return q, nil
}

// inquire asks the home of a submission.
func (s *Server) inquire(ctx context.Context, q *inquiry) reply {
	home, err := s.locate(q.team, q.id, q.submittedAt)
	if err != nil {
		return errorReply(err)
	}
	if home == s.self {
		return s.inquireHere(ctx, q)
	}
	return s.askHome(ctx, home, fetchTimeout, &wire.Fetch{
		Team:        q.team,
		Submission:  q.id.Raw,
		SubmittedAt: q.submittedAt,
		Action:      q.action,
		Hops:        1,
	})
}

// inquireHere answers from the record. Records are kept by team, so no caller
// reaches a submission of another team.
func (s *Server) inquireHere(ctx context.Context, q *inquiry) reply {
	entry := s.record.Lookup(q.key())
	if entry == nil {
		return errorReply(s.absent(q))
	}
	if q.action == wire.FetchCancel {
		s.running.cancel(q.key())
		answer, err := entry.Wait(ctx)
		if err != nil {
			return errorReply(errkind.New(errkind.Internal, "the caller left: %w", err))
		}
		return reply(answer)
	}
	answer, ok := entry.Answer()
	if !ok {
		return jsonReply(http.StatusAccepted, answerBody{ID: q.id.Raw, Status: statusRunning})
	}
	return reply(answer)
}

// absent returns the answer for a submission that is not recorded at its home.
// A record may have expired, so only an id that is still accepted has not run.
func (s *Server) absent(q *inquiry) error {
	err := s.checkAge(&arrival{team: q.team, id: q.id, body: &body{SubmittedAt: q.submittedAt}})
	if errkind.Is(err, errkind.SubmissionStale) {
		return err
	}
	return errkind.New(errkind.NotFound, "submission %q was not received", q.id.Raw)
}

func (s *Server) serveFetch(m *wire.Fetch) *wire.Forwarded {
	at := ""
	if m.SubmittedAt != 0 {
		at = strconv.FormatInt(m.SubmittedAt, 10)
	}
	q, err := newInquiry(m.Team, m.Submission, at, m.Action)
	if err != nil {
		return forwarded(errorReply(err), 0)
	}
	home, err := s.locate(q.team, q.id, q.submittedAt)
	switch {
	case err != nil:
		return forwarded(errorReply(err), 0)
	case home == s.self:
		return forwarded(s.inquireHere(context.Background(), q), m.Offset)
	case m.Hops >= maxHops:
		return forwarded(errorReply(errDisagree(q.id)), 0)
	}
	next := *m
	next.Hops++
	return s.relay(home, fetchTimeout, &next)
}

type issueRequest struct {
	Count int `json:"count"`
}

// postSubmissionIDs issues ids whose home is this entry.
func (s *Server) postSubmissionIDs(r *http.Request) reply {
	if _, err := s.creds.caller(r); err != nil {
		return errorReply(err)
	}
	raw, err := readBody(r)
	if err != nil {
		return errorReply(err)
	}
	n, err := decodeCount(raw)
	if err != nil {
		return errorReply(err)
	}
	if s.draining.Load() {
		return errorReply(errDraining()) // the ids would soon lose their home
	}
	return jsonReply(http.StatusOK, map[string][]string{"ids": s.issued.issue(n)})
}

func decodeCount(raw []byte) (int, error) {
	var m issueRequest
	if err := decodeObject(raw, &m, checkCountNames); err != nil {
		return 0, err
	}
	if m.Count < 1 || m.Count > MaxIssuedIDs {
		return 0, invalid("count is %d, it must be 1 to %d", m.Count, MaxIssuedIDs)
	}
	return m.Count, nil
}
