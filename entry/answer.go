package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"oriolerelay/dispatch"
	"oriolerelay/errkind"
	"oriolerelay/submission"
)

// reply is a complete HTTP answer. It is encoded once, at the home, so that
// every caller of a submission receives the same bytes.
type reply submission.Answer

type errorBody struct {
	Kind         errkind.Kind    `json:"kind"`
	Detail       string          `json:"detail"`
	Outcome      errkind.Outcome `json:"outcome"`
	Retry        errkind.Retry   `json:"retry"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}

type taskBody struct {
	Index   int             `json:"index"`
	Outcome errkind.Outcome `json:"outcome"`
	Kind    errkind.Kind    `json:"kind,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
	// BodyBase64 holds a result that is not JSON.
	BodyBase64 []byte `json:"body_base64,omitempty"`
}

// Statuses of a submission in an answer.
const (
	statusComplete = "complete"
	statusFailed   = "failed"
	statusRunning  = "running"
)

type answerBody struct {
	ID      string     `json:"id,omitempty"`
	Status  string     `json:"status,omitempty"`
	Error   *errorBody `json:"error,omitempty"`
	Started *int       `json:"started,omitempty"`
	Tasks   []taskBody `json:"tasks,omitempty"`
}

// answerReply encodes the final answer of submission id.
func answerReply(id string, a dispatch.Answer) reply {
	if a.Err == nil {
		return jsonReply(http.StatusOK, answerBody{ID: id, Status: statusComplete, Tasks: taskBodies(a)})
	}
	r := errorReply(a.Err)
	e := errorOf(a.Err)
	r.Body = encodeJSON(answerBody{ID: id, Status: statusFailed, Error: &e, Started: &a.Started, Tasks: taskBodies(a)})
	return r
}

func taskBodies(a dispatch.Answer) []taskBody {
	tasks := make([]taskBody, len(a.Tasks))
	for i, t := range a.Tasks {
		tasks[i] = taskBody{Index: i, Outcome: t.Outcome, Kind: t.Kind}
		if a.Err != nil {
			continue
		}
		if json.Valid(t.Body) {
			tasks[i].Body = t.Body
		} else {
			tasks[i].BodyBase64 = t.Body
		}
	}
	return tasks
}

// errorReply is the answer to a failure without a submission's state.
func errorReply(err error) reply {
	e := errorOf(err)
	row := errkind.From(err).Answer()
	return reply{
		Status:     row.Status,
		Body:       encodeJSON(answerBody{Error: &e}),
		RetryAfter: retryAfterSeconds(row.RetryAfter),
	}
}

func errorOf(err error) errorBody {
	e := errkind.From(err)
	row := e.Answer()
	return errorBody{
		Kind:         e.Kind,
		Detail:       e.Detail,
		Outcome:      row.Outcome,
		Retry:        row.Retry,
		RetryAfterMS: row.RetryAfter.Milliseconds(),
	}
}

// retryAfterSeconds rounds up, because Retry-After has whole seconds and an
// early retry would be refused again.
func retryAfterSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func jsonReply(status int, v any) reply { return reply{Status: status, Body: encodeJSON(v)} }

// encodeJSON encodes the package's own types, which cannot fail.
func encodeJSON(v any) []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
	return b.Bytes()
}

func (r reply) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(r.RetryAfter, 10))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // the caller may have gone
}
