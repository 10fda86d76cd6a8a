package follow

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/logstore"
	"oriolerelay/logstore/standin"
)

// offsetMachine records the offsets of the applied values, so that missed,
// repeated or reordered records are detected.
type offsetMachine struct{}

type testRecord struct {
	Type string `json:"type"`
}

func testType(r logstore.Record) string {
	var t testRecord
	_ = json.Unmarshal(r.Value, &t) // a malformed record has no type
	return t.Type
}

func (offsetMachine) Empty() []uint64 { return nil }

func (m offsetMachine) Apply(s []uint64, r logstore.Record) []uint64 {
	if restarted, kind := m.Restart(r); kind == RestartAll {
		return restarted
	}
	if testType(r) != "value" {
		return s
	}
	return append(s[:len(s):len(s)], r.Offset)
}

func (offsetMachine) Restart(r logstore.Record) ([]uint64, RestartKind) {
	if testType(r) != "reset" {
		return nil, NoRestart
	}
	return []uint64{r.Offset}, RestartAll
}

func (offsetMachine) Encode(s []uint64) (json.RawMessage, error) { return json.Marshal(s) }

func (offsetMachine) Decode(b json.RawMessage) (s []uint64, err error) {
	return s, json.Unmarshal(b, &s)
}

// streamModel is a stream with its complete history and several readers.
type streamModel struct {
	rt               *rapid.T
	client           *logstore.Client
	server           *standin.Server
	now              time.Time
	history          []logstore.Record
	expired          uint64
	readers          []*cursor[[]uint64]
	delayedSnapshots []snapshot // computed but not yet appended
}

func newStreamModel(rt *rapid.T) *streamModel {
	m := &streamModel{rt: rt, now: time.UnixMilli(1000)}
	m.server = standin.New(standin.WithClock(func() time.Time { return m.now }))
	m.client = logstore.NewClient("http://platform", logstore.WithTransport(m.server.Transport()))
	m.addReader()
	return m
}

func (m *streamModel) addReader() {
	m.readers = append(m.readers, &cursor[[]uint64]{machine: offsetMachine{}})
}

func (m *streamModel) append(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		m.rt.Fatal(err)
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(m.rt, "ms")) * time.Millisecond)
	p := m.server.Append("s", b)
	m.history = append(m.history, logstore.Record{Offset: p.Offset, TimeMS: p.TimeMS, Value: b})
}

// expectedState returns the state after a full replay of the history before next.
func (m *streamModel) expectedState(next uint64) []uint64 {
	var s []uint64
	for _, r := range m.history[:next] {
		switch testType(r) {
		case "value":
			s = append(s, r.Offset)
		case "reset":
			s = []uint64{r.Offset}
		}
	}
	return s
}

// read advances a reader by one read and compares its state with a full replay.
func (m *streamModel) read(c *cursor[[]uint64], limit int) int {
	b, err := m.client.Read(m.rt.Context(), "s", c.next, limit)
	if err != nil {
		m.rt.Fatal(err)
	}
	if err := c.advance(b); err != nil {
		m.rt.Fatal(err)
	}
	if !c.hasState {
		return len(b.Records)
	}
	if got, want := fmt.Sprint(c.state), fmt.Sprint(m.expectedState(c.next)); got != want {
		m.rt.Fatalf("state at %d is %s, want %s", c.next, got, want)
	}
	for _, r := range m.history[c.next:] {
		if r.TimeMS < c.knownMS {
			m.rt.Fatalf("record %d with timestamp %d ms is unread, but the watermark is %d ms", r.Offset, r.TimeMS, c.knownMS)
		}
	}
	if c.mismatches > 0 {
		m.rt.Fatal("a snapshot differs from the state of a reader")
	}
	return len(b.Records)
}

// hasStartPoint reports whether the stream contains a start point for new readers.
func (m *streamModel) hasStartPoint() bool {
	if m.expired == 0 {
		return true
	}
	for _, r := range m.history[m.expired:] {
		if p, ok := parseSnapshot(r); (ok && p.UpTo >= m.expired) || testType(r) == "reset" {
			return true
		}
	}
	return false
}

