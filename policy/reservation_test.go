package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/wire"
)

// Guards against reservations that count only cores, that start before their capacity is free, and
// against one on an endpoint where the task ends later than on another.
func TestPlanReservation(t *testing.T) {
	c := quicktest.New(t)
	const ms = time.Millisecond
	cores := func(n uint32) wire.Resources { return wire.Resources{MilliCores: n * 1000, MemoryMiB: 100} }
	full := func(slowness float64) Endpoint {
		return Endpoint{Available: true, Capacity: wire.Resources{MilliCores: 8000, MemoryMiB: 800}, Slowness: slowness, Free: FreeCapacity{1000, 500, 0}}
	}
	endpoints := []Endpoint{full(1), full(1), full(3), full(1), full(1)}
	endpoints[3].Capacity.MemoryMiB = 99
	schedules := []Schedule{
		{Ends: []RunEnd{{300 * ms, cores(4)}, {50 * ms, cores(3)}}},
		{Ends: []RunEnd{{90 * ms, cores(4)}, {200 * ms, cores(3)}}},
		{Ends: []RunEnd{{10 * ms, cores(7)}}}, // free first, but slow
		{Ends: []RunEnd{{10 * ms, cores(7)}}}, // too little memory
		{},                                    // used by another entry
	}
	for i := range schedules {
		schedules[i].Sort()
	}
	task := &Task{Size: cores(4), DeclaredRunTime: 100 * ms, Budget: 200 * ms, RunTimeFactor: 1}
	slot, ok := PlanReservation(endpoints, schedules, task, time.Second, true)
	c.Assert(ok, quicktest.IsTrue)
	c.Check(slot, quicktest.Equals, Slot{Index: 0, Start: 50 * ms, Beside: FreeCapacity{0, 500, 0}})
	_, ok = PlanReservation(endpoints, schedules, task, 5*ms, true)
	c.Check(ok, quicktest.IsFalse, quicktest.Commentf("the job is refused before"))
	_, ok = PlanReservation(endpoints, schedules, task, time.Second, false)
	c.Check(ok, quicktest.IsFalse, quicktest.Commentf("too many endpoints with reservations"))

	endpoints[0].Reserve(&schedules[0], slot, task.Size, slot.Start)
	slot, _ = PlanReservation(endpoints[:1], schedules[:1], task, time.Second, false)
	c.Check(slot.Start, quicktest.Equals, 300*ms, quicktest.Commentf("after the first one"))
	task.Size.Accelerators = 1
	_, ok = PlanReservation(endpoints, schedules, task, time.Second, true)
	c.Check(ok, quicktest.IsFalse)
}

// Guards against small tasks that delay a reservation: those that do not end before it, in any
// resource. Also guards against a capacity that is kept although a task would fit beside it.
func TestBackfilling(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name   string
		size   wire.Resources
		run    time.Duration
		factor float64
		want   bool
	}{
		{"ends before", wire.Resources{MilliCores: 3000, MemoryMiB: 50}, 50 * ms, 2, true},
		{"ends too late", wire.Resources{MilliCores: 3000, MemoryMiB: 50}, 51 * ms, 2, false},
		{"fits beside", wire.Resources{MilliCores: 1000, MemoryMiB: 50}, time.Second, 1, true},
		{"does not fit beside", wire.Resources{MilliCores: 1001, MemoryMiB: 50}, time.Second, 1, false},
		{"memory does not fit beside", wire.Resources{MilliCores: 1000, MemoryMiB: 51}, time.Second, 1, false},
		{"does not fit now", wire.Resources{MilliCores: 5000}, ms, 1, false},
	} {
		c := quicktest.New(t)
		e := []Endpoint{{Available: true, Slowness: 1, Free: FreeCapacity{4000, 100, 0}, Capacity: wire.Resources{MilliCores: 8000, MemoryMiB: 100}}}
		e[0].Reservations = EndpointReservations{Active: true, From: 100 * ms, Beside: FreeCapacity{1000, 50, 0}}
		task := &Task{Size: tc.size, DeclaredRunTime: tc.run, RunTimeFactor: tc.factor}
		comment := quicktest.Commentf("%s", tc.name)
		_, ok := Policy{}.ChooseEndpoint(e, task, 0)
		c.Check(ok, quicktest.Equals, tc.want, comment)
		c.Check(FittingTasks(e, task) > 0, quicktest.Equals, tc.want, comment)
		if e[0].Take(task); tc.name == "fits beside" {
			_, ok = Policy{}.ChooseEndpoint(e, task, 0)
			c.Check(ok, quicktest.IsFalse, quicktest.Commentf("a second one"))
		}
	}
}

// Guards against plans with declared run times that are wrong for the queue, and against run times
// of the past that count forever.
func TestRunTimeModel(t *testing.T) {
	c := quicktest.New(t)
	var m RunTimeModel
	observe := func(n, ratio int) {
		for range n {
			m.Observe(time.Duration(ratio)*time.Second, time.Second)
		}
	}
	observe(minRunTimeSamples-1, 5)
	c.Check(m.Factor(), quicktest.Equals, unknownRunTimeFactor)
	for _, ratio := range []int{1, 3} {
		observe(1000, ratio)
		c.Check(m.Factor() >= float64(ratio) && m.Factor() < 1.2*float64(ratio), quicktest.IsTrue, quicktest.Commentf("%v", m.Factor()))
	}
}
