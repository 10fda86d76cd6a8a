package transport_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/event"
	"oriolerelay/ids"
	"oriolerelay/internal/syncbuf"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// testServer accepts connections, replies to calls with Ack and passes other
// messages to the messages channel.
type testServer struct {
	listener *transport.Listener
	conns    chan *transport.Conn
	messages chan wire.Message
}

func (s *testServer) Handle(c *transport.Conn, f wire.Frame) {
	if f.CallID != 0 {
		_ = c.Reply(context.Background(), f.CallID, &wire.Ack{})
		return
	}
	s.messages <- f.Body
}

func (s *testServer) Closed(*transport.Conn, error) {}

type ignoreHandler struct{}

func (ignoreHandler) Handle(*transport.Conn, wire.Frame) {}
func (ignoreHandler) Closed(*transport.Conn, error)      {}
func newIgnoreHandler(*transport.Conn) transport.Handler { return ignoreHandler{} }
func helloFrom(node string) func() wire.Hello {
	return func() wire.Hello { return wire.Hello{Node: ids.Incarnation{Name: node, Number: 1}} }
}

func newAuthority(t testing.TB) *transport.Authority {
	a, err := transport.NewAuthority(time.Hour)
	qt.Assert(t, err, qt.IsNil)
	return a
}

// connTimeout keeps connections alive in tests that are not about timeouts, also when the
// process is held up for longer than the default timeouts.
const connTimeout = time.Minute

func nodeOptions(t testing.TB, a *transport.Authority, node string) transport.Options {
	cert, key, err := a.Issue(node, time.Hour)
	qt.Assert(t, err, qt.IsNil)
	c, err := transport.NodeTLS(a.CertificatePEM(), cert, key)
	qt.Assert(t, err, qt.IsNil)
	return transport.Options{TLS: c, Hello: helloFrom(node), IdleTimeout: connTimeout, HandshakeTimeout: connTimeout}
}

func startServer(t testing.TB, opts transport.Options) *testServer {
	s := &testServer{conns: make(chan *transport.Conn, 64), messages: make(chan wire.Message, 1<<14)}
	l, err := transport.Listen("127.0.0.1:0", opts)
	qt.Assert(t, err, qt.IsNil)
	s.listener = l
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = l.Serve(context.Background(), func(c *transport.Conn) transport.Handler {
			s.conns <- c
			return s
		})
	})
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	return s
}

func dial(t testing.TB, address string, opts transport.Options) *transport.Conn {
	c, err := transport.Dial(context.Background(), address, opts, newIgnoreHandler)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Frames sent immediately before Shutdown must not be lost.
func TestShutdownDeliversQueuedFrames(t *testing.T) {
	a := newAuthority(t)
	s := startServer(t, nodeOptions(t, a, "entry-1"))
	conn := dial(t, s.listener.Address(), nodeOptions(t, a, "agent-1"))
	const frames = 800
	body := make([]byte, 2000)
	for i := range frames {
		m := &wire.Result{Tasks: []wire.TaskResult{{Ref: uint64(i), Body: body}}}
		qt.Assert(t, conn.Send(t.Context(), m), qt.IsNil)
	}
	qt.Assert(t, conn.Shutdown(t.Context()), qt.IsNil)
	qt.Check(t, len(s.messages), qt.Equals, frames)
	qt.Check(t, conn.Unwritten(), qt.Equals, 0)
	qt.Check(t, conn.Send(t.Context(), &wire.Drain{}), qt.Not(qt.IsNil))
	for range 20 { // the writer may notice the shutdown before the frame
		conn := dial(t, s.listener.Address(), nodeOptions(t, a, "agent-1"))
		qt.Assert(t, conn.Send(t.Context(), &wire.Drain{}), qt.IsNil)
		qt.Assert(t, conn.Shutdown(t.Context()), qt.IsNil)
	}
	qt.Check(t, len(s.messages), qt.Equals, frames+20)
}

// A call must return when its connection or its context ends.
func TestCallEndsWithConnectionOrContext(t *testing.T) {
	a := newAuthority(t)
	s := startServer(t, nodeOptions(t, a, "entry-1"))
	conn := dial(t, s.listener.Address(), nodeOptions(t, a, "agent-1"))
	_, err := conn.Call(t.Context(), &wire.Settle{})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = conn.Call(ctx, &wire.Settle{})
	qt.Check(t, err, qt.ErrorIs, context.Canceled)
	qt.Assert(t, receive(t, s.conns).Close(), qt.IsNil)
	<-conn.Done()
	_, err = conn.Call(t.Context(), &wire.Settle{})
	qt.Check(t, err, qt.Not(qt.IsNil))
}

func receive[T any](t testing.TB, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(10 * time.Second):
		t.Fatal("timed out waiting for a value")
	}
	panic("unreachable")
}

