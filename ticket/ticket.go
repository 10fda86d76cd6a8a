package ticket

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"oriolerelay/errkind"
)

// MaxTicketBytes limits the JSON of one ticket.
const MaxTicketBytes = 64 << 10

// Ticket is a change of the configuration. It contains each changed object in full; a
// nil object is removed.
type Ticket struct {
	// Number must be the last accepted number plus one.
	Number uint64 `json:"number"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	// Restart marks a ticket that contains the whole configuration and is submitted
	// after all earlier tickets expired without a snapshot. It may have any number.
	Restart  bool                `json:"restart,omitempty"`
	Services map[string]*Service `json:"services,omitempty"`
	Teams    map[string]*Team    `json:"teams,omitempty"`
}

// Hash identifies the content of a ticket. Two submissions with the same hash are
// the same ticket.
func (t *Ticket) Hash() string {
	b, err := json.Marshal(t)
	if err != nil {
		// Only NaN and infinity cannot be encoded, and no decoded ticket contains them.
		return ""
	}
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

// Decode decodes a ticket of an operator. Unknown fields are an error.
func Decode(b []byte) (*Ticket, error) {
	if len(b) > MaxTicketBytes {
		return nil, errkind.New(errkind.BodyTooLarge, "ticket of %d bytes exceeds the limit of %d", len(b), MaxTicketBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	var t Ticket
	if err := dec.Decode(&t); err != nil {
		return nil, errkind.New(errkind.TicketInvalid, "decode ticket: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errkind.New(errkind.TicketInvalid, "decode ticket: unexpected data after the JSON object")
	}
	return &t, nil
}

// recordType is the type of a ticket record in the stream.
const recordType = "ticket"

// record is the encoding of a ticket in the stream.
type record struct {
	Type   string  `json:"type"`
	Ticket *Ticket `json:"ticket"`
}

// decodeRecord decodes a record of the stream. Unknown fields are ignored, so that
// processes of different versions accept the same tickets.
func decodeRecord(value []byte) (*Ticket, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	if r.Type != recordType || r.Ticket == nil {
		return nil, fmt.Errorf("record of type %q is not a ticket", r.Type)
	}
	return r.Ticket, nil
}
