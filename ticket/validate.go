package ticket

import (
	"maps"
	"slices"

	"oriolerelay/ids"
	"oriolerelay/settings"
)

// Limits of the values in a ticket. A ticket that exceeds them is not accepted when
// its record is applied, so every process must apply the same limits. All entries
// must be stopped to change a limit.
const (
	MaxAuthorBytes     = 80
	MaxReasonBytes     = 200
	MaxKinds           = 64
	MaxDeadlineMS      = 10 * 60 * 1000
	MaxAttempts        = 10
	MaxQueueLimit      = 1_000_000
	MaxBuffer          = 1000
	MaxEjectFailures   = 1000
	MaxEjectMS         = 60 * 60 * 1000
	MaxWeight          = 1000
	MaxTeamInFlight    = 10_000_000
	MaxStartsPerSecond = 1_000_000
	minPositive        = 1
	policyLeastFinish  = "least_expected_finish"
	policyTwoChoices   = "two_choices"
	policyNaive        = "naive"
	pathServices       = "services"
	pathTeams          = "teams"
	messageNotInForce  = "is not in force and cannot be removed"
)

// Validate returns all problems of t that do not depend on the configuration in force,
// in a fixed order.
func Validate(t *Ticket) []settings.Problem {
	var p settings.Problems
	if t.Number == 0 {
		p.Add("number", "must be the last accepted number plus one")
	}
	checkText(&p, "author", t.Author, MaxAuthorBytes)
	checkText(&p, "reason", t.Reason, MaxReasonBytes)
	if len(t.Services) == 0 && len(t.Teams) == 0 {
		p.Add(pathServices, "the ticket must change a service or a team")
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		path := pathServices + "." + name
		checkName(&p, path, name)
		if s := t.Services[name]; s != nil {
			checkService(&p, path, s)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		path := pathTeams + "." + name
		checkName(&p, path, name)
		if team := t.Teams[name]; team != nil {
			checkTeam(&p, path, team)
		}
	}
	return p.List()
}

func checkText(p *settings.Problems, path, s string, limit int) {
	if s == "" || len(s) > limit {
		p.Add(path, "must have 1 to %d bytes, has %d", limit, len(s))
	}
}

func checkName(p *settings.Problems, path, name string) {
	if !ids.ValidName(name) {
		p.Add(path, "the name must have 1 to 40 lower-case letters, digits and hyphens")
	}
}

func checkRange[N int | int64 | float64](p *settings.Problems, path string, v, low, high N) {
	if v < low || v > high {
		p.Add(path, "must be %v to %v, is %v", low, high, v)
	}
}

func checkService(p *settings.Problems, path string, s *Service) {
	if len(s.Kinds) == 0 || len(s.Kinds) > MaxKinds {
		p.Add(path+".kinds", "must have 1 to %d kinds, has %d", MaxKinds, len(s.Kinds))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Kinds)) {
		kindPath := path + ".kinds." + name
		checkName(p, kindPath, name)
		checkKind(p, kindPath, s.Kinds[name])
	}
	checkEndpoints(p, path+".endpoints", s.Endpoints)
}

func checkKind(p *settings.Problems, path string, k Kind) {
	checkRange(p, path+".deadline_ms", k.DeadlineMS, minPositive, MaxDeadlineMS)
	checkRange(p, path+".expected_ms", k.ExpectedMS, minPositive, MaxDeadlineMS)
	if k.ExpectedMS > k.DeadlineMS && k.DeadlineMS > 0 {
		p.Add(path+".expected_ms", "must not exceed deadline_ms %d, is %d", k.DeadlineMS, k.ExpectedMS)
	}
	checkRange(p, path+".max_attempts", k.MaxAttempts, minPositive, MaxAttempts)
	if !k.Idempotent && k.MaxAttempts > 1 {
		p.Add(path+".max_attempts", "must be 1, since the kind is not idempotent")
	}
	checkRange(p, path+".queue_limit", k.QueueLimit, 0, MaxQueueLimit)
}

func checkEndpoints(p *settings.Problems, path string, e EndpointRules) {
	switch e.Policy {
	case policyLeastFinish, policyTwoChoices, policyNaive:
	default:
		p.Add(path+".policy", "must be %q, %q or %q, is %q", policyLeastFinish, policyTwoChoices, policyNaive, e.Policy)
	}
	checkRange(p, path+".buffer", e.Buffer, 0, MaxBuffer)
	checkRange(p, path+".eject_after_failures", e.EjectAfterFailures, minPositive, MaxEjectFailures)
	checkRange(p, path+".eject_ms", e.EjectMS, minPositive, MaxEjectMS)
	checkRange(p, path+".messages_over_response", e.MessagesOverResponse, 0, 1)
}

func checkTeam(p *settings.Problems, path string, t *Team) {
	if t.Weight <= 0 || t.Weight > MaxWeight {
		p.Add(path+".weight", "must be above 0 and at most %d, is %v", MaxWeight, t.Weight)
	}
	checkRange(p, path+".max_in_flight", t.MaxInFlight, 0, MaxTeamInFlight)
	checkRange(p, path+".starts_per_second", t.StartsPerSecond, 0, MaxStartsPerSecond)
}
