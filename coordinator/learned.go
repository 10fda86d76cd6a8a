package coordinator

import (
	"maps"
	"time"

	"oriolerelay/policy"
)

// LearnedState is what a Coordinator has learned of the callers of each queue. It outlives the
// process where it is kept: after an outage, when it matters most, nothing else is known.
type LearnedState struct {
	CallerTimeouts map[string]policy.CallerTimeoutModel `json:"patience"`
}

// callerPriorWait returns the time for which the caller of j has waited before, elsewhere, and
// learns from it how long callers wait.
func (c *Coordinator) callerPriorWait(j *activeJob) time.Duration {
	s := &j.spec
	if j.stored != nil || s.Patience <= 0 || !c.cfg.Policy.Uses(policy.CallerAge) {
		return 0
	}
	m := c.callerTimeouts[s.Queue.Name]
	if m == nil {
		m = new(policy.CallerTimeoutModel)
		c.callerTimeouts[s.Queue.Name] = m
	}
	age := m.PriorWait(j.criticalPath(), s.Patience)
	m.Observe(j.criticalPath(), s.Patience)
	return age
}

// Learned returns what was learned.
func (c *Coordinator) ExportLearned() (l LearnedState) {
	l.CallerTimeouts = make(map[string]policy.CallerTimeoutModel)
	c.loop.Do(func() {
		for name, m := range c.callerTimeouts {
			l.CallerTimeouts[name] = *m
		}
	})
	return l
}

// Learn takes what an earlier process, or another entry, has learned. What this process
// knows of more jobs stays.
func (c *Coordinator) ImportLearned(l LearnedState) {
	l.CallerTimeouts = maps.Clone(l.CallerTimeouts)
	c.loop.Post(func() {
		for name, m := range l.CallerTimeouts {
			if own := c.callerTimeouts[name]; own == nil || own.Weight < m.Weight {
				c.callerTimeouts[name] = &m
			}
		}
	})
}
