package rendezvous

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a choice that depends on the order of the addresses, and against a
// process that stays without peers while its preferred ones are down.
func TestChoose(t *testing.T) {
	c := qt.New(t)
	var all []string
	for i := range 24 {
		all = append(all, fmt.Sprintf("10.0.0.%d:7100", i))
	}
	want := Choose("agent-1", all, nil, 8, 16)
	c.Assert(want, qt.HasLen, 8)
	c.Check(Choose("agent-1", append(all[7:], all[:7]...), nil, 8, 16), qt.DeepEquals, want)
	c.Check(Choose("agent-2", all, nil, 8, 16), qt.Not(qt.DeepEquals), want)
	down := map[string]bool{want[0]: true, want[5]: true}
	more := Choose("agent-1", all, down, 8, 16)
	c.Check(more, qt.HasLen, 8+2)
	c.Check(more[:8], qt.DeepEquals, want)
	for _, a := range all {
		down[a] = true
	}
	c.Check(Choose("agent-1", all, down, 8, 16), qt.HasLen, 16)
	delete(down, all[3])
	c.Check(Choose("agent-1", all, down, 1, len(all)), qt.Contains, all[3])
}

// Guards against an uneven distribution of connections over the peers: a peer with half
// of the mean number of connections is a bottleneck for its callers.
func TestChoicesAreBalanced(t *testing.T) {
	c := qt.New(t)
	var all []string
	for i := range 13 {
		all = append(all, fmt.Sprintf("10.%d.0.13:7720", i))
	}
	counts := map[string]int{}
	for i := range 74 {
		for _, a := range Choose(fmt.Sprintf("side-%d", i), all, nil, 6, len(all)) {
			counts[a]++
		}
	}
	mean := 74 * 6 / 13.0
	for _, a := range all {
		c.Check(float64(counts[a]) > mean/2, qt.IsTrue, qt.Commentf("%s is chosen by %d of 74", a, counts[a]))
	}
}
