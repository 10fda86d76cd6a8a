package losses

import (
	"cmp"
	"slices"
	"time"
)

// explain returns the cause for which a job that was lost was lost.
func (a *Analysis) explain(r *record, f fate, answered, placed *line) Cause {
	switch f {
	case fateLost:
		return InFlight
	case fateRefused:
		if c, ok := refused(answered, placed); ok {
			return c
		}
	}
	return a.longestPart(r, placed)
}

// refused returns the cause of a refusal; ok is false for an answer that is none.
func refused(answered, placed *line) (c Cause, ok bool) {
	c, ok = refusalCauses[answered.kind()]
	if placed == nil || placed.code != codeJobRefused {
		placed = answered
	}
	if c == NoRoom && placed.text("free_millicores") != "" && placed.number("free_millicores") >= placed.number("need_millicores") {
		return Patience, true
	}
	return c, ok
}

// parts are the times that make up the way of a job's slowest task, by what they were
// spent on.
type parts map[Cause]time.Duration

// longest returns the cause that took most.
func (p parts) longest() Cause {
	best, most := Unexplained, time.Duration(0)
	for _, c := range Causes() {
		if p[c] > most {
			best, most = c, p[c]
		}
	}
	return best
}

// longestPart returns the cause that took most of the time of the task that ended last,
// beyond what the task would have taken as declared at an endpoint of typical speed.
func (a *Analysis) longestPart(r *record, placed *line) Cause {
	t, end := r.slowestTask()
	if t == nil {
		return Unexplained
	}
	p := make(parts)
	typical := 1.0
	for i := range r.lines {
		if l := &r.lines[i]; l.code == codeJobAdmitted && l.number("typical_slowness") > 0 {
			typical = l.number("typical_slowness")
		}
	}
	p[Waited] = t.runs[0].waited
	for i, x := range t.runs[:len(t.runs)-1] {
		next := t.runs[i+1]
		if !x.againAt.IsZero() {
			p[retryCause(t, x)] += x.againAt.Sub(x.ordered)
			p[Waited] += max(next.ordered.Sub(x.againAt), 0)
		} else {
			p[InFlight] += max(next.ordered.Sub(x.ordered), 0)
		}
	}
	a.splitRun(p, r, t.runs[len(t.runs)-1], typical)
	if placed != nil && placed.code == codeJobEnded {
		p[SlowProcess] += max(placed.at.Sub(end), 0)
	}
	return p.longest()
}

func retryCause(t *task, x *run) Cause {
	if t.moved[x.number] {
		return MovedInVain
	}
	if c, ok := retryCauses[x.again]; ok {
		return c
	}
	return Unexplained
}

// slowestTask returns the task whose last run ended last, and when, on the clock of the
// entry that ordered it.
func (r *record) slowestTask() (slowest *task, end time.Time) {
	for _, t := range r.tasks {
		t.runs = slices.DeleteFunc(t.runs, func(x *run) bool { return x.ordered.IsZero() })
		if len(t.runs) == 0 {
			continue
		}
		slices.SortFunc(t.runs, func(a, b *run) int { return a.ordered.Compare(b.ordered) })
		at := t.runs[len(t.runs)-1].ordered
		if x := t.runs[len(t.runs)-1]; x.end != nil {
			at = at.Add(x.end.millis("waited_ms") + x.end.millis("took_ms"))
		} else {
			at = at.Add(24 * time.Hour) // it has not ended
		}
		if slowest == nil || at.After(end) || at.Equal(end) && t.name < slowest.name {
			slowest, end = t, at
		}
	}
	return slowest, end
}

// splitRun adds the excess of the last run over a run as declared at an endpoint of typical
// speed: what the endpoint was known to be slower, what it was slower than known, what all
// tasks of the job took more, and what this one did.
func (a *Analysis) splitRun(p parts, r *record, x *run, typical float64) {
	if x.end == nil {
		p[InFlight] += underWay
		return
	}
	p[AgentFull] += x.end.millis("waited_ms")
	declared, took := x.end.millis("estimate_ms"), x.end.millis("took_ms")
	if declared <= 0 {
		p[Declared] += took
		return
	}
	ratio := func(factor float64) time.Duration { return time.Duration(factor * float64(declared)) }
	p[SlowPlace] += max(ratio(x.slowness-typical), 0)
	excess := took - ratio(max(x.slowness, 0.01))
	if excess <= 0 {
		return
	}
	byJob := max(r.overrun(x)-1, 0)
	byEndpoint := max(a.overrunAt(x)-1, 0)
	own := max(float64(took)/float64(ratio(max(x.slowness, 0.01)))-1-byJob-byEndpoint, 0)
	total := byJob + byEndpoint + own
	if total == 0 {
		p[SlowestTask] += excess
		return
	}
	share := func(f float64) time.Duration { return time.Duration(f / total * float64(excess)) }
	p[Declared] += share(byJob)
	p[Slowed] += share(byEndpoint)
	p[SlowestTask] += share(own)
}

// overrun returns how much longer than expected the runs of the job's other tasks took, at
// other endpoints: the median of the ratios, 1 if there are none.
func (r *record) overrun(but *run) float64 {
	var ratios []float64
	for _, t := range r.tasks {
		for _, x := range t.runs {
			if x != but && x.agent != but.agent && x.isDone() {
				ratios = append(ratios, x.ratio())
			}
		}
	}
	return median(ratios)
}

func (x *run) isDone() bool { return x.end != nil && x.end.text("state") == "done" }

// ratio is the run time relative to the expected one.
func (x *run) ratio() float64 {
	expected := x.end.millis("estimate_ms").Seconds() * max(x.slowness, 0.01)
	if expected <= 0 {
		return 1
	}
	return x.end.millis("took_ms").Seconds() / expected
}

// overrunAt returns how much longer than expected the runs took that ended at the endpoint
// of x in the same second.
func (a *Analysis) overrunAt(x *run) float64 {
	var ratios []float64
	for _, o := range a.ends[endpointSecond{x.agent, x.end.at.Unix()}] {
		if o != x {
			ratios = append(ratios, o.ratio())
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
