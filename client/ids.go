package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"oriolerelay/errkind"
)

const (
	// idBatchSize is the number of IDs requested in one call.
	idBatchSize = 100
	// maxIDAge is how long issued IDs may be assigned to new submissions. Entries
	// accept them for 120 s, which must leave time for retries.
	maxIDAge = 60 * time.Second
)

// idPool holds issued IDs that are not yet used.
type idPool struct {
	mu       sync.Mutex
	ids      []string
	issuedAt time.Time
}

// discardOnError discards the unused IDs if err shows that their home entry may be
// unavailable.
func (p *idPool) discardOnError(err error) {
	var e *Error
	if errors.As(err, &e) && e.Kind != errkind.HomeLost && e.Kind != errkind.HomeUnreachable && e.Kind != errkind.Draining {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids = nil
}

// assignID sets a new ID in b, according to the client's ID mode.
func (c *Client) assignID(ctx context.Context, b *submissionBody) error {
	switch c.idMode {
	case RandomIDs:
		b.ID, b.SubmittedAt = rand.Text(), time.Now().UnixMilli()
	case IssuedIDs:
		id, err := c.nextIssuedID(ctx)
		if err != nil {
			return err
		}
		b.ID = id
	}
	return nil
}

func (c *Client) nextIssuedID(ctx context.Context) (string, error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.pool.ids) == 0 || time.Since(c.pool.issuedAt) > maxIDAge {
		issuedAt := time.Now()
		ids, err := c.IssueIDs(ctx, idBatchSize)
		if err != nil {
			return "", err
		}
		c.pool.ids, c.pool.issuedAt = ids, issuedAt
	}
	id := c.pool.ids[0]
	c.pool.ids = c.pool.ids[1:]
	return id, nil
}

// IssueIDs requests n new IDs from an entry, which becomes the home entry of the
// submissions that use them. The call starts no tasks, so it is safe to retry at
// other entries.
func (c *Client) IssueIDs(ctx context.Context, n int) ([]string, error) {
	body, err := json.Marshal(map[string]int{"count": n})
	if err != nil {
		return nil, fmt.Errorf("encode count: %w", err)
	}
	for attempt := 1; ; attempt++ {
		ids, delay, err := c.requestIDs(ctx, body)
		if err == nil {
			return ids, nil
		}
		if attempt == c.maxAttempts || ctx.Err() != nil {
			return nil, fmt.Errorf("request IDs: %w", err)
		}
		var e *Error
		if errors.As(err, &e) && e.Retry == errkind.RetryNever {
			return nil, fmt.Errorf("request IDs: %w", err)
		}
		if err := c.sleepWithinDeadline(ctx, retryDelay(delay)); err != nil {
			return nil, fmt.Errorf("request IDs: %w", err)
		}
	}
}

func (c *Client) requestIDs(ctx context.Context, body []byte) ([]string, time.Duration, error) {
	r, err := c.call(ctx, http.MethodPost, idsPath, body)
	if err != nil {
		return nil, 0, err
	}
	if e := responseError(r.body); e != nil {
		return nil, max(r.retryAfter, time.Duration(e.RetryAfterMS)*time.Millisecond), e
	}
	var m struct {
		IDs []string `json:"ids"`
	}
	if err := json.Unmarshal(r.body, &m); err != nil || len(m.IDs) == 0 {
		return nil, 0, fmt.Errorf("response with status %d has no IDs", r.status)
	}
	return m.IDs, 0, nil
}
