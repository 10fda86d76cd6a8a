package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ShareCounts is the work, in declared core-seconds, of the jobs of a group that were decided. Older
// decisions count less (see ShareDecay).
type ShareCounts struct {
	// Started is the work of the jobs that have started, Refused that of the refused ones.
	Started, Refused float64
	// Squares is the sum of the squares of the work of these jobs.
	Squares float64
}

// Decided returns the work of all decided jobs.
func (s ShareCounts) Decided() float64 { return s.Started + s.Refused }

// Share returns the share of the work that has started.
func (s ShareCounts) Share() float64 {
	if s.Decided() <= 0 {
		return 1
	}
	return s.Started / s.Decided()
}

// Add returns s plus factor times o.
func (s ShareCounts) Add(o ShareCounts, factor float64) ShareCounts {
	return ShareCounts{s.Started + factor*o.Started, s.Refused + factor*o.Refused, s.Squares + factor*o.Squares}
}

// jobs returns the number of jobs of equal work that would give a share of the same accuracy.
func (s ShareCounts) jobs() float64 {
	if s.Squares <= 0 {
		return 0
	}
	return s.Decided() * s.Decided() / s.Squares
}

// shareWindow is the time after which a decision counts 1/e. Overload lasts 3 to 12 s, and the shares
// must settle within a small part of it. A shorter window has too few jobs of a queue of long ones: at
// 40 jobs/s, 1.5 s give the share a standard error of about 0.06.
const shareWindow = 1500 * time.Millisecond

// ShareDecay returns the factor by which counts decrease in the given time.
func ShareDecay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(shareWindow))
}

// GroupKind is a property by which jobs are grouped. The groups of a kind are compared with each other.
type GroupKind uint8

// The kinds of groups.
const (
	QueueGroup      GroupKind = iota // the queues of a service
	DataCentreGroup                  // the data centres of the callers of a service
	SizeGroup                        // the size classes of a queue
)

// String returns the name of k in logs and metrics.
func (k GroupKind) String() string {
	return [...]string{"queue", "data_centre", "size"}[k]
}

// shareFloors are shares relative to the best served group of the kind. The promotion of a group begins
// below begin and ends at end. All of its jobs are promoted up to full, and a part that decreases to
// none between full and end: a group of the lowest priority gets nothing while none of its jobs are
// promoted, so that its share would oscillate. In overload callers are promised 0.85 of the best queue's
// share of jobs in time, and 0.95 of the best data centre's. The floors are above these, since some
// jobs that start are late.
//
// margin is the number of standard errors by which a share must be below begin, so that chance seldom
// promotes a group. It is larger for data centres, whose floors are closer to the best share.
var shareFloors = [...]struct{ full, begin, end, margin float64 }{
	QueueGroup:      {0.90, 0.94, 0.99, 0.5},
	DataCentreGroup: {0.92, 0.96, 0.99, 1},
	SizeGroup:       {0.85, 0.90, 0.97, 0.5},
}

// minShareJobs is the number of decided jobs (see ShareCounts.jobs) below which a group's share is not
// judged.
const minShareJobs = 8

// ShareGroup is a group of jobs with its standing among the groups of its kind.
type ShareGroup struct {
	Counts ShareCounts
	// Promoted is set while some jobs of the group come before others.
	Promoted bool
	// Shortfall is the part of the best served group's share that a promoted group lacks; 0 for others.
	Shortfall float64
	// Fraction is the part of its jobs that are promoted.
	Fraction float64
	// Best is set for the best served group, and for groups that do not differ from it.
	Best bool
}

