package emulator

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/endpointapi"
	"oriolerelay/errkind"
	"oriolerelay/internal/bubble"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// Guards against a check that ignores a refusal once the caller has submitted the job again. A run
// between the refusal and the next submission shows that the refusal was wrong.
func TestCheckFindsRunOfRefusedJob(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	refusal := Answer{Job: "j", SentAt: at(0), ReceivedAt: at(10), Err: errkind.New(errkind.QueueFull, "full")}
	again := Answer{Job: "j", SentAt: at(1000), ReceivedAt: at(1100), State: job.Completed}
	gaveUp := Answer{Job: "j", SentAt: at(1000), ReceivedAt: at(1100), Disconnected: true}
	task := job.TaskID{Job: "j"}.String()
	for _, tc := range []struct {
		name          string
		start         time.Time
		answers       []Answer
		wantViolation bool
	}{
		{"ran after the only refusal", at(20), []Answer{refusal}, true},
		{"ran before the resubmission", at(500), []Answer{refusal, again}, true},
		{"ran after the resubmission", at(1050), []Answer{refusal, again}, false},
		{"ran after the second refusal", at(1050), []Answer{refusal, refusal}, true},
		{"ran after the resubmission of a disconnected caller", at(1050), []Answer{refusal, gaveUp}, false},
		{"ran for the submission before the refusal", at(20), []Answer{{Job: "j", SentAt: at(0), Disconnected: true}, refusal}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			violations := checkRefused([]Run{{ID: wire.Run{Task: task}, Start: tc.start}}, tc.answers)
			quicktest.Check(t, len(violations) > 0, quicktest.Equals, tc.wantViolation, quicktest.Commentf("%v", violations))
		})
	}
}

// Guards against a check that misses runs of a task at the same time: a check of neighbours only
// passed over a run that begins after a short one has ended and while a longer one continues.
func TestCheckFindsOverlap(t *testing.T) {
	begin := time.Unix(1000, 0)
	run := func(task string, from, to int) Run {
		r := Run{ID: wire.Run{Task: task, Number: 1}, Start: begin.Add(time.Duration(from) * time.Millisecond)}
		if to > 0 {
			r.End = begin.Add(time.Duration(to) * time.Millisecond)
		}
		return r
	}
	for _, tc := range []struct {
		name string
		runs []Run
		want int
	}{
		{"one after another", []Run{run("a", 20, 30), run("a", 0, 20)}, 0},
		{"different tasks", []Run{run("a", 0, 0), run("b", 10, 30)}, 0},
		{"at the same time", []Run{run("a", 0, 20), run("a", 19, 30)}, 1},
		{"the first has not ended", []Run{run("a", 0, 0), run("a", 10, 20)}, 1},
		{"the second has not ended", []Run{run("a", 0, 11), run("a", 10, 0)}, 1},
		{"the third during the first", []Run{run("a", 0, 50), run("b", 5, 10), run("a", 60, 0), run("b", 15, 20), run("a", 70, 80)}, 1},
		{"two tasks", []Run{run("a", 0, 50), run("a", 20, 30), run("a", 40, 60), run("b", 0, 0), run("b", 1, 2)}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			quicktest.Check(t, overlaps(tc.runs), quicktest.HasLen, tc.want)
		})
	}
}

// Guards against a violation that cannot be traced, and against one that is missed because the lease
// of a run expired unnoticed: two entries run the same job at the same time.
func TestOverlapIsReportedWithTimeline(t *testing.T) {
	for _, expired := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			c := quicktest.New(t)
			ctx, stop := context.WithCancel(t.Context())
			s := NewRoutedSystem(ctx, fiveEndpoints(), []uint32{100, 100, 800, 800}, nil)
			time.Sleep(time.Second)
			task := job.TaskID{Job: "j"}.String()
			start := func(e *Endpoint) {
				e.Start(ctx, endpointapi.StartRequest{
					Run: wire.Run{Task: task, Number: 2}, Payload: "10s", LeaseEnd: e.clockForTest() + time.Second, FencingToken: 1 << 62,
				})
			}
			answer := submitAsync(s, 0, testJob("j", 1, 400*time.Millisecond))
			time.Sleep(50 * time.Millisecond)
			if expired {
				<-answer
			}
			for _, e := range s.Endpoints[:3] {
				start(e) // one of them may run the task already
			}
			time.Sleep(2 * time.Second)
			violations := strings.Join(s.Check(nil), "\n")
			c.Check(violations, quicktest.Contains, "two runs of task "+task+" overlap")
			for _, want := range []string{"caller to entry-0.1: submits", "Place 1", "Orders run 1", ": run 1 begins", ": run 2 begins", "lease expired"} {
				c.Check(violations, quicktest.Contains, want)
			}
			stop()
			time.Sleep(time.Second)
			synctest.Wait()
		})
	}
}

func (e *Endpoint) clockForTest() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clockLocked()
}
