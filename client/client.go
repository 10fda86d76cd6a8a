// Package client is the Go client for submitting jobs and requests to entries. It
// assigns an ID to each submission, so that a submission whose response was lost can
// be sent again without running twice. Before a retry it waits at least as long as
// the entry requested.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"oriolerelay/errkind"
)

// IDMode selects how a Client assigns IDs to submissions that have none.
type IDMode int

// ID modes.
const (
	// IssuedIDs requests IDs in batches from an entry, which becomes the home entry.
	// They can be used while the platform's log is down.
	IssuedIDs IDMode = iota
	// RandomIDs generates random IDs and sends them with the current time. It needs no
	// extra call, but the local clock must be accurate to half a second.
	RandomIDs
	// NoIDs sends submissions without an ID. A lost response cannot be recovered.
	NoIDs
)

const (
	// DefaultMaxAttempts is the default of Config.MaxAttempts.
	DefaultMaxAttempts = 5
	// maxResponseBytes is the maximum size of a response. It fits 150 results of
	// 256 KiB in base64.
	maxResponseBytes = 64 << 20
	// minRetryDelay is the delay before a retry for which no entry requested a longer
	// one.
	minRetryDelay = 100 * time.Millisecond
	// retryJitter is the maximum random extension of a delay, as a fraction of it. It
	// keeps callers that were refused at the same time from retrying at the same time.
	retryJitter = 0.2
)

// Config configures a Client. Entries and Token are required.
type Config struct {
	// Entries contains the base URLs of entries or of their load balancer, for
	// example "http://127.0.0.1:8080". After a failure the client uses the next one.
	Entries     []string
	Token       string
	IDs         IDMode
	MaxAttempts int          // maximum sends of one submission; zero means DefaultMaxAttempts
	HTTP        *http.Client // nil means a client without a timeout; use contexts to limit calls
}

// Client submits jobs and requests. It is safe for concurrent use.
type Client struct {
	entries      []string
	token        string
	idMode       IDMode
	maxAttempts  int
	http         *http.Client
	currentEntry atomic.Uint64 // index of the entry in use, modulo the number of entries
	pool         idPool
	// sleep waits until d has passed or ctx ends; tests replace it.
	sleep func(ctx context.Context, d time.Duration) error
}

// New returns a Client with the given configuration.
func New(c Config) (*Client, error) {
	if len(c.Entries) == 0 {
		return nil, errors.New("no entry is configured")
	}
	for _, e := range c.Entries {
		if u, err := url.Parse(e); err != nil || u.Host == "" {
			return nil, fmt.Errorf("entry %q is not a URL", e)
		}
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	return &Client{entries: c.Entries, token: c.Token, idMode: c.IDs, maxAttempts: c.MaxAttempts, http: c.HTTP, sleep: sleep}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// response is a complete HTTP response of an entry.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// call sends one request to the current entry. An error means that no complete
// response arrived; the next call then uses another entry.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (response, error) {
	index := c.currentEntry.Load()
	base := strings.TrimSuffix(c.entries[index%uint64(len(c.entries))], "/")
	r, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("create request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	// Keep the HTTP transport from resending the request.
	r.GetBody = nil
	resp, err := c.http.Do(r)
	if err != nil {
		c.currentEntry.CompareAndSwap(index, index+1)
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		c.currentEntry.CompareAndSwap(index, index+1)
		return response{}, fmt.Errorf("read response: %w", err)
	}
	if e := responseError(b); e != nil && e.Kind == errkind.Draining {
		c.currentEntry.CompareAndSwap(index, index+1)
	}
	return response{status: resp.StatusCode, body: b, retryAfter: retryAfter(resp.Header)}, nil
}

// responseError returns the error in a response body, or nil.
func responseError(body []byte) *Error {
	var a Answer
	if json.Unmarshal(body, &a) != nil {
		return nil
	}
	return a.Error
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// retryDelay returns the delay before the next send, with jitter. It is never
// shorter than requested.
func retryDelay(requested time.Duration) time.Duration {
	d := max(requested, minRetryDelay)
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}
