package policy

import "time"

// Straggler is a run that is slower than expected.
type Straggler struct {
	// Remaining is the expected remaining run time on the current endpoint.
	Remaining time.Duration
	// RunTimeElsewhere is the expected run time on the best other endpoint with free capacity.
	RunTimeElsewhere time.Duration
	// Budget is the time left until the job misses its objective.
	Budget time.Duration
}

// minMoveSpeedup is the least ratio of the remaining run time to that on another endpoint at
// which a run is moved although its job misses the objective in either case.
const minMoveSpeedup = 3

// moveOverhead is the time to stop a run and start it on another endpoint.
const moveOverhead = 30 * time.Millisecond

// ShouldMove reports whether a straggler is stopped and restarted on another endpoint: if the
// job then meets its objective, or ends much sooner.
func (p Policy) ShouldMove(s Straggler) bool {
	if !p.Uses(Moves) {
		return false
	}
	elsewhere := s.RunTimeElsewhere + moveOverhead
	if s.Remaining <= s.Budget {
		return false
	}
	return elsewhere <= s.Budget || s.Remaining > minMoveSpeedup*elsewhere
}
