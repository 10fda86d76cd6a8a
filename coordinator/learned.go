package coordinator

import (
	"maps"
	"time"

	"oriolerelay/policy"
)

// Learned is what a Coordinator has learned of the callers of each queue. It outlives the
// process where it is kept: after an outage, when it matters most, nothing else is known.
type Learned struct {
	Patience map[string]policy.CallerTimeoutModel `json:"patience"`
}

// callerAge returns the time for which the caller of j has waited before, elsewhere, and
// learns from it how long callers wait.
func (c *Coordinator) callerAge(j *run) time.Duration {
	s := &j.spec
	if j.stored != nil || s.Patience <= 0 || !c.cfg.Policy.Uses(policy.CallerAge) {
		return 0
	}
	m := c.patience[s.Queue.Name]
	if m == nil {
		m = new(policy.CallerTimeoutModel)
		c.patience[s.Queue.Name] = m
	}
	age := m.PriorWait(j.chain(), s.Patience)
	m.Observe(j.chain(), s.Patience)
	return age
}

// Learned returns what was learned.
func (c *Coordinator) Learned() (l Learned) {
	l.Patience = make(map[string]policy.CallerTimeoutModel)
	c.loop.Do(func() {
		for name, m := range c.patience {
			l.Patience[name] = *m
		}
	})
	return l
}

// Learn takes what an earlier process, or another entry, has learned. What this process
// knows of more jobs stays.
func (c *Coordinator) Learn(l Learned) {
	l.Patience = maps.Clone(l.Patience)
	c.loop.Post(func() {
		for name, m := range l.Patience {
			if own := c.patience[name]; own == nil || own.Weight < m.Weight {
				c.patience[name] = &m
			}
		}
	})
}
