package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Analysis collects the log lines of all processes and groups them by job.
type Analysis struct {
	jobs          map[string]*jobLog
	processes     map[string][]string // incarnations by host, in the order of their first lines
	lastEventAt   time.Time
	firstJobAt    time.Time
	completedRuns map[endpointSecond][]*run
	skipped       int
}

// endpointSecond identifies an endpoint, by the name of its agent, and a Unix second.
type endpointSecond struct {
	agent  string
	second int64
}

// New returns an empty Analysis.
func New() *Analysis {
	return &Analysis{
		jobs: make(map[string]*jobLog), processes: make(map[string][]string),
		completedRuns: make(map[endpointSecond][]*run),
	}
}

// Read adds the lines of a log to the analysis.
func (a *Analysis) Read(r io.Reader) error {
	skipped, err := readLines(r, a.addLine)
	a.skipped += skipped
	return err
}

func (a *Analysis) addLine(l line) {
	if l.at.After(a.lastEventAt) {
		a.lastEventAt = l.at
	}
	if !slices.Contains(a.processes[l.node], l.incarnation) {
		a.processes[l.node] = append(a.processes[l.node], l.incarnation)
	}
	id := l.text("job")
	if id == "" {
		id, _, _ = strings.Cut(l.text("task"), ".")
	}
	if id == "" {
		return
	}
	r := a.jobs[id]
	if r == nil {
		r = &jobLog{id: id, tasks: make(map[string]*task)}
		a.jobs[id] = r
	}
	r.addLine(l)
	if slices.Contains(jobCodes, l.code) && (a.firstJobAt.IsZero() || l.at.Before(a.firstJobAt)) {
		a.firstJobAt = l.at
	}
}

// processEnded reports whether the process that wrote l has ended, which is the case when a
// later incarnation on the same host has written lines.
func (a *Analysis) processEnded(l *line) bool {
	incarnations := a.processes[l.node]
	return incarnations[len(incarnations)-1] != l.incarnation
}

// Loss is a job that was not answered in time.
type Loss struct {
	Job    string
	Queue  string
	Second int // seconds since the first job
	Cause  Cause
}

// CauseCount is the number of jobs that were lost for a cause.
type CauseCount struct {
	Cause Cause `json:"cause"`
	Jobs  int   `json:"jobs"`
}

// Report is the result of an analysis.
type Report struct {
	// Jobs is the number of jobs whose callers waited for the answer. It is the sum of
	// InTime and Lost.
	Jobs   int `json:"jobs"`
	InTime int `json:"in_time"`
	Lost   int `json:"lost"`
	// Abandoned counts the jobs whose callers disconnected before the answer, InProgress those
	// still in progress at the end of the logs. No other field counts these jobs.
	Abandoned  int `json:"abandoned"`
	InProgress int `json:"under_way"`
	// Skipped is the number of lines that could not be parsed.
	Skipped int `json:"skipped_lines"`
	// Causes has one element for each cause, including causes without jobs.
	Causes   []CauseCount   `json:"causes"`
	Queues   []QueueReport  `json:"queues"`
	Seconds  []SecondReport `json:"seconds"`
	Refusals Refusals       `json:"refusals"`
	Losses   []Loss         `json:"-"`
}

// QueueReport holds the results of the jobs of one queue.
type QueueReport struct {
	Queue  string       `json:"queue"`
	Jobs   int          `json:"jobs"`
	Lost   int          `json:"lost"`
	Causes []CauseCount `json:"causes"`
}

// SecondReport holds the results of the jobs that arrived in one second.
type SecondReport struct {
	Second int `json:"second"`
	Jobs   int `json:"jobs"`
	Lost   int `json:"lost"`
	// UpperBound is the share of jobs that endpoints of unlimited capacity could have served
	// in time: all except those lost with a process or an endpoint, or while no entry or
	// endpoint was available. The logs do not show the capacity that the work needed.
	UpperBound float64      `json:"bound"`
	Causes     []CauseCount `json:"causes"`
}

// Refusals summarizes what entries knew when they refused jobs for lack of capacity or for
// the caller timeout.
type Refusals struct {
	Jobs int `json:"jobs"`
	// WithFreeCapacity is the number of these jobs for whose tasks the endpoints had enough
	// free capacity, as far as the entry knew.
	WithFreeCapacity int `json:"with_free_room"`
	// MedianStatusAgeMS is the median over these refusals of the age of the oldest endpoint
	// status that the entry used.
	MedianStatusAgeMS float64 `json:"median_known_age_ms"`

	samples []refusalSample
}

// indexCompletedRuns groups the completed runs by endpoint and second.
func (a *Analysis) indexCompletedRuns() {
	clear(a.completedRuns)
	for _, r := range a.jobs {
		for _, t := range r.tasks {
			for _, x := range t.runs {
				if x.completed() {
					k := endpointSecond{x.agent, x.end.at.Unix()}
					a.completedRuns[k] = append(a.completedRuns[k], x)
				}
			}
		}
	}
}

