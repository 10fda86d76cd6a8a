package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/event"
	"oriolerelay/wire"
)

// maxAnswerBytes bounds the answer of one task (section 11.1 of the design).
const maxAnswerBytes = 256 << 10

// idleConnTimeout closes pooled connections to the endpoint.
const idleConnTimeout = 30 * time.Second

// backend is one announced endpoint. Its values do not change; another
// announcement makes a new backend.
type backend struct {
	announced Announcement
	service   string
	address   string
	slots     int // concurrent calls: the endpoint's slots within its connection limit
	capacity  wire.Resources
	renewed   time.Time // guarded by the core's mutex

	unreachable atomic.Bool // the last call could not connect
	failing     atomic.Bool // the last call failed

	cfg       Config
	transport *http.Transport
}

func newBackend(m Announcement, cfg Config, now time.Time) *backend {
	b := &backend{
		announced: m, service: m.Service, address: m.Address, capacity: m.Capacity,
		slots: min(m.Slots, m.Connections), renewed: now, cfg: cfg,
	}
	b.transport = &http.Transport{
		DialContext:         dialCounted,
		MaxConnsPerHost:     m.Connections,
		MaxIdleConnsPerHost: m.Connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return b
}

// Announcement returns what the endpoint announced.
func (b *backend) Announcement() Announcement { return b.announced }

// close releases pooled connections; calls in progress go on.
func (b *backend) close() { b.transport.CloseIdleConnections() }

// call runs t on the endpoint within t's deadline and returns its end.
func (b *backend) call(t *task) wire.TaskResult {
	ctx, cancel := context.WithDeadline(context.Background(), t.deadline)
	defer cancel()
	attempt := &attempt{}
	result := b.post(attempt.trace(ctx), t, attempt)
	b.note(result)
	return result
}

func (b *backend) post(ctx context.Context, t *task, a *attempt) wire.TaskResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.address+"/run", bytes.NewReader(t.spec.Payload))
	if err != nil {
		return wire.TaskResult{Outcome: errkind.NotRun, Kind: errkind.Internal, Detail: err.Error()}
	}
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	setHeaders(req, t)
	resp, err := b.transport.RoundTrip(req)
	if err != nil {
		return a.failed(ctx, err)
	}
	defer resp.Body.Close()
	return readAnswer(ctx, resp)
}

func setHeaders(req *http.Request, t *task) {
	s := &t.spec
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set("Oriole-Submission", s.Submission)
	h.Set("Oriole-Index", strconv.FormatUint(uint64(s.Index), 10))
	h.Set("Oriole-Team", s.Team)
	h.Set("Oriole-Kind", s.Kind)
	h.Set("Oriole-Deadline-Ms", strconv.FormatInt(time.Until(t.deadline).Milliseconds(), 10))
	if s.TraceParent != "" {
		h.Set("traceparent", s.TraceParent)
	}
}

// readAnswer turns the endpoint's answer into a result.
func readAnswer(ctx context.Context, resp *http.Response) wire.TaskResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return lostResult(ctx, err)
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Oriole-Not-Run") == "true":
		return wire.TaskResult{Outcome: errkind.NotRun, Kind: errkind.ConnectionRefused, Detail: "endpoint refused: " + excerpt(body)}
	case resp.StatusCode != http.StatusOK:
		return wire.TaskResult{Outcome: errkind.MayHaveRun, Kind: errkind.TaskFailed, Detail: resp.Status + ": " + excerpt(body)}
	case len(body) > maxAnswerBytes:
		return wire.TaskResult{Outcome: errkind.MayHaveRun, Kind: errkind.AnswerTooLarge, Detail: "answer exceeds " + strconv.Itoa(maxAnswerBytes) + " bytes"}
	}
	return wire.TaskResult{Outcome: errkind.Done, Body: body}
}

// lostResult is the result of a call that failed after bytes were written.
func lostResult(ctx context.Context, err error) wire.TaskResult {
	r := wire.TaskResult{Outcome: errkind.MayHaveRun, Kind: errkind.EndpointLost, Detail: excerpt([]byte(err.Error()))}
	if ctx.Err() != nil {
		r.Kind = errkind.DeadlinePassed
	}
	return r
}

// excerptBytes bounds foreign text in a detail.
const excerptBytes = 200

func excerpt(b []byte) string {
	if len(b) > excerptBytes {
		b = b[:excerptBytes]
	}
	return string(bytes.ToValidUTF8(b, []byte("?")))
}

// note logs the first failure after a success and the first success after that.
func (b *backend) note(r wire.TaskResult) {
	b.unreachable.Store(r.Kind == errkind.ConnectionRefused)
	failed := r.Outcome != errkind.Done
	if b.failing.Swap(failed) == failed {
		return
	}
	if failed {
		b.cfg.Log.Log(event.EndpointFailing, "address", b.address, "kind", r.Kind, "detail", r.Detail)
	} else {
		b.cfg.Log.Log(event.EndpointRecovered, "address", b.address)
	}
}

func readAll(r io.Reader) ([]byte, error) { return io.ReadAll(r) }

func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c}, nil
}
