package logstore_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
)

// startFake serves the fake on a loopback port, so that tests can break real
// connections.
func startFake(t *testing.T) (*standin.Server, *logstore.Client) {
	server := standin.New()
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	return server, logstore.NewClient(h.URL, logstore.WithTimeout(5*time.Second))
}

// A write that took effect must not be reported as not applied when its response
// is lost.
func TestLostResponseHasUnknownEffect(t *testing.T) {
	c := qt.New(t)
	server, client := startFake(t)
	server.SetFaults(standin.Faults{LoseResponses: true})
	_, err := client.Append(t.Context(), "s", 1)
	c.Assert(err, qt.IsNotNil)
	c.Assert(logstore.IsNotApplied(err), qt.IsFalse, qt.Commentf("%v", err))
	_, err = client.RenewLease(t.Context(), "worker-1", "me", time.Second)
	c.Assert(logstore.IsNotApplied(err), qt.IsFalse, qt.Commentf("%v", err))
	b, err := client.Read(t.Context(), "s", 0, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(b.Records, qt.HasLen, 1)
}

// A call must time out, and a write that takes effect after its timeout must not be
// reported as not applied.
func TestSlowAppendTimesOutWithUnknownEffect(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		server := standin.New()
		client := logstore.NewClient("http://platform", logstore.WithTransport(server.Transport()))
		server.SetFaults(standin.Faults{DelayMS: 60_000})
		begin := time.Now()
		_, err := client.Append(t.Context(), "s", 1)
		c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		c.Assert(logstore.IsNotApplied(err), qt.IsFalse)
		c.Assert(time.Since(begin), qt.Equals, logstore.DefaultTimeout)
		time.Sleep(time.Minute)
		server.SetFaults(standin.Faults{})
		b, err := client.Read(t.Context(), "s", 0, 10)
		c.Assert(err, qt.IsNil)
		c.Assert(b.Next, qt.Equals, uint64(1))
	})
}

// Errors must not have an unknown effect where the effect is known, since operators
// would then resend needlessly.
func TestRefusedWritesAreNotApplied(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	unreachable := logstore.NewClient("http://" + l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	_, err = unreachable.Append(t.Context(), "s", 1)
	c.Assert(logstore.IsNotApplied(err), qt.IsTrue, qt.Commentf("%v", err))

	_, client := startFake(t)
	_, err = client.Append(t.Context(), "s", make([]int, logstore.MaxRecordBytes))
	c.Assert(logstore.IsNotApplied(err), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.RenewLease(t.Context(), "worker-1", "", time.Second)
	c.Assert(logstore.IsNotApplied(err), qt.IsTrue, qt.Commentf("%v", err))
}

// A server error must not be taken as proof that the write was not applied.
func TestServerErrorHasUnknownEffect(t *testing.T) {
	c := qt.New(t)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }))
	defer h.Close()
	_, err := logstore.NewClient(h.URL).Append(t.Context(), "s", 1)
	c.Assert(err, qt.IsNotNil)
	c.Assert(logstore.IsNotApplied(err), qt.IsFalse)
}

// A lease must have at most one holder, and a paused holder must learn that its
// lease has expired.
func TestLeaseHasOneHolder(t *testing.T) {
	c := qt.New(t)
	server, client := startFake(t)
	ctx := t.Context()
	_, err := client.RenewLease(ctx, "worker-1", "a", time.Minute)
	c.Assert(err, qt.IsNil)
	_, err = client.RenewLease(ctx, "worker-1", "a", time.Minute)
	c.Assert(err, qt.IsNil)
	_, err = client.RenewLease(ctx, "worker-1", "b", time.Minute)
	var held *logstore.LeaseHeldError
	c.Assert(errors.As(err, &held), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(held.Lease.Holder, qt.Equals, "a")
	server.SetFaults(standin.Faults{ExpireLeases: true})
	_, err = client.RenewLease(ctx, "worker-1", "b", time.Minute)
	c.Assert(err, qt.IsNil)
	_, err = client.RenewLease(ctx, "worker-1", "a", time.Minute)
	c.Assert(errors.As(err, &held), qt.IsTrue)
	c.Assert(client.ReleaseLease(ctx, "worker-1", "a"), qt.IsNil) // not the holder
	_, err = client.RenewLease(ctx, "worker-1", "a", time.Minute)
	c.Assert(errors.As(err, &held), qt.IsTrue)
	c.Assert(client.ReleaseLease(ctx, "worker-1", "b"), qt.IsNil)
	_, err = client.RenewLease(ctx, "worker-1", "a", time.Minute)
	c.Assert(err, qt.IsNil)
}

// Malformed responses must not be applied: gaps, repeats and decreasing timestamps.
func TestReadRejectsInvalidResponses(t *testing.T) {
	c := qt.New(t)
	for _, body := range []string{
		`{"records":[{"offset":4,"time_ms":1,"value":1}],"earliest":0,"next":5,"now_ms":1}`,
		`{"records":[{"offset":3,"time_ms":1,"value":1},{"offset":5,"time_ms":1,"value":1}],"earliest":0,"next":6,"now_ms":1}`,
		`{"records":[{"offset":3,"time_ms":2,"value":1},{"offset":4,"time_ms":1,"value":1}],"earliest":0,"next":5,"now_ms":1}`,
		`{"records":[{"offset":3,"time_ms":1,"value":1}],"earliest":0,"next":9,"now_ms":1}`,
		`{"records":[],"earliest":9,"next":8,"now_ms":1}`,
		`{"records":`,
	} {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		_, err := logstore.NewClient(h.URL).Read(t.Context(), "s", 3, 10)
		h.Close()
		c.Assert(err, qt.IsNotNil, qt.Commentf("%s", body))
	}
}
