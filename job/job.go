// Package job defines the jobs that callers submit, with their steps and tasks, and the queues,
// services and request limits that operators configure. It makes no scheduling decisions.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"oriolerelay/wire"
)

// Submission is a job as submitted by a caller. It is encoded under the Go names of its fields,
// unless a tag keeps an earlier name.
type Submission struct {
	ID    string
	Queue Queue
	// ConfigVersion is the version of the configuration that Queue is from; 0 if it is not known.
	ConfigVersion uint64 `cbor:",omitempty"`
	// Payload is passed to the endpoint with each task.
	Payload string
	Steps   []Step
	// Ephemeral jobs are not stored: the caller waits until the job ends and submits it again if
	// the answer is lost.
	Ephemeral bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"Lasting"`
	// Repeat is the number of occurrences; 0 for a job that runs once, immediately.
	Repeat int
	// CallerTimeout is how long the caller waits for an answer; 0 if not stated.
	CallerTimeout time.Duration `cbor:"Patience"`
	// Elapsed is the time since the caller's request arrived, for a job that another entry has
	// forwarded.
	Elapsed time.Duration `cbor:",omitempty"`
	// ReturnedBy is the incarnation of the placement entry that has returned the job unstarted; empty if
	// none has. A job is returned once at most.
	ReturnedBy string `cbor:",omitempty"`
	// CallerDisconnected reports, without blocking, whether the caller's connection has closed.
	// It is nil if that is unknown, as at an entry to which another one has forwarded the job.
	CallerDisconnected func() bool `cbor:"-"`
	// Trace is the W3C traceparent of the parent span; empty if the job is not traced.
	Trace string `cbor:",omitempty"`
	// Origin is the data centre of the entry that received the job from its caller; empty without
	// fair shares.
	Origin string `cbor:",omitempty"`
	// RefusedBefore is set if another placement entry has refused the job; it is not set without fair
	// shares.
	RefusedBefore bool `cbor:",omitempty"`
}

// Returned is the cause of the error of a job that a placement entry has returned unstarted because the
// placement entry To has free capacity.
type Returned struct{ To string }

// Error implements error.
func (r *Returned) Error() string { return "entry " + r.To + " has free capacity" }

// Step is a group of tasks with the same requirements. It is encoded under the Go names of its
// fields, without empty ones: a body of the largest size can hold more than 20,000 steps.
type Step struct {
	Count    int
	Size     wire.Resources
	Estimate time.Duration `cbor:",omitempty"` // declared by the caller, often inaccurate
	After    []int         `cbor:",omitempty"` // earlier steps that must be completed first
	Label    string        `cbor:",omitempty"` // label that the endpoint must have
	DataRack string        `cbor:",omitempty"` // rack in which the task runs faster
	// MaxPerEndpoint bounds the tasks of the step on one endpoint; 0 means no bound.
	MaxPerEndpoint int `cbor:",omitempty"`
	// Together makes the tasks a gang: they work only while all of them are present.
	Together bool `cbor:",omitempty"`
	SameRack bool `cbor:",omitempty"`
	// Filler makes the tasks backfill tasks, which use capacity that other tasks leave.
	Filler bool `cbor:",omitempty"`
}

// Tasks returns the total number of tasks.
func (s *Submission) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// Upper estimates of the memory of a job that waits or runs.
const (
	jobBytes  = 1 << 10
	stepBytes = 256
	// TaskBytes is the memory of a task.
	TaskBytes = 384
)

// MemoryBytes returns an upper estimate of the memory of the job while it waits or runs.
func (s *Submission) MemoryBytes() int64 {
	n := jobBytes + len(s.Payload)
	for i := range s.Steps {
		st := &s.Steps[i]
		n += stepBytes + 8*len(st.After) + len(st.Label) + len(st.DataRack)
	}
	return int64(n) + TaskBytes*int64(s.Tasks())
}

// LongestTask returns the longest declared run time of a task.
func (s *Submission) LongestTask() (longest time.Duration) {
	for i := range s.Steps {
		longest = max(longest, s.Steps[i].Estimate)
	}
	return longest
}

// MilliCores returns the processor demand of the tasks that can start at once, in thousandths
// of a core.
func (s *Submission) MilliCores() (n uint64) {
	for i := range s.Steps {
		if st := &s.Steps[i]; len(st.After) == 0 {
			n += uint64(st.Count) * uint64(st.Size.MilliCores)
		}
	}
	return n
}

// Unsupported names the first feature of the job that this version does not support, or
// returns an empty string.
func (s *Submission) Unsupported() string {
	switch {
	case s.LongRunning:
		return "long-running job"
	case s.Repeat > 0:
		return "repeated job"
	}
	for i := range s.Steps {
		if s.Steps[i].Together {
			return "gang of tasks"
		}
		if s.Steps[i].Filler {
			return "backfill tasks"
		}
	}
	return ""
}

const (
	// MaxTasks is the maximum number of tasks of a job. An entry allocates the state of all of them
	// when it admits the job.
	MaxTasks = 1 << 16
	// MaxEstimate is the maximum declared run time of a task. The sum over MaxTasks steps does not
	// overflow.
	MaxEstimate = 24 * time.Hour
)

// Validate returns an error if the job is malformed.
func (s *Submission) Validate() error {
	if len(s.Steps) == 0 {
		return fmt.Errorf("the job has no steps")
	}
	tasks := 0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.Count <= 0 {
			return fmt.Errorf("step %d has %d tasks", i, st.Count)
		}
		if st.Count > MaxTasks-tasks {
			return fmt.Errorf("the job has more than %d tasks", MaxTasks)
		}
		tasks += st.Count
		if st.Estimate < 0 || st.Estimate > MaxEstimate {
			return fmt.Errorf("the estimate of step %d is not between 0 and %s", i, MaxEstimate)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d depends on step %d, which is not an earlier step", i, a)
			}
		}
	}
	return nil
}

// TaskID identifies one task of a job.
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
			return TaskID{}, fmt.Errorf("task id %q: %q is not a non-negative integer", s, parts[i+1])
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// State is the state of a job.
type State string

// States of a job. All but the first two are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Cancelled State = "cancelled"
	Completed State = "completed"
	Failed    State = "failed"
)
