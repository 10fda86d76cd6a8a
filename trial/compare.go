package trial

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"oriolerelay/policy"
)

// Naive is the name of the policy with all mechanisms disabled.
const Naive = "naive"

// ParsePolicy returns the policy with the mechanisms of a comma-separated list disabled. An empty
// list enables all mechanisms, and Naive disables all.
func ParsePolicy(list string) (policy.Policy, error) {
	if list == "" {
		return policy.Policy{}, nil
	}
	if list == Naive {
		var names []string
		for _, m := range policy.Mechanisms() {
			names = append(names, string(m))
		}
		return policy.Without(names...)
	}
	return policy.Without(strings.Split(list, ",")...)
}

// Result is the outcome of one seed with one policy. The policy is named by its disabled
// mechanisms, as ParsePolicy takes them.
type Result struct {
	Seed    uint64   `json:"seed"`
	Policy  string   `json:"policy"`
	Groups  []string `json:"groups"`
	Outcome Outcome  `json:"outcome"`
}

// Difference compares a policy with the first policy on the same seeds.
type Difference struct {
	Group  string `json:"group"`
	Policy string `json:"policy"`
	Seeds  int    `json:"seeds"`
	// EarnedShare is the mean earned share with the policy. Mean is the mean difference from
	// the earned share with the first policy, and HalfWidth half the width of the 95%
	// confidence interval of Mean.
	EarnedShare float64 `json:"worth"`
	Mean        float64 `json:"difference"`
	HalfWidth   float64 `json:"half_width"`
	// Better and Worse count the seeds that differ by more than 0.01.
	Better int `json:"better"`
	Worse  int `json:"worse"`
}

// AllSeeds is the name of the group of all seeds.
const AllSeeds = "all"

// normalQuantile95 is the number of standard errors on each side of a 95% confidence interval.
const normalQuantile95 = 1.96

// Compare returns the paired differences of each policy from the first one, by group.
func Compare(results []Result, policies []string) ([]Difference, error) {
	if len(policies) == 0 {
		return nil, fmt.Errorf("no policy to compare with")
	}
	byPolicy := make(map[string]map[uint64]Result)
	var groups []string
	for _, x := range results {
		if byPolicy[x.Policy] == nil {
			byPolicy[x.Policy] = make(map[uint64]Result)
		}
		byPolicy[x.Policy][x.Seed] = x
		for _, g := range x.Groups {
			if !slices.Contains(groups, g) {
				groups = append(groups, g)
			}
		}
	}
	slices.Sort(groups)
	var out []Difference
	for _, group := range append([]string{AllSeeds}, groups...) {
		for _, name := range policies {
			d := compareGroup(byPolicy[policies[0]], byPolicy[name], group)
			d.Group, d.Policy = group, name
			out = append(out, d)
		}
	}
	return out, nil
}

func compareGroup(baseline, other map[uint64]Result, group string) (d Difference) {
	var deltas []float64
	for seed, a := range baseline {
		b, ok := other[seed]
		if !ok || group != AllSeeds && !slices.Contains(a.Groups, group) {
			continue
		}
		x := b.Outcome.EarnedShare - a.Outcome.EarnedShare
		deltas = append(deltas, x)
		d.EarnedShare += b.Outcome.EarnedShare
		switch {
		case x > 0.01:
			d.Better++
		case x < -0.01:
			d.Worse++
		}
	}
	d.Seeds = len(deltas)
	if d.Seeds == 0 {
		return d
	}
	n := float64(d.Seeds)
	d.EarnedShare /= n
	for _, x := range deltas {
		d.Mean += x / n
	}
	variance := 0.0
	for _, x := range deltas {
		variance += (x - d.Mean) * (x - d.Mean) / math.Max(n-1, 1)
	}
	d.HalfWidth = normalQuantile95 * math.Sqrt(variance/n)
	return d
}
