package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// maxAnswerBytes bounds the answer of one task (design, section 11.1).
const maxAnswerBytes = 256 << 10

// idleConnTimeout is how long an idle pooled connection to the endpoint is kept.
const idleConnTimeout = 30 * time.Second

const (
	// dialTimeout bounds a connection attempt to an endpoint on this host.
	dialTimeout = time.Second
	// maxHeaderBytes bounds the header of an endpoint's HTTP response.
	maxHeaderBytes = 64 << 10
)

// endpointClient calls one announced endpoint over HTTP. Its configuration is immutable;
// a changed announcement creates a new endpointClient.
type endpointClient struct {
	announced Announcement
	cfg       Config
	transport *http.Transport
	tracer    trace.Tracer
	failing   atomic.Bool // the last call failed
}

func newEndpointClient(m Announcement, cfg Config) *endpointClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &endpointClient{
		announced: m,
		cfg:       cfg,
		tracer:    newTracer(cfg.Traces),
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: c}, nil
			},
			MaxConnsPerHost:        m.Connections,
			MaxIdleConnsPerHost:    m.Connections,
			MaxResponseHeaderBytes: maxHeaderBytes,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
		},
	}
}

func (c *endpointClient) announcement() Announcement { return c.announced }

// slots returns the endpoint's number of slots, limited by its number of connections
// because each call uses one.
func (c *endpointClient) slots() int { return min(c.announced.Slots, c.announced.Connections) }

func (c *endpointClient) close() { c.transport.CloseIdleConnections() }

// call implements runner.
func (c *endpointClient) call(t *task) (wire.TaskResult, bool) {
	ctx, cancel := context.WithDeadline(context.Background(), t.deadline)
	defer cancel()
	ctx, span := startSpans(ctx, c.tracer, t)
	a := &attempt{}
	result := c.post(a.withTrace(ctx), t, a)
	endSpan(span, &result)
	c.logTransition(&result)
	return result, a.dialFailed
}

// post sends t to the endpoint and returns its result.
func (c *endpointClient) post(ctx context.Context, t *task, a *attempt) wire.TaskResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.announced.Address+"/run", bytes.NewReader(t.spec.Payload))
	if err != nil {
		return wire.TaskResult{Outcome: errkind.NotRun, Kind: errkind.Internal, Detail: excerpt(err.Error())}
	}
	// Without GetBody, http.Transport cannot retry a request that it has started to
	// write; a retry could run the task twice.
	req.GetBody = nil
	setHeaders(req, t)
	injectTrace(ctx, req.Header)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return a.failedResult(ctx, err)
	}
	defer resp.Body.Close()
	return readResponse(ctx, resp)
}

// setHeaders sets the headers that describe t to the endpoint.
func setHeaders(req *http.Request, t *task) {
	s := &t.spec
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("Oriole-Submission", s.Submission)
	h.Set("Oriole-Index", strconv.FormatUint(uint64(s.Index), 10))
	h.Set("Oriole-Team", s.Team)
	h.Set("Oriole-Kind", s.Kind)
	h.Set("Oriole-Deadline-Ms", strconv.FormatInt(time.Until(t.deadline).Milliseconds(), 10))
}

// readResponse converts the endpoint's HTTP response into a task result.
func readResponse(ctx context.Context, resp *http.Response) wire.TaskResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return lostResult(ctx, err)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Oriole-Not-Run") == "true":
		return wire.TaskResult{Outcome: errkind.NotRun, Kind: errkind.ConnectionRefused, Detail: "endpoint refused the task: " + excerpt(string(body))}
	case resp.StatusCode != http.StatusOK:
		return wire.TaskResult{Outcome: errkind.MayHaveRun, Kind: errkind.TaskFailed, Detail: resp.Status + ": " + excerpt(string(body))}
	case len(body) > maxAnswerBytes:
		return wire.TaskResult{Outcome: errkind.MayHaveRun, Kind: errkind.AnswerTooLarge, Detail: "answer exceeds " + strconv.Itoa(maxAnswerBytes) + " bytes"}
	}
	return wire.TaskResult{Outcome: errkind.Done, Body: body}
}

// lostResult returns the result of a call that failed after bytes were written.
func lostResult(ctx context.Context, err error) wire.TaskResult {
	r := wire.TaskResult{Outcome: errkind.MayHaveRun, Kind: errkind.EndpointLost, Detail: excerpt(err.Error())}
	if ctx.Err() != nil {
		r.Kind = errkind.DeadlinePassed
	}
	return r
}

// excerptBytes bounds the text of errors and responses that is copied into a result's detail.
const excerptBytes = 200

// excerpt returns the start of s as valid UTF-8.
func excerpt(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), excerptBytes)], "?")
}

// logTransition logs the first failed call after a success and the first successful
// call after a failure.
func (c *endpointClient) logTransition(r *wire.TaskResult) {
	failed := r.Outcome != errkind.Done
	if c.failing.Swap(failed) == failed {
		return
	}
	if failed {
		c.cfg.Log.Log(event.EndpointFailing, "address", c.announced.Address, "kind", r.Kind, "detail", r.Detail)
	} else {
		c.cfg.Log.Log(event.EndpointRecovered, "address", c.announced.Address)
	}
}
