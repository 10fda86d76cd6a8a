package executor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"oriolerelay/endpointapi"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// Guards against a fence that counts unanswered calls as void before the current incarnation of the
// endpoint has answered a later one, and against one that keeps them forever.
func TestFenceIsPendingUntilAnswered(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	var f fence
	f.init(now)
	c.Check(f.isPending(), quicktest.IsTrue) // an earlier process may have made calls
	sent := f.token()
	f.recordAnswer(sent)
	c.Check(f.isPending(), quicktest.IsFalse)
	f.recordLostGrant(sent, now)
	f.recordNoReply(sent)
	c.Check(f.token(), quicktest.Equals, sent+1) // one increase covers both calls
	f.recordAnswer(sent)
	c.Check(f.isPending(), quicktest.IsTrue)
	c.Check(f.unansweredGrants, quicktest.HasLen, 1)
	f.recordAnswer(sent + 1)
	c.Check(f.isPending(), quicktest.IsFalse)
	c.Check(f.unansweredGrants, quicktest.HasLen, 0)
	f.startIncarnation()
	f.recordAnswer(sent + 1) // the earlier incarnation answered
	c.Check(f.isPending(), quicktest.IsTrue)
	f.recordAnswer(f.token())
	c.Check(f.isPending(), quicktest.IsFalse)
}

// Guards against reporting a run as lost while a grant that got no reply can still extend its lease.
func TestLatestLeaseEndCountsUnansweredGrants(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	var f fence
	f.init(now)
	end, lease := now.Add(1500*time.Millisecond), 700*time.Millisecond
	c.Check(f.latestLeaseEnd(end, lease), quicktest.Equals, end)
	f.recordLostGrant(f.token(), now)
	f.recordLostGrant(f.token(), now.Add(time.Second))
	f.recordLostGrant(f.token(), now.Add(2500*time.Millisecond)) // executed after the end of the lease
	c.Check(f.latestLeaseEnd(end, lease), quicktest.Equals, end.Add(2*lease))
	f.recordAnswer(f.token())
	c.Check(f.latestLeaseEnd(end, lease), quicktest.Equals, end)
}

// observationCounter counts the observations of an endpoint.
type observationCounter struct {
	fakeEndpoint
	n atomic.Int32
}

func (e *observationCounter) Observe(ctx context.Context, o endpointapi.ObserveRequest) (endpointapi.Observation, error) {
	e.n.Add(1)
	return e.fakeEndpoint.Observe(ctx, o)
}

// Guards against a fence that makes an agent call an idle endpoint.
func TestIdleEndpointIsNotObserved(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		e := &observationCounter{fakeEndpoint: fakeEndpoint{running: make(map[wire.Run]bool), maxListed: 500}}
		x := New(Config{Endpoint: e, Timing: DefaultTiming(time.Second), Metrics: NewMetrics(prometheus.NewRegistry())})
		go x.Run(ctx)
		x.Announce(endpointapi.Announcement{Profile: wire.Profile{Instance: "i-1"}, StartMillis: 1, Sequence: 1, Clock: time.Hour})
		time.Sleep(time.Second)
		before := e.n.Load()
		time.Sleep(10 * time.Second)
		c.Check(e.n.Load(), quicktest.Equals, before)
		cancel()
		time.Sleep(time.Second)
	})
}
