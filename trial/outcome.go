package trial

// Outcome is what the callers of a trial got.
type Outcome struct {
	Jobs    int `json:"jobs"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Worth is the share of the worth of all jobs that was earned: by answers in time, and
	// a fifth by late ones.
	Worth float64 `json:"worth"`
	// RefusedLate is the mean time after which refused jobs were refused, as a share of
	// their objective.
	RefusalDelay float64 `json:"refused_late"`
	// Broken lists the promises that were broken.
	Violations []string `json:"broken,omitempty"`
}
