package limit

import (
	"fmt"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/errkind"
	"oriolerelay/ticket"
)

var epoch = time.Unix(1000, 0)

// TestQuotaShare checks that an entry admits no more than its share of a quota, so
// that the entries together don't exceed it.
func TestQuotaShare(t *testing.T) {
	c := qt.New(t)
	q := NewQuotas()
	rules := ticket.Team{MaxInFlight: 10}
	c.Assert(q.Admit("veil", rules, 3, 4, epoch) == nil, qt.IsTrue)
	err := q.Admit("veil", rules, 3, 1, epoch)
	c.Assert(err.Kind, qt.Equals, errkind.QuotaExceeded)
	c.Assert(q.Admit("lace", rules, 3, 4, epoch) == nil, qt.IsTrue)
	q.Release("veil", 4)
	c.Assert(q.Admit("veil", rules, 3, 1, epoch) == nil, qt.IsTrue)
	c.Assert(q.InFlight("veil"), qt.Equals, 1)
}

// TestStartRate guards against a team that exceeds its starts per second, and
// against a refusal whose RetryAfter is too short for the next attempt to succeed.
func TestStartRate(t *testing.T) {
	c := qt.New(t)
	q := NewQuotas()
	rules := ticket.Team{StartsPerSecond: 200}
	now, admitted := epoch, 0
	for now.Sub(epoch) < 10*time.Second {
		if err := q.Admit("veil", rules, 2, 10, now); err != nil {
			c.Assert(err.RetryAfter > 0, qt.IsTrue)
			now = now.Add(err.RetryAfter)
			c.Assert(q.Admit("veil", rules, 2, 10, now) == nil, qt.IsTrue)
		}
		admitted += 10
	}
	c.Assert(admitted >= 1000 && admitted <= 1000+minBurst+10, qt.IsTrue, qt.Commentf("admitted %d", admitted))
	c.Assert(q.Admit("veil", ticket.Team{}, 2, 10_000, now) == nil, qt.IsTrue)
}

// TestRetryBudget guards against retries that multiply the load on a failing
// service.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.RecordRequest()
		for b.TryRetry() {
			retries++
		}
	}
	c.Assert(retries <= 100+retryBurst, qt.IsTrue, qt.Commentf("%d retries", retries))
	c.Assert(retries >= 100, qt.IsTrue, qt.Commentf("%d retries", retries))
}

// TestEjectionBound checks over random task results that at most half of the
// endpoints of a service are ejected, and that each endpoint becomes healthy again.
func TestEjectionBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "endpoints")
		g := NewHealthGroup()
		all := make([]*Health, n)
		for i := range all {
			all[i] = &Health{}
			g.Add(all[i])
		}
		now := epoch
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			h := all[rapid.IntRange(0, n-1).Draw(t, "endpoint")]
			if rapid.IntRange(0, 3).Draw(t, "ok") == 0 {
				g.RecordSuccess(h, now)
			} else {
				g.RecordFailure(h, ticket.EndpointRules{}, now)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if e := g.countEjected(now); 2*e > n {
				t.Fatalf("%d of %d endpoints are ejected", e, n)
			}
		}
		now = now.Add(defaultBaseEjectionTime << maxEjectionDoublings)
		for _, h := range all {
			for range probationSuccesses {
				g.RecordSuccess(h, now)
			}
			if h.State(now) != Healthy {
				t.Fatal("endpoint did not become healthy again")
			}
		}
	})
}

// TestEjectionTimeDoubles guards against an endpoint that keeps failing and is still
// given tasks: each failure on probation doubles the ejection time.
func TestEjectionTimeDoubles(t *testing.T) {
	c := qt.New(t)
	g := NewHealthGroup()
	h := &Health{}
	g.Add(h)
	g.Add(&Health{})
	rules := ticket.EndpointRules{EjectAfterFailures: 3, EjectMS: 100}
	now := epoch
	c.Assert(g.RecordFailure(h, rules, now), qt.IsFalse)
	c.Assert(g.RecordFailure(h, rules, now), qt.IsFalse)
	c.Assert(g.RecordFailure(h, rules, now), qt.IsTrue)
	for _, ms := range []int{100, 200, 400} {
		c.Assert(h.State(now), qt.Equals, Ejected)
		now = now.Add(time.Duration(ms)*time.Millisecond - 1)
		c.Assert(h.State(now), qt.Equals, Ejected)
		now = now.Add(1)
		c.Assert(h.State(now), qt.Equals, Probation)
		c.Assert(g.RecordFailure(h, rules, now), qt.IsTrue)
	}
}

