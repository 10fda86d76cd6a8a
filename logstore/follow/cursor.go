// Package follow reads one stream of the platform's log and applies its records
// to a state machine. It is shared by the followers of tickets and members.
package follow

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"oriolerelay/logstore"
)

// StateMachine applies the records of one stream to a state. All methods are
// pure: every process that applies the same records has the same state.
type StateMachine[S any] interface {
	// Empty returns the state before the first record.
	Empty() S
	// Apply returns the state after r. It ignores records that it cannot decode.
	Apply(s S, r logstore.Record) S
	// Restart returns the state immediately after r if r alone determines it, and
	// which readers restart from it.
	Restart(r logstore.Record) (S, RestartKind)
	// Encode and Decode convert a state to and from the form in a snapshot record.
	Encode(S) (json.RawMessage, error)
	Decode(json.RawMessage) (S, error)
}

// RestartKind says which readers restart from a record.
type RestartKind int

// Kinds of restarts.
const (
	// NoRestart marks a record that does not determine the state by itself.
	NoRestart RestartKind = iota
	// RestartAll resets the state of every reader; Apply returns the same state as
	// Restart.
	RestartAll
	// RestartFallback is a start point for readers that found no other one; they use
	// the first such record. Apply does not treat the record as a restart.
	RestartFallback
)

// snapshotType is the type of a snapshot record.
const snapshotType = "snapshot"

// snapshot is a record that contains the state after all records before UpTo.
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

// parseSnapshot returns the snapshot in r and whether r is a well-formed snapshot
// record.
func parseSnapshot(r logstore.Record) (snapshot, bool) {
	var s snapshot
	if err := json.Unmarshal(r.Value, &s); err != nil || s.Type != snapshotType {
		return snapshot{}, false
	}
	// A snapshot cannot cover its own or later records.
	return s, s.UpTo <= r.Offset
}

// restoreSnapshot returns the state in a snapshot, and false if the snapshot is
// corrupt. The checksum is computed over the state as encoded again by this
// process, since the platform may reformat JSON.
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
	// ErrNoStartPoint means that older records have expired and no usable snapshot
	// has been found yet.
	ErrNoStartPoint = errors.New("older records have expired and no snapshot is usable")
	// ErrStreamTruncated means that the stream ends before a record that was already
	// read.
	ErrStreamTruncated = errors.New("the stream ends before a record that was already read")
)

// maxRecentRecords is the number of latest records for which the preceding state
// is kept. Snapshots that end before them are not compared.
const maxRecentRecords = 16

// cursor is the position of a reader in a stream.
//
// Without a state, it scans for the newest snapshot whose following records are
// all present. With a state, state is the result of every record before next.
type cursor[S any] struct {
	machine  StateMachine[S]
	hasState bool
	state    S
	next     uint64
	knownMS  int64
	// earliest is the offset of the oldest record that the platform still had at the
	// last read.
	earliest      uint64
	bestCandidate *candidate[S]
	// startPoint is where a new reader would begin to apply records.
	startPoint startPoint
	recent     []appliedRecord[S]
	// mismatches counts snapshots that differ from the state of this cursor.
	mismatches int
}

// startPoint is the oldest record that a new reader needs. timeMS is zero while
// the record's time is unknown.
type startPoint struct {
	offset uint64
	timeMS int64
}

// appliedRecord is an applied record with the state before it.
type appliedRecord[S any] struct {
	offset      uint64
	timeMS      int64
	stateBefore S
}

// candidate is a possible start point found while scanning.
type candidate[S any] struct {
	next       uint64
	startPoint startPoint
	state      S
}

// advance processes the response to a read at next.
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

// rescan discards the state and scans again after records expired unread.
func (c *cursor[S]) rescan(earliest uint64) {
	c.hasState, c.bestCandidate, c.next = false, nil, earliest
}

// startFrom begins to apply records at a candidate. Records keep their order, so
// applying those after a snapshot yields the same state as a full replay.
func (c *cursor[S]) startFrom(at candidate[S]) {
	c.hasState, c.bestCandidate, c.recent = true, nil, nil
	c.state, c.next, c.startPoint, c.knownMS = at.state, at.next, at.startPoint, 0
}

// scan looks for the newest usable snapshot. At the end of the stream the cursor
// restarts from that snapshot and reads the records after it again.
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
	// A snapshot may be written so late that the records from UpTo on have expired.
	if c.bestCandidate != nil && c.bestCandidate.next < b.Earliest {
		c.bestCandidate = nil
	}
	if len(b.Records) == 0 && c.bestCandidate != nil {
		c.startFrom(*c.bestCandidate)
	}
}

// considerCandidate keeps the candidate that leaves the fewest records to apply.
func (c *cursor[S]) considerCandidate(at candidate[S]) {
	if c.bestCandidate == nil || at.next >= c.bestCandidate.next {
		c.bestCandidate = &at
	}
}

// apply applies one record. A snapshot does not change the state; it is compared
// with the state at its position if that is still kept.
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

// compareSnapshot compares a snapshot with the kept state at its position. If they
// match, the snapshot becomes the start point of new readers.
func (c *cursor[S]) compareSnapshot(p snapshot) {
	for _, rec := range c.recent {
		if rec.offset != p.UpTo {
			continue
		}
		encoded, err := c.machine.Encode(rec.stateBefore)
		if err != nil || checksum(encoded) != p.Checksum {
			c.mismatches++
			return
		}
		if p.UpTo > c.startPoint.offset {
			c.startPoint = startPoint{rec.offset, rec.timeMS}
		}
	}
}

// startPointExpired reports whether new readers can no longer begin at the start
// point, so that the state would be lost when the running processes end.
func (c *cursor[S]) startPointExpired() bool { return c.hasState && c.earliest > c.startPoint.offset }

// startPointAgeMS returns the age of the start point in milliseconds of the
// platform's clock, or zero while its time is unknown.
func (c *cursor[S]) startPointAgeMS() int64 {
	if !c.hasState || c.startPoint.timeMS == 0 {
		return 0
	}
	return c.knownMS - c.startPoint.timeMS
}

// snapshot returns a snapshot record of the current state.
func (c *cursor[S]) snapshot() (snapshot, error) {
	state, err := c.machine.Encode(c.state)
	if err != nil {
		return snapshot{}, fmt.Errorf("encode snapshot: %w", err)
	}
	return snapshot{Type: snapshotType, UpTo: c.next, Checksum: checksum(state), State: state}, nil
}
