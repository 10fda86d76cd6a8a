// Package dispatch runs jobs at their home: it chooses endpoints, sends tasks to
// agents, settles tasks whose replies were lost and assembles the answers.
package dispatch

import (
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/wire"
)

// Job is a validated submission at its home.
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
	DeclaredRunTime time.Duration // declared run time; zero when not declared
}

// Answer is the final answer of a job. Err is nil when every task is done;
// otherwise it is the first failure, and no task carries a body.
type Answer struct {
	Err     *errkind.Error
	Tasks   []TaskAnswer
	Started int // tasks that started or may have started
}

// TaskAnswer is the final state of one task.
type TaskAnswer struct {
	Outcome errkind.Outcome
	Kind    errkind.Kind // empty when done
	Body    []byte       // set only in a complete job
}

// EndpointStatus describes one endpoint as an entry sees it.
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
