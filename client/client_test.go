package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
)

// scriptedEntry is a fake entry that responds to submissions with a list of steps
// and records the received bodies.
type scriptedEntry struct {
	mu     sync.Mutex
	steps  []func(w http.ResponseWriter)
	bodies []string
	issued int
}

func (s *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == idsPath {
		var m struct{ Count int }
		_ = json.Unmarshal(body, &m)
		ids := make([]string, m.Count)
		for i := range ids {
			s.issued++
			ids[i] = fmt.Sprintf("@entry-1.5f.%d", s.issued)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"ids": ids})
		return
	}
	s.bodies = append(s.bodies, string(body))
	step := s.steps[0]
	s.steps = s.steps[1:]
	step(w)
}

func (s *scriptedEntry) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bodies)
}

func complete(w http.ResponseWriter) {
	fmt.Fprint(w, `{"id":"x","status":"complete","tasks":[{"index":0,"outcome":"done","body":42}]}`)
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// respondWithError returns a step that responds with an error kind as an entry does.
func respondWithError(kind errkind.Kind) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		row := errkind.Table[kind]
		if row.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(row.RetryAfter.Seconds())))
		}
		w.WriteHeader(row.Status)
		_ = json.NewEncoder(w).Encode(map[string]any{"error": Error{
			Kind: kind, Outcome: row.Outcome, Retry: row.Retry, RetryAfterMS: row.RetryAfter.Milliseconds(),
		}})
	}
}

// newTestClient returns a client of a scripted entry. It records the client's retry
// delays instead of waiting.
func newTestClient(t *testing.T, ids IDMode, steps ...func(http.ResponseWriter)) (*Client, *scriptedEntry, *[]time.Duration) {
	s := &scriptedEntry{steps: steps}
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	c, err := New(Config{Entries: []string{web.URL}, Token: "caller-secret", IDs: ids})
	qt.Assert(t, err, qt.IsNil)
	delays := &[]time.Duration{}
	c.sleep = func(_ context.Context, d time.Duration) error {
		*delays = append(*delays, d)
		return nil
	}
	return c, s, delays
}

var preview = Request{Service: "veil-desk", Kind: "preview", Task: Task{Payload: map[string]string{"motif": "rose"}}}

// TestResubmitsSameBytes checks that a resubmission is identical to the first one.
// The home entry would refuse a different body for the same ID, or run it again.
func TestResubmitsSameBytes(t *testing.T) {
	for _, ids := range []IDMode{IssuedIDs, RandomIDs} {
		c := qt.New(t)
		client, entry, _ := newTestClient(t, ids, abortConnection, respondWithError(errkind.HomeUnreachable), respondWithError(errkind.HomeUnknown), complete)
		a, err := client.Request(context.Background(), preview)
		c.Assert(err, qt.IsNil)
		c.Assert(string(a.Tasks[0].Body), qt.Equals, "42")
		c.Assert(entry.received(), qt.HasLen, 4)
		for _, b := range entry.received() {
			c.Assert(b, qt.Equals, entry.received()[0])
		}
	}
}

// TestNoResubmissionWithoutID checks that a submission without an ID is not sent
// again, since the home entry could not detect the duplicate.
func TestNoResubmissionWithoutID(t *testing.T) {
	c := qt.New(t)
	client, entry, _ := newTestClient(t, NoIDs, abortConnection)
	_, err := client.Request(context.Background(), preview)
	var unknown *UnknownOutcomeError
	c.Assert(errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(unknown.ID, qt.Equals, "")
	c.Assert(entry.received(), qt.HasLen, 1)
}

// TestRefusalWithoutRunUsesNewID checks that a refused ID is not reused and that a
// caller-chosen ID is not replaced.
func TestRefusalWithoutRunUsesNewID(t *testing.T) {
	c := qt.New(t)
	client, entry, delays := newTestClient(t, IssuedIDs, respondWithError(errkind.RecordFull), complete)
	_, err := client.Request(context.Background(), preview)
	c.Assert(err, qt.IsNil)
	c.Assert(entry.received(), qt.HasLen, 2)
	c.Assert(entry.received()[0], qt.Not(qt.Equals), entry.received()[1])
	c.Assert((*delays)[0] >= 5*time.Second, qt.IsTrue, qt.Commentf("waited for %s", (*delays)[0]))

	client, entry, _ = newTestClient(t, IssuedIDs, respondWithError(errkind.RecordFull))
	own := preview
	own.ID, own.SubmittedAt = "order-17", time.Now()
	_, err = client.Request(context.Background(), own)
	var e *Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Kind, qt.Equals, errkind.RecordFull)
	c.Assert(entry.received(), qt.HasLen, 1)
}

