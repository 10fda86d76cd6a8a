package coordinator

import (
	"time"

	"oriolerelay/event"
)

// unreachableGrace is how long this entry keeps its stored jobs while it hears no agent: longer
// than agents that restart together need to reconnect, and much shorter than the time for which
// agents keep ends that are not recorded.
const unreachableGrace = 800 * time.Millisecond

// checkReachability checks whether any agent is heard. An entry that is cut off from all agents
// cannot run the jobs that it owns, but another entry can.
func (c *Coordinator) checkReachability(now time.Time) {
	for _, a := range c.agents {
		if a.lastReceived.After(c.lastAgentMessage) {
			c.lastAgentMessage = a.lastReceived
		}
	}
	heard := now.Sub(c.lastAgentMessage) <= c.cfg.Timing.SuspectTimeout+unreachableGrace
	if c.agentsUnreachable.Swap(!heard) == heard {
		c.cfg.Log.Log(event.AgentReachabilityChanged, "in_reach", heard, "silent_ms", now.Sub(c.lastAgentMessage).Milliseconds())
	}
}

// CanRun reports whether this entry can run stored jobs, which means that it hears an agent.
// Where a few placement entries place all jobs, the other entries hear none.
func (c *Coordinator) CanRun() bool { return !c.agentsUnreachable.Load() }
