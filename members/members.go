// Package members maintains the membership of entries from the records of a log
// and determines the home entry of each submission from the view that is in force
// at the submission time (design section 4).
package members

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"oriolerelay/ids"
	"oriolerelay/logstore"
)

// Stream is the log stream of membership records.
const Stream = "members"

const (
	// ActivationDelayMS is the time in ms from a record's timestamp until the record
	// is in force. It must exceed the age of a follower's newest read plus the clock
	// tolerance.
	ActivationDelayMS = 3000
	// viewRetentionMS is the time in ms, by the timestamps of the log, for which past
	// views are kept. It covers the submission window of 120 s, the activation delay
	// and another 120 s for a slow log.
	viewRetentionMS = 2*120_000 + ActivationDelayMS
	// maxDeparted is the number of former incarnations that are kept to report
	// home_lost: five days at 200 restarts and failures per day.
	maxDeparted = 1024
)

// Member is an incarnation of an entry.
type Member struct {
	Node       ids.Incarnation `json:"node"`
	Address    string          `json:"address"`
	Region     string          `json:"region,omitempty"`
	DataCentre string          `json:"data_centre,omitempty"`
}

// View is the set of members that is in force from a point in time on. It is
// immutable.
type View struct {
	// TimestampMS is the timestamp, in platform time, of the record that created the view.
	// The view is in force for submission times from TimestampMS + ActivationDelayMS on.
	TimestampMS int64 `json:"stamp_ms"`
	// Members are sorted by name, with one incarnation for each name.
	Members []Member `json:"members"`
}

// Departed is a former member.
type Departed struct {
	Member      Member `json:"member"`
	TimestampMS int64  `json:"stamp_ms"`
	// Replaced is set when a later incarnation of the name has joined, which means
	// that this one has ended.
	Replaced bool `json:"replaced"`
}

// State is the result of applying a prefix of the stream. It is immutable and
// depends on the records alone.
type State struct {
	// OldestViewMS is the timestamp of the oldest kept view. Views in force at submission
	// times before OldestViewMS + ActivationDelayMS are not known.
	OldestViewMS int64
	// Views are sorted by timestamp. There is at least one.
	Views []View
	// Departed are the former members in the order in which they departed.
	Departed []Departed
	// departedIndex maps each incarnation to its position in Departed, since every
	// lookup of a home searches there.
	departedIndex map[ids.Incarnation]int
}

// Record types in the stream.
const (
	typeJoin  = "join"
	typeLeave = "leave"
	// typeReset ends all memberships. Readers can start from it when older records
	// have expired without a snapshot.
	typeReset = "reset"
	// typeTakeover ends all memberships and joins the writer, which has reached no
	// member for takeoverTimeout.
	typeTakeover = "takeover"
)

// record is a membership record.
type record struct {
	Type   string `json:"type"`
	Member Member `json:"member,omitzero"`
	// Writer is the entry incarnation that appended the record.
	Writer string `json:"by,omitempty"`
	// Seq is the sequence number of the append among those of Writer. It distinguishes
	// a record from a retry after a lost response.
	Seq uint64 `json:"seq,omitempty"`
	// Replaces is the ended incarnation whose name a restarted process takes over.
	Replaces string `json:"replaces,omitempty"`
}

// decodeRecord decodes a record of the stream. Unknown fields are ignored.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("decode record: %w", err)
	}
	switch r.Type {
	case typeReset:
		return r, nil
	case typeJoin, typeLeave, typeTakeover:
		if !ids.ValidName(r.Member.Node.Name) {
			return record{}, fmt.Errorf("%s record has the invalid name %q", r.Type, r.Member.Node.Name)
		}
		return r, nil
	}
	return record{}, fmt.Errorf("record of type %q is not a membership record", r.Type)
}

// EmptyState returns the state before the first record.
func EmptyState() *State { return &State{Views: []View{{}}} }

// NewestView returns the view after all applied records. It may not be in force
// yet.
func (s *State) NewestView() View { return s.Views[len(s.Views)-1] }

// Apply returns the state after the record. It returns s itself when the record is
// not a valid membership record or changes nothing.
func (s *State) Apply(r logstore.Record) *State {
	rec, err := decodeRecord(r.Value)
	if err != nil {
		return s
	}
	switch rec.Type {
	case typeReset:
		return resetState(r)
	case typeTakeover:
		return s.takeover(rec.Member, r.TimeMS)
	case typeJoin:
		if !s.joinAllowed(rec) {
			return s
		}
		return s.join(rec.Member, r.TimeMS)
	}
	if !s.writtenByMember(rec) {
		return s
	}
	return s.leave(rec.Member.Node, r.TimeMS)
}

