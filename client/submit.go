package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"oriolerelay/errkind"
)

// Paths of the caller API.
const (
	jobsPath     = "/v1/jobs"
	requestsPath = "/v1/requests"
	idsPath      = "/v1/submission-ids"
)

// UnknownOutcomeError means that no usable response arrived, so it is unknown
// whether the submission ran. The submission may be sent again with the same ID,
// unless ID is empty.
type UnknownOutcomeError struct {
	ID          string
	SubmittedAt time.Time // zero for an issued or empty ID
	Err         error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("no response for submission %q, it may have run: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Do submits a job and waits for its answer. For a failed job it returns the answer
// and an error of type *Error. An *UnknownOutcomeError means that the outcome is
// unknown. Do sends the job again only if that cannot start a task twice: with the
// same ID after a lost response, or with a new ID after a refusal whose outcome is
// "not run" and which allows it.
func (c *Client) Do(ctx context.Context, j Job) (*Answer, error) {
	b, err := j.body()
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, jobsPath, b)
}

// Request submits a single request; see Do.
func (c *Client) Request(ctx context.Context, r Request) (*Answer, error) {
	b, err := r.body()
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, requestsPath, b)
}

// submit sends b until an entry accepts it, an error does not allow a retry or the
// maximum number of attempts is reached.
func (c *Client) submit(ctx context.Context, path string, b *submissionBody) (*Answer, error) {
	callerChosenID := b.ID != ""
	var raw []byte
	for attempt := 1; ; attempt++ {
		if raw == nil {
			if !callerChosenID {
				if err := c.assignID(ctx, b); err != nil {
					return nil, err
				}
			}
			var err error
			if raw, err = json.Marshal(b); err != nil {
				return nil, fmt.Errorf("encode submission: %w", err)
			}
		}
		answer, delay, err := c.sendOnce(ctx, path, raw)
		if err == nil {
			return answer, nil
		}
		c.pool.discardOnError(err)
		action := chooseRetry(err, b.ID != "", callerChosenID)
		if action == giveUp || attempt == c.maxAttempts {
			return answer, finalError(err, b)
		}
		if action == retryNewID {
			raw = nil
		}
		if c.sleepWithinDeadline(ctx, retryDelay(delay)) != nil {
			return answer, finalError(err, b)
		}
	}
}

// sleepWithinDeadline waits for d. It returns an error immediately if the deadline
// of ctx would pass first.
func (c *Client) sleepWithinDeadline(ctx context.Context, d time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return context.DeadlineExceeded
	}
	return c.sleep(ctx, d)
}

// retryAction is the action after a failed send.
type retryAction int

const (
	giveUp retryAction = iota
	retrySameID
	retryNewID
)

// chooseRetry returns the action after err. A refusal states whether and how to
// retry; after a lost response, the submission is sent again with the same ID, if it
// has one.
func chooseRetry(err error, hasID, callerChosenID bool) retryAction {
	var e *Error
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return giveUp
	case !errors.As(err, &e):
		if hasID {
			return retrySameID
		}
	case e.Retry == errkind.RetrySameID && hasID:
		return retrySameID
	case e.Retry == errkind.RetryNewID && e.Outcome == errkind.NotRun && !callerChosenID:
		return retryNewID
	}
	return giveUp
}

func finalError(err error, b *submissionBody) error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	unknown := &UnknownOutcomeError{ID: b.ID, Err: err}
	if b.SubmittedAt != 0 {
		unknown.SubmittedAt = time.UnixMilli(b.SubmittedAt)
	}
	return unknown
}

// sendOnce sends a submission once. The error is of type *Error if an entry reported
// one. delay is the retry delay that the entry requested.
func (c *Client) sendOnce(ctx context.Context, path string, raw []byte) (answer *Answer, delay time.Duration, err error) {
	r, err := c.call(ctx, http.MethodPost, path, raw)
	if err != nil {
		return nil, 0, err
	}
	answer, err = decodeAnswer(r)
	if answer != nil && answer.Error != nil {
		delay = max(r.retryAfter, time.Duration(answer.Error.RetryAfterMS)*time.Millisecond)
	}
	return answer, delay, err
}

func decodeAnswer(r response) (*Answer, error) {
	a := new(Answer)
	if err := json.Unmarshal(r.body, a); err != nil {
		return nil, fmt.Errorf("response with status %d is not JSON: %w", r.status, err)
	}
	switch {
	case a.Error != nil:
		return a, a.Error
	case r.status == http.StatusOK || r.status == http.StatusAccepted:
		return a, nil
	}
	return nil, fmt.Errorf("response with status %d contains neither an answer nor an error", r.status)
}

// Fetch returns the answer of a submission, which has the status "running" until it
// is final. submittedAt must be zero for an ID that an entry issued.
func (c *Client) Fetch(ctx context.Context, id string, submittedAt time.Time) (*Answer, error) {
	return c.callByID(ctx, http.MethodGet, id, submittedAt)
}

// Cancel cancels a submission and returns its final answer. The submission may have
// completed before. submittedAt must be zero for an ID that an entry issued.
func (c *Client) Cancel(ctx context.Context, id string, submittedAt time.Time) (*Answer, error) {
	return c.callByID(ctx, http.MethodDelete, id, submittedAt)
}

func (c *Client) callByID(ctx context.Context, method, id string, submittedAt time.Time) (*Answer, error) {
	path := jobsPath + "/" + url.PathEscape(id)
	if !submittedAt.IsZero() {
		path += "?submitted_at=" + strconv.FormatInt(submittedAt.UnixMilli(), 10)
	}
	r, err := c.call(ctx, method, path, nil)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(r)
}
