package httplimit

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBufferBytes is the receive buffer of a connection, which the kernel doubles. Without it, the
	// kernel holds up to several MiB for each connection that the process does not read.
	receiveBufferBytes = 16 << 10
	// largeReceiveBufferBytes is the receive buffer while a large body arrives, which is counted with the
	// body. With the small one, single bodies of 256 KiB took up to 1.2 s on loopback, whose packets are
	// larger than that buffer.
	largeReceiveBufferBytes = 64 << 10
	// minBacklog and maxBacklog bound the queue of connections that are not accepted yet. With the
	// system's 4096, 1436 connections held 32 MiB of unread bytes at a port of 64 connections. Several
	// hundred callers connect at once after all entries have been away, and the kernel repeats an attempt
	// that finds the queue full only after 1 s.
	minBacklog = 64
	maxBacklog = 512
	// freeHeaderBytes of each header are part of connBytes. Further ones are counted headerFactor times:
	// many short fields use about 100 bytes of memory for 6 bytes.
	freeHeaderBytes = 4 << 10
	headerFactor    = 16
	// fieldBytes is the memory of a header field that is held while a body arrives.
	fieldBytes = 128
	freeFields = 32
)

// phase is what a connection does.
type phase uint32

const (
	pending   phase = iota // no complete header of a request; not idle
	receiving              // a body arrives
	serving                // a handler runs, or the response is written
	idle                   // no byte of the next request
)

// Group is a set of connections with a common bound on their number.
type Group struct {
	// WriteTimeout bounds each write to a connection; 0 for no bound. It is to be set before Listen. The one
	// of http.Server starts with the request and would end those that take longer to carry out.
	WriteTimeout time.Duration

	l    *Limiter
	max  int // 0 for no bound
	open int // guarded by l.mu, as are the lists
	// pending and idle are ordered by the time for which their connections wait.
	pending, idle connList
}

// Group returns a new group of at most n connections; 0 for no bound.
func (l *Limiter) Group(n int) *Group { return &Group{l: l, max: n} }

// Conn is a connection of a Group. It serves one request at a time.
type Conn struct {
	*net.TCPConn
	group *Group
	phase atomic.Uint32 // written with l.mu held

	// Guarded by l.mu.
	list       *connList
	prev, next *Conn
	since      time.Time // of the last progress, or from which on it is idle
	started    time.Time // of the body
	received   int64     // bytes of the body at the last progress
	body       int64     // what is counted of l.bodies
	decoded    int64     // what is counted of l.decoded
	ended      cause
	forgotten  bool
	raised     bool // the receive buffer is the large one

	headerBytes int64 // read since the last request; only for Read

	// bodyPending is set from the header of a request with a body until its body has been read, and
	// reading while ReadBody reads it.
	bodyPending, reading atomic.Bool
}

// connList is a list of connections, first the one that was added first.
type connList struct{ first, last *Conn }

func (c *Conn) unlist() {
	l := c.list
	if l == nil {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.list, c.prev, c.next = nil, nil, nil
}

// moveTo puts c at the end of l, or into no list if l is nil.
func (c *Conn) moveTo(l *connList) {
	c.unlist()
	if l == nil {
		return
	}
	c.list, c.prev = l, l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (c *Conn) setPhase(p phase, l *connList, now time.Time) {
	c.phase.Store(uint32(p))
	c.since = now
	c.moveTo(l)
}

// Listen listens on a TCP address for the connections of g.
func (g *Group) Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	t := l.(*net.TCPListener)
	if err := setBacklog(t, g.max); err != nil {
		_ = t.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &listener{t, g}, nil
}

// setBacklog sets the length of the queue of connections that are not accepted yet, whose received
// bytes use memory of the kernel. conns is the bound on accepted connections; 0 for none.
func setBacklog(l *net.TCPListener, conns int) error {
	n := maxBacklog
	if conns > 0 {
		n = max(minBacklog, min(conns, maxBacklog))
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) }); controlErr != nil {
		return controlErr
	}
	return err
}

type listener struct {
	*net.TCPListener
	group *Group
}

// Accept implements net.Listener. Connections beyond the bound of the group are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		t, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &Conn{TCPConn: t, group: l.group}
		admitted, evicted := l.group.admit(c, time.Now())
		if evicted != nil {
			_ = evicted.TCPConn.Close()
		}
		if admitted {
			return c, nil
		}
		_ = t.Close()
	}
}

