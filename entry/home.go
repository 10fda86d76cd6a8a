package entry

import (
	"context"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/submission"
)

// locateHome returns the home of a submission. If a submission has a record here,
// this entry is its home; the record is used even while the membership is unknown.
func (s *Server) locateHome(team string, id ids.Submission, submittedAt int64) (ids.Incarnation, error) {
	if s.submissionTable.Lookup(submission.Key{Team: team, ID: id.Raw}) != nil {
		return s.self, nil
	}
	home, err := s.members.Home(id, team, time.UnixMilli(submittedAt))
	if err != nil {
		if other, ok := s.routeUnknownHome(team, id, err); ok {
			return other, nil
		}
	}
	if err == nil && home.Name == s.self.Name && home != s.self {
		err = errHomeLost(home) // an earlier process with this entry's name
	}
	return home, err
}

func errHomeLost(home ids.Incarnation) error {
	return errkind.New(errkind.HomeLost, "the home %s of the submission has ended", home)
}

// checkAge refuses a submission whose submitted_at or issue time is outside the
// submission window. A submission that is too old and has no record may have run,
// since its record may have expired.
func (s *Server) checkAge(sub *incomingSubmission) error {
	if sub.id.Issued() {
		_, err := s.idIssuer.expiry(sub.id)
		return err
	}
	ahead := time.UnixMilli(sub.body.SubmittedAt).Sub(s.now())
	if ahead > s.clockTolerance {
		return errkind.New(errkind.SubmissionFuture, "submitted_at is %s ahead of this entry's clock", ahead)
	}
	if ahead < -s.submissionWindow {
		return errkind.New(errkind.SubmissionStale, "submitted_at is %s ago; the limit is %s", -ahead, s.submissionWindow)
	}
	return nil
}

// recordExpiry returns the time until which the record of sub must be kept.
func (s *Server) recordExpiry(sub *incomingSubmission) time.Time {
	if sub.id.Issued() {
		until, err := s.idIssuer.expiry(sub.id)
		if err != nil {
			return s.now() // startJob refuses it
		}
		return until
	}
	return time.UnixMilli(sub.body.SubmittedAt).Add(s.submissionWindow + s.clockTolerance)
}

// runningJobs holds the cancel functions of the running jobs that have a
// submission record. It is safe for concurrent use.
type runningJobs struct {
	mu      sync.Mutex
	cancels map[submission.Key]context.CancelFunc
}

func (r *runningJobs) add(k submission.Key, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = make(map[submission.Key]context.CancelFunc)
	}
	r.cancels[k] = cancel
}

func (r *runningJobs) remove(k submission.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, k)
}

// cancel cancels the job of k if it is running.
func (r *runningJobs) cancel(k submission.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[k]; cancel != nil {
		cancel()
	}
}
