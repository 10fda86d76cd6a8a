package agent

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"

	"oriolerelay/errkind"
	"oriolerelay/wire"
)

// errSealed is returned for writes to a connection whose call was reported as not run.
var errSealed = errors.New("connection is closed for writing: its call was abandoned")

// countedConn counts writes; seal makes all further writes fail.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. A write that was started counts even if it fails.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	c.writes++
	return c.Conn.Write(b)
}

// count returns the number of writes that were started.
func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes further writes fail and returns the number of earlier ones.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// attempt tracks the connections used by one call. After a failure it decides whether
// any byte of the request may have been written.
type attempt struct {
	mu    sync.Mutex
	conns []usedConn
	ended bool
	// dialFailed is set when the call failed because no connection could be
	// opened, and its deadline had not passed.
	dialFailed bool
}

// usedConn is a connection that a call was given.
type usedConn struct {
	conn         *countedConn
	writesBefore uint64 // number of writes when the call was given the connection
}

// withTrace returns a context with which http.Transport registers each connection of
// the call in a. A connection obtained after the call has ended is sealed.
func (a *attempt) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*countedConn)
		if !ok {
			return
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.ended {
			c.seal()
			return
		}
		a.conns = append(a.conns, usedConn{c, c.count()})
	}})
}

// seal seals the connections of the call and reports whether a byte of the request may
// have been written. If it returns false, the request is never written.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	written := false
	for _, u := range a.conns {
		if u.conn.seal() > u.writesBefore {
			written = true
		}
	}
	return written
}

// failedResult returns the result of a call that failed with err before a response.
func (a *attempt) failedResult(ctx context.Context, err error) wire.TaskResult {
	if a.seal() {
		return lostResult(ctx, err)
	}
	r := wire.TaskResult{Outcome: errkind.NotRun, Kind: errkind.ConnectionRefused, Detail: excerpt(err.Error())}
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		r.Kind = errkind.DeadlinePassed
	case errors.As(err, &op) && op.Op == "dial":
		a.dialFailed = true
	}
	return r
}
