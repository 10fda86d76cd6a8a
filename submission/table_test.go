package submission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"oriolerelay/errkind"
)

// clock is a fake clock.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

// TestBeginRunsOnce guards against a submission that is started twice
// when it is sent several times concurrently.
func TestConcurrentBeginCreatesOneRecord(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Config{})
	expires := time.Now().Add(time.Minute)
	var wg sync.WaitGroup
	var mu sync.Mutex
	created := 0
	for range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e, first, err := table.Begin(Key{"veil", "a"}, 7, expires)
			if err != nil {
				t.Error(err)
				return
			}
			if first {
				mu.Lock()
				created++
				mu.Unlock()
				e.Finish(Answer{Status: 200, Body: []byte("x")})
			}
			a, err := e.Wait(context.Background())
			if err != nil || string(a.Body) != "x" {
				t.Errorf("answer %q, error %v", a.Body, err)
			}
		}()
	}
	wg.Wait()
	c.Assert(created, qt.Equals, 1)
	_, _, err := table.Begin(Key{"veil", "a"}, 8, expires)
	c.Assert(errkind.Is(err, errkind.IDConflict), qt.IsTrue)
	_, first, err := table.Begin(Key{"sleeve", "a"}, 8, expires)
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.IsTrue)
}

// TestFullTableRefuses guards against eviction before the expiry: a full table refuses new
// submissions and keeps every record until it expires.
func TestFullTableRefuses(t *testing.T) {
	c := qt.New(t)
	clk := &clock{t: time.Unix(1000, 0)}
	table := NewTable(Config{MaxRecords: 2, Now: clk.now})
	a, _, err := table.Begin(Key{"veil", "a"}, 1, clk.now().Add(10*time.Second))
	c.Assert(err, qt.IsNil)
	a.Finish(Answer{Status: 200})
	_, _, err = table.Begin(Key{"veil", "b"}, 1, clk.now().Add(20*time.Second))
	c.Assert(err, qt.IsNil)
	_, _, err = table.Begin(Key{"veil", "c"}, 1, clk.now().Add(20*time.Second))
	c.Assert(errkind.Is(err, errkind.RecordFull), qt.IsTrue)
	c.Assert(errkind.From(err).RetryAfter, qt.Equals, 10*time.Second)
	c.Assert(table.Lookup(Key{"veil", "a"}), qt.Equals, a)
	clk.advance(10 * time.Second)
	c.Assert(table.Lookup(Key{"veil", "a"}), qt.IsNil)
	_, first, err := table.Begin(Key{"veil", "c"}, 1, clk.now().Add(20*time.Second))
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.IsTrue)
}

// TestByteLimit guards against unbounded memory use by large answers.
func TestByteLimit(t *testing.T) {
	c := qt.New(t)
	clk := &clock{t: time.Unix(1000, 0)}
	table := NewTable(Config{MaxBytes: 64 << 10, Now: clk.now})
	e, _, err := table.Begin(Key{"veil", "big"}, 1, clk.now().Add(time.Second))
	c.Assert(err, qt.IsNil)
	e.Finish(Answer{Status: 200, Body: make([]byte, 63<<10)})
	_, _, err = table.Begin(Key{"veil", "next"}, 1, clk.now().Add(time.Second))
	c.Assert(errkind.Is(err, errkind.RecordFull), qt.IsTrue)
	clk.advance(time.Second)
	_, _, err = table.Begin(Key{"veil", "next"}, 1, clk.now().Add(time.Second))
	c.Assert(err, qt.IsNil)
}

// TestTableMatchesModel compares the table with a plain map over random operations. It
// guards against records that are lost, evicted early or never removed.
func TestTableMatchesModel(t *testing.T) {
	type modelRecord struct {
		hash     uint64
		expires  time.Time
		finished bool
		status   int
	}
	rapid.Check(t, func(t *rapid.T) {
		const maxRecords = 6
		clk := &clock{t: time.Unix(1000, 0)}
		table := NewTable(Config{MaxRecords: maxRecords, Now: clk.now})
		model := map[Key]*modelRecord{}
		modelRecords := map[Key]*Record{}
		expireModel := func() {
			for k, r := range model {
				if r.finished && !r.expires.After(clk.now()) {
					delete(model, k)
					delete(modelRecords, k)
				}
			}
		}
		key := func() Key { return Key{"t", fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "id"))} }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				expireModel()
				k, hash := key(), uint64(rapid.IntRange(0, 1).Draw(t, "hash"))
				expires := clk.now().Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "life")) * time.Second)
				e, first, err := table.Begin(k, hash, expires)
				r := model[k]
				switch {
				case r != nil && r.hash != hash:
					if !errkind.Is(err, errkind.IDConflict) {
						t.Fatalf("different body for %v: %v", k, err)
					}
				case r != nil:
					if err != nil || first || e != modelRecords[k] {
						t.Fatalf("resubmission of %v: created %v, error %v", k, first, err)
					}
				case len(model) >= maxRecords:
					if !errkind.Is(err, errkind.RecordFull) {
						t.Fatalf("new submission to a full table: %v", err)
					}
				default:
					if err != nil || !first {
						t.Fatalf("new submission %v: created %v, error %v", k, first, err)
					}
					model[k], modelRecords[k] = &modelRecord{hash: hash, expires: expires}, e
				}
			},
			"finish": func(t *rapid.T) {
				k := key()
				if e := modelRecords[k]; e != nil {
					status := rapid.IntRange(200, 599).Draw(t, "status")
					e.Finish(Answer{Status: status})
					if !model[k].finished {
						model[k].finished, model[k].status = true, status
					}
				}
			},
			"advance": func(t *rapid.T) {
				clk.advance(time.Duration(rapid.IntRange(1, 3).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				expireModel()
				for k, r := range model {
					e := table.Lookup(k)
					if e == nil {
						t.Fatalf("record of %v is missing", k)
					}
					if a, ok := e.Answer(); ok != r.finished || a.Status != r.status {
						t.Fatalf("%v: answer %v %v, want %v %v", k, a.Status, ok, r.status, r.finished)
					}
				}
				if n, _ := table.Size(); n != len(model) {
					t.Fatalf("%d records, want %d", n, len(model))
				}
				if len(model) == 0 {
					if _, b := table.Size(); b != 0 {
						t.Fatalf("%d bytes in an empty table", b)
					}
				}
			},
		})
	})
}
