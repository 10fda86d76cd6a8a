// Package entry implements the frontend of the system: it serves the HTTP APIs of
// callers and operators, forwards each submission to its home entry, and accepts
// the internal connections of agents and of peer entries. It owns no control state.
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

// Limits of the callers' API. A submission of the largest size fits into one
// wire.Forward message between entries.
const (
	MaxTasks           = 150
	MaxBodyBytes       = 1 << 20
	MaxPayloadBytes    = 64 << 10
	MaxJobPayloadBytes = 512 << 10
	MaxIssuedIDs       = 1000
)

// Dispatcher runs jobs at their home.
type Dispatcher interface {
	// Do runs job and returns its final answer. The end of ctx cancels the job.
	Do(ctx context.Context, job dispatch.Job) dispatch.Answer
	// AgentHandler returns the handler of a connection whose peer is an agent.
	AgentHandler(c *transport.Conn) transport.Handler
	// PushState sends a configuration to all connected agents and to each agent that
	// connects later.
	PushState(s wire.State)
	// Endpoints lists the endpoints that this entry knows.
	Endpoints() []dispatch.EndpointStatus
}

// Tickets holds the configuration in force and accepts changes to it.
type Tickets interface {
	// Load returns the newest state. Its number is 0 while no configuration is known.
	Load() *ticket.Config
	// Changed returns a channel that is closed when a newer state takes effect.
	Changed() <-chan struct{}
	// Encoded returns the state encoded as JSON, and its number.
	ExportConfig() (number uint64, state []byte, err error)
	// Offer adopts the state of a peer if it is newer.
	ImportConfig(state []byte) error
	// Fold returns the result of applying the log, and false until the log has been
	// read completely.
	LogState() (ticket.LogState, bool)
	// Submit appends a ticket to the log and returns its verdict after the ticket has
	// been read back.
	Submit(ctx context.Context, t *ticket.Ticket) (ticket.Verdict, error)
}

// Members tracks the membership of the entries and places submissions.
type Members interface {
	// Home returns the home of a submission. Its errors are of kind HomeUnknown if
	// the membership at submittedAt is not completely known, SubmissionStale if it is
	// no longer known, and HomeLost if the home was replaced.
	Home(id ids.Submission, team string, submittedAt time.Time) (ids.Incarnation, error)
	// Left reports whether node has left or was replaced.
	HasLeft(node ids.Incarnation) bool
	// Addresses lists the entries of the newest view.
	Addresses() []wire.EntryAddress
	// ReportSuspects names the members that have been out of contact for some
	// seconds. Each report replaces the previous one.
	ReportSuspects(nodes []ids.Incarnation)
}
