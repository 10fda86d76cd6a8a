package httplimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"oriolerelay/errkind"
	"oriolerelay/job"
)

// newConn returns an admitted connection without a socket, on which no deadline can be set.
func newConn(g *Group, now time.Time) *Conn {
	c := &Conn{TCPConn: new(net.TCPConn), group: g}
	if admitted, _ := g.admit(c, now); !admitted {
		return nil
	}
	return c
}

// receive starts a body of the given cost on c.
func receive(c *Conn, n int64, now time.Time) bool {
	l := c.group.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reserveBody(c, n, false, now) {
		return false
	}
	c.started, c.received = now, 0
	c.setPhase(receiving, &l.receiving, now)
	return true
}

// Guards against bounds on connections that ignore one of the two limits of the process.
func TestBoundsFollowSettings(t *testing.T) {
	for _, tc := range []struct{ memoryMiB, files, conns int }{
		{0, 0, 0}, {144, 0, 1024}, {144, 3075, 1024}, {536, 3075, 2747}, {0, 1000, 672}, {0, 100, minConns}, {144, 100, minConns},
	} {
		l := New(Config{MemoryMiB: tc.memoryMiB, MaxOpenFiles: tc.files})
		qt.Check(t, l.MaxConns(), qt.Equals, tc.conns, qt.Commentf("%+v", tc))
	}
}

// Guards against a body without progress that keeps memory while another one is refused, and against
// one with recent progress that is ended.
func TestStalledBodyIsEndedForAnother(t *testing.T) {
	l, now := New(Config{MemoryMiB: 64}), time.Unix(1000, 0)
	g := l.Group(0)
	full := l.bodies.largest()
	a, b := newConn(g, now), newConn(g, now)
	qt.Assert(t, receive(a, full, now), qt.IsTrue)
	qt.Check(t, receive(b, 1, now.Add(evictableAfter-1)), qt.IsFalse)
	qt.Check(t, a.ended, qt.Equals, causeNone)
	qt.Check(t, receive(b, 1, now.Add(evictableAfter)), qt.IsTrue)
	qt.Check(t, a.ended, qt.Equals, causeStalled)
	qt.Check(t, l.bodies.used, qt.Equals, int64(1))
	qt.Check(t, a.stopBody(false), qt.Equals, causeStalled)
	l.mu.Lock()
	a.forget()
	b.forget()
	l.mu.Unlock()
	qt.Check(t, l.bodies.used, qt.Equals, int64(0))
	qt.Check(t, g.open, qt.Equals, 0)
}

// Guards against large bodies that leave nothing to small ones, and against a single body that never
// fits since it costs more than the budget.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	l, now := New(Config{MemoryMiB: 64}), time.Unix(1000, 0)
	g := l.Group(0)
	qt.Check(t, receive(newConn(g, now), 10*l.bodies.limit, now), qt.IsTrue)
	c := newConn(g, now)
	qt.Check(t, c.startBody(smallBody, 0, true) == nil, qt.IsTrue)
	qt.Check(t, l.bodies.used <= l.bodies.limit, qt.IsTrue)
}

// Guards against a deadline that ends a slow client with progress, or spares one that sends just enough
// not to stall.
func TestOverdueBodies(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		age      time.Duration
		stalled  time.Duration
		received int64
		overdue  bool
	}{
		{"lossy link", 5 * time.Second, 5 * time.Second, 0, false},
		{"stalled", 6 * time.Second, 5*time.Second + 1, 200 << 10, true},
		{"slow", 25 * time.Second, time.Second, 128 << 10, false},
		{"too slow", 27 * time.Second, time.Second, 128 << 10, true},
		{"trickle", 11 * time.Second, time.Second, 1 << 10, true},
	} {
		c := &Conn{since: start.Add(tc.age - tc.stalled), started: start, received: tc.received}
		qt.Check(t, c.overdue(start.Add(tc.age)), qt.Equals, tc.overdue, qt.Commentf(tc.name))
	}
}

