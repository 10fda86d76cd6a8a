package entry

import (
	"bytes"
	"encoding/json"
	"fmt"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// Limits of numeric fields. They keep times in milliseconds far from overflow.
const (
	maxDurationMS    = 24 * 60 * 60 * 1000
	maxSubmittedAtMS = 1 << 53 // JSON numbers are exact up to here
)

// submissionBody is the decoded body of a job or request.
type submissionBody struct {
	ID            string          `json:"id,omitempty"`
	SubmittedAt   int64           `json:"submitted_at,omitempty"` // Unix milliseconds
	Service       string          `json:"service"`
	Kind          string          `json:"kind"`
	DeadlineMS    *int64          `json:"deadline_ms,omitempty"`
	Tasks         []submittedTask `json:"tasks,omitempty"`
	submittedTask                 // the single task of a request
}

// submittedTask is one task of a job.
type submittedTask struct {
	Payload    json.RawMessage `json:"payload,omitempty"`
	Demand     *wire.Resources `json:"demand,omitempty"`
	ExpectedMS int64           `json:"expected_ms,omitempty"`
}

// tasks returns the tasks of a job or the single task of a request.
func (s *submissionBody) tasks(request bool) []submittedTask {
	if request {
		return []submittedTask{s.submittedTask}
	}
	return s.Tasks
}

// decodeSubmission parses and validates the body of a job or request. The result
// depends on the body alone, so a body that is refused here cannot have run at
// any entry. Errors are of type *errkind.Error.
func decodeSubmission(raw []byte, request bool) (*submissionBody, error) {
	s := new(submissionBody)
	if err := decodeObject(raw, s, checkSubmissionFields); err != nil {
		return nil, err
	}
	if err := s.checkFields(request); err != nil {
		return nil, err
	}
	if err := s.checkTasks(request); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *submissionBody) checkFields(request bool) error {
	switch {
	case s.Service == "":
		return invalid("service is missing")
	case s.Kind == "":
		return invalid("kind is missing")
	case !ids.ValidName(s.Service):
		return errkind.New(errkind.UnknownService, "%q is not a valid service name", s.Service)
	case !ids.ValidName(s.Kind):
		return errkind.New(errkind.UnknownKind, "%q is not a valid kind name", s.Kind)
	case s.DeadlineMS != nil && (*s.DeadlineMS < 1 || *s.DeadlineMS > maxDurationMS):
		return invalid("deadline_ms is %d; it must be between 1 and %d", *s.DeadlineMS, maxDurationMS)
	case request && s.Tasks != nil:
		return errkind.New(errkind.UnknownField, "tasks is not a field of a request; a request has a single payload")
	case !request && (s.Payload != nil || s.Demand != nil || s.ExpectedMS != 0):
		return errkind.New(errkind.UnknownField, "payload, demand and expected_ms are not fields of a job; set them in its tasks")
	}
	return s.checkID()
}

// checkID validates the id. submitted_at is required with a caller-chosen id and
// refused otherwise.
func (s *submissionBody) checkID() error {
	if s.ID == "" {
		if s.SubmittedAt != 0 {
			return invalid("submitted_at is not allowed without an id")
		}
		return nil
	}
	id, err := ids.ParseSubmission(s.ID)
	switch {
	case err != nil:
		return invalid("id: %w", err)
	case id.Issued() && s.SubmittedAt != 0:
		return invalid("submitted_at is not allowed with an issued id")
	case !id.Issued() && (s.SubmittedAt <= 0 || s.SubmittedAt > maxSubmittedAtMS):
		return invalid("a caller-chosen id requires submitted_at in Unix milliseconds, with the same value in each resubmission")
	}
	return nil
}

func (s *submissionBody) checkTasks(request bool) error {
	tasks := s.tasks(request)
	if len(tasks) == 0 {
		return invalid("a job must have between 1 and %d tasks", MaxTasks)
	}
	total := 0
	for i, t := range tasks {
		if len(t.Payload) > MaxPayloadBytes {
			return errkind.New(errkind.BodyTooLarge, "payload of task %d has %d bytes; the limit is %d", i, len(t.Payload), MaxPayloadBytes)
		}
		if t.ExpectedMS < 0 || t.ExpectedMS > maxDurationMS {
			return invalid("expected_ms of task %d is %d; it must be between 0 and %d", i, t.ExpectedMS, maxDurationMS)
		}
		total += len(t.Payload)
	}
	if total > MaxJobPayloadBytes {
		return errkind.New(errkind.BodyTooLarge, "the payloads have %d bytes in total; the limit is %d", total, MaxJobPayloadBytes)
	}
	return nil
}

// canonical returns the compact encoding of s. Two bodies that differ only in
// white space or in the order of known fields have the same canonical form.
func (s *submissionBody) canonical() ([]byte, error) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false) // HTML escaping could make a payload six times larger
	if err := enc.Encode(s); err != nil {
		return nil, fmt.Errorf("encode submission: %w", err)
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}

func invalid(format string, args ...any) error {
	return errkind.New(errkind.InvalidRequest, format, args...)
}