// TestRetryFollowsErrorKind checks that the client retries only if the error kind
// allows it, and not before the requested delay.
func TestRetryFollowsErrorKind(t *testing.T) {
	for kind, row := range errkind.Table {
		for _, ids := range []IDMode{IssuedIDs, RandomIDs, NoIDs} {
			t.Run(fmt.Sprintf("%s-%d", kind, ids), func(t *testing.T) {
				c := qt.New(t)
				client, entry, delays := newTestClient(t, ids, respondWithError(kind), complete)
				_, err := client.Request(context.Background(), preview)
				wantRetry := row.Retry == errkind.RetrySameID && ids != NoIDs ||
					row.Retry == errkind.RetryNewID && row.Outcome == errkind.NotRun
				if !wantRetry {
					c.Assert(err, qt.IsNotNil)
					c.Assert(entry.received(), qt.HasLen, 1)
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(entry.received(), qt.HasLen, 2)
				c.Assert((*delays)[0] >= row.RetryAfter, qt.IsTrue)
				if row.Retry == errkind.RetrySameID {
					c.Assert(entry.received()[1], qt.Equals, entry.received()[0])
				}
			})
		}
	}
}

// TestStopsAtMaxAttemptsOrDeadline checks that the client stops after the maximum
// number of attempts, and does not wait if the caller's deadline would pass first.
func TestStopsAtMaxAttemptsOrDeadline(t *testing.T) {
	c := qt.New(t)
	steps := make([]func(http.ResponseWriter), DefaultMaxAttempts)
	for i := range steps {
		steps[i] = respondWithError(errkind.HomeUnknown)
	}
	client, entry, _ := newTestClient(t, RandomIDs, steps...)
	_, err := client.Request(context.Background(), preview)
	c.Assert(err, qt.IsNotNil)
	c.Assert(entry.received(), qt.HasLen, DefaultMaxAttempts)

	client, _, delays := newTestClient(t, RandomIDs, respondWithError(errkind.HomeUnknown))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second) // less than the requested 2 s
	defer cancel()
	_, err = client.Request(ctx, preview)
	c.Assert(err, qt.IsNotNil)
	c.Assert(*delays, qt.HasLen, 0)
}

// TestFailsOverToNextEntry checks that the client leaves an unreachable entry.
func TestFailsOverToNextEntry(t *testing.T) {
	c := qt.New(t)
	stopped := httptest.NewServer(nil)
	stopped.Close()
	client, entry, _ := newTestClient(t, RandomIDs, complete, complete)
	client.entries = append([]string{stopped.URL}, client.entries...)
	for range 2 {
		_, err := client.Request(context.Background(), preview)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(entry.received(), qt.HasLen, 2)
}

// TestSubmittedAtRequiresID checks that the client rejects a SubmittedAt without an
// ID, which the entry would refuse.
func TestSubmittedAtRequiresID(t *testing.T) {
	client, _, _ := newTestClient(t, IssuedIDs)
	r := preview
	r.SubmittedAt = time.Now()
	_, err := client.Request(context.Background(), r)
	qt.Assert(t, err, qt.ErrorMatches, "SubmittedAt is set without an ID")
}
