package entry

import (
	"context"
	"net/http"
	"time"

	"oriolerelay/dispatch"
	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/ticket"
)

func (s *Server) postSubmission(request bool) handlerFunc {
	return func(r *http.Request) reply {
		team, err := s.creds.caller(r)
		if err != nil {
			return errorReply(err)
		}
		body, err := readBody(r)
		if err != nil {
			return errorReply(err)
		}
		sub, err := decodeSubmission(body, request)
		if err != nil {
			return errorReply(err)
		}
		return s.runHere(r.Context(), team, sub, request)
	}
}

// runHere runs a submission without an id. It cannot be resubmitted, so the
// end of ctx withdraws it.
func (s *Server) runHere(ctx context.Context, team string, sub *submission, request bool) reply {
	if s.draining.Load() {
		return errorReply(errDraining())
	}
	job, err := s.buildJob(s.issuer.Next(), team, sub, request)
	if err != nil {
		return errorReply(err)
	}
	return answerReply(job.Submission.Raw, s.disp.Do(ctx, job))
}

// buildJob checks sub against the configuration in force.
func (s *Server) buildJob(id ids.Submission, team string, sub *submission, request bool) (dispatch.Job, error) {
	rules, err := s.kindRules(sub)
	if err != nil {
		return dispatch.Job{}, err
	}
	deadline := rules.DeadlineMS
	if sub.DeadlineMS != nil {
		deadline = *sub.DeadlineMS
	}
	if deadline > rules.DeadlineMS {
		return dispatch.Job{}, invalid("deadline_ms is %d, kind %q allows at most %d", deadline, sub.Kind, rules.DeadlineMS)
	}
	job := dispatch.Job{
		Submission: id,
		Team:       team,
		Service:    sub.Service,
		Kind:       sub.Kind,
		Request:    request,
		Deadline:   time.Now().Add(milliseconds(deadline)),
	}
	for _, t := range sub.tasks(request) {
		job.Tasks = append(job.Tasks, t.task())
	}
	return job, nil
}

func (t submittedTask) task() dispatch.Task {
	task := dispatch.Task{Payload: t.Payload, Expected: milliseconds(t.ExpectedMS)}
	if t.Demand != nil {
		task.Demand = *t.Demand
	}
	if task.Payload == nil {
		task.Payload = []byte("null")
	}
	return task
}

func (s *Server) kindRules(sub *submission) (ticket.Kind, error) {
	st := s.state()
	if st == nil {
		return ticket.Kind{}, errkind.New(errkind.NoConfiguration, "no configuration is known yet")
	}
	service, ok := st.Services[sub.Service]
	if !ok {
		return ticket.Kind{}, errkind.New(errkind.UnknownService, "service %q is not configured", sub.Service)
	}
	kind, ok := service.Kinds[sub.Kind]
	if !ok {
		return ticket.Kind{}, errkind.New(errkind.UnknownKind, "service %q has no kind %q", sub.Service, sub.Kind)
	}
	return kind, nil
}
