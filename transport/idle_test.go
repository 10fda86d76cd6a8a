package transport_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/udprelay"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// A connection whose packets are dropped without notice must time out instead of
// staying open, and new connections must work.
func TestBlackholedConnectionTimesOut(t *testing.T) {
	a := newAuthority(t)
	server, client := nodeOptions(t, a, "entry-1"), nodeOptions(t, a, "agent-1")
	server.IdleTimeout, client.IdleTimeout = 0, 0
	s := startServer(t, server)
	relay, err := udprelay.New(s.listener.Address())
	qt.Assert(t, err, qt.IsNil)
	defer relay.Close()
	conn := dial(t, relay.Address(), client)
	begin := time.Now()
	relay.Blackhole()
	<-conn.Done()
	// Up to twice the idle timeout, since the first unanswered packet restarts the
	// idle timer.
	elapsed := time.Since(begin)
	qt.Check(t, elapsed < 5*time.Second, qt.IsTrue, qt.Commentf("ended after %v", elapsed))
	redialed := dial(t, relay.Address(), client)
	_, err = redialed.Call(t.Context(), &wire.Settle{})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, redialed.Close(), qt.IsNil)
	qt.Check(t, redialed.Err(), qt.Equals, transport.ErrClosed)
}

// A dial to an address that does not respond must end at its timeout: the caller tries
// other addresses only then.
func TestDialToSilentAddressTimesOut(t *testing.T) {
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close()
	opts := nodeOptions(t, newAuthority(t), "agent-1")
	opts.HandshakeTimeout = 50 * time.Millisecond
	_, err = transport.Dial(t.Context(), silent.LocalAddr().String(), opts, newIgnoreHandler)
	var timeout net.Error
	qt.Assert(t, err, qt.ErrorAs, &timeout)
	qt.Check(t, timeout.Timeout(), qt.IsTrue)
}
