package agent

import (
	"encoding/json"
	"fmt"
	"time"

	"oriolerelay/event"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// rules holds the parts of the configuration in force that an agent applies.
type rules struct {
	ticket  uint64
	state   *wire.State    // the configuration as received, nil before the first
	buffers map[string]int // by service
}

// buffer returns the number of tasks that may be queued beyond the endpoint's slots.
func (c *core) buffer(service string) int {
	if n, ok := c.rules.buffers[service]; ok {
		return n
	}
	return c.cfg.Buffer
}

// applyState puts a configuration in force unless one with the same or a higher
// ticket number is.
func (c *core) applyState(m *wire.State) {
	r, longestDeadline, err := parseState(m)
	if err != nil {
		c.cfg.Log.Log(event.StateRefused, "ticket", m.Ticket, "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Ticket <= c.rules.ticket {
		return
	}
	before := *c.buildAnnounce()
	c.rules = r
	c.records.age = max(c.cfg.RecordAge, longestDeadline+settleWindow)
	c.cfg.Log.Log(event.StateApplied, "ticket", m.Ticket)
	if *c.buildAnnounce() != before {
		c.announceAll()
	}
}

// parseState returns the rules of a configuration and the longest deadline of its kinds.
func parseState(m *wire.State) (rules, time.Duration, error) {
	var s ticket.Config
	if err := json.Unmarshal(m.JSON, &s); err != nil {
		return rules{}, 0, err
	}
	if s.Number != m.Ticket {
		return rules{}, 0, fmt.Errorf("configuration has number %d in a message for ticket %d", s.Number, m.Ticket)
	}
	r := rules{ticket: m.Ticket, state: m, buffers: make(map[string]int, len(s.Services))}
	var longestDeadline time.Duration
	for name, service := range s.Services {
		r.buffers[name] = min(max(service.Endpoints.Buffer, 0), maxBuffer)
		for _, k := range service.Kinds {
			longestDeadline = max(longestDeadline, time.Duration(k.DeadlineMS)*time.Millisecond)
		}
	}
	return r, min(longestDeadline, maxBudget), nil
}

// handlePeerTicket handles the number of the ticket that l's peer has in force.
func (c *core) handlePeerTicket(l *link, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offerState(l, number)
}

// offerState queues the agent's configuration for a peer that has an older one.
// Entries that start while the log is unavailable obtain their configuration this way.
func (c *core) offerState(l *link, number uint64) {
	if number >= c.rules.ticket || l.offeredTicket >= c.rules.ticket {
		return
	}
	l.offeredTicket = c.rules.ticket
	l.statePending = true
	l.signal()
}
