package wire

import "slices"

// Messages between an entry that has taken a job from a caller and an entry that
// places its tasks.

// Message types of job placement.
const (
	TypePlace           Type = 23
	TypePlaceResult     Type = 24
	TypeWithdraw        Type = 25
	TypePlacementStatus Type = 26
	TypeEntryDraining   Type = 27
	TypeEvacuated       Type = 28
)

// Place asks an entry to run a job. It is answered by Placed.
type Place struct {
	// Number is the number of the job on this connection; it rises from 1.
	Number uint64 `cbor:"1,keyasint"`
	// Job is the encoded submission.
	Job []byte `cbor:"2,keyasint"`
}

// Placed is the outcome of a job.
type PlaceResult struct {
	Number uint64 `cbor:"1,keyasint"`
	State  string `cbor:"2,keyasint,omitempty"`
	// Kind is the error kind; empty when State is set.
	Kind             string `cbor:"3,keyasint,omitempty"`
	Detail           string `cbor:"4,keyasint,omitempty"`
	RetryAfterMillis uint32 `cbor:"5,keyasint,omitempty"`
}

// Withdraw ends jobs whose callers have gone.
type Withdraw struct {
	Numbers []uint64 `cbor:"1,keyasint"`
}

// Rooms states the room that an entry can place tasks in.
type PlacementStatus struct {
	Services []ServiceLoad `cbor:"1,keyasint,omitempty"`
	// Taken is the highest Number that the sender has taken on this connection.
	Accepted uint64 `cbor:"2,keyasint,omitempty"`
	// Closed is set when the sender takes no more jobs.
	Closed bool `cbor:"3,keyasint,omitempty"`
	// Leaving is set when the sender will stop: it takes jobs only where no other entry can.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Labels are the labels of the endpoints by service, if they have changed since the
	// last message on this connection.
	Labels []ServiceLabels `cbor:"4,keyasint,omitempty"`
}

// ServiceLabels are the labels that endpoints of a service have.
type ServiceLabels struct {
	Service string   `cbor:"1,keyasint"`
	Labels  []string `cbor:"2,keyasint"`
}

// ServiceRoom is the room at the endpoints of a service, in thousandths of a core.
type ServiceLoad struct {
	Service  string `cbor:"1,keyasint"`
	Capacity uint64 `cbor:"2,keyasint"`
	// Used is what runs use, and Waiting what tasks wait for.
	Used    uint64 `cbor:"3,keyasint"`
	Waiting uint64 `cbor:"4,keyasint"`
}

// Leaving tells agents that the entry that sends it will stop, so that they serve
// another one.
type EntryDraining struct{}

// Emptied tells which data centres the operator has asked to be emptied: no task begins at
// their endpoints. Processes that the store does not serve learn it from those that it does.
type Evacuated struct {
	// Version rises with each change; of two messages the one with the higher counts.
	Version     uint64   `cbor:"1,keyasint"`
	DataCentres []string `cbor:"2,keyasint,omitempty"`
}

// Has reports whether a data centre is to be emptied.
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
