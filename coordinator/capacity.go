package coordinator

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/policy"
)

const (
	// connectTime is the time after the start of this process for which agents may not have
	// connected yet.
	connectTime = 2 * time.Second
	// returnTime is the time for which an agent that was lost may come back with a larger capacity.
	returnTime = 5 * time.Second
	// growthDelay is the time after which a capacity that grows now is used: two announcements.
	growthDelay = 3 * time.Second
)

// refuseIfTooLarge refuses a job that has not started and is not stored if one of its tasks exceeds
// the capacity of all endpoints, which may have shrunk. It reports whether the job was refused.
func (c *Coordinator) refuseIfTooLarge(j *activeJob, v *serviceView, now time.Time) bool {
	if j.stored != nil || now.Sub(c.started) < connectTime || !c.agentLostAt.IsZero() && now.Sub(c.agentLostAt) < returnTime {
		return false
	}
	for i := range j.spec.Steps {
		st := &j.spec.Steps[i]
		if policy.FitsWhenIdle(v.endpoints, st.Size, st.Label) {
			continue
		}
		err := errkind.New(errkind.QueueFull, "a task needs more than the capacity of each endpoint: %d millicores, %d MiB", st.Size.MilliCores, st.Size.MemoryMiB)
		err.RetryAfter = growthDelay
		j.shares = nil // it is not refused in favour of others
		c.refuse(j, err, "step", i, "millicores", st.Size.MilliCores, "endpoints", len(v.endpoints))
		return true
	}
	return false
}
