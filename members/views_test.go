package members

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/logstore"
	"oriolerelay/logstore/follow"
)

// referenceView applies the whole history, from the beginning, for one submission time.
func referenceView(history []logstore.Record, atMS int64) map[string]Member {
	view := map[string]Member{}
	ended := map[ids.Incarnation]bool{}
	left := map[ids.Incarnation]bool{}
	for _, r := range history {
		rec, err := decodeRecord(r.Value)
		if err != nil || r.TimeMS+ActivationDelayMS > atMS {
			continue
		}
		node := rec.Member.Node
		writtenByMember := false
		for _, m := range view {
			writtenByMember = writtenByMember || m.Node.String() == rec.Writer
		}
		old, held := view[node.Name]
		replacesOld := old.Node == node || old.Node.String() == rec.Replaces
		restart := held && replacesOld && (writtenByMember || rec.Writer == node.String())
		allowed := writtenByMember && !held || restart || len(view) == 0
		switch rec.Type {
		case typeReset:
			clear(view)
			clear(ended)
			clear(left)
		case typeLeave:
			if writtenByMember && view[node.Name].Node == node {
				delete(view, node.Name)
				left[node] = true
			}
		case typeJoin:
			if ended[node] || !allowed {
				continue
			}
			if old, ok := view[node.Name]; ok && old.Node != node {
				left[old.Node] = true
			}
			delete(left, node)
			for former := range left {
				if former.Name == node.Name {
					ended[former] = true
				}
			}
			view[node.Name] = rec.Member
		}
	}
	return view
}

func drawHistory(rt *rapid.T) []logstore.Record {
	var history []logstore.Record
	stamp := int64(10_000)
	for offset := range rapid.IntRange(1, 40).Draw(rt, "records") {
		stamp += rapid.SampledFrom([]int64{0, 0, 1, 500, ActivationDelayMS, 100_000}).Draw(rt, "ms")
		rec := record{Type: typeJoin, Member: testMember(
			rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name"), uint64(rapid.IntRange(1, 3).Draw(rt, "number")))}
		rec.Writer, rec.Replaces = drawNode(rt, "by"), drawNode(rt, "replaces")
		if rapid.Bool().Draw(rt, "self") {
			rec.Writer = rec.Member.Node.String()
		}
		switch rapid.IntRange(0, 12).Draw(rt, "type") {
		case 0, 1, 2, 3:
			rec.Type = typeLeave
		case 4:
			rec.Type = typeReset
		}
		value, err := json.Marshal(rec)
		if err != nil {
			rt.Fatal(err)
		}
		history = append(history, logstore.Record{Offset: uint64(offset), TimeMS: stamp, Value: value})
	}
	return history
}

func drawNode(rt *rapid.T, label string) string {
	return ids.Incarnation{
		Name:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, label+" name"),
		Number: uint64(rapid.IntRange(1, 3).Draw(rt, label+" number")),
	}.String()
}

// applyPrefix applies records, with restarts from snapshots, and returns the time from
// which views must be kept.
func applyPrefix(rt *rapid.T, history []logstore.Record) (s *State, keptFrom int64) {
	s = EmptyState()
	for _, r := range history {
		s = s.Apply(r)
		keptFrom = max(keptFrom, r.TimeMS-viewRetentionMS)
		if _, kind := (stateMachine{}).Restart(r); kind == follow.RestartAll {
			keptFrom = r.TimeMS
		}
		if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
			b, err := stateMachine{}.Encode(s)
			if err != nil {
				rt.Fatal(err)
			}
			if s, err = (stateMachine{}).Decode(b); err != nil {
				rt.Fatal(err)
			}
		}
	}
	return s, keptFrom
}

// Guards against two entries that find different homes for one submission. If a view is
// final for a reader of any prefix, it must equal the view that the whole history gives, whatever
// is appended later.
func TestFinalViewsMatchReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		history := drawHistory(rt)
		prefix := rapid.IntRange(0, len(history)).Draw(rt, "prefix")
		s, keptFrom := applyPrefix(rt, history[:prefix])
		// The platform guarantees only that unread records have no earlier timestamp.
		knownMS := history[len(history)-1].TimeMS + 10_000
		if prefix < len(history) {
			knownMS = history[prefix].TimeMS
		}
		for _, r := range history {
			for _, at := range []int64{r.TimeMS + ActivationDelayMS - 1, r.TimeMS + ActivationDelayMS, r.TimeMS + ActivationDelayMS + 1} {
				if !ViewFinal(knownMS, at) {
					continue
				}
				view, ok := s.ViewAt(at)
				if !ok && at-ActivationDelayMS >= keptFrom {
					rt.Fatalf("view at %d is not kept, the oldest view is of %d", at, s.OldestViewMS)
				}
				if !ok {
					continue
				}
				compareView(rt, view, referenceView(history, at), at)
			}
		}
	})
}

func compareView(rt *rapid.T, v View, want map[string]Member, at int64) {
	got := map[string]Member{}
	for _, m := range v.Members {
		got[m.Node.Name] = m
	}
	if fmt.Sprint(got) != fmt.Sprint(want) || len(got) != len(v.Members) {
		rt.Fatalf("view at %d is %v, want %v", at, v.Members, want)
	}
	if !slices.IsSortedFunc(v.Members, func(a, b Member) int { return slices.Compare([]byte(a.Node.Name), []byte(b.Node.Name)) }) {
		rt.Fatalf("members are out of order: %v", v.Members)
	}
}

