package limit

import (
	"time"

	"oriolerelay/ticket"
)

// Ejection defaults and bounds.
const (
	defaultEjectAfter = 5
	defaultEjectTime  = time.Second
	// maxEjectDoublings bounds the ejection time to 64 times its first value.
	maxEjectDoublings = 6
	// trialSuccesses is the number of consecutive successes after which an
	// endpoint that was ejected gets its full share again.
	trialSuccesses = 3
)

// HealthState says how much work an endpoint may get.
type HealthState uint8

// Health states.
const (
	Healthy HealthState = iota
	Trial               // one task at a time
	Ejected             // no task
)

// Health is the failure history of one endpoint. It belongs to one HealthGroup.
type Health struct {
	failures  int // consecutive
	successes int // consecutive, while on trial
	ejections int // since it was last healthy
	until     time.Time
	suspect   bool // ejected or on trial
}

// HealthGroup is the endpoints of one service. At most half of them are
// ejected at once, since ejecting all would turn a fault of the tasks into an
// outage of the service.
type HealthGroup struct {
	members map[*Health]struct{}
}

// NewHealthGroup returns an empty group.
func NewHealthGroup() *HealthGroup { return &HealthGroup{members: make(map[*Health]struct{})} }

// Join adds an endpoint.
func (g *HealthGroup) Join(h *Health) { g.members[h] = struct{}{} }

// Leave removes an endpoint.
func (g *HealthGroup) Leave(h *Health) { delete(g.members, h) }

// State returns the state of an endpoint at a time.
func (h *Health) State(now time.Time) HealthState {
	switch {
	case !h.suspect:
		return Healthy
	case now.Before(h.until):
		return Ejected
	default:
		return Trial
	}
}

// Success records a task that the endpoint completed.
func (g *HealthGroup) Success(h *Health, now time.Time) {
	h.failures = 0
	if h.State(now) != Trial {
		return // a result of a task started before the ejection proves nothing
	}
	h.successes++
	if h.successes >= trialSuccesses {
		*h = Health{}
	}
}

// Failure records a task that the endpoint failed and reports whether it was
// ejected by it.
func (g *HealthGroup) Failure(h *Health, rules ticket.EndpointRules, now time.Time) bool {
	h.failures++
	h.successes = 0
	state := h.State(now)
	if state == Ejected || state == Healthy && h.failures < ejectAfter(rules) {
		return false
	}
	if 2*(g.ejected(now)+1) > len(g.members) {
		return false
	}
	h.until = now.Add(ejectTime(rules) << min(h.ejections, maxEjectDoublings))
	h.ejections++
	h.suspect = true
	return true
}

func (g *HealthGroup) ejected(now time.Time) int {
	n := 0
	for h := range g.members {
		if h.State(now) == Ejected {
			n++
		}
	}
	return n
}

func ejectAfter(rules ticket.EndpointRules) int {
	if rules.EjectAfterFailures > 0 {
		return rules.EjectAfterFailures
	}
	return defaultEjectAfter
}

func ejectTime(rules ticket.EndpointRules) time.Duration {
	if rules.EjectMS > 0 {
		return time.Duration(rules.EjectMS) * time.Millisecond
	}
	return defaultEjectTime
}
