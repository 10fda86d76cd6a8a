// Package members folds the membership records of entries and places
// submissions: it finds the home of a submission from the view that was in force
// at the submission's own time (design section 4).
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
	// LeadMS is the time after its stamp from which a record is in force, in ms. It
	// must exceed the age of a follower's newest read plus the clock tolerance.
	ActivationDelayMS = 3000
	// keepMS is the time for which past views are kept, in ms of the stream. It covers
	// the submission window of 120 s, the lead and as much again for a slow log.
	viewRetentionMS = 2*120_000 + ActivationDelayMS
	// maxDeparted bounds the departed incarnations that are remembered to answer
	// home_lost: five days at 200 restarts and failures a day.
	maxDeparted = 1024
)

// Member is one entry incarnation.
type Member struct {
	Node       ids.Incarnation `json:"node"`
	Address    string          `json:"address"`
	Region     string          `json:"region,omitempty"`
	DataCentre string          `json:"data_centre,omitempty"`
}

// View is the set of members in force from a time on. It is never modified.
type View struct {
	// StampMS is the platform time of the record that made the view. The view is in
	// force for submissions from StampMS + LeadMS on.
	StampMS int64 `json:"stamp_ms"`
	// Members are in order of their names, one incarnation for each name.
	Members []Member `json:"members"`
}

// Departed is a former member.
type Departed struct {
	Member  Member `json:"member"`
	StampMS int64  `json:"stamp_ms"`
	// Replaced means that a later incarnation of the name joined, so that this one
	// has ended.
	Replaced bool `json:"replaced"`
}

// State is the fold of a prefix of the stream. It is never modified, and it is a
// function of the records alone.
type State struct {
	// FloorMS is the stamp of the oldest view. Views in force at submission times
	// before FloorMS + LeadMS are not known.
	FloorMS int64
	// Views are in order of their stamps. There is at least one.
	Views []View
	// Departed are former members, the latest last.
	Departed []Departed
	// index gives the place of each incarnation in Departed, since every placed
	// submission asks for its home there.
	departedIndex map[ids.Incarnation]int
}

// Record types in the stream.
const (
	typeJoin  = "join"
	typeLeave = "leave"
	// typeReset ends all memberships. It is a base for readers when older records
	// have expired without a snapshot.
	typeReset = "reset"
	// typeTakeover ends all memberships and joins the writer, which reached no member
	// for takeoverAfter.
	typeTakeover = "takeover"
)

// record is a membership record.
type record struct {
	Type   string `json:"type"`
	Member Member `json:"member,omitzero"`
	// By is the entry incarnation that appended the record.
	Writer string `json:"by,omitempty"`
	// Seq is the sequence number of the append among those of By. It tells a record
	// from its repetition after a lost answer.
	Seq uint64 `json:"seq,omitempty"`
	// Replaces is the ended incarnation whose name a restarted process takes.
	Replaces string `json:"replaces,omitempty"`
}

// decodeRecord parses a record of the stream. Unknown fields are ignored.
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
			return record{}, fmt.Errorf("%s of an invalid name %q", r.Type, r.Member.Node.Name)
		}
		return r, nil
	}
	return record{}, fmt.Errorf("record of type %q is no membership record", r.Type)
}

// EmptyState returns the fold of no records.
func EmptyState() *State { return &State{Views: []View{{}}} }

// Newest returns the view after all folded records. It may not be in force yet.
func (s *State) NewestView() View { return s.Views[len(s.Views)-1] }

// Apply returns the state after the record. A record that is no membership
// record, or that changes nothing, returns s itself.
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

// resetState is the state right after a reset record. It keeps nothing of the
// earlier records, so that every reader has the same state after it.
func resetState(r logstore.Record) *State {
	return &State{FloorMS: r.TimeMS, Views: []View{{StampMS: r.TimeMS}}}
}

func (s *State) join(m Member, stamp int64) *State {
	members := s.NewestView().Members
	i, found := findMember(members, m.Node.Name)
	if found && members[i] == m {
		return s // a repeated append after a lost answer
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
			departed = append(departed, Departed{Member: old, StampMS: stamp})
			departed = markReplaced(departed, m.Node)
		}
		joined[i] = m
	}
	return s.withView(joined, departed, stamp)
}

// takeover replaces all members by m.
func (s *State) takeover(m Member, stamp int64) *State {
	if d, ok := s.findDeparted(m.Node); ok && d.Replaced {
		return s // a delayed append of an incarnation that has ended
	}
	departed := withoutIncarnation(s.Departed, m.Node)
	for _, old := range s.NewestView().Members {
		if old.Node != m.Node {
			departed = append(departed, Departed{Member: old, StampMS: stamp})
		}
	}
	return s.withView([]Member{m}, markReplaced(departed, m.Node), stamp)
}

func (s *State) leave(node ids.Incarnation, stamp int64) *State {
	members := s.NewestView().Members
	i, found := findMember(members, node.Name)
	if !found || members[i].Node != node {
		return s
	}
	departed := append(slices.Clone(s.Departed), Departed{Member: members[i], StampMS: stamp})
	remaining := slices.Delete(slices.Clone(members), i, i+1)
	return s.withView(remaining, departed, stamp)
}

// with returns the state with a new newest view, without the views and departed
// members that are no longer needed at stamp.
func (s *State) withView(members []Member, departed []Departed, stamp int64) *State {
	views := slices.Clone(s.Views)
	v := View{StampMS: stamp, Members: members}
	if last := len(views) - 1; views[last].StampMS == stamp {
		views[last] = v // records with one stamp come into force together
	} else {
		views = append(views, v)
	}
	keep := 0
	for keep+1 < len(views) && views[keep+1].StampMS <= stamp-viewRetentionMS {
		keep++
	}
	views = views[keep:]
	floor := s.FloorMS
	if keep > 0 {
		floor = views[0].StampMS
	}
	departed = departed[max(0, len(departed)-maxDeparted):]
	return newState(floor, views, departed)
}

func newState(floor int64, views []View, departed []Departed) *State {
	s := &State{FloorMS: floor, Views: views, Departed: departed, departedIndex: make(map[ids.Incarnation]int, len(departed))}
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

// markReplaced marks the former incarnations of a name that joined again. It
// changes d, which must not be shared.
func markReplaced(d []Departed, node ids.Incarnation) []Departed {
	for i := range d {
		if d[i].Member.Node.Name == node.Name {
			d[i].Replaced = true
		}
	}
	return d
}
