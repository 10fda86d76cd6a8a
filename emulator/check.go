package emulator

import (
	"fmt"
	"sort"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/errkind"
	"oriolerelay/job"
)

// Answer is what a caller got.
type Answer struct {
	Job                string
	SentAt, ReceivedAt time.Time
	State              job.State
	Err                *errkind.Error
	// GaveUp is set when the caller went away.
	Disconnected bool
}

// Refused reports whether the caller was told that the job has not run.
func (a Answer) Refused() bool {
	return a.Err != nil && !a.Disconnected && a.Err.Answer().Outcome == errkind.NotRun
}

// Check returns a line for each promise that the history breaks.
func (s *System) Check(answers []Answer) []string { return Check(s.Endpoints, answers) }

// Check returns a line for each promise that the history of the endpoints and the
// answers of the callers break.
func Check(endpoints []*Endpoint, answers []Answer) []string {
	var runs []Run
	for _, e := range endpoints {
		runs = append(runs, e.History()...)
	}
	var violations []string
	violations = append(violations, checkOverlap(runs)...)
	violations = append(violations, checkRefused(runs, answers)...)
	violations = append(violations, checkComplete(runs, answers)...)
	for _, e := range endpoints {
		violations = append(violations, checkCapacity(e, e.History())...)
	}
	return violations
}

// checkOverlap finds tasks with two runs at the same time.
func checkOverlap(runs []Run) (violations []string) {
	byTask := make(map[string][]Run)
	for _, r := range runs {
		byTask[r.ID.Task] = append(byTask[r.ID.Task], r)
	}
	for task, rs := range byTask {
		sort.Slice(rs, func(i, j int) bool { return rs[i].Start.Before(rs[j].Start) })
		for i := 1; i < len(rs); i++ {
			if rs[i-1].End.IsZero() || rs[i].Start.Before(rs[i-1].End) {
				violations = append(violations, fmt.Sprintf("task %s runs twice at the same time: run %d on %s until %v, run %d on %s from %v",
					task, rs[i-1].ID.Number, rs[i-1].Endpoint, rs[i-1].End, rs[i].ID.Number, rs[i].Endpoint, rs[i].Start))
			}
		}
	}
	return violations
}

// CheckStored returns a line for each task of a stored job that began after it was
// done, or never ended well.
func (s *System) CheckStored(jobs []job.Submission) []string {
	done := make(map[string]time.Time)
	var runs []Run
	for _, e := range s.Endpoints {
		for _, r := range e.History() {
			runs = append(runs, r)
			if at, ok := done[r.ID.Task]; r.EndReason == endpointapi.EndDone && (!ok || r.End.Before(at)) {
				done[r.ID.Task] = r.End
			}
		}
	}
	violations := checkOverlap(runs)
	for _, r := range runs {
		if at, ok := done[r.ID.Task]; ok && r.Start.After(at) {
			violations = append(violations, fmt.Sprintf("task %s began on %s at %v, after it was done at %v", r.ID.Task, r.Endpoint, r.Start, at))
		}
	}
	for _, j := range jobs {
		for i := range j.Tasks() {
			task := job.TaskID{Job: j.ID, Index: i}.String()
			if _, ok := done[task]; !ok {
				violations = append(violations, fmt.Sprintf("task %s of a stored job was never done", task))
			}
		}
	}
	return violations
}

// checkRefused finds tasks that ran although all attempts to hand in their job had been
// refused. The answers to the attempts of one job are in their order.
func checkRefused(runs []Run, answers []Answer) (violations []string) {
	type refusal struct {
		allRefused    bool      // each answer so far is a refusal
		resubmittedAt time.Time // the caller sent the job again, zero if it was refused to the end
	}
	refused := make(map[string]refusal)
	for _, a := range answers {
		r, seen := refused[a.Job]
		switch {
		case a.Refused() && !seen:
			refused[a.Job] = refusal{allRefused: true}
		case !seen:
			refused[a.Job] = refusal{} // an attempt that was not refused explains all runs
		case !a.Refused() && r.allRefused:
			refused[a.Job] = refusal{resubmittedAt: a.SentAt}
		}
	}
	for _, r := range runs {
		id, err := job.ParseTaskID(r.ID.Task)
		if err != nil {
			continue
		}
		if f, ok := refused[id.Job]; ok && (f.allRefused || r.Start.Before(f.resubmittedAt)) {
			violations = append(violations, fmt.Sprintf("task %s ran on %s although its job was refused", r.ID.Task, r.Endpoint))
		}
	}
	return violations
}

// checkComplete finds jobs that were answered as completed before all tasks were done.
func checkComplete(runs []Run, answers []Answer) (violations []string) {
	done := make(map[string]int)
	for _, r := range runs {
		if id, err := job.ParseTaskID(r.ID.Task); err == nil && r.EndReason == endpointapi.EndDone {
			done[id.Job]++
		}
	}
	for _, a := range answers {
		if a.State == job.Completed && done[a.Job] == 0 {
			violations = append(violations, fmt.Sprintf("job %s is completed, and none of its tasks is done", a.Job))
		}
	}
	return violations
}

// checkRoom finds moments at which an endpoint runs more than its capacity.
func checkCapacity(e *Endpoint, runs []Run) (violations []string) {
	type change struct {
		at    time.Time
		cores int64
	}
	var changes []change
	for _, r := range runs {
		changes = append(changes, change{r.Start, int64(r.Size.MilliCores)})
		if !r.End.IsZero() {
			changes = append(changes, change{r.End, -int64(r.Size.MilliCores)})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		if !changes[i].at.Equal(changes[j].at) {
			return changes[i].at.Before(changes[j].at)
		}
		return changes[i].cores < changes[j].cores
	})
	var used int64
	for _, c := range changes {
		used += c.cores
		if used > int64(e.Capacity.MilliCores) {
			return []string{fmt.Sprintf("endpoint %s runs %d millicores of %d", e.Name, used, e.Capacity.MilliCores)}
		}
	}
	return nil
}