// TestFairQueueOrder compares the order of a team's items with a sorted list while
// random items are removed. It guards against lost items and a wrong order.
func TestFairQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int]()
		var queued []*FairItem[int]
		for i := range rapid.IntRange(1, 60).Draw(t, "items") {
			item := q.NewItem("veil", 1, epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline"))), i)
			q.Push(item)
			queued = append(queued, item)
		}
		for range rapid.IntRange(0, 20).Draw(t, "removals") {
			if len(queued) == 0 {
				break
			}
			k := rapid.IntRange(0, len(queued)-1).Draw(t, "removed")
			q.Remove(queued[k])
			q.Remove(queued[k]) // a second removal changes nothing
			queued = append(queued[:k], queued[k+1:]...)
		}
		sort.Slice(queued, func(a, b int) bool { return queued[a].before(queued[b]) })
		for _, want := range queued {
			if got := q.Head(); got != want {
				t.Fatalf("head %d, want %d", got.Value, want.Value)
			}
			q.Remove(want)
		}
		if q.Len() != 0 || q.Head() != nil {
			t.Fatal("queue is not empty")
		}
	})
}

// TestFairQueueShares guards against a team that gets more than its weighted share
// while others wait, and against starvation of a team.
func TestFairQueueShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue[int]()
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(t, "weights")
		total := 0
		for i, w := range weights {
			total += w
			for range 2000 {
				q.Push(q.NewItem(fmt.Sprint(i), float64(w), epoch, i))
			}
		}
		served := make([]float64, len(weights))
		const rounds = 1500
		var sum, largest float64
		for range rounds {
			item := q.Head()
			cost := float64(rapid.IntRange(1, 10).Draw(t, "cost"))
			q.Charge(item, cost)
			q.Remove(item)
			served[item.Value] += cost
			sum += cost
			largest = max(largest, cost)
		}
		for i, w := range weights {
			want := sum * float64(w) / float64(total)
			// Start-time fair queueing differs from the exact share by at most
			// about one item per team.
			if d := served[i] - want; d > largest*float64(len(weights)+1) || d < -largest*float64(len(weights)+1) {
				t.Fatalf("team %d with weight %d of %d got %v of %v", i, w, total, served[i], sum)
			}
		}
	})
}

// TestFairQueueIdleTeam guards against a team that earns credit while it is idle.
func TestFairQueueIdleTeam(t *testing.T) {
	c := qt.New(t)
	q := NewFairQueue[string]()
	for range 100 {
		q.Push(q.NewItem("veil", 1, epoch, "veil"))
	}
	serve := func() string {
		item := q.Head()
		q.Charge(item, 1)
		q.Remove(item)
		return item.Value
	}
	for range 50 {
		serve()
	}
	for range 50 {
		q.Push(q.NewItem("lace", 1, epoch, "lace"))
	}
	lace := 0
	for range 20 {
		if serve() == "lace" {
			lace++
		}
	}
	c.Assert(lace >= 9 && lace <= 11, qt.IsTrue, qt.Commentf("lace got %d of 20", lace))
}

// TestEstimateSchedule compares the estimate with a list schedule, in which each task
// starts in the first slot that becomes free on equal endpoints.
func TestEstimateSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 20).Draw(t, "slots")
		n := rapid.IntRange(1, 200).Draw(t, "n")
		ahead := rapid.IntRange(0, 200).Draw(t, "ahead")
		run := time.Duration(rapid.IntRange(1, 500).Draw(t, "run ms")) * time.Millisecond
		start, finish := EstimateSchedule([]EndpointLoad{{Slots: slots, RunTime: run}}, float64(ahead), float64(ahead+n))
		rounds := (ahead + n + slots - 1) / slots
		exactStart, exactFinish := time.Duration(ahead/slots)*run, time.Duration(rounds)*run
		if start > exactStart+run || start < exactStart-run {
			t.Fatalf("start %v, exact %v", start, exactStart)
		}
		if finish > exactFinish+run || finish < exactFinish-run {
			t.Fatalf("finish %v, exact %v", finish, exactFinish)
		}
	})
}
