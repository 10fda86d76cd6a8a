// Package policy decides on jobs and their tasks: in which order jobs get capacity, which jobs
// are refused and when their callers may retry, where tasks run, which slow runs are moved,
// which endpoints are on probation, and which entries place jobs. Its functions are pure: they
// map a snapshot to a decision, without a clock, a lock or a log.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the policy that can be disabled.
type Mechanism string

// The mechanisms, with the situation that each one addresses.
const (
	// Moves stops a run that is much slower than expected and restarts its task on another
	// endpoint: for endpoints that become slow or stall.
	Moves Mechanism = "moves"
	// Patience refuses a job that has waited for a share of the slack in its objective: for
	// overload.
	Patience Mechanism = "patience"
	// InTimeFirst places jobs that can still meet their objective before the others: for a
	// backlog.
	InTimeFirst Mechanism = "in_time_first"
	// BegunFirst places jobs that have started before those that have not: for jobs with many
	// parallel tasks under load.
	BegunFirst Mechanism = "begun_first"
	// UrgentFirst orders the jobs of one priority by the time at which they would be refused,
	// instead of by their arrival: for overload with jobs of different run times.
	UrgentFirst Mechanism = "urgent_first"
	// CallerAge assumes that callers with an unusually short timeout have already waited at
	// other entries: for the burst of retries after an outage, most of which are late already.
	CallerAge Mechanism = "caller_age"
	// Trust puts an endpoint that fails most of its runs on probation, where it gets only trial
	// tasks, and more of them as they succeed: for endpoints that fail temporarily.
	Trust Mechanism = "trust"
	// Avoid places a task on another endpoint than those where it has failed or was slow.
	Avoid Mechanism = "avoid"
	// Spread prefers the less used of otherwise equal endpoints.
	Spread Mechanism = "spread"
	// Local prefers endpoints in this process's data centre among otherwise equal ones.
	Local Mechanism = "local"
	// TwoChoices draws two placement entries and forwards a job to the less loaded one, instead
	// of drawing only one: for many entries that forward jobs. It is used without ByJob.
	TwoChoices Mechanism = "two_choices"
	// ByJob forwards all copies of a job to the same placement entry: for callers that submit a
	// job again while another entry still has it.
	ByJob Mechanism = "by_job"
	// SecondTry forwards a job that one placement entry has refused to another one.
	SecondTry Mechanism = "second_try"
	// RepeatedStarts repeats the start of a task that had no effect at the endpoint: for start
	// calls that are lost.
	RepeatedStarts Mechanism = "repeated_starts"
	// EarlyLookup queries the runs of an endpoint soon after a start without a reply: for start
	// calls that are lost, or whose replies are.
	EarlyLookup Mechanism = "early_lookup"
	// Confinement limits the queues whose tasks crash endpoints to a few of them: for jobs that
	// crash each endpoint that runs them.
	Confinement Mechanism = "confinement"
)

// The optional mechanisms, which are disabled unless the settings enable them. They answer a lack of
// capacity that lasts.
const (
	// FairShare places jobs of queues, data centres and sizes that get less than their share of the
	// capacity before others: for overload in which the lowest priority would get nothing.
	FairShare Mechanism = "fair_share"
	// EarlyRefusal refuses a job at once if it is not expected to get capacity in time: for overload
	// in which jobs wait in vain.
	EarlyRefusal Mechanism = "early_refusal"
	// Reservations keeps capacity that becomes free for a large waiting task, and lets smaller tasks
	// use it until then: for large tasks that do not fit into the gaps that small ones leave.
	Reservations Mechanism = "reservations"
	// SpeedMatch places tasks that are in time on slow endpoints there: for tasks that are in time
	// only on fast ones.
	SpeedMatch Mechanism = "speed_match"
	// Handover returns a job that cannot be placed while another placement entry has free capacity:
	// for load that is spread unevenly over placement entries.
	Handover Mechanism = "handover"
)

// Optional lists the optional mechanisms.
func Optional() []Mechanism {
	return []Mechanism{FairShare, EarlyRefusal, Reservations, SpeedMatch, Handover}
}

// ForShortage lists the optional mechanisms for deployments that expect a lack of capacity. The others
// depend on the tasks and endpoints: Reservations answers tasks of very different sizes, and SpeedMatch
// tasks that cannot be in time on slow endpoints. No gain of Handover was shown.
func ForShortage() []Mechanism { return []Mechanism{FairShare, EarlyRefusal} }

// Mechanisms lists the mechanisms that are enabled by default.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Moves, Patience, InTimeFirst, BegunFirst, UrgentFirst, CallerAge, Trust, Avoid, Spread, Local, TwoChoices, ByJob,
		SecondTry, RepeatedStarts, EarlyLookup, Confinement,
	}
}

// Policy is the set of enabled mechanisms. The zero value enables all that are not optional.
type Policy struct{ disabled, enabled map[Mechanism]bool }

// Without returns a Policy with the named mechanisms disabled.
func Without(names ...string) (Policy, error) { return New(nil, names) }

// New returns a Policy in which the optional mechanisms named by on are enabled. Those named by off
// are disabled in any case.
func New(on, off []string) (Policy, error) {
	p := Policy{disabled: make(map[Mechanism]bool), enabled: make(map[Mechanism]bool)}
	for _, name := range on {
		m := Mechanism(name)
		if !slices.Contains(Optional(), m) {
			return Policy{}, fmt.Errorf("%q is not an optional mechanism of the policy; valid names are %s", name, names(Optional()))
		}
		p.enabled[m] = true
	}
	for _, name := range off {
		m := Mechanism(name)
		if all := slices.Concat(Mechanisms(), Optional()); !slices.Contains(all, m) {
			return Policy{}, fmt.Errorf("%q is not a mechanism of the policy; valid names are %s", name, names(all))
		}
		p.disabled[m] = true
	}
	return p, nil
}

func names(mechanisms []Mechanism) string {
	var list []string
	for _, m := range mechanisms {
		list = append(list, string(m))
	}
	return strings.Join(list, ", ")
}

// Uses reports whether a mechanism is enabled.
func (p Policy) Uses(m Mechanism) bool { return !p.disabled[m] && (p.enabled[m] || !m.isOptional()) }

func (m Mechanism) isOptional() bool {
	switch m {
	case FairShare, EarlyRefusal, Reservations, SpeedMatch, Handover:
		return true
	}
	return false
}
