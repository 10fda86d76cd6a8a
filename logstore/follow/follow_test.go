package follow

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
)

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func jsonResponse(body []byte) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
}

// New processes must still find the configuration and members after the original
// records have expired. Running followers must write a snapshot in time, also on an
// idle stream and despite outages and lost responses.
func TestStateOutlivesRetention(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const retention = 6 * time.Minute
		server := standin.New(standin.WithRetention(retention))
		client := logstore.NewClient("http://platform", logstore.WithTransport(server.Transport()))
		start := func() *Follower[[]uint64] {
			return New(client, "s", offsetMachine{}, Options{Retention: retention})
		}
		server.Append("s", json.RawMessage(`{"type":"value"}`))
		running := []*Follower[[]uint64]{start(), start(), start()}
		for _, f := range running {
			go func() { _ = f.Run(ctx) }()
		}
		for cycle := range 24 {
			time.Sleep(40 * time.Second)
			server.SetFaults(standin.Faults{Down: cycle%3 == 0, LoseResponses: cycle%3 == 1})
			time.Sleep(40 * time.Second)
			server.SetFaults(standin.Faults{})
			time.Sleep(40 * time.Second)
			late := start()
			c.Assert(late.Poll(ctx), qt.IsNil)
			c.Assert(late.Position().State, qt.DeepEquals, []uint64{0})
		}
		appended := running[0].Position().Next - 1
		c.Assert(appended < 24*3, qt.IsTrue, qt.Commentf("%d snapshots in 24 cycles", appended))
	})
}

// A follower must neither stop nor advance its watermark while the log is down or
// slower than the timeout.
func TestFollowerContinuesAfterAnOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		server := standin.New()
		client := logstore.NewClient("http://platform", logstore.WithTransport(server.Transport()))
		f := New(client, "s", offsetMachine{}, Options{})
		go func() { _ = f.Run(ctx) }()
		for _, faults := range []standin.Faults{{Down: true}, {DelayMS: 5000}} {
			time.Sleep(time.Second)
			server.SetFaults(faults)
			outage := time.Now().UnixMilli()
			server.Append("s", json.RawMessage(`{"type":"value"}`))
			time.Sleep(time.Minute)
			c.Assert(f.Position().KnownMS <= outage+logstore.DefaultTimeout.Milliseconds(), qt.IsTrue)
			server.SetFaults(standin.Faults{})
			// A read that was started during the outage may still have to time out.
			time.Sleep(logstore.DefaultTimeout + 2*ReadInterval)
			c.Assert(time.Now().UnixMilli()-f.Position().KnownMS <= ReadInterval.Milliseconds(), qt.IsTrue)
		}
		c.Assert(f.Position().State, qt.DeepEquals, []uint64{0, 1})
		cancel()
		time.Sleep(5 * time.Second) // delayed calls must end before the bubble does
	})
}

// The state must not be lost with the running processes when the log's actual
// retention is shorter than the configured one.
func TestSnapshotAfterAnUnexpectedExpiry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		server := standin.New()
		client := logstore.NewClient("http://platform", logstore.WithTransport(server.Transport()))
		server.Append("s", json.RawMessage(`{"type":"value"}`))
		for range 3 {
			f := New(client, "s", offsetMachine{}, Options{Retention: 1000 * time.Hour})
			go func() { _ = f.Run(ctx) }()
		}
		time.Sleep(time.Second)
		server.SetFaults(standin.Faults{ExpireBefore: map[string]uint64{"s": 1}})
		time.Sleep(maxUrgentSnapshotDelay + 2*ReadInterval)
		late := New(client, "s", offsetMachine{}, Options{})
		c.Assert(late.Poll(ctx), qt.IsNil)
		c.Assert(late.Position().State, qt.DeepEquals, []uint64{0})
		time.Sleep(time.Hour)
		c.Assert(late.Poll(ctx), qt.IsNil)
		c.Assert(late.Position().Next <= 4, qt.IsTrue, qt.Commentf("%d records", late.Position().Next))
	})
}
