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

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Moves, Patience, InTimeFirst, BegunFirst, UrgentFirst, CallerAge, Trust, Avoid, Spread, Local, TwoChoices, ByJob,
		SecondTry, RepeatedStarts, EarlyLookup, Confinement,
	}
}

// Policy is the set of enabled mechanisms. The zero value enables all.
type Policy struct{ disabled map[Mechanism]bool }

// Without returns a Policy with the named mechanisms disabled.
func Without(names ...string) (Policy, error) {
	p := Policy{disabled: make(map[Mechanism]bool)}
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(Mechanisms(), m) {
			return Policy{}, fmt.Errorf("%q is not a mechanism of the policy; valid names are %s", name, mechanismNames())
		}
		p.disabled[m] = true
	}
	return p, nil
}

func mechanismNames() string {
	var names []string
	for _, m := range Mechanisms() {
		names = append(names, string(m))
	}
	return strings.Join(names, ", ")
}

// Uses reports whether a mechanism is enabled.
func (p Policy) Uses(m Mechanism) bool { return !p.disabled[m] }
