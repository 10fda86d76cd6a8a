package logstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// DefaultTimeout is the timeout of one call. The log is read every 500 ms and its
	// data is useful for 2 s, so a slower response is treated as an outage.
	DefaultTimeout = 2 * time.Second
	// MaxRecordBytes is the maximum size of one record's value.
	MaxRecordBytes = 1 << 20
	// maxResponseBytes is the maximum size of a response. Reads request few enough
	// records to stay below it.
	maxResponseBytes = 64 << 20
	// maxErrorBytes is the maximum length of an error response in an error message.
	maxErrorBytes = 512
)

// Client is a client of the platform's log and leases. It is safe for concurrent
// use.
type Client struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
	metrics metrics
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of one call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// NewClient returns a client of the platform at the base URL, for example
// "http://10.0.0.5:7400". It does not connect.
func NewClient(baseURL string, opts ...Option) *Client {
	c := &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		timeout: DefaultTimeout,
		metrics: newMetrics(),
		http: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute},
			// Following a redirect would send a write twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Append appends value, encoded as JSON, to the stream. It never retries. After an
// error for which IsNotApplied is false, the record may be in the stream or may
// appear later.
func (c *Client) Append(ctx context.Context, stream string, value any) (Position, error) {
	body, err := json.Marshal(value)
	if err == nil && len(body) > MaxRecordBytes {
		err = fmt.Errorf("record of %d bytes exceeds %d", len(body), MaxRecordBytes)
	}
	if err != nil {
		return Position{}, &Error{Op: opAppend + " " + stream, Effect: NotApplied, Err: err}
	}
	var pos Position
	err = c.call(ctx, request{opAppend, stream, http.MethodPost, streamPath(stream), body}, &pos)
	return pos, err
}

// Read returns at most limit records, starting at offset from. If records at that
// offset have expired, the batch starts at its Earliest offset.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int) (Batch, error) {
	path := fmt.Sprintf("%s?from=%d&limit=%d", streamPath(stream), from, limit)
	var b Batch
	if err := c.call(ctx, request{opRead, stream, http.MethodGet, path, nil}, &b); err != nil {
		return Batch{}, err
	}
	if err := validateBatch(b, from); err != nil {
		return Batch{}, &Error{Op: opRead + " " + stream, Status: http.StatusOK, Effect: NotApplied, Err: err}
	}
	return b, nil
}

// validateBatch rejects a response that violates the protocol, so that a malformed
// one is never applied.
func validateBatch(b Batch, from uint64) error {
	if b.Earliest > b.Next {
		return fmt.Errorf("response has earliest %d after next %d", b.Earliest, b.Next)
	}
	next := max(from, b.Earliest)
	if len(b.Records) == 0 {
		next = b.Next
	}
	lastMS := int64(0)
	for _, r := range b.Records {
		if r.Offset != next {
			return fmt.Errorf("response has record %d, expected %d", r.Offset, next)
		}
		if r.TimeMS < lastMS {
			return fmt.Errorf("record %d has an earlier timestamp than the preceding record", r.Offset)
		}
		next, lastMS = r.Offset+1, r.TimeMS
	}
	if b.Next != next {
		return fmt.Errorf("response has next %d, expected %d", b.Next, next)
	}
	return nil
}

// RenewLease acquires or renews the lease for ttl. If another holder has the
// lease, the error wraps a *LeaseHeldError.
func (c *Client) RenewLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error) {
	body, err := json.Marshal(leaseRequest{Holder: holder, TTLMS: ttl.Milliseconds()})
	if err != nil {
		return Lease{}, &Error{Op: opRenew + " " + name, Effect: NotApplied, Err: err}
	}
	var l Lease
	err = c.call(ctx, request{opRenew, name, http.MethodPost, leasePath(name), body}, &l)
	return l, err
}

// ReleaseLease releases the lease. Releasing a lease that holder does not have is
// not an error.
func (c *Client) ReleaseLease(ctx context.Context, name, holder string) error {
	path := leasePath(name) + "?holder=" + url.QueryEscape(holder)
	return c.call(ctx, request{opRelease, name, http.MethodDelete, path, nil}, nil)
}

// Names of operations in errors and metrics.
const (
	opAppend  = "append"
	opRead    = "read"
	opRenew   = "renew_lease"
	opRelease = "release_lease"
)

// request is one call of the platform. target is the name of the stream or lease.
type request struct {
	op, target, method, path string
	body                     []byte
}

type leaseRequest struct {
	Holder string `json:"holder"`
	TTLMS  int64  `json:"ttl_ms"`
}

func streamPath(name string) string { return "/v1/streams/" + url.PathEscape(name) + "/records" }

func leasePath(name string) string { return "/v1/leases/" + url.PathEscape(name) }

func (c *Client) call(ctx context.Context, r request, out any) (err error) {
	start := time.Now()
	defer func() { c.metrics.observe(r.op, start, err) }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	callError := func(status int, effect Effect, err error) error {
		return &Error{Op: r.op + " " + r.target, Status: status, Effect: effect, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, r.method, c.baseURL+r.path, bytes.NewReader(r.body))
	if err != nil {
		return callError(0, NotApplied, err)
	}
	if r.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return callError(0, classifyEffect(r.method, err), err)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(respBody) > maxResponseBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		return callError(resp.StatusCode, classifyEffect(r.method, err), err)
	}
	if effect, err := decodeResponse(r, resp.StatusCode, respBody, out); err != nil {
		return callError(resp.StatusCode, effect, err)
	}
	return nil
}

// decodeResponse decodes a response into out. The effect is meaningful only with an
// error.
func decodeResponse(r request, status int, respBody []byte, out any) (Effect, error) {
	switch {
	case status == http.StatusConflict && r.op == opRenew:
		var l Lease
		if err := json.Unmarshal(respBody, &l); err != nil || l.Holder == "" {
			return NotApplied, errors.New("conflict response has no holder")
		}
		return NotApplied, &LeaseHeldError{Lease: l}
	case status >= 400 && status < 500:
		return NotApplied, errors.New(statusMessage(status, respBody))
	case status < 200 || status > 299:
		// A proxy may return a server error after the write took effect.
		return classifyEffect(r.method, nil), errors.New(statusMessage(status, respBody))
	case out == nil:
		return "", nil
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return classifyEffect(r.method, nil), fmt.Errorf("decode response: %w", err)
	}
	return "", nil
}

// classifyEffect returns the effect of a call without a usable response. Reads
// change nothing, and a write cannot take effect if the connection failed to open.
func classifyEffect(method string, err error) Effect {
	var opErr *net.OpError
	if method == http.MethodGet || (errors.As(err, &opErr) && opErr.Op == "dial") {
		return NotApplied
	}
	return Unknown
}

func statusMessage(status int, respBody []byte) string {
	return strconv.Itoa(status) + " " + strings.TrimSpace(string(respBody[:min(len(respBody), maxErrorBytes)]))
}
