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
func TestSilentConnectionEnds(t *testing.T) {
	a := authority(t)
	s := listen(t, optionsOf(t, a, "entry-1"))
	relay, err := udprelay.New(s.listener.Address())
	qt.Assert(t, err, qt.IsNil)
	defer relay.Close()
	conn := dial(t, relay.Address(), optionsOf(t, a, "agent-1"))
	begin := time.Now()
	relay.Blackhole()
	<-conn.Done()
	// Twice the idle timeout: it starts anew with the first unanswered packet.
	took := time.Since(begin)
	qt.Check(t, took < 5*time.Second, qt.IsTrue, qt.Commentf("ended after %v", took))
	again := dial(t, relay.Address(), optionsOf(t, a, "agent-1"))
	_, err = again.Call(t.Context(), &wire.Settle{})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, again.Close(), qt.IsNil)
	qt.Check(t, again.Err(), qt.Equals, transport.ErrClosed)
}
