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

// script is an entry that answers submissions by a list of steps and keeps the
// bodies that it received.
type script struct {
	mu     sync.Mutex
	steps  []func(w http.ResponseWriter)
	bodies []string
	issued int
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == idsPath {
		var m struct{ Count int }
		_ = json.Unmarshal(body, &m)
		list := make([]string, m.Count)
		for i := range list {
			s.issued++
			list[i] = fmt.Sprintf("@entry-1.5f.%d", s.issued)
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"ids": list})
		return
	}
	s.bodies = append(s.bodies, string(body))
	step := s.steps[0]
	s.steps = s.steps[1:]
	step(w)
}

func (s *script) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.bodies)
}

func complete(w http.ResponseWriter) {
	fmt.Fprint(w, `{"id":"x","status":"complete","tasks":[{"index":0,"outcome":"done","body":42}]}`)
}

// broken cuts the connection without an answer.
func broken(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// refuse answers with an error kind as an entry does.
func refuse(kind errkind.Kind) func(http.ResponseWriter) {
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

// newTest returns a client of a scripted entry that records its pauses.
func newTest(t *testing.T, ids IDs, steps ...func(http.ResponseWriter)) (*Client, *script, *[]time.Duration) {
	s := &script{steps: steps}
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	c, err := New(Config{Entries: []string{web.URL}, Token: "caller-secret", IDs: ids})
	qt.Assert(t, err, qt.IsNil)
	pauses := &[]time.Duration{}
	c.pause = func(_ context.Context, d time.Duration) error {
		*pauses = append(*pauses, d)
		return nil
	}
	return c, s, pauses
}

var preview = Request{Service: "veil-desk", Kind: "preview", Task: Task{Payload: map[string]string{"motif": "rose"}}}

// TestResubmitsSameBytes guards against a resubmission that differs from the
// first one, which the home would refuse as another body or run again.
func TestResubmitsSameBytes(t *testing.T) {
	for _, ids := range []IDs{Issued, Chosen} {
		c := qt.New(t)
		client, entry, _ := newTest(t, ids, broken, refuse(errkind.HomeUnreachable), refuse(errkind.HomeUnknown), complete)
		a, err := client.Request(context.Background(), preview)
		c.Assert(err, qt.IsNil)
		c.Assert(string(a.Tasks[0].Body), qt.Equals, "42")
		c.Assert(entry.received(), qt.HasLen, 4)
		for _, b := range entry.received() {
			c.Assert(b, qt.Equals, entry.received()[0])
		}
	}
}

// TestNoResubmissionWithoutID guards against a second run of a submission that
// the home cannot recognise.
func TestNoResubmissionWithoutID(t *testing.T) {
	c := qt.New(t)
	client, entry, _ := newTest(t, None, broken)
	_, err := client.Request(context.Background(), preview)
	var lost *LostError
	c.Assert(errors.As(err, &lost), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(lost.ID, qt.Equals, "")
	c.Assert(entry.received(), qt.HasLen, 1)
}

// TestNewIDAfterNotRun guards against a refused id that is used again, and
// against another id in place of the caller's own one.
func TestNewIDAfterNotRun(t *testing.T) {
	c := qt.New(t)
	client, entry, pauses := newTest(t, Issued, refuse(errkind.RecordFull), complete)
	_, err := client.Request(context.Background(), preview)
	c.Assert(err, qt.IsNil)
	c.Assert(entry.received(), qt.HasLen, 2)
	c.Assert(entry.received()[0], qt.Not(qt.Equals), entry.received()[1])
	c.Assert((*pauses)[0] >= 5*time.Second, qt.IsTrue, qt.Commentf("paused for %s", (*pauses)[0]))

	client, entry, _ = newTest(t, Issued, refuse(errkind.RecordFull))
	own := preview
	own.ID, own.SubmittedAt = "order-17", time.Now()
	_, err = client.Request(context.Background(), own)
	var e *Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.Kind, qt.Equals, errkind.RecordFull)
	c.Assert(entry.received(), qt.HasLen, 1)
}

// TestEveryKind guards against a retry that an error kind does not allow, and
// against a pause shorter than the one asked for.
func TestEveryKind(t *testing.T) {
	for kind, row := range errkind.Table {
		for _, ids := range []IDs{Issued, Chosen, None} {
			t.Run(fmt.Sprintf("%s-%d", kind, ids), func(t *testing.T) {
				c := qt.New(t)
				client, entry, pauses := newTest(t, ids, refuse(kind), complete)
				_, err := client.Request(context.Background(), preview)
				again := row.Retry == errkind.RetrySameID && ids != None ||
					row.Retry == errkind.RetryNewID && row.Outcome == errkind.NotRun
				if !again {
					c.Assert(err, qt.IsNotNil)
					c.Assert(entry.received(), qt.HasLen, 1)
					return
				}
				c.Assert(err, qt.IsNil)
				c.Assert(entry.received(), qt.HasLen, 2)
				c.Assert((*pauses)[0] >= row.RetryAfter, qt.IsTrue)
				if row.Retry == errkind.RetrySameID {
					c.Assert(entry.received()[1], qt.Equals, entry.received()[0])
				}
			})
		}
	}
}

// TestGivesUp guards against endless resubmission and against a pause that ends
// after the caller's own deadline.
func TestGivesUp(t *testing.T) {
	c := qt.New(t)
	steps := make([]func(http.ResponseWriter), DefaultAttempts)
	for i := range steps {
		steps[i] = refuse(errkind.HomeUnknown)
	}
	client, entry, _ := newTest(t, Chosen, steps...)
	_, err := client.Request(context.Background(), preview)
	c.Assert(err, qt.IsNotNil)
	c.Assert(entry.received(), qt.HasLen, DefaultAttempts)

	client, _, pauses := newTest(t, Chosen, refuse(errkind.HomeUnknown))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second) // less than the 2 s asked for
	defer cancel()
	_, err = client.Request(ctx, preview)
	c.Assert(err, qt.IsNotNil)
	c.Assert(*pauses, qt.HasLen, 0)
}

// TestNextEntry guards against staying with an entry that is gone.
func TestNextEntry(t *testing.T) {
	c := qt.New(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	client, entry, _ := newTest(t, Chosen, complete, complete)
	client.entries = append([]string{gone.URL}, client.entries...)
	for range 2 {
		_, err := client.Request(context.Background(), preview)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(entry.received(), qt.HasLen, 2)
}

// TestSubmittedAtWithoutID guards against a time that the entry would refuse.
func TestSubmittedAtWithoutID(t *testing.T) {
	client, _, _ := newTest(t, Issued)
	r := preview
	r.SubmittedAt = time.Now()
	_, err := client.Request(context.Background(), r)
	qt.Assert(t, err, qt.ErrorMatches, "SubmittedAt is set without an ID")
}