// Guards against a mapping that moves submissions between remaining members when another
// one leaves, and against a member with far more than its share.
func TestRendezvousIsStableAndBalanced(t *testing.T) {
	c := qt.New(t)
	var members []Member
	for i := range 10 {
		members = append(members, testMember(fmt.Sprintf("entry-%d", i), uint64(i)))
	}
	full := View{Members: members}
	reduced := View{Members: slices.Delete(slices.Clone(members), 3, 4)}
	const keys = 20_000
	count := map[string]int{}
	for i := range keys {
		id := fmt.Sprintf("order-%d", i)
		home, ok := full.Home("lace", id, "")
		c.Assert(ok, qt.IsTrue)
		count[home.Node.Name]++
		other, _ := reduced.Home("lace", id, "")
		if home != members[3] {
			c.Assert(other, qt.Equals, home)
		}
	}
	for name, n := range count {
		// The fair share is 2,000; the bounds are five standard deviations away.
		c.Assert(n > 1788 && n < 2212, qt.IsTrue, qt.Commentf("%s has %d", name, n))
	}
}

// Guards against a home in another region, from which a partition could cut off the caller.
func TestRegionLimitsTheCandidates(t *testing.T) {
	c := qt.New(t)
	east := testMember("entry-a", 1)
	east.Region = "east"
	v := View{Members: []Member{east, testMember("entry-b", 2)}}
	for i := range 50 {
		home, ok := v.Home("lace", fmt.Sprint(i), "east")
		c.Assert(ok, qt.IsTrue)
		c.Assert(home, qt.Equals, east)
	}
	_, ok := v.Home("lace", "1", "north")
	c.Assert(ok, qt.IsFalse)
}

// Guards against reporting home_lost for a home that may still answer, and against never
// reporting it for one that has ended.
func TestHomeIsLostOnlyAfterReplacement(t *testing.T) {
	c := qt.New(t)
	s := EmptyState()
	apply := func(stamp int64, kind string, m Member) {
		r := record{Type: kind, Member: m, Writer: m.Node.String()}
		if members := s.NewestView().Members; len(members) > 0 {
			r.Replaces = members[0].Node.String()
		}
		value, err := json.Marshal(r)
		c.Assert(err, qt.IsNil)
		s = s.Apply(logstore.Record{TimeMS: stamp, Value: value})
	}
	first, second := testMember("entry-a", 1), testMember("entry-a", 2)
	apply(1000, typeJoin, first)
	apply(2000, typeLeave, first)
	c.Assert(s.checkNotReplaced(first.Node), qt.IsNil)
	apply(3000, typeJoin, second)
	c.Assert(errkind.Is(s.checkNotReplaced(first.Node), errkind.HomeLost), qt.IsTrue)
	c.Assert(s.checkNotReplaced(second.Node), qt.IsNil)
	apply(4000, typeJoin, first) // a delayed append of the ended incarnation
	c.Assert(s.isMember(second.Node), qt.IsTrue)
}

// FuzzRecord guards against a panic when any record is applied, and against a
// state that its own snapshot does not restore.
func FuzzRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		s := EmptyState().Apply(logstore.Record{TimeMS: 1, Value: value})
		b, err := stateMachine{}.Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := stateMachine{}.Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := (stateMachine{}).Encode(restored); string(again) != string(b) {
			t.Fatalf("restored as %s, was %s", again, b)
		}
		_, _ = stateMachine{}.Decode(value) // must not panic
	})
}

func benchmarkState(b *testing.B) *State {
	s := EmptyState()
	for i := range 2 * maxDeparted {
		r := record{Type: typeJoin, Member: testMember(fmt.Sprintf("entry-%d", i%12), uint64(i))}
		members := s.NewestView().Members
		if k, found := findMember(members, r.Member.Node.Name); found {
			r.Writer, r.Replaces = r.Member.Node.String(), members[k].Node.String()
		} else if len(members) > 0 {
			r.Writer = members[0].Node.String()
		}
		value, err := json.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		s = s.Apply(logstore.Record{TimeMS: int64(i) * 1000, Value: value})
	}
	return s
}

// BenchmarkHome measures finding the home of one submission among 12 entries with a full
// history.
func BenchmarkHome(b *testing.B) {
	s := benchmarkState(b)
	at := s.NewestView().TimestampMS + ActivationDelayMS
	sub, err := ids.ParseSubmission("order-17")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.home(sub, "lace", at, at); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply measures applying one join among 12 entries with a full history.
func BenchmarkApply(b *testing.B) {
	s := benchmarkState(b)
	m := testMember("entry-1", 1<<40)
	i, _ := findMember(s.NewestView().Members, "entry-1")
	value, err := json.Marshal(record{
		Type: typeJoin, Member: m, Writer: m.Node.String(), Replaces: s.NewestView().Members[i].Node.String(),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if s.Apply(logstore.Record{TimeMS: s.NewestView().TimestampMS, Value: value}) == s {
			b.Fatal("join changed nothing")
		}
	}
}
