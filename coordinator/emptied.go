package coordinator

import (
	"strings"
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// SetEvacuated takes the data centres that the operator has asked to be emptied. No task is
// ordered there; what runs goes on. The agents are told too: another entry, which does not
// hear the store, may order from them.
func (c *Coordinator) SetEvacuated(m wire.Emptied) {
	c.loop.Post(func() {
		if m.Version <= c.evacuated.Version {
			return
		}
		c.evacuated = m
		c.replan = true
		c.cfg.Log.Log(event.DataCentresEmptied, "version", m.Version, "data_centres", strings.Join(m.DataCentres, ","))
		for _, a := range c.agents {
			c.sendEvacuated(a, time.Now())
		}
	})
}

// sendEvacuated tells an agent which data centres are to be emptied.
func (c *Coordinator) sendEvacuated(a *agent, now time.Time) {
	if c.evacuated.Version > 0 {
		m := c.evacuated
		c.sendTo(a, &m, now)
	}
}