// Guards against progress that does not renew the deadline, and against a trickle that renews it.
func TestProgressRenewsDeadline(t *testing.T) {
	l := New(Config{MemoryMiB: 64})
	c := newConn(l.Group(0), time.Now())
	long := time.Now().Add(-time.Hour)
	qt.Assert(t, receive(c, 1, long), qt.IsTrue)
	qt.Check(t, c.progress(minProgress-1, 0) == nil, qt.IsTrue)
	qt.Check(t, c.since, qt.Equals, long)
	qt.Check(t, c.progress(minProgress, 0) == nil, qt.IsTrue)
	qt.Check(t, c.since.After(long), qt.IsTrue)
}

// Guards against a full group that refuses a new connection while another one is of no use, and
// against the end of connections that serve a request.
func TestFullGroupMakesRoom(t *testing.T) {
	l, now := New(Config{}), time.Unix(1000, 0)
	g := l.Group(2)
	a, b := newConn(g, now), newConn(g, now)
	qt.Check(t, newConn(g, now), qt.IsNil) // both may be about to send their header
	TrackState(a, http.StateActive)
	TrackState(b, http.StateActive)
	late := now.Add(time.Hour)
	qt.Check(t, newConn(g, late), qt.IsNil)
	TrackState(b, http.StateIdle)
	c := newConn(g, late)
	qt.Assert(t, c, qt.IsNotNil)
	qt.Check(t, b.forgotten, qt.IsTrue)
	qt.Assert(t, receive(a, 5, late), qt.IsTrue)
	qt.Check(t, newConn(g, late.Add(evictableAfter-1)), qt.IsNil)
	qt.Check(t, newConn(g, late.Add(evictableAfter)), qt.IsNotNil) // in place of c, which sent no header
	qt.Check(t, c.forgotten, qt.IsTrue)
	qt.Check(t, a.forgotten, qt.IsFalse)
	qt.Check(t, g.open, qt.Equals, 2)
}

// Guards against decoded jobs that are not counted, that keep their memory after the response, or that
// leave nothing to jobs of ordinary size.
func TestChargeDecodedJobs(t *testing.T) {
	l, now := New(Config{MemoryMiB: 64, Registerer: prometheus.NewRegistry()}), time.Now()
	g := l.Group(0)
	big, small := newConn(g, now), newConn(g, now)
	charge := func(c *Conn, n int64) *errkind.Error { return Charge(ContextWithConn(context.Background(), c), n) }
	qt.Check(t, charge(big, 65_536*job.TaskBytes) == nil, qt.IsTrue)
	qt.Check(t, charge(newConn(g, now), 65_536*job.TaskBytes).Kind, qt.Equals, errkind.Overloaded)
	qt.Check(t, charge(small, 150*job.TaskBytes) == nil, qt.IsTrue)
	TrackState(big, http.StateIdle)
	TrackState(small, http.StateIdle)
	// The large request counts until its garbage is collected.
	used := func() int64 { l.mu.Lock(); defer l.mu.Unlock(); return l.decoded.used }
	for end := time.Now().Add(10 * time.Second); used() > 0 && time.Now().Before(end); {
		runtime.Gosched()
	}
	qt.Check(t, used(), qt.Equals, int64(0))
	qt.Check(t, testutil.CollectAndCount(&collector{l}), qt.Equals, 9)
}

// server serves h with the limits of l on a loopback address.
func server(t *testing.T, l *Limiter, conns int, h http.HandlerFunc) string {
	t.Helper()
	return serve(t, l.Group(conns), h)
}

// serve serves h to the connections of g on a loopback address.
func serve(t *testing.T, g *Group, h http.HandlerFunc) string {
	t.Helper()
	listener, err := g.Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: Handler(h), ConnState: TrackState, ConnContext: ContextWithConn}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return listener.Addr().String()
}

