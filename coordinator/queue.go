package coordinator

import (
	"slices"
	"time"

	"oriolerelay/policy"
)

// sortQueue puts the queued jobs in the order in which they get capacity.
func (c *Coordinator) sortQueue(now time.Time) {
	c.setPrecedences(now)
	for _, j := range c.queued {
		j.sortKey = *c.queuedJob(j)
		if j.shares == nil && c.isPromoting(j.spec.Queue.Service) { // a stored job, for instance
			j.sortKey.Shares = j.sortKey.Precedence(0, false, now)
		}
	}
	slices.SortStableFunc(c.queued, func(a, b *activeJob) int {
		return c.cfg.Policy.Compare(&a.sortKey, &b.sortKey, now)
	})
}

// queuedJob returns j in the form of package policy.
func (c *Coordinator) queuedJob(j *activeJob) *policy.QueuedJob {
	q := &policy.QueuedJob{
		Priority: j.spec.Queue.Priority, Arrived: j.arrived, Objective: j.objective,
		ExpectedRunTime: j.expectedRunTime, Started: j.started || j.stored != nil,
	}
	if j.shares != nil {
		q.Shares = j.shares.precedence
	}
	return q
}
