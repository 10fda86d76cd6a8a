package ticket

import (
	"encoding/json"
	"errors"

	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
)

// stateMachine applies the ticket records for package follow.
type stateMachine struct{}

// snapshotState is the encoding of a LogState in a snapshot.
type snapshotState struct {
	Config  *Config          `json:"state"`
	History []AcceptedTicket `json:"history"`
}

func (stateMachine) Empty() LogState { return EmptyLogState() }

func (stateMachine) Apply(l LogState, r logstore.Record) LogState {
	next, _ := l.Apply(r)
	return next
}

// Restart returns the state after a valid restart ticket. Accepted tickets stay in
// force, so only a reader that has none starts from it.
func (stateMachine) Restart(r logstore.Record) (LogState, follow.RestartKind) {
	t, err := decodeRecord(r.Value)
	if err != nil || !t.Restart {
		return LogState{}, follow.NoRestart
	}
	v, l := restart(t, r)
	if v.Status != StatusAccepted {
		return LogState{}, follow.NoRestart
	}
	return l, follow.RestartFallback
}

// restart applies a restart ticket when all earlier tickets are lost.
func restart(t *Ticket, r logstore.Record) (Verdict, LogState) {
	base := EmptyLogState()
	if t.Number > 0 {
		base.Config.Number = t.Number - 1
	}
	return base.accept(t, r)
}

func (stateMachine) Encode(l LogState) (json.RawMessage, error) {
	return json.Marshal(snapshotState{Config: l.Config, History: l.History})
}

func (stateMachine) Decode(b json.RawMessage) (LogState, error) {
	var j snapshotState
	if err := json.Unmarshal(b, &j); err != nil {
		return LogState{}, err
	}
	if j.Config == nil || len(j.History) > MaxHistoryTickets {
		return LogState{}, errors.New("snapshot has no configuration or too long a history")
	}
	if n := len(j.History); (n == 0) != (j.Config.Number == 0) || n > 0 && j.History[n-1].Number != j.Config.Number {
		return LogState{}, errors.New("history of the snapshot does not end at the number of its configuration")
	}
	l := LogState{Config: normalise(j.Config), History: j.History, sizeBound: configOverheadBytes}
	for name, s := range l.Config.Services {
		l.sizeBound += objectSizeBound(name, s, l.Config.Origins["service/"+name])
	}
	for name, t := range l.Config.Teams {
		l.sizeBound += objectSizeBound(name, t, l.Config.Origins["team/"+name])
	}
	return l, nil
}

// normalise replaces absent maps with empty ones.
func normalise(c *Config) *Config {
	n := *c
	if n.Services == nil {
		n.Services = map[string]Service{}
	}
	if n.Teams == nil {
		n.Teams = map[string]Team{}
	}
	if n.Origins == nil {
		n.Origins = map[string]Origin{}
	}
	return &n
}
