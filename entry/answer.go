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

// httpResponse is a complete HTTP response. It is encoded once, at the home, so
// that every caller of a submission receives the same bytes.
type httpResponse submission.Answer

type errorBody struct {
	Kind         errkind.Kind    `json:"kind"`
	Detail       string          `json:"detail"`
	Outcome      errkind.Outcome `json:"outcome"`
	Retry        errkind.Retry   `json:"retry"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}

type taskResult struct {
	Index   int             `json:"index"`
	Outcome errkind.Outcome `json:"outcome"`
	Kind    errkind.Kind    `json:"kind,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
	// BodyBase64 holds a result that is not JSON.
	BodyBase64 []byte `json:"body_base64,omitempty"`
}

// Statuses of a submission in a response.
const (
	statusComplete = "complete"
	statusFailed   = "failed"
	statusRunning  = "running"
)

type responseBody struct {
	ID      string       `json:"id,omitempty"`
	Status  string       `json:"status,omitempty"`
	Error   *errorBody   `json:"error,omitempty"`
	Started *int         `json:"started,omitempty"`
	Tasks   []taskResult `json:"tasks,omitempty"`
}

// submissionResponse encodes the final answer of submission id.
func submissionResponse(id string, a dispatch.Answer) httpResponse {
	if a.Err == nil {
		return jsonResponse(http.StatusOK, responseBody{ID: id, Status: statusComplete, Tasks: taskResults(a)})
	}
	resp := errorResponse(a.Err)
	e := newErrorBody(a.Err)
	resp.Body = encodeJSON(responseBody{ID: id, Status: statusFailed, Error: &e, Started: &a.Started, Tasks: taskResults(a)})
	return resp
}

func taskResults(a dispatch.Answer) []taskResult {
	tasks := make([]taskResult, len(a.Tasks))
	for i, t := range a.Tasks {
		tasks[i] = taskResult{Index: i, Outcome: t.Outcome, Kind: t.Kind}
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

// errorResponse encodes err without the state of a submission.
func errorResponse(err error) httpResponse {
	e := newErrorBody(err)
	row := errkind.From(err).Answer()
	return httpResponse{
		Status:     row.Status,
		Body:       encodeJSON(responseBody{Error: &e}),
		RetryAfter: retryAfterSeconds(row.RetryAfter),
	}
}

func newErrorBody(err error) errorBody {
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

// retryAfterSeconds rounds up, because Retry-After is given in whole seconds and
// a retry that comes too early would be refused again.
func retryAfterSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func jsonResponse(status int, v any) httpResponse {
	return httpResponse{Status: status, Body: encodeJSON(v)}
}

// encodeJSON encodes v, which must be of a type whose encoding cannot fail.
func encodeJSON(v any) []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
	return b.Bytes()
}

func (resp httpResponse) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	if resp.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(resp.RetryAfter, 10))
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // the caller may have disconnected
}
