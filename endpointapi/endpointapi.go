// Package endpointapi defines the interface through which an agent controls the endpoint
// on its host, and the endpoint's announcements. Package executor uses the interface and
// package platform implements it.
package endpointapi

import (
	"context"
	"time"

	"oriolerelay/wire"
)

// Endpoint controls an endpoint.
type Endpoint interface {
	Start(ctx context.Context, o StartRequest) StartReply
	// Stop stops a run. After a nil error the run no longer executes, and a start of it
	// that arrives later is rejected.
	Stop(ctx context.Context, o StopRequest) error
	// Observe extends the lease of all runs and returns their state.
	Observe(ctx context.Context, o ObserveRequest) (Observation, error)
}

// StartRequest asks an endpoint to start one run.
type StartRequest struct {
	Instance string
	Run      wire.Run
	Payload  string
	// LeaseEnd is a time on the endpoint's clock. The endpoint rejects a start that
	// arrives later, and stops its runs at that time unless the lease is extended.
	LeaseEnd     time.Duration
	FencingToken FencingToken
}

// FencingToken orders the calls to an endpoint. An endpoint ignores a call with a lower token
// than the highest that it has seen since its start.
type FencingToken uint64

// StartResult is the outcome of a start.
type StartResult uint8

// Start results.
const (
	// StartUnknown means that there was no reply: the run may have started or may still
	// start.
	StartUnknown StartResult = iota
	StartAccepted
	StartNoCapacity
	StartOldRun       // this run or a later one of the task has ended at the endpoint
	StartLeaseExpired // the start arrived after its LeaseEnd
	StartRejected     // the run was not started
	StartOtherInstance
	StartInvalid
	StartEndpointDown // no process listens at the endpoint's address
	StartFenced       // the endpoint has seen a higher fencing token and ignored the call
)

var startResultNames = [...]string{
	StartUnknown: "unknown", StartAccepted: "accepted", StartNoCapacity: "no_room", StartOldRun: "old", StartLeaseExpired: "late",
	StartRejected: "refused", StartOtherInstance: "other_instance", StartInvalid: "invalid", StartEndpointDown: "endpoint_down",
	StartFenced: "fenced",
}

// String returns the name of r for logs and traces.
func (r StartResult) String() string {
	if int(r) < len(startResultNames) {
		return startResultNames[r]
	}
	return "unknown"
}

// StartReply is the reply to a StartRequest.
type StartReply struct {
	Result StartResult
	// Clock is the endpoint's clock at the time of the reply; 0 if unknown.
	Clock time.Duration
	Err   error
}

// StopRequest asks an endpoint to stop one run.
type StopRequest struct {
	Instance     string
	Run          wire.Run
	FencingToken FencingToken
}

// ObserveRequest extends the lease and asks for the state of the runs.
type ObserveRequest struct {
	Instance string
	// LeaseEnd is a time on the endpoint's clock; 0 does not extend the lease.
	LeaseEnd time.Duration
	// AckedSequence is the Sequence of the last end that the endpoint need not keep.
	AckedSequence uint64
	// MaxWait is the longest time that the endpoint may delay its reply to wait for the end
	// of a run.
	MaxWait      time.Duration
	FencingToken FencingToken
}

// Observation is the state of an endpoint's runs.
type Observation struct {
	Clock time.Duration
	// StartMillis is the Unix time in ms at which the endpoint started, 0 if unknown. An
	// endpoint can restart under the same instance id.
	StartMillis int64
	Running     []RunningRun
	Ended       []EndedRun
}

// RunningRun is a run that still executes. Percent is its progress.
type RunningRun struct {
	Run     wire.Run
	Percent int
}

// EndedRun is a run that has ended. Sequence numbers the ends within an incarnation of the
// endpoint from 1.
type EndedRun struct {
	Sequence uint64
	Run      wire.Run
	End      End
}

// End is the way a run ended.
type End uint8

// Ways a run can end.
const (
	EndUnknown End = iota
	EndDone
	EndFailed
	EndStopped
	EndLeaseExpired   // the lease expired
	EndGangBroken     // another task of the gang ended
	EndGangIncomplete // the other tasks of the gang did not start in time
)

// Errors of Stop and Observe, and of a StartReply.
type (
	// DownError reports that no process listens at the endpoint's address.
	DownError struct{ Err error }
	// OtherInstanceError reports that another incarnation of the endpoint answered.
	OtherInstanceError struct{ Instance string }
	// FencedError reports that the endpoint has seen a higher fencing token and ignored the call.
	FencedError struct{}
)

func (e *DownError) Error() string { return "endpoint is down: " + e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *DownError) Unwrap() error { return e.Err }

func (e *OtherInstanceError) Error() string {
	return "another incarnation of the endpoint answered: " + e.Instance
}

func (e *FencedError) Error() string { return "endpoint has seen a higher fencing token" }

// Announcement describes an endpoint and its state, as the endpoint announces it. It is
// stored as JSON under the names of its fields and of those of wire.Profile.
type Announcement struct {
	Profile     wire.Profile
	StartMillis int64 `json:"Born"` // Unix ms at which the endpoint started
	Sequence    uint64
	Draining    bool
	Clock       time.Duration
}
