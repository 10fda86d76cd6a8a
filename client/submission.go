package client

import (
	"encoding/json"
	"fmt"
	"time"

	"oriolerelay/errkind"
)

// Demand is the amount of a worker's resources that a task needs.
type Demand struct {
	MilliCores   uint32 `json:"millicores,omitempty"`
	MemoryMiB    uint32 `json:"memory_mib,omitempty"`
	Accelerators uint32 `json:"accelerators,omitempty"`
}

// Task is a unit of work that runs as one call of an endpoint.
type Task struct {
	Payload         any           // encoded as JSON
	Demand          Demand        // zero means no specific demand
	DeclaredRunTime time.Duration // zero if unknown
}

// Job is a set of 1 to 150 tasks with one common answer.
type Job struct {
	// ID and SubmittedAt identify the submission. The client assigns an ID if it is
	// empty. With a caller-chosen ID, SubmittedAt is required and must be the same in
	// each resubmission; its resolution is 1 ms.
	ID          string
	SubmittedAt time.Time
	Service     string
	Kind        string
	Deadline    time.Duration // zero means the default of the kind
	Tasks       []Task
}

// Request is a submission of a single task.
type Request struct {
	ID          string
	SubmittedAt time.Time
	Service     string
	Kind        string
	Deadline    time.Duration
	Task
}

// Answer is the state of a submission, with its results once it is final.
type Answer struct {
	ID string `json:"id,omitempty"`
	// Status is "complete", "failed" or "running".
	Status  string       `json:"status,omitempty"`
	Error   *Error       `json:"error,omitempty"`
	Started int          `json:"started,omitempty"` // number of tasks that started, in a failed answer
	Tasks   []TaskAnswer `json:"tasks,omitempty"`
}

// TaskAnswer is the final state of one task.
type TaskAnswer struct {
	Index   int             `json:"index"`
	Outcome errkind.Outcome `json:"outcome"`
	Kind    errkind.Kind    `json:"kind,omitempty"`
	// Body is the result if it is JSON, and BodyBase64 the result otherwise.
	Body       json.RawMessage `json:"body,omitempty"`
	BodyBase64 []byte          `json:"body_base64,omitempty"`
}

// Error is a refusal or failure reported by an entry.
type Error struct {
	Kind         errkind.Kind    `json:"kind"`
	Detail       string          `json:"detail"`
	Outcome      errkind.Outcome `json:"outcome"`
	Retry        errkind.Retry   `json:"retry"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Outcome, e.Detail)
}

type taskBody struct {
	Payload    json.RawMessage `json:"payload,omitempty"`
	Demand     *Demand         `json:"demand,omitempty"`
	ExpectedMS int64           `json:"expected_ms,omitempty"`
}

type submissionBody struct {
	ID          string     `json:"id,omitempty"`
	SubmittedAt int64      `json:"submitted_at,omitempty"`
	Service     string     `json:"service"`
	Kind        string     `json:"kind"`
	DeadlineMS  int64      `json:"deadline_ms,omitempty"`
	Tasks       []taskBody `json:"tasks,omitempty"`
	*taskBody
}

func (t Task) body() (taskBody, error) {
	b := taskBody{ExpectedMS: t.DeclaredRunTime.Milliseconds()}
	if t.Demand != (Demand{}) {
		b.Demand = &t.Demand
	}
	if t.Payload == nil {
		return b, nil
	}
	var err error
	if b.Payload, err = json.Marshal(t.Payload); err != nil {
		return b, fmt.Errorf("encode payload: %w", err)
	}
	return b, nil
}

// body returns the request body of j. submit adds an ID if j has none.
func (j Job) body() (*submissionBody, error) {
	b := &submissionBody{ID: j.ID, Service: j.Service, Kind: j.Kind, DeadlineMS: j.Deadline.Milliseconds()}
	for i, t := range j.Tasks {
		tb, err := t.body()
		if err != nil {
			return nil, fmt.Errorf("task %d: %w", i, err)
		}
		b.Tasks = append(b.Tasks, tb)
	}
	return b, b.setSubmittedAt(j.SubmittedAt)
}

func (r Request) body() (*submissionBody, error) {
	tb, err := r.Task.body()
	if err != nil {
		return nil, err
	}
	b := &submissionBody{ID: r.ID, Service: r.Service, Kind: r.Kind, DeadlineMS: r.Deadline.Milliseconds(), taskBody: &tb}
	return b, b.setSubmittedAt(r.SubmittedAt)
}

func (b *submissionBody) setSubmittedAt(at time.Time) error {
	if at.IsZero() {
		return nil
	}
	if b.ID == "" {
		return fmt.Errorf("SubmittedAt is set without an ID")
	}
	b.SubmittedAt = at.UnixMilli()
	return nil
}
