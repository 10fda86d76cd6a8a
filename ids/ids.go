// Package ids defines the identifiers that processes exchange: incarnations of
// processes, submission ids and task keys.
package ids

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
)

// MaxSubmissionIDBytes is the maximum length of a submission id, including its region prefix.
const MaxSubmissionIDBytes = 128

var (
	namePattern     = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,39}$`)
	callerIDPattern = regexp.MustCompile(`^(?:([a-z0-9][a-z0-9-]{0,39}):)?[A-Za-z0-9][A-Za-z0-9_-]*$`)
)

// ValidName reports whether s is a valid name of a node, region, data centre, rack,
// service, kind or team: 1 to 40 lower-case letters, digits and hyphens.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Incarnation identifies one lifetime of a named process. Each restart gets a new number.
type Incarnation struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Number uint64 `cbor:"2,keyasint" json:"number"`
}

// NewIncarnation returns an incarnation of name with a random number. With 63 random bits
// the probability that two incarnations of one name get the same number is negligible.
func NewIncarnation(name string) Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return Incarnation{Name: name, Number: binary.BigEndian.Uint64(b[:]) >> 1}
}

// String returns "name.number" with the number in hexadecimal.
func (i Incarnation) String() string {
	return i.Name + "." + strconv.FormatUint(i.Number, 16)
}

// IsZero reports whether i is unset.
func (i Incarnation) IsZero() bool { return i.Name == "" }

// ParseIncarnation parses the form that String returns.
func ParseIncarnation(s string) (Incarnation, error) {
	name, number, ok := strings.Cut(s, ".")
	if !ok || !ValidName(name) {
		return Incarnation{}, fmt.Errorf("incarnation %q is not name.number", s)
	}
	n, err := strconv.ParseUint(number, 16, 64)
	if err != nil {
		return Incarnation{}, fmt.Errorf("incarnation %q: %w", s, err)
	}
	return Incarnation{Name: name, Number: n}, nil
}

// Submission is a parsed submission id. An issued id contains its home; a caller-chosen id
// may contain a region.
type Submission struct {
	Raw    string
	Home   Incarnation // zero for a caller-chosen id
	Region string      // set only if a caller-chosen id contains one
}

// Issued reports whether the id was issued by an entry.
func (s Submission) Issued() bool { return !s.Home.IsZero() }

// ParseSubmission parses an issued id (@entry.incarnation.sequence) or a
// caller-chosen id (optional "region:" prefix, then letters, digits, _ and -).
func ParseSubmission(raw string) (Submission, error) {
	if len(raw) == 0 || len(raw) > MaxSubmissionIDBytes {
		return Submission{}, fmt.Errorf("submission id must have 1 to %d bytes, got %d", MaxSubmissionIDBytes, len(raw))
	}
	if issued, ok := strings.CutPrefix(raw, "@"); ok {
		return parseIssued(raw, issued)
	}
	m := callerIDPattern.FindStringSubmatch(raw)
	if m == nil {
		return Submission{}, fmt.Errorf("submission id %q may contain only letters, digits, _ and -, after an optional region: prefix", raw)
	}
	return Submission{Raw: raw, Region: m[1]}, nil
}

func parseIssued(raw, issued string) (Submission, error) {
	i := strings.LastIndexByte(issued, '.')
	if i < 0 {
		return Submission{}, fmt.Errorf("issued submission id %q is not @entry.incarnation.sequence", raw)
	}
	home, err := ParseIncarnation(issued[:i])
	if err != nil {
		return Submission{}, fmt.Errorf("issued submission id %q: %w", raw, err)
	}
	seq, err := strconv.ParseUint(issued[i+1:], 10, 64)
	if err != nil {
		return Submission{}, fmt.Errorf("issued submission id %q: %w", raw, err)
	}
	// Only the canonical form is accepted, so that no submission has two ids.
	if raw != issuedID(home, seq) {
		return Submission{}, fmt.Errorf("issued submission id %q is not in canonical form", raw)
	}
	return Submission{Raw: raw, Home: home}, nil
}

func issuedID(home Incarnation, seq uint64) string {
	return "@" + home.String() + "." + strconv.FormatUint(seq, 10)
}

// Issuer issues submission ids for one home. It is safe for concurrent use.
type Issuer struct {
	home Incarnation
	next atomic.Uint64
}

// NewIssuer returns an issuer for the given home.
func NewIssuer(home Incarnation) *Issuer { return &Issuer{home: home} }

// Next returns a new submission id.
func (i *Issuer) Next() Submission {
	return Submission{Raw: issuedID(i.home, i.next.Add(1)), Home: i.home}
}

// TaskKey identifies one attempt to start a task. Ref is unique within the incarnation
// Home, so the pair is globally unique.
type TaskKey struct {
	Home Incarnation `cbor:"1,keyasint"`
	Ref  uint64      `cbor:"2,keyasint"`
}
