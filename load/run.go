package load

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is the response body that a caller received for one submission.
type Answer struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Error  *struct {
		Kind         string `json:"kind"`
		Detail       string `json:"detail"`
		Outcome      string `json:"outcome"`
		Retry        string `json:"retry"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
	Started int `json:"started"`
	Tasks   []struct {
		Index   int             `json:"index"`
		Outcome string          `json:"outcome"`
		Kind    string          `json:"kind"`
		Body    json.RawMessage `json:"body"`
	} `json:"tasks"`
}

// WrongAnswer is the verdict for a complete answer with missing, reordered or foreign results.
const WrongAnswer Verdict = "wrong_answer"

// taskPayload is the payload that a sample endpoint runs for MS and echoes. Nonce
// identifies the submission and task that a result belongs to.
type taskPayload struct {
	MS    float64 `json:"ms"`
	Nonce string  `json:"nonce"`
	Pad   string  `json:"pad,omitempty"`
}

// Body returns the request body of s. nonce must be unique for each submission.
// The declared run times are the true ones multiplied by declaredFactor; if it is zero,
// none are declared.
func (s Submission) Body(service, nonce string, declaredFactor float64) map[string]any {
	tasks := make([]map[string]any, len(s.RunTimes))
	for i, r := range s.RunTimes {
		tasks[i] = map[string]any{"payload": taskPayload{
			MS: float64(r) / float64(time.Millisecond), Nonce: nonce + "/" + strconv.Itoa(i),
			Pad: strings.Repeat("x", s.Class.PayloadBytes),
		}}
		if declaredFactor > 0 {
			tasks[i]["expected_ms"] = max(int64(float64(r)*declaredFactor/float64(time.Millisecond)), 1)
		}
	}
	body := map[string]any{"service": service, "kind": s.Class.Kind, "deadline_ms": s.Class.Deadline.Milliseconds()}
	if s.Class.Request {
		maps.Copy(body, tasks[0])
	} else {
		body["tasks"] = tasks
	}
	return body
}

func (s Submission) path() string {
	if s.Class.Request {
		return "/v1/requests"
	}
	return "/v1/jobs"
}

// Classify returns the verdict on the response to s, which was sent with the given nonce, and
// the decoded answer.
func Classify(s Submission, nonce string, status int, body []byte) (Verdict, Answer) {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return NoAnswer, a
	}
	if status == http.StatusOK && a.Status == "complete" {
		if !matchesSubmission(s, nonce, a) {
			return WrongAnswer, a
		}
		return Complete, a
	}
	switch {
	case a.Error == nil:
		return NoAnswer, a
	case a.Error.Outcome == "not_run":
		return Refused, a
	case a.Error.Kind == "deadline_passed":
		return DeadlineMissed, a
	}
	return Failed, a
}

// matchesSubmission reports whether a holds the echo of every task of s, in order.
func matchesSubmission(s Submission, nonce string, a Answer) bool {
	if len(a.Tasks) != len(s.RunTimes) {
		return false
	}
	for i, t := range a.Tasks {
		var echo struct {
			Index   int         `json:"index"`
			Payload taskPayload `json:"payload"`
		}
		if json.Unmarshal(t.Body, &echo) != nil || t.Index != i || t.Outcome != "done" ||
			echo.Index != i || echo.Payload.Nonce != nonce+"/"+strconv.Itoa(i) {
			return false
		}
	}
	return true
}

// Outcome is the classified result of one submission.
type Outcome struct {
	Submission Submission
	Entry      int
	Verdict    Verdict
	Answer     Answer
	Err        error // transport error of a call without an answer
	Response   time.Duration
}

// ErrorKind returns the error kind of the answer, or "transport" if the call failed.
func (o Outcome) ErrorKind() string {
	switch {
	case o.Err != nil:
		return "transport"
	case o.Answer.Error != nil:
		return o.Answer.Error.Kind
	}
	return ""
}

// answerGrace is the time after the deadline of a submission during which its answer is
// still awaited.
const answerGrace = 5 * time.Second

// RunPlan sends the submissions of p to the entries round-robin and returns the outcomes
// in the order of the schedule. It returns when every answer has arrived or its
// submission has timed out, answerGrace after its deadline.
func (t Target) RunPlan(ctx context.Context, p Plan) []Outcome {
	client := newClient()
	defer client.CloseIdleConnections()
	schedule := p.Schedule()
	outcomes := make([]Outcome, len(schedule))
	start := time.Now()
	var wg sync.WaitGroup
	sent := 0
	for i, s := range schedule {
		if !sleepUntil(ctx, start.Add(s.At)) {
			break
		}
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcomes[i] = t.send(ctx, client, p, i, s)
		}()
	}
	wg.Wait()
	return outcomes[:sent]
}

func (t Target) send(ctx context.Context, client *http.Client, p Plan, number int, s Submission) Outcome {
	nonce := fmt.Sprintf("%s-%d-%d", p.Workload.Name, p.Seed, number)
	o := Outcome{Submission: s, Entry: t.selectEntry(number)}
	ctx, cancel := context.WithTimeout(ctx, s.Class.Deadline+answerGrace)
	defer cancel()
	body := s.Body(p.Workload.Service, nonce, p.DeclaredFactor)
	start := time.Now()
	status, b, err := sendRequest(ctx, client, http.MethodPost, t.Entries[o.Entry]+s.path(), t.Token, body)
	o.Response = time.Since(start)
	if err != nil {
		o.Verdict, o.Err = NoAnswer, err
		return o
	}
	o.Verdict, o.Answer = Classify(s, nonce, status, b)
	return o
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Measure runs p, adds its answers to r and its counts to res, and updates the
// summaries of res. The fleet must be the live endpoints.
func (t Target) Measure(ctx context.Context, p Plan, fleet Fleet, r *Recorder, res *Result) ([]Outcome, error) {
	before, err := t.ReadTraffic(ctx)
	if err != nil {
		return nil, err
	}
	startsBefore, err := t.CountStarts(ctx)
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	outcomes := t.RunPlan(ctx, p)
	res.Seconds += time.Since(begin).Seconds()
	for _, o := range outcomes {
		r.Add(o.Submission, o.Verdict, o.ErrorKind(), o.Response, fleet.Ideal(o.Submission))
	}
	r.FillResult(res)
	// The error is ignored: a killed node cannot be read, and its messages are not counted.
	after, _ := t.ReadTraffic(ctx)
	res.Traffic = res.Traffic.Add(after.Sub(before))
	starts, err := t.CountStarts(ctx)
	if err != nil {
		return outcomes, err
	}
	res.countStarts(startsBefore, starts, idempotentIDs(outcomes))
	messages, bytes := res.Traffic.Overhead()
	res.OverheadPerTask = messages / float64(max(res.Starts, 1))
	res.OverheadBytesPerNode = bytes / max(res.Seconds, 1) / float64(max(after.Nodes, 1))
	return outcomes, nil
}

// idempotentIDs returns the ids of the idempotent single requests, which may start more than once.
func idempotentIDs(outcomes []Outcome) map[string]bool {
	ids := map[string]bool{}
	for _, o := range outcomes {
		if o.Submission.Class.Request && o.Submission.Class.Idempotent {
			ids[o.Answer.ID] = true
		}
	}
	return ids
}

// countStarts adds the starts between two readings, and the number of tasks that started
// more than once although they are not idempotent requests.
func (r *Result) countStarts(before, after map[string]int, idempotent map[string]bool) {
	for key, n := range after {
		r.Starts += n - before[key]
		id, _, _ := strings.Cut(key, "/")
		if n > 1 && n > before[key] && !idempotent[id] {
			r.DoubleStarts++
		}
	}
}
