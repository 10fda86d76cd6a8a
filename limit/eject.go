package limit

import (
	"time"

	"oriolerelay/ticket"
)

// Ejection defaults and bounds.
const (
	defaultEjectAfterFailures = 5
	defaultBaseEjectionTime   = time.Second
	// maxEjectionDoublings bounds the ejection time to 64 times its first value.
	maxEjectionDoublings = 6
	// probationSuccesses is the number of consecutive successes after which an
	// endpoint that was ejected gets its full share again.
	probationSuccesses = 3
)

// HealthState says how much work an endpoint may get.
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
	successes    int // consecutive, while on trial
	ejections    int // since it was last healthy
	ejectedUntil time.Time
	unhealthy    bool // ejected or on trial
}

// HealthGroup is the endpoints of one service. At most half of them are
// ejected at once, since ejecting all would turn a fault of the tasks into an
// outage of the service.
type HealthGroup struct {
	members map[*Health]struct{}
}

// NewHealthGroup returns an empty group.
func NewHealthGroup() *HealthGroup { return &HealthGroup{members: make(map[*Health]struct{})} }

// Add adds an endpoint.
func (g *HealthGroup) Add(h *Health) { g.members[h] = struct{}{} }

// Remove removes an endpoint.
func (g *HealthGroup) Remove(h *Health) { delete(g.members, h) }

// State returns the state of an endpoint at a time.
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

// RecordSuccess records a task that the endpoint completed.
func (g *HealthGroup) RecordSuccess(h *Health, now time.Time) {
	h.failures = 0
	if h.State(now) != Probation {
		return // a result of a task started before the ejection proves nothing
	}
	h.successes++
	if h.successes >= probationSuccesses {
		*h = Health{}
	}
}

// RecordFailure records a task that the endpoint failed and reports whether it was
// ejected by it.
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
