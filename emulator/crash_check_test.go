package emulator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// Guards against a check that counts starts before the third crash, or stops counting at a later one.
func TestCheckFindsStartsAfterThirdCrash(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, tc := range []struct {
		name          string
		crashes, more int // runs that crash an endpoint, and runs after them that crash none
		wantViolation bool
	}{
		{"three crashes", 3, 0, false},
		{"two starts after three crashes", 3, 2, false},
		{"three starts after three crashes", 3, 3, true},
		{"five crashes", 5, 0, false},
		{"six crashes", 6, 0, true},
		{"many starts after two crashes", 2, 9, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var runs []Run
			for i := range tc.crashes + tc.more {
				start := begin.Add(time.Duration(i) * time.Second)
				runs = append(runs, Run{ID: wire.Run{Task: "a", Number: uint32(i + 1)}, Start: start,
					End: start.Add(10 * time.Millisecond), CrashedEndpoint: i < tc.crashes})
			}
			_, violations := checkCrashBudget(runs)
			quicktest.Check(t, len(violations) > 0, quicktest.Equals, tc.wantViolation, quicktest.Commentf("%v", violations))
		})
	}
}

// Guards against an emulated crash that leaves runs behind, or an endpoint that answers while it is
// down or doesn't come back.
func TestTaskCrashesItsEndpoint(t *testing.T) {
	for name, keepID := range map[string]bool{"same id": true, "another id": false} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				e := Fleet(capacity, taskSize, 1)[0]
				crashing := job.TaskID{Job: "a"}.String()
				e.CrashOf = func(task, _ string) (Crash, bool) {
					return Crash{After: 10 * time.Millisecond, Outage: time.Second, KeepID: keepID}, task == crashing
				}
				begin, instance := time.Now(), e.Announcement(false).Profile.Instance
				start := func(task string) endpointapi.StartResult {
					return e.Start(ctx, endpointapi.StartRequest{
						Run: wire.Run{Task: task, Number: 1}, Payload: "400ms", LeaseEnd: e.clockForTest() + time.Second,
					}).Result
				}
				c.Check(start(job.TaskID{Job: "b"}.String()), quicktest.Equals, endpointapi.StartAccepted)
				c.Check(start(crashing), quicktest.Equals, endpointapi.StartAccepted)
				_, err := e.Observe(ctx, endpointapi.ObserveRequest{MaxWait: 100 * time.Millisecond})
				c.Check(err, quicktest.IsNotNil)
				c.Check(time.Since(begin), quicktest.Equals, 10*time.Millisecond)
				c.Check(start("c"), quicktest.Equals, endpointapi.StartEndpointDown)
				for _, r := range e.History() {
					c.Check(r.End.Sub(begin), quicktest.Equals, 10*time.Millisecond)
					c.Check(r.CrashedEndpoint, quicktest.Equals, r.ID.Task == crashing)
				}
				time.Sleep(time.Second + time.Millisecond)
				c.Check(start("c"), quicktest.Equals, endpointapi.StartAccepted)
				c.Check(e.Announcement(false).Profile.Instance == instance, quicktest.Equals, keepID)
				c.Check(e.History(), quicktest.HasLen, 3)
				stop()
				time.Sleep(time.Second)
				synctest.Wait()
			})
		})
	}
}
