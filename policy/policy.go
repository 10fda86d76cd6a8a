// Package policy holds the decisions on jobs and their tasks: in which order jobs get room,
// which are refused and when their callers may come back, where tasks run, which slow runs
// are moved, which endpoints are trusted, and which entries place the jobs of all. Its
// functions are pure: they map a snapshot to a decision, without a clock, a lock or a log.
package policy

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is a part of the policy that can be switched off.
type Mechanism string

// The mechanisms, with the load that each answers.
const (
	// Moves stops a run that is much slower than expected and runs its task elsewhere:
	// endpoints that turn slow or stand still.
	Moves Mechanism = "moves"
	// Patience refuses a job that has waited for a share of its objective: more load than
	// the endpoints can work off.
	Patience Mechanism = "patience"
	// InTimeFirst gives room to jobs that can still end in time before the others: a backlog.
	InTimeFirst Mechanism = "in_time_first"
	// BegunFirst gives room to jobs that have begun before those that have not: wide jobs
	// under load.
	BegunFirst Mechanism = "begun_first"
	// UrgentFirst gives room to the job that would be refused soonest, among those of one
	// priority, and not to the one that came first: more load than the endpoints can work
	// off, with jobs of different length.
	UrgentFirst Mechanism = "urgent_first"
	// CallerAge takes callers with less patience than others for ones that have waited
	// elsewhere: the crowd that returns after an outage, of whose jobs most are late already.
	CallerAge Mechanism = "caller_age"
	// Trust gives an endpoint that fails most of its runs only trial tasks, more of them as
	// they end well: endpoints that fail for a while.
	Trust Mechanism = "trust"
	// Avoid runs a task elsewhere than where it has failed or was slow.
	Avoid Mechanism = "avoid"
	// Spread prefers the emptier of endpoints that are alike.
	Spread Mechanism = "spread"
	// Local prefers endpoints in the own data centre among those that are alike.
	Local Mechanism = "local"
	// TwoChoices gives a job to the less loaded of two placing entries that are drawn, and
	// not to the one that is drawn: many entries that pass jobs on.
	TwoChoices Mechanism = "two_choices"
	// SecondTry tries a job that one placing entry has refused at another one.
	SecondTry Mechanism = "second_try"
	// RepeatedStarts gives an order that had no effect to the endpoint again: orders whose
	// answers are lost.
	RepeatedStarts Mechanism = "repeated_starts"
	// EarlyLookup asks for the runs of an endpoint soon after an order without an answer: the
	// same.
	EarlyLookup Mechanism = "early_lookup"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Moves, Patience, InTimeFirst, BegunFirst, UrgentFirst, CallerAge, Trust, Avoid, Spread, Local, TwoChoices,
		SecondTry, RepeatedStarts, EarlyLookup,
	}
}

// Policy is the set of mechanisms in use. The zero value uses all.
type Policy struct{ disabled map[Mechanism]bool }

// Without returns a Policy that does not use the named mechanisms.
func Without(names ...string) (Policy, error) {
	p := Policy{disabled: make(map[Mechanism]bool)}
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(Mechanisms(), m) {
			return Policy{}, fmt.Errorf("%q is no mechanism of the policy; there are %s", name, mechanismNames())
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

// Uses reports whether a mechanism is in use.
func (p Policy) Uses(m Mechanism) bool { return !p.disabled[m] }