// admit adds c to g. If g is full, it closes a connection in favour of c: one that takes long to send
// its header, one whose body makes no progress, or the one that is idle for the longest time. The caller
// closes the socket of evicted: that waits for a concurrent Read to return, and l.mu must not be held.
func (g *Group) admit(c *Conn, now time.Time) (admitted bool, evicted *Conn) {
	l := g.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if g.max > 0 && g.open >= g.max {
		if evicted = g.makeRoom(now); evicted == nil {
			l.counts[causeConnections]++
			return false, nil
		}
	}
	g.open++
	c.setPhase(pending, &g.pending, now)
	return true, evicted
}

// makeRoom removes a connection from g and returns it, or nil if there is none to remove. l.mu is held.
func (g *Group) makeRoom(now time.Time) *Conn {
	l := g.l
	if c := g.pending.first; c != nil && now.Sub(c.since) >= evictableAfter {
		return c.evict(causeIdle)
	}
	for c := l.receiving.first; c != nil && now.Sub(c.since) >= evictableAfter; c = c.next {
		if c.group == g {
			return c.evict(causeStalled)
		}
	}
	if c := g.idle.first; c != nil {
		return c.evict(causeIdle)
	}
	return nil
}

// evict removes c from its group and returns c. Its server ends its goroutine once the socket is closed.
// l.mu is held.
func (c *Conn) evict(why cause) *Conn {
	c.ended = why
	c.group.l.counts[why]++
	c.forget()
	return c
}

// forget removes c from its group. l.mu is held.
func (c *Conn) forget() {
	if c.forgotten {
		return
	}
	c.forgotten = true
	c.unlist()
	c.release()
	c.group.open--
}

// release gives back what c uses. l.mu is held.
func (c *Conn) release() {
	l := c.group.l
	l.bodies.used -= c.body
	l.releaseDecoded(c.decoded)
	c.body, c.decoded = 0, 0
}

// Close closes the connection and removes it from its group.
func (c *Conn) Close() error {
	l := c.group.l
	l.mu.Lock()
	c.forget()
	l.mu.Unlock()
	return c.TCPConn.Close()
}

var errHeaderMemory = errors.New("too many header bytes in all requests together")

// Read reads from the connection and counts the bytes of headers.
func (c *Conn) Read(b []byte) (int, error) {
	if phase(c.phase.Load()) == serving && c.bodyPending.Load() && !c.reading.Load() {
		c.discardStarted()
	}
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	switch phase(c.phase.Load()) {
	case idle:
		c.headerStarted(int64(n))
	case pending:
		c.headerBytes += int64(n)
		if c.headerBytes > freeHeaderBytes && !c.chargeHeader(int64(n)) {
			return 0, errHeaderMemory
		}
	}
	return n, err
}

// discardStarted limits the time in which the rest of a body arrives that its handler does not read. net/http
// reads it before it writes the first 2 KiB of a response, and after the handler.
func (c *Conn) discardStarted() {
	l := c.group.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.forgotten || c.ended != causeNone || c.list == &l.discarding {
		return
	}
	c.setPhase(serving, &l.discarding, time.Now())
}

// Write writes to the connection within the WriteTimeout of its group.
func (c *Conn) Write(b []byte) (int, error) {
	if d := c.group.WriteTimeout; d > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(d)) // if it fails, the connection is closed and so does the write
	}
	return c.TCPConn.Write(b)
}

func (c *Conn) headerStarted(n int64) {
	l := c.group.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if phase(c.phase.Load()) == idle && !c.forgotten {
		c.headerBytes = n
		c.setPhase(pending, &c.group.pending, time.Now())
	}
}

func (c *Conn) chargeHeader(n int64) bool {
	l := c.group.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.forgotten {
		return false
	}
	n *= headerFactor
	if !l.bodies.allows(n, true) {
		l.counts[causeHeader]++
		return false
	}
	l.bodies.used += n
	c.body += n
	return true
}

// TrackState is to be called by the ConnState function of a server.
func TrackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok || state != http.StateActive && state != http.StateIdle {
		return // a new connection is pending already, and Close ends it
	}
	l := c.group.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.forgotten {
		return
	}
	if state == http.StateActive { // the header is complete
		c.setPhase(serving, nil, time.Time{})
		return
	}
	c.release()
	c.lowerReceiveBuffer() // the body of an ended request may have been complete
	c.ended = causeNone
	c.bodyPending.Store(false)
	c.setPhase(idle, &c.group.idle, time.Now())
}

type connContextKey struct{}

// ContextWithConn is to be called by the ConnContext function of a server.
func ContextWithConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*Conn); ok {
		return context.WithValue(ctx, connContextKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connContextKey{}).(*Conn)
	return c
}

// Handler returns a handler that calls h for the requests of a server with connections of a Group.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && r.ContentLength != 0 {
			c.bodyPending.Store(true)
		}
		h.ServeHTTP(w, r)
	})
}
