// Package dispatch runs jobs at their home entry, which is the entry that owns a
// submission. It admits jobs, chooses endpoints, sends tasks to agents and assembles
// the answers. It settles tasks whose replies may have been lost, which means that it
// asks the agent for their state.
package dispatch

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// Job is a validated submission at its home entry.
type Job struct {
	Submission  ids.Submission
	Team        string
	Service     string
	Kind        string
	Request     bool // a single request, which has exactly one task
	Deadline    time.Time
	Tasks       []Task
	TraceParent string
}

// Task is one task of a job.
type Task struct {
	Payload         []byte
	Demand          wire.Resources
	DeclaredRunTime time.Duration // zero if not declared
}

// Answer is the final answer of a job. Err is nil if every task is done; otherwise
// it is the error that ended the job, and no task has a body.
type Answer struct {
	Err     *errkind.Error
	Tasks   []TaskAnswer
	Started int // tasks that started or may have started
}

// TaskAnswer is the final state of one task.
type TaskAnswer struct {
	Outcome errkind.Outcome
	Kind    errkind.Kind // empty if done
	Body    []byte       // set only if all tasks of the job are done
}

// EndpointStatus is the status of an endpoint as known to this entry.
type EndpointStatus struct {
	Agent      ids.Incarnation `json:"agent"`
	Service    string          `json:"service"`
	Worker     string          `json:"worker"`
	Rack       string          `json:"rack"`
	DataCentre string          `json:"data_centre"`
	Region     string          `json:"region"`
	Slots      int             `json:"slots"`
	InFlight   int             `json:"in_flight"`
	Draining   bool            `json:"draining"`
	Ejected    bool            `json:"ejected"`
}