// resetState returns the state after a reset record. It contains nothing of earlier
// records, so that every reader has the same state afterwards.
func resetState(r logstore.Record) *State {
	return &State{OldestViewMS: r.TimeMS, Views: []View{{TimestampMS: r.TimeMS}}}
}

func (s *State) join(m Member, timestampMS int64) *State {
	members := s.NewestView().Members
	i, found := findMember(members, m.Node.Name)
	if found && members[i] == m {
		return s // an append that was retried after a lost response
	}
	if d, ok := s.findDeparted(m.Node); ok && d.Replaced {
		return s // a delayed append of an incarnation that has ended
	}
	departed := withoutIncarnation(s.Departed, m.Node)
	joined := slices.Clone(members)
	if !found {
		joined = slices.Insert(joined, i, m)
		departed = markReplaced(departed, m.Node)
	} else {
		if old := members[i]; old.Node != m.Node {
			departed = append(departed, Departed{Member: old, TimestampMS: timestampMS})
			departed = markReplaced(departed, m.Node)
		}
		joined[i] = m
	}
	return s.withView(joined, departed, timestampMS)
}

// takeover replaces all members with m.
func (s *State) takeover(m Member, timestampMS int64) *State {
	if d, ok := s.findDeparted(m.Node); ok && d.Replaced {
		return s // a delayed append of an incarnation that has ended
	}
	departed := withoutIncarnation(s.Departed, m.Node)
	for _, old := range s.NewestView().Members {
		if old.Node != m.Node {
			departed = append(departed, Departed{Member: old, TimestampMS: timestampMS})
		}
	}
	return s.withView([]Member{m}, markReplaced(departed, m.Node), timestampMS)
}

func (s *State) leave(node ids.Incarnation, timestampMS int64) *State {
	members := s.NewestView().Members
	i, found := findMember(members, node.Name)
	if !found || members[i].Node != node {
		return s
	}
	departed := append(slices.Clone(s.Departed), Departed{Member: members[i], TimestampMS: timestampMS})
	remaining := slices.Delete(slices.Clone(members), i, i+1)
	return s.withView(remaining, departed, timestampMS)
}

// withView returns the state with a new newest view and without the views and
// former members that are no longer kept at timestampMS.
func (s *State) withView(members []Member, departed []Departed, timestampMS int64) *State {
	views := slices.Clone(s.Views)
	v := View{TimestampMS: timestampMS, Members: members}
	if last := len(views) - 1; views[last].TimestampMS == timestampMS {
		views[last] = v // records with the same timestamp come into force together
	} else {
		views = append(views, v)
	}
	keep := 0
	for keep+1 < len(views) && views[keep+1].TimestampMS <= timestampMS-viewRetentionMS {
		keep++
	}
	views = views[keep:]
	oldestViewMS := s.OldestViewMS
	if keep > 0 {
		oldestViewMS = views[0].TimestampMS
	}
	departed = departed[max(0, len(departed)-maxDeparted):]
	return newState(oldestViewMS, views, departed)
}

func newState(oldestViewMS int64, views []View, departed []Departed) *State {
	s := &State{OldestViewMS: oldestViewMS, Views: views, Departed: departed, departedIndex: make(map[ids.Incarnation]int, len(departed))}
	for i, d := range departed {
		s.departedIndex[d.Member.Node] = i
	}
	return s
}

func findMember(members []Member, name string) (int, bool) {
	return slices.BinarySearchFunc(members, name, func(m Member, n string) int {
		return cmp.Compare(m.Node.Name, n)
	})
}

func withoutIncarnation(d []Departed, node ids.Incarnation) []Departed {
	return slices.DeleteFunc(slices.Clone(d), func(x Departed) bool { return x.Member.Node == node })
}

// markReplaced marks the former incarnations of node's name as replaced. It
// modifies d, which must not be shared.
func markReplaced(d []Departed, node ids.Incarnation) []Departed {
	for i := range d {
		if d[i].Member.Node.Name == node.Name {
			d[i].Replaced = true
		}
	}
	return d
}
