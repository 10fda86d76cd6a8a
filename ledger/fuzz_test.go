package ledger

import (
	"io"
	"math"
	"testing"
	"time"

	"oriolerelay/event"
	"oriolerelay/job"
	"oriolerelay/wire"
)

// validatingRunner checks the jobs that it gets.
type validatingRunner struct {
	Runner
	t *testing.T
}

func (r validatingRunner) Adopt(s job.Submission, p job.Progress, _ uint64) {
	if err := s.Validate(); err != nil {
		r.t.Errorf("adopted %+v: %v", s, err)
	}
	if p.State != "" {
		r.t.Errorf("adopted a job that is %s", p.State)
	}
}
func (validatingRunner) StopJob(string)                        {}
func (validatingRunner) Started(string) bool                   { return false }
func (validatingRunner) RunEnded(string, wire.Run)             {}
func (validatingRunner) ProgressRecorded(string, job.Progress) {}

// FuzzRecords guards against records of a partition that make an owner panic, that hide a job of
// another record, or that reach the runner without being valid.
func FuzzRecords(f *testing.F) {
	valid := job.Submission{ID: "j", Steps: []job.Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	for _, r := range []struct {
		key   string
		value any
	}{
		{"aj", valid}, {"ax", job.Submission{ID: "x", Steps: []job.Step{{Count: -1}}}}, {"ax", valid},
		{"ax", job.Submission{ID: "x", Steps: []job.Step{{Count: math.MaxInt, After: []int{7}}}}},
		{"px", job.Progress{State: job.Completed}}, {"px", job.Progress{Done: []job.TaskSet{{3}}, Failures: map[string]int{"x.0.0.0": 2}}},
		{"cx", 1}, {"ex.0.0.0", endRecord{Agent: "a", Run: wire.Run{Task: "x.0.0.0", Number: 1}}}, {ownerKey, uint64(15)}, {"", 1}, {"z", 1},
	} {
		b, err := encode(r.value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(r.key, b)
	}
	accepted, err := encode(valid)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		l, p := ownedPartition(nil, validatingRunner{t: t})
		l.cfg.Log, l.cfg.Timing.StateRetention = event.NewLogger(io.Discard, "edge-1"), time.Hour
		l.cfg.Queue = func(string) (job.Queue, uint64, bool) { return job.Queue{}, 0, false }
		p.jobs = make(map[string]*storedJob)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.apply(p, Record{Key: key, Value: value}, true)
		p.owned = true // a record of a later owner releases the partition
		l.apply(p, Record{Key: recordKey(kindAccepted, "j"), Value: accepted}, true)
		l.startJobs(p)
		if e := p.jobs["j"]; e == nil || e.submission == nil && key != "pj" {
			t.Errorf("record %q hides another job", key)
		}
	})
}
