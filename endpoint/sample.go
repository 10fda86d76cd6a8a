package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// maxCountedTasks is the number of tasks whose starts are counted. Beyond it the counts
// start anew.
const maxCountedTasks = 1 << 20

// errFailMode is the error of every task while SetFail(true) is in effect.
var errFailMode = errors.New("endpoint is set to fail every task")

// Sample is a Runner for tests and the quick start. A task takes the time given in its
// payload, {"ms": 80}, or DefaultRunTime, divided by Speed. Its answer holds the
// submission, index and payload.
type Sample struct {
	// Speed divides run times; 0 means 1.
	Speed float64
	// DefaultRunTime is the run time of a payload without "ms".
	DefaultRunTime time.Duration

	fail      atomic.Bool
	straggler atomic.Int64 // multiplies run times; 0 and 1 have no effect

	mu     sync.Mutex
	starts map[startKey]int
	total  int
}

type startKey struct {
	submission string
	index      int
}

// SetFail sets whether every task fails immediately.
func (s *Sample) SetFail(on bool) { s.fail.Store(on) }

// SetStraggler sets a factor that multiplies run times; 1 has no effect.
func (s *Sample) SetStraggler(factor int) { s.straggler.Store(int64(factor)) }

// Starts returns how often a task was started.
func (s *Sample) Starts(submission string, index int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[startKey{submission, index}]
}

// TotalStarts returns the number of starts of all tasks.
func (s *Sample) TotalStarts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

type sampleAnswer struct {
	Submission string          `json:"submission"`
	Index      int             `json:"index"`
	Payload    json.RawMessage `json:"payload"`
}

// RunTask implements Runner.
func (s *Sample) RunTask(ctx context.Context, t Task) ([]byte, error) {
	s.countStart(t)
	if s.fail.Load() {
		return nil, errFailMode
	}
	if d := s.runTime(t.Payload); d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	payload := t.Payload
	if !json.Valid(payload) {
		payload = nil
	}
	return json.Marshal(sampleAnswer{Submission: t.Submission, Index: t.Index, Payload: payload})
}

func (s *Sample) countStart(t Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if s.starts == nil || len(s.starts) >= maxCountedTasks {
		s.starts = make(map[startKey]int)
	}
	s.starts[startKey{t.Submission, t.Index}]++
}

func (s *Sample) runTime(payload []byte) time.Duration {
	d := s.DefaultRunTime
	var p struct {
		MS *float64 `json:"ms"`
	}
	if json.Unmarshal(payload, &p) == nil && p.MS != nil {
		d = time.Duration(*p.MS * float64(time.Millisecond))
	}
	if s.Speed > 0 {
		d = time.Duration(float64(d) / s.Speed)
	}
	if f := s.straggler.Load(); f > 1 {
		d *= time.Duration(f)
	}
	return d
}

// Register adds the HTTP handlers of s to e:
//
//	GET /starts?submission=S&index=I  {"starts": n, "total": n}
//	GET /starts/tasks                 [{"submission", "index", "starts"}]
//	PUT /mode {"fail": bool, "straggler": factor}
func (s *Sample) Register(e *Endpoint) {
	e.Handle("GET /starts", http.HandlerFunc(s.serveStarts))
	e.Handle("GET /starts/tasks", http.HandlerFunc(s.serveTasks))
	e.Handle("PUT /mode", http.HandlerFunc(s.serveMode))
}

func (s *Sample) serveStarts(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err != nil && r.URL.Query().Has("index") {
		http.Error(w, "index must be an integer", http.StatusBadRequest)
		return
	}
	starts := s.Starts(r.URL.Query().Get("submission"), index)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"starts": starts, "total": s.TotalStarts()}) // the client notices a lost connection
}

func (s *Sample) serveMode(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Fail      bool `json:"fail"`
		Straggler int  `json:"straggler"`
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFail(m.Fail)
	s.SetStraggler(m.Straggler)
	w.WriteHeader(http.StatusNoContent)
}
