package entry

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"oriolerelay/dispatch"
	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/submission"
	"oriolerelay/ticket"
	"oriolerelay/tracing"
	"oriolerelay/wire"
)

// incomingSubmission is a decoded submission that is processed here or forwarded
// to its home.
type incomingSubmission struct {
	team        string
	request     bool
	body        *submissionBody
	id          ids.Submission // zero if the submission has no id
	traceParent string
}

func (sub *incomingSubmission) key() submission.Key {
	return submission.Key{Team: sub.team, ID: sub.id.Raw}
}

func (s *Server) postSubmission(request bool) handlerFunc {
	return func(r *http.Request) httpResponse {
		team, err := s.creds.caller(r)
		if err != nil {
			return errorResponse(err)
		}
		raw, err := readBody(r)
		if err != nil {
			return errorResponse(err)
		}
		sub, err := newIncomingSubmission(team, raw, request)
		if err != nil {
			return errorResponse(err)
		}
		ctx, span := s.startSpan(tracing.WithParent(r.Context(), r.Header.Get("traceparent")), "submission", sub)
		defer span.End()
		sub.traceParent = tracing.Parent(ctx)
		answer := s.submit(ctx, sub)
		endSpan(span, answer)
		return answer
	}
}

func newIncomingSubmission(team string, raw []byte, request bool) (*incomingSubmission, error) {
	b, err := decodeSubmission(raw, request)
	if err != nil {
		return nil, err
	}
	sub := &incomingSubmission{team: team, request: request, body: b}
	if b.ID != "" {
		if sub.id, err = ids.ParseSubmission(b.ID); err != nil {
			return nil, invalid("id: %w", err)
		}
	}
	return sub, nil
}

// submit runs sub, or forwards it to its home, and returns the response. The end
// of ctx cancels only a submission without an id; any other can be resubmitted.
func (s *Server) submit(ctx context.Context, sub *incomingSubmission) httpResponse {
	if sub.id.Raw == "" {
		return s.runAnonymous(ctx, sub)
	}
	home, err := s.locateHome(sub.team, sub.id, sub.body.SubmittedAt)
	if err != nil {
		return errorResponse(err)
	}
	if home == s.self {
		return s.submitLocal(ctx, sub)
	}
	return s.forwardSubmission(ctx, home, sub)
}

// runAnonymous runs a submission without an id. No record is kept, because such a
// submission cannot be resubmitted.
func (s *Server) runAnonymous(ctx context.Context, sub *incomingSubmission) httpResponse {
	if s.refusingNew.Load() {
		return errorResponse(errDraining())
	}
	sub.id = s.idIssuer.issueAnonymous()
	job, err := s.buildJob(sub)
	if err != nil {
		return errorResponse(err)
	}
	return submissionResponse(sub.id.Raw, s.dispatcher.Do(ctx, job))
}

// submitLocal serves a submission whose home is this entry. The first attempt runs
// it; every later one waits for the same run and receives the same response.
func (s *Server) submitLocal(ctx context.Context, sub *incomingSubmission) httpResponse {
	canonical, err := sub.body.canonical()
	if err != nil {
		return errorResponse(err)
	}
	var job dispatch.Job
	if s.submissionTable.Lookup(sub.key()) == nil {
		if job, err = s.admit(sub); err != nil {
			return errorResponse(err)
		}
	}
	record, created, err := s.submissionTable.Begin(sub.key(), xxhash.Sum64(canonical), s.recordExpiry(sub))
	if err != nil {
		return errorResponse(err)
	}
	if created {
		s.startJob(sub, job, record)
	}
	answer, err := record.Wait(ctx)
	if err != nil {
		return errorResponse(errkind.New(errkind.Internal, "the caller disconnected: %w", err))
	}
	return httpResponse(answer)
}

// admit checks the age of a new submission, that this entry still accepts new
// ones, and the configuration. Only the home does so, and only if it has no record:
// if another entry refused a resubmission as "not run", that could be wrong.
func (s *Server) admit(sub *incomingSubmission) (dispatch.Job, error) {
	if err := s.checkAge(sub); err != nil {
		return dispatch.Job{}, err
	}
	if s.refusingNew.Load() {
		return dispatch.Job{}, errDraining()
	}
	return s.buildJob(sub)
}

// startJob runs job for a new record. The age is checked again after the record
// has been created: if this process was paused after submitLocal found an earlier
// record, that record may have expired, and job has not been built.
func (s *Server) startJob(sub *incomingSubmission, job dispatch.Job, record *submission.Record) {
	if err := s.checkAge(sub); err != nil {
		record.Finish(submission.Answer(errorResponse(err)))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.runningJobs.add(sub.key(), cancel)
	go func() {
		defer cancel()
		defer s.runningJobs.remove(sub.key())
		record.Finish(submission.Answer(submissionResponse(sub.id.Raw, s.dispatcher.Do(ctx, job))))
	}()
}

// buildJob checks sub against the configuration in force and returns its job.
func (s *Server) buildJob(sub *incomingSubmission) (dispatch.Job, error) {
	kind, err := s.kindConfig(sub.body)
	if err != nil {
		return dispatch.Job{}, err
	}
	deadline := kind.DeadlineMS
	if sub.body.DeadlineMS != nil {
		deadline = *sub.body.DeadlineMS
	}
	if deadline > kind.DeadlineMS {
		return dispatch.Job{}, invalid("deadline_ms is %d; the limit of kind %q is %d", deadline, sub.body.Kind, kind.DeadlineMS)
	}
	job := dispatch.Job{
		Submission:  sub.id,
		Team:        sub.team,
		Service:     sub.body.Service,
		Kind:        sub.body.Kind,
		Request:     sub.request,
		Deadline:    s.now().Add(milliseconds(deadline)),
		TraceParent: sub.traceParent,
	}
	for _, t := range sub.body.tasks(sub.request) {
		job.Tasks = append(job.Tasks, t.dispatchTask())
	}
	return job, nil
}

func (t submittedTask) dispatchTask() dispatch.Task {
	task := dispatch.Task{Payload: t.Payload, DeclaredRunTime: milliseconds(t.ExpectedMS), Demand: wire.Resources{}}
	if t.Demand != nil {
		task.Demand = *t.Demand
	}
	if task.Payload == nil {
		task.Payload = []byte("null")
	}
	return task
}

func (s *Server) kindConfig(b *submissionBody) (ticket.Kind, error) {
	st := s.tickets.Load()
	if st == nil || st.Number == 0 {
		return ticket.Kind{}, errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	service, ok := st.Services[b.Service]
	if !ok {
		return ticket.Kind{}, errkind.New(errkind.UnknownService, "service %q is not configured", b.Service)
	}
	kind, ok := service.Kinds[b.Kind]
	if !ok {
		return ticket.Kind{}, errkind.New(errkind.UnknownKind, "service %q has no kind %q", b.Service, b.Kind)
	}
	return kind, nil
}
