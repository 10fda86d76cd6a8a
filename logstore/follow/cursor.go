// Package follow reads one stream of the platform's log and folds its records
// into a state. It is shared by the followers of tickets and of members.
package follow

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"oriolerelay/logstore"
)

// Machine folds the records of one stream. All methods are pure: every process
// that folds the same records gets the same state.
type StateMachine[S any] interface {
	// Empty is the state before the first record.
	Empty() S
	// Apply returns the state after r. It ignores a record that it cannot decode.
	Apply(s S, r logstore.Record) S
	// Restart returns the state right after r when r alone can define it.
	Restart(r logstore.Record) (S, RestartKind)
	// Encode and Decode convert a state for a snapshot record.
	Encode(S) (json.RawMessage, error)
	Decode(json.RawMessage) (S, error)
}

// RestartKind says which readers start anew at a record.
type RestartKind int

// Kinds of restarts.
const (
	// NoRestart is any other record.
	NoRestart RestartKind = iota
	// RestartAll changes the state of every reader; Apply returns the same state.
	RestartAll
	// RestartLost serves readers that have no other place to start; the first such
	// record counts. Apply ignores it as a restart.
	RestartFallback
)

// snapshotType tags a snapshot record.
const snapshotType = "snapshot"

// snapshot is a record that holds the fold of all records before UpTo.
type snapshot struct {
	Type     string          `json:"type"`
	UpTo     uint64          `json:"up_to"`
	Checksum string          `json:"sum"` // SHA-256 of the encoded state in hexadecimal
	State    json.RawMessage `json:"state"`
}

func checksum(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}

// parseSnapshot reports whether r is a well-formed snapshot record.
func parseSnapshot(r logstore.Record) (snapshot, bool) {
	var s snapshot
	if err := json.Unmarshal(r.Value, &s); err != nil || s.Type != snapshotType {
		return snapshot{}, false
	}
	// A snapshot cannot cover records that follow it.
	return s, s.UpTo <= r.Offset
}

// restore returns the state of a snapshot, and false for a damaged one. The sum
// is taken over the own encoding, since the platform may reformat JSON.
func restoreSnapshot[S any](m StateMachine[S], p snapshot) (S, bool) {
	s, err := m.Decode(p.State)
	if err != nil {
		return s, false
	}
	encoded, err := m.Encode(s)
	return s, err == nil && checksum(encoded) == p.Checksum
}

// Errors of a cursor.
var (
	// ErrNoBase means that older records have expired and no usable snapshot was
	// found yet.
	ErrNoStartPoint = errors.New("older records have expired and no snapshot is usable")
	// ErrRegressed means that the stream ends before a record that was read.
	ErrStreamTruncated = errors.New("the stream ends before a record that was already read")
)

// recentRecords is the number of folded records for which the state before the
// record is kept. A snapshot that reaches further back is not compared.
const maxRecentRecords = 16

// cursor is the position of a reader in a stream.
//
// While scanning, it has no state: it looks for the newest snapshot whose
// following records are all present. While folding, state is the fold of every
// record before next.
type cursor[S any] struct {
	machine  StateMachine[S]
	hasState bool
	state    S
	next     uint64
	knownMS  int64
	// earliest is the oldest record that the platform still had at the last read.
	earliest      uint64
	bestCandidate *candidate[S]
	// base is where a starting reader would begin to fold.
	startPoint startPoint
	recent     []appliedRecord[S]
	// mismatches counts snapshots that differ from the own state.
	mismatches int
}

// base is the oldest record that a starting reader needs. TimeMS is zero while
// that record is unknown.
type startPoint struct {
	offset uint64
	timeMS int64
}

// folded is a record with the state before it.
type appliedRecord[S any] struct {
	offset      uint64
	timeMS      int64
	stateBefore S
}

// candidate is a place to start, found while scanning.
type candidate[S any] struct {
	next       uint64
	startPoint startPoint
	state      S
}

// feed takes the reply to a read at next.
func (c *cursor[S]) advance(b logstore.Batch) error {
	if b.Next < c.next {
		return fmt.Errorf("%w: %d after %d", ErrStreamTruncated, b.Next, c.next)
	}
	c.earliest = b.Earliest
	switch {
	case c.hasState && b.Earliest > c.next:
		c.rescan(b.Earliest)
	case !c.hasState && b.Earliest == 0 && c.next == 0:
		c.startFrom(candidate[S]{state: c.machine.Empty()})
	case !c.hasState:
		c.next = max(c.next, b.Earliest)
	}
	if !c.hasState {
		c.scan(b)
		return nil
	}
	for _, r := range b.Records {
		c.apply(r)
	}
	c.next = b.Next
	c.knownMS = max(c.knownMS, b.NowMS)
	return nil
}

