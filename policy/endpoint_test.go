package policy

import (
	"testing"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// Guards against a job that is kept waiting until its deadline since its tasks count as placeable at
// an endpoint whose use exceeds its capacity in a resource that they do not need.
func TestFittingTasksAgreesWithFits(t *testing.T) {
	size := wire.Resources{MilliCores: 1000, MemoryMiB: 64}
	for _, free := range []FreeCapacity{
		{4000, 256, 0}, {999, 256, 0}, {4000, 63, 0}, {4000, 256, -1}, {4000, -1, 0}, {-1, 256, 1}, {4000, 256, 1}, {},
	} {
		for _, s := range []wire.Resources{size, {MilliCores: 1000}, {MemoryMiB: 64}, {MilliCores: 1, Accelerators: 1}, {}} {
			got := FittingTasks([]Endpoint{{Free: free, Available: true}}, &Task{Size: s}) > 0
			quicktest.Check(t, got, quicktest.Equals, free.Fits(s), quicktest.Commentf("free %+v, size %+v", free, s))
		}
	}
}

// Guards against the refusal of tasks that fit on some endpoint, and of tasks of whose label no
// endpoint is known.
func TestFitsWhenIdle(t *testing.T) {
	endpoints := []Endpoint{
		{Capacity: wire.Resources{MilliCores: 2000, MemoryMiB: 100}, Free: FreeCapacity{-500, 0, 0}},
		{Capacity: wire.Resources{MilliCores: 1000, MemoryMiB: 200}, Labels: []string{"x"}},
	}
	for _, tc := range []struct {
		size  wire.Resources
		label string
		want  bool
	}{
		{wire.Resources{MilliCores: 2000}, "", true},
		{wire.Resources{MilliCores: 2001}, "", false},
		{wire.Resources{MilliCores: 2000, MemoryMiB: 200}, "", false},
		{wire.Resources{MilliCores: 2000}, "x", false},
		{wire.Resources{MilliCores: 1000}, "x", true},
		{wire.Resources{MilliCores: 9000}, "y", true},
	} {
		quicktest.Check(t, FitsWhenIdle(endpoints, tc.size, tc.label), quicktest.Equals, tc.want, quicktest.Commentf("%+v", tc))
	}
	quicktest.Check(t, FitsWhenIdle(nil, wire.Resources{MilliCores: 1}, ""), quicktest.IsTrue)
}
