package trial

import (
	"encoding/json"
	"flag"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/policy"
)

var (
	firstSeed = flag.Uint64("trial.first", 1, "first seed of TestPlay")
	seeds     = flag.Int("trial.seeds", 0, "number of seeds that TestPlay simulates")
	disabled  = flag.String("trial.off", "", "comma-separated mechanisms that TestPlay disables, or naive for all")
	outFile   = flag.String("trial.out", "", "file to which TestPlay appends a line of JSON for each seed")
)

// mustParsePolicy returns the policy with a list of mechanisms disabled.
func mustParsePolicy(t *testing.T, list string) policy.Policy {
	t.Helper()
	p, err := ParsePolicy(list)
	qt.Assert(t, err, qt.IsNil)
	return p
}

// TestPlay simulates seeds for Runner, which the command "oriolectl load policies" uses. It writes
// the results as lines of JSON. It does nothing unless -trial.seeds is set.
func TestPlay(t *testing.T) {
	if *seeds == 0 {
		return
	}
	p := mustParsePolicy(t, *disabled)
	f, err := os.OpenFile(*outFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		s := Generate(seed)
		b, err := json.Marshal(Result{Seed: seed, Policy: *disabled, Groups: s.Groups, Outcome: Simulate(t, s, p)})
		qt.Assert(t, err, qt.IsNil)
		_, err = f.Write(append(b, '\n'))
		qt.Assert(t, err, qt.IsNil)
	}
}

// Guards against a default policy whose answers are worth less than those of the policy without
// any mechanism, and against violations of guarantees with it.
func TestDefaultIsBetterThanNaive(t *testing.T) {
	var standard, naive float64
	for seed := uint64(1001); seed <= 1006; seed++ {
		s := Generate(seed)
		a, b := Simulate(t, s, policy.Policy{}), Simulate(t, s, mustParsePolicy(t, Naive))
		qt.Check(t, a.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		t.Logf("seed %d: worth %.3f with the default policy, %.3f with naive, %d jobs (%s)", seed, a.EarnedShare, b.EarnedShare, a.Jobs, strings.Join(s.Groups, ", "))
		standard, naive = standard+a.EarnedShare, naive+b.EarnedShare
	}
	if standard < naive {
		t.Errorf("the default policy earns a worth of %.3f, naive earns %.3f", standard, naive)
	}
}

// Guards against queueing in order of arrival under overload: long jobs then take the capacity of
// short ones, which are refused meanwhile. The test simulates twelve seeds with both orders on the
// same arrivals and compares the worth in the eight seeds with overload. It uses a Runner, whose
// processes are built without the race detector, since that makes the simulation ten times slower.
func TestUrgentFirstUnderOverload(t *testing.T) {
	c := qt.New(t)
	withoutUrgentFirst := string(policy.UrgentFirst)
	r := Runner{Module: "..", Policies: []string{"", withoutUrgentFirst}, FirstSeed: 2001, Seeds: 12, Processes: runtime.NumCPU()}
	results, err := r.Run(t.Context())
	c.Assert(err, qt.IsNil)
	differences, err := Compare(results, r.Policies)
	c.Assert(err, qt.IsNil)
	i := slices.IndexFunc(differences, func(d Difference) bool { return d.Group == "overload" && d.Policy == withoutUrgentFirst })
	c.Assert(i >= 0, qt.IsTrue)
	d := differences[i]
	c.Check(d.Seeds, qt.Equals, 8)
	if d.Mean >= 0 {
		t.Errorf("queueing in order of arrival earns a worth %.4f higher", d.Mean)
	}
}

// Guards against different scenarios for the same seed, which would make the comparison of
// policies meaningless.
func TestGenerateIsRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		a, b := Generate(seed), Generate(seed)
		qt.Assert(t, a, qt.DeepEquals, b)
		tasks := 0
		for _, x := range a.Arrivals {
			tasks += len(x.Work)
		}
		qt.Check(t, tasks > 0 && tasks < 3*maxTasks, qt.IsTrue, qt.Commentf("seed %d has %d tasks", seed, tasks))
	}
}
