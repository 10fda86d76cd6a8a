package emulator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/internal/bubble"
	"oriolerelay/policy"
)

// Guards against overlapping runs of a task that its caller submits again, after its connection was reset, to an entry that
// suspects the one which places the job.
func TestResubmissionWhilePlacementEntryIsSuspect(t *testing.T) {
	const suspectAfter = 300 * time.Millisecond
	tests := []struct {
		name string
		// resubmitAfter is the delay of the caller, and noticeAfter that of the entry of the first request.
		resubmitAfter, noticeAfter time.Duration
		// kill ends the first entry in place of the hold of its messages.
		kill bool
	}{
		{"at once", 0, disconnectNoticeDelay, false},
		{"end of the request is lost", 1300 * time.Millisecond, 5 * time.Second, false},
		{"after a kill", 0, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				ctx, stop := context.WithCancel(t.Context())
				s := newPlaySystem(ctx, equalEndpoints(), []uint32{100, 100})
				time.Sleep(2 * time.Second)
				j := testJob(jobPlacedAt("entry-0.1", "entry-1.1"), 4, 3*time.Second)
				j.CallerTimeout = 8 * time.Second
				firstCtx, notice := context.WithCancel(ctx)
				var first, second Answer
				var wg sync.WaitGroup
				wg.Go(func() { first = s.submitTo(firstCtx, s.entryAt("entry-0").Entry, j) })
				time.AfterFunc(100*time.Millisecond, func() {
					if tt.kill {
						s.killEntry(0, 3*time.Second)
						return
					}
					s.network.addHold("entry-0", "entry-1", 1)
				})
				time.Sleep(100*time.Millisecond + max(suspectAfter, tt.resubmitAfter))
				time.AfterFunc(tt.noticeAfter, notice)
				wg.Go(func() { second = s.submitTo(ctx, s.entryAt("entry-1").Entry, j) })
				wg.Wait()
				c.Check(s.Check([]Answer{first, second}), quicktest.HasLen, 0)
				if !tt.kill {
					s.network.addHold("entry-0", "entry-1", -1)
				}
				stop()
				time.Sleep(5 * time.Second)
				synctest.Wait()
			})
		})
	}
}

// jobPlacedAt returns the id of a job that is placed at the first of the given entries.
func jobPlacedAt(first, other string) string {
	for n := 0; ; n++ {
		if id := fmt.Sprintf("%016x", n); policy.JobDraw(id, first) > policy.JobDraw(id, other) {
			return id
		}
	}
}
