package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"oriolerelay/endpointapi"
	"oriolerelay/job"
)

// Crash describes how a task ends the endpoint that runs it.
type Crash struct {
	After  time.Duration // from the start of the task
	Outage time.Duration // until the endpoint is back
	KeepID bool          // the next incarnation has the same instance id
}

const (
	// crashesBeforeBudget is the number of crashes under a task after which its starts are counted.
	crashesBeforeBudget = 3
	// maxStartsAfterCrashes is the number of starts that are allowed from then on.
	maxStartsAfterCrashes = 2
)

// scheduleCrashLocked ends the endpoint some time after the start of r if its task crashes endpoints.
func (e *Endpoint) scheduleCrashLocked(r *activeRun, payload string) {
	if e.CrashOf == nil {
		return
	}
	crash, ok := e.CrashOf(r.record.ID.Task, payload)
	if !ok {
		return
	}
	r.crash = time.AfterFunc(crash.After, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[r.record.ID.Task] == r {
			e.crashUnderLocked(r, crash)
		}
	})
}

func (e *Endpoint) crashUnderLocked(r *activeRun, crash Crash) {
	e.expireLeaseLocked()
	r.record.CrashedEndpoint = r.record.End.IsZero()
	if !r.record.CrashedEndpoint {
		return
	}
	if !crash.KeepID {
		e.instance++
	}
	e.crashLocked()
	e.down = true
	if e.OnCrash != nil {
		go e.OnCrash(r.record.ID.Task)
	}
	time.AfterFunc(crash.Outage, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.restartLocked()
		e.down = false
	})
}

// IsDown reports whether the endpoint is down after a crash that a task caused.
func (e *Endpoint) IsDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (r *activeRun) stopTimers() {
	r.timer.Stop()
	if r.crash != nil {
		r.crash.Stop()
	}
}

// crashRecord holds the starts of a task and the times of the crashes that it caused.
type crashRecord struct {
	starts, crashes []time.Time
}

// crashRecords returns the record of each task that has crashed an endpoint.
func crashRecords(runs []Run) map[string]crashRecord {
	out := make(map[string]crashRecord)
	for _, r := range runs {
		if r.CrashedEndpoint {
			record := out[r.ID.Task]
			record.crashes = append(record.crashes, r.End)
			out[r.ID.Task] = record
		}
	}
	for _, r := range runs {
		if record, ok := out[r.ID.Task]; ok {
			record.starts = append(record.starts, r.Start)
			out[r.ID.Task] = record
		}
	}
	for _, record := range out {
		slices.SortFunc(record.starts, time.Time.Compare)
		slices.SortFunc(record.crashes, time.Time.Compare)
	}
	return out
}

// startsOverBudget returns the number of starts after the third crash, or zero if it is allowed.
func (c crashRecord) startsOverBudget() (n int) {
	if len(c.crashes) < crashesBeforeBudget {
		return 0
	}
	third := c.crashes[crashesBeforeBudget-1]
	for _, at := range c.starts {
		if !at.Before(third) {
			n++
		}
	}
	if n <= maxStartsAfterCrashes {
		return 0
	}
	return n
}

// checkCrashBudget finds tasks that were started too often after three endpoints have crashed under
// them.
func checkCrashBudget(runs []Run) (tasks, violations []string) {
	records := crashRecords(runs)
	for task := range records {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, cmp.Compare)
	tasks = slices.DeleteFunc(tasks, func(task string) bool { return records[task].startsOverBudget() == 0 })
	for _, task := range tasks {
		r := records[task]
		violations = append(violations, fmt.Sprintf("task %s crashed %d endpoints; it was started %d times after the third crash",
			task, len(r.crashes), r.startsOverBudget()))
	}
	return tasks, violations
}

// checkCrashBudget adds the timelines to the violations of the function of this name.
func (s *System) checkCrashBudget() []string {
	runs := allRuns(s.Endpoints)
	tasks, violations := checkCrashBudget(runs)
	for i, task := range tasks {
		violations[i] = strings.Join(append([]string{violations[i]}, s.timeline.ofTask(task, runs)...), "\n")
	}
	return violations
}

// CheckCrashes returns a line for each task that has crashed more than the given number of endpoints,
// and for each answer that shows a job as failed of which no task has crashed an endpoint.
func (s *System) CheckCrashes(most int, answers []Answer) (violations []string) {
	records := crashRecords(allRuns(s.Endpoints))
	crashing := make(map[string]bool)
	for task, r := range records {
		if id, err := job.ParseTaskID(task); err == nil {
			crashing[id.Job] = true
		}
		if len(r.crashes) > most {
			violations = append(violations, fmt.Sprintf("task %s crashed %d endpoints in %d starts", task, len(r.crashes), len(r.starts)))
		}
	}
	slices.Sort(violations)
	for _, a := range answers {
		if a.State == job.Failed && !crashing[a.Job] {
			violations = append(violations, fmt.Sprintf("job %s was shown as failed, but none of its tasks has crashed an endpoint", a.Job))
		}
	}
	return violations
}

// CheckRestarts returns a line for each start of a task of the given stored jobs after a completed run
// whose end the agent has acknowledged. Unlike CheckStored it allows for ends that are lost with their
// endpoint.
func (s *System) CheckRestarts(jobs []job.Submission) (violations []string) {
	stored := make(map[string]bool)
	for _, j := range jobs {
		stored[j.ID] = true
	}
	done := make(map[string]time.Time)
	runs := allRuns(s.Endpoints)
	for _, r := range runs {
		id, err := job.ParseTaskID(r.ID.Task)
		if at, ok := done[r.ID.Task]; err == nil && stored[id.Job] && r.Acknowledged && r.EndReason == endpointapi.EndDone && (!ok || r.End.Before(at)) {
			done[r.ID.Task] = r.End
		}
	}
	for _, r := range runs {
		if at, ok := done[r.ID.Task]; ok && r.Start.After(at) {
			violations = append(violations, fmt.Sprintf("task %s was started on %s at %v, after its acknowledged completion at %v",
				r.ID.Task, r.Endpoint, r.Start, at))
		}
	}
	return violations
}
