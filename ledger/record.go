// Package ledger keeps durable jobs in the partitions of the platform's store. Any entry
// accepts a job by appending it to its partition. One entry at a time owns a partition,
// runs its jobs and records their progress and end.
package ledger

import (
	"fmt"
	"hash/fnv"
	"math"

	"github.com/fxamacker/cbor/v2"

	"oriolerelay/job"
)

// Kinds of records of a job. The key of a record is its kind followed by the job's id. The
// store retains the newest record of each key.
const (
	kindAccepted  = 'a' // the submitted job; deleted when the job has ended
	kindCancelled = 'c' // a cancellation by the caller
	kindProgress  = 'p' // written by the owner only
	// kindEnd is the end of a run that an agent reported to an entry other than the owner,
	// which may not get the report itself. The key holds the task id instead of the job id.
	kindEnd = 'e'
	// kindOwner holds the epoch of the partition's owner, and which member that is. An owner that
	// reads a higher epoch releases the partition before it applies the jobs that were accepted
	// later.
	kindOwner = 'o'
)

// Keys of the two records of kindOwner in each partition. They are written together. Processes of
// versions before the claim was added read and write the epoch only.
const (
	ownerKey = string(kindOwner) + "wner"
	claimKey = string(kindOwner) + "claim"
)

// ownerClaim is the value of the record of claimKey.
type ownerClaim struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Member string `cbor:"2,keyasint"`
}

// maxEpoch is the highest epoch of which run numbers can be derived.
const maxEpoch = math.MaxUint32/job.RunNumbersPerEpoch - 1

func recordKey(kind byte, id string) string { return string(kind) + id }

// splitKey is the inverse of recordKey. ok is false if key is too short.
func splitKey(key string) (kind byte, id string, ok bool) {
	if len(key) < 2 {
		return 0, "", false
	}
	return key[0], key[1:], true
}

// partitionOf returns the index of a job's partition.
func partitionOf(id string, partitions int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(partitions))
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

func decode[T any](b []byte) (*T, error) {
	v := new(T)
	if err := cbor.Unmarshal(b, v); err != nil {
		return nil, fmt.Errorf("decode record: %w", err)
	}
	return v, nil
}

// decodeSubmission decodes and validates the value of a record of kindAccepted: other software may
// have written it, and it must not end the process that runs the job.
func decodeSubmission(id string, b []byte) (*job.Submission, error) {
	s, err := decode[job.Submission](b)
	if err != nil {
		return nil, err
	}
	if s.ID != id {
		return nil, fmt.Errorf("the record holds job %q", s.ID)
	}
	return s, s.Validate()
}

// decodeProgress decodes and validates the value of a record of kindProgress.
func decodeProgress(b []byte) (*job.Progress, error) {
	p, err := decode[job.Progress](b)
	if err != nil {
		return nil, err
	}
	switch p.State {
	case "", job.Cancelled, job.Completed, job.Failed:
	default:
		return nil, fmt.Errorf("%q is not a final state", p.State)
	}
	for task, n := range p.Failures {
		if n < 0 {
			return nil, fmt.Errorf("task %q has %d failures", task, n)
		}
	}
	return p, nil
}
