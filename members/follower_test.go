package members

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/internal/bubble"
	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
	"oriolerelay/logstore/standin"
)

func testMember(name string, number uint64) Member {
	return Member{Node: ids.Incarnation{Name: name, Number: number}, Address: "127.0.0.1:1", Region: "west"}
}

// inBubble runs test with a fake clock, a simulated platform and a function that
// starts a follower of its log.
func inBubble(t *testing.T, test func(c *qt.C, server *standin.Server, start func() *Follower)) {
	bubble.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		server := standin.New()
		var mu sync.Mutex // guards all, which sponsor requests read concurrently
		var all []*Follower
		test(c, server, func() *Follower {
			f := NewFollower(logstore.NewClient("http://platform", logstore.WithTransport(server.Transport())), nil)
			f.SetSponsorRequest(requestSponsorAmong(func() []*Follower {
				mu.Lock()
				defer mu.Unlock()
				return slices.Clone(all)
			}))
			mu.Lock()
			all = append(all, f)
			mu.Unlock()
			go func() { _ = f.Run(ctx) }()
			synctest.Wait()
			return f
		})
		cancel()
		synctest.Wait()
	})
}

// requestSponsorAmong returns a SponsorRequestFunc that reaches the members among the
// followers.
func requestSponsorAmong(followers func() []*Follower) SponsorRequestFunc {
	return func(ctx context.Context, member ids.Incarnation, m Member) error {
		for _, f := range followers() {
			f.mu.Lock()
			node := f.node
			f.mu.Unlock()
			if node != member {
				continue
			}
			if err := f.Sponsor(ctx, m); err != nil {
				return fmt.Errorf("%w: %w", ErrSponsorRefused, err)
			}
			return nil
		}
		return errNoSponsor
	}
}

func mustParse(c *qt.C, id string) ids.Submission {
	sub, err := ids.ParseSubmission(id)
	c.Assert(err, qt.IsNil)
	return sub
}

// Guards against two entries that find different homes for one submission, and against
// an entry that finds a home while the log cannot be read.
func TestFollowersAgreeOnHomeAndFailDuringOutage(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		a, b := start(), start()
		c.Assert(a.Join(c.Context(), testMember("entry-a", 1)), qt.IsNil)
		c.Assert(b.Join(c.Context(), testMember("entry-b", 2)), qt.IsNil)
		time.Sleep(5 * time.Second)
		homes := map[string]int{}
		for i := range 100 {
			sub := mustParse(c, fmt.Sprintf("west:order-%d", i))
			at := time.Now().Add(400 * time.Millisecond)
			homeA, err := a.Home(sub, "lace", at)
			c.Assert(err, qt.IsNil)
			homeB, err := b.Home(sub, "lace", at)
			c.Assert(err, qt.IsNil)
			c.Assert(homeA, qt.Equals, homeB)
			homes[homeA.Name]++
		}
		c.Assert(homes, qt.HasLen, 2)

		server.SetFaults(standin.Faults{Down: true})
		time.Sleep(ActivationDelayMS * time.Millisecond)
		_, err := a.Home(mustParse(c, "order-1"), "lace", time.Now())
		c.Assert(errkind.Is(err, errkind.HomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	})
}

// Guards against a dead member that remains the home of new submissions, and against a
// live member that is removed by mistake and never joins again.
func TestSuspectIsRemovedAndLiveMemberRejoins(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *standin.Server, start func() *Follower) {
		a, b := start(), start()
		memberB := testMember("entry-b", 2)
		c.Assert(a.Join(c.Context(), testMember("entry-a", 1)), qt.IsNil)
		c.Assert(b.Join(c.Context(), memberB), qt.IsNil)
		a.ReportSuspects([]ids.Incarnation{memberB.Node})
		time.Sleep(2 * time.Second)
		c.Assert(a.HasLeft(memberB.Node), qt.IsTrue)
		a.ReportSuspects(nil)
		time.Sleep(minRejoinBackoff + 2*time.Second)
		c.Assert(a.HasLeft(memberB.Node), qt.IsFalse)
		c.Assert(b.Leave(c.Context()), qt.IsNil)
		time.Sleep(follow.ReadInterval + time.Millisecond) // until a has read the log again
		c.Assert(a.Addresses(), qt.HasLen, 1)
	})
}

// Guards against an entry that starts during an outage of the log and never becomes a
// member or retries without a pause, and against a draining entry that joins again.
func TestJoinRetriesDuringOutage(t *testing.T) {
	inBubble(t, func(c *qt.C, server *standin.Server, start func() *Follower) {
		f, m := start(), testMember("entry-a", 1)
		server.SetFaults(standin.Faults{Down: true})
		ctx, cancel := context.WithTimeout(c.Context(), time.Second)
		defer cancel()
		c.Assert(f.Join(ctx, m), qt.ErrorIs, context.DeadlineExceeded)
		time.Sleep(time.Minute)
		failed := testutil.ToFloat64(f.appendCounter.WithLabelValues(typeJoin, "failed"))
		c.Assert(failed <= 1+maxReadAge.Seconds()/appendRetryInterval.Seconds(), qt.IsTrue, qt.Commentf("%v appends failed", failed))
		server.SetFaults(standin.Faults{LoseResponses: true})
		time.Sleep(appendRetryInterval + 2*time.Second)
		c.Assert(f.Addresses(), qt.HasLen, 1)

		c.Assert(f.Leave(c.Context()), qt.IsNil)
		time.Sleep(time.Minute)
		c.Assert(f.Addresses(), qt.HasLen, 0)
		until, left := f.HomeUntil(m.Node)
		c.Assert(left, qt.IsTrue)
		c.Assert(time.Since(until) < time.Minute, qt.IsTrue)
	})
}
