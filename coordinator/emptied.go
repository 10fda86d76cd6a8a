package coordinator

import (
	"strings"
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// SetEvacuated sets the data centres that the operator has evacuated. No task is ordered there,
// while running tasks continue. The agents are informed as well, since another entry that
// cannot reach the store may still send them orders.
func (c *Coordinator) SetEvacuated(m wire.Evacuated) {
	c.loop.Post(func() {
		if m.Version <= c.evacuated.Version {
			return
		}
		c.evacuated = m
		c.replan = true
		c.cfg.Log.Log(event.EvacuationChanged, "version", m.Version, "data_centres", strings.Join(m.DataCentres, ","))
		for _, a := range c.agents {
			c.sendEvacuated(a, time.Now())
		}
	})
}

// sendEvacuated informs an agent of the evacuated data centres.
func (c *Coordinator) sendEvacuated(a *agent, now time.Time) {
	if c.evacuated.Version > 0 {
		m := c.evacuated
		c.sendTo(a, &m, now)
	}
}
