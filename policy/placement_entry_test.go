package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func testEntries(n int, region string, milliCores ...uint32) (out []Entry) {
	for i := range n {
		out = append(out, Entry{Address: fmt.Sprintf("10.0.%s.%d:7000", region, i), Region: region, MilliCores: milliCores[i%len(milliCores)]})
	}
	return out
}

// Guards against processes that choose different placement entries, and against placement
// entries on hosts that are too small.
func TestPlacementEntries(t *testing.T) {
	c := qt.New(t)
	few := testEntries(SmallDeploymentEntries, "1", 800, 144)
	c.Check(PlacementEntries(few, "1", nil), qt.HasLen, SmallDeploymentEntries)
	c.Check(PlacementEntries(few, "2", nil), qt.HasLen, SmallDeploymentEntries)

	many := append(testEntries(30, "1", 800, 144, 480), testEntries(30, "2", 144, 800)...)
	chosen := PlacementEntries(many, "1", nil)
	c.Check(chosen, qt.HasLen, 1+30/entriesPerPlacementEntry)
	for _, e := range many {
		if slices.Contains(chosen, e.Address) {
			c.Check(e.MilliCores, qt.Equals, uint32(800))
			c.Check(e.Region, qt.Equals, "1")
		}
	}
	shuffled := slices.Clone(many)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	c.Check(PlacementEntries(shuffled, "1", nil), qt.DeepEquals, chosen)

	c.Check(PlacementEntries(testEntries(5, "1", 144), "1", nil), qt.HasLen, minPlacementEntries)
	c.Check(PlacementEntries(many, "3", nil), qt.HasLen, 1+60/entriesPerPlacementEntry) // no entry in this region
}

// Guards against a deployment that has no placement entry when all the chosen ones are down,
// and against a new choice whenever a single one is down.
func TestPlacementEntriesDown(t *testing.T) {
	c := qt.New(t)
	many := testEntries(30, "1", 800)
	chosen := PlacementEntries(many, "1", nil)
	down := map[string]bool{chosen[0]: true}
	c.Check(PlacementEntries(many, "1", down), qt.DeepEquals, chosen)
	for _, a := range chosen {
		down[a] = true
	}
	more := PlacementEntries(many, "1", down)
	c.Check(more, qt.HasLen, 2*len(chosen))
	c.Check(more[:len(chosen)], qt.DeepEquals, chosen)
	for _, e := range many {
		down[e.Address] = true
	}
	c.Check(PlacementEntries(many, "1", down), qt.HasLen, len(many))
}

// Guards against jobs that are sent to full entries while others have free capacity, and
// against all entries sending their jobs to the least loaded one.
func TestChoosePlacementEntry(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []PlacementCandidate{
		{Capacity: 1000, Used: 900}, {Capacity: 1000, Used: 100}, {}, {Capacity: 1000, Used: 500, Sent: 300}, {Capacity: 9000, OtherRegion: true},
	}
	got := make([]int, len(candidates))
	const n = 9000
	twoChoices, err := Without(string(ByJob))
	c.Assert(err, qt.IsNil)
	for range n {
		i, ok := twoChoices.ChoosePlacementEntry(candidates, -1, random)
		c.Assert(ok, qt.IsTrue)
		got[i]++
	}
	c.Check(got[2]+got[4], qt.Equals, 0)
	// Two of three candidates are drawn with replacement: the most loaded one gets a job only
	// if both draws choose it, the least loaded one if either does.
	c.Check(got[0] > n/18 && got[0] < n/6, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got[1] > n/2 && got[1] < n*11/18, qt.IsTrue, qt.Commentf("%v", got))

	i, ok := (Policy{}).ChoosePlacementEntry(candidates, 1, random)
	c.Check(ok, qt.IsTrue)
	c.Check(i, qt.Equals, 3) // the least loaded of the others
	i, ok = (Policy{}).ChoosePlacementEntry([]PlacementCandidate{{}, {Capacity: 10, OtherRegion: true}}, -1, random)
	c.Check(ok, qt.IsTrue)
	c.Check(i, qt.Equals, 1)
	_, ok = (Policy{}).ChoosePlacementEntry([]PlacementCandidate{{Capacity: 10}}, 0, random)
	c.Check(ok, qt.IsFalse)
}

