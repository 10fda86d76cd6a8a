package coordinator

import (
	"time"

	"oriolerelay/event"
	"oriolerelay/policy"
)

// noteSpeedDecision counts tasks that wait for a faster endpoint, and logs the first wait of each, and
// counts those that leave the fast endpoints to others.
func (c *Coordinator) noteSpeedDecision(t *task, choice policy.Placement, now time.Time) {
	switch choice.Speed {
	case policy.SpeedSlow:
		c.cfg.Metrics.speedSlow.Inc()
	case policy.SpeedWait:
		if t.waitsForSpeed {
			return
		}
		t.waitsForSpeed = true
		c.cfg.Metrics.speedWaits.Inc()
		c.cfg.Log.Log(event.TaskWaitsForSpeed, "task", t.name, "queue", t.job.spec.Queue.Name,
			"waited_ms", now.Sub(t.job.arrived).Milliseconds(), "budget_ms", t.job.objective.Sub(now).Milliseconds(),
			"run_ms", choice.RunTime.Milliseconds())
	}
}
