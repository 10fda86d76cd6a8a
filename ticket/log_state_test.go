package ticket

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/logstore"
)

// drawTicket draws a ticket that is likely to conflict or to be invalid.
func drawTicket(rt *rapid.T, last uint64) *Ticket {
	number := uint64(max(0, int(last)+rapid.SampledFrom([]int{-2, -1, 0, 1, 1, 1, 1, 1, 2}).Draw(rt, "number")))
	t := &Ticket{Number: number, Author: rapid.SampledFrom([]string{"fraser", "gwenllian"}).Draw(rt, "author"), Reason: "test"}
	t.Services = map[string]*Service{}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2, rapid.ID[string]).Draw(rt, "services") {
		t.Services[name] = nil
		if rapid.IntRange(0, 3).Draw(rt, "set") > 0 {
			t.Services[name] = validService()
			t.Services[name].Endpoints.Buffer = rapid.IntRange(-1, 4).Draw(rt, "buffer")
		}
	}
	if rapid.Bool().Draw(rt, "team") {
		t.Teams = map[string]*Team{"lace": {Weight: float64(rapid.IntRange(0, 3).Draw(rt, "weight"))}}
	}
	return t
}

// referenceLog keeps all accepted tickets and computes everything else from them.
type referenceLog struct{ accepted []*Ticket }

func (r *referenceLog) objects() map[string]string {
	objects := map[string]string{}
	set := func(key string, v any, removed bool) {
		delete(objects, key)
		if !removed {
			b, _ := json.Marshal(v)
			objects[key] = string(b)
		}
	}
	for _, t := range r.accepted {
		for name, s := range t.Services {
			set("service/"+name, s, s == nil)
		}
		for name, team := range t.Teams {
			set("team/"+name, team, team == nil)
		}
	}
	return objects
}

func (r *referenceLog) valid(t *Ticket) bool {
	objects := r.objects()
	for name, s := range t.Services {
		if s == nil {
			if _, ok := objects["service/"+name]; !ok {
				return false
			}
		} else if s.Endpoints.Buffer < 0 {
			return false
		}
	}
	for _, team := range t.Teams {
		if team.Weight <= 0 {
			return false
		}
	}
	return t.Number > 0 && len(t.Services)+len(t.Teams) > 0
}

func (r *referenceLog) apply(t *Ticket) Status {
	last := uint64(len(r.accepted))
	switch {
	case t.Number > 0 && t.Number <= last:
		a, _ := json.Marshal(r.accepted[t.Number-1])
		b, _ := json.Marshal(t)
		if string(a) == string(b) {
			return StatusAccepted
		}
		return StatusLost
	case t.Number != last+1 || !r.valid(t):
		return StatusInvalid
	}
	r.accepted = append(r.accepted, t)
	return StatusAccepted
}

func compareObjects(rt *rapid.T, l LogState, reference *referenceLog) {
	want := reference.objects()
	got := map[string]string{}
	for name, s := range l.Config.Services {
		b, _ := json.Marshal(s)
		got["service/"+name] = string(b)
	}
	for name, team := range l.Config.Teams {
		b, _ := json.Marshal(team)
		got["team/"+name] = string(b)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) || l.Config.Number != uint64(len(reference.accepted)) {
		rt.Fatalf("configuration %d is %v, want %d %v", l.Config.Number, got, len(reference.accepted), want)
	}
	for key, o := range l.Config.Origins {
		if _, ok := want[key]; !ok || o.Author != reference.accepted[o.Number-1].Author {
			rt.Fatalf("origin of %s is ticket %d of %s", key, o.Number, o.Author)
		}
	}
	if len(l.Config.Origins) != len(want) {
		rt.Fatalf("%d origins for %d objects", len(l.Config.Origins), len(want))
	}
	if b, _ := json.Marshal(l.Config); len(b) > l.sizeBound {
		rt.Fatalf("configuration of %d bytes exceeds its size bound %d", len(b), l.sizeBound)
	}
}

func drawRecord(rt *rapid.T, offset uint64, t *Ticket) logstore.Record {
	value, err := json.Marshal(record{Type: recordType, Ticket: t})
	if err != nil {
		rt.Fatal(err)
	}
	return logstore.Record{Offset: offset, TimeMS: int64(offset), Value: value}
}

// Guards against a wrong winner, a resent ticket that is applied twice, a configuration
// that keeps a removed object or loses one, and a snapshot that changes the state.
func TestLogStateMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, reference := EmptyLogState(), &referenceLog{}
		var sent []*Ticket
		for offset := range uint64(rapid.IntRange(1, 40).Draw(rt, "records")) {
			ticket := drawTicket(rt, l.Config.Number)
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(rt, "resend") == 0 {
				ticket = rapid.SampledFrom(sent).Draw(rt, "sent")
			}
			sent = append(sent, ticket)
			before, beforeJSON := l, mustEncode(rt, l)
			next, verdict := l.Apply(drawRecord(rt, offset, ticket))
			if want := reference.apply(ticket); verdict.Status != want {
				rt.Fatalf("verdict %s for %+v, want %s", verdict.Status, ticket, want)
			}
			if verdict.Status == StatusLost && verdict.Ticket.Author != reference.accepted[ticket.Number-1].Author {
				rt.Fatalf("winner is the ticket of %s", verdict.Ticket.Author)
			}
			nextJSON := mustEncode(rt, next)
			_ = before.Evaluate(serviceTicket(before.Config.Number+1, "other"))
			if mustEncode(rt, before) != beforeJSON || mustEncode(rt, next) != nextJSON {
				rt.Fatal("a published state was modified")
			}
			l = next
			compareObjects(rt, l, reference)
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				restored, err := stateMachine{}.Decode(json.RawMessage(mustEncode(rt, l)))
				if err != nil {
					rt.Fatal(err)
				}
				l = restored
			}
		}
	})
}