// Peers without a valid certificate from the authority must be refused, on either
// side, and the listener must log each refusal.
func TestPeersWithoutValidCertificateAreRefused(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	var log syncbuf.Buffer
	opts := nodeOptions(t, a, "entry-1")
	opts.Log = event.NewLogger(&log, "entry-1")
	s := startServer(t, opts)
	noCertificate := nodeOptions(t, a, "agent-1")
	noCertificate.TLS.Certificates = nil
	expired := nodeOptions(t, a, "agent-1")
	cert, key, err := a.Issue("agent-1", -30*time.Second)
	qt.Assert(t, err, qt.IsNil)
	expired.TLS, err = transport.NodeTLS(a.CertificatePEM(), cert, key)
	qt.Assert(t, err, qt.IsNil)
	unknownAuthority := nodeOptions(t, other, "agent-1")
	unknownAuthority.TLS.RootCAs = nodeOptions(t, a, "agent-1").TLS.RootCAs // so that the client accepts the listener's certificate
	for reason, client := range map[string]transport.Options{
		"no certificate": noCertificate, "expired": expired, "unknown authority": unknownAuthority,
	} {
		_, err := transport.Dial(t.Context(), s.listener.Address(), client, newIgnoreHandler)
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf(reason))
		qt.Check(t, strings.Contains(log.String(), reason), qt.IsTrue, qt.Commentf("%s not in %s", reason, log.String()))
	}
	_, err = transport.Dial(t.Context(), s.listener.Address(), nodeOptions(t, other, "agent-1"), newIgnoreHandler)
	qt.Check(t, err, qt.ErrorMatches, ".*certificate signed by unknown authority.*")
	qt.Check(t, len(s.conns), qt.Equals, 0)
}

// A connection must end when its peer's certificate expires.
func TestConnectionEndsWithCertificate(t *testing.T) {
	a := newAuthority(t)
	s := startServer(t, nodeOptions(t, a, "entry-1"))
	opts := nodeOptions(t, a, "agent-1")
	cert, key, err := a.Issue("agent-1", 1500*time.Millisecond)
	qt.Assert(t, err, qt.IsNil)
	opts.TLS, err = transport.NodeTLS(a.CertificatePEM(), cert, key)
	qt.Assert(t, err, qt.IsNil)
	dial(t, s.listener.Address(), opts)
	conn := receive(t, s.conns)
	<-conn.Done()
	qt.Check(t, conn.Err(), qt.ErrorIs, transport.ErrCertificateExpired)
}

func writeTLSFiles(t testing.TB, dir string, a *transport.Authority) transport.TLSFiles {
	f := transport.TLSFiles{
		AuthorityFile: filepath.Join(dir, "authority.pem"),
		CertFile:      filepath.Join(dir, "node.pem"),
		KeyFile:       filepath.Join(dir, "node.key"),
	}
	cert, key, err := a.Issue("node", time.Hour)
	qt.Assert(t, err, qt.IsNil)
	for name, b := range map[string][]byte{f.AuthorityFile: a.CertificatePEM(), f.CertFile: cert, f.KeyFile: key} {
		qt.Assert(t, os.WriteFile(name, b, 0o600), qt.IsNil)
	}
	return f
}

// Replaced key files must take effect without a restart, and a partially written
// file must not break new connections.
func TestReplacedKeysAreReloaded(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	files := writeTLSFiles(t, t.TempDir(), a)
	c, err := files.Load()
	qt.Assert(t, err, qt.IsNil)
	serverOptions := transport.Options{TLS: c, Hello: helloFrom("node"), IdleTimeout: connTimeout, HandshakeTimeout: connTimeout}
	s := startServer(t, serverOptions)
	openConn := dial(t, s.listener.Address(), nodeOptions(t, a, "agent-1"))
	writeTLSFiles(t, filepath.Dir(files.CertFile), b)
	dial(t, s.listener.Address(), nodeOptions(t, b, "agent-2"))
	dial(t, s.listener.Address(), serverOptions) // a client with the same files
	_, err = transport.Dial(t.Context(), s.listener.Address(), nodeOptions(t, a, "agent-1"), newIgnoreHandler)
	qt.Check(t, err, qt.Not(qt.IsNil))
	qt.Assert(t, os.WriteFile(files.KeyFile, []byte("half"), 0o600), qt.IsNil)
	_, err = files.Expiry()
	qt.Check(t, err, qt.Not(qt.IsNil))
	dial(t, s.listener.Address(), nodeOptions(t, b, "agent-3"))
	_, err = openConn.Call(t.Context(), &wire.Settle{}) // existing connections stay open
	qt.Check(t, err, qt.IsNil)
}

// Guards against a UDP port on which clients open connections without bound: one beyond the bound is refused,
// and the end of another makes room.
func TestConnectionsOfAListenerAreBounded(t *testing.T) {
	opts := transport.Options{Hello: func() wire.Hello { return wire.Hello{Role: wire.RoleAgent} }, MaxConns: 2, FrameBytes: 1}
	l, err := transport.Listen("127.0.0.1:0", opts)
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	ignore := func(*transport.Conn) transport.Handler { return ignoringHandler{} }
	go func() { _ = l.Serve(t.Context(), ignore) }()
	dial := func() (*transport.Conn, error) { return transport.Dial(t.Context(), l.Address(), opts, ignore) }
	first, err := dial()
	qt.Assert(t, err, qt.IsNil)
	_, err = dial()
	qt.Assert(t, err, qt.IsNil)
	_, err = dial()
	qt.Assert(t, err, qt.IsNotNil)
	_ = first.Close()
	for end := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(end); {
		_, err = dial()
	}
	qt.Assert(t, err, qt.IsNil)
}

type ignoringHandler struct{}

func (ignoringHandler) Handle(*transport.Conn, wire.Frame) {}
func (ignoringHandler) Closed(*transport.Conn, error)      {}
