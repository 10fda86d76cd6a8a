// Package entry is the front of the system: it serves the HTTP APIs of callers
// and operators, brings each submission to its home, and accepts the internal
// connections of agents and of peer entries. It owns no control state.
package entry

import (
	"context"
	"time"

	"oriolerelay/dispatch"
	"oriolerelay/ids"
	"oriolerelay/transport"
)

// Bounds of the callers' API. A submission of the largest size still fits one
// forward between entries.
const (
	MaxTasks           = 150
	MaxBodyBytes       = 1 << 20
	MaxPayloadBytes    = 64 << 10
	MaxJobPayloadBytes = 512 << 10
	MaxIssuedIDs       = 1000
)

// Dispatcher runs jobs at their home.
type Dispatcher interface {
	// Do runs job and returns its final answer. The end of ctx withdraws the job.
	Do(ctx context.Context, job dispatch.Job) dispatch.Answer
	// AgentHandler returns the handler of a connection whose peer is an agent.
	AgentHandler(c *transport.Conn) transport.Handler
	// Endpoints lists the endpoints that this entry knows.
	Endpoints() []dispatch.EndpointStatus
}

// Homes places caller-chosen ids.
type Homes interface {
	// Home returns the home of a caller-chosen id, or home_unknown when the
	// membership at submittedAt is not completely known.
	Home(sub ids.Submission, team string, submittedAt time.Time) (ids.Incarnation, error)
}
