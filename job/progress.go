package job

import (
	"maps"
	"slices"
)

// RunNumbersPerEpoch is the size of the range of run numbers that each owner of a stored job uses for
// a task. The range of an epoch begins at its multiple. A task whose orders are rejected at once can
// use a hundred numbers in 100 ms.
const RunNumbersPerEpoch = 1 << 10

// Progress is what the owner of a job has recorded about it.
type Progress struct {
	// State is the final state; empty until the job has ended.
	State State `cbor:"1,keyasint,omitempty"`
	// Done holds the completed tasks, by step.
	Done []TaskSet `cbor:"2,keyasint,omitempty"`
	// Failures counts the failed runs, by task.
	Failures map[string]int `cbor:"3,keyasint,omitempty"`
	// FailedRuns holds the numbers of the counted runs, by task, so that no owner counts a repeated
	// report again. Owners of earlier versions have recorded only Failures.
	FailedRuns map[string][]uint32 `cbor:"5,keyasint,omitempty"`
	// Crashes holds the runs during which their endpoint crashed, by task.
	Crashes map[string][]CrashedRun `cbor:"4,keyasint,omitempty"`
}

// CrashedRun is a run during which its endpoint crashed.
type CrashedRun struct {
	Agent         string `cbor:"1,keyasint"`
	Number        uint32 `cbor:"2,keyasint"`
	ElapsedMillis uint32 `cbor:"3,keyasint,omitempty"` // from the start of the run to the crash
	// Unanswered is set if the endpoint had not answered the start.
	Unanswered bool `cbor:"4,keyasint,omitempty"`
	// Alone is set if no task of another job can have caused the crash.
	Alone bool `cbor:"5,keyasint,omitempty"`
}

// AddFailure records that a run of a task has failed; counted is the number of its failures that count.
// Copies that share the maps of p are not changed.
func (p *Progress) AddFailure(task string, run uint32, counted int) {
	failures, runs := maps.Clone(p.Failures), maps.Clone(p.FailedRuns)
	if failures == nil {
		failures = make(map[string]int)
	}
	if runs == nil {
		runs = make(map[string][]uint32)
	}
	failures[task], runs[task] = counted, append(slices.Clone(runs[task]), run)
	p.Failures, p.FailedRuns = failures, runs
}

// HasFailure reports whether the failure of a run is recorded.
func (p *Progress) HasFailure(task string, run uint32) bool {
	return slices.Contains(p.FailedRuns[task], run)
}

// SetCrash records a crash during a run of a task, or replaces its record. Copies that share the map
// of p are not changed.
func (p *Progress) SetCrash(task string, r CrashedRun) {
	crashes := maps.Clone(p.Crashes)
	if crashes == nil {
		crashes = make(map[string][]CrashedRun)
	}
	runs := slices.DeleteFunc(slices.Clone(crashes[task]), func(o CrashedRun) bool { return o.Agent == r.Agent && o.Number == r.Number })
	crashes[task] = append(runs, r)
	p.Crashes = crashes
}

// TaskSet is a bitmap of task indices.
type TaskSet []byte

// Has reports whether i is in the set.
func (s TaskSet) Has(i int) bool { return i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0 }

// Add returns the set with i added.
func (s TaskSet) Add(i int) TaskSet {
	for len(s) <= i/8 {
		s = append(s, 0)
	}
	s[i/8] |= 1 << (i % 8)
	return s
}

// IsDone reports whether a task is recorded as completed.
func (p *Progress) IsDone(step, index int) bool {
	return step < len(p.Done) && p.Done[step].Has(index)
}

// MarkDone records a task as completed.
func (p *Progress) MarkDone(step, index int) {
	for len(p.Done) <= step {
		p.Done = append(p.Done, nil)
	}
	p.Done[step] = p.Done[step].Add(index)
}

// Clone returns a deep copy of p.
func (p Progress) Clone() Progress {
	c := Progress{State: p.State, Failures: maps.Clone(p.Failures), FailedRuns: maps.Clone(p.FailedRuns), Crashes: maps.Clone(p.Crashes)}
	for _, s := range p.Done {
		c.Done = append(c.Done, slices.Clone(s))
	}
	return c
}
