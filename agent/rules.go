package agent

import (
	"encoding/json"
	"fmt"
	"time"

	"oriolerelay/event"
	"oriolerelay/ticket"
	"oriolerelay/wire"
)

// rules are the parts of the configuration in force that an agent applies.
type rules struct {
	ticket  uint64
	state   *wire.State    // newest state that was received, nil before the first
	buffers map[string]int // by service
}

// buffer returns the tasks that may wait beyond the slots of the endpoint.
func (c *core) buffer(service string) int {
	if n, ok := c.rules.buffers[service]; ok {
		return n
	}
	return c.cfg.Buffer
}

// setState applies a state unless one with its number or a higher one is in force.
func (c *core) setState(m *wire.State) {
	r, longest, err := parseState(m)
	if err != nil {
		c.cfg.Log.Log(event.StateRefused, "ticket", m.Ticket, "error", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Ticket <= c.rules.ticket {
		return
	}
	before := *c.announcement()
	c.rules = r
	c.record.age = max(c.cfg.RecordAge, longest+settleTime)
	c.cfg.Log.Log(event.StateApplied, "ticket", m.Ticket)
	if *c.announcement() != before {
		c.announceAll()
	}
}

// parseState returns the rules of a state and the longest deadline of its kinds.
func parseState(m *wire.State) (rules, time.Duration, error) {
	var s ticket.Config
	if err := json.Unmarshal(m.JSON, &s); err != nil {
		return rules{}, 0, err
	}
	if s.Number != m.Ticket {
		return rules{}, 0, fmt.Errorf("state has number %d in a message for ticket %d", s.Number, m.Ticket)
	}
	r := rules{ticket: m.Ticket, state: m, buffers: make(map[string]int, len(s.Services))}
	var longest time.Duration
	for name, service := range s.Services {
		r.buffers[name] = min(max(service.Endpoints.Buffer, 0), maxBuffer)
		for _, k := range service.Kinds {
			longest = max(longest, time.Duration(k.DeadlineMS)*time.Millisecond)
		}
	}
	return r, min(longest, maxBudget), nil
}

// peerTicket notes which ticket the peer has in force.
func (c *core) peerTicket(l *link, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offerState(l, number)
}

// offerState queues the agent's state for a peer that has an older one. Entries
// that start while the log is unavailable get their configuration in this way.
func (c *core) offerState(l *link, number uint64) {
	if number >= c.rules.ticket || l.offered >= c.rules.ticket {
		return
	}
	l.offered = c.rules.ticket
	l.offer = true
	l.signal()
}
