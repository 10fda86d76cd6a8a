package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"oriolerelay/logstore"
	"oriolerelay/settings"
)

const (
	// MaxConfigBytes limits the JSON of a Config, which entries push to all agents.
	MaxConfigBytes = 64 << 10
	// MaxHistoryTickets is the number of newest accepted tickets that are kept, to
	// recognise a resent ticket and to report the winner of a number: half a day at
	// 2,000 tickets per day.
	MaxHistoryTickets = 1024
	// configOverheadBytes covers the constant part of a Config's JSON.
	configOverheadBytes = 128
	// objectOverheadBytes covers the quotes, commas and prefixes of one object.
	objectOverheadBytes = 32
)

// AcceptedTicket describes an accepted ticket.
type AcceptedTicket struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	Offset uint64 `json:"offset"`
	TimeMS int64  `json:"time_ms"`
}

// LogState is the result of applying a prefix of the stream. It is immutable.
type LogState struct {
	Config *Config
	// History holds the newest accepted tickets in order of their numbers.
	History []AcceptedTicket
	// sizeBound is an upper bound of the size of Config as JSON, in bytes.
	sizeBound int
}

// Status is the status of a ticket.
type Status string

// Statuses of a ticket.
const (
	// StatusAccepted means that the ticket is part of the configuration.
	StatusAccepted Status = "accepted"
	// StatusLost means that another ticket was accepted with its number.
	StatusLost Status = "lost"
	// StatusInvalid means that the ticket has problems, which Verdict lists.
	StatusInvalid Status = "invalid"
	// StatusForgotten means that the ticket's number is older than the kept history.
	StatusForgotten Status = "forgotten"
)

// Verdict is the status of a ticket with its reason.
type Verdict struct {
	Status Status `json:"status"`
	// Ticket is the accepted ticket with this number: the ticket itself, or the
	// winner when Status is StatusLost. It is nil otherwise.
	Ticket *AcceptedTicket `json:"ticket,omitempty"`
	// Problems is set when Status is StatusInvalid.
	Problems []settings.Problem `json:"faults,omitempty"`
}

// EmptyLogState returns the state before the first record.
func EmptyLogState() LogState {
	return LogState{Config: newConfig(), sizeBound: configOverheadBytes}
}

func newConfig() *Config {
	return &Config{Services: map[string]Service{}, Teams: map[string]Team{}, Origins: map[string]Origin{}}
}

// Evaluate returns the verdict that t would get as the next record, without applying
// it.
func (l LogState) Evaluate(t *Ticket) Verdict {
	v, _ := l.apply(t, logstore.Record{})
	return v
}

// Apply returns the state after the record and the verdict on its ticket. A record
// that is not a ticket changes nothing and has an empty verdict.
func (l LogState) Apply(r logstore.Record) (LogState, Verdict) {
	t, err := decodeRecord(r.Value)
	if err != nil {
		return l, Verdict{}
	}
	v, next := l.apply(t, r)
	return next, v
}

func (l LogState) apply(t *Ticket, r logstore.Record) (Verdict, LogState) {
	switch last := l.Config.Number; {
	case t.Number == 0:
		return Verdict{Status: StatusInvalid, Problems: Validate(t)}, l
	case t.Number <= last:
		return l.evaluateTakenNumber(t), l
	case t.Number > last+1:
		problem := settings.Problem{Path: "number", Message: fmt.Sprintf("must be %d, is %d", last+1, t.Number)}
		return Verdict{Status: StatusInvalid, Problems: append([]settings.Problem{problem}, Validate(t)...)}, l
	case t.Restart:
		problem := settings.Problem{Path: "restart", Message: "is allowed only when all earlier tickets are lost"}
		return Verdict{Status: StatusInvalid, Problems: []settings.Problem{problem}}, l
	}
	return l.accept(t, r)
}