// rescan gives up the fold after records expired unread.
func (c *cursor[S]) rescan(earliest uint64) {
	c.hasState, c.bestCandidate, c.next = false, nil, earliest
}

// start begins to fold. The records that follow a snapshot keep their order, so
// reading them again gives the state of a reader from the beginning.
func (c *cursor[S]) startFrom(at candidate[S]) {
	c.hasState, c.bestCandidate, c.recent = true, nil, nil
	c.state, c.next, c.startPoint, c.knownMS = at.state, at.next, at.startPoint, 0
}

// scan looks for the newest usable snapshot. At the end of the stream it starts
// the fold there; the records that follow it are then read again.
func (c *cursor[S]) scan(b logstore.Batch) {
	for _, r := range b.Records {
		if s, kind := c.machine.Restart(r); kind != NoRestart {
			if kind == RestartAll || c.bestCandidate == nil {
				c.considerCandidate(candidate[S]{next: r.Offset + 1, startPoint: startPoint{r.Offset, r.TimeMS}, state: s})
			}
			continue
		}
		p, ok := parseSnapshot(r)
		if !ok {
			continue
		}
		if s, ok := restoreSnapshot(c.machine, p); ok {
			c.considerCandidate(candidate[S]{next: p.UpTo, startPoint: startPoint{offset: p.UpTo}, state: s})
		}
	}
	c.next = b.Next
	// The records that follow a late snapshot may have expired before it was written.
	if c.bestCandidate != nil && c.bestCandidate.next < b.Earliest {
		c.bestCandidate = nil
	}
	if len(b.Records) == 0 && c.bestCandidate != nil {
		c.startFrom(*c.bestCandidate)
	}
}

// consider keeps the candidate that leaves the fewest records to fold.
func (c *cursor[S]) considerCandidate(at candidate[S]) {
	if c.bestCandidate == nil || at.next >= c.bestCandidate.next {
		c.bestCandidate = &at
	}
}

// fold applies one record. A snapshot changes nothing; it is compared with the
// own state when it does not reach too far back.
func (c *cursor[S]) apply(r logstore.Record) {
	c.recent = append(c.recent, appliedRecord[S]{r.Offset, r.TimeMS, c.state})
	if len(c.recent) > maxRecentRecords {
		c.recent = c.recent[len(c.recent)-maxRecentRecords:]
	}
	if c.startPoint.timeMS == 0 {
		c.startPoint.timeMS = r.TimeMS
	}
	if p, ok := parseSnapshot(r); ok {
		c.compareSnapshot(p)
		return
	}
	if _, kind := c.machine.Restart(r); kind == RestartAll {
		c.startPoint = startPoint{r.Offset, r.TimeMS}
	}
	c.state = c.machine.Apply(c.state, r)
}

// compare checks a snapshot against the own state at its position. An equal one
// becomes the base of starting readers.
func (c *cursor[S]) compareSnapshot(p snapshot) {
	for _, f := range c.recent {
		if f.offset != p.UpTo {
			continue
		}
		encoded, err := c.machine.Encode(f.stateBefore)
		if err != nil || checksum(encoded) != p.Checksum {
			c.mismatches++
			return
		}
		if p.UpTo > c.startPoint.offset {
			c.startPoint = startPoint{f.offset, f.timeMS}
		}
	}
}

// baseExpired reports whether starting readers can no longer begin at the base,
// so that the state would be lost with this process.
func (c *cursor[S]) startPointExpired() bool { return c.hasState && c.earliest > c.startPoint.offset }

// baseAgeMS returns the age of the base in ms of the platform's clock, and zero
// while its first record is unknown.
func (c *cursor[S]) startPointAgeMS() int64 {
	if !c.hasState || c.startPoint.timeMS == 0 {
		return 0
	}
	return c.knownMS - c.startPoint.timeMS
}

// snapshot returns a record of the present state.
func (c *cursor[S]) snapshot() (snapshot, error) {
	state, err := c.machine.Encode(c.state)
	if err != nil {
		return snapshot{}, fmt.Errorf("encode snapshot: %w", err)
	}
	return snapshot{Type: snapshotType, UpTo: c.next, Checksum: checksum(state), State: state}, nil
}
