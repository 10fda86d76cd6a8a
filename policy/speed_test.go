package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// Guards against tasks that take the fast endpoints from those that need them, start where they are
// late, or wait in vain; and against a change of the choice with spare capacity or without the
// mechanism.
func TestSpeedMatch(t *testing.T) {
	const ms = time.Millisecond
	on, err := New([]string{string(SpeedMatch)}, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	const slow, fast = 0, 1
	for _, tc := range []struct {
		name               string
		slowFree, fastFree int64
		declared, budget   time.Duration
		want, wantOff      int // -1 if the task waits
	}{
		{"spare capacity", 9000, 6000, 60 * ms, 150 * ms, fast, fast},
		{"scarce, in time with a margin", 9000, 1500, 60 * ms, 150 * ms, slow, fast},
		{"scarce, without a margin", 9000, 1500, 60 * ms, 120 * ms, fast, fast},
		{"late on the slow one", 9000, 0, 900 * ms, 1500 * ms, -1, slow},
		{"late on both", 9000, 0, 900 * ms, 700 * ms, slow, slow},
		{"fast one lost", 9000, -1, 900 * ms, 1500 * ms, slow, slow},
		{"no slow one free", 0, 1500, 60 * ms, 150 * ms, fast, fast},
	} {
		size := wire.Resources{MilliCores: 1500}
		capacity := wire.Resources{MilliCores: 12000}
		endpoints := []Endpoint{
			{Free: FreeCapacity{MilliCores: tc.slowFree}, Capacity: capacity, Slowness: 1.8, Available: true},
			{Free: FreeCapacity{MilliCores: tc.fastFree}, Capacity: capacity, Slowness: 0.8, Available: tc.fastFree >= 0},
		}
		for want, p := range map[*int]Policy{&tc.want: on, &tc.wantOff: {}} {
			task := Task{Size: size, DeclaredRunTime: tc.declared, Budget: tc.budget}
			got, ok := p.ChooseEndpoint(endpoints, &task, 0)
			if !ok {
				got.Index = -1
			}
			quicktest.Check(t, got.Index, quicktest.Equals, *want, quicktest.Commentf("%s, on %v", tc.name, p.Uses(SpeedMatch)))
			allocs := testing.AllocsPerRun(10, func() { p.ChooseEndpoint(endpoints, &task, 0) })
			quicktest.Check(t, allocs, quicktest.Equals, 0.0)
		}
	}
}
