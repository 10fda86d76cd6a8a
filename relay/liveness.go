package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of the connection of a request in its context.
type connContextKey struct{}

// withConn returns the context of the requests of a connection.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// callerGone returns a function that reports whether the connection of the request with
// the given context has ended; nil if it is not known. A busy process may get to a request
// long after its caller has sent the job to another entry, and net/http learns of the end
// of the connection only when a goroutine of its own gets to read from it.
func callerDisconnected(ctx context.Context) func() bool {
	c, ok := ctx.Value(connContextKey{}).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool { return ctx.Err() != nil || isConnClosed(raw) }
}

// hasEnded looks at a connection without reading from it or waiting. Control is used since
// Read would wait for the reader of net/http.
func isConnClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return closed || err != nil // an error means that it was closed here
}