func mustEncode(rt *rapid.T, l LogState) string {
	b, err := stateMachine{}.Encode(l)
	if err != nil {
		rt.Fatal(err)
	}
	return string(b)
}

// Guards against reporting only the first fault, and against paths that do not identify
// the value for the operator.
func TestValidateListsEveryFault(t *testing.T) {
	c := qt.New(t)
	s := &Service{Kinds: map[string]Kind{"Bad Name": {ExpectedMS: -1, MaxAttempts: 3, QueueLimit: -1}},
		Endpoints: EndpointRules{Policy: "best", Buffer: -1, MessagesOverResponse: 2}}
	ticket := &Ticket{Author: strings.Repeat("x", 81), Services: map[string]*Service{"desk": s}, Teams: map[string]*Team{"lace": {MaxInFlight: -1}}}
	var paths []string
	for _, p := range Validate(ticket) {
		paths = append(paths, p.Path)
	}
	kind, endpoints := "services.desk.kinds.Bad Name", "services.desk.endpoints"
	c.Assert(paths, qt.DeepEquals, []string{"number", "author", "reason", kind, kind + ".deadline_ms",
		kind + ".expected_ms", kind + ".max_attempts", kind + ".queue_limit", endpoints + ".policy", endpoints + ".buffer",
		endpoints + ".eject_after_failures", endpoints + ".eject_ms", endpoints + ".messages_over_response",
		"teams.lace.weight", "teams.lace.max_in_flight"})
}

// Guards against a configuration that is too large to be pushed to an agent.
func TestConfigSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	l := EmptyLogState()
	for i := range 2000 {
		ticket := &Ticket{Number: l.Config.Number + 1, Author: "fraser", Reason: strings.Repeat("r", MaxReasonBytes),
			Services: map[string]*Service{fmt.Sprintf("service-%d", i): validService()}}
		v, next := l.apply(ticket, logstore.Record{})
		if v.Status == StatusInvalid {
			c.Assert(v.Problems[0].Message, qt.Contains, "the limit is 65536")
			b, err := json.Marshal(l.Config)
			c.Assert(err, qt.IsNil)
			c.Assert(len(b) <= MaxConfigBytes, qt.IsTrue)
			return
		}
		l = next
	}
	c.Fatal("the configuration grew without limit")
}

// Guards against reporting an accepted ticket as lost because it is older than the
// history, and against a history that grows without limit.
func TestTicketOlderThanHistoryIsNotReportedLost(t *testing.T) {
	c := qt.New(t)
	l := EmptyLogState()
	for range MaxHistoryTickets + 2 {
		_, l = l.apply(serviceTicket(l.Config.Number+1, "fraser"), logstore.Record{})
	}
	c.Assert(l.Evaluate(serviceTicket(1, "fraser")).Status, qt.Equals, StatusForgotten)
	c.Assert(l.Evaluate(serviceTicket(3, "fraser")).Status, qt.Equals, StatusAccepted)
	c.Assert(l.History, qt.HasLen, MaxHistoryTickets)
}

// Guards against silently dropping an unknown field of a ticket.
func TestDecodeRefusesUnknownFields(t *testing.T) {
	c := qt.New(t)
	for _, body := range []string{`{"number":1,"autor":"x"}`, `{} {}`, `[]`, ``, strings.Repeat(" ", MaxTicketBytes+1)} {
		_, err := Decode([]byte(body))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%.40s", body))
	}
}

// FuzzRecord guards against a panic when any record is applied, and against a
// state that its own snapshot does not restore.
func FuzzRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		state, _ := EmptyLogState().Apply(logstore.Record{Value: value})
		b, err := stateMachine{}.Encode(state)
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

// BenchmarkApply measures applying one accepted ticket with a full history and 40
// services.
func BenchmarkApply(b *testing.B) {
	l := EmptyLogState()
	for i := range MaxHistoryTickets {
		t := serviceTicket(l.Config.Number+1, "fraser")
		t.Services = map[string]*Service{fmt.Sprintf("service-%d", i%40): validService()}
		_, l = l.apply(t, logstore.Record{})
	}
	value, err := json.Marshal(record{Type: recordType, Ticket: serviceTicket(l.Config.Number+1, "fraser")})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, v := l.Apply(logstore.Record{Value: value}); v.Status != StatusAccepted {
			b.Fatal(v)
		}
	}
}
