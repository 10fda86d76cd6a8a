package coordinator

import (
	"time"

	"oriolerelay/event"
)

// unreachableGrace is how long this entry goes on owning stored jobs while it hears no
// agent: longer than agents that are restarted together need to connect again, and
// short against the time for which agents keep ends that nobody records.
const unreachableGrace = 800 * time.Millisecond

// checkReachability takes note of whether any agent is heard. An entry that is cut off from
// all of them cannot run the jobs that it owns, and another one can.
func (c *Coordinator) checkReachability(now time.Time) {
	for _, a := range c.agents {
		if a.lastReceived.After(c.lastAgentMessage) {
			c.lastAgentMessage = a.lastReceived
		}
	}
	heard := now.Sub(c.lastAgentMessage) <= c.cfg.Timing.SuspectTimeout+unreachableGrace
	if c.agentsUnreachable.Swap(!heard) == heard {
		c.cfg.Log.Log(event.AgentsInReach, "in_reach", heard, "silent_ms", now.Sub(c.lastAgentMessage).Milliseconds())
	}
}

// CanRun reports whether this entry can run stored jobs: it hears an agent. Where a few
// entries place the jobs of all, the others hear none.
func (c *Coordinator) CanRun() bool { return !c.agentsUnreachable.Load() }
