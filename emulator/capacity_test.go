package emulator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/internal/bubble"
	"oriolerelay/wire"
)

// Guards against a check that ignores a start over a capacity that has shrunk, a run that is being
// stopped, or memory, and against one that forbids what the platform allows.
func TestCheckFindsStartOverCapacity(t *testing.T) {
	run := func(from, to int, milliCores, memory uint32) Run {
		r := Run{Start: time.Unix(1000, 0).Add(time.Duration(from) * time.Millisecond), Size: wire.Resources{MilliCores: milliCores, MemoryMiB: memory}}
		if to > 0 {
			r.End = time.Unix(1000, 0).Add(time.Duration(to) * time.Millisecond)
		}
		return r
	}
	for _, tc := range []struct {
		name string
		runs []Run
		want bool
	}{
		{"within the capacity", []Run{run(0, 0, 2000, 1), run(0, 0, 2000, 1)}, false},
		{"over it", []Run{run(0, 0, 2000, 1), run(0, 0, 2001, 1)}, true},
		{"memory over it", []Run{run(0, 0, 1, 900), run(0, 0, 1, 200)}, true},
		{"one after the other", []Run{run(0, 500, 4000, 1), run(500, 0, 4000, 1)}, false},
		{"before the other has ended", []Run{run(0, 500, 4000, 1), run(499, 0, 1, 1)}, true},
		{"ends as it begins", []Run{run(0, 0, 4000, 1), run(900, 900, 1, 1)}, false},
		{"running when the capacity shrinks", []Run{run(0, 0, 4000, 1)}, false},
		{"begins when the former capacity still counts", []Run{run(5499, 0, 4000, 1)}, false},
		{"begins when it counts no more", []Run{run(5501, 0, 3001, 1)}, true},
		{"ends after the shrink", []Run{run(0, 6000, 4000, 1), run(5900, 0, 1, 1)}, true},
		{"after the growth", []Run{run(20000, 0, 4000, 1)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := NewEndpoint("e", wire.Resources{MilliCores: 4000, MemoryMiB: 1000}, 1)
			e.pastCapacities = []capacityPeriod{
				{wire.Resources{MilliCores: 4000, MemoryMiB: 1000}, time.Unix(1001, 0)},
				{wire.Resources{MilliCores: 3000, MemoryMiB: 1000}, time.Unix(1019, 0)},
			}
			violations := checkCapacity(e, tc.runs)
			quicktest.Check(t, len(violations) > 0, quicktest.Equals, tc.want, quicktest.Commentf("%v", violations))
		})
	}
}

// Guards against an emulated endpoint that states an old capacity, or that enforces its capacity
// although it should not.
func TestUnenforcedCapacity(t *testing.T) {
	for _, unenforced := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			e := Fleet(capacity, capacity, 1)[0]
			e.Unenforced = unenforced
			time.Sleep(time.Second)
			e.SetCapacity(taskSize)
			c.Check(e.Announcement(false).Profile.Capacity, quicktest.Equals, taskSize)
			time.Sleep(stabilityWindow + heartbeatInterval)
			start(t, e, "t.0.0.0")
			c.Check(e.History(), quicktest.HasLen, map[bool]int{true: 1, false: 0}[unenforced])
			c.Check(Check([]*Endpoint{e}, nil), quicktest.HasLen, map[bool]int{true: 1, false: 0}[unenforced])
		})
	}
}

func start(t *testing.T, e *Endpoint, task string) {
	e.Start(t.Context(), endpointapi.StartRequest{Run: wire.Run{Task: task, Number: 1}, Payload: "100ms", LeaseEnd: e.clockForTest() + time.Second})
}
