package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// groupOf returns a group of jobs of equal work of which a share has started.
func groupOf(jobs, share float64) *ShareGroup {
	return &ShareGroup{Counts: ShareCounts{Started: jobs * share, Refused: jobs * (1 - share), Squares: jobs}}
}

// Guards against the promotion of groups that get their share, or that have too few jobs to tell, and
// against a group that gets less than its share and is not promoted.
func TestJudgeShares(t *testing.T) {
	for _, tc := range []struct {
		name   string
		kind   GroupKind
		groups []*ShareGroup
		want   []bool
	}{
		{"all get the same", QueueGroup, []*ShareGroup{groupOf(100, 0.6), groupOf(100, 0.6)}, []bool{false, false}},
		{"a little less", QueueGroup, []*ShareGroup{groupOf(100, 0.8), groupOf(100, 0.78)}, []bool{false, false}},
		{"less than the floor", QueueGroup, []*ShareGroup{groupOf(100, 0.99), groupOf(100, 0.94), groupOf(100, 0.69)}, []bool{false, false, true}},
		{"a higher floor for data centres", DataCentreGroup, []*ShareGroup{groupOf(5000, 0.91), groupOf(5000, 0.83)}, []bool{false, true}},
		{"too few jobs", QueueGroup, []*ShareGroup{groupOf(100, 0.9), groupOf(7, 0.1)}, []bool{false, false}},
		{"too few jobs in the best one", QueueGroup, []*ShareGroup{groupOf(7, 1), groupOf(100, 0.5)}, []bool{false, false}},
		{"few jobs, by chance", QueueGroup, []*ShareGroup{groupOf(100, 0.7), groupOf(10, 0.62)}, []bool{false, false}},
		{"none started", QueueGroup, []*ShareGroup{groupOf(100, 0), groupOf(100, 0)}, []bool{false, false}},
		{"no jobs", SizeGroup, []*ShareGroup{groupOf(0, 0), groupOf(0, 0)}, []bool{false, false}},
	} {
		JudgeShares(tc.kind, tc.groups)
		var got []bool
		for _, g := range tc.groups {
			got = append(got, g.Promoted)
			quicktest.Check(t, g.Shortfall > 0, quicktest.Equals, g.Promoted, quicktest.Commentf("%s", tc.name))
			quicktest.Check(t, g.Fraction >= 0 && g.Fraction <= 1, quicktest.IsTrue, quicktest.Commentf("%s", tc.name))
		}
		quicktest.Check(t, got, quicktest.DeepEquals, tc.want, quicktest.Commentf("%s", tc.name))
	}
}

// Guards against a group whose promotion begins and ends while its share changes little.
func TestPromotionHasHysteresis(t *testing.T) {
	best, other := groupOf(1000, 0.8), groupOf(1000, 0.7)
	groups := []*ShareGroup{best, other}
	JudgeShares(QueueGroup, groups)
	quicktest.Assert(t, other.Promoted, quicktest.IsTrue)
	fraction := other.Fraction
	other.Counts = groupOf(1000, 0.77).Counts // above the share at which it began
	JudgeShares(QueueGroup, groups)
	quicktest.Check(t, other.Promoted, quicktest.IsTrue)
	quicktest.Check(t, other.Fraction < fraction, quicktest.IsTrue)
	other.Counts = groupOf(1000, 0.795).Counts
	JudgeShares(QueueGroup, groups)
	quicktest.Check(t, *other, quicktest.Equals, ShareGroup{Counts: other.Counts})
	other.Counts = groupOf(1000, 0.77).Counts
	JudgeShares(QueueGroup, groups)
	quicktest.Check(t, other.Promoted, quicktest.IsFalse)
}

