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

// Analysis is what the lines of all processes tell.
type Analysis struct {
	jobs          map[string]*jobLog
	processes     map[string][]string // processes of a host, in the order of their lines
	lastEventAt   time.Time
	firstJobAt    time.Time // the first job
	completedRuns map[endpointSecond][]*run
	skipped       int
}

// endpointSecond is a second at an endpoint, by the name of its agent.
type endpointSecond struct {
	agent  string
	second int64
}

// New returns an Analysis without lines.
func New() *Analysis {
	return &Analysis{
		jobs: make(map[string]*jobLog), processes: make(map[string][]string),
		completedRuns: make(map[endpointSecond][]*run),
	}
}

// Read adds the lines of a log.
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

// hasEnded reports whether the process that wrote l has ended: another one of its host
// follows it.
func (a *Analysis) processEnded(l *line) bool {
	incarnations := a.processes[l.node]
	return incarnations[len(incarnations)-1] != l.incarnation
}

// Loss is one job that was not answered in time.
type Loss struct {
	Job    string
	Queue  string
	Second int // since the first job
	Cause  Cause
}

// Count is the number of jobs of a cause.
type CauseCount struct {
	Cause Cause `json:"cause"`
	Jobs  int   `json:"jobs"`
}

// Report is the outcome of an analysis.
type Report struct {
	// Jobs is the number of jobs whose callers waited for the answer; InTime and Lost add
	// up to it.
	Jobs   int `json:"jobs"`
	InTime int `json:"in_time"`
	Lost   int `json:"lost"`
	// Abandoned jobs are those whose callers left before; they count in none of the others,
	// and neither do those that were under way when the lines ended.
	Abandoned int `json:"abandoned"`
	UnderWay  int `json:"under_way"`
	// Skipped is the number of lines that could not be read.
	Skipped int `json:"skipped_lines"`
	// Causes has one entry for each cause, also for those without a job.
	Causes   []CauseCount   `json:"causes"`
	Queues   []QueueReport  `json:"queues"`
	Seconds  []SecondReport `json:"seconds"`
	Refusals Refusals       `json:"refusals"`
	Losses   []Loss         `json:"-"`
}

// QueueReport is the part of one queue.
type QueueReport struct {
	Queue  string       `json:"queue"`
	Jobs   int          `json:"jobs"`
	Lost   int          `json:"lost"`
	Causes []CauseCount `json:"causes"`
}

// SecondReport is the part of the jobs that arrived in one second.
type SecondReport struct {
	Second int `json:"second"`
	Jobs   int `json:"jobs"`
	Lost   int `json:"lost"`
	// Bound is the share of the jobs that could have been served if the endpoints had room
	// without limit: all but those that were lost with a process or an endpoint, or while
	// none served. The logs do not tell the capacity that the work needed.
	UpperBound float64      `json:"bound"`
	Causes     []CauseCount `json:"causes"`
}

// Refusals tells what was known when jobs were refused for want of room or by patience.
type Refusals struct {
	Jobs int `json:"jobs"`
	// WithFreeRoom had free room for all their tasks at the endpoints, as far as known.
	WithFreeCapacity int `json:"with_free_room"`
	// MedianKnownAgeMS is the median age of the oldest status that they were based on.
	MedianKnownAgeMS float64 `json:"median_known_age_ms"`

	samples []refusalSample
}

// prepare sorts the ends of runs by endpoint and second.
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

// Report explains all jobs.
func (a *Analysis) Report() Report {
	a.indexCompletedRuns()
	out := Report{Skipped: a.skipped}
	queues, seconds := make(map[string]*tally), make(map[int]*tally)
	all := newTally()
	for _, id := range slices.Sorted(maps.Keys(a.jobs)) {
		r := a.jobs[id]
		if !slices.ContainsFunc(r.lines, func(l line) bool { return slices.Contains(jobCodes, l.code) }) {
			continue // only agents' lines: a stored job, or a log of agents alone
		}
		outcome, answered, placement := a.outcome(r)
		switch outcome {
		case outcomeAbandoned:
			out.Abandoned++
			continue
		case outcomeUnknown:
			out.UnderWay++
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

// tally counts the jobs of a part.
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

// counts returns the causes, most jobs first; those without a job only if all is set.
func (t *tally) counts(includeZero bool) (out []CauseCount) {
	for _, c := range Causes() {
		if n := t.causes[c]; n > 0 || includeZero {
			out = append(out, CauseCount{c, n})
		}
	}
	slices.SortStableFunc(out, func(a, b CauseCount) int { return cmp.Compare(b.Jobs, a.Jobs) })
	return out
}

// bound returns SecondReport.Bound.
func (t *tally) upperBound() float64 {
	return 1 - float64(t.causes[NoneAvailable]+t.causes[ProcessLost])/float64(max(t.jobs, 1))
}

// Timeline writes the lines of one job in the order of their times.
func (a *Analysis) Timeline(w io.Writer, id string) error {
	r := a.jobs[id]
	if r == nil {
		return fmt.Errorf("no line tells of job %q", id)
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
		verdict = "its caller left"
	case outcomeUnknown:
		verdict = "under way when the lines end"
	default:
		verdict = "lost: " + string(a.causeOfLoss(r, outcome, answered, placement))
	}
	_, err := fmt.Fprintf(w, "%s\n", verdict)
	return err
}

// rest returns the fields of l that the other columns do not show.
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
