package coordinator

import (
	"maps"
	"time"

	"oriolerelay/event"
	"oriolerelay/policy"
)

// LearnedState is what a Coordinator has learned about the callers of each queue. It is kept
// beyond the end of the process, because it matters most after an outage, when a new process
// knows nothing else.
type LearnedState struct {
	CallerTimeouts map[string]policy.CallerTimeoutModel `json:"patience"`
}

// callerPriorWait returns the time for which the caller of j has already waited at other
// entries, and updates the timeout model of the queue.
func (c *Coordinator) callerPriorWait(j *activeJob) time.Duration {
	s := &j.spec
	if j.stored != nil || s.CallerTimeout <= 0 || !c.cfg.Policy.Uses(policy.CallerAge) {
		return 0
	}
	m := c.callerTimeouts[s.Queue.Name]
	if m == nil {
		m = new(policy.CallerTimeoutModel)
		c.callerTimeouts[s.Queue.Name] = m
	}
	wait := m.PriorWait(j.criticalPath(), s.CallerTimeout)
	m.Observe(j.criticalPath(), s.CallerTimeout)
	return wait
}

// ExportLearned returns a copy of the learned state.
func (c *Coordinator) ExportLearned() (l LearnedState) {
	l.CallerTimeouts = make(map[string]policy.CallerTimeoutModel)
	c.loop.Do(func() {
		for name, m := range c.callerTimeouts {
			l.CallerTimeouts[name] = *m
		}
	})
	return l
}

// ImportLearned merges the learned state of an earlier process or of another entry. A model of
// this process that is based on more jobs is kept. Invalid models, which other software may have
// stored, are ignored: every process would use them and store them again.
func (c *Coordinator) ImportLearned(l LearnedState) {
	l.CallerTimeouts = maps.Clone(l.CallerTimeouts)
	c.loop.Post(func() {
		for name, m := range l.CallerTimeouts {
			if !m.Valid() {
				c.cfg.Log.Log(event.RecordIgnored, "read", "learned", "queue", name, "weight", m.Weight)
				continue
			}
			if own := c.callerTimeouts[name]; own == nil || own.Weight < m.Weight {
				c.callerTimeouts[name] = &m
			}
		}
	})
}
