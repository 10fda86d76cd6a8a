package limit

import (
	"time"

	"oriolerelay/ticket"
)

// Defaults and limits of ejection.
const (
	defaultEjectAfterFailures = 5
	defaultBaseEjectionTime   = time.Second
	// maxEjectionDoublings limits the ejection time to 64 times its base value.
	maxEjectionDoublings = 6
	// probationSuccesses is the number of consecutive successes after which an
	// endpoint on probation is healthy again.
	probationSuccesses = 3
)

// HealthState determines how many tasks an endpoint may be given.
type HealthState uint8

// Health states.
const (
	Healthy   HealthState = iota
	Probation             // one task at a time
	Ejected               // no task
)

// Health is the failure history of one endpoint. It belongs to one HealthGroup.
type Health struct {
	failures     int // consecutive
	successes    int // consecutive, while on probation
	ejections    int // since it was last healthy
	ejectedUntil time.Time
	unhealthy    bool // ejected or on probation
}

// HealthGroup holds the health of the endpoints of one service. At most half of
// them are ejected at a time: ejecting all of them would turn a fault in the tasks
// into an outage of the service.
type HealthGroup struct {
	members map[*Health]struct{}
}

// NewHealthGroup returns an empty group.
func NewHealthGroup() *HealthGroup { return &HealthGroup{members: make(map[*Health]struct{})} }

// Add adds an endpoint to the group.
func (g *HealthGroup) Add(h *Health) { g.members[h] = struct{}{} }

// Remove removes an endpoint from the group.
func (g *HealthGroup) Remove(h *Health) { delete(g.members, h) }

// State returns the state of the endpoint at the given time.
func (h *Health) State(now time.Time) HealthState {
	switch {
	case !h.unhealthy:
		return Healthy
	case now.Before(h.ejectedUntil):
		return Ejected
	default:
		return Probation
	}
}

// RecordSuccess records that the endpoint completed a task.
func (g *HealthGroup) RecordSuccess(h *Health, now time.Time) {
	h.failures = 0
	if h.State(now) != Probation {
		return // the task may have started before the ejection
	}
	h.successes++
	if h.successes >= probationSuccesses {
		*h = Health{}
	}
}

// RecordFailure records that the endpoint failed a task and reports whether this
// ejected the endpoint.
func (g *HealthGroup) RecordFailure(h *Health, rules ticket.EndpointRules, now time.Time) bool {
	h.failures++
	h.successes = 0
	state := h.State(now)
	if state == Ejected || state == Healthy && h.failures < ejectAfterFailures(rules) {
		return false
	}
	if 2*(g.countEjected(now)+1) > len(g.members) {
		return false
	}
	h.ejectedUntil = now.Add(baseEjectionTime(rules) << min(h.ejections, maxEjectionDoublings))
	h.ejections++
	h.unhealthy = true
	return true
}

func (g *HealthGroup) countEjected(now time.Time) int {
	n := 0
	for h := range g.members {
		if h.State(now) == Ejected {
			n++
		}
	}
	return n
}

func ejectAfterFailures(rules ticket.EndpointRules) int {
	if rules.EjectAfterFailures > 0 {
		return rules.EjectAfterFailures
	}
	return defaultEjectAfterFailures
}

func baseEjectionTime(rules ticket.EndpointRules) time.Duration {
	if rules.EjectMS > 0 {
		return time.Duration(rules.EjectMS) * time.Millisecond
	}
	return defaultBaseEjectionTime
}