const testLimit = 100 << 10

// echoLength answers with the kind of the error or the length of the body.
func echoLength(w http.ResponseWriter, r *http.Request) {
	b, failure := ReadBody(w, r, testLimit)
	if failure != nil {
		w.WriteHeader(failure.Answer().Status)
		fmt.Fprint(w, failure.Kind)
		return
	}
	fmt.Fprint(w, len(b))
}

// Guards against bodies that are cut, refused at the limit or accepted beyond it, in each form, and
// against memory that is not given back.
func TestReadBody(t *testing.T) {
	l := New(Config{MemoryMiB: 64})
	address := server(t, l, 0, echoLength)
	for _, n := range []int{0, 1, smallBody, smallBody + 1, testLimit - 1, testLimit, testLimit + 1} {
		for _, chunked := range []bool{false, true} {
			var body io.Reader = strings.NewReader(strings.Repeat("x", n))
			if chunked {
				body = io.MultiReader(body) // hides the length
			}
			resp, err := http.Post("http://"+address, "", body)
			qt.Assert(t, err, qt.IsNil)
			b, err := io.ReadAll(resp.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, resp.Body.Close(), qt.IsNil)
			want := fmt.Sprint(n)
			if n > testLimit {
				want = string(errkind.BodyTooLarge)
			}
			qt.Check(t, string(b), qt.Equals, want, qt.Commentf("%d bytes, chunked %v", n, chunked))
		}
	}
	http.DefaultClient.CloseIdleConnections()
	for used := int64(1); used != 0; time.Sleep(time.Millisecond) { // the server sees the close later
		l.mu.Lock()
		used = l.bodies.used
		l.mu.Unlock()
	}
}

// Guards against a client that stops within its body and is not told that its job did not run, and
// against a connection that stays open.
func TestOverdueBodyIsAnswered(t *testing.T) {
	l := New(Config{MemoryMiB: 64})
	c, err := net.Dial("tcp", server(t, l, 0, echoLength))
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	qt.Assert(t, err, qt.IsNil)
	for waiting := true; waiting; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		waiting = l.receiving.first == nil
		l.mu.Unlock()
	}
	l.sweep(time.Now().Add(stallTimeout + time.Second))
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	qt.Assert(t, err, qt.IsNil)
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, string(b), qt.Equals, string(errkind.BodyTimeout))
	_, err = r.ReadByte()
	qt.Check(t, err, qt.Equals, io.EOF)
}

// Guards against an ordinary job that is counted, which would slow each request down, and against many
// steps in a small body that are not.
func TestDecodedCostCoversSteps(t *testing.T) {
	ordinary := `{"best_effort":true,"spec":"p","steps":[{"count":8,"cpu":1500,"mem_mb":64,"estimate_ms":60}]}`
	qt.Check(t, DecodedCost([]byte(ordinary)) <= freeCharge, qt.IsTrue)
	manySteps := `{"steps":[` + strings.Repeat(`{"count":1},`, 20_000) + `{}]}`
	qt.Check(t, DecodedCost([]byte(manySteps)) > 10<<20, qt.IsTrue)
}

// Guards against a connection that is removed from its group in favour of another one while its socket
// stays open, and against one that is closed with l.mu held, which blocks all requests until its reader
// has returned.
func TestEvictedConnectionIsClosed(t *testing.T) {
	l := New(Config{MemoryMiB: 64})
	g := l.Group(1)
	address := serve(t, g, echoLength)
	post := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		qt.Assert(t, err, qt.IsNil)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp.Body)
		qt.Assert(t, err, qt.IsNil)
		return c, r
	}
	_, first := post()
	for waiting := true; waiting; time.Sleep(time.Millisecond) { // the server enters the idle state after the response
		l.mu.Lock()
		waiting = g.idle.first == nil
		l.mu.Unlock()
	}
	post()
	_, err := first.ReadByte()
	qt.Check(t, err, qt.Equals, io.EOF)

	g = l.Group(1)
	c := newConn(g, time.Unix(1000, 0))
	admitted, evicted := g.admit(&Conn{TCPConn: new(net.TCPConn), group: g}, time.Unix(2000, 0))
	qt.Check(t, admitted, qt.IsTrue)
	qt.Check(t, evicted, qt.Equals, c) // for the caller to close
}

