// Package errkind defines the error kinds of the API and maps each kind to its answer:
// HTTP status, outcome and retry advice.
package errkind

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what is known about the execution of a task or submission.
type Outcome string

// Outcomes. If it is not known whether the task was started, the outcome is MayHaveRun.
const (
	Done       Outcome = "done"
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
)

// Retry tells the caller whether and how to retry after an error.
type Retry string

// Retry advice values.
const (
	// RetryNever means that a retry cannot succeed.
	RetryNever Retry = "never"
	// RetrySameID means that the submission may be sent again with the same id.
	RetrySameID Retry = "same_id"
	// RetryNewID means that the submission may be sent again with a new id.
	RetryNewID Retry = "new_id"
)

// Kind identifies an error condition. The set of kinds is closed.
type Kind string

// Error kinds. Table maps each of them to its answer.
const (
	InvalidRequest    Kind = "invalid_request"
	UnknownField      Kind = "unknown_field"
	BodyTooLarge      Kind = "body_too_large"
	TooManyTasks      Kind = "too_many_tasks"
	MethodNotAllowed  Kind = "method_not_allowed"
	NotFound          Kind = "not_found"
	Unauthenticated   Kind = "unauthenticated"
	Forbidden         Kind = "forbidden"
	UnknownService    Kind = "unknown_service"
	UnknownKind       Kind = "unknown_kind"
	NeverFits         Kind = "never_fits"
	NoEndpoint        Kind = "no_endpoint"
	QueueFull         Kind = "queue_full"
	QuotaExceeded     Kind = "quota_exceeded"
	DeadlineUnmet     Kind = "deadline_unmet"
	DeadlinePassed    Kind = "deadline_passed"
	RecordFull        Kind = "record_full"
	Draining          Kind = "draining"
	Overloaded        Kind = "overloaded"
	BodyTimeout       Kind = "body_timeout"
	IDConflict        Kind = "id_conflict"
	SubmissionStale   Kind = "submission_stale"
	SubmissionFuture  Kind = "submission_future"
	HomeLost          Kind = "home_lost"
	HomeUnknown       Kind = "home_unknown"
	HomeUnreachable   Kind = "home_unreachable"
	Cancelled         Kind = "cancelled"
	CancelledRunning  Kind = "cancelled_running"
	TaskFailed        Kind = "task_failed"
	EndpointLost      Kind = "endpoint_lost"
	AgentLost         Kind = "agent_lost"
	ConnectionRefused Kind = "connection_refused"
	AnswerTooLarge    Kind = "answer_too_large"
	TicketInvalid     Kind = "ticket_invalid"
	TicketLost        Kind = "ticket_lost"
	TicketUnknown     Kind = "ticket_unknown"
	LogUnavailable    Kind = "log_unavailable"
	NoConfiguration   Kind = "no_configuration"
	JobUnknown        Kind = "job_unknown"
	Internal          Kind = "internal"
)

// Answer describes the response to a caller for an error. RetryAfter is the delay before a retry, zero
// when the caller must not retry.
type Answer struct {
	Status     int
	Outcome    Outcome
	Retry      Retry
	RetryAfter time.Duration
}

// Table maps each kind to its answer. A test checks that it is complete.
var Table = map[Kind]Answer{
	InvalidRequest:    {400, NotRun, RetryNever, 0},
	UnknownField:      {400, NotRun, RetryNever, 0},
	BodyTooLarge:      {413, NotRun, RetryNever, 0},
	TooManyTasks:      {400, NotRun, RetryNever, 0},
	MethodNotAllowed:  {405, NotRun, RetryNever, 0},
	NotFound:          {404, NotRun, RetryNever, 0},
	Unauthenticated:   {401, NotRun, RetryNever, 0},
	Forbidden:         {403, NotRun, RetryNever, 0},
	UnknownService:    {404, NotRun, RetryNever, 0},
	UnknownKind:       {404, NotRun, RetryNever, 0},
	NeverFits:         {422, NotRun, RetryNever, 0},
	NoEndpoint:        {503, NotRun, RetryNewID, time.Second},
	QueueFull:         {503, NotRun, RetryNewID, time.Second},
	QuotaExceeded:     {429, NotRun, RetryNewID, time.Second},
	DeadlineUnmet:     {503, NotRun, RetryNewID, time.Second},
	DeadlinePassed:    {504, MayHaveRun, RetryNever, 0},
	RecordFull:        {503, NotRun, RetryNewID, 5 * time.Second},
	Draining:          {503, NotRun, RetryNewID, time.Second},
	Overloaded:        {503, NotRun, RetryNewID, time.Second},
	BodyTimeout:       {503, NotRun, RetryNewID, time.Second},
	IDConflict:        {409, NotRun, RetryNever, 0},
	SubmissionStale:   {410, MayHaveRun, RetryNever, 0},
	SubmissionFuture:  {400, NotRun, RetryNever, 0},
	HomeLost:          {502, MayHaveRun, RetryNever, 0},
	HomeUnknown:       {503, MayHaveRun, RetrySameID, 2 * time.Second},
	HomeUnreachable:   {502, MayHaveRun, RetrySameID, time.Second},
	Cancelled:         {409, NotRun, RetryNever, 0},
	CancelledRunning:  {409, MayHaveRun, RetryNever, 0},
	TaskFailed:        {502, MayHaveRun, RetryNever, 0},
	EndpointLost:      {502, MayHaveRun, RetryNever, 0},
	AgentLost:         {502, MayHaveRun, RetryNever, 0},
	ConnectionRefused: {503, NotRun, RetryNewID, time.Second},
	AnswerTooLarge:    {502, MayHaveRun, RetryNever, 0},
	TicketInvalid:     {400, NotRun, RetryNever, 0},
	TicketLost:        {409, NotRun, RetryNever, 0},
	TicketUnknown:     {504, MayHaveRun, RetrySameID, time.Second},
	LogUnavailable:    {503, NotRun, RetrySameID, 5 * time.Second},
	NoConfiguration:   {503, NotRun, RetryNewID, time.Second},
	JobUnknown:        {410, NotRun, RetryNever, 0},
	Internal:          {500, MayHaveRun, RetryNever, 0},
}

// Error is an error of one kind with a human-readable detail.
type Error struct {
	Kind   Kind
	Detail string
	// Outcome overrides the outcome of the table if it is not empty.
	Outcome Outcome
	// RetryAfter overrides the retry delay of the table if it is positive.
	RetryAfter time.Duration
	Err        error // the wrapped error, if any
}

// New returns an error of the given kind with a formatted detail. It wraps the operand of
// a %w verb as fmt.Errorf does.
func New(kind Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Kind: kind, Detail: err.Error(), Err: errors.Unwrap(err)}
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Detail }

// Unwrap returns the wrapped error, if any.
func (e *Error) Unwrap() error { return e.Err }

// Answer returns the answer for e: that of its kind with the overrides of e applied. An
// unknown kind is answered as Internal.
func (e *Error) Answer() Answer {
	a, ok := Table[e.Kind]
	if !ok {
		a = Table[Internal]
	}
	if e.Outcome != "" {
		a.Outcome = e.Outcome
	}
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	return a
}

// From returns the *Error in the chain of err, or an error of kind Internal that wraps
// err. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: err.Error(), Err: err}
}

// Is reports whether err is or wraps an *Error of the given kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
