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

// Paths of the callers' API.
const (
	jobsPath     = "/v1/jobs"
	requestsPath = "/v1/requests"
	idsPath      = "/v1/submission-ids"
)

// LostError means that no answer arrived, so that it is not known whether the
// submission ran. The same submission with the same ID may be sent again, unless
// ID is empty.
type UnknownOutcomeError struct {
	ID          string
	SubmittedAt time.Time // zero unless the ID was chosen by the caller
	Err         error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("no answer for submission %q, it may have run: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Do submits a job and waits for its answer. A failed job is returned with its
// answer and an error of type *Error. A *LostError means that the outcome is not
// known. Do sends the job again only when that cannot start a task twice: with
// the same id after a lost answer, or with a new id after a refusal that says
// "not run" and allows it.
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

// submit sends b until it has a final answer or the attempts are used up.
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

// pauseWithin waits for d. It returns at once when ctx ends before d has passed.
func (c *Client) sleepWithinDeadline(ctx context.Context, d time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return context.DeadlineExceeded
	}
	return c.sleep(ctx, d)
}

// step is what may follow a failed send.
type retryAction int

const (
	giveUp retryAction = iota
	retrySameID
	retryNewID
)

// nextStep decides what may follow err. A refusal is followed as it advises; a
// lost answer is asked for again with the same id, if there is one.
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

// sendOnce sends one submission. The error is of type *Error when an entry
// answered. wait is the pause that the entry asked for.
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
		return nil, fmt.Errorf("answer with status %d is not JSON: %w", r.status, err)
	}
	switch {
	case a.Error != nil:
		return a, a.Error
	case r.status == http.StatusOK || r.status == http.StatusAccepted:
		return a, nil
	}
	return nil, fmt.Errorf("answer with status %d has no error", r.status)
}

// Fetch returns the answer of a submission, or one with status "running".
// submittedAt is given with a caller-chosen id only.
func (c *Client) Fetch(ctx context.Context, id string, submittedAt time.Time) (*Answer, error) {
	return c.callByID(ctx, http.MethodGet, id, submittedAt)
}

// Cancel withdraws a submission and returns its final answer, which may be
// complete. submittedAt is given with a caller-chosen id only.
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