// accept applies a ticket with the next number if it has no problems.
func (l LogState) accept(t *Ticket, r logstore.Record) (Verdict, LogState) {
	problems := append(Validate(t), l.checkRemovals(t)...)
	if len(problems) > 0 {
		return Verdict{Status: StatusInvalid, Problems: problems}, l
	}
	next := l.withTicket(t)
	if next.sizeBound > MaxConfigBytes {
		problem := settings.Problem{Path: pathServices, Message: fmt.Sprintf(
			"the configuration would take up to %d bytes, the limit is %d", next.sizeBound, MaxConfigBytes)}
		return Verdict{Status: StatusInvalid, Problems: []settings.Problem{problem}}, l
	}
	a := AcceptedTicket{Number: t.Number, Hash: t.Hash(), Author: t.Author, Reason: t.Reason, Offset: r.Offset, TimeMS: r.TimeMS}
	kept := l.History[max(0, len(l.History)+1-MaxHistoryTickets):]
	// Cloned, since other states of the same prefix share the old slice.
	next.History = append(slices.Clone(kept), a)
	return Verdict{Status: StatusAccepted, Ticket: &a}, next
}

// evaluateTakenNumber returns the verdict on a ticket whose number has been accepted.
func (l LogState) evaluateTakenNumber(t *Ticket) Verdict {
	a, ok := l.Find(t.Number)
	switch {
	case !ok:
		return Verdict{Status: StatusForgotten}
	case a.Hash == t.Hash():
		return Verdict{Status: StatusAccepted, Ticket: &a}
	}
	return Verdict{Status: StatusLost, Ticket: &a}
}

// Find returns the accepted ticket with the number if it is in the history.
func (l LogState) Find(number uint64) (AcceptedTicket, bool) {
	i, ok := slices.BinarySearchFunc(l.History, number, func(a AcceptedTicket, n uint64) int {
		return int(int64(a.Number) - int64(n))
	})
	if !ok {
		return AcceptedTicket{}, false
	}
	return l.History[i], true
}

func (l LogState) checkRemovals(t *Ticket) []settings.Problem {
	var p settings.Problems
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		if _, ok := l.Config.Services[name]; !ok && t.Services[name] == nil {
			p.Add(pathServices+"."+name, messageNotInForce)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Teams)) {
		if _, ok := l.Config.Teams[name]; !ok && t.Teams[name] == nil {
			p.Add(pathTeams+"."+name, messageNotInForce)
		}
	}
	return p.List()
}

// withTicket returns the state with the objects of t replaced.
func (l LogState) withTicket(t *Ticket) LogState {
	c := &Config{
		Number: t.Number, Services: maps.Clone(l.Config.Services),
		Teams: maps.Clone(l.Config.Teams), Origins: maps.Clone(l.Config.Origins),
	}
	origin := Origin{Number: t.Number, Author: t.Author, Reason: t.Reason}
	size := l.sizeBound
	for name, service := range t.Services {
		size += replaceObject(c.Services, c.Origins, "service/", name, service, origin)
	}
	for name, team := range t.Teams {
		size += replaceObject(c.Teams, c.Origins, "team/", name, team, origin)
	}
	return LogState{Config: c, History: l.History, sizeBound: size}
}

// replaceObject sets or removes one object and returns the change of the size bound.
func replaceObject[T any](objects map[string]T, origins map[string]Origin, prefix, name string, v *T, o Origin) int {
	change := 0
	if old, ok := objects[name]; ok {
		change -= objectSizeBound(name, old, origins[prefix+name])
	}
	if v == nil {
		delete(objects, name)
		delete(origins, prefix+name)
		return change
	}
	objects[name] = *v
	origins[prefix+name] = o
	return change + objectSizeBound(name, *v, o)
}

// objectSizeBound returns an upper bound of the JSON size of one object and its
// origin.
func objectSizeBound(name string, v any, o Origin) int {
	value, _ := json.Marshal(v) // the types of a Config can always be encoded
	origin, _ := json.Marshal(o)
	return len(value) + len(origin) + 2*len(name) + objectOverheadBytes
}