// Guards against entries with little capacity that get as many jobs as those with much.
func TestChoosePlacementEntryByCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []PlacementCandidate{{Capacity: 1000}, {Capacity: 4000}}
	got := make([]int, 2)
	for range 5000 {
		i, _ := (Policy{}).ChoosePlacementEntry(withDraws(candidates, random), -1, random)
		candidates[i].Sent += 1000
		got[i]++
		if candidates[0].Sent+candidates[1].Sent > 4000 {
			candidates[0].Sent, candidates[1].Sent = 0, 0
		}
	}
	if got[1] < 3*got[0] {
		t.Errorf("got %v jobs for capacities in the ratio 1 to 4", got)
	}
}

// Guards against sending all jobs to the entry that replaces draining ones while its agents
// are still connecting, and against jobs for draining entries while others have free capacity.
func TestChoosePlacementEntryWhileDraining(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	draining := PlacementCandidate{Capacity: 1000, Used: 300, Draining: true}
	active := func(load float64) PlacementCandidate {
		return PlacementCandidate{Capacity: 100, Used: uint64(100 * load)}
	}
	tests := []struct {
		name       string
		candidates []PlacementCandidate
		want       []int // candidates that get jobs
	}{
		{"free capacity at an active entry", []PlacementCandidate{draining, active(0.5)}, []int{1}},
		{"all active entries are full", []PlacementCandidate{draining, active(1.5)}, []int{0}},
		{"all are draining", []PlacementCandidate{draining, draining}, []int{0, 1}},
		{"all draining here, one active in another region", []PlacementCandidate{draining, {Capacity: 1000, OtherRegion: true}}, []int{0}},
		{"only draining ones in another region", []PlacementCandidate{{}, {Capacity: 1000, OtherRegion: true, Draining: true}}, []int{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := make(map[int]int)
			for range 200 {
				i, ok := (Policy{}).ChoosePlacementEntry(withDraws(tt.candidates, random), -1, random)
				qt.Assert(t, ok, qt.IsTrue)
				got[i]++
			}
			for _, i := range tt.want {
				qt.Check(t, got[i] >= 200/len(tt.want)/2, qt.IsTrue, qt.Commentf("%v", got))
				delete(got, i)
			}
			// A full candidate is chosen occasionally, when both draws choose it.
			rest := 0
			for _, n := range got {
				rest += n
			}
			qt.Check(t, rest <= 20, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// withDraws returns the candidates as they are for a new job.
func withDraws(candidates []PlacementCandidate, random *rand.Rand) []PlacementCandidate {
	job := fmt.Sprintf("%016x", random.Uint64())
	for i := range candidates {
		candidates[i].Draw = JobDraw(job, fmt.Sprintf("entry-%d", i))
	}
	return candidates
}

// Guards against copies of a job that run at two placement entries because the entries that forward them see slightly different loads.
func TestCopiesOfJobMeetAtOnePlacementEntry(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	seen := []PlacementCandidate{{Capacity: 1000, Used: 700}, {Capacity: 1000, Used: 650}, {Capacity: 2000, Used: 1300}, {Capacity: 1000, Used: 990}}
	got := make([]int, len(seen))
	const n = 8000
	for range n {
		first := withDraws(seen, random)
		later := slices.Clone(first)
		for i := range later[:3] {
			later[i].Used = later[i].Used * uint64(90+random.IntN(20)) / 100
		}
		slices.Reverse(later)
		i, ok := (Policy{}).ChoosePlacementEntry(first, -1, random)
		c.Assert(ok, qt.IsTrue)
		j, ok := (Policy{}).ChoosePlacementEntry(later, -1, random)
		c.Assert(ok, qt.IsTrue)
		c.Assert(len(later)-1-j, qt.Equals, i)
		got[i]++
	}
	c.Check(got[3], qt.Equals, 0) // full
	for i, want := range []int{n / 4, n / 4, n / 2} {
		c.Check(got[i] > want*9/10 && got[i] < want*11/10, qt.IsTrue, qt.Commentf("%v", got))
	}
}
