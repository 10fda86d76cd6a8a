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

// errSealed is returned for writes after a call was reported as not run.
var errSealed = errors.New("connection sealed: its call was given up")

// countedConn counts writes and can be sealed against further ones.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. A write that was begun counts even if it fails.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	c.writes++
	return c.Conn.Write(b)
}

func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the number of earlier ones.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// attempt follows the connections that one call uses, to decide after a failure
// whether any byte of the request was written.
type attempt struct {
	mu    sync.Mutex
	conns []usedConn
	ended bool
	// dialFailed is set at the end of a call that could not connect in time.
	dialFailed bool
}

type usedConn struct {
	conn         *countedConn
	writesBefore uint64 // writes when the call got the connection
}

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

// seal seals the connections of the call and reports whether a byte of the
// request may have left. After false the request can never be seal.
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

// failedResult returns the result of a call that ended with err and without a response.
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
