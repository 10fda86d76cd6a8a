package coordinator

import (
	"time"

	"oriolerelay/event"
)

// unreachableGrace is how long this entry keeps its stored jobs after all agents have become
// suspect: longer than agents that restart together need to reconnect, and much shorter than the
// time for which agents keep unconfirmed ends.
const unreachableGrace = 800 * time.Millisecond

// checkReachability checks whether a message from any agent was received recently. An entry that
// is cut off from all agents cannot run the stored jobs that it owns, but another entry can.
func (c *Coordinator) checkReachability(now time.Time) {
	for _, a := range c.agents {
		if a.lastReceived.After(c.lastAgentMessage) {
			c.lastAgentMessage = a.lastReceived
		}
	}
	reachable := now.Sub(c.lastAgentMessage) <= c.cfg.Timing.SuspectTimeout+unreachableGrace
	if c.agentsUnreachable.Swap(!reachable) == reachable {
		c.cfg.Log.Log(event.AgentReachabilityChanged, "in_reach", reachable, "silent_ms", now.Sub(c.lastAgentMessage).Milliseconds())
	}
}

// CanRun reports whether this entry can run stored jobs, which means that it receives messages
// from an agent. Where a few placement entries place all jobs, the other entries receive none.
func (c *Coordinator) CanRun() bool { return !c.agentsUnreachable.Load() }
