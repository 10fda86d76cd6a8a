package relay

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	dialled, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialled.Close(); _ = accepted.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

// Guards against a job that runs although its connection was closed or reset by the caller or
// closed by this process, and against one that is dropped although its caller waits, has sent
// more data, or is being read from at the same time.
func TestCallerDisconnected(t *testing.T) {
	tests := []struct {
		name string
		do   func(near, far *net.TCPConn)
		gone bool
	}{
		{"open", func(_, _ *net.TCPConn) {}, false},
		{"more data sent", func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")) }, false},
		{"concurrent reader", func(near, _ *net.TCPConn) {
			reading := make(chan struct{})
			go func() { close(reading); _, _ = near.Read(make([]byte, 1)) }()
			<-reading
		}, false},
		{"closed", func(_, far *net.TCPConn) { _ = far.Close() }, true},
		{"reset", func(_, far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, true},
		{"closed locally", func(near, _ *net.TCPConn) { _ = near.Close() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := tcpPair(t)
			gone := callerDisconnected(contextWithConn(context.Background(), near))
			tt.do(near, far)
			if tt.gone {
				eventually(t, "the disconnection is detected", gone)
			}
			qt.Check(t, gone(), qt.Equals, tt.gone)
		})
	}
	t.Run("cancelled", func(t *testing.T) {
		near, _ := tcpPair(t)
		ctx, cancel := context.WithCancel(contextWithConn(context.Background(), near))
		cancel()
		qt.Check(t, callerDisconnected(ctx)(), qt.IsTrue)
	})
	t.Run("no connection", func(t *testing.T) {
		qt.Check(t, callerDisconnected(context.Background()) == nil, qt.IsTrue)
	})
}
