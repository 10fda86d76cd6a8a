package members

import (
	"encoding/json"
	"errors"

	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
)

// stateMachine applies the membership records for package follow.
type stateMachine struct{}

// snapshotState is the encoding of a State in a snapshot.
type snapshotState struct {
	OldestViewMS int64      `json:"floor_ms"`
	Views        []View     `json:"views"`
	Departed     []Departed `json:"departed"`
}

func (stateMachine) Empty() *State { return EmptyState() }

func (stateMachine) Apply(s *State, r logstore.Record) *State { return s.Apply(r) }

func (stateMachine) Restart(r logstore.Record) (*State, follow.RestartKind) {
	rec, err := decodeRecord(r.Value)
	if err != nil || rec.Type != typeReset {
		return nil, follow.NoRestart
	}
	return resetState(r), follow.RestartAll
}

func (stateMachine) Encode(s *State) (json.RawMessage, error) {
	return json.Marshal(snapshotState{OldestViewMS: s.OldestViewMS, Views: s.Views, Departed: s.Departed})
}

func (stateMachine) Decode(b json.RawMessage) (*State, error) {
	var j snapshotState
	if err := json.Unmarshal(b, &j); err != nil {
		return nil, err
	}
	if len(j.Departed) > maxDeparted {
		return nil, errors.New("snapshot has too many departed members")
	}
	if len(j.Views) == 0 || j.Views[0].TimestampMS != j.OldestViewMS {
		return nil, errors.New("oldest view of the snapshot does not match its floor_ms")
	}
	for i := 1; i < len(j.Views); i++ {
		if j.Views[i].TimestampMS < j.Views[i-1].TimestampMS {
			return nil, errors.New("views of the snapshot are not in order of time")
		}
	}
	return newState(j.OldestViewMS, j.Views, j.Departed), nil
}
