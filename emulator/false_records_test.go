package emulator

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"oriolerelay/errkind"
	"oriolerelay/job"
	"oriolerelay/ledger"
	"oriolerelay/wire"
)

// otherJob is the id in the keys of the false records.
const otherJob = "00000000000000aa"

// falseSubmissions returns records of accepted jobs that no entry has written.
func falseSubmissions() map[string][]byte {
	encode := func(change func(s *job.Submission)) []byte {
		s := storedJob(0xaa, 2, time.Second)
		change(&s)
		b, err := cbor.Marshal(s)
		if err != nil {
			panic(err) // encoding strings and numbers cannot fail
		}
		return b
	}
	return map[string][]byte{
		"negative count":          encode(func(s *job.Submission) { s.Steps[0].Count = -1 }),
		"too many tasks":          encode(func(s *job.Submission) { s.Steps[0].Count = math.MaxInt }),
		"sum of tasks overflows":  encode(func(s *job.Submission) { s.Steps = append(s.Steps, job.Step{Count: math.MaxInt}, job.Step{Count: 1}) }),
		"no steps":                encode(func(s *job.Submission) { s.Steps = nil }),
		"depends on a later step": encode(func(s *job.Submission) { s.Steps[0].After = []int{5} }),
		"depends on itself":       encode(func(s *job.Submission) { s.Steps[0].After = []int{0} }),
		"depends on step -1":      encode(func(s *job.Submission) { s.Steps[0].After = []int{-1} }),
		"id of another job":       encode(func(s *job.Submission) { s.ID, s.Payload = storedJob(0xabc000, 1, 0).ID, "10s" }),
		"no id":                   encode(func(s *job.Submission) { s.ID = "" }),
		"number too large":        {0xa1, 0x66, 'R', 'e', 'p', 'e', 'a', 't', 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"array of 2^32 steps":     {0xa1, 0x65, 'S', 't', 'e', 'p', 's', 0x9a, 0xff, 0xff, 0xff, 0xff},
		"duplicate key":           {0xa2, 0x62, 'I', 'D', 0x61, 'a', 0x62, 'I', 'D', 0x61, 'b'},
		"other type":              {0x81, 0x01},
		"null":                    {0xf6},
		"10,000 levels":           []byte(strings.Repeat("\x81", 10_000) + "\x01"),
		"1,000,000 levels":        []byte(strings.Repeat("\x81", 1_000_000) + "\x01"),
		"no CBOR":                 {0xff, 0xfe},
	}
}

// appendToAll appends a record to each partition, as software other than an entry could.
func appendToAll(ctx context.Context, c *quicktest.C, s *System, r ledger.Record) {
	for p := range s.Store.Partitions {
		_, err := s.Store.Append(ctx, p, []ledger.Record{r}, nil)
		c.Assert(err, quicktest.IsNil)
	}
}

// checkJobsComplete submits stored jobs and restarts an entry between them, so that the other
// one reads all records again. It checks that the jobs complete.
func checkJobsComplete(ctx context.Context, c *quicktest.C, s *System) {
	var jobs []job.Submission
	for i := range 6 {
		j := storedJob(0xabc000+i, 2, 100*time.Millisecond)
		jobs = append(jobs, j)
		if i == 3 {
			s.KillEntry(0)
		}
		c.Check(s.Ledger(1).Accept(ctx, j) == nil, quicktest.IsTrue)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
	_, err := s.Ledger(1).State(ctx, otherJob)
	c.Check(err != nil && err.Kind == errkind.JobUnknown, quicktest.IsTrue, quicktest.Commentf("%v", err))
	c.Check(s.CheckStored(jobs), quicktest.HasLen, 0)
	for _, j := range jobs {
		state, err := s.Ledger(1).State(ctx, j.ID)
		c.Check(err == nil && state == job.Completed, quicktest.IsTrue, quicktest.Commentf("job %s: %s %v", j.ID, state, err))
	}
}

// Guards against an entry that ends, and whose successors end as well, because of a record of an
// accepted job that no entry has written, and against such a record that hides other jobs.
func TestFalseSubmissionsAreIgnored(t *testing.T) {
	for name, value := range falseSubmissions() {
		t.Run(name, func(t *testing.T) {
			withStoredSystem(t, 3, func(ctx context.Context, c *quicktest.C, s *System) {
				appendToAll(ctx, c, s, ledger.Record{Key: "a" + otherJob, Value: value})
				checkJobsComplete(ctx, c, s)
			})
		})
	}
}

// Guards against records of other kinds that no entry has written and that end an entry or hide
// the jobs of others.
func TestFalseRecordsAreIgnored(t *testing.T) {
	encode := func(v any) []byte {
		b, err := cbor.Marshal(v)
		if err != nil {
			panic(err) // encoding strings and numbers cannot fail
		}
		return b
	}
	type end struct {
		Agent string   `cbor:"1,keyasint"`
		Run   wire.Run `cbor:"2,keyasint"`
	}
	nested := []byte(strings.Repeat("\x81", 1_000_000) + "\x01")
	for name, r := range map[string]ledger.Record{
		"unknown state":              {Key: "p" + otherJob, Value: encode(job.Progress{State: "asleep"})},
		"progress of no job":         {Key: "p" + otherJob, Value: encode(job.Progress{Done: []job.TaskSet{nil, {255}}})},
		"negative failures":          {Key: "p" + otherJob, Value: encode(job.Progress{Failures: map[string]int{"x": -1}})},
		"progress, deep nesting":     {Key: "p" + otherJob, Value: nested},
		"progress, no CBOR":          {Key: "p" + otherJob, Value: []byte{0xff}},
		"cancellation of no job":     {Key: "c" + otherJob, Value: nested},
		"end of no task":             {Key: "e" + otherJob, Value: encode(end{"a", wire.Run{Task: "x"}})},
		"end of a task out of range": {Key: "e" + otherJob, Value: encode(end{"a", wire.Run{Task: storedJob(0xabc000, 1, 0).ID + ".0.9.9223372036854775807", Number: math.MaxUint32}})},
		"end, deep nesting":          {Key: "e" + otherJob, Value: nested},
		"owner, largest epoch":       {Key: "owner", Value: encode(uint64(math.MaxUint64))},
		"owner, negative epoch":      {Key: "owner", Value: encode(-1)},
		"owner, no CBOR":             {Key: "owner", Value: []byte{0xff}},
		"empty key":                  {Value: encode("x")},
		"short key":                  {Key: "a", Value: encode("x")},
		"unknown kind":               {Key: "zz", Value: encode("x")},
		"key is no text":             {Key: "a\xff\xfe\x00", Value: encode("x")},
	} {
		t.Run(name, func(t *testing.T) {
			withStoredSystem(t, 3, func(ctx context.Context, c *quicktest.C, s *System) {
				appendToAll(ctx, c, s, r)
				checkJobsComplete(ctx, c, s)
			})
		})
	}
}
