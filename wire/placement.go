package wire

import "slices"

// Messages between an entry that has accepted a job from a caller and the placement
// entry that it forwards the job to. Metrics name PlaceResult "placed", PlacementStatus
// "rooms", EntryDraining "leaving" and Evacuated "emptied".

// Message types of job placement.
const (
	TypePlace           Type = 23
	TypePlaceResult     Type = 24
	TypeWithdraw        Type = 25
	TypePlacementStatus Type = 26
	TypeEntryDraining   Type = 27
	TypeEvacuated       Type = 28
)

// Place forwards a job to a placement entry. It is answered by a PlaceResult.
type Place struct {
	// Number numbers the forwarded jobs of this connection from 1.
	Number uint64 `cbor:"1,keyasint"`
	// Job is the submission as CBOR.
	Job []byte `cbor:"2,keyasint"`
	// StatusClockMillis is the newest ClockMillis that the sender has received on this
	// connection; 0 if it has received none.
	StatusClockMillis uint64 `cbor:"3,keyasint,omitempty"`
}

// PlaceResult is the outcome of a forwarded job.
type PlaceResult struct {
	Number uint64 `cbor:"1,keyasint"`
	State  string `cbor:"2,keyasint,omitempty"`
	// Kind is the error kind; empty when State is set.
	Kind             string `cbor:"3,keyasint,omitempty"`
	Detail           string `cbor:"4,keyasint,omitempty"`
	RetryAfterMillis uint32 `cbor:"5,keyasint,omitempty"`
	// ClockMillis is the sender's clock as in PlacementStatus.
	ClockMillis uint64 `cbor:"6,keyasint,omitempty"`
	// HandoverTo is the incarnation of the placement entry at which a job that was returned unstarted is
	// to be placed; empty for other outcomes.
	HandoverTo string `cbor:"7,keyasint,omitempty"`
}

// Withdraw stops forwarded jobs whose callers disconnected.
type Withdraw struct {
	Numbers []uint64 `cbor:"1,keyasint"`
}

// PlacementStatus is the state of a placement entry: the load of the services whose
// tasks it can place and whether it accepts jobs.
type PlacementStatus struct {
	Services []ServiceLoad `cbor:"1,keyasint,omitempty"`
	// Accepted is the highest Number that the sender has accepted on this connection.
	Accepted uint64 `cbor:"2,keyasint,omitempty"`
	// Closed is set when the sender accepts no more jobs.
	Closed bool `cbor:"3,keyasint,omitempty"`
	// Draining is set when the sender will stop: it accepts only jobs that no other entry
	// can place.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Labels holds the labels of the endpoints by service. It is empty if they have not
	// changed since the last message on this connection.
	Labels []ServiceLabels `cbor:"4,keyasint,omitempty"`
	// ClockMillis is the sender's clock in ms, which the receiver returns in its Place and
	// Heartbeat messages. It is never 0.
	ClockMillis uint64 `cbor:"6,keyasint,omitempty"`
	// Shares holds the sender's decisions on jobs. It is sent only to placement entries, if fair
	// shares are enabled and jobs are refused.
	Shares []ServiceShares `cbor:"7,keyasint,omitempty"`
}

// ServiceShares holds the recent decisions of an entry on jobs of a service, by the groups between
// which capacity is divided.
type ServiceShares struct {
	Service string       `cbor:"1,keyasint"`
	Queues  []GroupCount `cbor:"2,keyasint,omitempty"` // one for each size class
	// DataCentres are those of the entries that received the jobs from their callers.
	DataCentres []GroupCount `cbor:"3,keyasint,omitempty"`
}

// GroupCount is the work of the decided jobs of a group, in thousandths of a declared core-second, and
// the sum of its squares, in thousandths.
type GroupCount struct {
	Name      string `cbor:"1,keyasint"`
	SizeClass uint8  `cbor:"2,keyasint,omitempty"`
	Started   uint64 `cbor:"3,keyasint,omitempty"`
	Refused   uint64 `cbor:"4,keyasint,omitempty"`
	Squares   uint64 `cbor:"5,keyasint,omitempty"`
}

// ServiceLabels lists the labels of the endpoints of a service.
type ServiceLabels struct {
	Service string   `cbor:"1,keyasint"`
	Labels  []string `cbor:"2,keyasint"`
}

// ServiceLoad is the total capacity and load of the endpoints of a service, in
// thousandths of a core.
type ServiceLoad struct {
	Service  string `cbor:"1,keyasint"`
	Capacity uint64 `cbor:"2,keyasint"`
	// Used is the demand of the current runs, Waiting that of the queued tasks.
	Used    uint64 `cbor:"3,keyasint"`
	Waiting uint64 `cbor:"4,keyasint"`
	// Usable is the free capacity on endpoints with room for a task of a typical size, in whole tasks,
	// and LargestFree the largest free capacity on one of them. Both are 0 if the sender takes no jobs
	// that others return.
	Usable      uint64 `cbor:"5,keyasint,omitempty"`
	LargestFree uint64 `cbor:"6,keyasint,omitempty"`
}

// EntryDraining tells agents that the sending entry will stop, so that they serve
// another one.
type EntryDraining struct{}

// Evacuated lists the data centres that the operator evacuates: no task is started at
// their endpoints. Processes that cannot reach the platform store learn of it from those
// that can.
type Evacuated struct {
	// Version increases with each change; the highest version applies.
	Version     uint64   `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// Has reports whether a data centre is evacuated.
func (m *Evacuated) Has(dataCentre string) bool { return slices.Contains(m.DataCentres, dataCentre) }

// MessageType implements Message.
func (*Place) MessageType() Type           { return TypePlace }
func (*PlaceResult) MessageType() Type     { return TypePlaceResult }
func (*Withdraw) MessageType() Type        { return TypeWithdraw }
func (*PlacementStatus) MessageType() Type { return TypePlacementStatus }
func (*EntryDraining) MessageType() Type   { return TypeEntryDraining }
func (*Evacuated) MessageType() Type       { return TypeEvacuated }

// newPlaceMessage returns an empty message of a type of this file, or nil.
func newPlaceMessage(t Type) Message {
	switch t {
	case TypePlace:
		return new(Place)
	case TypePlaceResult:
		return new(PlaceResult)
	case TypeWithdraw:
		return new(Withdraw)
	case TypePlacementStatus:
		return new(PlacementStatus)
	case TypeEntryDraining:
		return new(EntryDraining)
	case TypeEvacuated:
		return new(Evacuated)
	}
	return nil
}
