package wire

// MemberStatement states how far an entry has read the members stream. If
// NoPendingAppend is set, every record that the entry appends with a timestamp before
// AtMS has an offset below Next.
type MemberStatement struct {
	// Next is the offset up to which the entry has applied the stream.
	Next uint64 `cbor:"1,keyasint"`
	// AtMS is a lower bound of the platform's clock, in Unix ms, when the statement was
	// made.
	AtMS int64 `cbor:"2,keyasint"`
	// NoPendingAppend is set when no append of the entry is in progress.
	NoPendingAppend bool `cbor:"3,keyasint,omitempty"`
}

// Sponsor asks a member to append the join record of the sender, with its address and
// location. The reply is an Ack, or a Refused.
type Sponsor struct {
	Address    string `cbor:"1,keyasint"`
	Region     string `cbor:"2,keyasint,omitempty"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
}

// MessageType implements Message.
func (*Sponsor) MessageType() Type { return TypeSponsor }
