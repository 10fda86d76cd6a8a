// Package entry is the front of the system: it serves the HTTP APIs of callers
// and operators, brings each submission to its home, and accepts the internal
// connections of agents and of peer entries. It owns no control state.
package entry

import (
	"context"
	"time"

	"oriolerelay/dispatch"
	"oriolerelay/ids"
	"oriolerelay/ticket"
	"oriolerelay/transport"
	"oriolerelay/wire"
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
	// PushState sends a configuration to all agents and to each later one.
	PushState(s wire.State)
	// Endpoints lists the endpoints that this entry knows.
	Endpoints() []dispatch.EndpointStatus
}

// Tickets keeps the configuration in force.
type Tickets interface {
	// Load returns the newest state; its number is 0 while none is known.
	Load() *ticket.State
	// Changed returns a channel that is closed when a newer state is in force.
	Changed() <-chan struct{}
	// Encoded returns the state as JSON with its number.
	Encoded() (number uint64, state []byte, err error)
	// Offer takes the state of a peer if it is newer.
	Offer(state []byte) error
	// Fold returns the fold of the log, and false while it was not read completely.
	Fold() (ticket.Fold, bool)
	// Submit sends a ticket and returns its verdict after it was read back.
	Submit(ctx context.Context, t *ticket.Ticket) (ticket.Verdict, error)
}

// Members knows the entries.
type Members interface {
	// Home returns the home of a submission. Its errors are of kind HomeUnknown,
	// when the membership at submittedAt is not completely known, SubmissionStale,
	// when it is no longer known, and HomeLost, when the home was replaced.
	Home(id ids.Submission, team string, submittedAt time.Time) (ids.Incarnation, error)
	// Left reports whether node has left or was replaced.
	Left(node ids.Incarnation) bool
	// Addresses lists the entries of the newest view.
	Addresses() []wire.EntryAddress
	// ReportSilent names the members without contact for some seconds; it replaces
	// the earlier report.
	ReportSuspects(nodes []ids.Incarnation)
}
