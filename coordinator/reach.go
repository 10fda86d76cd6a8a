package coordinator

import (
	"time"

	"oriolerelay/event"
)

// reachGrace is how long this entry goes on owning stored jobs while it hears no
// agent: longer than agents that are restarted together need to connect again, and
// short against the time for which agents keep ends that nobody records.
const reachGrace = 800 * time.Millisecond

// checkReach takes note of whether any agent is heard. An entry that is cut off from
// all of them cannot run the jobs that it owns, and another one can.
func (c *Coordinator) checkReach(now time.Time) {
	for _, a := range c.agents {
		if a.heard.After(c.lastHeard) {
			c.lastHeard = a.heard
		}
	}
	heard := now.Sub(c.lastHeard) <= c.cfg.Timing.AgentSilence+reachGrace
	if c.outOfReach.Swap(!heard) == heard {
		c.cfg.Log.Log(event.AgentReachabilityChanged, "in_reach", heard, "silent_ms", now.Sub(c.lastHeard).Milliseconds())
	}
}

// CanRun reports whether this entry can run stored jobs: it hears an agent. Where a few
// entries place the jobs of all, the others hear none.
func (c *Coordinator) CanRun() bool { return !c.outOfReach.Load() }
