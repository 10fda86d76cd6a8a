package policy

import "time"

// Straggler is a run that is slower than expected.
type Straggler struct {
	// Remaining is the expected rest of its run time where it runs.
	Remaining time.Duration
	// RunTimeElsewhere is the expected run time on the best endpoint with room.
	RunTimeElsewhere time.Duration
	// Budget is the time left until the job misses its objective.
	Budget time.Duration
}

// minMoveSpeedup is how many times sooner a run has to end elsewhere to be moved when its
// job is late in any case.
const minMoveSpeedup = 3

// moveOverhead is the time that stopping and starting a run takes.
const moveOverhead = 30 * time.Millisecond

// ShouldMove decides whether a straggler is stopped and started elsewhere: when that
// makes the job end in time, or ends it much sooner.
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
