package losses

import (
	"slices"
	"strings"
	"time"
)

// Codes of the events that this package reads; docs/events.md lists all.
const (
	codeJobAdmitted  = 600
	codeJobRefused   = 601
	codeJobEnded     = 602
	codeJobAbandoned = 603
	codeTaskPlaced   = 604
	codeTaskRetried  = 605
	codeTaskMoved    = 606
	codeJobPassed    = 607
	codeJobAnswered  = 608
	codeJobTaken     = 609
	codeCallerGone   = 614
	codeRunEnded     = 620
)

// record is what the lines tell of a job.
type record struct {
	id    string
	queue string
	first time.Time // when an entry first heard of it
	lines []line
	tasks map[string]*task
}

// task is one task of a job.
type task struct {
	job   *record
	name  string
	runs  []*run
	moved map[string]bool // runs that were stopped to run elsewhere
}

// run is one order of a task.
type run struct {
	number   string
	agent    string
	ordered  time.Time // on the clock of the entry
	waited   time.Duration
	slowness float64 // of the endpoint, as the entry knew it
	heardAgo time.Duration
	// again is why the task was run again, and againAt when; empty for the last run.
	again   string
	againAt time.Time
	end     *line // the agent's line, nil if it has none
}

// jobCodes are the events that tell of a job as a whole.
var jobCodes = []int{
	codeJobAdmitted, codeJobRefused, codeJobEnded, codeJobAbandoned, codeJobPassed, codeJobAnswered, codeJobTaken, codeCallerGone,
}

// take adds a line of the job.
func (r *record) take(l line) {
	r.lines = append(r.lines, l)
	if r.first.IsZero() || l.at.Before(r.first) {
		r.first = l.at
	}
	if q := l.text("queue"); q != "" {
		r.queue = q
	}
	name := l.text("task")
	if name == "" {
		return
	}
	t := r.tasks[name]
	if t == nil {
		t = &task{job: r, name: name, moved: make(map[string]bool)}
		r.tasks[name] = t
	}
	switch n := l.text("run"); l.code {
	case codeTaskPlaced:
		x := t.run(n)
		x.agent, x.ordered, x.waited = l.text("agent"), l.at, l.millis("waited_ms")
		x.slowness, x.heardAgo = l.number("slowness")/1000, l.millis("heard_ms_ago")
	case codeTaskRetried:
		x := t.run(n)
		x.again, x.againAt = l.text("why"), l.at
	case codeTaskMoved:
		t.moved[n] = true
	case codeRunEnded:
		t.run(n).end = &l
	}
}

func (t *task) run(number string) *run {
	for _, x := range t.runs {
		if x.number == number {
			return x
		}
	}
	x := &run{number: number}
	t.runs = append(t.runs, x)
	return x
}

// fate is what became of a job.
type fate uint8

const (
	fateUnknown   fate = iota // it was under way when the lines end
	fateInTime                // answered in time
	fateLate                  // answered late
	fateRefused               // refused, or answered without a result
	fateLost                  // its entry was lost
	fateAbandoned             // its caller left
)

// answer returns the line that tells what the caller got, nil if there is none, and the
// line of the entry that placed the job.
func (r *record) answer() (answered, placed *line) {
	taken := make(map[string]bool) // entries that had it from another one
	for i := range r.lines {
		if r.lines[i].code == codeJobTaken {
			taken[r.lines[i].node] = true
		}
	}
	for i := range r.lines {
		switch l := &r.lines[i]; l.code {
		case codeJobEnded, codeJobRefused, codeJobAbandoned, codeCallerGone:
			placed = better(placed, l)
			if !taken[l.node] {
				answered = better(answered, l)
			}
		case codeJobAnswered:
			answered = better(answered, l)
		}
	}
	return answered, placed
}

// better returns the line that says more: a caller that sent its job more than once counts
// by its best answer, and a refusal that was followed by another attempt by the last.
func better(a, b *line) *line {
	if a == nil || rank(b) > rank(a) || rank(b) == rank(a) && b.at.After(a.at) {
		return b
	}
	return a
}

// kind returns the error kind of an answer.
func (l *line) kind() string {
	if l.code == codeJobAnswered {
		kind, _, _ := strings.Cut(l.text("error"), ":")
		return kind
	}
	return l.text("kind")
}

func rank(l *line) int {
	switch {
	case l.text("state") == "completed" && l.text("in_time") != "false":
		return 4
	case l.text("state") == "completed":
		return 3
	case l.code == codeJobAbandoned || l.code == codeCallerGone:
		return 1
	}
	return 2
}

// fate returns what became of the job.
func (a *Analysis) fate(r *record) (f fate, answered, placed *line) {
	answered, placed = r.answer()
	if answered == nil {
		for i := range r.lines {
			l := &r.lines[i]
			if a.hasEnded(l) && slices.Contains(jobCodes, l.code) {
				return fateLost, nil, placed
			}
		}
		if a.last.Sub(r.first) > underWay {
			return fateLost, nil, placed
		}
		return fateUnknown, nil, placed
	}
	switch rank(answered) {
	case 4, 3:
		if a.isLate(r, answered, placed) {
			return fateLate, answered, placed
		}
		return fateInTime, answered, placed
	case 1:
		return fateAbandoned, answered, placed
	}
	if answered.kind() == "cancelled_running" {
		return fateAbandoned, answered, placed
	}
	return fateRefused, answered, placed
}

// isLate reports whether an answer came after the job's objective. Where the lines of the
// agents tell how long its tasks worked, the objective follows from that: what the caller
// had declared is a guess.
func (a *Analysis) isLate(r *record, answered, placed *line) bool {
	ended := placed
	if ended == nil {
		ended = answered
	}
	needs, stretch, target := time.Duration(0), 0.0, time.Duration(0)
	for i := range r.lines {
		if l := &r.lines[i]; l.code == codeJobAdmitted && l.node == ended.node && l.text("needs_ms") != "" {
			needs, stretch, target = l.millis("needs_ms"), l.number("stretch"), l.millis("target_ms")
		}
	}
	factor := a.workFactor(r)
	if needs == 0 || factor == 0 {
		return ended.text("in_time") == "false"
	}
	objective := time.Duration(stretch*factor*float64(needs)) + target
	return answered.millis("took_ms") > objective
}

// workFactor returns how much longer the job's longest task worked than declared, without
// what its endpoint was slow; 0 if the lines do not tell.
func (a *Analysis) workFactor(r *record) (factor float64) {
	for _, t := range r.tasks {
		for _, x := range t.runs {
			if !x.isDone() {
				continue
			}
			f := x.ratio()
			if slow := a.overrunAt(x); slow > slowEndpoint {
				f /= slow
			}
			factor = max(factor, f)
		}
	}
	return factor
}

// slowEndpoint is how much longer than expected the other runs at an endpoint take when it
// counts as slower than known; declared times alone make a median differ by less.
const slowEndpoint = 1.5

// underWay is the age up to which a job without an answer may still run when the lines end.
const underWay = 15 * time.Second
