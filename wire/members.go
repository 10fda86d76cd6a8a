package wire

// MemberStatement is what an entry states about its knowledge of the members
// stream. If Quiet is set, each record that the entry appends and that is stamped
// before AtMS has an offset below Next.
type MemberStatement struct {
	// Next is the offset up to which the entry has folded the stream.
	Next uint64 `cbor:"1,keyasint"`
	// AtMS is a lower bound of the platform's time, in Unix ms, at the statement.
	AtMS int64 `cbor:"2,keyasint"`
	// Quiet means that no append of the entry is open.
	NoPendingAppend bool `cbor:"3,keyasint,omitempty"`
}

// Sponsor asks a member to append the join record of the sender, which names its
// address and place. The reply is an Ack, or a Refused.
type Sponsor struct {
	Address    string `cbor:"1,keyasint"`
	Region     string `cbor:"2,keyasint,omitempty"`
	DataCentre string `cbor:"3,keyasint,omitempty"`
}

// MessageType implements Message.
func (*Sponsor) MessageType() Type { return TypeSponsor }
