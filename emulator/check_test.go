package emulator

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"oriolerelay/errkind"
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
