// Package logstore is a client of the platform's append-only log and leases. Every
// call has a timeout, and every write error says whether the write is known not to
// have been applied.
package logstore

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Record is one record of a stream. Offsets start at 0 and have no gaps. TimeMS is
// the platform's timestamp in Unix milliseconds; it never decreases within a stream.
type Record struct {
	Offset uint64          `json:"offset"`
	TimeMS int64           `json:"time_ms"`
	Value  json.RawMessage `json:"value"`
}

// Batch is the response to a read.
type Batch struct {
	// Records are consecutive. They start at the requested offset, or at Earliest if
	// the requested records have expired.
	Records []Record `json:"records"`
	// Earliest is the offset of the oldest record that has not expired.
	Earliest uint64 `json:"earliest"`
	// Next is the offset that follows the last record in Records.
	Next uint64 `json:"next"`
	// NowMS is a lower bound of the timestamps of records at or after Next. A record
	// at or after Next may have exactly this timestamp.
	NowMS int64 `json:"now_ms"`
}

// Position is the offset and timestamp of an appended record.
type Position struct {
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
}

// Lease is a lease that has not expired.
type Lease struct {
	Holder    string `json:"holder"`
	ExpiresMS int64  `json:"expires_ms"`
}

// Effect says whether a failed call may have been applied.
type Effect string

// Effects of a failed call.
const (
	// NotApplied means that the call was not applied and will not be applied later.
	NotApplied Effect = "not_applied"
	// Unknown means that the call may have been applied or may be applied later.
	Unknown Effect = "unknown"
)

// Error is the error of a failed platform call.
type Error struct {
	Op     string // for example "append tickets"
	Status int    // HTTP status; 0 if no response arrived
	Effect Effect
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("platform: %s (effect %s): %v", e.Op, e.Effect, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// LeaseHeldError is returned when another holder has the lease.
type LeaseHeldError struct{ Lease Lease }

// Error implements error.
func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease is held by %q", e.Lease.Holder)
}

// IsNotApplied reports whether err proves that the call was not applied. It
// returns false for errors of other types than *Error.
func IsNotApplied(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Effect == NotApplied
}