// Guards against an order in which promoted jobs wait behind others, the most urgent ones lose their
// precedence while they get less than others, or a promoted job comes first although its answer would
// be late. The order must not depend on the order of arrival in the queue.
func TestPromotedJobsComeFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	queued := func(priority int, shortfall float64, bestQueue bool, left time.Duration) *QueuedJob {
		j := &QueuedJob{Priority: priority, Arrived: now, Objective: now.Add(left), ExpectedRunTime: 500 * time.Millisecond}
		j.Shares = j.Precedence(shortfall, bestQueue, now)
		return j
	}
	const second = time.Second
	want := map[string][]*QueuedJob{
		"priority 0 is the best served": {
			queued(2, 0.3, false, second), queued(1, 0.2, false, second), queued(0, 0, true, second), queued(1, 0, false, second),
			queued(2, 0, false, second), queued(0, 0, true, 400*time.Millisecond), queued(2, 0.3, false, 400*time.Millisecond),
		},
		"priority 0 is not the best served": {
			queued(0, 0.1, false, second), queued(0, 0, false, second), queued(2, 0.3, false, second), queued(1, 0, true, second),
		},
		"without promoted groups": {{Priority: 0, Objective: now.Add(second)}, {Priority: 1, Objective: now.Add(second)}},
	}
	for name, jobs := range want {
		for i := range jobs {
			got := slices.Concat(jobs[i:], jobs[:i])
			slices.SortStableFunc(got, func(a, b *QueuedJob) int { return (Policy{}).Compare(a, b, now) })
			for k := range got {
				quicktest.Check(t, got[k], quicktest.Equals, jobs[k], quicktest.Commentf("%s, position %d", name, k))
			}
		}
	}
}

// Guards against size classes that hold other parts of the jobs than a tenth and a fifth, or that tell
// jobs of equal size apart.
func TestSizeBounds(t *testing.T) {
	sizes := make([]float64, 100)
	for i := range sizes {
		sizes[i] = float64(i)
	}
	count := func(b SizeBounds) (n [SizeClasses]int) {
		for _, s := range sizes {
			n[b.Class(s)]++
		}
		return n
	}
	quicktest.Check(t, count(NewSizeBounds(sizes)), quicktest.Equals, [SizeClasses]int{70, 20, 10})
	quicktest.Check(t, count(NewSizeBounds(sizes[:20])), quicktest.Equals, [SizeClasses]int{100, 0, 0})
	equal := slices.Repeat([]float64{3}, 100)
	quicktest.Check(t, NewSizeBounds(equal).Class(3), quicktest.Equals, SmallJobs)
}

// Guards against shares that do not settle within the duration of an overload, or that never settle: a
// simulated service divides its capacity between three queues, of which the lowest gets what is left.
func TestSharesSettle(t *testing.T) {
	for _, load := range []float64{1.2, 1.4, 1.6} {
		demand, groups := []float64{0.2, 0.5, 0.3}, []*ShareGroup{{}, {}, {}}
		const step = 50 * time.Millisecond
		for at := time.Duration(0); at < 12*time.Second; at += step {
			JudgeShares(QueueGroup, groups)
			capacity, started := 1.0, make([]float64, 3)
			take := func(i int, part float64) {
				n := max(min(part*load*demand[i]-started[i], capacity), 0)
				started[i], capacity = started[i]+n, capacity-n
			}
			if !groups[0].Best {
				take(0, 1)
			}
			order := []int{2, 1, 0}
			slices.SortStableFunc(order, func(a, b int) int { return int(math.Copysign(1, groups[b].Shortfall-groups[a].Shortfall)) })
			for _, i := range order {
				take(i, groups[i].Fraction)
			}
			for i := range groups {
				take(i, 1)
			}
			worst, best := 1.0, 0.0
			for i, g := range groups {
				n := ShareCounts{Started: 10 * started[i], Refused: 10 * (load*demand[i] - started[i]), Squares: 10 * load * demand[i]}
				g.Counts = ShareCounts{}.Add(g.Counts, ShareDecay(step)).Add(n, 1)
				worst, best = min(worst, g.Counts.Share()), max(best, g.Counts.Share())
			}
			if at > 2*time.Second && worst < 0.88*best {
				t.Errorf("load %.1f, %v: %s", load, at, fmt.Sprint(worst, best))
			}
		}
	}
}
