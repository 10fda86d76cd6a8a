package policy

import "time"

// Straggler is a run that is slower than expected.
type Straggler struct {
	// Remaining is the expected rest of its run time where it runs.
	Remaining time.Duration
	// Elsewhere is the expected run time on the best endpoint with room.
	Elsewhere time.Duration
	// Budget is the time left until the job misses its objective.
	Budget time.Duration
}

// moveGain is how many times sooner a run has to end elsewhere to be moved when its
// job is late in any case.
const moveGain = 3

// moveOverhead is the time that stopping and starting a run takes.
const moveOverhead = 30 * time.Millisecond

// Move decides whether a straggler is stopped and started elsewhere: when that
// makes the job end in time, or ends it much sooner.
func (p Policy) Move(s Straggler) bool {
	if !p.Uses(Moves) {
		return false
	}
	elsewhere := s.Elsewhere + moveOverhead
	if s.Remaining <= s.Budget {
		return false
	}
	return elsewhere <= s.Budget || s.Remaining > moveGain*elsewhere
}
