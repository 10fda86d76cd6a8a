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
	w := &streamModel{rt: rt, now: time.UnixMilli(1000)}
	w.server = standin.New(standin.WithClock(func() time.Time { return w.now }))
	w.client = logstore.NewClient("http://platform", logstore.WithTransport(w.server.Transport()))
	w.addReader()
	return w
}

func (w *streamModel) addReader() {
	w.readers = append(w.readers, &cursor[[]uint64]{machine: offsetMachine{}})
}

func (w *streamModel) append(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		w.rt.Fatal(err)
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(w.rt, "ms")) * time.Millisecond)
	p := w.server.Append("s", b)
	w.history = append(w.history, logstore.Record{Offset: p.Offset, TimeMS: p.TimeMS, Value: b})
}

// expectedState returns the state after a full replay of the history before next.
func (w *streamModel) expectedState(next uint64) []uint64 {
	var s []uint64
	for _, r := range w.history[:next] {
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
func (w *streamModel) read(c *cursor[[]uint64], limit int) int {
	b, err := w.client.Read(w.rt.Context(), "s", c.next, limit)
	if err != nil {
		w.rt.Fatal(err)
	}
	if err := c.advance(b); err != nil {
		w.rt.Fatal(err)
	}
	if !c.hasState {
		return len(b.Records)
	}
	if got, want := fmt.Sprint(c.state), fmt.Sprint(w.expectedState(c.next)); got != want {
		w.rt.Fatalf("state at %d is %s, want %s", c.next, got, want)
	}
	for _, r := range w.history[c.next:] {
		if r.TimeMS < c.knownMS {
			w.rt.Fatalf("record %d with timestamp %d ms is unread, but the watermark is %d ms", r.Offset, r.TimeMS, c.knownMS)
		}
	}
	if c.mismatches > 0 {
		w.rt.Fatal("a snapshot differs from the state of a reader")
	}
	return len(b.Records)
}

// hasStartPoint reports whether the stream contains a start point for new readers.
func (w *streamModel) hasStartPoint() bool {
	if w.expired == 0 {
		return true
	}
	for _, r := range w.history[w.expired:] {
		if p, ok := parseSnapshot(r); (ok && p.UpTo >= w.expired) || testType(r) == "reset" {
			return true
		}
	}
	return false
}

func (w *streamModel) step() {
	c := w.readers[rapid.IntRange(0, len(w.readers)-1).Draw(w.rt, "reader")]
	switch op := rapid.IntRange(0, 13).Draw(w.rt, "op"); {
	case op < 5:
		w.append(testRecord{Type: "value"})
	case op < 9:
		w.read(c, rapid.IntRange(1, 4).Draw(w.rt, "limit"))
	case op == 9 && c.hasState:
		s, err := c.snapshot()
		if err != nil {
			w.rt.Fatal(err)
		}
		w.delayedSnapshots = append(w.delayedSnapshots, s)
	case op == 10 && len(w.delayedSnapshots) > 0: // possibly long after it was created
		i := rapid.IntRange(0, len(w.delayedSnapshots)-1).Draw(w.rt, "snapshot")
		w.append(w.delayedSnapshots[i])
	case op == 11:
		w.expired = uint64(rapid.IntRange(int(w.expired), len(w.history)).Draw(w.rt, "expire"))
		w.server.SetFaults(standin.Faults{ExpireBefore: map[string]uint64{"s": w.expired}})
	case op == 12:
		w.append(testRecord{Type: "reset"})
	case op == 13:
		w.addReader()
	}
}

// A reader's state must equal a full replay, also when records expired unread, when
// a paused process wrote a snapshot late or when the reader starts mid-stream.
func TestReaderStateMatchesFullReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newStreamModel(rt)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			w.step()
		}
		for i, c := range w.readers {
			for pages := 0; w.read(c, 4) > 0 || pages < 2; pages++ {
				if pages > 3*len(w.history)+3 {
					rt.Fatalf("reader %d does not reach the end", i)
				}
			}
			if !c.hasState && w.hasStartPoint() {
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
		c.Assert(cur.hasState, qt.Equals, name == "none", qt.Commentf("damage: %s", name))
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
