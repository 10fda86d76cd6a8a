package coordinator

import (
	"strings"
	"time"

	"oriolerelay/event"
	"oriolerelay/wire"
)

// SetEmptied takes the data centres that the operator has asked to be emptied. No task is
// ordered there; what runs goes on. The agents are told too: another entry, which does not
// hear the store, may order from them.
func (c *Coordinator) SetEmptied(m wire.Evacuated) {
	c.loop.Post(func() {
		if m.Version <= c.emptied.Version {
			return
		}
		c.emptied = m
		c.replan = true
		c.cfg.Log.Log(event.EvacuationChanged, "version", m.Version, "data_centres", strings.Join(m.DataCentres, ","))
		for _, a := range c.agents {
			c.tellEmptied(a, time.Now())
		}
	})
}

// tellEmptied tells an agent which data centres are to be emptied.
func (c *Coordinator) tellEmptied(a *agent, now time.Time) {
	if c.emptied.Version > 0 {
		m := c.emptied
		c.sendTo(a, &m, now)
	}
}
