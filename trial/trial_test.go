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
	seeds     = flag.Int("trial.seeds", 0, "number of seeds of TestPlay; none by default")
	disabled  = flag.String("trial.off", "", "mechanisms that TestPlay does without, or naive for all")
	outFile   = flag.String("trial.out", "", "file to which TestPlay appends a line for each seed")
)

// parse returns the policy of a list of mechanisms that are off.
func mustParsePolicy(t *testing.T, list string) policy.Policy {
	t.Helper()
	p, err := ParsePolicy(list)
	qt.Assert(t, err, qt.IsNil)
	return p
}

// TestPlay plays seeds for the command "oriolectl load policies". Its results are lines of
// JSON.
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

// Guards against a default policy that serves callers worse than one without any of its
// mechanisms, and against promises that it breaks.
func TestDefaultIsBetterThanNaive(t *testing.T) {
	var standard, naive float64
	for seed := uint64(1001); seed <= 1006; seed++ {
		s := Generate(seed)
		a, b := Simulate(t, s, policy.Policy{}), Simulate(t, s, mustParsePolicy(t, Naive))
		qt.Check(t, a.Violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
		t.Logf("seed %d: %.3f against %.3f, %d jobs (%s)", seed, a.Worth, b.Worth, a.Jobs, strings.Join(s.Groups, ", "))
		standard, naive = standard+a.Worth, naive+b.Worth
	}
	if standard < naive {
		t.Errorf("worth %.3f, and %.3f without any mechanism", standard, naive)
	}
}

// Guards against a queue in the order of arrival under more load than the endpoints can
// work off: long jobs then take the room of short ones that are refused meanwhile. Plays
// twelve seeds both ways on the same arrivals, eight of them overloads, and compares what
// callers get there. A Runner plays them, since the race detector makes them ten times slower.
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
		t.Errorf("in the order of arrival the answers are worth %.4f more", d.Mean)
	}
}

// Guards against scenarios that differ between two policies that are compared.
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