func (m *streamModel) step() {
	c := m.readers[rapid.IntRange(0, len(m.readers)-1).Draw(m.rt, "reader")]
	switch op := rapid.IntRange(0, 13).Draw(m.rt, "op"); {
	case op < 5:
		m.append(testRecord{Type: "value"})
	case op < 9:
		m.read(c, rapid.IntRange(1, 4).Draw(m.rt, "limit"))
	case op == 9 && c.hasState:
		s, err := c.snapshot()
		if err != nil {
			m.rt.Fatal(err)
		}
		m.delayedSnapshots = append(m.delayedSnapshots, s)
	case op == 10 && len(m.delayedSnapshots) > 0: // possibly long after it was created
		i := rapid.IntRange(0, len(m.delayedSnapshots)-1).Draw(m.rt, "snapshot")
		m.append(m.delayedSnapshots[i])
	case op == 11:
		m.expired = uint64(rapid.IntRange(int(m.expired), len(m.history)).Draw(m.rt, "expire"))
		m.server.SetFaults(standin.Faults{ExpireBefore: map[string]uint64{"s": m.expired}})
	case op == 12:
		m.append(testRecord{Type: "reset"})
	case op == 13:
		m.addReader()
	}
}

// A reader's state must equal a full replay, also when records expired unread, when
// a paused process wrote a snapshot late or when the reader starts mid-stream.
func TestReaderStateMatchesFullReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newStreamModel(rt)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			m.step()
		}
		for i, c := range m.readers {
			for pages := 0; m.read(c, 4) > 0 || pages < 2; pages++ {
				if pages > 3*len(m.history)+3 {
					rt.Fatalf("reader %d does not reach the end", i)
				}
			}
			if !c.hasState && m.hasStartPoint() {
				rt.Fatalf("reader %d found no start point", i)
			}
		}
	})
}

// A snapshot must not be used as a state if it is corrupt, claims to cover later
// records or needs following records that have expired.
func TestInvalidSnapshotIsNotUsed(t *testing.T) {
	c := qt.New(t)
	good := snapshot{Type: snapshotType, UpTo: 4, Checksum: checksum([]byte("[1]")), State: json.RawMessage("[1]")}
	for name, corrupt := range map[string]func(*snapshot){
		"sum":    func(s *snapshot) { s.Checksum = "00" },
		"state":  func(s *snapshot) { s.State = json.RawMessage("[2]") },
		"future": func(s *snapshot) { s.UpTo = 9 },
		"early":  func(s *snapshot) { s.UpTo = 3 },
		"none":   func(*snapshot) {},
	} {
		s := good
		corrupt(&s)
		value, err := json.Marshal(s)
		c.Assert(err, qt.IsNil)
		cur := cursor[[]uint64]{machine: offsetMachine{}}
		record := logstore.Record{Offset: 4, TimeMS: 1, Value: value}
		c.Assert(cur.advance(logstore.Batch{Records: []logstore.Record{record}, Earliest: 4, Next: 5, NowMS: 1}), qt.IsNil)
		c.Assert(cur.advance(logstore.Batch{Earliest: 4, Next: 5, NowMS: 1}), qt.IsNil)
		c.Assert(cur.hasState, qt.Equals, name == "none", qt.Commentf("corruption: %s", name))
	}
}

// The cursor must not move backwards when the platform has lost records.
func TestTruncatedStreamIsRejected(t *testing.T) {
	c := qt.New(t)
	cur := cursor[[]uint64]{machine: offsetMachine{}, hasState: true, next: 7}
	c.Assert(cur.advance(logstore.Batch{Next: 3, NowMS: 1}), qt.ErrorIs, ErrStreamTruncated)
	c.Assert(cur.next, qt.Equals, uint64(7))
}

// FuzzBatch checks that no response of the platform causes a panic or makes the
// cursor skip records.
func FuzzBatch(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		transport := roundTripFunc(func(*http.Request) (*http.Response, error) { return jsonResponse(body), nil })
		client := logstore.NewClient("http://platform", logstore.WithTransport(transport))
		cur := cursor[[]uint64]{machine: offsetMachine{}}
		b, err := client.Read(t.Context(), "s", 0, 10)
		if err != nil {
			return
		}
		if err := cur.advance(b); err == nil && cur.hasState && cur.next != b.Next {
			t.Fatalf("cursor is at %d after a response up to %d", cur.next, b.Next)
		}
	})
}
