package trial

// Outcome summarizes the answers that the callers of a trial got.
type Outcome struct {
	Jobs    int `json:"jobs"`
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// EarnedShare is the earned share of the worth of all jobs. An answer in time earns the
	// worth of its job, and a late answer within three times the objective a fifth of it.
	EarnedShare float64 `json:"worth"`
	// RefusalDelay is the mean time from submission to refusal of the refused jobs, as a
	// share of their objective.
	RefusalDelay float64 `json:"refused_late"`
	// InTimeByQueue holds the share of the jobs of each queue that were answered in time.
	InTimeByQueue map[string]float64 `json:"in_time_by_queue,omitempty"`
	// Violations lists the violations of guarantees.
	Violations []string `json:"broken,omitempty"`
}
