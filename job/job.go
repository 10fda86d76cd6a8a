// Package job holds what callers submit and what operators configure: jobs with
// steps and tasks, queues, services, and the limits of the callers' interface.
// It decides nothing.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"oriolerelay/wire"
)

// Submission is a job as a caller handed it in.
type Submission struct {
	ID    string
	Queue Queue
	// Payload is handed to the endpoint with each task.
	Payload string
	Steps   []Step
	// Ephemeral jobs are not stored: the caller waits for the end of the job and
	// submits it again if the answer is lost.
	Ephemeral bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"Lasting"`
	// Repeat is the number of occurrences; 0 for a job that runs once, at once.
	Repeat int
	// CallerTimeout is how long the caller waits for an answer; 0 when not stated.
	CallerTimeout time.Duration `cbor:"Patience"`
	// Elapsed is the time since the caller's request arrived, for a job that another entry
	// has passed on.
	Elapsed time.Duration `cbor:",omitempty"`
	// CallerGone reports, without waiting, whether the caller's connection has ended. It is
	// nil where that is not known: at an entry that another one has passed the job to.
	CallerGone func() bool `cbor:"-"`
	// Trace is the W3C traceparent below which the job runs; empty when it is not traced.
	Trace string `cbor:",omitempty"`
}

// Step is a group of like tasks.
type Step struct {
	Count    int
	Size     wire.Resources
	Estimate time.Duration // declared by the caller, often far off
	After    []int         // earlier steps that must be done first
	Label    string        // label that the endpoint must have
	DataRack string        // rack in which the task runs faster
	// MaxPerEndpoint bounds the tasks of the step on one endpoint; 0 for no bound.
	MaxPerEndpoint int
	// Together means that the tasks work only while all of them are present.
	Together bool
	SameRack bool
	// Filler tasks use the room that other tasks leave.
	Filler bool
}

// Tasks returns the number of tasks of all steps.
func (s *Submission) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// LongestTask returns the longest declared run time of a task.
func (s *Submission) LongestTask() (longest time.Duration) {
	for i := range s.Steps {
		longest = max(longest, s.Steps[i].Estimate)
	}
	return longest
}

// MilliCores returns what the tasks need that can begin at once, in thousandths of a core.
func (s *Submission) MilliCores() (n uint64) {
	for i := range s.Steps {
		if st := &s.Steps[i]; len(st.After) == 0 {
			n += uint64(st.Count) * uint64(st.Size.MilliCores)
		}
	}
	return n
}

// Unsupported names the first feature of the job that this version does not run,
// or returns an empty string.
func (s *Submission) Unsupported() string {
	switch {
	case s.LongRunning:
		return "lasting job"
	case s.Repeat > 0:
		return "repeated job"
	}
	for i := range s.Steps {
		if s.Steps[i].Together {
			return "tasks that run together"
		}
		if s.Steps[i].Filler {
			return "filler tasks"
		}
	}
	return ""
}

// Validate returns an error for a job that is malformed.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("the job has no step")
	}
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count <= 0 {
			return fmt.Errorf("step %d has %d tasks", i, st.Count)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d comes after step %d, which is not an earlier step", i, a)
			}
		}
	}
	return nil
}

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID is the inverse of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task id %q is not JOB.OCCURRENCE.STEP.INDEX", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task id %q: %q is not a number", s, parts[i+1])
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// State is the state of a job.
type State string

// States. The first two are those of a job that is not over.
const (
	Queued    State = "queued"
	Running   State = "running"
	Cancelled State = "cancelled"
	Completed State = "completed"
	Failed    State = "failed"
)
