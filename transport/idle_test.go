package transport_test

import (
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
	s := startServer(t, nodeOptions(t, a, "entry-1"))
	relay, err := udprelay.New(s.listener.Address())
	qt.Assert(t, err, qt.IsNil)
	defer relay.Close()
	conn := dial(t, relay.Address(), nodeOptions(t, a, "agent-1"))
	begin := time.Now()
	relay.Blackhole()
	<-conn.Done()
	// Up to twice the idle timeout, since the first unanswered packet restarts the
	// idle timer.
	elapsed := time.Since(begin)
	qt.Check(t, elapsed < 5*time.Second, qt.IsTrue, qt.Commentf("ended after %v", elapsed))
	redialed := dial(t, relay.Address(), nodeOptions(t, a, "agent-1"))
	_, err = redialed.Call(t.Context(), &wire.Settle{})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, redialed.Close(), qt.IsNil)
	qt.Check(t, redialed.Err(), qt.Equals, transport.ErrClosed)
}
