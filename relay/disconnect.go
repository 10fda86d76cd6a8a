package relay

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"oriolerelay/httplimit"
)

// connContextKey is the context key for the connection of a request.
type connContextKey struct{}

// contextWithConn returns the context for the requests on a connection.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(httplimit.ContextWithConn(ctx, c), connContextKey{}, c)
}

// callerDisconnected returns a function that reports whether the caller's connection, on
// which the request with the given context arrived, is closed; nil if the connection is not
// known. A busy process may start to handle a request long after its caller has resent the
// job to another entry, and net/http detects that a connection is closed only when its background
// reader is scheduled.
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

// isConnClosed peeks at a connection without consuming data or blocking. It uses Control
// since Read would wait for the background reader of net/http.
func isConnClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return closed || err != nil // an error means that this process has closed it
}