// Report classifies all jobs and returns the result.
func (a *Analysis) Report() Report {
	a.indexCompletedRuns()
	out := Report{Skipped: a.skipped}
	queues, seconds := make(map[string]*tally), make(map[int]*tally)
	all := newTally()
	for _, id := range slices.Sorted(maps.Keys(a.jobs)) {
		r := a.jobs[id]
		if !slices.ContainsFunc(r.lines, func(l line) bool { return slices.Contains(jobCodes, l.code) }) {
			continue // only agents logged it: a stored job, or the logs of entries are missing
		}
		outcome, answered, placement := a.outcome(r)
		switch outcome {
		case outcomeAbandoned:
			out.Abandoned++
			continue
		case outcomeUnknown:
			out.InProgress++
			continue
		}
		second := int(r.firstEventAt.Sub(a.firstJobAt) / time.Second)
		t, q := tallyFor(seconds, second), tallyFor(queues, r.queue)
		for _, x := range []*tally{all, t, q} {
			x.jobs++
		}
		if outcome == outcomeInTime {
			out.InTime++
			continue
		}
		cause := a.causeOfLoss(r, outcome, answered, placement)
		for _, x := range []*tally{all, t, q} {
			x.causes[cause]++
		}
		out.Losses = append(out.Losses, Loss{Job: r.id, Queue: r.queue, Second: second, Cause: cause})
		out.Refusals.add(cause, placement)
	}
	out.Jobs, out.Lost, out.Causes = all.jobs, all.lost(), all.counts(true)
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		q := queues[name]
		out.Queues = append(out.Queues, QueueReport{Queue: name, Jobs: q.jobs, Lost: q.lost(), Causes: q.counts(false)})
	}
	for _, n := range slices.Sorted(maps.Keys(seconds)) {
		s := seconds[n]
		out.Seconds = append(out.Seconds, SecondReport{
			Second: n, Jobs: s.jobs, Lost: s.lost(), UpperBound: s.upperBound(), Causes: s.counts(false),
		})
	}
	out.Refusals.computeMedian()
	return out
}

// tally counts jobs, and lost jobs by cause.
type tally struct {
	jobs   int
	causes map[Cause]int
}

func newTally() *tally { return &tally{causes: make(map[Cause]int)} }

func tallyFor[K comparable](m map[K]*tally, k K) *tally {
	if m[k] == nil {
		m[k] = newTally()
	}
	return m[k]
}

func (t *tally) lost() (n int) {
	for _, c := range t.causes {
		n += c
	}
	return n
}

// counts returns the causes in descending order of jobs. Causes without jobs are included only
// if includeZero is set.
func (t *tally) counts(includeZero bool) (out []CauseCount) {
	for _, c := range Causes() {
		if n := t.causes[c]; n > 0 || includeZero {
			out = append(out, CauseCount{c, n})
		}
	}
	slices.SortStableFunc(out, func(a, b CauseCount) int { return cmp.Compare(b.Jobs, a.Jobs) })
	return out
}

// upperBound returns SecondReport.UpperBound.
func (t *tally) upperBound() float64 {
	return 1 - float64(t.causes[NoneAvailable]+t.causes[ProcessLost])/float64(max(t.jobs, 1))
}

// Timeline writes the lines of one job in order of time, followed by its outcome.
func (a *Analysis) Timeline(w io.Writer, id string) error {
	r := a.jobs[id]
	if r == nil {
		return fmt.Errorf("no log line mentions job %q", id)
	}
	lines := slices.Clone(r.lines)
	slices.SortStableFunc(lines, func(x, y line) int { return x.at.Compare(y.at) })
	for i := range lines {
		l := &lines[i]
		if _, err := fmt.Fprintf(w, "%9.1f ms  %-24s %s%s\n", l.at.Sub(r.firstEventAt).Seconds()*1000, l.node, l.text("msg"), l.otherFields()); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	a.indexCompletedRuns()
	outcome, answered, placement := a.outcome(r)
	verdict := "answered in time"
	switch outcome {
	case outcomeInTime:
	case outcomeAbandoned:
		verdict = "abandoned by its caller"
	case outcomeUnknown:
		verdict = "in progress at the end of the logs"
	default:
		verdict = "lost: " + string(a.causeOfLoss(r, outcome, answered, placement))
	}
	_, err := fmt.Fprintf(w, "%s\n", verdict)
	return err
}

// otherFields returns the fields of l that the other columns do not show.
func (l *line) otherFields() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.fields)) {
		switch k {
		case "ts", "level", "node", "event", "msg", "job":
		default:
			fmt.Fprintf(&b, " %s=%s", k, l.fields[k])
		}
	}
	return b.String()
}
