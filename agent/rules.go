package agent

import (
	"encoding/json"

	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// rules are the parts of the configuration in force that an agent applies.
type rules struct {
	ticket uint64
	state  *wire.State // newest state that was received, nil before the first
	buffer int
}

// setState applies a state unless it is older than the one in force.
func (c *core) setState(m *wire.State) {
	var s ticket.State
	if err := json.Unmarshal(m.JSON, &s); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Ticket <= c.rules.ticket {
		return
	}
	c.rules.ticket, c.rules.state = m.Ticket, m
	buffer := c.cfg.Buffer
	if b := c.endpoint; b != nil {
		if service, ok := s.Services[b.service]; ok {
			buffer = service.Endpoints.Buffer
		}
	}
	if buffer != c.rules.buffer {
		c.rules.buffer = buffer
		c.announceAll()
	}
}