// Guards against a handler that never returns: net/http reads the rest of a body before it writes the
// first 2 KiB of a response, and the client never sends that body.
func TestLongResponseDoesNotWaitForBody(t *testing.T) {
	l := New(Config{MemoryMiB: 64})
	go l.Run(t.Context())
	response := strings.Repeat("x", 16<<10)
	c, err := net.Dial("tcp", server(t, l, 0, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, response) }))
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	qt.Assert(t, c.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(c, "GET /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	b, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(b), qt.Equals, response)
}

// Guards against a free buffer that is part of a body in use, against refused bodies that leave garbage
// in place of free buffers, and against free buffers beyond the bound.
func TestBuffersAreReused(t *testing.T) {
	l := New(Config{MemoryMiB: 64})
	p := &l.buffers
	qt.Check(t, l.bodies.limit+int64(p.max*bufferBytes), qt.Equals, int64(64<<20/bodyShare))
	fill := func(b *bodyBuffer, n int, x byte) {
		for range n {
			for !b.full() {
				b.space()[0] = x
				b.added(1)
			}
			b.grow()
		}
	}
	one := bodyBuffer{pool: p, first: make([]byte, 0, 5)}
	fill(&one, 3, 'a')
	body := one.bytes()
	qt.Check(t, string(body), qt.Equals, strings.Repeat("a", 5+2*bufferBytes))
	used := one.pooled
	one.release()
	qt.Check(t, len(p.free), qt.Equals, 3)
	two := bodyBuffer{pool: p, first: make([]byte, 0, 7)}
	fill(&two, 3, 'b')
	qt.Check(t, len(p.free), qt.Equals, 0)
	qt.Check(t, &two.pooled[0][:1][0], qt.Equals, &used[2][:1][0])
	qt.Check(t, string(two.bytes()), qt.Equals, strings.Repeat("b", 7+2*bufferBytes))
	qt.Check(t, string(body), qt.Equals, strings.Repeat("a", 5+2*bufferBytes))
	two.release()
	many := bodyBuffer{pool: p, first: make([]byte, 0, 1)}
	fill(&many, p.max+10, 'c')
	many.release()
	qt.Check(t, len(p.free), qt.Equals, p.max)
}

// Guards against a queue that drops connections while the process is not scheduled: several hundred
// callers connect at once when all entries have been away. The kernel tries again only after 1 s, and
// callers wait 1.5 s for an answer.
func TestBurstOfConnectionsIsQueued(t *testing.T) {
	const callers = 500
	listener, err := New(Config{MemoryMiB: 64}).Group(600).Listen("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	for i := range callers { // nothing accepts them, so that a repeated attempt fails too
		c, err := net.DialTimeout("tcp", listener.Addr().String(), 10*time.Second)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("connection %d", i))
		defer c.Close()
	}
}

// Guards against a connection that is held for good by a client that sends requests one after another and
// reads no response.
func TestClientThatDoesNotReadIsClosed(t *testing.T) {
	l := New(Config{MemoryMiB: 64})
	g := l.Group(0)
	g.WriteTimeout = 100 * time.Millisecond
	c, err := net.Dial("tcp", serve(t, g, echoLength))
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	qt.Assert(t, c.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	requests := []byte(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1000))
	for err == nil {
		_, err = c.Write(requests)
	}
	qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("%v", err))
	l.mu.Lock()
	defer l.mu.Unlock()
	qt.Check(t, g.open, qt.Equals, 0)
}
