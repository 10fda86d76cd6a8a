package ticket

import (
	"encoding/json"
	"errors"

	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
)

// machine folds the ticket stream for the follow package.
type machine struct{}

// foldJSON is the form of a Fold in a snapshot.
type foldJSON struct {
	State   *State     `json:"state"`
	History []Accepted `json:"history"`
}

func (machine) Empty() Fold { return EmptyFold() }

func (machine) Apply(f Fold, r logstore.Record) Fold {
	next, _ := f.Apply(r)
	return next
}

// Restart returns the configuration of a valid restart ticket. Accepted tickets
// stay in force, so it serves only readers that have none.
func (machine) Restart(r logstore.Record) (Fold, follow.RestartKind) {
	t, err := decodeRecord(r.Value)
	if err != nil || !t.Restart {
		return Fold{}, follow.NoRestart
	}
	v, f := restart(t, r)
	if v.Status != StatusAccepted {
		return Fold{}, follow.NoRestart
	}
	return f, follow.RestartFallback
}

// restart applies a restart ticket to a lost configuration.
func restart(t *Ticket, r logstore.Record) (Verdict, Fold) {
	lost := EmptyFold()
	if t.Number > 0 {
		lost.State.Number = t.Number - 1
	}
	return lost.accept(t, r)
}

func (machine) Encode(f Fold) (json.RawMessage, error) {
	return json.Marshal(foldJSON{State: f.State, History: f.History})
}

func (machine) Decode(b json.RawMessage) (Fold, error) {
	var j foldJSON
	if err := json.Unmarshal(b, &j); err != nil {
		return Fold{}, err
	}
	if j.State == nil || len(j.History) > HistoryTickets {
		return Fold{}, errors.New("snapshot without a state or with too long a history")
	}
	if n := len(j.History); (n == 0) != (j.State.Number == 0) || n > 0 && j.History[n-1].Number != j.State.Number {
		return Fold{}, errors.New("snapshot whose history ends at another ticket")
	}
	f := Fold{State: normalise(j.State), History: j.History, bytes: stateOverheadBytes}
	for name, s := range f.State.Services {
		f.bytes += objectBytes(name, s, f.State.Origins["service/"+name])
	}
	for name, t := range f.State.Teams {
		f.bytes += objectBytes(name, t, f.State.Origins["team/"+name])
	}
	return f, nil
}

// normalise replaces absent maps by empty ones.
func normalise(s *State) *State {
	n := *s
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
