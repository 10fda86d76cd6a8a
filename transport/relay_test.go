package transport_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/internal/udprelay"
	"oriolerelay/transport"
	"oriolerelay/wire"
)

// Guards against a connection that went silent staying open while new ones work.
func TestSilentConnectionTimesOut(t *testing.T) {
	a := newAuthority(t)
	s := startServer(t, nodeOptions(t, a, "entry-1"))
	relay, err := udprelay.New(s.listener.Address())
	qt.Assert(t, err, qt.IsNil)
	defer relay.Close()
	conn := dial(t, relay.Address(), nodeOptions(t, a, "agent-1"))
	begin := time.Now()
	relay.Silence()
	<-conn.Done()
	// Twice the idle timeout: it starts anew with the first unanswered packet.
	elapsed := time.Since(begin)
	qt.Check(t, elapsed < 5*time.Second, qt.IsTrue, qt.Commentf("ended after %v", elapsed))
	redialed := dial(t, relay.Address(), nodeOptions(t, a, "agent-1"))
	_, err = redialed.Call(t.Context(), &wire.Settle{})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, redialed.Close(), qt.IsNil)
	qt.Check(t, redialed.Err(), qt.Equals, transport.ErrClosed)
}
