package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds: ratios are recorded in thousandths up to 10,000, durations in
// microseconds up to 10 minutes, both with three significant digits.
const (
	ratioScale        = 1000
	maxRatio          = 10_000 * ratioScale
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Stat summarises one histogram.
type Stat struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Mean  float64 `json:"mean"`
	Max   float64 `json:"max"`
}

func summarise(h *hdrhistogram.Histogram, unit float64) Stat {
	q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / unit }
	return Stat{
		Count: h.TotalCount(), P50: q(50), P90: q(90), P99: q(99),
		Mean: h.Mean() / unit, Max: float64(h.Max()) / unit,
	}
}

// Verdict classifies how one submission ended for its caller.
type Verdict string

// Verdicts. Only complete answers are included in the response times.
const (
	Complete       Verdict = "complete"
	Refused        Verdict = "refused"         // the answer states that nothing ran
	Failed         Verdict = "failed"          // the answer states that tasks may have run
	DeadlineMissed Verdict = "deadline_missed" // as Failed, because the deadline passed
	NoAnswer       Verdict = "no_answer"       // failed connection or malformed answer
)

// Recorder collects the answers of one run. It is not safe for concurrent use.
type Recorder struct {
	ratio, response *hdrhistogram.Histogram
	verdicts        map[Verdict]int
	errorKinds      map[string]int
	tasks           int
	refusal         *hdrhistogram.Histogram
	ratioByKind     map[string]*hdrhistogram.Histogram // by kind of the submission
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		ratio:       hdrhistogram.New(1, maxRatio, significantDigits),
		response:    hdrhistogram.New(1, maxMicros, significantDigits),
		refusal:     hdrhistogram.New(1, maxMicros, significantDigits),
		verdicts:    map[Verdict]int{},
		errorKinds:  map[string]int{},
		ratioByKind: map[string]*hdrhistogram.Histogram{},
	}
}

// Add records one answer. errorKind is empty for a complete answer.
func (r *Recorder) Add(s Submission, v Verdict, errorKind string, response, ideal time.Duration) {
	r.verdicts[v]++
	if errorKind != "" {
		r.errorKinds[errorKind]++
	}
	switch v {
	case Complete:
		r.tasks += len(s.RunTimes)
		recordClamped(r.response, response.Microseconds(), maxMicros)
		if ideal > 0 {
			scaledRatio := int64(float64(response) / float64(ideal) * ratioScale)
			recordClamped(r.ratio, scaledRatio, maxRatio)
			r.recordByKind(s, scaledRatio)
		}
	case Refused:
		recordClamped(r.refusal, response.Microseconds(), maxMicros)
	}
}

func (r *Recorder) recordByKind(s Submission, scaledRatio int64) {
	if s.Class == nil {
		return
	}
	h := r.ratioByKind[s.Class.Kind]
	if h == nil {
		h = hdrhistogram.New(1, maxRatio, significantDigits)
		r.ratioByKind[s.Class.Kind] = h
	}
	recordClamped(h, scaledRatio, maxRatio)
}

// recordClamped clamps v to the histogram's range, because a histogram rejects values outside it.
func recordClamped(h *hdrhistogram.Histogram, v, highest int64) {
	_ = h.RecordValue(min(max(v, 1), highest))
}

// Traffic counts the messages that the processes sent during a run, by message type.
type Traffic struct {
	Messages map[string]float64 `json:"messages"`
	Bytes    map[string]float64 `json:"bytes"`
	// Nodes is the number of processes whose metrics were read.
	Nodes int `json:"nodes"`
}

// usefulTypes are the message types that carry work or results; all others count as
// overhead (docs/design.md section 7).
var usefulTypes = map[string]bool{"start": true, "result": true, "forward": true, "forwarded": true}

// Overhead returns the number and bytes of overhead messages.
func (t Traffic) Overhead() (messages, bytes float64) {
	for name, n := range t.Messages {
		if !usefulTypes[name] {
			messages += n
			bytes += t.Bytes[name]
		}
	}
	return messages, bytes
}

