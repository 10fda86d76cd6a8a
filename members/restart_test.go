package members

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"oriolerelay/ids"
	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
)

// Guards against a restarted process that joins without a sponsor while another member
// is alive. If that member is cut off from the log, its statements still allow the
// previous incarnation to act, which may be paused or cut off as well, and both
// incarnations act for one id. Also guards against a restart of all entries in which
// none ever joins.
func TestRestartRequestsSponsorFirst(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		a, old := start(), testMember("entry-b", 2)
		c.Assert(a.Join(c.Context(), testMember("entry-a", 1)), qt.IsNil)
		c.Assert(start().Join(c.Context(), old), qt.IsNil)

		ctx, cancel := context.WithCancel(c.Context())
		var answer atomic.Pointer[error]
		answer.Store(&ErrSponsorRefused)
		b := NewFollower(logstore.NewClient("http://platform", logstore.WithTransport(server.Transport())), nil)
		b.SetSponsorRequest(func(context.Context, ids.Incarnation, Member) error { return *answer.Load() })
		go func() { _ = b.Run(ctx) }()
		go func() { _ = b.Join(ctx, testMember("entry-b", 3)) }()
		time.Sleep(time.Minute)
		c.Assert(a.HasLeft(old.Node), qt.IsFalse)

		unreachable := errors.New("unreachable")
		answer.Store(&unreachable)
		time.Sleep(restartSponsorTimeout / 2)
		c.Assert(a.HasLeft(old.Node), qt.IsFalse)
		time.Sleep(restartSponsorTimeout)
		c.Assert(a.HasLeft(old.Node), qt.IsTrue)
		cancel()
		synctest.Wait()
	})
}
