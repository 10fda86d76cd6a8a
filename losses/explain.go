package losses

import (
	"cmp"
	"slices"
	"time"
)

// causeOfLoss returns the cause of a job that was not answered in time.
func (a *Analysis) causeOfLoss(r *jobLog, outcome jobOutcome, answered, placement *line) Cause {
	switch outcome {
	case outcomeLost:
		return ProcessLost
	case outcomeRefused:
		if c, ok := refusalCause(answered, placement); ok {
			return c
		}
	}
	return a.dominantCause(r, placement)
}

// refusalCause returns the cause of a refusal. It returns false for ok if the answer has an
// error kind that is not a refusal.
func refusalCause(answered, placement *line) (c Cause, ok bool) {
	c, ok = refusalCauses[answered.errorKind()]
	if placement == nil || placement.code != codeJobRefused {
		placement = answered
	}
	if c == NoCapacity && placement.text("free_millicores") != "" && placement.number("free_millicores") >= placement.number("need_millicores") {
		return CallerTimeout, true
	}
	return c, ok
}

// timeByCause holds how much of the time of a job's slowest task is due to each cause.
type timeByCause map[Cause]time.Duration

// largest returns the cause with the most time, Unexplained if there is none.
func (p timeByCause) largest() Cause {
	best, most := Unexplained, time.Duration(0)
	for _, c := range Causes() {
		if p[c] > most {
			best, most = c, p[c]
		}
	}
	return best
}

// dominantCause returns the cause of most of the time of the task that ended last, not counting
// its declared run time at an endpoint of typical speed.
func (a *Analysis) dominantCause(r *jobLog, placement *line) Cause {
	t, end := r.slowestTask()
	if t == nil {
		return Unexplained
	}
	p := make(timeByCause)
	typical := 1.0
	for i := range r.lines {
		if l := &r.lines[i]; l.code == codeJobAdmitted && l.number("typical_slowness") > 0 {
			typical = l.number("typical_slowness")
		}
	}
	p[WaitedForCapacity] = t.runs[0].waited
	for i, x := range t.runs[:len(t.runs)-1] {
		next := t.runs[i+1]
		if !x.retriedAt.IsZero() {
			p[retryCause(t, x)] += x.retriedAt.Sub(x.orderedAt)
			p[WaitedForCapacity] += max(next.orderedAt.Sub(x.retriedAt), 0)
		} else {
			p[ProcessLost] += max(next.orderedAt.Sub(x.orderedAt), 0)
		}
	}
	a.attributeLastRun(p, r, t.runs[len(t.runs)-1], typical)
	if placement != nil && placement.code == codeJobEnded {
		p[ProcessingDelay] += max(placement.at.Sub(end), 0)
	}
	return p.largest()
}

func retryCause(t *task, x *run) Cause {
	if t.moved[x.number] {
		return UselessMove
	}
	if c, ok := retryCauses[x.retryReason]; ok {
		return c
	}
	return Unexplained
}

// slowestTask returns the task whose last run ended last, and the end on the clock of the entry
// that ordered it.
func (r *jobLog) slowestTask() (slowest *task, end time.Time) {
	for _, t := range r.tasks {
		t.runs = slices.DeleteFunc(t.runs, func(x *run) bool { return x.orderedAt.IsZero() })
		if len(t.runs) == 0 {
			continue
		}
		slices.SortFunc(t.runs, func(a, b *run) int { return a.orderedAt.Compare(b.orderedAt) })
		at := t.runs[len(t.runs)-1].orderedAt
		if x := t.runs[len(t.runs)-1]; x.end != nil {
			at = at.Add(x.end.millis("waited_ms") + x.end.millis("took_ms"))
		} else {
			at = at.Add(24 * time.Hour) // no end is logged
		}
		if slowest == nil || at.After(end) || at.Equal(end) && t.name < slowest.name {
			slowest, end = t, at
		}
	}
	return slowest, end
}

// attributeLastRun distributes the time of the last run beyond its declared run time at an
// endpoint of typical speed: to the known slowness of the endpoint, and to overruns shared with
// other runs at the endpoint, shared with other tasks of the job, or of this task alone.
func (a *Analysis) attributeLastRun(p timeByCause, r *jobLog, x *run, typical float64) {
	if x.end == nil {
		p[ProcessLost] += maxJobAge
		return
	}
	p[AgentFull] += x.end.millis("waited_ms")
	declared, took := x.end.millis("estimate_ms"), x.end.millis("took_ms")
	if declared <= 0 {
		p[DeclaredTimeWrong] += took
		return
	}
	scaled := func(factor float64) time.Duration { return time.Duration(factor * float64(declared)) }
	p[SlowPlacement] += max(scaled(x.slowness-typical), 0)
	excess := took - scaled(max(x.slowness, 0.01))
	if excess <= 0 {
		return
	}
	jobExcess := max(r.jobOverrun(x)-1, 0)
	endpointExcess := max(a.endpointOverrun(x)-1, 0)
	taskExcess := max(float64(took)/float64(scaled(max(x.slowness, 0.01)))-1-jobExcess-endpointExcess, 0)
	total := jobExcess + endpointExcess + taskExcess
	if total == 0 {
		p[Straggler] += excess
		return
	}
	share := func(f float64) time.Duration { return time.Duration(f / total * float64(excess)) }
	p[DeclaredTimeWrong] += share(jobExcess)
	p[EndpointSlowed] += share(endpointExcess)
	p[Straggler] += share(taskExcess)
}

// jobOverrun returns the median ratio of actual to expected run time of the job's other tasks at
// other endpoints, 1 if there are none.
func (r *jobLog) jobOverrun(except *run) float64 {
	var ratios []float64
	for _, t := range r.tasks {
		for _, x := range t.runs {
			if x != except && x.agent != except.agent && x.completed() {
				ratios = append(ratios, x.runTimeRatio())
			}
		}
	}
	return median(ratios)
}

func (x *run) completed() bool { return x.end != nil && x.end.text("state") == "done" }

// runTimeRatio returns the ratio of actual to expected run time.
func (x *run) runTimeRatio() float64 {
	expected := x.end.millis("estimate_ms").Seconds() * max(x.slowness, 0.01)
	if expected <= 0 {
		return 1
	}
	return x.end.millis("took_ms").Seconds() / expected
}

// endpointOverrun returns the median ratio of actual to expected run time of the other runs that
// ended at the endpoint of x in the same second, 1 if there are none.
func (a *Analysis) endpointOverrun(x *run) float64 {
	var ratios []float64
	for _, o := range a.completedRuns[endpointSecond{x.agent, x.end.at.Unix()}] {
		if o != x {
			ratios = append(ratios, o.runTimeRatio())
		}
	}
	return median(ratios)
}

func median(f []float64) float64 {
	if len(f) == 0 {
		return 1
	}
	slices.SortFunc(f, cmp.Compare)
	return f[len(f)/2]
}
