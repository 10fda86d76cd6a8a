package losses

import (
	"slices"
	"strings"
	"time"
)

// Codes of the events that this package reads. docs/events.md lists all events.
const (
	codeJobAdmitted          = 600
	codeJobRefused           = 601
	codeJobEnded             = 602
	codeJobAbandoned         = 603
	codeTaskPlaced           = 604
	codeTaskRetried          = 605
	codeTaskMoved            = 606
	codeJobForwarded         = 607
	codeForwardedJobAnswered = 608
	codeForwardedJobReceived = 609
	codeCallerDisconnected   = 614
	codeRunEnded             = 620
)

// jobLog holds the log lines of a job and its tasks.
type jobLog struct {
	id           string
	queue        string
	firstEventAt time.Time // earliest line of the job
	lines        []line
	tasks        map[string]*task
}

// task holds the runs of one task of a job.
type task struct {
	job   *jobLog
	name  string
	runs  []*run
	moved map[string]bool // numbers of the runs that were stopped to run the task elsewhere
}

// run is one run of a task, created by one order.
type run struct {
	number    string
	agent     string
	orderedAt time.Time // on the clock of the entry that placed the task
	waited    time.Duration
	slowness  float64 // slowness of the endpoint known to the entry
	statusAge time.Duration
	// retryReason and retriedAt say why and when the task was retried after this run. They
	// are zero for the last run.
	retryReason string
	retriedAt   time.Time
	end         *line // the agent's line, nil if there is none
}

// jobCodes are the codes of events about a whole job.
var jobCodes = []int{
	codeJobAdmitted, codeJobRefused, codeJobEnded, codeJobAbandoned, codeJobForwarded, codeForwardedJobAnswered, codeForwardedJobReceived, codeCallerDisconnected,
}

// addLine adds a line of the job.
func (r *jobLog) addLine(l line) {
	r.lines = append(r.lines, l)
	if r.firstEventAt.IsZero() || l.at.Before(r.firstEventAt) {
		r.firstEventAt = l.at
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
		x.agent, x.orderedAt, x.waited = l.text("agent"), l.at, l.millis("waited_ms")
		x.slowness, x.statusAge = l.number("slowness")/1000, l.millis("heard_ms_ago")
	case codeTaskRetried:
		x := t.run(n)
		x.retryReason, x.retriedAt = l.text("why"), l.at
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

// jobOutcome is the outcome of a job.
type jobOutcome uint8

const (
	outcomeUnknown   jobOutcome = iota // in progress at the end of the logs
	outcomeInTime                      // answered in time
	outcomeLate                        // answered late
	outcomeRefused                     // refused or answered without a result
	outcomeLost                        // its entry was lost
	outcomeAbandoned                   // its caller disconnected
)

// resultLines returns the line with the answer that the caller got, nil if there is none, and
// the line of the entry that placed the job.
func (r *jobLog) resultLines() (answered, placement *line) {
	receivers := make(map[string]bool) // entries to which the job was forwarded
	for i := range r.lines {
		if r.lines[i].code == codeForwardedJobReceived {
			receivers[r.lines[i].node] = true
		}
	}
	for i := range r.lines {
		switch l := &r.lines[i]; l.code {
		case codeJobEnded, codeJobRefused, codeJobAbandoned, codeCallerDisconnected:
			placement = preferred(placement, l)
			if !receivers[l.node] {
				answered = preferred(answered, l)
			}
		case codeForwardedJobAnswered:
			answered = preferred(answered, l)
		}
	}
	return answered, placement
}

// preferred returns the line that determines the outcome. A caller that submitted its job more
// than once is counted by its best answer, and by the last of several refusals.
func preferred(a, b *line) *line {
	if a == nil || answerRank(b) > answerRank(a) || answerRank(b) == answerRank(a) && b.at.After(a.at) {
		return b
	}
	return a
}

// errorKind returns the error kind of an answer.
func (l *line) errorKind() string {
	if l.code == codeForwardedJobAnswered {
		kind, _, _ := strings.Cut(l.text("error"), ":")
		return kind
	}
	return l.text("kind")
}

// answerRank returns 4 for a completed job, 3 if it is logged as late, 1 if the caller disconnected,
// and 2 for any other answer.
func answerRank(l *line) int {
	switch {
	case l.text("state") == "completed" && l.text("in_time") != "false":
		return 4
	case l.text("state") == "completed":
		return 3
	case l.code == codeJobAbandoned || l.code == codeCallerDisconnected:
		return 1
	}
	return 2
}

// outcome returns the outcome of the job with its result lines.
func (a *Analysis) outcome(r *jobLog) (outcome jobOutcome, answered, placement *line) {
	answered, placement = r.resultLines()
	if answered == nil {
		for i := range r.lines {
			l := &r.lines[i]
			if a.processEnded(l) && slices.Contains(jobCodes, l.code) {
				return outcomeLost, nil, placement
			}
		}
		if a.lastEventAt.Sub(r.firstEventAt) > maxJobAge {
			return outcomeLost, nil, placement
		}
		return outcomeUnknown, nil, placement
	}
	switch answerRank(answered) {
	case 4, 3:
		if a.isLate(r, answered, placement) {
			return outcomeLate, answered, placement
		}
		return outcomeInTime, answered, placement
	case 1:
		return outcomeAbandoned, answered, placement
	}
	if answered.errorKind() == "cancelled_running" {
		return outcomeAbandoned, answered, placement
	}
	return outcomeRefused, answered, placement
}

// isLate reports whether an answer came after the job's objective. If the lines of the agents
// show how long the tasks ran, the objective is computed from that, since the declared run time
// is only an estimate.
func (a *Analysis) isLate(r *jobLog, answered, placement *line) bool {
	ended := placement
	if ended == nil {
		ended = answered
	}
	declaredWork, stretch, targetLatency := time.Duration(0), 0.0, time.Duration(0)
	for i := range r.lines {
		if l := &r.lines[i]; l.code == codeJobAdmitted && l.node == ended.node && l.text("needs_ms") != "" {
			declaredWork, stretch, targetLatency = l.millis("needs_ms"), l.number("stretch"), l.millis("target_ms")
		}
	}
	factor := a.workFactor(r)
	if declaredWork == 0 || factor == 0 {
		return ended.text("in_time") == "false"
	}
	objective := time.Duration(stretch*factor*float64(declaredWork)) + targetLatency
	return answered.millis("took_ms") > objective
}

// workFactor returns the ratio of actual to declared work of the task with the largest ratio,
// corrected for endpoints that were slower than known. It returns 0 if no run of the job is completed.
func (a *Analysis) workFactor(r *jobLog) (factor float64) {
	for _, t := range r.tasks {
		for _, x := range t.runs {
			if !x.completed() {
				continue
			}
			f := x.runTimeRatio()
			if slow := a.endpointOverrun(x); slow > slowEndpointRatio {
				f /= slow
			}
			factor = max(factor, f)
		}
	}
	return factor
}

// slowEndpointRatio is the median ratio of actual to expected run time of the other runs at an
// endpoint above which the endpoint counts as slower than known. Errors of the declared run
// times alone change that median by less.
const slowEndpointRatio = 1.5

// maxJobAge is the age at the end of the logs up to which a job without an answer counts as in
// progress; an older one counts as lost.
const maxJobAge = 15 * time.Second
