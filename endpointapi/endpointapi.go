// Package endpointapi describes how an agent controls the endpoint beside it and
// what the endpoint says of itself. Package executor uses it and the adapter of
// the platform implements it.
package endpointapi

import (
	"context"
	"time"

	"oriolerelay/wire"
)

// Endpoint is the control interface of an endpoint.
type Endpoint interface {
	Start(ctx context.Context, o StartRequest) StartReply
	// Stop stops a run. After a nil error the run does not execute any more and
	// a start of it that is still under way will be refused.
	Stop(ctx context.Context, instance string, run wire.Run) error
	// Observe extends the lease of everything that runs and returns the runs.
	Observe(ctx context.Context, o ObserveRequest) (Observation, error)
}

// StartOrder starts one run.
type StartRequest struct {
	Instance string
	Run      wire.Run
	Payload  string
	// LeaseEnd is a time on the endpoint's clock. The endpoint refuses a start that
	// arrives later, and ends what runs unless the lease is extended.
	LeaseEnd time.Duration
}

// StartResult is the outcome of a start.
type StartResult uint8

// Results of a start.
const (
	// StartUnknown means that there was no answer: the start may have been, or may
	// still be, carried out.
	StartUnknown StartResult = iota
	StartAccepted
	StartNoCapacity
	StartOldRun       // the run, or a higher one, has ended there
	StartLeaseExpired // the lease end had passed
	StartRefused      // nothing was done
	StartOtherInstance
	StartInvalid
	StartEndpointDown // no process listens
)

var startResultNames = [...]string{
	StartUnknown: "unknown", StartAccepted: "accepted", StartNoCapacity: "no_room", StartOldRun: "old", StartLeaseExpired: "late",
	StartRefused: "refused", StartOtherInstance: "other_instance", StartInvalid: "invalid", StartEndpointDown: "endpoint_down",
}

// String returns the name of r for logs and traces.
func (r StartResult) String() string {
	if int(r) < len(startResultNames) {
		return startResultNames[r]
	}
	return "unknown"
}

// StartReply answers a StartOrder.
type StartReply struct {
	Result StartResult
	// Clock is the endpoint's clock when it answered; 0 when not known.
	Clock time.Duration
	Err   error
}

// ObserveOrder extends the lease and asks for the runs.
type ObserveRequest struct {
	Instance string
	// LeaseEnd is a time on the endpoint's clock; 0 leaves the lease as it is.
	LeaseEnd time.Duration
	// Ack is the number of the last end that the endpoint may forget.
	AckedSequence uint64
	// Wait is how long the endpoint may hold the answer until a run ends.
	MaxWait time.Duration
}

// Observation is the endpoint's view of its runs.
type Observation struct {
	Clock time.Duration
	// Born is the Unix time of the endpoint's start in ms, 0 when not known. An
	// endpoint can start again under the same instance id.
	StartMillis int64
	Running     []RunningRun
	Ended       []EndedRun
}

// RunningRun is a run that executes. Percent is its progress.
type RunningRun struct {
	Run     wire.Run
	Percent int
}

// EndedRun is a run that has ended. Sequence numbers the ends of an incarnation
// of the endpoint from 1.
type EndedRun struct {
	Sequence uint64
	Run      wire.Run
	End      End
}

// End says how a run ended.
type End uint8

// Ends of a run.
const (
	EndUnknown End = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired   // the lease ended
	EndGangBroken     // another member of the group ended
	EndGangIncomplete // the other members of the group did not come
)

// Errors of Observe and Stop.
type (
	// DownError means that no process listens at the endpoint's address.
	DownError struct{ Err error }
	// OtherInstanceError means that another incarnation answered.
	OtherInstanceError struct{ Instance string }
)

func (e *DownError) Error() string { return "endpoint is down: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Err }

func (e *OtherInstanceError) Error() string {
	return "another incarnation of the endpoint answered: " + e.Instance
}

// Announcement is what an endpoint says of itself.
type Announcement struct {
	Profile     wire.Profile
	StartMillis int64 `json:"Born"` // Unix ms of the endpoint's start
	Sequence    uint64
	Draining    bool
	Clock       time.Duration
}
