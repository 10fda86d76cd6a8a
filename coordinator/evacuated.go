package coordinator

import (
	"strings"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// SetEvacuated sets the data centres that the operator has evacuated. No task is ordered there,
// while running tasks continue. The agents are informed as well, since an entry that cannot read
// the list from the store may still send them orders.
func (c *Coordinator) SetEvacuated(m wire.Evacuated) {
	c.loop.Post(func() {
		if m.Version <= c.evacuated.Version {
			return
		}
		c.evacuated = m
		c.replan = true
		c.cfg.Log.Log(event.EvacuationChanged, "version", m.Version, "data_centres", strings.Join(m.DataCentres, ","))
		for _, a := range c.agents {
			c.sendEvacuated(a)
		}
	})
}

// sendEvacuated informs an agent of the evacuated data centres.
func (c *Coordinator) sendEvacuated(a *agent) {
	if c.evacuated.Version > 0 {
		m := c.evacuated
		c.sendTo(a, &m)
	}
}
