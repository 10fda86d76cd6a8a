// Package client is the Go client of callers. It gives each submission an id, so
// that a submission whose answer was lost can be sent again without running
// twice, and it waits as long as the entries ask before it tries again.
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

// IDs says which ids a Client gives to submissions that have none.
type IDMode int

// Ways to name submissions.
const (
	// Issued takes ids in batches from an entry, which becomes the home. They work
	// while the platform's log is down.
	IssuedIDs IDMode = iota
	// Chosen makes random ids with the current time. They need no extra call, but a
	// clock that is right to half a second.
	RandomIDs
	// None sends submissions without an id. A lost answer can't be asked for again.
	NoIDs
)

const (
	// DefaultAttempts bounds the sends of one submission.
	DefaultMaxAttempts = 5
	// maxAnswerBytes bounds an answer: 150 results of 256 KiB in base64.
	maxResponseBytes = 64 << 20
	// minPause is the pause before a resubmission that no entry asked to delay.
	minRetryDelay = 100 * time.Millisecond
	// spread is the part by which a pause is extended at random, so that callers
	// that were refused together do not come back together.
	retryJitter = 0.2
)

// Config configures a Client. Entries and Token are required.
type Config struct {
	// Entries are the base URLs of entries or of their load balancer, for example
	// "http://127.0.0.1:8080". After a failure the next one is used.
	Entries     []string
	Token       string
	IDs         IDMode
	MaxAttempts int          // sends of one submission; zero means DefaultAttempts
	HTTP        *http.Client // nil means a client without a timeout; contexts bound calls
}

// Client submits jobs and requests. It is safe for concurrent use.
type Client struct {
	entries      []string
	token        string
	idMode       IDMode
	maxAttempts  int
	http         *http.Client
	currentEntry atomic.Uint64 // index of the entry in use, modulo their number
	pool         idPool
	// pause waits for d or the end of ctx; tests replace it.
	sleep func(ctx context.Context, d time.Duration) error
}

// New returns a client.
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

// response is a complete HTTP answer of an entry.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// call sends one request to the entry in use. An error means that no complete
// answer arrived; the next call then uses another entry.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (response, error) {
	index := c.currentEntry.Load()
	base := strings.TrimSuffix(c.entries[index%uint64(len(c.entries))], "/")
	r, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("make request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	// The transport must not repeat the request on its own.
	r.GetBody = nil
	resp, err := c.http.Do(r)
	if err != nil {
		c.currentEntry.CompareAndSwap(index, index+1)
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = fmt.Errorf("the answer exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		c.currentEntry.CompareAndSwap(index, index+1)
		return response{}, fmt.Errorf("read answer: %w", err)
	}
	if e := responseError(b); e != nil && e.Kind == errkind.Draining {
		c.currentEntry.CompareAndSwap(index, index+1)
	}
	return response{status: resp.StatusCode, body: b, retryAfter: retryAfter(resp.Header)}, nil
}

// refusal returns the error of an answer, or nil.
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

// waitFor returns the pause before the next send: at least what was asked for.
func retryDelay(requested time.Duration) time.Duration {
	d := max(requested, minRetryDelay)
	return d + time.Duration(retryJitter*rand.Float64()*float64(d))
}
