package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/errkind"
	"oriolerelay/job"
)

// Answer is the answer to a submission as its caller saw it.
type Answer struct {
	Job                string
	SentAt, ReceivedAt time.Time
	State              job.State
	Err                *errkind.Error
	// Disconnected is set if the caller disconnected before it got an answer.
	Disconnected bool
}

// Refused reports whether the caller was told that no task of the job has run.
func (a Answer) Refused() bool {
	return a.Err != nil && !a.Disconnected && a.Err.Answer().Outcome == errkind.NotRun
}

// Check returns a line for each violation of a guarantee in the runs of the endpoints and the
// answers to the callers. Overlapping runs are followed by the timeline of their task.
func (s *System) Check(answers []Answer) []string {
	violations := append(s.checkOverlap(), s.checkCrashBudget()...)
	return append(violations, checkAnswers(s.Endpoints, answers)...)
}

// checkOverlap finds tasks with two runs at the same time and adds their timelines.
func (s *System) checkOverlap() (violations []string) {
	runs := allRuns(s.Endpoints)
	for _, o := range overlaps(runs) {
		lines := append([]string{o.String()}, s.timeline.ofTask(o.first.ID.Task, runs)...)
		violations = append(violations, strings.Join(lines, "\n"))
	}
	return violations
}

// allRuns returns the runs of all endpoints. Runs whose lease has expired have ended.
func allRuns(endpoints []*Endpoint) (runs []Run) {
	for _, e := range endpoints {
		e.ExpireLease()
		runs = append(runs, e.History()...)
	}
	return runs
}

// Check returns a line for each violation of a guarantee in the runs of the endpoints and the
// answers to the callers: overlapping runs of a task, starts of a task that has crashed endpoints,
// runs of refused jobs, completed jobs that did not run, and endpoints used beyond their capacity.
func Check(endpoints []*Endpoint, answers []Answer) (violations []string) {
	for _, o := range overlaps(allRuns(endpoints)) {
		violations = append(violations, o.String())
	}
	_, overBudget := checkCrashBudget(allRuns(endpoints))
	violations = append(violations, overBudget...)
	return append(violations, checkAnswers(endpoints, answers)...)
}

// checkAnswers finds violations of all guarantees but that the runs of a task do not overlap.
func checkAnswers(endpoints []*Endpoint, answers []Answer) []string {
	runs := allRuns(endpoints)
	violations := append(checkRefused(runs, answers), checkComplete(runs, answers)...)
	for _, e := range endpoints {
		violations = append(violations, checkCapacity(e, e.History())...)
	}
	return violations
}

// overlap is a pair of runs of one task that execute at the same time.
type overlap struct{ first, second Run }

// String describes the pair for a test failure.
func (o overlap) String() string {
	until := "the end of the test"
	if !o.first.End.IsZero() {
		until = o.first.End.String()
	}
	return fmt.Sprintf("two runs of task %s overlap: run %d on %s until %s, run %d on %s from %v", o.first.ID.Task,
		o.first.ID.Number, o.first.Endpoint, until, o.second.ID.Number, o.second.Endpoint, o.second.Start)
}

// overlaps returns, for each task with runs at the same time, the first such pair, in order of
// time. A run that ends when another one begins does not overlap with it.
func overlaps(runs []Run) (out []overlap) {
	byTask := make(map[string][]Run)
	for _, r := range runs {
		byTask[r.ID.Task] = append(byTask[r.ID.Task], r)
	}
	for _, rs := range byTask {
		slices.SortFunc(rs, func(a, b Run) int { return a.Start.Compare(b.Start) })
		longest := rs[0] // of the preceding runs, the one that ends last
		for _, r := range rs[1:] {
			if longest.End.IsZero() || r.Start.Before(longest.End) {
				out = append(out, overlap{longest, r})
				break
			}
			if r.End.IsZero() || r.End.After(longest.End) {
				longest = r
			}
		}
	}
	slices.SortFunc(out, func(a, b overlap) int {
		return cmp.Or(a.second.Start.Compare(b.second.Start), cmp.Compare(a.second.ID.Task, b.second.ID.Task))
	})
	return out
}

// CheckStored returns a line for each task that has overlapping runs or was started again after a
// completed run, and for each task of the given stored jobs that was never completed.
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
	violations := append(s.checkOverlap(), s.checkCrashBudget()...)
	for _, r := range runs {
		if at, ok := done[r.ID.Task]; ok && r.Start.After(at) {
			violations = append(violations, fmt.Sprintf("task %s was started on %s at %v, after its completion at %v", r.ID.Task, r.Endpoint, r.Start, at))
		}
	}
	for _, j := range jobs {
		for i := range j.Tasks() {
			task := job.TaskID{Job: j.ID, Index: i}.String()
			if _, ok := done[task]; !ok {
				violations = append(violations, fmt.Sprintf("task %s of a stored job was never completed", task))
			}
		}
	}
	return violations
}

// checkRefused finds tasks that ran although all submissions of their job up to then were
// refused. The answers to the submissions of one job must be in the order of submission.
func checkRefused(runs []Run, answers []Answer) (violations []string) {
	type refusal struct {
		allRefused    bool      // all answers so far are refusals
		resubmittedAt time.Time // time of the first submission that was not refused, zero if there is none
	}
	refused := make(map[string]refusal)
	for _, a := range answers {
		r, seen := refused[a.Job]
		switch {
		case a.Refused() && !seen:
			refused[a.Job] = refusal{allRefused: true}
		case !seen:
			refused[a.Job] = refusal{} // the first submission was not refused, so it accounts for all runs
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
			violations = append(violations, fmt.Sprintf("task %s ran on %s from %v although its job had been refused", r.ID.Task, r.Endpoint, r.Start))
		}
	}
	return violations
}

// checkComplete finds jobs that were answered as completed although none of their tasks was
// completed.
func checkComplete(runs []Run, answers []Answer) (violations []string) {
	done := make(map[string]int)
	for _, r := range runs {
		if id, err := job.ParseTaskID(r.ID.Task); err == nil && r.EndReason == endpointapi.EndDone {
			done[id.Job]++
		}
	}
	for _, a := range answers {
		if a.State == job.Completed && done[a.Job] == 0 {
			violations = append(violations, fmt.Sprintf("job %s was answered as completed, but none of its tasks was completed", a.Job))
		}
	}
	return violations
}