// JudgeShares updates the standing of the groups of one kind from their counts.
func JudgeShares(kind GroupKind, groups []*ShareGroup) (bestShare float64) {
	for _, g := range groups {
		if g.Counts.jobs() >= minShareJobs {
			bestShare = max(bestShare, g.Counts.Share())
		}
	}
	floor := shareFloors[kind]
	for _, g := range groups {
		jobs, share := g.Counts.jobs(), g.Counts.Share()
		if jobs < minShareJobs || bestShare == 0 {
			g.Promoted, g.Shortfall, g.Fraction, g.Best = false, 0, 0, false
			continue
		}
		if g.Promoted {
			g.Promoted = share < floor.end*bestShare
		} else {
			g.Promoted = share+floor.margin*math.Sqrt(share*(1-share)/jobs) < floor.begin*bestShare
		}
		g.Best, g.Shortfall, g.Fraction = share >= bestShare, 0, 0
		if g.Promoted {
			g.Shortfall = 1 - share/bestShare
			g.Fraction = min((floor.end-share/bestShare)/(floor.end-floor.full), 1)
		}
	}
	return bestShare
}

// SharePrecedence is the precedence of a job that follows from the standing of its groups. The zero
// value applies while no group of the job's service is promoted.
type SharePrecedence struct {
	tier      int8
	shortfall float64
}

// Tiers of jobs while a group of their service is promoted.
const (
	tierMostUrgent int8 = iota // priority 0, unless its queue is the best served one
	tierPromoted
	tierOther
)

// Promoted reports whether the job comes before others because of its groups.
func (s SharePrecedence) Promoted() bool { return s.shortfall > 0 }

// Precedence returns the precedence of j if a group of its service is promoted. shortfall is the largest
// of those of its groups that promote it, and bestQueue is set if its queue is the best served one. A job that would miss its
// objective is not promoted, since its answer would be of no use.
func (j *QueuedJob) Precedence(shortfall float64, bestQueue bool, now time.Time) SharePrecedence {
	s := SharePrecedence{tier: tierOther}
	if shortfall > 0 && !j.wouldMissObjective(now) {
		s = SharePrecedence{tierPromoted, shortfall}
	}
	if j.Priority <= 0 && !bestQueue {
		s.tier = tierMostUrgent
	}
	return s
}

func (s SharePrecedence) compare(o SharePrecedence) int {
	return cmp.Or(cmp.Compare(s.tier, o.tier), cmp.Compare(o.shortfall, s.shortfall))
}

// SizeClass is the size of a job relative to others of its queue.
type SizeClass uint8

// The size classes by declared core-seconds: the largest tenth, the fifth below it, and the rest.
const (
	SmallJobs SizeClass = iota
	MediumJobs
	LargeJobs
	SizeClasses = 3
)

// String returns the name of c in logs and metrics.
func (c SizeClass) String() string { return [...]string{"small", "medium", "large"}[c] }

const (
	mediumQuantile = 0.7
	largeQuantile  = 0.9
	// minSizeSample is the number of jobs from which on their quantiles tell classes apart.
	minSizeSample = 32
)

// SizeBounds are the sizes above which a job of a queue is medium or large, in core-seconds.
type SizeBounds struct{ medium, large float64 }

// NewSizeBounds returns the bounds for a queue with a sample of its jobs, which must be sorted. All jobs
// of a small sample are small.
func NewSizeBounds(sorted []float64) SizeBounds {
	if len(sorted) < minSizeSample {
		return SizeBounds{math.Inf(1), math.Inf(1)}
	}
	at := func(q float64) float64 { return sorted[int(q*float64(len(sorted)))-1] }
	return SizeBounds{at(mediumQuantile), at(largeQuantile)}
}

// Class returns the class of a job.
func (b SizeBounds) Class(coreSeconds float64) SizeClass {
	switch {
	case coreSeconds > b.large:
		return LargeJobs
	case coreSeconds > b.medium:
		return MediumJobs
	}
	return SmallJobs
}

// CanBeInTime reports whether an endpoint that t should run on, and that may have no free capacity now,
// would run it within its budget.
func (t *Task) CanBeInTime(endpoints []Endpoint) bool {
	for i := range endpoints {
		e := &endpoints[i]
		if !e.Available || !t.CanRunOn(e) || e.Confined && !t.IsConfined() || slices.Contains(t.Avoid, i) || t.atEndpointLimit(i) {
			continue
		}
		if t.RunTime(e) <= t.Budget {
			return true
		}
	}
	return false
}
