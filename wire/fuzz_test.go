package wire

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"oriolerelay/errkind"
	"oriolerelay/ids"
)

// FuzzDecode guards against frames that make Decode panic, that decode to a message which
// cannot be encoded, or that change when they are encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		b, err := Encode(Frame{CallID: 3, Reply: true, Body: m})
		qt.Assert(f, err, qt.IsNil)
		f.Add(b)
	}
	for _, m := range sampleRunMessages() {
		b, err := Encode(Frame{Body: m})
		qt.Assert(f, err, qt.IsNil)
		f.Add(b)
	}
	for _, malformed := range []string{
		"", "\x84", "\x84\x05\x00\xf4", // truncated
		"\x84\x05\x00\xf4\xf6",                                             // null body
		"\x84\x18\xff\x00\xf4\xa0",                                         // unknown type
		"\x84\x05\x00\xf4\xa1\x01\x9a\xff\xff\xff\xff",                     // array of 2^32 tasks
		"\x84\x05\x00\xf4\xa1\x01\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",     // string of 2^63 bytes
		"\x84\x05\x00\xf4\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x01", // deep nesting
		"\x84\x05\x00\xf4\xa2\x01\x80\x01\x80",                             // duplicate key
	} {
		f.Add([]byte(malformed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		first, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(first)
		qt.Assert(t, err, qt.IsNil)
		second, err := Decode(again)
		qt.Assert(t, err, qt.IsNil)
		third, err := Encode(second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, third, qt.DeepEquals, again)
	})
}

// sampleMessages returns a message of each of the types 1 to 15, with filled fields.
func sampleMessages() []Message {
	node := ids.Incarnation{Name: "agent-1", Number: 7}
	result := TaskResult{Ref: 9, Outcome: errkind.Done, Body: []byte("answer"), RunMicros: 80}
	return []Message{
		&Hello{Node: node, Role: RoleEntry, Entries: []EntryAddress{{Node: node, Address: "10.0.0.1:7100"}}},
		&Config{Ticket: 4, JSON: []byte("{}")},
		&Announce{Service: "veil-desk", Slots: 8, Capacity: Resources{MilliCores: 64000}},
		&Heartbeat{Ticket: 4, Load: Load{Running: 1}},
		&Start{Tasks: []StartTask{{Ref: 9, Submission: "order-17", Payload: []byte("{}")}}},
		&Result{Tasks: []TaskResult{result}},
		&Refused{Refs: []uint64{1, 2}, Kind: errkind.QueueFull},
		&Settle{Refs: []uint64{1}},
		&Settled{Tasks: []SettledTask{{Ref: 9, State: TaskFinished, Result: &result}}},
		&Cancel{Refs: []uint64{1}},
		&Drain{},
		&Forward{Team: "boutiques", Body: []byte("{}"), Hops: 1},
		&Fetch{Team: "boutiques", Submission: "order-17", Action: FetchCancel},
		&Forwarded{Status: 200, Body: []byte("{}")},
		&Ack{},
	}
}

// sampleRunMessages returns messages between entries, and between an entry and an agent, with
// numbers at the ends of their ranges.
func sampleRunMessages() []Message {
	run := Run{Task: "5c0e7a21d94b36f8.0.1.17", Number: math.MaxUint32}
	group := OrderGroup{Payload: "text", Size: Resources{MilliCores: math.MaxUint32}, EstimateMillis: math.MaxUint32, Runs: []Run{run}, Stored: true}
	status := &Status{Profile: &Profile{Instance: "i-1", Labels: []string{"a"}}, OrderedRuns: math.MaxUint64, ClockMillis: math.MaxUint64}
	return []Message{
		&Orders{Groups: []OrderGroup{group}, OrderedRuns: math.MaxUint64}, &Claim{Groups: []OrderGroup{group}},
		&Reports{Reports: []Report{{Run: run, State: 255, Reason: 255}}, Status: status}, status, &Stop{Runs: []Run{run}}, &Confirm{Runs: []Run{run}},
		&Place{Number: math.MaxUint64, Job: []byte{0xf6}}, &PlaceResult{Number: 1, Kind: "x"}, &Withdraw{Numbers: []uint64{0, math.MaxUint64}},
		&PlacementStatus{Services: []ServiceLoad{{Service: "s", Capacity: math.MaxUint64, Used: math.MaxUint64}}, Labels: []ServiceLabels{{Service: "s"}},
			Shares: []ServiceShares{{Service: "s", Queues: []GroupCount{{Name: "q", SizeClass: 2, Started: math.MaxUint64}}}}},
		&EntryDraining{}, &Evacuated{Version: math.MaxUint64, DataCentres: []string{""}},
	}
}

// Guards against a message type that newMessage doesn't know or that has no name, and
// against frames above the size limit.
func TestMessagesAreDecoded(t *testing.T) {
	for _, m := range sampleMessages() {
		b, err := Encode(Frame{CallID: 3, Body: m})
		qt.Assert(t, err, qt.IsNil)
		f, err := Decode(b)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, f, qt.DeepEquals, Frame{CallID: 3, Body: m})
		qt.Check(t, m.MessageType().String(), qt.Not(qt.Matches), "type-.*")
	}
	_, err := Encode(Frame{Body: &Config{JSON: make([]byte, MaxFrameBytes)}})
	qt.Check(t, err, qt.ErrorIs, ErrFrameTooLarge)
	_, err = Decode(make([]byte, MaxFrameBytes+1))
	qt.Check(t, err, qt.ErrorIs, ErrFrameTooLarge)
}

func BenchmarkEncodeStart(b *testing.B) {
	f := Frame{Body: benchStart(1)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Encode(f); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeStart(b *testing.B) {
	for name, tasks := range map[string]int{"1 task": 1, "8 tasks": 8} {
		b.Run(name, func(b *testing.B) {
			raw, err := Encode(Frame{Body: benchStart(tasks)})
			qt.Assert(b, err, qt.IsNil)
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func benchStart(n int) *Start {
	m := &Start{}
	for i := range n {
		m.Tasks = append(m.Tasks, StartTask{
			Ref: uint64(i), Submission: "@entry-1.5f1e2d3c4b5a6978.1000", Index: uint32(i), Team: "boutiques",
			Service: "veil-desk", Kind: "preview", BudgetMicros: 1e6, Payload: []byte(`{"ms":80,"pattern":"rose"}`),
		})
	}
	return m
}
