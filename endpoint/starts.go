package endpoint

import (
	"encoding/json"
	"net/http"
)

// TaskStarts is the number of starts of one task.
type TaskStarts struct {
	Submission string `json:"submission"`
	Index      int    `json:"index"`
	Starts     int    `json:"starts"`
}

// AllStarts returns the starts of all counted tasks, in unspecified order.
func (s *Sample) AllStarts() []TaskStarts {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]TaskStarts, 0, len(s.starts))
	for k, n := range s.starts {
		list = append(list, TaskStarts{Submission: k.submission, Index: k.index, Starts: n})
	}
	return list
}

// serveTasks serves GET /starts/tasks with the starts of all counted tasks.
func (s *Sample) serveTasks(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.AllStarts()) // the client notices a lost connection
}