// Result is the outcome of one run.
type Result struct {
	Name       string          `json:"name"`
	Workload   string          `json:"workload"`
	Declared   string          `json:"declared,omitempty"`
	Policy     string          `json:"policy"`
	Seed       uint64          `json:"seed"`
	Load       float64         `json:"load"`
	Seconds    float64         `json:"seconds"`
	Fleet      Fleet           `json:"fleet"`
	Faults     []string        `json:"faults,omitempty"`
	Sent       int             `json:"sent"`
	Tasks      int             `json:"tasks"` // tasks in complete answers
	Rounds     int             `json:"rounds"`
	Verdicts   map[Verdict]int `json:"verdicts"`
	ErrorKinds map[string]int  `json:"kinds"`
	// Ratio is response/ideal; Response and Refusal are in milliseconds.
	Ratio Stat `json:"ratio"`
	// RatioByKind breaks Ratio down by the kind of submission.
	RatioByKind map[string]Stat `json:"ratio_by_kind,omitempty"`
	Response    Stat            `json:"response_ms"`
	Refusal     Stat            `json:"refusal_ms"`
	Traffic     Traffic         `json:"traffic"`
	// OverheadPerTask is the number of overhead messages per task start.
	OverheadPerTask float64 `json:"wasted_per_task"`
	// OverheadBytesPerNode is the mean bytes per second of overhead messages sent per process.
	OverheadBytesPerNode float64 `json:"control_bytes_per_node_s"`
	Starts               int     `json:"starts"`
	DoubleStarts         int     `json:"double_starts"`
}

// FillResult copies the recorder's counts and summaries into res.
func (r *Recorder) FillResult(res *Result) {
	res.Verdicts, res.ErrorKinds, res.Tasks = r.verdicts, r.errorKinds, r.tasks
	res.Ratio = summarise(r.ratio, ratioScale)
	res.Response = summarise(r.response, 1000)
	res.Refusal = summarise(r.refusal, 1000)
	res.Sent = 0
	res.RatioByKind = map[string]Stat{}
	for kind, h := range r.ratioByKind {
		res.RatioByKind[kind] = summarise(h, ratioScale)
	}
	for _, n := range r.verdicts {
		res.Sent += n
	}
}

// WriteJSON writes results as one indented JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(results)
}

// WriteTable writes results as a Markdown table.
func WriteTable(w io.Writer, results []Result) error {
	var b strings.Builder
	b.WriteString("| run | policy | load | sent | complete | refused | failed | missed | no answer | ratio p50 | p90 | p99 | mean | wasted/task | control B/s/node | double starts |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %.0f%% | %d | %d | %d | %d | %d | %d | %.2f | %.2f | %.2f | %.2f | %.3f | %.0f | %d |\n",
			r.Name, r.Policy, 100*r.Load, r.Sent, r.Verdicts[Complete], r.Verdicts[Refused], r.Verdicts[Failed],
			r.Verdicts[DeadlineMissed], r.Verdicts[NoAnswer], r.Ratio.P50, r.Ratio.P90, r.Ratio.P99, r.Ratio.Mean,
			r.OverheadPerTask, r.OverheadBytesPerNode, r.DoubleStarts)
	}
	b.WriteString("\nPer run: messages sent per started task by type; ratio p50/p99 by kind; error kinds.\n\n")
	for _, r := range results {
		perTask := map[string]string{}
		for name, n := range r.Traffic.Messages {
			perTask[name] = fmt.Sprintf("%.3f", n/float64(max(r.Starts, 1)))
		}
		ratios := map[string]string{}
		for kind, s := range r.RatioByKind {
			ratios[kind] = fmt.Sprintf("%.2f/%.2f", s.P50, s.P99)
		}
		errorCounts := map[string]string{}
		for kind, n := range r.ErrorKinds {
			errorCounts[kind] = fmt.Sprint(n)
		}
		fmt.Fprintf(&b, "- %s, %s, %.0f%%: messages%s; ratio%s; errors%s\n", r.Name, r.Policy, 100*r.Load,
			formatSorted(perTask), formatSorted(ratios), formatSorted(errorCounts))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatSorted formats m in the order of its keys.
func formatSorted(m map[string]string) string {
	if len(m) == 0 {
		return " none"
	}
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, k := range keys {
		b.WriteString(" " + k + " " + m[k])
	}
	return b.String()
}
