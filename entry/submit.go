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

// arrival is a decoded submission on its way to its home.
type arrival struct {
	team        string
	request     bool
	body        *body
	id          ids.Submission // zero without an id
	traceParent string
}

func (a *arrival) key() submission.Key { return submission.Key{Team: a.team, ID: a.id.Raw} }

func (s *Server) postSubmission(request bool) handlerFunc {
	return func(r *http.Request) reply {
		team, err := s.creds.caller(r)
		if err != nil {
			return errorReply(err)
		}
		raw, err := readBody(r)
		if err != nil {
			return errorReply(err)
		}
		a, err := newArrival(team, raw, request)
		if err != nil {
			return errorReply(err)
		}
		ctx, span := s.startSpan(tracing.WithParent(r.Context(), r.Header.Get("traceparent")), "submission", a)
		defer span.End()
		a.traceParent = tracing.Parent(ctx)
		answer := s.submit(ctx, a)
		endSpan(span, answer)
		return answer
	}
}

func newArrival(team string, raw []byte, request bool) (*arrival, error) {
	b, err := decodeSubmission(raw, request)
	if err != nil {
		return nil, err
	}
	a := &arrival{team: team, request: request, body: b}
	if b.ID != "" {
		if a.id, err = ids.ParseSubmission(b.ID); err != nil {
			return nil, invalid("id: %w", err)
		}
	}
	return a, nil
}

// submit brings a to its home and returns the home's answer. The end of ctx
// withdraws only a submission without an id; any other can be resubmitted.
func (s *Server) submit(ctx context.Context, a *arrival) reply {
	if a.id.Raw == "" {
		return s.runAnonymous(ctx, a)
	}
	home, err := s.locate(a.team, a.id, a.body.SubmittedAt)
	if err != nil {
		return errorReply(err)
	}
	if home == s.self {
		return s.submitHere(ctx, a)
	}
	return s.forwardSubmission(ctx, home, a)
}

// runAnonymous runs a submission without an id. It has no record, because it
// cannot be resubmitted.
func (s *Server) runAnonymous(ctx context.Context, a *arrival) reply {
	if s.refusing.Load() {
		return errorReply(errDraining())
	}
	a.id = s.issued.issueAnonymous()
	job, err := s.buildJob(a)
	if err != nil {
		return errorReply(err)
	}
	return answerReply(a.id.Raw, s.disp.Do(ctx, job))
}

// submitHere answers a submission whose home is this entry: the first arrival
// runs it, every other one joins and receives the same answer.
func (s *Server) submitHere(ctx context.Context, a *arrival) reply {
	canonical, err := a.body.canonical()
	if err != nil {
		return errorReply(err)
	}
	var job dispatch.Job
	if s.record.Lookup(a.key()) == nil {
		if job, err = s.admit(a); err != nil {
			return errorReply(err)
		}
	}
	entry, created, err := s.record.Begin(a.key(), xxhash.Sum64(canonical), s.keepUntil(a))
	if err != nil {
		return errorReply(err)
	}
	if created {
		s.start(a, job, entry)
	}
	answer, err := entry.Wait(ctx)
	if err != nil {
		return errorReply(errkind.New(errkind.Internal, "the caller left: %w", err))
	}
	return reply(answer)
}

// admit checks a new submission against time, configuration and drain. Only
// the home does so, after it found no record: a refusal as "not run" by another
// entry could be false for a resubmission.
func (s *Server) admit(a *arrival) (dispatch.Job, error) {
	if err := s.checkAge(a); err != nil {
		return dispatch.Job{}, err
	}
	if s.refusing.Load() {
		return dispatch.Job{}, errDraining()
	}
	return s.buildJob(a)
}

// start runs job for a new record. The age is checked again after the record
// exists: when this process was paused after submitHere found a record, that one
// may have expired, and job was not built.
func (s *Server) start(a *arrival, job dispatch.Job, entry *submission.Record) {
	if err := s.checkAge(a); err != nil {
		entry.Finish(submission.Answer(errorReply(err)))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.running.add(a.key(), cancel)
	go func() {
		defer cancel()
		defer s.running.remove(a.key())
		entry.Finish(submission.Answer(answerReply(a.id.Raw, s.disp.Do(ctx, job))))
	}()
}

// buildJob checks a against the configuration in force.
func (s *Server) buildJob(a *arrival) (dispatch.Job, error) {
	rules, err := s.kindRules(a.body)
	if err != nil {
		return dispatch.Job{}, err
	}
	deadline := rules.DeadlineMS
	if a.body.DeadlineMS != nil {
		deadline = *a.body.DeadlineMS
	}
	if deadline > rules.DeadlineMS {
		return dispatch.Job{}, invalid("deadline_ms is %d, kind %q allows at most %d", deadline, a.body.Kind, rules.DeadlineMS)
	}
	job := dispatch.Job{
		Submission:  a.id,
		Team:        a.team,
		Service:     a.body.Service,
		Kind:        a.body.Kind,
		Request:     a.request,
		Deadline:    s.now().Add(milliseconds(deadline)),
		TraceParent: a.traceParent,
	}
	for _, t := range a.body.tasks(a.request) {
		job.Tasks = append(job.Tasks, t.task())
	}
	return job, nil
}

func (t submittedTask) task() dispatch.Task {
	task := dispatch.Task{Payload: t.Payload, Expected: milliseconds(t.ExpectedMS), Demand: wire.Resources{}}
	if t.Demand != nil {
		task.Demand = *t.Demand
	}
	if task.Payload == nil {
		task.Payload = []byte("null")
	}
	return task
}

func (s *Server) kindRules(b *body) (ticket.Kind, error) {
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
